/// @file
/// Instance counts of each pool, and the choice of pools and instances based on them.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood {

/// Instance counts of one pool.
struct PoolCount {
  bool spare = false;
  bool serves = false;  ///< At least one service runs in the pool.
  int ready = 0;
  int lost = 0;
  int in_flight = 0;  ///< Draining or rebooting.
  int required = 0;   ///< Budget: ready instances that planned changes must leave.
  int target = 0;     ///< At least the budget; the spare pool gets the remaining instances.
  int awaiting = 0;   ///< Ready instances that await maintenance.
  std::map<DataCentreName, int> ready_in;
  std::map<DataCentreName, int> awaiting_in;

  int ReadyIn(const DataCentreName& data_centre) const;
  int AwaitingIn(const DataCentreName& data_centre) const;
  /// Each data centre keeps at least one ready instance of every serving pool, because entries use
  /// only the instances of their own data centre.
  bool IsAtMinimumIn(const DataCentreName& data_centre) const;
  /// The wave can't drain any of the instances that await maintenance in a data centre.
  bool IsWaveBlockedIn(const DataCentreName& data_centre) const;
  int Surplus() const { return ready > target ? ready - target : 0; }
  int Deficit() const { return target > ready ? target - ready : 0; }
  /// Ready instances with which all that await maintenance could be drained at once.
  int WaveLimit() const { return required + awaiting; }
};

using PoolCounts = std::map<PoolName, PoolCount>;

/// Counts the instances of a view.
PoolCounts CountPools(const FleetView& view);

/// @returns the pool to which a returning instance is assigned.
PoolName ChoosePool(const PoolCounts& counts, const InstanceView& instance);

/// @returns ready instances to move for the active preset, in order and balanced over the data
/// centres. At most the sum of the pools' deficits less the draining and rebooting instances.
std::vector<const InstanceView*> ChooseMoves(const FleetView& view, const PoolCounts& counts);

/// @returns ready instances of a data centre that the running wave can drain now, grouped by rack.
/// Replacements for blocked pools follow: instances of the spare pool, or of the pool that has the
/// most ready instances above its budget.
std::vector<const InstanceView*> ChooseWaveDrains(const FleetView& view, const PoolCounts& counts,
                                                  const DataCentreName& data_centre);

/// @returns whether unplanned losses have used up the budget of a pool.
bool LossesExhaustBudget(const PoolCounts& counts);

}  // namespace endivewood
