/// @file
/// When refused callers return.
#include "return_schedule.h"

#include <algorithm>

#include "config_overload.h"

namespace endivewood {

std::optional<Milliseconds> ReturnSchedule::FirstArrival(const JobId& job, Milliseconds now) const {
  const auto found = m_refused.find(job);
  if (found == m_refused.end()) return std::nullopt;
  if (found->second.at + Milliseconds(config::kSubmittedMemoryMs) <= now) return std::nullopt;
  return found->second.arrived;
}

Milliseconds ReturnSchedule::Refuse(const JobId& job, Milliseconds room_in, Milliseconds room_taken,
                                    Milliseconds now) {
  const Milliseconds memory(config::kSubmittedMemoryMs);
  if (now >= m_forget_at) {
    m_forget_at = now + memory / 2;
    std::erase_if(m_refused, [&](const auto& entry) { return entry.second.at + memory <= now; });
  }
  const auto [position, added] = m_refused.try_emplace(job);
  if (added) position->second.arrived = now;
  position->second.at = now;
  const Milliseconds first = now + std::max(room_in, Milliseconds{1});
  // A full interval begins anew: the load after it isn't known.
  const bool full = m_next_return > first + Milliseconds(config::kReturnSpreadMs);
  const Milliseconds at = full ? first : std::max(first, m_next_return);
  m_next_return = at + std::max(room_taken, Milliseconds{1});
  return std::min(at - now, Milliseconds(config::kMaxOverloadRetryMs));
}

}  // namespace endivewood
