/// @file
/// Failed runs that have to be counted although their upstream's entry expires, the store is away,
/// or the holder changes before the end is acknowledged.
#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

const QueuePolicy two_attempts{
    .priority = 0, .attempts = 2, .stretch = 2.0, .objective = Milliseconds(2500)};
constexpr Milliseconds kOutage{4450};
/// Time after an outage in which expired entries are back.
constexpr Milliseconds kEntryReturn{1800};

SchedulerSimulation::Options WithTransit(unsigned seed) {
  return {.upstreams = 4, .seed = seed, .max_transit = Milliseconds(20)};
}

void SubmitHopeless(SchedulerSimulation* simulation, const std::string& id) {
  for (const auto& upstream : simulation->upstreams) upstream->failing_jobs.insert(JobId(id));
  simulation->Submit(simulation->Spec(id, {Step(1, 1000)}), two_attempts);
}

std::size_t EndedRuns(const SchedulerSimulation& simulation) {
  std::size_t ended = 0;
  for (const auto& upstream : simulation.upstreams) ended += upstream->ended_runs;
  return ended;
}

void CheckNoViolation(const SchedulerSimulation& simulation) {
  for (const Violation& violation : simulation.violations) {
    CAPTURE(violation.what, violation.at.count());
    CHECK(false);
    break;
  }
}

// Guards against a third run of a task with two attempts: a failure isn't counted, because its
// upstream is forgotten with its expired registry entry before the end is acknowledged, and later
// it is acknowledged all the same.
TEST_CASE("a failure counts although its upstream's entry expires before it is acknowledged") {
  SchedulerSimulation simulation(WithTransit(1));
  simulation.Run(Milliseconds(1000));
  simulation.task_duration = Milliseconds(1000);
  SubmitHopeless(&simulation, "hopeless");
  REQUIRE(simulation.RunUntil([&] { return simulation.starts == 1; }, Milliseconds(1000)));
  simulation.store_up = false;
  REQUIRE(simulation.RunUntil([&] { return EndedRuns(simulation) == 1; }, Milliseconds(2000)));
  simulation.Run(Milliseconds(100));
  for (const auto& upstream : simulation.upstreams) {
    if (upstream->ended_runs > 0) upstream->listed_from = simulation.now + kEntryReturn;
  }
  simulation.Run(Milliseconds(600));
  simulation.store_up = true;
  simulation.Run(Milliseconds(8000));
  CHECK(EndedRuns(simulation) == 2);
  CHECK(simulation.StateOf("hopeless") == JobState::kFailed);
  CheckNoViolation(simulation);
}

// Guards against an upstream that stays known for good once it has left with an end that wasn't
// acknowledged.
TEST_CASE("an upstream that has left is forgotten once its lease has ended") {
  SchedulerSimulation simulation(WithTransit(1));
  simulation.Run(Milliseconds(1000));
  SubmitHopeless(&simulation, "hopeless");
  REQUIRE(simulation.RunUntil([&] { return EndedRuns(simulation) == 1; }, Milliseconds(2000)));
  for (const auto& upstream : simulation.upstreams) {
    if (upstream->ended_runs > 0) upstream->alive = false;
  }
  simulation.Run(Milliseconds(8000));
  CHECK(simulation.holder->sessions().size() == 3);
  CHECK(simulation.StateOf("hopeless") == JobState::kFailed);
  CheckNoViolation(simulation);
}

// Guards against a third run of a task with two attempts: it starts again before its failure is
// stored, and the next holder, which finds the new run first, doesn't count the failure that it
// finds after that.
TEST_CASE("a failure counts although the holder changes before it is stored") {
  SchedulerSimulation simulation(WithTransit(1));
  simulation.Run(Milliseconds(1000));
  SubmitHopeless(&simulation, "hopeless");
  REQUIRE(simulation.RunUntil([&] { return simulation.starts == 1; }, Milliseconds(1000)));
  simulation.partition_up = false;
  REQUIRE(simulation.RunUntil([&] { return EndedRuns(simulation) == 1; }, Milliseconds(2000)));
  FakeUpstream* failed = nullptr;
  for (const auto& upstream : simulation.upstreams) {
    if (upstream->ended_runs > 0) failed = upstream.get();
  }
  simulation.Run(Milliseconds(300));
  // The next holder doesn't reach the upstream with the failure at once.
  failed->reachable = false;
  simulation.StartNewHolder();
  simulation.old_holder.reset();
  simulation.partition_up = true;
  simulation.Run(Milliseconds(300));
  failed->reachable = true;
  simulation.Run(Milliseconds(25000));
  CHECK(EndedRuns(simulation) == 2);
  CHECK(simulation.StateOf("hopeless") == JobState::kFailed);
  CheckNoViolation(simulation);
}

/// Plays outages of the store in which entries expire and tasks of hopeless jobs fail.
/// @param changes_holder whether the holder is replaced after each outage.
void PlayOutages(unsigned seed, bool changes_holder) {
  CAPTURE(seed);
  std::mt19937 random(seed);
  const auto draw = [&](int most) {
    return std::uniform_int_distribution<int>(0, most - 1)(random);
  };
  SchedulerSimulation simulation(WithTransit(seed));
  simulation.Run(Milliseconds(1000));
  for (int outage = 0; outage < 3; ++outage) {
    for (int job = 0; job < 3; ++job) {
      simulation.task_duration = Milliseconds(300 + draw(2000));
      SubmitHopeless(&simulation, std::to_string(outage) + "-" + std::to_string(job));
      simulation.Run(Milliseconds(draw(300)));
    }
    simulation.store_up = false;
    simulation.Run(Milliseconds(draw(static_cast<int>(kOutage.count()))));
    simulation.store_up = true;
    for (const auto& upstream : simulation.upstreams) {
      if (draw(2) == 0) continue;
      upstream->listed_from = simulation.now + Milliseconds(draw(kEntryReturn.count()));
    }
    if (changes_holder) simulation.StartNewHolder();
    simulation.Run(Milliseconds(5000 + draw(5000)));
  }
  simulation.Run(Milliseconds(20000));
  CheckNoViolation(simulation);
  CHECK(simulation.holder->jobs().empty());
}

// Guards against failures that aren't counted for any order of outage, expiry, end and return.
TEST_CASE("no task exceeds its attempts when entries expire while the store is away") {
  for (unsigned seed = 1; seed <= 100; ++seed) PlayOutages(seed, false);
}

// Guards against a task that has started again when its failure is lost with a holder that couldn't
// store it.
TEST_CASE("no task exceeds its attempts when the holder changes after an outage of the store") {
  for (unsigned seed = 1; seed <= 100; ++seed) PlayOutages(seed, true);
}

}  // namespace
}  // namespace endivewood::testing
