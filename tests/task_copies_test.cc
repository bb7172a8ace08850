/// @file
/// Copies of slow tasks: which tasks get one, and what happens to the two runs.
#include "task_copies.h"

#include <catch2/catch.hpp>

#include "config_stragglers.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

// The decision.

CopyCandidate Slow(int index, int elapsed_ms) {
  return {.task = Key("job", 0, index),
          .elapsed = Milliseconds(elapsed_ms),
          .expected = Milliseconds(500),
          .high = Milliseconds(800),
          .slack = Milliseconds(1000)};
}

// Guards against copies of tasks that end as others of their kind do.
TEST_CASE("only tasks beyond nearly all others are copied") {
  CHECK(ChooseCopies({Slow(0, 700)}, 100, 0).empty());
  CHECK(ChooseCopies({Slow(0, 1000)}, 100, 0) == std::vector<TaskKey>{Key("job", 0, 0)});
  CopyCandidate narrow = Slow(0, 700);
  narrow.high = Milliseconds(520);
  CHECK(ChooseCopies({narrow}, 100, 0).empty());
}

// Guards against copies that end after the first run, or for a result that nobody waits for.
TEST_CASE("a copy has to be expected to help") {
  CopyCandidate nearly_done = Slow(0, 1000);
  nearly_done.percent = 80;
  CHECK(ChooseCopies({nearly_done}, 100, 0).empty());
  CopyCandidate far_from_done = Slow(0, 1000);
  far_from_done.percent = 30;
  CHECK(ChooseCopies({far_from_done}, 100, 0).size() == 1);
  CopyCandidate hopeless = Slow(0, 1000);
  hopeless.slack = Milliseconds(-1);
  CHECK(ChooseCopies({hopeless}, 100, 0).empty());
}

// Guards against copies that take the room of a peak when an upstream is slow for all its tasks.
TEST_CASE("copies are a small share of the running tasks") {
  constexpr int kSlowTasks = 50;
  std::vector<CopyCandidate> candidates;
  candidates.reserve(kSlowTasks);
  for (int i = 0; i < kSlowTasks; ++i) candidates.push_back(Slow(i, 1000 + i));
  const auto limit = static_cast<std::size_t>(100 * config::kMaxCopyShare);
  CHECK(ChooseCopies(candidates, 100, 0).size() == limit);
  CHECK(ChooseCopies(candidates, 100 + limit, limit).empty());
  CHECK(ChooseCopies(candidates, 3, 0).size() == config::kAlwaysPermittedCopies);
  CHECK(ChooseCopies(candidates, 3, config::kAlwaysPermittedCopies).empty());
}

// Guards against a budget that is spent on tasks of little worth.
TEST_CASE("the highest priority is copied first, then what saves most") {
  CopyCandidate low = Slow(0, 5000);
  low.priority = 1;
  const std::vector<TaskKey> expected{Key("job", 0, 2), Key("job", 0, 1), Key("job", 0, 0)};
  CHECK(ChooseCopies({low, Slow(1, 1000), Slow(2, 2000)}, 10, 0) == expected);
  CHECK(ChooseCopies({low, Slow(1, 1000), Slow(2, 2000)}, 10, config::kAlwaysPermittedCopies - 1) ==
        std::vector<TaskKey>{Key("job", 0, 2)});
}

// The two runs.

StepSpec SpeculativeStep(int count) {
  StepSpec step = Step(count, 1000);
  step.speculative = true;
  return step;
}

/// A scheduler that has learned how long tasks take. The first run of the task "slow" then takes
/// `first`, its second one `second`.
struct Copying {
  SchedulerSimulation simulation{{}};
  Milliseconds first{7000};
  Milliseconds second{500};
  bool speculative = true;

  Copying() {
    simulation.duration_of = [this](const StartOrder& order) {
      if (order.task.job != JobId("slow") || order.task.step != 0) return Milliseconds(500);
      return order.run % config::kRunsPerEpoch == 1 ? first : second;
    };
    for (int i = 0; i < 12; ++i) {
      const std::string id = "early" + std::to_string(i);
      simulation.Submit(simulation.Spec(id, {SpeculativeStep(8)}), test_policy);
      REQUIRE(simulation.RunUntil([&] { return Complete(id); }, Milliseconds(5000)));
    }
  }

