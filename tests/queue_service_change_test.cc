/// @file
/// Jobs of a queue that a version of the configuration sends to another service, whose jobs another
/// instance keeps.
#include <catch2/catch.hpp>
#include <set>
#include <sstream>

#include "job_node.h"
#include "log_service.h"
#include "member_name.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

const QueueName queue("q");
const JobId first_job("00000000000000a1");
constexpr int kPartitions = 4;
constexpr int kInstances = 2;

/// @returns service names whose jobs are kept in different partitions, neither of them 0.
std::pair<ServiceName, ServiceName> TwoServices() {
  const ServiceName first("first");
  for (int number = 0;; ++number) {
    const ServiceName second("second" + std::to_string(number));
    if (PartitionOf(first, kPartitions) != PartitionOf(second, kPartitions)) return {first, second};
  }
}

const ServiceName first_service = TwoServices().first;
const ServiceName second_service = TwoServices().second;

/// Two instances, of which the first holds the partition of the first service, the second one all
/// others; an upstream for each service, which keeps running what it is told to start.
class Deployment {
 public:
  /// @param former whose store and upstreams this deployment's new processes find; may be nullptr.
  explicit Deployment(std::uint16_t port, const Deployment* former = nullptr)
      : store(&loop,
              [this](int partition, const std::vector<std::string>& members) {
                return HolderOf(partition, members);
              }),
        m_port(port) {
    SilenceEvents();
    if (former != nullptr) {
      store.CopyStored(former->store);
      m_running = former->m_running;
    }
    store.Put("registry", first_service.str(), "entry");
    store.Put("registry", second_service.str(), "entry");
    if (former == nullptr) Configure(1, first_service);
    for (int number = 0; number < kInstances; ++number) {
      m_nodes.push_back(NewNode(static_cast<std::uint16_t>(m_port + number)));
    }
    RunFor(Milliseconds(900));
  }

  /// The operators' configuration sends the queue to a service.
  void Configure(std::uint64_t version, const ServiceName& service) {
    store.Put("operators", "config", std::to_string(version) + " " + service.str());
  }

  /// Gives the partition of the first service to its instance, or to nobody.
  void AssignFirstPartition(bool assigned) {
    m_first_assigned = assigned;
    store.Reassign();
  }

  void RunFor(Milliseconds duration) {
    loop.After(duration, [this] { loop.Stop(); });
    loop.Run();
  }

  /// Sends a call at one instance, without waiting for the answer.
  void Send(int instance, const NodeCall& call, std::function<void(const NodeReply&)> done,
            Milliseconds timeout = Milliseconds(2000)) {
    m_nodes[instance]->Handle(call, timeout, std::move(done));
  }

  /// Sends a call at one instance and returns the answer.
  NodeReply Ask(int instance, const NodeCall& call, Milliseconds timeout = Milliseconds(2000)) {
    std::optional<NodeReply> answer;
    Send(
        instance, call,
        [&](const NodeReply& reply) {
          answer = reply;
          loop.Stop();
        },
        timeout);
    loop.After(Milliseconds(4000), [this] { loop.Stop(); });
    while (!answer) loop.Run();
    return *answer;
  }

  /// @returns the number of starts of a job's tasks.
  std::size_t StartsOf(const JobId& job) const {
    std::size_t starts = 0;
    for (const auto& [upstream, row] : m_running) {
      if (row.task.job == job) ++starts;
    }
    return starts;
  }
  /// @returns the services on whose upstreams a job's tasks were started.
  std::set<std::string> ServicesOf(const JobId& job) const {
    std::set<std::string> services;
    for (const auto& [upstream, row] : m_running) {
      if (row.task.job == job) services.insert(upstream);
    }
    return services;
  }

  EventLoop loop;
  Clock clock;
  LogService store;

 private:
  std::string HolderOf(int partition, const std::vector<std::string>& members) const {
    const bool first = partition == PartitionOf(first_service, kPartitions);
    if (first && !m_first_assigned) return "";
    const std::uint16_t port = first ? m_port : static_cast<std::uint16_t>(m_port + 1);
    for (const std::string& member : members) {
      if (EndpointOfMember(member)->port == port) return member;
    }
    return "";
  }

