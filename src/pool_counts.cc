/// @file
/// Counts instances by pool and chooses instances and pools for moves and waves.
#include "pool_counts.h"

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

void SetTargets(const FleetView& view, PoolCounts* counts) {
  if (const PresetConfig* preset = view.config.FindPreset(view.preset)) {
    for (const PoolTarget& target : preset->targets) {
      (*counts)[target.pool].target = target.instances;
    }
  }
  int alive = 0;
  int assigned = 0;
  for (auto& [name, pool] : *counts) {
    alive += pool.ready + pool.in_flight;
    pool.target = std::max(pool.target, pool.required);
    if (!pool.spare) assigned += pool.target;
  }
  for (auto& [name, pool] : *counts) {
    if (pool.spare) pool.target = std::max(pool.required, alive - assigned);
  }
}

/// Order in which pools receive returning instances; the first value has the highest priority.
enum class Priority : std::uint8_t {
  kBelowBudget = 0,
  kNoLocal,     ///< Below its target and without a ready instance in the data centre.
  kBlocksWave,  ///< The wave can't drain any of its instances.
  kSamePool,    ///< Below its target and the instance's previous pool.
  kBelowTarget,
  kBelowWaveLimit,  ///< With more instances the wave can drain more at a time.
  kSparePool,
  kNone,
};

Priority PriorityOf(const PoolCount& pool, const InstanceView& instance, bool same_pool) {
  if (pool.ready < pool.required) return Priority::kBelowBudget;
  if (pool.spare) return Priority::kSparePool;
  const bool blocked = pool.IsWaveBlockedIn(instance.data_centre);
  const bool deficit = pool.Deficit() > 0;
  if (deficit && pool.serves && pool.ReadyIn(instance.data_centre) == 0) return Priority::kNoLocal;
  if (blocked) return Priority::kBlocksWave;
  if (deficit) return same_pool ? Priority::kSamePool : Priority::kBelowTarget;
  if (pool.ready < pool.WaveLimit()) return Priority::kBelowWaveLimit;
  return Priority::kNone;
}

int Shortage(const PoolCount& pool, Priority priority) {
  if (priority == Priority::kBelowBudget) return pool.required - pool.ready;
  if (priority == Priority::kBelowWaveLimit) return pool.WaveLimit() - pool.ready;
  return pool.Deficit();
}

/// Prefers the spare pool, then the data centre with the most ready instances of the pool, so that
/// the pool stays spread over failure domains, then instances that await maintenance.
const InstanceView* BestMoveCandidate(const FleetView& view, const PoolCounts& counts,
                                      const std::vector<const InstanceView*>& chosen) {
  const InstanceView* best = nullptr;
  std::tuple<int, int, bool> best_rank;
  for (const auto& [name, instance] : view.instances) {
    if (instance.state != InstanceState::kReady) continue;
    const PoolCount& pool = counts.at(instance.pool);
    if (pool.Surplus() == 0 || pool.IsAtMinimumIn(instance.data_centre)) continue;
    if (std::find(chosen.begin(), chosen.end(), &instance) != chosen.end()) continue;
    const std::tuple<int, int, bool> rank{pool.spare ? 1 : 0, pool.ReadyIn(instance.data_centre),
                                          view.AwaitsMaintenance(instance)};
    if (best != nullptr && rank <= best_rank) continue;
    best = &instance;
    best_rank = rank;
  }
  return best;
}

void ApplyDrain(const FleetView& view, const InstanceView& instance, PoolCounts* counts) {
  PoolCount& pool = counts->at(instance.pool);
  if (view.AwaitsMaintenance(instance)) {
    --pool.awaiting;
    --pool.awaiting_in[instance.data_centre];
  }
  --pool.ready;
  --pool.ready_in[instance.data_centre];
  ++pool.in_flight;
}

/// @returns a ready instance of the spare pool or, with `any_pool`, of the pool that has the most
/// ready instances above its budget; nullptr when there is none.
const InstanceView* BestReplacement(const FleetView& view, const PoolCounts& counts,
                                    const DataCentreName& data_centre, bool any_pool,
                                    const std::vector<const InstanceView*>& chosen) {
  const InstanceView* best = nullptr;
  int best_reserve = 0;
  for (const auto& [name, instance] : view.instances) {
    const bool ready = instance.state == InstanceState::kReady;
    if (!ready || instance.data_centre != data_centre) continue;
    const PoolCount& pool = counts.at(instance.pool);
    if (!pool.spare && (!any_pool || pool.IsAtMinimumIn(data_centre))) continue;
    if (std::find(chosen.begin(), chosen.end(), &instance) != chosen.end()) continue;
    const int reserve = pool.ready - pool.required;
    if (reserve <= best_reserve) continue;
    best = &instance;
    best_reserve = reserve;
  }
  return best;
}

