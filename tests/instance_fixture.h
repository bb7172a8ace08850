/// @file
/// An instance with its listeners, a log service that serves its configuration, and a caller.
#pragma once

#include "adapter.h"
#include "config.h"
#include "scheduler_simulation.h"

namespace endivewood::platform::testing {

using endivewood::testing::SilenceEvents;

/// How the log service answers reads of the operators' topic.
enum class Reads : std::uint8_t {
  kCorrect = 0,
  kWaitsMissChanges,  ///< A waiting read isn't answered by a change, and then ends without records.
  kSilent,            ///< No read is answered.
};

/// A log service with one configuration per offset; version N has the queues /q1/ to /qN/.
class ConfigLog {
 public:
  explicit ConfigLog(EventLoop* loop) : m_loop(loop) {}

  void Call(const StoreCall& call, Milliseconds timeout, const StoreCallback& callback) {
    const auto* const changes = std::get_if<ReadKeyed>(&call);
    const bool newest = std::holds_alternative<ReadNewest>(call);
    if (reads == Reads::kSilent && (changes != nullptr || newest)) {
      m_loop->After(timeout, [callback] { callback({}); });
      return;
    }
    if (const auto* const join = std::get_if<JoinGroup>(&call); join != nullptr && holds) {
      StoreReply held{.status = StoreStatus::kOk, .generation = 1};
      for (int number = 0; number < 4; ++number) held.held.push_back({join->topic, number});
      m_loop->After(Milliseconds(1), [callback, held] { callback(held); });
      return;
    }
    const auto* const all = std::get_if<ReadNewest>(&call);
    const bool other_topic = (all != nullptr && all->partition.topic != kOperatorsTopic) ||
                             (changes != nullptr && changes->partition.topic != kOperatorsTopic);
    if (other_topic) {
      m_loop->After(Milliseconds(1), [callback] { callback({.status = StoreStatus::kOk}); });
      return;
    }
    StoreReply reply{.status = StoreStatus::kOk, .end = m_values.size()};
    if (newest) reply.records = {{.key = "config", .value = m_values.back()}};
    if (changes != nullptr && changes->from >= m_values.size()) {
      WaitForChange(*changes, callback);
      return;
    }
    for (std::size_t at = changes == nullptr ? m_values.size() : changes->from;
         at < m_values.size(); ++at) {
      reply.records.push_back({.key = "config", .value = m_values[at]});
    }
    m_loop->After(Milliseconds(1), [callback, reply] { callback(reply); });
  }

  void Publish(const std::string& value) {
    m_values.push_back(value);
    if (reads == Reads::kWaitsMissChanges) return;
    for (Waiting& waiting : std::exchange(m_waiting, {})) Call(waiting.read, {}, waiting.callback);
  }

  Reads reads = Reads::kCorrect;
  bool holds = false;  ///< Whether the instance holds all partitions.

 private:
  static constexpr char kOperatorsTopic[] = "keyed.op";

  struct Waiting {
    ReadKeyed read;
    StoreCallback callback;
    int number = 0;
  };

  void WaitForChange(const ReadKeyed& read, const StoreCallback& callback) {
    m_waiting.push_back({.read = read, .callback = callback, .number = ++m_last_number});
    m_loop->After(read.wait, [this, number = m_last_number] {
      const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [&](const Waiting& each) { return each.number == number; });
      if (found == m_waiting.end()) return;
      const Waiting ended = *found;
      m_waiting.erase(found);
      ended.callback({.status = StoreStatus::kOk, .end = ended.read.from});
    });
  }

  EventLoop* m_loop;
  std::vector<std::string> m_values{"1"};
  std::vector<Waiting> m_waiting;
  int m_last_number = 0;
};

/// An instance with its listeners, and a caller.
class InstanceFixture {
 public:
  using Decoder = std::function<std::optional<FleetCatalog>(const std::string&)>;

  /// @param configure changes the settings.
  explicit InstanceFixture(std::uint16_t port, Decoder decode,
                           const std::function<void(PlatformSettings*)>& configure = {})
      : log(&loop),
        m_callers({.address = "127.0.0.1", .port = port}),
        m_caller(&loop, {.max_connections = 200}) {
    SilenceEvents();
    PlatformSettings settings;
    settings.callers = m_callers;
    settings.partitions = 4;
    settings.ready = {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(port + 1)};
    if (configure) configure(&settings);
    JobNodeOptions options = NodeOptionsOf(settings);
    options.name = "node";
    options.peer_endpoint = {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(port + 2)};
    PlatformCallbacks callbacks;
    callbacks.call_store = [this](const StoreCall& call, Milliseconds timeout,
                                  const StoreCallback& done) { log.Call(call, timeout, done); };
    callbacks.call_machines = [](const MachineCall&, Milliseconds, const auto&) {};
    callbacks.decode_catalog = std::move(decode);
    node.emplace(&loop, &clock, options, callbacks);
    m_entry.emplace(&loop, settings, &*node);
    node->Start();
    loop.After(Milliseconds(20000), [this] { loop.Stop(); });
  }

  /// Runs a step at a time after the start.
  void At(Milliseconds time, std::function<void()> step) { loop.After(time, std::move(step)); }

  /// Asks for a queue's number of pending jobs, and ends the run with the answer.
  /// @param headers besides Host and Deadline-Ms.
  void Ask(const std::string& queue, const std::vector<HttpHeader>& headers = {}) {
    const Milliseconds asked_at = clock.Now();
    Send({.method = "GET", .path = "/" + queue + "/", .headers = headers},
         [this, asked_at](int answer) {
           status = answer;
           took = clock.Now() - asked_at;
           loop.Stop();
         });
  }

  /// Sends a request, and calls `done` with the HTTP status of the answer, 0 without one.
  void Send(HttpRequest request, std::function<void(int)> done) {
    request.headers.push_back({"Host", "h.example"});
    request.headers.push_back({"Deadline-Ms", "2000"});
    m_caller.Call(m_callers, request, Milliseconds(5000),
                  [done = std::move(done)](const HttpOutcome& outcome) {
                    done(outcome.reply ? outcome.reply->status : 0);
                  });
  }

  EventLoop loop;
  Clock clock;
  ConfigLog log;
  std::optional<JobNode> node;
  int status = 0;  ///< HTTP status of the answer; 0: none.
  Milliseconds took{0};

 private:
  Endpoint m_callers;
  AsyncHttpClient m_caller;
  std::optional<CallerEntry> m_entry;
};

}  // namespace endivewood::platform::testing
