/// @file
/// Counts of a fleet view by pool that the planner's decisions share.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood {

/// One pool of a view.
struct PoolCount {
  bool spare = false;
  bool serves = false;  ///< At least one service runs in the pool.
  int ready = 0;
  int lost = 0;
  int in_flight = 0;  ///< Draining or rebooting.
  int required = 0;   ///< Its budget.
  int target = 0;     ///< At least the budget; the spare pool's target is the rest.
  int awaiting = 0;   ///< Ready instances that await maintenance.
  std::map<DataCentreName, int> ready_in;
  std::map<DataCentreName, int> awaiting_in;

  int ReadyIn(const DataCentreName& data_centre) const;
  int AwaitingIn(const DataCentreName& data_centre) const;
  /// A data centre keeps one instance of each serving pool, because its entries use no other's.
  bool HasOnlyLast(const DataCentreName& data_centre) const;
  /// The wave can't take any of the instances that await maintenance in a data centre.
  bool IsBlockedIn(const DataCentreName& data_centre) const;
  int Surplus() const { return ready > target ? ready - target : 0; }
  int Deficit() const { return target > ready ? target - ready : 0; }
  /// Instances with which the pool can give all that await maintenance away at once.
  int WaveLimit() const { return required + awaiting; }
};

using Census = std::map<PoolName, PoolCount>;

/// Counts the instances of a view.
Census TakeCensus(const FleetView& view);

/// @returns the pool that needs an instance of this data centre most, or an invalid name.
PoolName NeediestPool(const Census& census, const InstanceView& instance);

/// @returns ready instances whose move the preset in force needs, in order, balanced over the data
/// centres. At most as many as the pools' deficits that returning instances don't cover.
std::vector<const InstanceView*> ChooseMoves(const FleetView& view, const Census& census);

/// @returns ready instances of a data centre that the running wave can drain now, by rack, and
/// those that it has to take from the spare pool, or else from the pool with the largest reserve,
/// because a pool can't give any away without a replacement.
std::vector<const InstanceView*> ChooseWaveDrains(const FleetView& view, const Census& census,
                                                  const DataCentreName& data_centre);

/// @returns whether unplanned losses have used up the budget of a pool.
bool LossesExhaustBudget(const Census& census);

}  // namespace endivewood
