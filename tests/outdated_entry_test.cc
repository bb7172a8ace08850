/// @file
/// Registry entries that state another start time than the incarnation that answers.
#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

// Guards against an upstream that gets no task until some entry of the registry changes again.
TEST_CASE("an upstream whose lower start time was listed before its first answer gets tasks") {
  SchedulerSimulation simulation({.upstreams = 1});
  FakeUpstream& restarted = *simulation.upstreams[0];
  restarted.Restart(simulation.now, 50000);
  simulation.Run(Milliseconds(3000));
  restarted.reachable = false;
  restarted.Restart(simulation.now, 20000);
  simulation.Run(Milliseconds(1000));
  // The registry is read when it changes, and nothing changes from now on.
  simulation.registry_up = false;
  restarted.reachable = true;
  simulation.Run(Milliseconds(5000));
  REQUIRE(simulation.holder->sessions().at(restarted.entry.id).start_time == 20000);
  simulation.Submit(simulation.Spec("job", {Step(1, 1000)}), test_policy);
  CHECK(simulation.RunUntil([&] { return simulation.StateOf("job") == JobState::kComplete; },
                            Milliseconds(10000)));
}

// Guards against a task that starts elsewhere because another upstream answers at the address of a
// former incarnation, to which an outdated entry has led.
TEST_CASE("a refusal at the address of an outdated entry doesn't end the runs of its upstream") {
  SchedulerSimulation simulation({.upstreams = 2});
  FakeUpstream& upstream = *simulation.upstreams[0];
  FakeUpstream& other = *simulation.upstreams[1];
  const Endpoint former_address{.address = "127.0.0.1", .port = 2};
  std::vector<UpstreamEntry> outdated = {upstream.entry, other.entry};
  outdated[0].endpoint = former_address;
  outdated[0].start_time = 10000;
  upstream.entry.start_time = 20000;
  simulation.task_duration = Milliseconds(60000);
  simulation.Run(Milliseconds(1500));
  other.refuses_starts = true;
  simulation.Submit(simulation.Spec("job", {Step(1, 1000)}), test_policy);
  const TaskKey task = Key("job", 0, 0);
  REQUIRE(
      simulation.RunUntil([&] { return upstream.running.count(task) > 0; }, Milliseconds(2000)));
  simulation.Run(Milliseconds(2000));
  other.refuses_starts = false;
  // A new holder whose view of the registry is outdated, and that can't reach the upstream.
  simulation.registry_up = false;
  upstream.reachable = false;
  simulation.StartNewHolder(Milliseconds(4200));
  simulation.old_holder.reset();
  simulation.Run(Milliseconds(1000));
  simulation.holder->SetUpstreams(outdated, simulation.now);
  simulation.Run(Milliseconds(100));
  const UpstreamSession& session = simulation.holder->sessions().at(upstream.entry.id);
  // Another upstream refuses what it gets at that address.
  if (simulation.holder->EndpointOf(upstream.entry.id) == former_address) {
    const RenewOrder order{
        .upstream = upstream.entry.id, .sent_at = simulation.now, .target = session.Target()};
    simulation.holder->OnRenewed(order, {.outcome = OrderOutcome::kWrongIncarnation},
                                 simulation.now);
  }
  simulation.Run(Milliseconds(2000));
  CHECK((simulation.violations.empty() ? "" : simulation.violations.front().what) == "");
}

// Guards against a task that starts elsewhere while its run goes on: start times of former
// incarnations aren't known to a new holder.
TEST_CASE("a new holder ignores the entry of a former incarnation with a higher start time") {
  SchedulerSimulation simulation({.upstreams = 2});
  FakeUpstream& restarted = *simulation.upstreams[0];
  FakeUpstream& other = *simulation.upstreams[1];
  restarted.Restart(simulation.now, 50000);
  simulation.Run(Milliseconds(3000));
  const std::vector<UpstreamEntry> former = {restarted.entry, other.entry};
  // The next incarnation, whose clock was set back, answers before the registry shows it.
  simulation.registry_up = false;
  restarted.Restart(simulation.now, 20000);
  simulation.Run(Milliseconds(4000));
  REQUIRE(simulation.holder->sessions().at(restarted.entry.id).start_time == 20000);
  simulation.registry_up = true;
  simulation.task_duration = Milliseconds(60000);
  other.refuses_starts = true;
  simulation.Submit(simulation.Spec("job", {Step(1, 1000)}), test_policy);
  const TaskKey task = Key("job", 0, 0);
  REQUIRE(
      simulation.RunUntil([&] { return restarted.running.count(task) > 0; }, Milliseconds(4000)));
  simulation.Run(Milliseconds(2000));
  other.refuses_starts = false;
  // The new holder reaches the upstream before it has read the registry.
  simulation.registry_up = false;
  simulation.StartNewHolder(Milliseconds(4200));
  simulation.old_holder.reset();
  simulation.Run(Milliseconds(3000));
  simulation.holder->SetUpstreams(former, simulation.now);
  simulation.Run(Milliseconds(3000));
  CHECK((simulation.violations.empty() ? "" : simulation.violations.front().what) == "");
}

}  // namespace
}  // namespace endivewood::testing
