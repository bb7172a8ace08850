/// @file
/// A JobNode on a real event loop, against an in-memory log service.
#include "job_node.h"

#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

/// Answers a node's calls as the log service does, keeps its claims and counts its appends.
class FakeStore {
 public:
  explicit FakeStore(EventLoop* loop) : m_loop(loop) {}

  void Call(const StoreCall& call, const StoreCallback& callback) {
    if (std::holds_alternative<AppendKeyed>(call)) {
      ++appends;
      if (!answers_appends && appends > appends_before_call) return;
    }
    const auto* const newest = std::get_if<ReadNewest>(&call);
    const auto* const changes = std::get_if<ReadKeyed>(&call);
    const bool registry = (newest != nullptr && newest->partition.topic == "registry") ||
                          (changes != nullptr && changes->partition.topic == "registry");
    if (registry && !answers_registry) {
      m_loop->After(Milliseconds(300), [callback] { callback({}); });
      return;
    }
    if (std::holds_alternative<JoinGroup>(call) && !answers_joins) return;
    if (const auto* join = std::get_if<JoinGroup>(&call)) member = join->member;
    if (const auto* claim = std::get_if<ClaimEpoch>(&call)) claims.push_back(*claim);
    if (const auto* leave = std::get_if<LeaveGroup>(&call)) left.push_back(leave->member);
    m_loop->After(Milliseconds(1), [callback, reply = Answer(call)] { callback(reply); });
  }

  bool answers_appends = true;
  int appends = 0;
  int appends_before_call = 0;  ///< Appends up to this count are always answered.
  std::string member;           ///< The node's member name in the group.
  std::vector<ClaimEpoch> claims;
  std::vector<std::string> left;  ///< Members that have left the group.
  std::vector<PartitionOwner> owners;
  std::uint64_t generation = 3;  ///< Of the group.
  bool holds = true;             ///< Whether the node is given the partitions.
  bool answers_registry = true;
  bool answers_joins = true;

 private:
  StoreReply Answer(const StoreCall& call) const {
    StoreReply reply{.status = StoreStatus::kOk};
    if (std::holds_alternative<JoinGroup>(call)) {
      reply.generation = generation;
      for (int partition = 0; partition < 4 && holds; ++partition) {
        reply.held.push_back({"jobs", partition});
      }
    }
    if (std::holds_alternative<ListOwners>(call)) reply.owners = owners;
    const auto* newest = std::get_if<ReadNewest>(&call);
    if (newest != nullptr && newest->partition.topic == "operators") {
      reply.records = {{.key = "config", .value = "x"}};
    }
    if (newest != nullptr && newest->partition.topic == "registry") {
      reply.records = {{.key = "odd", .value = "odd"}, {.key = "i-1", .value = "entry"}};
    }
    return reply;
  }

  EventLoop* m_loop;
};

class NodeFixture {
 public:
  explicit NodeFixture(std::uint16_t port, const InstanceCapacity& capacity = {}) : store(&loop) {
    SilenceEvents();
    JobNodeOptions options;
    options.name = "node";
    options.peer_endpoint = {.address = "127.0.0.1", .port = port};
    options.capacity = capacity;
    options.partitions = 4;
    options.planner.move_instances = false;
    options.names = {.operators = {"operators", 0},
                     .config_key = "config",
                     .wave_prefix = "wave/",
                     .registry = {"registry", 0},
                     .status = {"status", 0},
                     .job_topic = "jobs",
                     .group = "g"};
    PlatformCallbacks callbacks;
    callbacks.call_store = [this](const StoreCall& call, Milliseconds,
                                  const StoreCallback& callback) { store.Call(call, callback); };
    callbacks.call_machines = [](const MachineCall&, Milliseconds, const auto&) {};
    callbacks.send_renew = [this](const Endpoint&, std::uint64_t token, const RenewOrder& order,
                                  Milliseconds, const std::function<void(RenewReply)>& done) {
      renewed.push_back(order);
      tokens.push_back(token);
      if (during_renewal) std::exchange(during_renewal, {})();
      loop.After(Milliseconds(5), [this, done] {
        RenewReply reply{.outcome = OrderOutcome::kDone, .clock = clock.Now().count()};
        reply.start_time = start_time;
        done(reply);
      });
    };
    callbacks.send_order = [this](const Endpoint&, std::uint64_t, const UpstreamOrder& order,
                                  Milliseconds, const std::function<void(OrderReply)>&) {
      if (std::holds_alternative<StartOrder>(order)) ++starts;
    };
    callbacks.decode_upstream = [](const std::string& key,
                                   const std::string& value) -> std::optional<UpstreamEntry> {
      if (value != "entry") return std::nullopt;
      return UpstreamEntry{.id = UpstreamId(key),
                           .service = test_service,
                           .endpoint = {.address = "127.0.0.1", .port = 1},
                           .capacity = {.cpu_millicores = 4000, .memory_mb = 8000},
                           .start_time = 1};
    };
    callbacks.decode_catalog = [](const std::string&) -> std::optional<FleetCatalog> {
      return FleetCatalog{.version = 1, .queues = {}, .services = {{.name = test_service}}};
    };
    node.emplace(&loop, &clock, options, callbacks);
    node->Start();
  }

