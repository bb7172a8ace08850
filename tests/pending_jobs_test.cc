/// @file
/// Jobs that are reported as pending: those of which no task has begun.
#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

constexpr int kJobs = 8;

std::size_t PendingOf(const SchedulerSimulation& simulation) {
  return simulation.holder->Pending(QueueName("q"));
}

void SubmitJobs(SchedulerSimulation* simulation) {
  for (int job = 0; job < kJobs; ++job) {
    simulation->Submit(simulation->Spec("job" + std::to_string(job), {Step(1, 1000)}), test_policy);
  }
}

// Guards against counting a job as begun because a start of it was ordered and refused.
TEST_CASE("a job whose starts are refused is pending until a task runs") {
  SchedulerSimulation simulation({.upstreams = 1});
  simulation.Run(Milliseconds(500));
  simulation.upstreams[0]->refuses_starts = true;
  SubmitJobs(&simulation);
  simulation.Run(Milliseconds(6000));
  CHECK(simulation.starts > 0);
  CHECK(PendingOf(simulation) == kJobs);
  CHECK(simulation.StateOf("job0") == JobState::kQueued);
  simulation.StartNewHolder();
  simulation.old_holder.reset();
  simulation.Run(Milliseconds(3000));
  CHECK(PendingOf(simulation) == kJobs);
  simulation.upstreams[0]->refuses_starts = false;
  simulation.task_duration = Milliseconds(60000);
  simulation.Run(Milliseconds(3000));
  CHECK(PendingOf(simulation) == 0);
  CHECK(simulation.StateOf("job0") == JobState::kRunning);
}

// Guards against counting a job as begun because a start of it had no answer.
TEST_CASE("a job whose starts aren't answered is pending until a run list shows a task") {
  SchedulerSimulation simulation({.upstreams = 1});
  simulation.Run(Milliseconds(500));
  simulation.task_duration = Milliseconds(60000);
  SECTION("not executed") {
    simulation.delayed_order_share = 1;
    SubmitJobs(&simulation);
    simulation.Run(Milliseconds(1500));
    CHECK(simulation.starts == 0);
    CHECK(PendingOf(simulation) == kJobs);
  }
  SECTION("executed") {
    simulation.lost_answer_share = 1;
    SubmitJobs(&simulation);
    // An idle upstream may answer the renewal that was sent before the starts first.
    simulation.Run(Milliseconds(config::kIdleRenewWaitMs + 1000));
    CHECK(simulation.starts == kJobs);
    CHECK(PendingOf(simulation) == 0);
  }
}

// Guards against a failover after which a job that has begun counts as pending, also when its only
// task has ended meanwhile.
TEST_CASE("a job that has begun isn't pending for the next holder") {
  SchedulerSimulation simulation({.upstreams = 1});
  simulation.Run(Milliseconds(500));
  simulation.task_duration = Milliseconds(2000);
  for (int job = 0; job < kJobs; ++job) {
    StepSpec second = Step(1, 1000);
    second.depends = {0};
    simulation.Submit(simulation.Spec("job" + std::to_string(job), {Step(1, 1000), second}),
                      test_policy);
  }
  REQUIRE(simulation.RunUntil([&] { return simulation.starts == kJobs; }, Milliseconds(2000)));
  simulation.Run(Milliseconds(300));
  CHECK(PendingOf(simulation) == 0);
  SECTION("the upstream still runs it") {}
  SECTION("the upstream has crashed") {
    simulation.upstreams[0]->Restart(simulation.now, 2);
    simulation.upstreams[0]->refuses_starts = true;
  }
  simulation.StartNewHolder();
  simulation.old_holder.reset();
  simulation.Run(Milliseconds(500));
  CHECK(PendingOf(simulation) == 0);
}

// Guards against a job that counts as pending although its task has run, and failed or was stopped,
// before any run list showed it.
TEST_CASE("an end of a run shows that its job has begun") {
  SchedulerSimulation simulation({.upstreams = 1});
  simulation.Run(Milliseconds(500));
  simulation.task_duration = Milliseconds(50);
  simulation.lost_answer_share = 1;
  simulation.upstreams[0]->fails_all = true;
  const QueuePolicy patient{
      .priority = 0, .attempts = 100, .stretch = 2.0, .objective = Milliseconds(2500)};
  simulation.Submit(simulation.Spec("job", {Step(1, 1000)}), patient);
  REQUIRE(simulation.RunUntil([&] { return simulation.upstreams[0]->ended_runs > 0; },
                              Milliseconds(3000)));
  simulation.Run(Milliseconds(200));
  CHECK(PendingOf(simulation) == 0);
}

}  // namespace
}  // namespace endivewood::testing
