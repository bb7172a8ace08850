/// @file
/// Clock, lease and reservations of one incarnation of an upstream.
#include "upstream_session.h"

#include <algorithm>

#include "config.h"

namespace endivewood {

void RemoteClock::Observe(std::int64_t remote, Milliseconds received) {
  // An answer that arrives out of order gives a weaker bound than the one already known.
  if (m_known && remote < LowerBoundAt(received)) return;
  m_known = true;
  m_remote = remote;
  m_received = received;
}

std::int64_t RemoteClock::LowerBoundAt(Milliseconds now) const {
  const double elapsed = static_cast<double>((now - m_received).count());
  return m_remote + static_cast<std::int64_t>(elapsed * config::kSlowestClockRate);
}

Milliseconds RemoteClock::LatestLocalTimeOf(std::int64_t remote) const {
  if (remote <= m_remote) return m_received;
  const double left = static_cast<double>(remote - m_remote) / config::kSlowestClockRate;
  return m_received + Milliseconds(static_cast<std::int64_t>(left) + 1);
}

Capacity UpstreamSession::Used() const {
  Capacity used;
  for (const auto& [task, run] : hosted) {
    used = used + run.reserved;
  }
  return used;
}

Capacity UpstreamSession::Free() const {
  Capacity free = entry.capacity - Used();
  for (const auto& [task, capacity] : held) free = free - capacity;
  return free;
}

bool UpstreamSession::HostsLasting() const {
  return std::any_of(hosted.begin(), hosted.end(),
                     [](const auto& each) { return each.second.lasting; });
}

bool UpstreamSession::HostsLatencySensitive() const {
  return std::any_of(hosted.begin(), hosted.end(),
                     [](const auto& each) { return each.second.target_latency > Milliseconds{0}; });
}

bool UpstreamSession::HostsBestEffort() const {
  return std::any_of(hosted.begin(), hosted.end(),
                     [](const auto& each) { return each.second.best_effort; });
}

Milliseconds UpstreamSession::LatestLeaseEnd() const {
  // Before the first run list, a lease may come from another holder's orders or from orders that
  // were sent to another incarnation.
  if (!hosted_complete) return inherited_lease_end;
  return clock.LatestLocalTimeOf(lease_until) + Milliseconds(config::kLeaseMarginMs);
}

void UpstreamSession::OnDurable(std::uint64_t change) {
  while (!pending_acks.empty() && pending_acks.front().change <= change) {
    stored_cursor = std::max(stored_cursor, pending_acks.front().number);
    pending_acks.pop_front();
  }
}

}  // namespace endivewood
