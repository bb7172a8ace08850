/// @file
/// Durations that are learned from ended runs.
#include "run_durations.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "config_stragglers.h"
#include "scheduler_simulation.h"

namespace endivewood {
namespace {

const QueueName queue("q");

/// Draws true durations and callers' estimates of them.
struct Callers {
  double estimate_spread = 0.2;  ///< Of log(estimate / duration).
  double estimate_factor = 1;    ///< Typical estimate divided by the duration.
  double slow_share = 0;         ///< Tasks that take seven times as long.
  double log_mean = std::log(800.0);
  double log_spread = 0.4;  ///< Of the durations.

  /// Ends are noticed up to 60 ms late, as renewals are spaced.

  void Teach(RunDurations* durations, int runs, unsigned seed) const {
    std::mt19937 random(seed);
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> fraction;
    for (int i = 0; i < runs; ++i) {
      const double duration = std::exp(log_mean + log_spread * normal(random));
      const double estimate =
          duration * estimate_factor * std::exp(estimate_spread * normal(random));
      const double factor = fraction(random) < slow_share ? 7 : 1;
      durations->Learn(queue, Milliseconds(std::llround(estimate)),
                       Milliseconds(std::llround(factor * duration + 60 * fraction(random))));
    }
  }
};

double Ratio(Milliseconds a, Milliseconds b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

// Guards against a duration from nothing, and against one of another queue.
TEST_CASE("without runs the duration is the estimate") {
  RunDurations durations;
  Callers{.estimate_factor = 0.3}.Teach(&durations, 200, 1);
  const QueueName other("other");
  CHECK(durations.Expected(other, Milliseconds(700)) == Milliseconds(700));
  CHECK(durations.RunsOf(other) == 0);
  CHECK(durations.Quantile(other, Milliseconds(700), 0.95) > Milliseconds(700));
}

// Guards against serving deployments with good estimates otherwise than before.
TEST_CASE("good estimates are used as they are") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    RunDurations durations;
    Callers{.estimate_spread = 0.1}.Teach(&durations, 300, seed);
    for (const int estimate : {400, 800, 1600}) {
      INFO("seed " << seed << ", estimate " << estimate);
      CHECK(durations.Expected(queue, Milliseconds(estimate)) == Milliseconds(estimate));
    }
  }
}

// Guards against taking the delay until an end is noticed for a part of the duration.
TEST_CASE("a late notice of the end doesn't lengthen short tasks") {
  RunDurations durations;
  for (int i = 0; i < 100; ++i) durations.Learn(queue, Milliseconds(200), Milliseconds(260));
  CHECK(durations.Expected(queue, Milliseconds(200)) == Milliseconds(200));
}

// Guards against deadlines by estimates that are half of the true duration.
TEST_CASE("a constant error of the estimates is learned") {
  RunDurations durations;
  Callers{.estimate_spread = 0.2, .estimate_factor = 0.5}.Teach(&durations, 250, 2);
  const double factor = Ratio(durations.Expected(queue, Milliseconds(400)), Milliseconds(400));
  CHECK(factor > 1.8);
  CHECK(factor < 2.2);
}

// Guards against believing a very small or very large estimate of callers that guess.
TEST_CASE("with a wide spread of estimates the duration is drawn towards the typical one") {
  RunDurations durations;
  Callers{.estimate_spread = 0.9, .log_spread = 0.3}.Teach(&durations, 256, 3);
  CHECK(durations.Expected(queue, Milliseconds(300)) > Milliseconds(500));
  CHECK(durations.Expected(queue, Milliseconds(2400)) < Milliseconds(1300));
  double error_of_estimates = 0;
  double error_of_learned = 0;
  std::mt19937 random(4);
  std::normal_distribution<double> normal;
  for (int i = 0; i < 1000; ++i) {
    const double log_duration = std::log(800.0) + 0.3 * normal(random);
    const double log_estimate = log_duration + 0.9 * normal(random);
    const Milliseconds estimate(std::llround(std::exp(log_estimate)));
    const auto learned = static_cast<double>(durations.Expected(queue, estimate).count());
    error_of_estimates += std::abs(log_estimate - log_duration);
    error_of_learned += std::abs(std::log(learned) - log_duration);
  }
  CHECK(error_of_learned < 0.5 * error_of_estimates);
}

// Guards against believing a few runs.
TEST_CASE("few runs move the duration by a part only") {
  RunDurations durations;
  for (int i = 0; i < 10; ++i) durations.Learn(queue, Milliseconds(1000), Milliseconds(3000));
  CHECK(durations.Expected(queue, Milliseconds(1000)) > Milliseconds(1200));
  CHECK(durations.Expected(queue, Milliseconds(1000)) < Milliseconds(2000));
}

// Guards against typical durations that are shifted by the few tasks that take seven times as long.
TEST_CASE("rare long runs don't shift the typical duration") {
  RunDurations durations;
  Callers{.estimate_spread = 0.15, .slow_share = 0.04}.Teach(&durations, 256, 5);
  CHECK(durations.Expected(queue, Milliseconds(800)) == Milliseconds(800));
  const Milliseconds high = durations.Quantile(queue, Milliseconds(800), 0.9);
  CHECK(high > Milliseconds(880));
  CHECK(high < Milliseconds(1400));
  CHECK(durations.Quantile(queue, Milliseconds(800), 0.995) > Milliseconds(3000));
}

// Guards against quantiles that don't contain the share of runs that they promise.
TEST_CASE("quantiles contain their share of later runs") {
  RunDurations durations;
  Callers{.estimate_spread = 0.6, .log_spread = 0.4}.Teach(&durations, 256, 6);
  std::mt19937 random(7);
  std::normal_distribution<double> normal;
  int within = 0;
  for (int i = 0; i < 2000; ++i) {
    const double log_duration = std::log(800.0) + 0.4 * normal(random);
    const Milliseconds estimate(std::llround(std::exp(log_duration + 0.6 * normal(random))));
    const auto limit = static_cast<double>(durations.Quantile(queue, estimate, 0.9).count());
    if (std::exp(log_duration) <= limit) ++within;
  }
  CHECK(within > 1680);
  CHECK(within < 1920);
}

// Guards against durations of a former program version that count for ever.
TEST_CASE("earlier runs are forgotten") {
  RunDurations durations;
  for (int i = 0; i < 1000; ++i) durations.Learn(queue, Milliseconds(1000), Milliseconds(4000));
  CHECK(durations.Expected(queue, Milliseconds(1000)) > Milliseconds(3500));
  for (std::size_t i = 0; i < config::kDurationWindowRuns; ++i) {
    durations.Learn(queue, Milliseconds(1000), Milliseconds(1000));
  }
  CHECK(durations.Expected(queue, Milliseconds(1000)) == Milliseconds(1000));
}

// Guards against a regression that is extended far beyond the estimates that it was learned from.
TEST_CASE("estimates beyond the known ones get the factor of the nearest known one") {
  RunDurations durations;
  Callers{.estimate_spread = 0.9, .log_spread = 0.3}.Teach(&durations, 256, 8);
  const double far =
      Ratio(durations.Expected(queue, Milliseconds(10000000)), Milliseconds(10000000));
  CHECK(far > std::exp(-config::kMaxDeviation) * 0.99);
  CHECK(far < 1);
  CHECK(durations.Expected(queue, Milliseconds(0)) == Milliseconds(0));
}

using testing::SchedulerSimulation;
using testing::Step;
using testing::test_policy;

/// Runs jobs of eight tasks one after the other.
void RunJobs(SchedulerSimulation* simulation, const std::string& prefix, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    const std::string id = prefix + std::to_string(i);
    simulation->Submit(simulation->Spec(id, {Step(8, 1000)}), test_policy);
    REQUIRE(simulation->RunUntil([&] { return simulation->StateOf(id) == JobState::kComplete; },
                                 Milliseconds(20000)));
  }
}

