/// @file
/// Admission control by predicted lateness, for load peaks beyond the capacity of a service.
#pragma once

#include <optional>

#include "job.h"

namespace endivewood {

/// Open work and capacity of a service.
struct ServiceLoad {
  std::int64_t on_time_backlog = 0;  ///< Part of `backlog` of jobs that can still be on time.
  std::int64_t backlog = 0;          ///< Remaining work of all open jobs, core-milliseconds.
  std::int64_t capacity = 0;         ///< Millicores of the service's upstreams, present or planned.
};

/// Decides whether a new job is accepted. Work that can be on time is placed before late work. A
/// job is therefore accepted if it can be on time after the backlog that can be on time, or if its
/// result is still useful after the whole backlog.
/// @returns the time after which a refused caller should retry, or no value if the job is accepted.
std::optional<Milliseconds> OverloadRetryAfter(const ServiceLoad& load, const Job& job);

}  // namespace endivewood
