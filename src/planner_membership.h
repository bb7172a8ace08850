/// @file
/// Which planners are alive, and which of them acts.
///
/// Rendezvous hashing over heartbeats in the stream `planners` was preferred to a lease record: it
/// needs no expiry in the fold, whose only time is the log's, and two planners that both believe
/// to lead do no harm. Heartbeats are aged by the log's record times, so the clocks of the
/// processes don't matter. A planner that can't append doesn't lead either.
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

/// Folds heartbeats. Not thread-safe.
class PlannerMembership {
 public:
  /// @param time log time of the record.
  void Apply(Milliseconds time, const PlannerHeartbeat& heartbeat);

  /// @returns whether this planner acts for its data centre.
  bool LeadsCentre(const PlannerHeartbeat& self) const;

  /// @returns whether this planner pauses, resumes and ends waves.
  bool LeadsWave(const PlannerHeartbeat& self) const;

  std::size_t alive() const { return m_alive.size(); }

 private:
  struct Member {
    DataCentreName data_centre;
    Milliseconds seen{0};
  };

  /// @returns the incarnation of the acting planner of each data centre that has one.
  std::map<DataCentreName, std::string> CentreLeaders() const;

  std::map<Incarnation, Member> m_alive;
  Milliseconds m_latest{0};
};

}  // namespace endivewood