  bool Complete(const std::string& id) const {
    return simulation.StateOf(id) == JobState::kComplete;
  }

  void SubmitSlow(const QueuePolicy& policy = test_policy) {
    StepSpec step = SpeculativeStep(1);
    step.speculative = speculative;
    StepSpec next = Step(1, 1000);
    next.depends = {0};
    simulation.Submit(simulation.Spec("slow", {step, next}), policy);
  }

  std::size_t Runs() const { return simulation.RunsOf(Key("slow", 0, 0)); }

  /// Runs until two runs of the slow task are at work.
  bool RunUntilCopied() {
    return simulation.RunUntil([&] { return Runs() == 2; }, Milliseconds(4000));
  }

  /// The upstream where the first or the second run of the slow task is at work.
  FakeUpstream* UpstreamOf(std::uint64_t number) {
    for (const auto& upstream : simulation.upstreams) {
      const auto found = upstream->running.find(Key("slow", 0, 0));
      if (found == upstream->running.end()) continue;
      if (found->second.run % config::kRunsPerEpoch == number) return upstream.get();
    }
    return nullptr;
  }

  const TaskState* Task() const {
    const auto job = simulation.holder->jobs().find(JobId("slow"));
    return job == simulation.holder->jobs().end() ? nullptr : job->second->Find(Key("slow", 0, 0));
  }
};

// Guards against jobs that wait for one task that takes far longer than the others.
TEST_CASE("the copy of a slow task wins and the first run is stopped") {
  Copying copying;
  copying.SubmitSlow();
  REQUIRE(copying.RunUntilCopied());
  CHECK(copying.UpstreamOf(1) != copying.UpstreamOf(2));
  const Milliseconds copied_at = copying.simulation.now;
  REQUIRE(
      copying.simulation.RunUntil([&] { return copying.Complete("slow"); }, Milliseconds(3000)));
  CHECK(copying.simulation.now - copied_at < Milliseconds(1800));
  CHECK(copying.Runs() == 0);
  copying.simulation.Run(Milliseconds(2000));
  for (const auto& [id, session] : copying.simulation.holder->sessions()) {
    CHECK(session.hosted.empty());
  }
  CHECK(copying.simulation.violations.empty());
}

// Guards against a second run where the step doesn't permit it.
TEST_CASE("a slow task whose step isn't speculative isn't copied") {
  Copying copying;
  copying.speculative = false;
  copying.first = Milliseconds(4000);
  copying.SubmitSlow();
  CHECK(!copying.RunUntilCopied());
  CHECK(copying.simulation.violations.empty());
}

// Guards against copies by a quantile that nothing is known about.
TEST_CASE("no copy starts before enough runs have ended") {
  SchedulerSimulation simulation({});
  simulation.task_duration = Milliseconds(4000);
  simulation.Submit(simulation.Spec("job", {SpeculativeStep(1)}), test_policy);
  REQUIRE(simulation.RunUntil([&] { return simulation.StateOf("job") == JobState::kComplete; },
                              Milliseconds(6000)));
  CHECK(simulation.starts == 1);
}

// Guards against a copy that takes room that other tasks wait for.
TEST_CASE("no copy starts while other tasks of the service wait for room") {
  Copying copying;
  copying.first = Milliseconds(4000);
  copying.SubmitSlow();
  copying.simulation.Run(Milliseconds(300));
  for (int i = 0; i < 10; ++i) {
    copying.simulation.Submit(copying.simulation.Spec("wide" + std::to_string(i), {Step(31, 1000)}),
                              test_policy);
  }
  CHECK(!copying.RunUntilCopied());
}

// Guards against a copy that goes on, or counts, after the first run has ended.
TEST_CASE("the first run wins and the copy is stopped") {
  Copying copying;
  copying.first = Milliseconds(2000);
  copying.second = Milliseconds(9000);
  copying.SubmitSlow();
  REQUIRE(copying.RunUntilCopied());
  REQUIRE(
      copying.simulation.RunUntil([&] { return copying.Complete("slow"); }, Milliseconds(4000)));
  CHECK(copying.Runs() == 0);
  CHECK(copying.simulation.violations.empty());
}

