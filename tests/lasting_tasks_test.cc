/// @file
/// Room for lasting tasks: moves, peaks of short work, and pools that shrink.
#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

/// Longest time for which a planned move may interrupt a lasting task.
constexpr Milliseconds kMoveLimit{1000};

StepSpec LargeLastingStep(int memory_mb) {
  StepSpec step = LastingStep(1, 0);
  step.memory_mb = memory_mb;
  return step;
}

/// Longest time that a lasting task was away while `advance` ran every 10 ms.
class AwayTimes {
 public:
  explicit AwayTimes(std::vector<TaskKey> tasks) : m_tasks(std::move(tasks)) {}

  void Observe(const SchedulerSimulation& simulation) {
    for (const TaskKey& task : m_tasks) {
      const auto [since, added] = m_present_at.try_emplace(task, simulation.now);
      if (simulation.RunsOf(task) > 0) since->second = simulation.now;
      m_longest = std::max(m_longest, simulation.now - since->second);
    }
  }

  Milliseconds longest() const { return m_longest; }

 private:
  std::vector<TaskKey> m_tasks;
  std::map<TaskKey, Milliseconds> m_present_at;
  Milliseconds m_longest{0};
};

std::vector<UpstreamId> HostsOf(const SchedulerSimulation& simulation,
                                const std::vector<TaskKey>& tasks) {
  std::vector<UpstreamId> hosts;
  for (const TaskKey& task : tasks) {
    for (const auto& upstream : simulation.upstreams) {
      if (upstream->running.count(task) > 0) hosts.push_back(upstream->entry.id);
    }
  }
  return hosts;
}

TEST_CASE("two upstreams released at once don't move their lasting tasks into the same room") {
  SchedulerSimulation simulation({.upstreams = 3});
  const std::vector<TaskKey> tasks = {Key("a", 0, 0), Key("b", 0, 0)};
  simulation.Submit(simulation.Spec("a", {LargeLastingStep(9000)}), test_policy);
  simulation.Submit(simulation.Spec("b", {LargeLastingStep(9000)}), test_policy);
  simulation.Run(Milliseconds(2000));
  const std::vector<UpstreamId> hosts = HostsOf(simulation, tasks);
  REQUIRE(hosts.size() == 2);
  REQUIRE(hosts[0] != hosts[1]);
  AwayTimes away(tasks);
  for (int round = 0; round < 600; ++round) {
    for (const UpstreamId& host : hosts) simulation.holder->Release(host, simulation.now);
    simulation.Run(Milliseconds(10));
    away.Observe(simulation);
  }
  CHECK(away.longest() <= kMoveLimit);
  // The one upstream with room has taken one of them.
  CHECK(HostsOf(simulation, tasks) != hosts);
  CHECK(simulation.violations.empty());
}

TEST_CASE("short tasks don't take the room for which a lasting task was stopped") {
  SchedulerSimulation simulation({.upstreams = 2});
  simulation.task_duration = Milliseconds(60000);
  const std::vector<TaskKey> tasks = {Key("lasting", 0, 0)};
  simulation.Submit(simulation.Spec("lasting", {LargeLastingStep(9000)}), test_policy);
  simulation.Run(Milliseconds(2000));
  const std::vector<UpstreamId> hosts = HostsOf(simulation, tasks);
  REQUIRE(hosts.size() == 1);
  StepSpec short_step = Step(1, 1000);
  short_step.memory_mb = 8000;
  simulation.Submit(simulation.Spec("short", {short_step}), test_policy);
  // The short job is stored and can start from now on, like the move.
  simulation.Run(Milliseconds(10));
  AwayTimes away(tasks);
  for (int round = 0; round < 600; ++round) {
    simulation.holder->Release(hosts[0], simulation.now);
    simulation.Run(Milliseconds(10));
    away.Observe(simulation);
  }
  CHECK(away.longest() <= kMoveLimit);
  CHECK(HostsOf(simulation, tasks) != hosts);
  CHECK(simulation.violations.empty());
}

