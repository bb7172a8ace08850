/// @file
/// Running estimates from which dispatch derives classes, waits and the slots it keeps free.
#include "run_time.h"

#include <cmath>

#include "config.h"

namespace endivewood {
namespace {

// The gap between the two shares keeps a mixed service from changing class with every run.
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

ClassEstimate::ClassEstimate(WorkClass declared)
    : m_class(declared),
      m_long_share(declared == WorkClass::kLong ? 1.0 : 0.0, config::kRunTimeWindow) {}

void ClassEstimate::Observe(WorkClass observed) {
  m_long_share.Observe(observed == WorkClass::kLong ? 1.0 : 0.0);
  if (m_long_share.value() > kBecomesLongShare) m_class = WorkClass::kLong;
  if (m_long_share.value() < kBecomesShortShare) m_class = WorkClass::kShort;
}

}  // namespace endivewood
