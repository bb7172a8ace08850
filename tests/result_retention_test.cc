/// @file
/// Retention of job results by a holder whose time of day differs from its predecessor's.
#include <catch2/catch.hpp>

#include "config.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

/// The platform requires results for this time, and allows this error of the time of day.
constexpr Milliseconds kRequired{120000};
constexpr Milliseconds kSkew{5000};

// Guards against "no such job" for a job that has ended less than 120 s ago.
TEST_CASE("a result is kept for its time by a holder whose time of day is ahead") {
  SilenceEvents();
  const JobId id("job");
  const Milliseconds ended(1000000);
  JobScheduler holder(SchedulerOptions{.partition = 1, .epoch = 100});
  holder.Restore(
      {.key = JobKey(id),
       .value = EncodeJobResult(
           {.queue = QueueName("q"), .state = JobState::kComplete, .ended = ended - kSkew})});
  const Milliseconds offset = ended + kSkew;
  holder.FinishRestore(Milliseconds{0}, offset, Milliseconds{0});
  REQUIRE(holder.StateOf(id) == JobState::kComplete);
  holder.Run(kRequired - Milliseconds(1), offset, {});
  CHECK(holder.StateOf(id) == JobState::kComplete);
  holder.Run(kRequired * 2, offset, {});
  CHECK(holder.StateOf(id) == std::nullopt);
}

}  // namespace
}  // namespace endivewood::testing
