/// @file
/// Clock, lease and reservations of one incarnation of an upstream.
#include "upstream_session.h"

#include <algorithm>

#include "config.h"

namespace endivewood {

Milliseconds LongestTimeOf(Milliseconds lease) {
  const double longest = static_cast<double>(lease.count()) / config::kSlowestClockRate;
  return Milliseconds(static_cast<std::int64_t>(longest) + config::kLeaseMarginMs);
}

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

void AccountUsage::Count(const AccountName& account, const ResourceTotal& amount, int sign) {
  if (!account.valid()) return;
  ResourceTotal& total = m_totals[account];
  if (sign > 0) {
    total += amount;
  } else {
    total -= amount;
  }
  if (total == ResourceTotal{}) m_totals.erase(account);
}

void StepCounts::Remove(const TaskKey& task) {
  const auto count = m_counts.find(StepKeyOf(task));
  if (count != m_counts.end() && --count->second == 0) m_counts.erase(count);
}

int StepCounts::Of(const StepKey& step) const {
  const auto count = m_counts.find(step);
  return count == m_counts.end() ? 0 : count->second;
}

void HeldRoom::Put(const TaskKey& task, const Capacity& capacity) {
  erase(task);
  m_room.emplace(task, capacity);
  m_total = m_total + capacity;
  m_step_counts.Add(task);
}

void HeldRoom::erase(const TaskKey& task) {
  const auto held = m_room.find(task);
  if (held == m_room.end()) return;
  m_total = m_total - held->second;
  m_step_counts.Remove(task);
  m_room.erase(held);
}

void HostedRuns::Count(const HostedRun& run, int sign) {
  m_used = sign > 0 ? m_used + run.reserved : m_used - run.reserved;
  if (run.target_latency > Milliseconds{0}) m_latency_sensitive += sign;
  if (run.best_effort) m_best_effort += sign;
  if (!run.needs_known) m_needs_unknown += sign;
  if (m_usage) m_usage->Count(run.account, run.charged, sign);
}

HostedRun& HostedRuns::Put(const TaskKey& task, const HostedRun& run) {
  const auto [position, added] = m_runs.try_emplace(task);
  if (added) {
    m_step_counts.Add(task);
  } else {
    Count(position->second, -1);
  }
  position->second = run;
  Count(run, 1);
  return position->second;
}

HostedRuns::Map::iterator HostedRuns::erase(Map::iterator position) {
  Count(position->second, -1);
  m_step_counts.Remove(position->first);
  return m_runs.erase(position);
}

void UpstreamSession::SettleStarts(const TaskKey& task, std::uint64_t run) {
  for (UnansweredStart& start : unanswered_starts) {
    if (start.task == task && start.run <= run) start.settled = true;
  }
}

bool UpstreamSession::HasUnsettledStart() const {
  return std::any_of(
      unanswered_starts.begin(), unanswered_starts.end(),
      [](const UnansweredStart& start) { return !start.settled && start.account.valid(); });
}

Capacity UpstreamSession::Free() const {
  const Capacity free = entry.capacity - hosted.used() - held.total();
  if (!hosted.any_needs_unknown()) return free;
  return {.cpu_millicores = std::min(free.cpu_millicores, 0),
          .memory_mb = std::min(free.memory_mb, 0),
          .gpus = std::min(free.gpus, 0)};
}

void UpstreamSession::CountFailure(const JobId& job, bool step_succeeds, Milliseconds now) {
  if (IsSuspect()) return;
  const bool first_of_job = failed_jobs.insert(job).second;
  if (!first_of_job && !step_succeeds) return;
  ++failed_streak;
  if (IsSuspect()) suspect_since = now;
}

void UpstreamSession::ForgetFailures() {
  failed_streak = 0;
  failed_jobs.clear();
}

bool UpstreamSession::IsSuspect() const { return failed_streak >= config::kFailedStreakLimit; }

bool UpstreamSession::HasUndecidedTrial() const {
  return std::any_of(hosted.begin(), hosted.end(), [&](const auto& each) {
    const HostedRun& run = each.second;
    const bool at_work = run.lasting && run.percent >= 100;
    return run.ordered_at >= suspect_since && !at_work;
  });
}

Milliseconds UpstreamSession::LatestLeaseEnd() const {
  // Before the first run list, a lease may come from another holder's orders or from orders that
  // were sent to another incarnation.
  if (!hosted_complete) return inherited_lease_end;
  return clock.LatestLocalTimeOf(std::max(lease_until, former_lease_until)) +
         Milliseconds(config::kLeaseMarginMs);
}

void UpstreamSession::OnDurable(std::uint64_t change) {
  while (!pending_acks.empty() && pending_acks.front().change <= change) {
    stored_cursor = std::max(stored_cursor, pending_acks.front().number);
    pending_acks.pop_front();
  }
}

}  // namespace endivewood