  /// Makes a call after 200 ms, and runs the loop until it is answered or `limit` has passed.
  std::optional<NodeReply> Ask(const NodeCall& call, Milliseconds timeout, Milliseconds limit) {
    std::optional<NodeReply> answer;
    loop.After(Milliseconds(200), [&] {
      store.appends_before_call = store.appends;
      node->Handle(call, timeout, [&](NodeReply reply) {
        answer = std::move(reply);
        loop.Stop();
      });
    });
    loop.After(limit, [this] { loop.Stop(); });
    loop.Run();
    return answer;
  }

  EventLoop loop;
  Clock clock;
  FakeStore store;
  std::vector<RenewOrder> renewed;
  std::vector<std::uint64_t> tokens;     ///< Fencing tokens of these orders.
  std::int64_t start_time = 1;           ///< Of the upstream.
  int starts = 0;                        ///< Start orders that were sent.
  std::function<void()> during_renewal;  ///< Called once, in the tick that sends a renewal.
  std::optional<JobNode> node;
};

/// Waits until a node holds its partitions, sends it a HandoverCall, and returns the claims that it
/// makes in the second after that.
std::vector<ClaimEpoch> ClaimsAfterHandoverCall(NodeFixture* fixture, std::uint64_t epoch) {
  std::vector<ClaimEpoch> claims;
  fixture->loop.After(Milliseconds(300), [&] {
    fixture->store.claims.clear();
    const int partition = PartitionOf(test_service, 4);
    fixture->node->Handle(HandoverCall{.service = test_service,
                                       .partition = partition,
                                       .member = fixture->store.member,
                                       .epoch = epoch},
                          Milliseconds(500), [](const NodeReply&) {});
  });
  fixture->loop.After(Milliseconds(1300), [&] {
    claims = fixture->store.claims;
    fixture->loop.Stop();
  });
  fixture->loop.Run();
  return claims;
}

SubmitCall Submission() {
  return {.spec = {.id = JobId("0123456789abcdef"),
                   .queue = QueueName("q"),
                   .service = test_service,
                   .steps = {Step(1, 100)}},
          .policy = test_policy};
}

