/// @file
/// Telling a faulty upstream from a faulty job by the runs that fail.
#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

const QueuePolicy patient_policy{
    .priority = 0, .attempts = 4, .stretch = 2.0, .objective = Milliseconds(2500)};

/// Starts a lasting task on every upstream.
void StartLastingTasks(SchedulerSimulation* simulation) {
  const int upstreams = static_cast<int>(simulation->upstreams.size());
  simulation->Submit(simulation->Spec("lasting", {LastingStep(upstreams, 1)}), test_policy);
  REQUIRE(
      simulation->RunUntil([&] { return simulation->starts == upstreams; }, Milliseconds(3000)));
  simulation->Run(Milliseconds(500));
}

/// Submits jobs of two tasks, one each 200 ms.
void SubmitJobs(SchedulerSimulation* simulation, const std::string& prefix, int count) {
  for (int job = 0; job < count; ++job) {
    simulation->Submit(simulation->Spec(prefix + std::to_string(job), {Step(2, 1000)}),
                       patient_policy);
    simulation->Run(Milliseconds(200));
  }
}

int CompleteJobs(const SchedulerSimulation& simulation, const std::string& prefix, int count) {
  int complete = 0;
  for (int job = 0; job < count; ++job) {
    complete += simulation.StateOf(prefix + std::to_string(job)) == JobState::kComplete ? 1 : 0;
  }
  return complete;
}

// Guards against a job that can't be done and keeps all upstreams with a lasting task from getting
// any other work.
TEST_CASE("jobs complete after a job that fails on upstreams with lasting tasks") {
  for (const int tasks : {6, 24, 60}) {
    CAPTURE(tasks);
    SchedulerSimulation simulation({.upstreams = 6});
    StartLastingTasks(&simulation);
    for (const auto& upstream : simulation.upstreams) upstream->failing_jobs = {JobId("hopeless")};
    simulation.Submit(simulation.Spec("hopeless", {Step(tasks, 1700)}), patient_policy);
    REQUIRE(simulation.RunUntil([&] { return simulation.StateOf("hopeless") == JobState::kFailed; },
                                Milliseconds(60000)));
    SubmitJobs(&simulation, "job", 12);
    simulation.Run(Milliseconds(3000));
    CHECK(CompleteJobs(simulation, "job", 12) == 12);
    CHECK(simulation.violations.empty());
  }
}

// Guards against several jobs that can't be done and together keep all upstreams with a lasting
// task from getting any other work.
TEST_CASE("jobs complete after many jobs that fail on upstreams with lasting tasks") {
  SchedulerSimulation simulation({.upstreams = 6});
  StartLastingTasks(&simulation);
  for (int job = 0; job < 8; ++job) {
    const std::string id = "hopeless" + std::to_string(job);
    for (const auto& upstream : simulation.upstreams) upstream->failing_jobs.insert(JobId(id));
    simulation.Submit(simulation.Spec(id, {Step(24, 1700)}), patient_policy);
  }
  simulation.Run(Milliseconds(60000));
  SubmitJobs(&simulation, "job", 12);
  simulation.Run(Milliseconds(14000));
  CHECK(CompleteJobs(simulation, "job", 12) == 12);
}

// Guards against jobs that wait behind the failures of another one: its failures are no evidence
// against the upstreams.
TEST_CASE("a job that fails everywhere doesn't delay the jobs beside it") {
  SchedulerSimulation simulation({.upstreams = 6});
  simulation.Run(Milliseconds(500));
  for (const auto& upstream : simulation.upstreams) upstream->failing_jobs = {JobId("hopeless")};
  simulation.Submit(simulation.Spec("hopeless", {Step(24, 1700)}), patient_policy);
  simulation.Run(Milliseconds(700));
  SubmitJobs(&simulation, "job", 6);
  simulation.Run(Milliseconds(900));
  CHECK(CompleteJobs(simulation, "job", 6) == 6);
}

// Guards against an upstream that recovers and gets no work as long as a lasting task runs there.
TEST_CASE("an upstream with a lasting task gets work again once its runs succeed") {
  SchedulerSimulation simulation({.upstreams = 1});
  StartLastingTasks(&simulation);
  FakeUpstream& upstream = *simulation.upstreams[0];
  const auto recovers = [&](const char* prefix) {
    SubmitJobs(&simulation, prefix, 8);
    simulation.Run(Milliseconds(2000));
    upstream.fails_all = false;
    upstream.stalled = false;
    const std::string after = std::string(prefix) + "after";
    SubmitJobs(&simulation, after, 4);
    simulation.Run(Milliseconds(20000));
    CHECK(CompleteJobs(simulation, after, 4) == 4);
  };
  SECTION("after failed runs") {
    upstream.fails_all = true;
    recovers("failed");
  }
  SECTION("after stalled runs") {
    upstream.stalled = true;
    recovers("stalled");
  }
}

// Guards against a faulty upstream that isn't avoided any more because of a job that fails by its
// own fault.
TEST_CASE("an upstream on which everything fails gets few runs beside its lasting task") {
  SchedulerSimulation simulation({.upstreams = 4});
  StartLastingTasks(&simulation);
  FakeUpstream& faulty = *simulation.upstreams[0];
  faulty.fails_all = true;
  for (const auto& upstream : simulation.upstreams) upstream->failing_jobs = {JobId("hopeless")};
  simulation.Submit(simulation.Spec("hopeless", {Step(12, 1700)}), patient_policy);
  std::size_t failed_before = 0;
  const auto failures = [&] { return faulty.ended_runs - failed_before; };
  SubmitJobs(&simulation, "warmup", 20);
  failed_before = faulty.ended_runs;
  SubmitJobs(&simulation, "job", 50);
  // One trial in each period of kUpstreamAvoidMs, of the 100 tasks of these 10 s.
  CHECK(failures() <= 10000 / config::kUpstreamAvoidMs + 1);
  simulation.Run(Milliseconds(10000));
  CHECK(CompleteJobs(simulation, "job", 50) == 50);
  CHECK(simulation.violations.empty());
}

}  // namespace
}  // namespace endivewood::testing
