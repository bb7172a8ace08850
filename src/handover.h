/// @file
/// Makes sure that the earlier holders of a partition have stopped: asks each until it confirms, or
/// until a holder that lost contact with the store has stopped by itself.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node_calls.h"

namespace endivewood {

struct HandoverOptions {
  std::string member;  ///< This holder's name in the group.
  int partition = 0;
  /// Time after which an earlier holder that can't be reached has stopped by itself.
  Milliseconds max_wait{6000};
};

/// Key of the record with the names of all holders that may still be active, separated by spaces.
inline constexpr char kHolderRecordKey[] = "w/holder";

/// Does no I/O: replies and the time are passed in, the members to ask are returned.
class Handover {
 public:
  /// @param holder_record the record stored by the previous holder; empty when there was none.
  Handover(HandoverOptions options, const std::string& holder_record, Milliseconds now);

  /// @returns the record to store: this holder and the earlier ones that haven't confirmed.
  std::string HolderRecord() const;

  /// @returns the members to send a HandoverCall now.
  std::vector<std::string> TakeMembersToAsk(Milliseconds now);
  void OnStopped(const std::string& member) { m_pending.erase(member); }

  /// @returns whether every earlier holder has stopped, by confirmation or by timeout.
  bool settled(Milliseconds now) const;

 private:
  HandoverOptions m_options;
  std::set<std::string> m_pending;
  Milliseconds m_started;
  Milliseconds m_next_request{0};
};

}  // namespace endivewood