// Guards against a task that starts a third time, or is given up, when one of two runs fails.
TEST_CASE("one of two runs fails and the other goes on") {
  for (const std::uint64_t failing : {1, 2}) {
    Copying copying;
    copying.first = failing == 1 ? Milliseconds(2000) : Milliseconds(6000);
    copying.second = failing == 1 ? Milliseconds(5000) : Milliseconds(500);
    copying.SubmitSlow();
    REQUIRE(copying.RunUntilCopied());
    copying.UpstreamOf(failing)->fails_all = true;
    REQUIRE(copying.simulation.RunUntil([&] { return copying.Runs() == 1; }, Milliseconds(3000)));
    copying.simulation.Run(Milliseconds(150));
    const TaskState* const task = copying.Task();
    REQUIRE(task != nullptr);
    CHECK(task->failed.size() == 1);
    CHECK(task->placed);
    CHECK(!task->done);
    CHECK(
        copying.simulation.RunUntil([&] { return copying.Complete("slow"); }, Milliseconds(9000)));
    CHECK(copying.simulation.violations.empty());
  }
}

// Guards against a job that outlives its permitted failures, as two runs can fail at a time.
TEST_CASE("failures of copies count as attempts") {
  Copying copying;
  copying.simulation.Run(Milliseconds(100));
  for (const auto& upstream : copying.simulation.upstreams) {
    upstream->failing_jobs.insert(JobId("slow"));
  }
  copying.second = Milliseconds(2000);
  copying.SubmitSlow();
  REQUIRE(copying.simulation.RunUntil(
      [&] { return copying.simulation.StateOf("slow") == JobState::kFailed; },
      Milliseconds(30000)));
  copying.simulation.Run(Milliseconds(2000));
  CHECK(copying.Runs() == 0);
  CHECK(copying.simulation.violations.empty());
}

// Guards against a task without any run, or with an unneeded third one, after an upstream is lost.
TEST_CASE("the upstream of one of two runs is lost") {
  for (const std::uint64_t lost : {1, 2}) {
    Copying copying;
    copying.first = Milliseconds(9000);
    copying.second = Milliseconds(9000);
    copying.SubmitSlow();
    REQUIRE(copying.RunUntilCopied());
    FakeUpstream* const upstream = copying.UpstreamOf(lost);
    const UpstreamId other = copying.UpstreamOf(3 - lost)->entry.id;
    upstream->reachable = false;
    copying.simulation.Run(Milliseconds(6000));
    const TaskState* const task = copying.Task();
    REQUIRE(task != nullptr);
    REQUIRE(task->placed);
    CHECK(task->placed->upstream == other);
    CHECK(
        copying.simulation.RunUntil([&] { return copying.Complete("slow"); }, Milliseconds(12000)));
    upstream->reachable = true;
    copying.simulation.Run(Milliseconds(5000));
    CHECK(copying.Runs() == 0);
    CHECK(copying.simulation.violations.empty());
  }
}

// Guards against runs that go on, or start again, after both upstreams restarted.
TEST_CASE("both upstreams restart and the task starts again") {
  Copying copying;
  copying.SubmitSlow();
  copying.second = Milliseconds(3000);
  REQUIRE(copying.RunUntilCopied());
  FakeUpstream* const first = copying.UpstreamOf(1);
  FakeUpstream* const second = copying.UpstreamOf(2);
  first->Restart(copying.simulation.now, 50);
  second->Restart(copying.simulation.now, 51);
  CHECK(copying.Runs() == 0);
  CHECK(copying.simulation.RunUntil([&] { return copying.Complete("slow"); }, Milliseconds(30000)));
  CHECK(copying.simulation.violations.empty());
}

