/// @file
/// Upstreams whose time of day was set back before they started again under their id: the start
/// time that they state is lower than that of their former incarnation.
#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

constexpr Milliseconds kOutage{500};
/// More than the time for which the former incarnation is up.
constexpr Milliseconds kStep{20000};
constexpr Milliseconds kLargeStep{3600000};
/// Longest lease, by a clock that is 2 % slow, and the time until its end is acted upon.
constexpr Milliseconds kLongestLease{10500};

/// Two upstreams. Tasks start on the first one while the other refuses starts.
class SetBackUpstream {
 public:
  SetBackUpstream() : simulation({.upstreams = 2}) {
    restarted().Restart(simulation.now, simulation.now.count());
    simulation.Run(Milliseconds(9000));
    simulation.task_duration = Milliseconds(60000);
    other().refuses_starts = true;
  }

  FakeUpstream& restarted() { return *simulation.upstreams[0]; }
  FakeUpstream& other() { return *simulation.upstreams[1]; }

  void Restart(Milliseconds set_back) {
    restarted().Restart(simulation.now, (simulation.now - set_back).count());
  }

  /// The start reaches the next incarnation, and sets its lease by the clock of the former one.
  void RestartWithOrderUnderWay(Milliseconds set_back) {
    restarted().GoDark();
    simulation.Submit(simulation.Spec("former", {Step(1, 1000)}), test_policy);
    simulation.Run(kOutage);
    Restart(set_back);
  }

  bool RunsOnFirst(const TaskKey& task, Milliseconds limit) {
    return simulation.RunUntil([&] { return restarted().running.count(task) > 0; }, limit);
  }

  /// Cuts the first upstream off. @returns whether the task runs on the other one in time.
  bool MovesAfterCut(const TaskKey& task) {
    restarted().reachable = false;
    restarted().reachable_by_old_holder = false;
    other().refuses_starts = false;
    return simulation.RunUntil([&] { return other().running.count(task) > 0; }, kLongestLease);
  }

  std::string FirstViolation() const {
    return simulation.violations.empty() ? "" : simulation.violations.front().what;
  }

  const TaskKey job = Key("job", 0, 0);
  SchedulerSimulation simulation;
};

// Guards against a task that waits for the end of a run that ended with the former incarnation.
TEST_CASE("a run ends with its upstream, whatever start time the next incarnation states") {
  SetBackUpstream test;
  test.simulation.Submit(test.simulation.Spec("job", {Step(1, 1000)}), test_policy);
  REQUIRE(test.RunsOnFirst(test.job, Milliseconds(1000)));
  test.simulation.Run(Milliseconds(500));
  test.Restart(kStep);
  CHECK(test.RunsOnFirst(test.job, Milliseconds(4000)));
}

// Guards against acknowledgements meant for the former incarnation, which drop ends that the new
// one hasn't listed, so that their tasks run again.
TEST_CASE("ends on an incarnation with a lower start time are read before they are acknowledged") {
  SetBackUpstream test;
  test.simulation.task_duration = Milliseconds(300);
  test.simulation.Submit(test.simulation.Spec("former", {Step(6, 1000)}), test_policy);
  REQUIRE(test.simulation.RunUntil(
      [&] { return test.simulation.StateOf("former") == JobState::kComplete; },
      Milliseconds(3000)));
  test.simulation.Run(Milliseconds(2500));
  test.Restart(kStep);
  test.simulation.Run(Milliseconds(3000));
  const std::size_t before = test.restarted().ended_runs;
  test.simulation.Submit(test.simulation.Spec("job", {Step(4, 1000)}), test_policy);
  CHECK(test.simulation.RunUntil(
      [&] { return test.simulation.StateOf("job") == JobState::kComplete; }, Milliseconds(5000)));
  CHECK(test.restarted().ended_runs - before == 4);
}

// Guards against a task that starts elsewhere while its upstream, cut off, still has a lease.
TEST_CASE("a start that an incarnation with a lower start time has executed is waited for") {
  for (const Milliseconds set_back : {kStep, kLargeStep}) {
    CAPTURE(set_back.count());
    SetBackUpstream test;
    test.RestartWithOrderUnderWay(set_back);
    const TaskKey former = Key("former", 0, 0);
    REQUIRE(test.RunsOnFirst(former, Milliseconds(500)));
    test.simulation.Run(Milliseconds(1000));
    CHECK(test.MovesAfterCut(former));
    CHECK(test.FirstViolation() == "");
  }
}

// Guards against the same for a task that is placed there later.
TEST_CASE("a lease on an incarnation with a lower start time is waited for") {
  for (const Milliseconds set_back : {kStep, kLargeStep}) {
    CAPTURE(set_back.count());
    SetBackUpstream test;
    test.RestartWithOrderUnderWay(set_back);
    test.simulation.Submit(test.simulation.Spec("job", {Step(1, 1000)}), test_policy);
    REQUIRE(test.RunsOnFirst(test.job, Milliseconds(4000)));
    CHECK(test.MovesAfterCut(test.job));
    CHECK(test.FirstViolation() == "");
  }
}

// Guards against the same after a failover.
TEST_CASE("a new holder waits for a lease on an incarnation with a lower start time") {
  for (const Milliseconds set_back : {kStep, kLargeStep}) {
    CAPTURE(set_back.count());
    SetBackUpstream test;
    test.RestartWithOrderUnderWay(set_back);
    test.simulation.Submit(test.simulation.Spec("job", {Step(1, 1000)}), test_policy);
    REQUIRE(test.RunsOnFirst(test.job, Milliseconds(4000)));
    test.simulation.StartNewHolder(Milliseconds(4200));
    test.simulation.old_holder.reset();
    CHECK(test.MovesAfterCut(test.job));
    CHECK(test.FirstViolation() == "");
  }
}

// Guards against the entry of the former incarnation, still in the registry, being taken for that
// of a further one, which would end the runs.
TEST_CASE("the registry entry of a former incarnation with a higher start time is ignored") {
  SetBackUpstream test;
  std::vector<UpstreamEntry> former;
  for (const auto& upstream : test.simulation.upstreams) former.push_back(upstream->entry);
  test.simulation.registry_up = false;
  test.Restart(kStep);
  test.simulation.Run(Milliseconds(3000));
  test.simulation.holder->SetUpstreams(former, test.simulation.now);
  test.simulation.Run(Milliseconds(100));
  test.simulation.registry_up = true;
  test.simulation.Submit(test.simulation.Spec("job", {Step(1, 1000)}), test_policy);
  REQUIRE(test.RunsOnFirst(test.job, Milliseconds(4000)));
  test.simulation.Run(Milliseconds(1000));
  test.simulation.registry_up = false;
  test.other().refuses_starts = false;
  for (int read = 0; read < 10; ++read) {
    test.simulation.holder->SetUpstreams(former, test.simulation.now);
    test.simulation.Run(Milliseconds(300));
  }
  CHECK(test.simulation.RunsOf(test.job) == 1);
  CHECK(test.FirstViolation() == "");
}

// Guards against an upstream that is called at the address of its former incarnation for good.
TEST_CASE("an upstream that doesn't answer is called where its latest registry entry says") {
  SetBackUpstream test;
  const UpstreamId id = test.restarted().entry.id;
  const Endpoint moved{.address = "127.0.0.1", .port = 2};
  test.restarted().reachable = false;
  test.Restart(kStep);
  test.restarted().entry.endpoint = moved;
  test.simulation.Run(Milliseconds(4000));
  CHECK(test.simulation.holder->EndpointOf(id) == moved);
}

}  // namespace
}  // namespace endivewood::testing
