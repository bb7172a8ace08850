/// @file
/// Membership and leader election of the planners.
///
/// Each planner appends heartbeats to the stream `planners`; leaders are chosen among the live
/// planners by rendezvous hashing. A lease record would need expiry in the fold, which knows no
/// time but the log's, and exclusive leadership is not required: two planners that both consider
/// themselves leader do no harm. Heartbeats expire by the log's record times, independently of the
/// clocks of the processes. A planner that can't append heartbeats doesn't lead.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood {

/// A record of the stream `planners`.
struct PlannerHeartbeat {
  DataCentreName data_centre;
  Incarnation incarnation;
  bool leaving = false;

  bool operator==(const PlannerHeartbeat&) const = default;
};

std::string EncodePlannerHeartbeat(const PlannerHeartbeat& heartbeat);
std::optional<PlannerHeartbeat> DecodePlannerHeartbeat(const std::string& bytes);

/// Set of live planners, folded from heartbeats. Not thread-safe.
class PlannerMembership {
 public:
  /// @param time log time of the record.
  void Apply(Milliseconds time, const PlannerHeartbeat& heartbeat);

  /// @returns whether this planner is the leader of its data centre.
  bool LeadsDataCentre(const PlannerHeartbeat& self) const;

  /// @returns whether this planner is the one that pauses, resumes and finishes waves.
  bool LeadsWave(const PlannerHeartbeat& self) const;

  std::size_t alive() const { return m_alive.size(); }

 private:
  struct Member {
    DataCentreName data_centre;
    Milliseconds seen{0};
  };

  /// @returns the incarnation of the leader of each data centre that has a live planner.
  std::map<DataCentreName, std::string> DataCentreLeaders() const;

  std::map<Incarnation, Member> m_alive;
  Milliseconds m_latest{0};
};

}  // namespace endivewood
