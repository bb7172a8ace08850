/// @file
/// What upstreams have shown lately, and its part in placement.
#include "upstream_history.h"

#include <catch2/catch.hpp>

#include "config_stragglers.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

Standing StandingOf(const UpstreamHistory& history, Milliseconds now) {
  return history.StandingAt({}, now);
}

/// An upstream of whose runs every `failing`th fails; 0: none.
UpstreamHistory Failing(int runs, int failing) {
  UpstreamHistory history;
  for (int i = 1; i <= runs; ++i) {
    history.NoteEnd(failing > 0 && i % failing == 0, Milliseconds(100 * i));
  }
  return history;
}

// Guards against judging an upstream by one failure, which any job may cause.
TEST_CASE("one failure doesn't change an upstream's standing") {
  UpstreamHistory history;
  CHECK(history.IsClean(Milliseconds(100)));
  history.NoteEnd(true, Milliseconds(100));
  for (int i = 0; i < 3; ++i) history.NoteEnd(false, Milliseconds(100));
  CHECK(StandingOf(history, Milliseconds(100)) == Standing::kGood);
  CHECK(history.IsClean(Milliseconds(100)));
}

// Guards against sending as much work as before to an upstream that fails a part of its tasks.
TEST_CASE("an upstream that fails its tasks ranks lower") {
  CHECK(StandingOf(Failing(20, 0), Milliseconds(2000)) == Standing::kGood);
  CHECK(StandingOf(Failing(20, 20), Milliseconds(2000)) == Standing::kGood);
  CHECK(StandingOf(Failing(20, 3), Milliseconds(2000)) == Standing::kDoubtful);
  CHECK(StandingOf(Failing(20, 1), Milliseconds(2000)) == Standing::kBad);
}

// Guards against an upstream that stays idle after it has recovered.
TEST_CASE("failures are forgotten") {
  const UpstreamHistory history = Failing(20, 1);
  const Milliseconds later(2000 + 6 * config::kHistoryHalfLifeMs);
  CHECK(StandingOf(history, later) == Standing::kGood);
  CHECK(history.IsClean(later));
}

// Guards against an upstream that runs everything, but slowly, and against judging one by the rare
// tasks that take seven times as long.
TEST_CASE("an upstream whose runs take long ranks lower") {
  UpstreamHistory slow;
  UpstreamHistory sound;
  for (int i = 1; i <= 40; ++i) {
    const Milliseconds now(100 * i);
    slow.NoteDuration(Milliseconds(1250), Milliseconds(500), now);
    sound.NoteDuration(Milliseconds(i % 20 == 0 ? 3500 : 500), Milliseconds(500), now);
  }
  CHECK(StandingOf(slow, Milliseconds(4000)) == Standing::kBad);
  CHECK(StandingOf(sound, Milliseconds(4000)) == Standing::kGood);
  UpstreamHistory one_long_run;
  one_long_run.NoteDuration(Milliseconds(3500), Milliseconds(500), Milliseconds(100));
  CHECK(StandingOf(one_long_run, Milliseconds(100)) == Standing::kGood);
}

// Guards against preferring an upstream by noise when all fail: the cause is the work, or the
// network, and each of them is as good as the others.
TEST_CASE("if all upstreams fail, none is preferred") {
  const UpstreamHistory a = Failing(20, 2);
  const UpstreamHistory b = Failing(20, 2);
  const UpstreamHistory c = Failing(24, 2);
  const Milliseconds now(2400);
  const PoolNorm norm = NormOf({&a, &b, &c}, now);
  for (const UpstreamHistory* each : {&a, &b, &c}) {
    CHECK(each->StandingAt(norm, now) == Standing::kGood);
  }
  const UpstreamHistory sound = Failing(20, 0);
  const PoolNorm sound_norm = NormOf({&sound, &sound, &a}, now);
  CHECK(a.StandingAt(sound_norm, now) != Standing::kGood);
  CHECK(NormOf({}, now) == PoolNorm{});
}

// Guards against work on an upstream that goes away every few seconds.
TEST_CASE("an upstream that has just returned is doubtful for a time") {
  UpstreamHistory history;
  history.NoteReturn(Milliseconds(1000));
  CHECK(StandingOf(history, Milliseconds(1100)) == Standing::kDoubtful);
  CHECK(StandingOf(history, Milliseconds(1000 + config::kReturnDoubtMs)) == Standing::kGood);
}

/// @returns on how many of 40 jobs of one task, one after the other, the first upstream ran.
int RunsOnFirst(SchedulerSimulation* simulation, const std::string& prefix) {
  const std::size_t before = simulation->upstreams[0]->ended_runs;
  for (int i = 0; i < 40; ++i) {
    const std::string id = prefix + std::to_string(i);
    simulation->Submit(simulation->Spec(id, {Step(1, 1000)}), test_policy);
    REQUIRE(simulation->RunUntil([&] { return simulation->StateOf(id) == JobState::kComplete; },
                                 Milliseconds(20000)));
  }
  return static_cast<int>(simulation->upstreams[0]->ended_runs - before);
}

// Guards against placement that goes on as before on a slow upstream with others idle, and against
// one that never tries the upstream again.
TEST_CASE("among upstreams with room the sound ones are taken") {
  SchedulerSimulation simulation({.upstreams = 3});
  simulation.duration_of = [&](const StartOrder& order) {
    return Milliseconds(order.upstream == simulation.upstreams[0]->entry.id ? 2000 : 500);
  };
  // Equal upstreams are taken in the order of their ids.
  CHECK(RunsOnFirst(&simulation, "early") < 25);
  CHECK(RunsOnFirst(&simulation, "later") < 25);
  // With the others full, the slow one is used.
  simulation.Submit(simulation.Spec("wide", {Step(24, 1000)}), test_policy);
  simulation.Run(Milliseconds(400));
  CHECK(simulation.upstreams[0]->running.size() == 8);
  CHECK(simulation.violations.empty());
}

// Guards against a change of placement where nothing speaks against any upstream.
TEST_CASE("sound upstreams are taken by free room alone") {
  SchedulerSimulation simulation({.upstreams = 3});
  CHECK(RunsOnFirst(&simulation, "early") == 40);
}

}  // namespace
}  // namespace endivewood::testing