// Guards against either run outliving its job.
TEST_CASE("cancelling a job stops both runs") {
  Copying copying;
  copying.second = Milliseconds(9000);
  copying.SubmitSlow();
  REQUIRE(copying.RunUntilCopied());
  copying.simulation.holder->Cancel(JobId("slow"), copying.simulation.now);
  CHECK(copying.simulation.RunUntil([&] { return copying.Runs() == 0; }, Milliseconds(500)));
  copying.simulation.Run(Milliseconds(3000));
  for (const auto& [id, session] : copying.simulation.holder->sessions()) {
    CHECK(session.hosted.empty());
  }
}

// Guards against a new holder that stops a copy, or starts the task a third time.
TEST_CASE("a new holder keeps both runs that it finds") {
  Copying copying;
  copying.first = Milliseconds(9000);
  copying.second = Milliseconds(4000);
  copying.SubmitSlow();
  REQUIRE(copying.RunUntilCopied());
  const int starts = copying.simulation.starts;
  copying.simulation.StartNewHolder();
  copying.simulation.old_holder.reset();
  copying.simulation.Run(Milliseconds(1500));
  CHECK(copying.Runs() == 2);
  REQUIRE(copying.Task() != nullptr);
  CHECK(copying.Task()->placed);
  CHECK(copying.Task()->copy);
  CHECK(copying.simulation.RunUntil([&] { return copying.Complete("slow"); }, Milliseconds(20000)));
  CHECK(copying.simulation.starts == starts + 1);
  CHECK(copying.simulation.violations.empty());
}

// Guards against a job that isn't complete, or completes twice, when both runs end as done before
// the holder reads of either.
TEST_CASE("the loser ends as done beside the winner") {
  Copying copying;
  copying.first = Milliseconds(2500);
  copying.SubmitSlow();
  REQUIRE(copying.RunUntilCopied());
  FakeUpstream* const first = copying.UpstreamOf(1);
  FakeUpstream* const second = copying.UpstreamOf(2);
  first->running.at(Key("slow", 0, 0)).duration = Milliseconds(0);
  second->running.at(Key("slow", 0, 0)).duration = Milliseconds(0);
  CHECK(copying.simulation.RunUntil([&] { return copying.Complete("slow"); }, Milliseconds(3000)));
  copying.simulation.Run(Milliseconds(2000));
  CHECK(first->ended.empty());
  CHECK(second->ended.empty());
  CHECK(copying.simulation.violations.empty());
}

// Guards against a copy that starts after its task is done, because its order was late.
TEST_CASE("a copy whose start was late is stopped") {
  Copying copying;
  copying.first = Milliseconds(3000);
  copying.second = Milliseconds(60000);
  copying.SubmitSlow();
  REQUIRE(copying.simulation.RunUntil([&] { return copying.Runs() == 1; }, Milliseconds(2000)));
  copying.simulation.delayed_order_share = 1;
  copying.simulation.Run(Milliseconds(1500));
  copying.simulation.delayed_order_share = 0;
  REQUIRE(copying.Task() != nullptr);
  CHECK(copying.Task()->copy);
  REQUIRE(
      copying.simulation.RunUntil([&] { return copying.Complete("slow"); }, Milliseconds(8000)));
  copying.simulation.Run(Milliseconds(15000));
  CHECK(copying.Runs() == 0);
  CHECK(copying.simulation.violations.empty());
}

/// Plays 200 jobs of 8 tasks, one a 400 ms, of which 3 % take seven times as long in one run.
/// @returns the mean time from arrival to end of the slowest tenth of the jobs.
Milliseconds SlowestTenth(bool speculative) {
  SchedulerSimulation simulation({.upstreams = 4});
  simulation.duration_of = [&](const StartOrder& order) {
    const std::size_t hash = std::hash<std::string>{}(order.task.str() + std::to_string(order.run));
    return Milliseconds(hash % 100 < 3 ? 3500 : 400 + static_cast<int>(hash / 100 % 200));
  };
  std::vector<std::pair<JobId, Milliseconds>> open;
  std::vector<Milliseconds> times;
  for (int i = 0; i < 200 || !open.empty(); ++i) {
    if (i < 200) {
      StepSpec step = Step(8, 1000);
      step.speculative = speculative;
      const JobSpec spec = simulation.Spec("job" + std::to_string(i), {step});
      simulation.Submit(spec, test_policy);
      open.emplace_back(spec.id, simulation.now);
    }
    for (int part = 0; part < 20; ++part) {
      simulation.Run(Milliseconds(20));
      std::erase_if(open, [&](const auto& each) {
        if (simulation.StateOf(each.first.str()) != JobState::kComplete) return false;
        times.push_back(simulation.now - each.second);
        return true;
      });
    }
  }
  CHECK(simulation.violations.empty());
  std::sort(times.rbegin(), times.rend());
  Milliseconds sum{0};
  for (int i = 0; i < 20; ++i) sum += times[static_cast<std::size_t>(i)];
  return sum / 20;
}

