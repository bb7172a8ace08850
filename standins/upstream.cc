/// @file
/// Stand-in for an upstream, with slots, an assignment and fault switches.
#include <tclap/CmdLine.h>

#include <array>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <map>

#include "endivewood_p.h"
#include "worker_state.h"

namespace endivewood {
namespace {

constexpr unsigned kThreads = 64;  // Connections that an upstream accepts.

/// Faults of the work interface, each set over HTTP while the stand-in runs.
struct WorkFaults {
  int late_ms = 0;        ///< Delay of every reply, after the effect.
  int wrong_ids = 0;      ///< Replies that carry the id of another request.
  int short_answers = 0;  ///< Replies that end before their declared length.
  int silent = 0;         ///< Requests that are not run and fail only after a minute.
  int lost_answers = 0;   ///< Requests that take effect and are answered with an empty 500.
  bool fail = false;      ///< Everything is answered with 500 at once, without effect.

  void Set(const HttpRequest& request) {
    SetNumber(request, "late_ms", &late_ms);
    SetNumber(request, "wrong_ids", &wrong_ids);
    SetNumber(request, "short_answers", &short_answers);
    SetNumber(request, "silent", &silent);
    SetNumber(request, "lost_answers", &lost_answers);
    fail = request.Parameter("fail", fail ? "1" : "0") == "1";
  }

  static bool Take(int* count) { return *count > 0 && (*count)-- > 0; }

 private:
  static void SetNumber(const HttpRequest& request, const std::string& name, int* value) {
    *value = std::stoi(request.Parameter(name, std::to_string(*value)));
  }
};

/// One run of one request.
struct Task {
  enum class State : std::uint8_t { kRunning, kDone, kCheckpointed, kCancelled };

  State state = State::kRunning;
  bool checkpoint_requested = false;
  bool cancel_requested = false;
  std::int64_t progress_ms = 0;
  std::string answer;
};

/// Runs work: "<milliseconds> <text>" is answered with "done <text>". `Resume-From` names the
/// milliseconds that an earlier run completed before its checkpoint.
class WorkRunner {
 public:
  explicit WorkRunner(int slots) : m_slots(slots) {}

  HttpReply Work(const HttpRequest& request) {
    std::unique_lock lock(m_mutex);
    if (m_faults.fail) return {.status = 500, .headers = {}, .body = ""};
    if (WorkFaults::Take(&m_faults.silent)) {
      lock.unlock();
      std::this_thread::sleep_for(kSilentTime);
      return {.status = 500, .headers = {}, .body = ""};
    }
    if (m_busy >= m_slots) return {.status = 503, .headers = {{"Not-Run", "busy"}}, .body = ""};
    ++m_busy;
    const std::string key = request.Header("Idempotency-Key");
    if (!key.empty()) ++m_effects[key];
    ++m_runs;
    const std::string id = request.Header("Request-Id");
    Task& task = AddTask(id);
    RunTask(request, &task, &lock);
    --m_busy;
    return MakeReply(id, task, &lock);
  }

  /// Serves `/tasks/{id}` and `/tasks/{id}/checkpoint`.
  HttpReply HandleTask(const HttpRequest& request) {
    const std::string rest = request.path.substr(sizeof("/tasks/") - 1);
    const std::string id = rest.substr(0, rest.find('/'));
    std::lock_guard lock(m_mutex);
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) return {.status = 404, .headers = {}, .body = ""};
    Task& task = found->second;
    if (request.method == "DELETE") task.cancel_requested = true;
    if (rest.ends_with("/checkpoint")) task.checkpoint_requested = true;
    m_changed.notify_all();
    return Describe(id, task);
  }

  HttpReply SetFaults(const HttpRequest& request) {
    std::lock_guard lock(m_mutex);
    m_faults.Set(request);
    return {};
  }

  /// Lists "key count" lines. A count above 1 is a duplicate effect of an idempotency key.
  HttpReply Effects() {
    std::lock_guard lock(m_mutex);
    std::string lines;
    for (const auto& [key, count] : m_effects) lines += key + " " + std::to_string(count) + "\n";
    return {.status = 200, .headers = {{"Runs", std::to_string(m_runs)}}, .body = lines};
  }

 private:
  static constexpr Milliseconds kSilentTime{60000};
  static constexpr std::size_t kMaxTasks = 1000;

  Task& AddTask(const std::string& id) {
    m_task_order.push_back(id);
    if (m_task_order.size() > kMaxTasks) {
      m_tasks.erase(m_task_order.front());
      m_task_order.pop_front();
    }
    return m_tasks[id] = Task();
  }