TEST_CASE("a peak of short tasks doesn't keep a lasting task from running") {
  SchedulerSimulation simulation({.upstreams = 2});
  StepSpec small = Step(2, 1000);
  small.memory_mb = 3000;
  simulation.Run(Milliseconds(500));
  int job = 0;
  const auto add_load = [&] {
    // Each upstream holds five of them for half a second.
    simulation.Submit(simulation.Spec("short" + std::to_string(job++), {small}), test_policy);
    simulation.Run(Milliseconds(50));
  };
  for (int round = 0; round < 20; ++round) add_load();
  simulation.Submit(simulation.Spec("lasting", {LargeLastingStep(9000)}), test_policy);
  AwayTimes away({Key("lasting", 0, 0)});
  for (int round = 0; round < 120; ++round) {
    add_load();
    away.Observe(simulation);
  }
  CHECK(away.longest() <= kMoveLimit);
  CHECK(simulation.violations.empty());
}

TEST_CASE("the log says once a second why a lasting task has no upstream") {
  SchedulerSimulation simulation({.upstreams = 4});
  std::vector<std::map<std::string, std::string>> lines;
  SetEventSink({.enabled = {}, .write = [&](Event event, const std::vector<EventField>& fields) {
                  if (event != Event::kTaskUnplaced) return;
                  std::map<std::string, std::string>& line = lines.emplace_back();
                  for (const EventField& field : fields) line[field.name] = field.value;
                }});
  simulation.upstreams[0]->reachable = false;
  simulation.upstreams[1]->entry.draining = true;
  simulation.Run(Milliseconds(3000));
  simulation.holder->Release(simulation.upstreams[2]->entry.id, simulation.now);
  simulation.Submit(simulation.Spec("lasting", {LargeLastingStep(17000)}), test_policy);
  simulation.Run(Milliseconds(2500));
  SilenceEvents();
  REQUIRE(lines.size() == 3);
  CHECK(lines[1]["task"] == Key("lasting", 0, 0).str());
  CHECK(lines[1]["needs_mb"] == "17000");
  CHECK(lines[1]["most_free_mb"] == "16000");
  for (const char* field : {"silent", "draining", "released", "short_memory"}) {
    CAPTURE(field);
    CHECK(lines[1][field] == "1");
  }
}

TEST_CASE("a lasting task without other room runs on a released upstream until that is empty") {
  SchedulerSimulation simulation({.upstreams = 2});
  const std::vector<TaskKey> first = {Key("a", 0, 0), Key("b", 0, 0)};
  simulation.Submit(simulation.Spec("a", {LargeLastingStep(9000)}), test_policy);
  simulation.Submit(simulation.Spec("b", {LargeLastingStep(9000)}), test_policy);
  simulation.Run(Milliseconds(2000));
  const std::vector<UpstreamId> hosts = HostsOf(simulation, first);
  REQUIRE(hosts.size() == 2);
  AwayTimes away({Key("c", 0, 0)});
  for (int round = 0; round < 400; ++round) {
    for (const UpstreamId& host : hosts) {
      CHECK(simulation.holder->Release(host, simulation.now) == ReleaseState::kBusy);
    }
    if (round == 100) {
      simulation.Submit(simulation.Spec("c", {LargeLastingStep(5000)}), test_policy);
    }
    if (round >= 100) away.Observe(simulation);
    simulation.Run(Milliseconds(10));
  }
  CHECK(away.longest() <= kMoveLimit);
  // With another upstream the released ones become empty.
  simulation.AddUpstream();
  simulation.AddUpstream();
  std::set<UpstreamId> released;
  for (int round = 0; round < 400; ++round) {
    for (const UpstreamId& host : hosts) {
      if (simulation.holder->Release(host, simulation.now) == ReleaseState::kReleased) {
        released.insert(host);
      }
    }
    simulation.Run(Milliseconds(10));
  }
  CHECK(released.size() == 2);
  CHECK(simulation.violations.empty());
}