// Guards against copies that cost room and gain nothing.
TEST_CASE("copies shorten the slowest jobs") {
  const Milliseconds without = SlowestTenth(false);
  const Milliseconds with = SlowestTenth(true);
  CAPTURE(without.count(), with.count());
  CHECK(with.count() < 0.7 * static_cast<double>(without.count()));
}

/// @returns the number of tasks with two runs.
int CountCopies(const JobScheduler& scheduler) {
  int copies = 0;
  for (const auto& [id, job] : scheduler.jobs()) {
    for (const StepState& step : job->occurrences().at(0).steps) {
      for (const TaskState& task : step.tasks) copies += task.copy ? 1 : 0;
    }
  }
  return copies;
}

/// Plays jobs with speculative steps and random faults for about 30 s.
/// @returns the number of copies that were seen.
int PlayRandomFaults(unsigned seed, std::optional<Milliseconds> max_transit) {
  CAPTURE(seed);
  std::mt19937 random(seed);
  const auto draw = [&](int most) {
    return std::uniform_int_distribution<int>(0, most - 1)(random);
  };
  SchedulerSimulation simulation({.upstreams = 5, .seed = seed, .max_transit = max_transit});
  std::mt19937 durations(seed);
  simulation.duration_of = [&](const StartOrder&) {
    return Milliseconds(durations() % 10 == 0 ? 3500 : 500);
  };
  simulation.lost_answer_share = 0.05;
  simulation.delayed_order_share = 0.02;
  std::int64_t start_time = 2;
  int copies = 0;
  for (int round = 0; round < 60; ++round) {
    StepSpec second = SpeculativeStep(1 + draw(4));
    second.depends = {0};
    simulation.Submit(simulation.Spec("job" + std::to_string(round), {SpeculativeStep(4), second}),
                      test_policy);
    FakeUpstream& upstream = *simulation.upstreams[draw(5)];
    const int fault = round < 20 ? 9 : draw(10);
    if (fault == 0) upstream.reachable = !upstream.reachable;
    if (fault == 1) upstream.Restart(simulation.now, start_time++);
    if (fault == 2) upstream.fails_all = !upstream.fails_all;
    if (fault == 3 && round % 3 == 0) simulation.StartNewHolder();
    simulation.Run(Milliseconds(100 + draw(900)));
    copies += CountCopies(*simulation.holder);
  }
  simulation.lost_answer_share = 0;
  simulation.delayed_order_share = 0;
  for (const auto& upstream : simulation.upstreams) {
    upstream->reachable = true;
    upstream->fails_all = false;
  }
  simulation.Run(Milliseconds(40000));
  for (const Violation& violation : simulation.violations) {
    CAPTURE(violation.what, violation.at.count());
    CHECK(false);
    break;
  }
  CHECK(simulation.holder->jobs().empty());
  for (const auto& upstream : simulation.upstreams) CHECK(upstream->running.empty());
  return copies;
}

// Guards against invariants that only a combination of faults and copies violates.
TEST_CASE("speculative steps under random faults") {
  int copies = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) copies += PlayRandomFaults(seed, std::nullopt);
  CHECK(copies > 20);
}

// Guards against starts after the end of a task is known, or after its last attempt, when orders
// and answers overtake each other.
TEST_CASE("speculative steps under random faults with orders that overtake each other") {
  int copies = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) copies += PlayRandomFaults(seed, Milliseconds(60));
  CHECK(copies > 20);
}

}  // namespace
}  // namespace endivewood::testing
