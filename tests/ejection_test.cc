/// @file
/// Tests of the ejection of failing upstreams, of jobs that fail everywhere, and of retries.
#include "ejection.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "dispatch_fixture.h"
#include "retry.h"

namespace endivewood::testing {
namespace {

std::vector<InstanceName> Members(int count) {
  std::vector<InstanceName> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) members.push_back(InstanceNumber(number));
  return members;
}

// Guards against an upstream that fails every task quickly, so that it always has free slots and
// gets still more tasks.
TEST_CASE("a failing upstream is ejected after five failures and readmitted by a trial") {
  EjectionDetector detector;
  detector.SetMembers(Members(3));
  const InstanceName bad = InstanceNumber(0);
  const Milliseconds now(100);
  for (int count = 0; count < 4; ++count) detector.OnOutcome(bad, SlotOutcome::kFailed, {}, now);
  CHECK(detector.Health(bad) == UpstreamHealth::kHealthy);
  detector.OnOutcome(bad, SlotOutcome::kFailed, {}, now);
  REQUIRE(detector.Health(bad) == UpstreamHealth::kEjected);
  CHECK(detector.DueProbes(Milliseconds(1099)).empty());
  CHECK(detector.DueProbes(Milliseconds(1100)) == std::vector<InstanceName>{bad});
  detector.OnProbe(bad, true, Milliseconds(1100));
  REQUIRE(detector.Health(bad) == UpstreamHealth::kTrial);
  detector.OnOutcome(bad, SlotOutcome::kFailed, {}, Milliseconds(1200));
  REQUIRE(detector.Health(bad) == UpstreamHealth::kEjected);
  CHECK(detector.DueProbes(Milliseconds(3199)).empty());
  CHECK(detector.DueProbes(Milliseconds(3200)).size() == 1);
  detector.OnProbe(bad, true, Milliseconds(3200));
  detector.OnOutcome(bad, SlotOutcome::kSucceeded, {}, Milliseconds(3300));
  CHECK(detector.Health(bad) == UpstreamHealth::kHealthy);
}

// Guards against faulty jobs that cause the ejection of healthy upstreams.
TEST_CASE("jobs that fail on every instance eject none of them") {
  EjectionDetector detector;
  detector.SetMembers(Members(3));
  for (int job = 0; job < 100; ++job) {
    std::vector<InstanceName> failed;
    while (!IsNotRunnable(failed, 3)) {
      const InstanceName next = InstanceNumber((job + static_cast<int>(failed.size())) % 3);
      detector.OnOutcome(next, SlotOutcome::kFailed, failed, Milliseconds(job));
      failed.push_back(next);
    }
    CHECK(failed.size() == 3);
  }
  CHECK(detector.EjectedCount() == 0);
}

// Guards against ejections that leave a pool without capacity, whichever upstreams fail.
TEST_CASE("the ejected share stays within its limit") {
  CHECK(rc::check([] {
    EjectionDetector detector;
    int size = *rc::gen::inRange(1, 9);
    detector.SetMembers(Members(size));
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    std::int64_t now = 0;
    for (const int step : steps) {
      const InstanceName instance = InstanceNumber(step % size);
      now += step;
      for (int repeat = 0; repeat < 6; ++repeat) {
        detector.OnOutcome(instance, SlotOutcome::kFailed, {}, Milliseconds(now));
      }
      for (const InstanceName& due : detector.DueProbes(Milliseconds(now))) {
        detector.OnProbe(due, step % 2 == 0, Milliseconds(now));
      }
      if (step % 10 == 0) {
        size = step % 8 + 1;
        detector.SetMembers(Members(size));
      }
      RC_ASSERT(detector.EjectedCount() <= static_cast<std::size_t>(size / 2));
    }
  }));
}

// Guards against retries that multiply the load on a recovering data centre. Every attempt fails
// and every caller tries three more times, which without a budget is four times the load.
TEST_CASE("retries stay within their share of the request rate") {
  CHECK(rc::check([] {
    RetryBudget budget;
    const auto requests = *rc::gen::inRange(1, 5000);
    int retries = 0;
    for (int request = 0; request < requests; ++request) {
      budget.OnRequest();
      for (int attempt = 1; attempt <= 3; ++attempt) {
        if (budget.TryRetry()) ++retries;
      }
    }
    RC_ASSERT(retries <= 10 + requests / 10 + 1);
  }));
}

// Guards against retries that arrive at the same time: full jitter spreads them over the interval.
TEST_CASE("the retry delay is uniform below an exponential bound") {
  const RetryOptions options;
  CHECK(RetryDelay(options, 1, 0.0) == Milliseconds(0));
  CHECK(RetryDelay(options, 1, 0.5) == Milliseconds(5));
  CHECK(RetryDelay(options, 4, 0.5) == Milliseconds(40));
  CHECK(RetryDelay(options, 60, 0.5) == Milliseconds(500));
}

}  // namespace
}  // namespace endivewood::testing