  void RunTask(const HttpRequest& request, Task* task, std::unique_lock<std::mutex>* lock) {
    const std::size_t space = request.body.find(' ');
    const std::string text = space == std::string::npos ? "" : request.body.substr(space + 1);
    const std::int64_t already_done_ms = std::atoll(request.Header("Resume-From").c_str());
    const std::int64_t remaining =
        std::max<std::int64_t>(std::atoll(request.body.c_str()) - already_done_ms, 0);
    const auto started = std::chrono::steady_clock::now();
    const auto stop_requested = [&] {
      return task->checkpoint_requested || task->cancel_requested;
    };
    const bool stopped = m_changed.wait_for(*lock, Milliseconds(remaining), stop_requested);
    const auto ran = std::chrono::steady_clock::now() - started;
    task->progress_ms = already_done_ms + std::chrono::duration_cast<Milliseconds>(ran).count();
    task->state = !stopped                 ? Task::State::kDone
                  : task->cancel_requested ? Task::State::kCancelled
                                           : Task::State::kCheckpointed;
    if (!stopped) task->answer = "done " + text;
  }

  HttpReply MakeReply(const std::string& id, const Task& task, std::unique_lock<std::mutex>* lock) {
    HttpReply reply = Describe(id, task);
    if (WorkFaults::Take(&m_faults.lost_answers)) return {.status = 500, .headers = {}, .body = ""};
    if (WorkFaults::Take(&m_faults.wrong_ids)) reply.headers[0].value = m_last_id;
    if (WorkFaults::Take(&m_faults.short_answers)) {
      const std::size_t declared = reply.body.size() + 1;
      reply.headers.push_back({"Content-Length", std::to_string(declared)});
      reply.headers.push_back({"Connection", "close"});
    }
    m_last_id = id;
    const int late_ms = m_faults.late_ms;
    lock->unlock();
    std::this_thread::sleep_for(Milliseconds(late_ms));
    return reply;
  }

  static HttpReply Describe(const std::string& id, const Task& task) {
    static constexpr std::array kNames = {"running", "done", "checkpointed", "cancelled"};
    return {.status = 200,
            .headers = {{"Request-Id", id},
                        {"Task-State", kNames.at(static_cast<std::size_t>(task.state))},
                        {"Progress", std::to_string(task.progress_ms)}},
            .body = task.answer};
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  WorkFaults m_faults;
  int m_slots;
  int m_busy = 0;
  int m_runs = 0;
  std::string m_last_id = "0";
  std::map<std::string, int> m_effects;
  std::map<std::string, Task> m_tasks;
  std::deque<std::string> m_task_order;
};

/// The stand-in's HTTP interface.
class Executor {
 public:
  Executor(int slots, std::uint64_t assignment, Milliseconds reboot_time)
      : m_work(slots), m_worker(assignment, reboot_time) {}

  HttpReply Handle(const HttpRequest& request) {
    if (request.path == "/work") return Work(request);
    if (request.path == "/status") return m_worker.Handle(request);
    if (request.path.starts_with("/control/")) return m_worker.Handle(request);
    if (request.path.starts_with("/tasks/")) return m_work.HandleTask(request);
    if (request.path == "/faults") return m_work.SetFaults(request);
    if (request.path == "/effects") return m_work.Effects();
    return {.status = 404, .headers = {}, .body = ""};
  }

 private:
  HttpReply Work(const HttpRequest& request) {
    if (auto refusal = m_worker.Admit(request)) return *refusal;
    HttpReply reply = m_work.Work(request);
    m_worker.Finish();
    return reply;
  }

  WorkRunner m_work;
  WorkerStateMachine m_worker;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for an upstream", ' ', kVersion);
  TCLAP::ValueArg<std::string> address("", "address", "IP address", false, "127.0.0.1", "IP",
                                       command);
  TCLAP::ValueArg<int> port("", "port", "TCP port", true, 0, "PORT", command);
  TCLAP::ValueArg<int> slots("", "slots", "requests at a time", false, 8, "N", command);
  TCLAP::ValueArg<int> assignment("", "assignment", "first assignment", false, 1, "N", command);
  TCLAP::ValueArg<int> reboot("", "reboot-ms", "time of a reboot", false, 500, "MS", command);
  command.parse(argc, argv);
  BlockStopSignals();
  Executor executor(slots.getValue(), static_cast<std::uint64_t>(assignment.getValue()),
                    Milliseconds(reboot.getValue()));
  HttpServer server({.endpoint = {.address = address.getValue(),
                                  .port = static_cast<std::uint16_t>(port.getValue())},
                     .max_threads = kThreads},
                    [&](const HttpRequest& request) { return executor.Handle(request); });
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) { return endivewood::Main(argc, argv); }
