/// @file
/// Which planners are alive, and which of them acts.
#include "planner_membership.h"

#include <algorithm>

#include "codec.h"
#include "config.h"

// clang-format off
ENDIVEWOOD_CODEC(endivewood::PlannerHeartbeat, v.data_centre, v.incarnation, v.leaving)
// clang-format on

namespace endivewood {
namespace {

/// FNV-1a: equal in every process, which std::hash need not be.
std::uint64_t Weight(const std::string& key, const Incarnation& incarnation) {
  constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffsetBasis;
  for (const char character : key + "/" + incarnation.str()) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kPrime;
  }
  return hash;
}

}  // namespace

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

bool PlannerMembership::LeadsCentre(const PlannerHeartbeat& self) const {
  const std::string key = "centre/" + self.data_centre.str();
  const std::uint64_t own = Weight(key, self.incarnation);
  return m_alive.contains(self.incarnation) &&
         std::none_of(m_alive.begin(), m_alive.end(), [&](const auto& item) {
           return item.second.data_centre == self.data_centre && Weight(key, item.first) > own;
         });
}

bool PlannerMembership::LeadsWave(const PlannerHeartbeat& self) const {
  const std::uint64_t own = Weight("wave", self.incarnation);
  return m_alive.contains(self.incarnation) &&
         std::none_of(m_alive.begin(), m_alive.end(),
                      [&](const auto& item) { return Weight("wave", item.first) > own; });
}

}  // namespace endivewood