  std::unique_ptr<JobNode> NewNode(std::uint16_t port) {
    JobNodeOptions options;
    options.name = "node-" + std::to_string(port);
    options.peer_endpoint = {.address = "127.0.0.1", .port = port};
    options.partitions = kPartitions;
    options.planner.move_instances = false;
    options.names = {.operators = {"operators", 0},
                     .config_key = "config",
                     .wave_prefix = "wave/",
                     .registry = {"registry", 0},
                     .status = {"status", 0},
                     .queue_services = {"queues", 0},
                     .job_topic = "jobs",
                     .group = "g"};
    PlatformCallbacks callbacks;
    callbacks.call_store = [this](const StoreCall& call, Milliseconds timeout,
                                  const StoreCallback& done) { store.Call(call, timeout, done); };
    callbacks.call_machines = [](const MachineCall&, Milliseconds, const auto&) {};
    callbacks.send_renew = [this](const Endpoint& endpoint, std::uint64_t, const RenewOrder& order,
                                  Milliseconds, const std::function<void(RenewReply)>& done) {
      loop.After(std::max(Milliseconds(5), order.wait), [this, endpoint, done] {
        RenewReply reply{.outcome = OrderOutcome::kDone, .clock = clock.Now().count()};
        reply.start_time = 1;
        const auto [begin, end] = m_running.equal_range(endpoint.address);
        for (auto it = begin; it != end; ++it) reply.running.push_back(it->second);
        done(reply);
      });
    };
    callbacks.send_order = [this](const Endpoint& endpoint, std::uint64_t,
                                  const UpstreamOrder& order, Milliseconds,
                                  const std::function<void(OrderReply)>& done) {
      if (const auto* start = std::get_if<StartOrder>(&order)) {
        m_running.emplace(endpoint.address,
                          RunningRow{.task = start->task, .run = start->run, .checkpoint = ""});
      }
      loop.After(Milliseconds(2), [this, done] {
        done({.outcome = OrderOutcome::kDone, .clock = clock.Now().count()});
      });
    };
    callbacks.decode_upstream = [](const std::string& key,
                                   const std::string&) -> std::optional<UpstreamEntry> {
      return UpstreamEntry{.id = UpstreamId("u-" + key),
                           .service = ServiceName(key),
                           .endpoint = {.address = key, .port = 1},
                           .capacity = {.cpu_millicores = 1000000, .memory_mb = 1000000},
                           .start_time = 1};
    };
    callbacks.decode_catalog = [](const std::string& value) -> std::optional<FleetCatalog> {
      std::istringstream words(value);
      FleetCatalog catalog;
      std::string service;
      words >> catalog.version >> service;
      catalog.queues = {{.name = queue, .service = ServiceName(service), .policy = test_policy}};
      catalog.services = {{.name = first_service}, {.name = second_service}};
      return catalog;
    };
    auto node = std::make_unique<JobNode>(&loop, &clock, options, callbacks);
    node->Start();
    return node;
  }

  std::uint16_t m_port;
  bool m_first_assigned = true;
  std::multimap<std::string, RunningRow> m_running;  ///< By the address of the upstream.
  std::vector<std::unique_ptr<JobNode>> m_nodes;
};

SubmitCall Submission(const JobId& job, const ServiceName& service, std::uint64_t config_version,
                      int cpu_millicores = 100) {
  SubmitCall call{.policy = test_policy};
  call.spec = {.id = job, .queue = queue, .service = service, .steps = {Step(1, cpu_millicores)}};
  call.credential.config_version = config_version;
  return call;
}

StatusCall Status(const JobId& job, const ServiceName& service, std::uint64_t config_version) {
  StatusCall call{.queue = queue, .service = service, .job = job};
  call.credential.config_version = config_version;
  return call;
}

/// A queue's change of service with a job that runs.
void ChangeServiceOfRunningJob(Deployment* deployment) {
  REQUIRE(deployment->Ask(1, Submission(first_job, first_service, 1)).status == NodeStatus::kOk);
  deployment->RunFor(Milliseconds(300));
  REQUIRE(deployment->StartsOf(first_job) == 1);
  deployment->Configure(2, second_service);
  deployment->RunFor(Milliseconds(300));
}

/// Checks that each instance finds the job, and that a repeated submission starts nothing.
void CheckJobIsFound(Deployment* deployment) {
  for (int instance = 0; instance < kInstances; ++instance) {
    CHECK(deployment->Ask(instance, Status(first_job, second_service, 2)).status ==
          NodeStatus::kOk);
    CHECK(deployment->Ask(instance, Submission(first_job, second_service, 2)).status ==
          NodeStatus::kOk);
  }
  deployment->RunFor(Milliseconds(500));
  CHECK(deployment->StartsOf(first_job) == 1);
}

// Guards against a job that isn't found, and runs a second time when its submission is repeated,
// once its queue has another service.
TEST_CASE("a job is found, and doesn't run again, after its queue's change of service") {
  Deployment deployment(22010);
  ChangeServiceOfRunningJob(&deployment);
  CheckJobIsFound(&deployment);
}

// Guards against the same when no process remembers the earlier configuration.
TEST_CASE("a job is found after its queue's change of service and a restart of all instances") {
  Deployment deployment(22020);
  ChangeServiceOfRunningJob(&deployment);
  Deployment restarted(22025, &deployment);
  CheckJobIsFound(&restarted);
}

