/// @file
/// Admission control by predicted lateness.
#include "job_admission.h"

#include <algorithm>

#include "config.h"

namespace endivewood {

std::optional<Milliseconds> OverloadRetryAfter(const ServiceLoad& load, const Job& job) {
  if (job.lasting() || job.spec().occurrences > 0 || load.capacity <= 0) return std::nullopt;
  const double stretched = job.policy().stretch * static_cast<double>(job.critical_path().count());
  const double objective = stretched + static_cast<double>(job.policy().objective.count());
  const auto critical_path = static_cast<double>(job.critical_path().count());
  // The backlog is in core-milliseconds, the capacity in millicores.
  const auto wait_for = [&](std::int64_t backlog) {
    return 1000.0 * static_cast<double>(backlog) / static_cast<double>(load.capacity);
  };
  if (wait_for(load.on_time_backlog) <= objective - critical_path) return std::nullopt;
  const double wait = wait_for(load.backlog);
  const double useful_wait = config::kMaxUsefulLateness * objective - critical_path;
  if (wait <= useful_wait) return std::nullopt;
  return Milliseconds(static_cast<std::int64_t>(std::max(wait - useful_wait, 1.0)));
}

}  // namespace endivewood
