/// @file
/// Throttles best-effort tasks that share an upstream with latency-sensitive tasks.
#pragma once

#include <optional>

#include "upstream_session.h"

namespace endivewood {

/// @returns the new pace, in percent of full speed, of the best-effort tasks on an upstream, or no
/// value if it doesn't change. The pace is halved while a task is near its target latency, set to 0
/// while one exceeds it, and raised stepwise while all are well below.
std::optional<int> DecidePace(const UpstreamSession& session, Milliseconds now);

}  // namespace endivewood
