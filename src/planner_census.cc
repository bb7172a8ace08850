/// @file
/// Choice of instances and pools for moves and waves.
#include "planner_census.h"

#include <algorithm>
#include <tuple>

namespace endivewood {
namespace {

void CountInstance(const FleetView& view, const InstanceView& instance, PoolCount* pool) {
  switch (instance.state) {
    case InstanceState::kReady:
      ++pool->ready;
      ++pool->ready_in[instance.data_centre];
      if (!view.AwaitsMaintenance(instance)) break;
      ++pool->awaiting;
      ++pool->awaiting_in[instance.data_centre];
      break;
    case InstanceState::kDraining:
    case InstanceState::kRebooting:
      ++pool->in_flight;
      break;
    case InstanceState::kLost:
      ++pool->lost;
      break;
  }
}

void SetTargets(const FleetView& view, Census* census) {
  if (const PresetConfig* preset = view.config.FindPreset(view.preset)) {
    for (const PoolTarget& target : preset->targets) {
      (*census)[target.pool].target = target.instances;
    }
  }
  int alive = 0;
  int taken = 0;
  for (auto& [name, pool] : *census) {
    alive += pool.ready + pool.in_flight;
    pool.target = std::max(pool.target, pool.required);
    if (!pool.spare) taken += pool.target;
  }
  for (auto& [name, pool] : *census) {
    if (pool.spare) pool.target = std::max(pool.required, alive - taken);
  }
}

/// Returning instances go to pools below their budget, then to a pool that has none in the data
/// centre, then to one that the wave can't go on with, then home, then to other deficits, then
/// where the wave can take more at a time, then to the spare pool.
enum class Need : std::uint8_t {
  kBudget = 0,
  kAbsent,
  kBlocked,
  kHome,
  kDeficit,
  kWave,
  kSpare,
  kNone,
};

Need NeedOf(const PoolCount& pool, const InstanceView& instance, bool home) {
  if (pool.ready < pool.required) return Need::kBudget;
  if (pool.spare) return Need::kSpare;
  const bool blocked = pool.IsBlockedIn(instance.data_centre);
  const bool deficit = pool.Deficit() > 0;
  if (deficit && pool.serves && pool.ReadyIn(instance.data_centre) == 0) return Need::kAbsent;
  if (blocked) return Need::kBlocked;
  if (deficit) return home ? Need::kHome : Need::kDeficit;
  if (pool.ready < pool.WaveLimit()) return Need::kWave;
  return Need::kNone;
}

int Shortage(const PoolCount& pool, Need need) {
  if (need == Need::kBudget) return pool.required - pool.ready;
  if (need == Need::kWave) return pool.WaveLimit() - pool.ready;
  return pool.Deficit();
}

/// The most crowded data centre and rack give first, so that failure domains stay balanced.
const InstanceView* BestDonor(const FleetView& view, const Census& census,
                              const std::vector<const InstanceView*>& taken) {
  const InstanceView* best = nullptr;
  std::tuple<int, int, bool> best_rank;
  for (const auto& [name, instance] : view.instances) {
    if (instance.state != InstanceState::kReady) continue;
    const PoolCount& pool = census.at(instance.pool);
    if (pool.Surplus() == 0 || pool.HasOnlyLast(instance.data_centre)) continue;
    if (std::find(taken.begin(), taken.end(), &instance) != taken.end()) continue;
    const std::tuple<int, int, bool> rank{pool.spare ? 1 : 0, pool.ReadyIn(instance.data_centre),
                                          view.AwaitsMaintenance(instance)};
    if (best != nullptr && rank <= best_rank) continue;
    best = &instance;
    best_rank = rank;
  }
  return best;
}

void TakeOut(const FleetView& view, const InstanceView& instance, Census* census) {
  PoolCount& pool = census->at(instance.pool);
  if (view.AwaitsMaintenance(instance)) {
    --pool.awaiting;
    --pool.awaiting_in[instance.data_centre];
  }
  --pool.ready;
  --pool.ready_in[instance.data_centre];
  ++pool.in_flight;
}

/// Ready instance of the spare pool, or when `any_pool` of the pool with the largest reserve.
const InstanceView* BestLender(const FleetView& view, const Census& census,
                               const DataCentreName& data_centre, bool any_pool,
                               const std::vector<const InstanceView*>& taken) {
  const InstanceView* best = nullptr;
  int best_reserve = 0;
  for (const auto& [name, instance] : view.instances) {
    const bool ready = instance.state == InstanceState::kReady;
    if (!ready || instance.data_centre != data_centre) continue;
    const PoolCount& pool = census.at(instance.pool);
    if (!pool.spare && (!any_pool || pool.HasOnlyLast(data_centre))) continue;
    if (std::find(taken.begin(), taken.end(), &instance) != taken.end()) continue;
    const int reserve = pool.ready - pool.required;
    if (reserve <= best_reserve) continue;
    best = &instance;
    best_reserve = reserve;
  }
  return best;
}

/// Takes replacements for blocked pools unless enough instances are about to return.
void Lend(const FleetView& view, const DataCentreName& data_centre, Census* census,
          std::vector<const InstanceView*>* drains) {
  int wanted = 0;
  int in_flight = 0;
  for (const auto& [name, pool] : *census) {
    if (pool.IsBlockedIn(data_centre)) wanted += pool.AwaitingIn(data_centre);
  }
  for (const auto& [name, instance] : view.instances) {
    if (instance.data_centre != data_centre) continue;
    if (instance.state == InstanceState::kDraining) ++in_flight;
    if (instance.state == InstanceState::kRebooting) ++in_flight;
  }
  in_flight += static_cast<int>(drains->size());
  for (; in_flight < wanted; ++in_flight) {
    const bool any_pool = in_flight == 0;
    const InstanceView* lender = BestLender(view, *census, data_centre, any_pool, *drains);
    if (lender == nullptr) return;
    TakeOut(view, *lender, census);
    drains->push_back(lender);
  }
}

}  // namespace

int PoolCount::ReadyIn(const DataCentreName& data_centre) const {
  const auto found = ready_in.find(data_centre);
  return found == ready_in.end() ? 0 : found->second;
}

int PoolCount::AwaitingIn(const DataCentreName& data_centre) const {
  const auto found = awaiting_in.find(data_centre);
  return found == awaiting_in.end() ? 0 : found->second;
}

bool PoolCount::HasOnlyLast(const DataCentreName& data_centre) const {
  return serves && ReadyIn(data_centre) <= 1;
}

bool PoolCount::IsBlockedIn(const DataCentreName& data_centre) const {
  if (AwaitingIn(data_centre) == 0) return false;
  return ready <= required || HasOnlyLast(data_centre);
}

Census TakeCensus(const FleetView& view) {
  Census census;
  for (const PoolConfig& pool : view.config.pools) census[pool.name].spare = pool.spare;
  for (const ServiceConfig& service : view.config.services) {
    PoolCount& pool = census[service.pool];
    pool.serves = true;
    pool.required = std::max(pool.required, service.min_available);
  }
  for (const auto& [name, instance] : view.instances) {
    CountInstance(view, instance, &census[instance.pool]);
  }
  SetTargets(view, &census);
  return census;
}

PoolName NeediestPool(const Census& census, const InstanceView& instance) {
  PoolName best;
  std::tuple<Need, int, int> best_rank{Need::kNone, 0, 0};
  for (const auto& [name, pool] : census) {
    const Need need = NeedOf(pool, instance, name == instance.pool);
    const std::tuple<Need, int, int> rank{need, -Shortage(pool, need),
                                          pool.ReadyIn(instance.data_centre)};
    if (rank >= best_rank) continue;
    best = name;
    best_rank = rank;
  }
  // Without a spare pool an instance that no pool needs returns to its own.
  return best.valid() ? best : instance.pool;
}

std::vector<const InstanceView*> ChooseMoves(const FleetView& view, const Census& census) {
  int uncovered = 0;
  for (const auto& [name, pool] : census) uncovered += pool.Deficit() - pool.in_flight;
  Census remaining = census;
  std::vector<const InstanceView*> moves;
  while (static_cast<int>(moves.size()) < uncovered) {
    const InstanceView* donor = BestDonor(view, remaining, moves);
    if (donor == nullptr) break;
    TakeOut(view, *donor, &remaining);
    moves.push_back(donor);
  }
  return moves;
}

std::vector<const InstanceView*> ChooseWaveDrains(const FleetView& view, const Census& census,
                                                  const DataCentreName& data_centre) {
  std::map<RackName, int> begun;  // Instances of a rack that the wave has taken already.
  std::vector<const InstanceView*> candidates;
  for (const auto& [name, instance] : view.instances) {
    if (instance.data_centre != data_centre) continue;
    const bool awaits = view.AwaitsMaintenance(instance);
    if (!awaits || instance.state == InstanceState::kDraining) ++begun[instance.rack];
    if (awaits && instance.state == InstanceState::kReady) candidates.push_back(&instance);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const InstanceView* left, const InstanceView* right) {
                     return std::tuple(-begun[left->rack], left->rack) <
                            std::tuple(-begun[right->rack], right->rack);
                   });
  Census remaining = census;
  std::vector<const InstanceView*> drains;
  for (const InstanceView* instance : candidates) {
    const PoolCount& pool = remaining.at(instance->pool);
    if (pool.ready <= pool.required || pool.HasOnlyLast(data_centre)) continue;
    TakeOut(view, *instance, &remaining);
    drains.push_back(instance);
  }
  Lend(view, data_centre, &remaining, &drains);
  return drains;
}

bool LossesExhaustBudget(const Census& census) {
  int spare = 0;
  for (const auto& [name, pool] : census) {
    if (pool.spare) spare += pool.ready + pool.in_flight;
  }
  for (const auto& [name, pool] : census) {
    if (pool.lost == 0 || !pool.serves) continue;
    if (pool.ready + pool.in_flight + spare <= pool.required) return true;
  }
  return false;
}

}  // namespace endivewood
