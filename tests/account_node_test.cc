/// @file
/// Shares of accounts' limits between two instances on a real event loop and real connections.
#include <catch2/catch.hpp>

#include "job_node.h"
#include "member_name.h"
#include "node_link.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

const AccountName account_a("a");
constexpr std::uint16_t kLedgerPort = 7741;
constexpr std::uint16_t kHolderPort = 7742;

/// A store whose group gives partition 0 to one instance and the others to the second.
class TwoHolderStore {
 public:
  explicit TwoHolderStore(EventLoop* loop) : m_loop(loop) {}

  void Call(const StoreCall& call, const StoreCallback& callback) {
    const auto* const append = std::get_if<AppendKeyed>(&call);
    if (append != nullptr && append->partition.topic == "jobs" && append->partition.number == 0) {
      if (!ledger_up) {
        m_loop->After(Milliseconds(50), [callback] { callback({}); });
        return;
      }
      for (const KeyedRecord& record : append->records) ledger[record.key] = record.value;
    }
    m_loop->After(Milliseconds(1), [callback, reply = Answer(call)] { callback(reply); });
  }

  std::map<std::string, std::string> ledger;  ///< Records of partition 0.
  bool ledger_up = true;

 private:
  StoreReply Answer(const StoreCall& call) {
    StoreReply reply{.status = StoreStatus::kOk};
    if (const auto* join = std::get_if<JoinGroup>(&call)) {
      reply.generation = 3;
      const bool first = EndpointOfMember(join->member)->port == kLedgerPort;
      for (int partition = 0; partition < 4; ++partition) {
        if ((partition == 0) != first) continue;
        reply.held.push_back({"jobs", partition});
        m_owners[partition] = {.partition = {"jobs", partition}, .member = join->member};
      }
    }
    if (std::holds_alternative<ListOwners>(call)) {
      for (const auto& [partition, owner] : m_owners) reply.owners.push_back(owner);
    }
    const auto* newest = std::get_if<ReadNewest>(&call);
    if (newest != nullptr && newest->partition.topic == "operators") {
      reply.records = {{.key = "config", .value = "x"}};
    }
    if (newest != nullptr && newest->partition.topic == "registry") {
      reply.records = {{.key = "i-1", .value = "entry"}};
    }
    return reply;
  }

  EventLoop* m_loop;
  std::map<int, PartitionOwner> m_owners;
};

class TwoInstances {
 public:
  TwoInstances() : store(&loop) {
    SilenceEvents();
    m_ledger_node = NewNode(kLedgerPort);
    m_holder_node = NewNode(kHolderPort);
  }

  /// Submits a job of eight tasks of 1 core, and runs the loop for `duration`.
  void SubmitAndRun(Milliseconds duration) {
    loop.After(Milliseconds(700), [&] {
      JobSpec spec{.id = JobId("j"), .queue = QueueName("q"), .service = test_service};
      spec.steps = {Step(8, 1000)};
      spec.account = account_a;
      const CallerCredential credential{.account = account_a, .key = KeyDigest::Of("key")};
      m_holder_node->Handle(
          SubmitCall{.spec = spec, .policy = test_policy, .credential = credential},
          Milliseconds(2000), [this](const NodeReply& reply) { status = reply.status; });
    });
    loop.After(Milliseconds(700) + duration, [this] { loop.Stop(); });
    loop.Run();
  }

  std::string LedgerDump() const { return m_ledger_node->Dump(); }

  EventLoop loop;
  Clock clock;
  TwoHolderStore store;
  int starts = 0;
  std::optional<NodeStatus> status;