TEST_CASE("the need of a pool covers all lasting tasks that fit nowhere") {
  SchedulerSimulation simulation({.upstreams = 2});
  StepSpec lasting = LargeLastingStep(9000);
  lasting.count = 6;
  lasting.max_per_upstream = 0;
  simulation.Submit(simulation.Spec("lasting", {lasting}), test_policy);
  simulation.Run(Milliseconds(3000));
  CHECK(simulation.holder->Demand(test_service, simulation.now).min_lasting_upstreams == 6);
  for (int added = 0; added < 4; ++added) simulation.AddUpstream();
  simulation.Run(Milliseconds(3000));
  std::size_t running = 0;
  for (const auto& upstream : simulation.upstreams) running += upstream->running.size();
  CHECK(running == 6);
}

TEST_CASE("the need of a pool covers the lasting tasks of a dark rack before their leases end") {
  SchedulerSimulation simulation({.upstreams = 4});
  StepSpec lasting = LargeLastingStep(9000);
  lasting.count = 4;
  lasting.max_per_upstream = 0;
  simulation.Submit(simulation.Spec("lasting", {lasting}), test_policy);
  simulation.Run(Milliseconds(3000));
  CHECK(simulation.holder->Demand(test_service, simulation.now).min_lasting_upstreams == 4);
  simulation.upstreams[0]->alive = false;
  simulation.upstreams[1]->alive = false;
  simulation.Run(Milliseconds(2500));
  const ServiceDemand demand = simulation.holder->Demand(test_service, simulation.now);
  CHECK(demand.upstreams == 2);
  CHECK(demand.min_lasting_upstreams == 4);
}

TEST_CASE("further upstreams are counted in every resource and by the limit of each step") {
  const Capacity empty{.cpu_millicores = 32000, .memory_mb = 64000};
  const PackedTask wide{.step = Key("wide", 0, 0),
                        .needed = {.cpu_millicores = 16000, .memory_mb = 4000}};
  const PackedTask large{.step = Key("large", 0, 0),
                         .needed = {.cpu_millicores = 4000, .memory_mb = 46000}};
  const PackedTask apart{.step = Key("apart", 0, 0),
                         .needed = {.cpu_millicores = 1000, .memory_mb = 1000},
                         .max_per_upstream = 1};
  CHECK(CountFurtherUpstreams({wide, wide, large}, {}, empty) == 2);
  const PackingRoom small{.free = {.cpu_millicores = 32000, .memory_mb = 45000}, .tasks = {}};
  CHECK(CountFurtherUpstreams({large, large}, {small}, empty) == 2);
  const PackingRoom enough{.free = {.cpu_millicores = 20000, .memory_mb = 50000}, .tasks = {}};
  CHECK(CountFurtherUpstreams({wide, large}, {enough}, empty) == 0);
  // A task that fits on no empty upstream needs none.
  const PackedTask impossible{.step = Key("impossible", 0, 0),
                              .needed = {.cpu_millicores = 33000, .memory_mb = 1}};
  CHECK(CountFurtherUpstreams({impossible}, {}, empty) == 0);
  CHECK(CountFurtherUpstreams({apart, apart, apart}, {}, empty) == 3);
  const PackingRoom taken{.free = empty, .tasks = {{Key("apart", 0, 0), 1}}};
  CHECK(CountFurtherUpstreams({apart, apart}, {taken}, empty) == 2);
}

TEST_CASE("a draining upstream's lasting task gets the room that short tasks leave") {
  SchedulerSimulation simulation({.upstreams = 2});
  simulation.Submit(simulation.Spec("lasting", {LargeLastingStep(9000)}), test_policy);
  simulation.Run(Milliseconds(2000));
  const std::vector<UpstreamId> hosts = HostsOf(simulation, {Key("lasting", 0, 0)});
  REQUIRE(hosts.size() == 1);
  StepSpec small = Step(2, 1000);
  small.memory_mb = 3000;
  bool moved = false;
  for (int round = 0; round < 160; ++round) {
    simulation.Submit(simulation.Spec("short" + std::to_string(round), {small}), test_policy);
    simulation.Run(Milliseconds(50));
    if (round == 40) {
      for (const auto& upstream : simulation.upstreams) {
        upstream->entry.draining = upstream->entry.id == hosts[0];
      }
    }
    if (round > 40) moved = moved || HostsOf(simulation, {Key("lasting", 0, 0)}) != hosts;
  }
  CHECK(moved);
  CHECK(simulation.violations.empty());
}

}  // namespace
}  // namespace endivewood::testing
