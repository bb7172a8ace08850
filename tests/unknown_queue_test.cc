/// @file
/// What callers of a queue get while the instance may not know the newest configuration.
#include <catch2/catch.hpp>

#include "adapter.h"
#include "config.h"
#include "scheduler_simulation.h"

namespace endivewood::platform::testing {
namespace {

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

 private:
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

std::optional<FleetCatalog> DecodeVersion(const std::string& value) {
  if (value == "unreadable") return std::nullopt;
  FleetCatalog catalog{.version = std::stoull(value), .services = {{.name = ServiceName("s")}}};
  for (std::uint64_t number = 1; number <= catalog.version; ++number) {
    const std::string name = "q" + std::to_string(number);
    catalog.queues.push_back({.name = QueueName(name),
                              .host = "h.example",
                              .prefix = "/" + name + "/",
                              .service = ServiceName("s")});
  }
  return catalog;
}

/// An instance with its listeners, and a caller.
class InstanceFixture {
 public:
  explicit InstanceFixture(std::uint16_t port)
      : log(&loop), m_callers({.address = "127.0.0.1", .port = port}), m_caller(&loop, {}) {
    SilenceEvents();
    PlatformSettings settings;
    settings.callers = m_callers;
    settings.ready = {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(port + 1)};
    JobNodeOptions options = NodeOptionsOf(settings);
    options.name = "node";
    options.peer_endpoint = {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(port + 2)};
    PlatformCallbacks callbacks;
    callbacks.call_store = [this](const StoreCall& call, Milliseconds timeout,
                                  const StoreCallback& done) { log.Call(call, timeout, done); };
    callbacks.call_machines = [](const MachineCall&, Milliseconds, const auto&) {};
    callbacks.decode_catalog = &DecodeVersion;
    node.emplace(&loop, &clock, options, callbacks);
    m_entry.emplace(&loop, settings, &*node);
    node->Start();
    loop.After(Milliseconds(20000), [this] { loop.Stop(); });
  }

  /// Runs a step at a time after the start.
  void At(Milliseconds time, std::function<void()> step) { loop.After(time, std::move(step)); }

  /// Asks for a queue's number of pending jobs, and ends the run with the answer.
  void Ask(const std::string& queue) {
    HttpRequest request{.method = "GET", .path = "/" + queue + "/"};
    request.headers = {{"Host", "h.example"}, {"Deadline-Ms", "2000"}};
    m_asked_at = clock.Now();
    m_caller.Call(m_callers, request, Milliseconds(5000), [this](const HttpOutcome& outcome) {
      if (outcome.reply) status = outcome.reply->status;
      took = clock.Now() - m_asked_at;
      loop.Stop();
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
  Milliseconds m_asked_at{0};
};

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr Milliseconds kLoaded{300};
/// After the end of a read that waits for a change from kLoaded on.
constexpr Milliseconds kAfterWait{kLoaded.count() + config::kConfigWaitMs + 200};

// Guards against a 404 for a queue whose version was missed by a waiting read, when the reads after
// it have no answer.
TEST_CASE("an unknown queue isn't answered 404 by an instance whose reads have no answer") {
  InstanceFixture fixture(21950);
  fixture.At(kLoaded, [&] {
    fixture.log.reads = Reads::kWaitsMissChanges;
    fixture.log.Publish("2");
    fixture.log.reads = Reads::kSilent;
  });
  fixture.At(kAfterWait, [&] { fixture.Ask("q2"); });
  fixture.loop.Run();
  CHECK(fixture.status == kUnavailable);
}

// Guards against a 404 for a queue of a version that can be read at the time of the request.
TEST_CASE("an unknown queue is looked up in the newest configuration before a 404") {
  InstanceFixture fixture(21953);
  fixture.At(kLoaded, [&] {
    fixture.log.reads = Reads::kWaitsMissChanges;
    fixture.log.Publish("2");
    fixture.Ask("q2");
  });
  fixture.loop.Run();
  CHECK(fixture.status != 0);
  CHECK(fixture.status != kNotFound);
  CHECK(fixture.node->catalog()->version == 2);
}

// Guards against a queue that is taken for unknown because its configuration can't be read.
TEST_CASE("an unknown queue isn't answered 404 while the newest configuration is unreadable") {
  InstanceFixture fixture(21956);
  fixture.At(kLoaded, [&] { fixture.log.Publish("unreadable"); });
  fixture.At(2 * kLoaded, [&] { fixture.Ask("q2"); });
  fixture.loop.Run();
  CHECK(fixture.status == kUnavailable);
}

// Guards against a caller that waits although nothing hinders the answer.
TEST_CASE("a queue that doesn't exist is answered 404 without waiting for a change") {
  InstanceFixture fixture(21959);
  fixture.At(kLoaded, [&] { fixture.Ask("other"); });
  fixture.loop.Run();
  CHECK(fixture.status == kNotFound);
  CHECK(fixture.took < Milliseconds(500));
}

}  // namespace
}  // namespace endivewood::platform::testing