 private:
  std::unique_ptr<JobNode> NewNode(std::uint16_t port) {
    JobNodeOptions options;
    options.name = "node-" + std::to_string(port);
    options.peer_endpoint = {.address = "127.0.0.1", .port = port};
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
    callbacks.send_renew = [this](const Endpoint&, std::uint64_t, const RenewOrder& order,
                                  Milliseconds, const std::function<void(RenewReply)>& done) {
      loop.After(std::max(Milliseconds(5), order.wait), [this, done] {
        RenewReply reply{.outcome = OrderOutcome::kDone, .clock = clock.Now().count()};
        reply.start_time = 1;
        reply.running = m_running;
        done(reply);
      });
    };
    callbacks.send_order = [this](const Endpoint&, std::uint64_t, const UpstreamOrder& order,
                                  Milliseconds, const std::function<void(OrderReply)>& done) {
      if (const auto* start = std::get_if<StartOrder>(&order)) {
        ++starts;
        m_running.push_back({.task = start->task, .run = start->run, .checkpoint = ""});
      }
      loop.After(Milliseconds(2), [this, done] {
        done({.outcome = OrderOutcome::kDone, .clock = clock.Now().count()});
      });
    };
    callbacks.decode_upstream = [](const std::string& key,
                                   const std::string&) -> std::optional<UpstreamEntry> {
      return UpstreamEntry{.id = UpstreamId(key),
                           .service = test_service,
                           .endpoint = {.address = "127.0.0.1", .port = 1},
                           .capacity = {.cpu_millicores = 16000, .memory_mb = 32000},
                           .start_time = 1};
    };
    callbacks.decode_catalog = [](const std::string&) -> std::optional<FleetCatalog> {
      ClientAccount account{.name = account_a, .keys = {KeyDigest::Of("key")}};
      account.limit.cpu_millicores = 3000;
      FleetCatalog catalog{.version = 1, .queues = {}, .services = {{.name = test_service}}};
      catalog.queues = {{.name = QueueName("q")}};
      catalog.accounts = {account};
      return catalog;
    };
    auto node = std::make_unique<JobNode>(&loop, &clock, options, callbacks);
    node->Start();
    return node;
  }

  std::vector<RunningRow> m_running;
  std::unique_ptr<JobNode> m_ledger_node;
  std::unique_ptr<JobNode> m_holder_node;
};

// Guards against a share that the instances don't hand over, and against starts beyond it.
TEST_CASE("a holder gets its share from the instance with the ledger, and starts no more") {
  TwoInstances instances;
  instances.SubmitAndRun(Milliseconds(1000));
  CHECK(instances.status == NodeStatus::kOk);
  CHECK(instances.starts == 3);
  const std::string key = "w/share/" + std::to_string(PartitionOf(test_service, 4));
  CHECK(instances.store.ledger.count(key) == 1);
  CHECK(instances.LedgerDump().find("\"ledger\": {") != std::string::npos);
}

// Guards against starts by an answer that went out before the share was stored.
TEST_CASE("nothing starts while the ledger can't be stored") {
  TwoInstances instances;
  instances.loop.After(Milliseconds(500), [&] { instances.store.ledger_up = false; });
  instances.SubmitAndRun(Milliseconds(1000));
  CHECK(instances.status == NodeStatus::kOk);
  CHECK(instances.starts == 0);
}

// Guards against calls and answers that change in encoding or decoding.
TEST_CASE("share calls and their answers decode to what was encoded") {
  ShareRequest request{.account = account_a, .keep = ResourceTotal{.cpu_millicores = 5}};
  request.limit = {.cpu_millicores = 9, .memory_mb = 8, .gpus = 7};
  request.next = {.memory_mb = 3};
  ShareRequest unknown{.account = AccountName("b"), .keep = std::nullopt};
  const ShareCall call{.service = {},
                       .partition = 3,
                       .epoch = 1ULL << 40,
                       .sequence = 9,
                       .requests = {request, unknown}};
  std::string bytes = EncodeNodeFrame({.id = 7, .body = NodeCall(call)});
  bool malformed = false;
  const auto frame = TakeNodeFrame(&bytes, &malformed);
  REQUIRE(frame);
  CHECK(std::get<ShareCall>(std::get<NodeCall>(frame->body)) == call);
  NodeReply reply{.status = NodeStatus::kOk};
  reply.shares = {.sequence = 9,
                  .shares = {{.account = account_a,
                              .share = {.cpu_millicores = 4},
                              .contended = true,
                              .fair = {.memory_mb = 2},
                              .over = true}}};
  bytes = EncodeNodeFrame({.id = 8, .body = reply});
  const auto answer = TakeNodeFrame(&bytes, &malformed);
  REQUIRE(answer);
  CHECK(std::get<NodeReply>(answer->body).shares == reply.shares);
}

}  // namespace
}  // namespace endivewood::testing
