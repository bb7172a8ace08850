/// @file
/// Upstreams with more ended runs than one run list contains.
#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

constexpr int kTasks = 620;

StepSpec SmallStep(int count) {
  StepSpec step = Step(count, 50);
  step.memory_mb = 10;
  step.estimate = Milliseconds(2000);
  return step;
}

SchedulerSimulation::Options OneLargeUpstream() {
  return {.upstreams = 1, .capacity = {.cpu_millicores = 32000, .memory_mb = 64000}};
}

/// Starts a job whose tasks all run on one upstream.
void StartTasks(SchedulerSimulation* simulation) {
  simulation->task_duration = Milliseconds(2000);
  simulation->Submit(simulation->Spec("job", {SmallStep(kTasks)}), test_policy);
  REQUIRE(simulation->RunUntil([&] { return simulation->starts == kTasks; }, Milliseconds(3000)));
  simulation->Run(Milliseconds(200));
}

/// Replaces the holder after the tasks have ended on an upstream that it couldn't reach.
void ReplaceHolderAfterEnds(SchedulerSimulation* simulation) {
  FakeUpstream& upstream = *simulation->upstreams[0];
  StartTasks(simulation);
  upstream.reachable = false;
  REQUIRE(
      simulation->RunUntil([&] { return upstream.ended.size() == kTasks; }, Milliseconds(3000)));
  simulation->StartNewHolder();
  simulation->old_holder.reset();
  upstream.reachable = true;
}

bool Complete(const SchedulerSimulation& simulation) {
  return simulation.StateOf("job") == JobState::kComplete;
}

// Guards against a new holder that runs tasks again whose ends are beyond the first run list.
TEST_CASE("a new holder reads all ended runs before it restarts tasks") {
  for (const std::size_t listed : {std::size_t{500}, std::size_t{100}, std::size_t{7}}) {
    CAPTURE(listed);
    SchedulerSimulation simulation(OneLargeUpstream());
    simulation.upstreams[0]->listed_ends = listed;
    ReplaceHolderAfterEnds(&simulation);
    CHECK(simulation.RunUntil([&] { return Complete(simulation); }, Milliseconds(20000)));
    CHECK(simulation.starts == kTasks);
  }
}

// Guards against the same when the new holder can't store, and so can't acknowledge, the first
// ends at once.
TEST_CASE("a new holder without a store doesn't restart tasks whose ends aren't listed yet") {
  SchedulerSimulation simulation(OneLargeUpstream());
  ReplaceHolderAfterEnds(&simulation);
  simulation.store_up = false;
  simulation.Run(Milliseconds(8000));
  simulation.store_up = true;
  CHECK(simulation.RunUntil([&] { return Complete(simulation); }, Milliseconds(20000)));
  CHECK(simulation.starts == kTasks);
}

// Guards against a holder that takes runs for lost because more runs ended during an outage of the
// store than one run list contains.
TEST_CASE("runs that ended while the store was down aren't started again") {
  SchedulerSimulation simulation(OneLargeUpstream());
  StartTasks(&simulation);
  simulation.store_up = false;
  simulation.Run(Milliseconds(8000));
  REQUIRE(simulation.upstreams[0]->ended.size() > simulation.upstreams[0]->listed_ends);
  simulation.store_up = true;
  CHECK(simulation.RunUntil([&] { return Complete(simulation); }, Milliseconds(3000)));
  CHECK(simulation.starts == kTasks);
}

// Guards against runs that are taken for stalled, and an upstream for faulty, because their ends
// aren't listed yet.
TEST_CASE("an upstream whose ends aren't all listed isn't avoided") {
  SchedulerSimulation simulation(OneLargeUpstream());
  StartTasks(&simulation);
  simulation.store_up = false;
  simulation.Run(Milliseconds(8000));
  const auto& session = simulation.holder->sessions().begin()->second;
  CHECK(session.avoid_until <= simulation.now);
}

// Guards against a renewal for each round trip while the ends can't be acknowledged.
TEST_CASE("a list with further ends is read again only once its ends are acknowledged") {
  SchedulerSimulation simulation(OneLargeUpstream());
  StartTasks(&simulation);
  simulation.store_up = false;
  simulation.Run(Milliseconds(3000));
  const int before = simulation.renewals;
  simulation.Run(Milliseconds(3000));
  CHECK(simulation.renewals - before <= 3000 / config::kRenewSpacingMs);
}

// Guards against an upstream that the planner restarts before all its ends were read.
TEST_CASE("an upstream isn't released before all its ended runs are acknowledged") {
  SchedulerSimulation simulation(OneLargeUpstream());
  ReplaceHolderAfterEnds(&simulation);
  const FakeUpstream& upstream = *simulation.upstreams[0];
  REQUIRE(simulation.RunUntil(
      [&] {
        return simulation.holder->Release(upstream.entry.id, simulation.now) ==
               ReleaseState::kReleased;
      },
      Milliseconds(20000)));
  CHECK(upstream.ended.empty());
  CHECK(simulation.starts == kTasks);
}

// Guards against waiting without end for further ends of an upstream that doesn't answer any more.
TEST_CASE("tasks restart after the lease of an upstream whose further ends can't be read") {
  SchedulerSimulation simulation(
      {.upstreams = 2, .capacity = {.cpu_millicores = 32000, .memory_mb = 64000}});
  for (const auto& upstream : simulation.upstreams) upstream->listed_ends = 50;
  simulation.task_duration = Milliseconds(2000);
  simulation.Submit(simulation.Spec("job", {SmallStep(kTasks)}), test_policy);
  REQUIRE(simulation.RunUntil([&] { return simulation.starts == kTasks; }, Milliseconds(3000)));
  simulation.Run(Milliseconds(200));
  FakeUpstream* const lost = simulation.upstreams[0]->running.empty()
                                 ? simulation.upstreams[1].get()
                                 : simulation.upstreams[0].get();
  lost->reachable = false;
  REQUIRE(simulation.RunUntil([&] { return lost->running.empty(); }, Milliseconds(3000)));
  simulation.StartNewHolder();
  simulation.old_holder.reset();
  lost->reachable = true;
  REQUIRE(simulation.RunUntil([&] { return lost->acknowledged_up_to > 0; }, Milliseconds(3000)));
  lost->reachable = false;
  CHECK(simulation.RunUntil([&] { return Complete(simulation); }, Milliseconds(40000)));
}

}  // namespace
}  // namespace endivewood::testing
