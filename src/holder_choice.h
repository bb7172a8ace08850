/// @file
/// Which instances hold partitions, where instances differ in size.
#pragma once

#include <endivewood/endivewood.h>

#include <string>
#include <vector>

namespace endivewood {

/// What an instance can give to the partitions that it holds; 0 where it isn't known.
struct InstanceCapacity {
  int cpu_millicores = 0;
  int link_mbps = 0;

  auto operator<=>(const InstanceCapacity&) const = default;
};

/// @returns the capacity as one number, by the scarcer resource: millicores, where a Mbit/s counts
/// as config::kMillicoresPerMbps. 0: not known.
int HoldingCapacity(const InstanceCapacity& capacity);

/// A holder does the work of whole services, so an instance leaves that to much larger ones as long
/// as there are enough of them. It keeps answering callers.
/// @param own holding capacity of the instance; 0, which is not known, always holds.
/// @param holders holding capacities of the other instances that hold partitions.
/// @param member whether the instance is a member of the group now. Becoming one again takes fewer
/// holders than leaving, so that an instance doesn't alternate.
bool ShouldHold(int own, const std::vector<int>& holders, bool member);

/// @returns the bytes of start orders that may be without an answer at a time; 0, no limit, if the
/// link isn't known.
std::int64_t StartWindowBytes(const InstanceCapacity& capacity);

/// @returns how long an instance waits after its start before it joins the group. Larger instances
/// join first, so that partitions aren't assigned to small ones for a moment.
Milliseconds JoinDelay(int own);

}  // namespace endivewood
