/// @file
/// Selects the peer to ask for fleet records or state. Reads no clock: time is passed in.
#pragma once

#include "membership.h"

namespace endivewood {

/// Input of the selection.
struct RelayInputs {
  std::uint64_t next_offset = 0;
  bool connected = false;  ///< The log service answers.
  std::vector<PeerMember> alive;
  DataCentreName data_centre;  ///< Peers of the same one are preferred.
  Milliseconds now{0};
};

/// Selects the live peer with the highest offset when the log has not delivered the records in
/// time. A log that doesn't answer is treated like one that fails: what counts is that a peer is
/// ahead.
class RelayPeerSelector {
 public:
  /// @returns the peer to ask now.
  std::optional<std::string> SelectPeer(const RelayInputs& inputs);

 private:
  std::uint64_t m_next_offset = 0;
  std::optional<Milliseconds> m_behind_since;
  std::optional<Milliseconds> m_asked_at;
  std::set<std::string> m_tried;  ///< Peers asked without result at the current offset.
};

}  // namespace endivewood