/// Drains replacements for blocked pools unless enough instances are already in flight.
void AddReplacements(const FleetView& view, const DataCentreName& data_centre, PoolCounts* counts,
                     std::vector<const InstanceView*>* drains) {
  int needed = 0;
  int in_flight = 0;
  for (const auto& [name, pool] : *counts) {
    if (pool.IsWaveBlockedIn(data_centre)) needed += pool.AwaitingIn(data_centre);
  }
  for (const auto& [name, instance] : view.instances) {
    if (instance.data_centre != data_centre) continue;
    if (instance.state == InstanceState::kDraining) ++in_flight;
    if (instance.state == InstanceState::kRebooting) ++in_flight;
  }
  in_flight += static_cast<int>(drains->size());
  for (; in_flight < needed; ++in_flight) {
    const bool any_pool = in_flight == 0;
    const InstanceView* replacement =
        BestReplacement(view, *counts, data_centre, any_pool, *drains);
    if (replacement == nullptr) return;
    ApplyDrain(view, *replacement, counts);
    drains->push_back(replacement);
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

bool PoolCount::IsAtMinimumIn(const DataCentreName& data_centre) const {
  return serves && ReadyIn(data_centre) <= 1;
}

bool PoolCount::IsWaveBlockedIn(const DataCentreName& data_centre) const {
  if (AwaitingIn(data_centre) == 0) return false;
  return ready <= required || IsAtMinimumIn(data_centre);
}

PoolCounts CountPools(const FleetView& view) {
  PoolCounts counts;
  for (const PoolConfig& pool : view.config.pools) counts[pool.name].spare = pool.spare;
  for (const ServiceConfig& service : view.config.services) {
    PoolCount& pool = counts[service.pool];
    pool.serves = true;
    pool.required = std::max(pool.required, service.min_available);
  }
  for (const auto& [name, instance] : view.instances) {
    CountInstance(view, instance, &counts[instance.pool]);
  }
  SetTargets(view, &counts);
  return counts;
}

PoolName ChoosePool(const PoolCounts& counts, const InstanceView& instance) {
  PoolName best;
  std::tuple<Priority, int, int> best_rank{Priority::kNone, 0, 0};
  for (const auto& [name, pool] : counts) {
    const Priority priority = PriorityOf(pool, instance, name == instance.pool);
    const std::tuple<Priority, int, int> rank{priority, -Shortage(pool, priority),
                                              pool.ReadyIn(instance.data_centre)};
    if (rank >= best_rank) continue;
    best = name;
    best_rank = rank;
  }
  // Without a spare pool, an instance that no pool needs returns to its previous pool.
  return best.valid() ? best : instance.pool;
}

std::vector<const InstanceView*> ChooseMoves(const FleetView& view, const PoolCounts& counts) {
  int uncovered = 0;
  for (const auto& [name, pool] : counts) uncovered += pool.Deficit() - pool.in_flight;
  PoolCounts remaining = counts;
  std::vector<const InstanceView*> moves;
  while (static_cast<int>(moves.size()) < uncovered) {
    const InstanceView* candidate = BestMoveCandidate(view, remaining, moves);
    if (candidate == nullptr) break;
    ApplyDrain(view, *candidate, &remaining);
    moves.push_back(candidate);
  }
  return moves;
}

std::vector<const InstanceView*> ChooseWaveDrains(const FleetView& view, const PoolCounts& counts,
                                                  const DataCentreName& data_centre) {
  std::map<RackName, int> started;  // Instances of each rack that the wave has already drained.
  std::vector<const InstanceView*> candidates;
  for (const auto& [name, instance] : view.instances) {
    if (instance.data_centre != data_centre) continue;
    const bool awaits = view.AwaitsMaintenance(instance);
    if (!awaits || instance.state == InstanceState::kDraining) ++started[instance.rack];
    if (awaits && instance.state == InstanceState::kReady) candidates.push_back(&instance);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const InstanceView* left, const InstanceView* right) {
                     return std::tuple(-started[left->rack], left->rack) <
                            std::tuple(-started[right->rack], right->rack);
                   });
  PoolCounts remaining = counts;
  std::vector<const InstanceView*> drains;
  for (const InstanceView* instance : candidates) {
    const PoolCount& pool = remaining.at(instance->pool);
    if (pool.ready <= pool.required || pool.IsAtMinimumIn(data_centre)) continue;
    ApplyDrain(view, *instance, &remaining);
    drains.push_back(instance);
  }
  AddReplacements(view, data_centre, &remaining, &drains);
  return drains;
}

bool LossesExhaustBudget(const PoolCounts& counts) {
  int spare = 0;
  for (const auto& [name, pool] : counts) {
    if (pool.spare) spare += pool.ready + pool.in_flight;
  }
  for (const auto& [name, pool] : counts) {
    if (pool.lost == 0 || !pool.serves) continue;
    if (pool.ready + pool.in_flight + spare <= pool.required) return true;
  }
  return false;
}

}  // namespace endivewood
