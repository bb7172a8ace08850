/// @file
/// Which peer to ask for fleet records or state. Pure: time is passed in.
#pragma once

#include "membership.h"

namespace endivewood {

/// What an entry knows when it decides whom to ask.
struct RelayInputs {
  std::uint64_t next_offset = 0;
  bool connected = false;  ///< The log answers.
  std::vector<PeerMember> alive;
  DataCentreName data_centre;  ///< Peers of the same one are preferred.
  Milliseconds now{0};
};

/// Asks the live peer with the highest offset when the log has not delivered its records in time.
/// A silent log counts like one that refuses: what matters is that a peer is ahead.
class RelayDecision {
 public:
  /// @returns the peer to ask now.
  std::optional<std::string> Decide(const RelayInputs& inputs);

 private:
  std::uint64_t m_next_offset = 0;
  std::optional<Milliseconds> m_behind_since;
  std::optional<Milliseconds> m_asked_at;
  std::set<std::string> m_tried;  ///< Peers that gave nothing at the present offset.
};

}  // namespace endivewood
