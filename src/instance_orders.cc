/// @file
/// Tracking of orders across holders.
#include "instance_orders.h"

namespace endivewood {

void InstanceOrders::Record(const InstanceName& instance, Milliseconds now) {
  std::erase_if(m_orders, [&](const auto& entry) { return entry.second.at + m_gap <= now; });
  m_orders[instance] = {.at = now, .own = true};
}

void InstanceOrders::Merge(const std::vector<RecentOrder>& orders, Milliseconds now) {
  for (const RecentOrder& order : orders) {
    const Milliseconds at = now - order.age;
    const auto known = m_orders.find(order.instance);
    if (known != m_orders.end() && known->second.at >= at) continue;
    m_orders[order.instance] = {.at = at, .own = false};
  }
}

std::vector<RecentOrder> InstanceOrders::RecentAt(Milliseconds now) const {
  std::vector<RecentOrder> recent;
  for (const auto& [instance, order] : m_orders) {
    if (order.at + m_gap > now) recent.push_back({.instance = instance, .age = now - order.at});
  }
  return recent;
}

bool InstanceOrders::MayOrder(const InstanceName& instance, Milliseconds now) const {
  const auto order = m_orders.find(instance);
  return order == m_orders.end() || order->second.own || order->second.at + m_gap <= now;
}

}  // namespace endivewood
