/// @file
/// Comparison of an instance's capacity with those of the present holders.
#include "holder_choice.h"

#include <algorithm>

#include "config.h"

namespace endivewood {

int HoldingCapacity(const InstanceCapacity& capacity) {
  const int link = capacity.link_mbps * config::kMillicoresPerMbps;
  if (capacity.cpu_millicores <= 0 || link <= 0) return std::max(capacity.cpu_millicores, link);
  return std::min(capacity.cpu_millicores, link);
}

bool ShouldHold(int own, const std::vector<int>& holders, bool member) {
  if (own <= 0) return true;
  int larger = 0;
  std::int64_t total = 0;
  for (const int holder : holders) {
    if (holder < config::kMuchLargerFactor * own) continue;
    ++larger;
    total += holder;
  }
  const std::int64_t enough =
      member ? config::kEnoughLargerCapacity : config::kScarceLargerCapacity;
  return larger < config::kMinLargerHolders || total < enough * own;
}

std::int64_t StartWindowBytes(const InstanceCapacity& capacity) {
  constexpr std::int64_t kBytesPerMbit = 125000;
  return capacity.link_mbps * kBytesPerMbit * config::kStartWindowMs / 1000;
}

Milliseconds JoinDelay(int own) {
  if (own <= 0) return Milliseconds{0};
  return Milliseconds(std::min(config::kMaxJoinDelayMs, config::kJoinDelayTimesCapacity / own));
}

}  // namespace endivewood
