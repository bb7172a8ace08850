/// @file
/// Throttles best-effort tasks that share an upstream with latency-sensitive tasks.
#include "best_effort_pace.h"

#include <algorithm>

#include "config.h"

namespace endivewood {

std::optional<int> DecidePace(const UpstreamSession& session, Milliseconds now) {
  double worst_ratio = 0;
  int pace = 100;
  Milliseconds paced_at{0};
  for (const auto& [task, run] : session.hosted) {
    if (run.best_effort) {
      pace = std::min(pace, run.pace);
      paced_at = std::max(paced_at, run.paced_at);
    }
    if (run.target_latency <= Milliseconds{0}) continue;
    worst_ratio = std::max(worst_ratio, static_cast<double>(run.usage) /
                                            static_cast<double>(run.target_latency.count()));
  }
  if (now - paced_at < Milliseconds(config::kPaceIntervalMs)) return std::nullopt;
  if (worst_ratio > config::kPaceDownAt && pace > 0) return worst_ratio > 1.0 ? 0 : pace / 2;
  if (worst_ratio < config::kPaceUpBelow && pace < 100) {
    return std::min(100, pace + config::kPaceStepPercent);
  }
  return std::nullopt;
}

}  // namespace endivewood
