/// @file
/// Tests the planner in a simulated fleet.
#include "planner.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "bench_fleet.h"
#include "planner_membership.h"
#include "pool_counts.h"

namespace endivewood::testing {
namespace {

constexpr Milliseconds kLimit{3600000};

FleetShape SmallShape() {
  return {.name = "small",
          .data_centres = 2,
          .pools = 2,
          .pool_instances = 6,
          .spares = 4,
          .budget = 4,
          .rack_instances = 4,
          .drain = Milliseconds(2000),
          .reboot = Milliseconds(5000)};
}

PlanFunction DefaultPlanner(const DataCentreName& data_centre) {
  return MakePlanner({.data_centre = data_centre});
}

bool IsConverged(const FleetSimulator& run) {
  const auto view = run.View();
  for (const auto& [name, pool] : CountPools(*view)) {
    if (pool.ready != pool.target || pool.in_flight > 0) return false;
  }
  return true;
}

bool IsWaveFinished(const FleetSimulator& run) {
  return run.View()->wave.state == WaveState::kFinished;
}

// Guards against unnecessary moves, also with several planners in each data centre.
TEST_CASE("a preset switch makes one move for each instance that a pool gains") {
  for (const int replicas : {1, 3}) {
    FleetSimulator run(SmallShape(), replicas, DefaultPlanner);
    REQUIRE(run.Switch("peak-0").accepted());
    REQUIRE(run.RunUntil([&] { return !IsConverged(run); }, kLimit));
    REQUIRE(run.RunUntil([&] { return IsConverged(run); }, kLimit));
    // The pool gains the four spares and two instances of the other pool.
    CHECK(run.stats().moves == 6);
    CHECK(run.stats().budget_violations == 0);
  }
}

// Guards against moves back and forth while peaks alternate between pools.
TEST_CASE("presets that change every few seconds cause no moves") {
  FleetSimulator run(SmallShape(), 1, DefaultPlanner);
  for (int turn = 0; turn < 20; ++turn) {
    REQUIRE(run.Switch("peak-" + std::to_string(turn % 2)).accepted());
    for (Milliseconds time{0}; time < Milliseconds(6000); time += FleetSimulator::kStep) run.Step();
  }
  CHECK(run.stats().proposed == 0);
}

// Guards against instances that stay in the pools of the first switch.
TEST_CASE("a second switch during the first ends in the second preset") {
  FleetSimulator run(SmallShape(), 2, DefaultPlanner);
  REQUIRE(run.Switch("peak-0").accepted());
  REQUIRE(run.RunUntil([&] { return run.stats().proposed > 0; }, kLimit));
  REQUIRE(run.Switch("peak-1").accepted());
  REQUIRE(run.RunUntil([&] { return IsConverged(run); }, kLimit));
  CHECK(run.View()->ReadyCount(PoolName("pool-1")) == 12);
  // Four spare instances were draining already and go to the pool of the second preset.
  CHECK(run.stats().moves == 6);
  CHECK(run.stats().budget_violations == 0);
}

// Guards against a wave that skips an instance, reboots one twice or breaches a budget.
TEST_CASE("a wave reboots every instance once within the budgets") {
  FleetSimulator run(SmallShape(), 2, DefaultPlanner);
  REQUIRE(run.StartWave().accepted());
  REQUIRE(run.RunUntil([&] { return IsWaveFinished(run); }, kLimit));
  const auto view = run.View();
  for (const auto& [name, instance] : view->instances) CHECK(instance.assignment == 2);
  CHECK(run.stats().budget_violations == 0);
  CHECK(IsConverged(run));
}

// Guards against a switch that stops the wave, and a switch that waits for the whole wave.
TEST_CASE("a preset switch and a wave at the same time both complete") {
  FleetSimulator run(SmallShape(), 1, DefaultPlanner);
  REQUIRE(run.StartWave().accepted());
  run.Step();
  REQUIRE(run.Switch("peak-1").accepted());
  REQUIRE(run.RunUntil([&] { return IsWaveFinished(run); }, kLimit));
  REQUIRE(run.RunUntil([&] { return IsConverged(run); }, kLimit));
  CHECK(run.View()->ReadyCount(PoolName("pool-1")) == 12);
  CHECK(run.stats().budget_violations == 0);
}

// Guards against a wave that keeps draining while racks fail, and one that never resumes.
TEST_CASE("losses that use up the budget pause the wave until instances return") {
  FleetSimulator run(SmallShape(), 1, DefaultPlanner);
  REQUIRE(run.StartWave().accepted());
  run.Step();
  std::vector<InstanceName> dead;
  const auto view = run.View();
  for (const auto& [name, instance] : view->instances) {
    if (instance.pool != PoolName("spare") && dead.size() < 9) dead.push_back(name);
  }
  for (const InstanceName& name : dead) run.WorkerOf(name).SetDead(true);
  const auto paused = [&] { return run.View()->wave.state == WaveState::kPaused; };
  REQUIRE(run.RunUntil(paused, kLimit));
  const auto draining = [&] {
    int count = 0;
    const auto view = run.View();
    for (const auto& [name, instance] : view->instances) {
      if (instance.state == InstanceState::kDraining) ++count;
    }
    return count;
  };
  const int before = draining();
  for (int step = 0; step < 100; ++step) {
    run.Step();
    CHECK(draining() <= before);
  }
  CHECK(paused());
  for (const InstanceName& name : dead) run.WorkerOf(name).SetDead(false);
  REQUIRE(run.RunUntil([&] { return IsWaveFinished(run); }, kLimit));
  CHECK(IsConverged(run));
}

// Guards against moves and drains that are planned from an outdated view.
TEST_CASE("an isolated data centre starts no move and no drain") {
  FleetSimulator run(SmallShape(), 1, DefaultPlanner);
  const DataCentreName isolated("dc2");
  run.SetIsolated(isolated, true);
  REQUIRE(run.Switch("peak-0").accepted());
  REQUIRE(run.StartWave().accepted());
  for (int step = 0; step < 400; ++step) run.Step();
  const auto view = run.View();
  for (const auto& [name, instance] : view->instances) {
    if (instance.data_centre == isolated) CHECK(instance.version == 1);
  }
  CHECK_FALSE(IsWaveFinished(run));
  run.SetIsolated(isolated, false);
  REQUIRE(run.RunUntil([&] { return IsWaveFinished(run) && IsConverged(run); }, kLimit));
}

// Guards against late orders of a paused planner that undo a newer state of the worker.
TEST_CASE("a worker refuses late and repeated orders") {
  SimulatedWorker worker(Milliseconds(0), Milliseconds(10));
  const auto order = [&](WorkerOrder kind, std::uint64_t assignment) {
    return worker.Execute({.order = kind, .assignment = assignment}, Milliseconds(100));
  };
  CHECK_FALSE(order(WorkerOrder::kReboot, 1));
  CHECK(order(WorkerOrder::kDrain, 1));
  CHECK(order(WorkerOrder::kAssign, 2));
  CHECK_FALSE(order(WorkerOrder::kDrain, 1));
  CHECK_FALSE(order(WorkerOrder::kAssign, 2));
  CHECK_FALSE(order(WorkerOrder::kReboot, 1));
}

// Guards against a wave that no planner finishes: only leaders of data centres propose records.
TEST_CASE("exactly one planner leads a wave and it is the leader of its data centre") {
  for (int round = 0; round < 50; ++round) {
    PlannerMembership membership;
    std::vector<PlannerHeartbeat> members;
    for (int number = 0; number < 9; ++number) {
      const std::string name = std::to_string(round) + "-" + std::to_string(number);
      members.push_back({.data_centre = DataCentreName("dc" + std::to_string(number % 3)),
                         .incarnation = Incarnation(name)});
      membership.Apply(Milliseconds(0), members.back());
    }
    int data_centre_leaders = 0;
    int wave_leaders = 0;
    for (const PlannerHeartbeat& member : members) {
      if (membership.LeadsDataCentre(member)) ++data_centre_leaders;
      if (!membership.LeadsWave(member)) continue;
      ++wave_leaders;
      CHECK(membership.LeadsDataCentre(member));
    }
    CHECK(data_centre_leaders == 3);
    CHECK(wave_leaders == 1);
  }
}

// Guards against budget violations and fleets that don't converge, for any operator actions and any
// temporary worker failures.
TEST_CASE("any sequence of switches, waves and failures converges to the preset in force") {
  CHECK(rc::check([] {
    FleetSimulator run(SmallShape(), 2, DefaultPlanner);
    std::vector<InstanceName> names;
    const auto view = run.View();
    for (const auto& [name, instance] : view->instances) names.push_back(name);
    for (int event = 0; event < 6; ++event) {
      const InstanceName& name = names[*rc::gen::inRange<std::size_t>(0, names.size())];
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          run.Switch("peak-" + std::to_string(*rc::gen::inRange(0, 2)));
          break;
        case 1:
          run.StartWave();
          break;
        case 2:
          run.WorkerOf(name).SetDead(true);
          break;
        default:
          run.SetIsolated(DataCentreName("dc1"), *rc::gen::arbitrary<bool>());
      }
      const int steps = *rc::gen::inRange(1, 60);
      for (int step = 0; step < steps; ++step) run.Step();
    }
    run.SetIsolated(DataCentreName("dc1"), false);
    for (const InstanceName& name : names) run.WorkerOf(name).SetDead(false);
    const auto settled = [&] {
      run.Step();
      return IsWaveFinished(run) && IsConverged(run);
    };
    RC_ASSERT(run.RunUntil(settled, kLimit).has_value());
    RC_ASSERT(run.stats().budget_violations == 0);
    RC_ASSERT(run.stats().aborted == 0);
  }));
}

}  // namespace
}  // namespace endivewood::testing
