/// @file
/// Handover from the earlier holders of a partition.
#include "handover.h"

#include <algorithm>
#include <sstream>

#include "config.h"

namespace endivewood {

Handover::Handover(HandoverOptions options, const std::string& holder_record, Milliseconds now)
    : m_options(std::move(options)), m_started(now) {
  std::istringstream members(holder_record);
  for (std::string member; members >> member;) {
    if (member != m_options.member) m_pending.insert(member);
  }
}

std::string Handover::HolderRecord() const {
  std::string holder_record = m_options.member;
  for (const std::string& member : m_pending) holder_record += " " + member;
  return holder_record;
}

std::vector<std::string> Handover::TakeMembersToAsk(Milliseconds now) {
  if (m_pending.empty() || now < m_next_request || settled(now)) return {};
  m_next_request = now + Milliseconds(config::kHandoverRetryMs);
  return {m_pending.begin(), m_pending.end()};
}

bool Handover::settled(Milliseconds now) const {
  return m_pending.empty() || now >= m_started + m_options.max_wait;
}

}  // namespace endivewood
