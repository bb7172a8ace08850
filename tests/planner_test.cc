/// @file
/// The pure planner with the fold and modelled workers.
#include "planner.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "bench_fleet.h"
#include "planner_census.h"

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

PlanFunction Ours(const DataCentreName& data_centre) {
  return MakePlanner({.data_centre = data_centre});
}

bool AtRest(const FleetRun& run) {
  const auto view = run.View();
  for (const auto& [name, pool] : TakeCensus(*view)) {
    if (pool.ready != pool.target || pool.in_flight > 0) return false;
  }
  return true;
}

bool WaveOver(const FleetRun& run) { return run.View()->wave.state == WaveState::kFinished; }

// Guards against moves that are not needed, also when planners are doubled in each data centre.
TEST_CASE("a preset switch makes exactly the moves that the pools gain") {
  for (const int replicas : {1, 3}) {
    FleetRun run(SmallShape(), replicas, Ours);
    REQUIRE(run.Switch("peak-0").accepted());
    REQUIRE(run.RunUntil([&] { return !AtRest(run); }, kLimit));
    REQUIRE(run.RunUntil([&] { return AtRest(run); }, kLimit));
    // The pool gains the four spares and two instances of the other pool.
    CHECK(run.stats().moves == 6);
    CHECK(run.stats().budget_violations == 0);
  }
}

// Guards against moves back and forth when peaks come in turn.
TEST_CASE("presets that change every few seconds cause no move") {
  FleetRun run(SmallShape(), 1, Ours);
  for (int turn = 0; turn < 20; ++turn) {
    REQUIRE(run.Switch("peak-" + std::to_string(turn % 2)).accepted());
    for (Milliseconds time{0}; time < Milliseconds(6000); time += FleetRun::kStep) run.Step();
  }
  CHECK(run.stats().proposed == 0);
}

// Guards against instances left behind in the pools of the first switch.
TEST_CASE("a second switch during the first ends in the second preset") {
  FleetRun run(SmallShape(), 2, Ours);
  REQUIRE(run.Switch("peak-0").accepted());
  REQUIRE(run.RunUntil([&] { return run.stats().proposed > 0; }, kLimit));
  REQUIRE(run.Switch("peak-1").accepted());
  REQUIRE(run.RunUntil([&] { return AtRest(run); }, kLimit));
  CHECK(run.View()->ReadyCount(PoolName("pool-1")) == 12);
  // Four drains of spares were under way, and they serve the second preset as well.
  CHECK(run.stats().moves == 6);
  CHECK(run.stats().budget_violations == 0);
}

// Guards against a wave that skips an instance, reboots one twice or breaches a budget.
TEST_CASE("a wave reboots every instance once within the budgets") {
  FleetRun run(SmallShape(), 2, Ours);
  REQUIRE(run.StartWave().accepted());
  REQUIRE(run.RunUntil([&] { return WaveOver(run); }, kLimit));
  const auto view = run.View();
  for (const auto& [name, instance] : view->instances) CHECK(instance.assignment == 2);
  CHECK(run.stats().budget_violations == 0);
  CHECK(AtRest(run));
}

// Guards against a wave that is lost in a switch, or a switch that waits for the whole wave.
TEST_CASE("a switch during a wave reaches the preset and the wave ends") {
  FleetRun run(SmallShape(), 1, Ours);
  REQUIRE(run.StartWave().accepted());
  run.Step();
  REQUIRE(run.Switch("peak-1").accepted());
  REQUIRE(run.RunUntil([&] { return WaveOver(run); }, kLimit));
  REQUIRE(run.RunUntil([&] { return AtRest(run); }, kLimit));
  CHECK(run.View()->ReadyCount(PoolName("pool-1")) == 12);
  CHECK(run.stats().budget_violations == 0);
}

// Guards against a wave that drains on while racks fail, and against one that never goes on.
TEST_CASE("losses that use up the budget pause the wave until instances return") {
  FleetRun run(SmallShape(), 1, Ours);
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
  REQUIRE(run.RunUntil([&] { return WaveOver(run); }, kLimit));
  CHECK(AtRest(run));
}

// Guards against moves and drains by a data centre that can't see what the others do.
TEST_CASE("an isolated data centre starts no move and no drain") {
  FleetRun run(SmallShape(), 1, Ours);
  const DataCentreName isolated("dc2");
  run.SetIsolated(isolated, true);
  REQUIRE(run.Switch("peak-0").accepted());
  REQUIRE(run.StartWave().accepted());
  for (int step = 0; step < 400; ++step) run.Step();
  const auto view = run.View();
  for (const auto& [name, instance] : view->instances) {
    if (instance.data_centre == isolated) CHECK(instance.version == 1);
  }
  CHECK_FALSE(WaveOver(run));
  run.SetIsolated(isolated, false);
  REQUIRE(run.RunUntil([&] { return WaveOver(run) && AtRest(run); }, kLimit));
}

// Guards against orders of a paused planner that undo a later state of the worker.
TEST_CASE("a worker refuses late and repeated orders") {
  ModelWorker worker(Milliseconds(0), Milliseconds(10));
  const auto order = [&](WorkerOrder kind, std::uint64_t assignment) {
    return worker.Obey({.order = kind, .assignment = assignment}, Milliseconds(100));
  };
  CHECK_FALSE(order(WorkerOrder::kReboot, 1));
  CHECK(order(WorkerOrder::kDrain, 1));
  CHECK(order(WorkerOrder::kAssign, 2));
  CHECK_FALSE(order(WorkerOrder::kDrain, 1));
  CHECK_FALSE(order(WorkerOrder::kAssign, 2));
  CHECK_FALSE(order(WorkerOrder::kReboot, 1));
}

// Guards against budget violations and fleets that never come to rest, whatever operators do and
// whichever workers fail for a time.
TEST_CASE("any sequence of switches, waves and failures ends in the preset in force") {
  CHECK(rc::check([] {
    FleetRun run(SmallShape(), 2, Ours);
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
      return WaveOver(run) && AtRest(run);
    };
    RC_ASSERT(run.RunUntil(settled, kLimit).has_value());
    RC_ASSERT(run.stats().budget_violations == 0);
    RC_ASSERT(run.stats().aborted == 0);
  }));
}

}  // namespace
}  // namespace endivewood::testing
