/// @file
/// Arrival rate of work, and admission control.
#include "offered_load.h"

#include <catch2/catch.hpp>

#include "job_admission.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

constexpr std::int64_t kJobWork = 10000;

/// Records `per_second` jobs a second for `duration`, numbered from `first`. @returns the end time.
Milliseconds RecordArrivals(OfferedLoad* load, int per_second, Milliseconds from,
                            Milliseconds duration, int first) {
  const Milliseconds gap(1000 / per_second);
  Milliseconds now = from;
  for (int number = first; now < from + duration; now += gap) {
    load->RecordArrival(JobId("job" + std::to_string(number++)), kJobWork, now);
  }
  return now;
}

Job JobOf(int tasks, int cpu_millicores) {
  return Job(
      {.spec = {.id = JobId("job"), .steps = {Step(tasks, cpu_millicores)}}, .policy = test_policy},
      Milliseconds(0));
}

// Guards against detecting a peak only when its jobs are waiting: half a second at forty jobs a
// second has to be enough.
TEST_CASE("a rising arrival rate is detected within half a second") {
  OfferedLoad load;
  RecordArrivals(&load, 2, Milliseconds(0), Milliseconds(5000), 0);
  CHECK(load.MillicoresAt(Milliseconds(5000)) <= 30000);
  RecordArrivals(&load, 40, Milliseconds(5000), Milliseconds(500), 100);
  const std::int64_t seen = load.MillicoresAt(Milliseconds(5500));
  CHECK(seen >= 360000);
  CHECK(seen <= 440000);
}

// Guards against a pool that stays large after a peak.
TEST_CASE("the arrival rate falls to zero when no more jobs arrive") {
  OfferedLoad load;
  const Milliseconds end = RecordArrivals(&load, 40, Milliseconds(0), Milliseconds(3000), 0);
  CHECK(load.MillicoresAt(end + Milliseconds(2000)) == 0);
}

// Guards against counting the retries of refused callers as demand.
TEST_CASE("a job that is submitted repeatedly counts once") {
  OfferedLoad load;
  for (int attempt = 0; attempt < 4; ++attempt) {
    for (int number = 0; number < 10; ++number) {
      load.RecordArrival(JobId("job" + std::to_string(number)), kJobWork,
                         Milliseconds(100 * attempt));
    }
  }
  CHECK(load.MillicoresAt(Milliseconds(400)) == 200000);
}

// Guards against moving instances for a single wide job.
TEST_CASE("a few single jobs don't count as an arrival rate") {
  OfferedLoad load;
  load.RecordArrival(JobId("a"), 100 * kJobWork, Milliseconds(0));
  load.RecordArrival(JobId("b"), 100 * kJobWork, Milliseconds(100));
  CHECK(load.MillicoresAt(Milliseconds(200)) == 0);
}

// Guards against refusing a job because of late work, which is placed after it anyway.
TEST_CASE("a job that can be on time is accepted in spite of late work") {
  const Job job = JobOf(4, 1000);
  const ServiceLoad late{.on_time_backlog = 0, .backlog = 1000000, .capacity = 32000};
  CHECK_FALSE(OverloadRetryAfter(late, job));
  const ServiceLoad full{.on_time_backlog = 1000000, .backlog = 1000000, .capacity = 32000};
  const auto retry_after = OverloadRetryAfter(full, job);
  REQUIRE(retry_after);
  // The backlog takes 31.25 s; the job's result is useful with a wait of 3 * (1.6 * 0.5 + 0.6) -
  // 0.5 s.
  CHECK(retry_after->count() == 27550);
}

}  // namespace
}  // namespace endivewood::testing