const Job& SubmitJob(SchedulerSimulation* simulation, const std::string& id) {
  simulation->Submit(simulation->Spec(id, {Step(8, 1000)}), test_policy);
  return *simulation->holder->jobs().at(JobId(id));
}

// Guards against deadlines and an order of work by estimates that the runs have shown to be wrong.
TEST_CASE("a scheduler uses the durations that ended runs have shown") {
  SchedulerSimulation simulation({});
  simulation.task_duration = Milliseconds(1500);
  RunJobs(&simulation, "early", 30);
  const Job& job = SubmitJob(&simulation, "late");
  CHECK(job.DurationOf(0) > Milliseconds(1300));
  CHECK(job.DurationOf(0) < Milliseconds(1650));
  CHECK(job.critical_path() == job.DurationOf(0));
  CHECK(job.work() == 8 * job.DurationOf(0).count());
  CHECK(job.spec().steps[0].estimate == Milliseconds(500));
  CHECK(job.record().spec.steps[0].estimate == Milliseconds(500));
}

// Guards against serving deployments whose estimates are good otherwise than before.
TEST_CASE("a scheduler with good estimates uses them") {
  SchedulerSimulation simulation({});
  simulation.task_duration = Milliseconds(500);
  RunJobs(&simulation, "early", 30);
  CHECK(simulation.holder->durations().RunsOf(QueueName("q")) >= 200);
  const Job& job = SubmitJob(&simulation, "late");
  CHECK(job.DurationOf(0) == Milliseconds(500));
}

// Guards against a new holder that takes durations from nothing, or learns from runs whose start it
// doesn't know.
TEST_CASE("a new holder begins with the estimates and learns only from its own runs") {
  SchedulerSimulation simulation({});
  simulation.task_duration = Milliseconds(1500);
  RunJobs(&simulation, "early", 30);
  SubmitJob(&simulation, "adopted");
  simulation.Run(Milliseconds(800));
  simulation.StartNewHolder();
  simulation.old_holder.reset();
  CHECK(simulation.holder->jobs().at(JobId("adopted"))->DurationOf(0) == Milliseconds(500));
  REQUIRE(simulation.RunUntil([&] { return simulation.StateOf("adopted") == JobState::kComplete; },
                              Milliseconds(20000)));
  CHECK(simulation.holder->durations().RunsOf(QueueName("q")) == 0);
  RunJobs(&simulation, "own", 10);
  CHECK(simulation.holder->durations().RunsOf(QueueName("q")) >= 72);
  CHECK(simulation.violations.empty());
}

}  // namespace
}  // namespace endivewood
