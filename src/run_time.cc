/// @file
/// Moving estimates for dispatch: run times, arrival rates, demand growth and work classes.
#include "run_time.h"

#include <cmath>

#include "config.h"

namespace endivewood {
namespace {

// Hysteresis: a mixed service must not change its class with every run.
constexpr double kBecomesLongShare = 0.6;
constexpr double kBecomesShortShare = 0.4;

}  // namespace

void ArrivalRate::OnArrival(Milliseconds now) {
  m_rate = PerMillisecond(now) + 1.0 / config::kArrivalWindowMs;
  m_updated = now;
}

double ArrivalRate::PerMillisecond(Milliseconds now) const {
  const auto elapsed = static_cast<double>((now - m_updated).count());
  return m_rate * std::exp(-elapsed / config::kArrivalWindowMs);
}

double DemandGrowth(const ShortDemand& demand, double after_ms, double deviations) {
  if (demand.run_ms <= 0.0) {
    const double arrivals = demand.arrivals_per_ms * after_ms;
    return arrivals + deviations * std::sqrt(arrivals);
  }
  const double remaining_share = std::exp(-after_ms / demand.run_ms);
  const double arrived = demand.arrivals_per_ms * demand.run_ms * (1.0 - remaining_share);
  const double remaining = demand.in_use * remaining_share;
  const double variance = arrived + remaining * (1.0 - remaining_share);
  return arrived + remaining + deviations * std::sqrt(variance) - demand.in_use;
}

ClassEstimate::ClassEstimate(WorkClass declared)
    : m_class(declared),
      m_long_share(declared == WorkClass::kLong ? 1.0 : 0.0, config::kRunTimeWindow) {}

void ClassEstimate::Observe(WorkClass observed) {
  m_long_share.Observe(observed == WorkClass::kLong ? 1.0 : 0.0);
  if (m_long_share.value() > kBecomesLongShare) m_class = WorkClass::kLong;
  if (m_long_share.value() < kBecomesShortShare) m_class = WorkClass::kShort;
}

}  // namespace endivewood
