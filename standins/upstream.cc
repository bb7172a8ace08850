/// @file
/// Stand-in for an upstream: an executor with slots, an assignment and fault switches.
#include <tclap/CmdLine.h>

#include <iostream>
#include <map>

#include "endivewood_p.h"
#include "worker_state.h"

namespace endivewood {
namespace {

constexpr unsigned kThreads = 64;  // The brief's connection limit of an executor.

/// An executor. Work is "<milliseconds> <text>"; the answer is "done <text>".
class Executor {
 public:
  Executor(int slots, std::uint64_t assignment, Milliseconds reboot_time)
      : m_slots(slots), m_worker(assignment, reboot_time) {}

  HttpReply Handle(const HttpRequest& request) {
    if (request.path == "/work") return Work(request);
    if (request.path == "/effects") return Effects();
    if (request.path == "/status") return m_worker.Handle(request);
    if (request.path.starts_with("/control/")) return m_worker.Handle(request);
    return {.status = 404, .headers = {}, .body = ""};
  }

 private:
  HttpReply Work(const HttpRequest& request) {
    if (auto refusal = m_worker.Admit(request)) return *refusal;
    HttpReply reply = Run(request);
    m_worker.Finish();
    return reply;
  }

  HttpReply Run(const HttpRequest& request) {
    {
      std::lock_guard lock(m_mutex);
      if (m_busy >= m_slots) return {.status = 503, .headers = {{"Not-Run", "busy"}}, .body = ""};
      ++m_busy;
      const std::string key = request.Header("Idempotency-Key");
      if (!key.empty()) ++m_effects[key];
    }
    const std::size_t space = request.body.find(' ');
    const std::string text = space == std::string::npos ? "" : request.body.substr(space + 1);
    std::this_thread::sleep_for(Milliseconds(std::atoi(request.body.c_str())));
    std::lock_guard lock(m_mutex);
    --m_busy;
    return {.status = 200,
            .headers = {{"Request-Id", request.Header("Request-Id")}},
            .body = "done " + text};
  }

  /// Lists "key count" lines, from which a test finds doubled effects.
  HttpReply Effects() {
    std::lock_guard lock(m_mutex);
    std::string lines;
    for (const auto& [key, count] : m_effects) lines += key + " " + std::to_string(count) + "\n";
    return {.status = 200, .headers = {}, .body = lines};
  }

  std::mutex m_mutex;
  int m_slots;
  int m_busy = 0;
  std::map<std::string, int> m_effects;
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