// Guards against placement passes that keep the process from everything else without a trace: the
// next tick is scheduled when the long one ends, so it isn't late.
TEST_CASE("a tick that takes long is logged with the work that took the time") {
  NodeFixture fixture(21989);
  std::vector<std::map<std::string, std::string>> reports;
  SetEventSink({.enabled = {}, .write = [&](Event event, const std::vector<EventField>& fields) {
                  if (event != Event::kProcessDelayed) return;
                  std::map<std::string, std::string>& report = reports.emplace_back();
                  for (const EventField& field : fields) report[field.name] = field.value;
                }});
  fixture.loop.After(Milliseconds(500), [&] {
    fixture.during_renewal = [&] { fixture.clock.Advance(Milliseconds(300)); };
  });
  fixture.loop.After(Milliseconds(3500), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  SilenceEvents();
  const auto report = std::find_if(reports.begin(), reports.end(),
                                   [](const auto& each) { return each.count("took_ms") > 0; });
  REQUIRE(report != reports.end());
  CHECK(std::stoi(report->at("took_ms")) >= 300);
  CHECK(std::stoi(report->at("scheduling_ms")) >= 300);
}

// Guards against orders whose fencing token is that of a former incarnation.
TEST_CASE("orders carry a higher fencing token once their upstream has started again") {
  NodeFixture fixture(21990);
  fixture.loop.After(Milliseconds(500), [&] { fixture.start_time = 2; });
  fixture.loop.After(Milliseconds(1500), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  REQUIRE_FALSE(fixture.tokens.empty());
  CHECK(GenerationOfEpoch(fixture.tokens.front()) > 0);
  CHECK(fixture.tokens.back() == fixture.tokens.front() + 1);
}

// Guards against refusing a job at its caller's deadline although its append may still be stored,
// in which case the job runs.
TEST_CASE("a submission whose append is unanswered at the deadline is answered as uncertain") {
  NodeFixture fixture(21911);
  fixture.store.answers_appends = false;
  fixture.store.appends_before_call = 1000;
  const auto reply = fixture.Ask(Submission(), Milliseconds(150), Milliseconds(3000));
  REQUIRE(reply);
  CHECK(reply->status == NodeStatus::kUncertain);
}

// Guards against accepting a job that isn't stored.
TEST_CASE("a submission is accepted once its append is acknowledged") {
  NodeFixture fixture(21912);
  const auto reply = fixture.Ask(Submission(), Milliseconds(1000), Milliseconds(3000));
  REQUIRE(reply);
  CHECK(reply->status == NodeStatus::kOk);
  CHECK(fixture.store.appends > fixture.store.appends_before_call);
}

// Guards against an instance that reports a job as unknown although another may hold its partition.
TEST_CASE("only a confirmed holder reports a job as unknown") {
  NodeFixture fixture(21913);
  const StatusCall status{.queue = QueueName("q"), .service = test_service, .job = JobId("x")};
  const auto reply = fixture.Ask(status, Milliseconds(500), Milliseconds(3000));
  REQUIRE(reply);
  CHECK(reply->status == NodeStatus::kUnknownJob);
}

// Guards against a holder that ends its term because of a HandoverCall that an earlier holder sent
// and that was delayed in transit.
TEST_CASE("a delayed handover call from an earlier holder doesn't end a term") {
  NodeFixture fixture(21914);
  CHECK(ClaimsAfterHandoverCall(&fixture, 1).empty());
}

// Guards against two terms with the same epoch: the store takes the second term's appends for
// repeats of the first term's, acknowledges them, and stores nothing.
TEST_CASE("a second term within one generation gets a higher epoch") {
  NodeFixture fixture(21915);
  std::uint64_t first = 0;
  fixture.loop.After(Milliseconds(290), [&] { first = fixture.store.claims.front().epoch; });
  const std::vector<ClaimEpoch> claims = ClaimsAfterHandoverCall(&fixture, 1000000);
  REQUIRE(claims.size() == 1);
  CHECK(claims[0].epoch > first);
}

constexpr InstanceCapacity kSmallInstance{.cpu_millicores = 120, .link_mbps = 10};

std::vector<PartitionOwner> LargeOwners() {
  return {{.partition = {"jobs", 0}, .member = "127.0.0.1:1/500/a"},
          {.partition = {"jobs", 1}, .member = "127.0.0.1:2/500/b"}};
}

// Guards against a service that is scheduled by one of the smallest instances, whose link and
// processor a peak fills, while larger ones idle.
TEST_CASE("a small instance hands its partitions to larger holders and keeps out of the group") {
  NodeFixture fixture(21916, kSmallInstance);
  std::size_t claims = 0;
  fixture.loop.After(Milliseconds(800), [&] {
    claims = fixture.store.claims.size();
    fixture.store.owners = LargeOwners();
  });
  std::size_t claims_after = 0;
  fixture.loop.After(Milliseconds(5000), [&] {
    claims_after = fixture.store.claims.size();
    fixture.loop.Stop();
  });
  fixture.loop.Run();
  CHECK(claims == 4);
  CHECK(claims_after == 4);
  CHECK(fixture.store.left == std::vector<std::string>{fixture.store.member});
}

// Guards against partitions without a holder once the larger instances are gone.
TEST_CASE("a small instance joins when no larger holders are left") {
  NodeFixture fixture(21917, kSmallInstance);
  fixture.store.owners = LargeOwners();
  std::size_t claims_before = 0;
  fixture.loop.After(Milliseconds(1500), [&] {
    claims_before = fixture.store.claims.size();
    fixture.store.owners.clear();
  });
  fixture.loop.After(Milliseconds(3500), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  CHECK(claims_before == 0);
  CHECK(fixture.store.claims.size() == 4);
}

// Guards against work for an upstream that left, or began to drain, while this instance held no
// partition: its list of upstreams is as old as its last term.
TEST_CASE("a new term uses no upstream before the registry has been read again") {
  NodeFixture fixture(21918);
  std::size_t before = 0;
  std::size_t after = 0;
  fixture.loop.After(Milliseconds(800), [&] {
    before = fixture.renewed.size();
    fixture.store.holds = false;
    ++fixture.store.generation;
  });
  fixture.loop.After(Milliseconds(1800), [&] {
    fixture.store.answers_registry = false;
    fixture.store.holds = true;
    ++fixture.store.generation;
    fixture.renewed.clear();
  });
  fixture.loop.After(Milliseconds(3200), [&] {
    after = fixture.renewed.size();
    fixture.store.answers_registry = true;
  });
  fixture.loop.After(Milliseconds(5000), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  CHECK(before > 0);
  CHECK(after == 0);
  CHECK_FALSE(fixture.renewed.empty());
}

// Guards against starts by a holder that was paused after it had placed them: another holder may
// have taken the partition meanwhile.
TEST_CASE("starts that were decided before a pause aren't sent after it") {
  NodeFixture fixture(21919);
  fixture.loop.After(Milliseconds(600), [&] {
    fixture.store.answers_joins = false;
    fixture.node->Handle(Submission(), Milliseconds(5000),
                         [&](const NodeReply& reply) { CHECK(reply.status == NodeStatus::kOk); });
  });
  // Each event is logged while a tick runs: the pause begins between placement and sending.
  bool paused = false;
  SetEventSink({.enabled = [](EventLevel) { return true; },
                .write =
                    [&](Event event, const std::vector<EventField>&) {
                      if (event != Event::kTaskStarted || paused) return;
                      paused = true;
                      fixture.clock.Advance(Milliseconds(5000));
                    }});
  fixture.loop.After(Milliseconds(1500), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  SilenceEvents();
  CHECK(paused);
  CHECK(fixture.starts == 0);
}

// Guards against a process that ends, or does nothing more, because of an unexpected error.
TEST_CASE("an instance goes on after an exception in one of its callbacks") {
  NodeFixture fixture(21920);
  int errors = 0;
  int claims = 0;
  bool thrown = false;
  SetEventSink({.enabled = [](EventLevel) { return true; },
                .write =
                    [&](Event event, const std::vector<EventField>&) {
                      if (event == Event::kCallbackFailed) ++errors;
                      if (event == Event::kPartitionClaimed) ++claims;
                      if (event != Event::kTaskStarted || thrown) return;
                      thrown = true;
                      throw std::runtime_error("unexpected");
                    }});
  fixture.loop.After(Milliseconds(600), [&] {
    fixture.node->Handle(Submission(), Milliseconds(5000), [](const NodeReply&) {});
  });
  // By then the term that failed has ended, and the next one holds the partition.
  fixture.loop.After(Milliseconds(2500), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  SilenceEvents();
  CHECK(thrown);
  CHECK(errors == 1);
  CHECK(claims == 5);
}

}  // namespace
}  // namespace endivewood::testing
