/// @file
/// Joins to the group, and epochs for the partitions that it assigns.
#include "group_membership.h"

#include <algorithm>
#include <set>

#include "config.h"
#include "events.h"

namespace endivewood {

std::optional<JoinGroup> GroupMembership::TakeCall(Milliseconds now) {
  if (m_in_flight || now < m_next_join) return std::nullopt;
  m_in_flight = true;
  m_sent_at = now;
  return JoinGroup{.group = m_options.group,
                   .member = m_options.member,
                   .topic = m_options.topic,
                   .ttl = m_options.ttl,
                   .generation = m_generation};
}

void GroupMembership::OnReply(const StoreReply& reply, Milliseconds now) {
  m_in_flight = false;
  if (reply.status != StoreStatus::kOk) {
    m_next_join = now + Milliseconds(config::kStoreRetryMs);
    return;
  }
  m_confirmed_at = m_sent_at;
  const bool changed = reply.generation != m_generation;
  m_generation = reply.generation;
  std::set<int> listed;
  for (const LogPartition& partition : reply.held) listed.insert(partition.number);
  std::erase_if(m_held, [&](const auto& entry) { return listed.count(entry.first) == 0; });
  for (const int partition : listed) {
    if (m_held.count(partition) > 0) continue;
    const auto epoch = NextEpoch(partition);
    if (!epoch) {
      LogEvent(Event::kEpochsExhausted, {{"partition", partition}, {"generation", m_generation}});
      continue;
    }
    m_held[partition] = *epoch;
    m_last_epochs[partition] = *epoch;
  }
  // The next join hands over partitions that this member has lost, so it is sent at once.
  m_next_join = changed ? now : m_sent_at + m_options.join_interval;
}

void GroupMembership::OnTermEnded(int partition, std::uint64_t highest_token) {
  m_held.erase(partition);
  std::uint64_t& last = m_last_epochs[partition];
  last = std::max(last, highest_token);
}

std::uint64_t GenerationOfEpoch(std::uint64_t epoch) { return epoch / config::kTermsPerGeneration; }

std::optional<std::uint64_t> GroupMembership::NextEpoch(int partition) const {
  const std::uint64_t first = m_generation * config::kTermsPerGeneration;
  const auto last = m_last_epochs.find(partition);
  if (last == m_last_epochs.end() || last->second < first) return first;
  const std::uint64_t next = last->second + 1;
  if (GenerationOfEpoch(next) != m_generation) return std::nullopt;
  return next;
}

bool GroupMembership::IsConfirmed(Milliseconds now) const {
  return m_confirmed_at && now < *m_confirmed_at + m_options.ttl;
}

}  // namespace endivewood
