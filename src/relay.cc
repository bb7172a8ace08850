/// @file
/// Selects the peer to ask for fleet records or state.
#include "relay.h"

#include <algorithm>

#include "config.h"

namespace endivewood {

std::optional<std::string> RelayPeerSelector::SelectPeer(const RelayInputs& inputs) {
  if (inputs.next_offset != m_next_offset) {
    m_next_offset = inputs.next_offset;
    m_behind_since.reset();
    m_asked_at.reset();
    m_tried.clear();
  }
  std::vector<PeerMember> ahead;
  for (const PeerMember& member : inputs.alive) {
    if (member.applied > inputs.next_offset) ahead.push_back(member);
  }
  if (ahead.empty()) {
    m_behind_since.reset();
    return std::nullopt;
  }
  if (!m_behind_since) m_behind_since = inputs.now;
  const Milliseconds delay(inputs.connected ? config::kRelayDelayMs : 0);
  if (inputs.now - *m_behind_since < delay) return std::nullopt;
  if (m_asked_at && inputs.now - *m_asked_at < Milliseconds(config::kRelayRetryMs)) {
    return std::nullopt;
  }
  const auto is_tried = [&](const PeerMember& member) { return m_tried.contains(member.name); };
  if (std::all_of(ahead.begin(), ahead.end(), is_tried)) m_tried.clear();
  const auto rank = [&](const PeerMember& member) {
    return std::make_tuple(!is_tried(member), member.applied,
                           member.data_centre == inputs.data_centre);
  };
  const auto best =
      std::max_element(ahead.begin(), ahead.end(),
                       [&](const PeerMember& a, const PeerMember& b) { return rank(a) < rank(b); });
  m_asked_at = inputs.now;
  m_tried.insert(best->name);
  return best->name;
}

}  // namespace endivewood
