/// @file
/// Membership and leader election of the planners.
#include "planner_membership.h"

#include <algorithm>

#include "codec.h"
#include "config.h"
#include "rendezvous.h"

// clang-format off
ENDIVEWOOD_CODEC(endivewood::PlannerHeartbeat, v.data_centre, v.incarnation, v.leaving)
// clang-format on

namespace endivewood {
std::string EncodePlannerHeartbeat(const PlannerHeartbeat& heartbeat) { return Pack(heartbeat); }

std::optional<PlannerHeartbeat> DecodePlannerHeartbeat(const std::string& bytes) {
  return Unpack<PlannerHeartbeat>(bytes);
}

void PlannerMembership::Apply(Milliseconds time, const PlannerHeartbeat& heartbeat) {
  m_latest = std::max(m_latest, time);
  if (heartbeat.leaving) {
    m_alive.erase(heartbeat.incarnation);
  } else {
    m_alive[heartbeat.incarnation] = {.data_centre = heartbeat.data_centre, .seen = time};
  }
  std::erase_if(m_alive, [&](const auto& item) {
    return m_latest - item.second.seen > Milliseconds(config::kPlannerTimeoutMs);
  });
}

std::map<DataCentreName, std::string> PlannerMembership::DataCentreLeaders() const {
  std::map<DataCentreName, std::vector<std::string>> alive;
  for (const auto& [incarnation, planner] : m_alive) {
    alive[planner.data_centre].push_back(incarnation.str());
  }
  std::map<DataCentreName, std::string> leaders;
  for (const auto& [data_centre, names] : alive) {
    leaders[data_centre] = RendezvousRank("centre/" + data_centre.str(), names).front();
  }
  return leaders;
}

bool PlannerMembership::LeadsDataCentre(const PlannerHeartbeat& self) const {
  const auto leaders = DataCentreLeaders();
  const auto leader = leaders.find(self.data_centre);
  return leader != leaders.end() && leader->second == self.incarnation.str();
}

bool PlannerMembership::LeadsWave(const PlannerHeartbeat& self) const {
  // Other planners make no proposals, so the wave's leader must be a data centre's leader.
  std::vector<std::string> candidates;
  for (const auto& [data_centre, leader] : DataCentreLeaders()) candidates.push_back(leader);
  if (candidates.empty()) return false;
  return RendezvousRank("wave", candidates).front() == self.incarnation.str();
}

}  // namespace endivewood
