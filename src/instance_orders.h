/// @file
/// Recent orders to move or maintain instances. Two holders must not order one instance within the
/// minimum gap that the platform requires. A new holder waits only for instances that an earlier
/// holder has ordered recently.
#pragma once

#include <map>
#include <vector>

#include "node_calls.h"

namespace endivewood {

/// Does no I/O; the time is passed in.
class InstanceOrders {
 public:
  /// @param gap minimum time between two holders' orders for one instance.
  explicit InstanceOrders(Milliseconds gap) : m_gap(gap) {}

  /// Records an order given by this process.
  void Record(const InstanceName& instance, Milliseconds now);
  /// Adds the orders reported by an earlier holder: its own and those reported to it.
  void Merge(const std::vector<RecentOrder>& orders, Milliseconds now);

  /// @returns the orders to report to the next holder.
  std::vector<RecentOrder> RecentAt(Milliseconds now) const;
  /// @returns whether no other holder has ordered the instance within the gap.
  bool MayOrder(const InstanceName& instance, Milliseconds now) const;

 private:
  struct Order {
    Milliseconds at{0};
    bool own = false;
  };

  Milliseconds m_gap;
  std::map<InstanceName, Order> m_orders;
};

}  // namespace endivewood