// Guards against a cancellation that is answered with "no such job" and stops nothing.
TEST_CASE("a job is cancelled after its queue's change of service") {
  Deployment deployment(22030);
  ChangeServiceOfRunningJob(&deployment);
  CancelCall cancel{.queue = queue, .service = second_service, .job = first_job};
  cancel.credential.config_version = 2;
  CHECK(deployment.Ask(1, cancel).status == NodeStatus::kOk);
  const NodeReply status = deployment.Ask(0, Status(first_job, second_service, 2));
  CHECK(status.status == NodeStatus::kOk);
  CHECK(status.state == JobState::kCancelled);
}

// Guards against a number of pending jobs that leaves out those accepted for the earlier service.
TEST_CASE("pending jobs of all services of a queue are counted") {
  constexpr int kTooLarge = 2000000;
  Deployment deployment(22040);
  for (const char* job : {"00000000000000b1", "00000000000000b2", "00000000000000b3"}) {
    const SubmitCall call = Submission(JobId(job), first_service, 1, kTooLarge);
    REQUIRE(deployment.Ask(0, call).status == NodeStatus::kOk);
  }
  deployment.Configure(2, second_service);
  deployment.RunFor(Milliseconds(300));
  const SubmitCall call = Submission(JobId("00000000000000b4"), second_service, 2, kTooLarge);
  REQUIRE(deployment.Ask(0, call).status == NodeStatus::kOk);
  PendingCall pending{.queue = queue, .service = second_service};
  pending.credential.config_version = 2;
  CHECK(deployment.Ask(0, pending).pending == 4);
}

// Guards against a job that runs on the former service because the instance that took it hadn't
// read the newest configuration yet.
TEST_CASE("a holder passes a submission by an older configuration on to the new service") {
  Deployment deployment(22050);
  deployment.Configure(2, second_service);
  deployment.RunFor(Milliseconds(300));
  REQUIRE(deployment.Ask(0, Submission(first_job, first_service, 1)).status == NodeStatus::kOk);
  deployment.RunFor(Milliseconds(300));
  CHECK(deployment.ServicesOf(first_job) == std::set<std::string>{second_service.str()});
}

// Guards against two holders that accept one job at the same time, each after the other has
// answered that it doesn't have it.
TEST_CASE("a job that reaches the holders of both services at the same time runs once") {
  constexpr int kJobs = 150;
  Deployment deployment(22060);
  int accepted = 0;
  const auto count = [&](const NodeReply& reply) { accepted += reply.status == NodeStatus::kOk; };
  std::vector<JobId> jobs;
  for (int number = 0; number < kJobs; ++number) {
    jobs.emplace_back("c" + std::to_string(1000 + number));
    // The holders haven't read the version yet by which the second instance has taken it.
    deployment.loop.After(Milliseconds(number / 5), [&, job = jobs.back()] {
      deployment.Send(0, Submission(job, first_service, 1), count);
      deployment.Send(1, Submission(job, second_service, 2), count);
    });
  }
  deployment.RunFor(Milliseconds(2500));
  CHECK(accepted > kJobs);
  for (const JobId& job : jobs) CHECK(deployment.StartsOf(job) == 1);
}

// Guards against a job that is accepted, or reported as unknown, although the holder of the queue's
// earlier service may have it.
TEST_CASE("nothing is said of a job while the holder of the earlier service is away") {
  Deployment deployment(22070);
  ChangeServiceOfRunningJob(&deployment);
  REQUIRE(deployment.Ask(1, Submission(first_job, second_service, 2)).status == NodeStatus::kOk);
  deployment.AssignFirstPartition(false);
  deployment.RunFor(Milliseconds(1000));
  const Milliseconds asked = deployment.clock.Now();
  const NodeReply submitted = deployment.Ask(1, Submission(first_job, second_service, 2));
  CHECK(submitted.status == NodeStatus::kUnavailable);
  CHECK(submitted.retry_after > Milliseconds(0));
  CHECK(deployment.clock.Now() - asked < Milliseconds(config::kJobLookupTimeoutMs + 300));
  CHECK(deployment.Ask(1, Status(first_job, second_service, 2)).status != NodeStatus::kUnknownJob);
  CHECK(deployment.StartsOf(first_job) == 1);
  deployment.AssignFirstPartition(true);
  deployment.RunFor(Milliseconds(1500));
  CheckJobIsFound(&deployment);
}

// Guards against a queue whose jobs are refused for good because of an earlier service.
TEST_CASE("an earlier service without jobs isn't asked any more") {
  Deployment deployment(22080);
  REQUIRE(deployment.Ask(0, Status(first_job, first_service, 1)).status == NodeStatus::kUnknownJob);
  deployment.Configure(2, second_service);
  deployment.RunFor(Milliseconds(300));
  REQUIRE(deployment.Ask(1, Submission(first_job, second_service, 2)).status == NodeStatus::kOk);
  deployment.AssignFirstPartition(false);
  deployment.RunFor(Milliseconds(1000));
  const SubmitCall other = Submission(JobId("00000000000000d2"), second_service, 2);
  CHECK(deployment.Ask(1, other).status == NodeStatus::kOk);
}

}  // namespace
}  // namespace endivewood::testing
