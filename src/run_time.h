/// @file
/// Moving estimates for dispatch: run times, arrival rates, demand growth and work classes.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood {

/// Exponential moving average. Not thread-safe.
class MovingAverage {
 public:
  /// @param window number of observations in the averaging window.
  MovingAverage(double initial, double window) : m_value(initial), m_weight(1.0 / window) {}

  void Observe(double sample) { m_value += (sample - m_value) * m_weight; }
  double value() const { return m_value; }

 private:
  double m_value;
  double m_weight;
};

/// Arrival rate with exponential decay over kArrivalWindowMs. Not thread-safe.
class ArrivalRate {
 public:
  void OnArrival(Milliseconds now);
  /// @returns arrivals per millisecond.
  double PerMillisecond(Milliseconds now) const;

 private:
  double m_rate = 0.0;
  Milliseconds m_updated{0};
};

/// Current short work of a pool.
struct ShortDemand {
  double arrivals_per_ms = 0.0;
  double run_ms = 0.0;  ///< Mean run time; 0 if unknown.
  double in_use = 0.0;  ///< Occupied slots.
};

/// Estimates a high quantile of the additional slots that short work will need. The model assumes
/// that running work ends at the rate 1 / run_ms and that new work arrives as a Poisson process.
/// @param after_ms time from now.
/// @param deviations standard deviations between mean and quantile.
double DemandGrowth(const ShortDemand& demand, double after_ms, double deviations);

/// Work class of a service's requests: first the declared class, then the class of the majority of
/// observed runs. A mean run time would be dominated by a few very long runs.
class ClassEstimate {
 public:
  explicit ClassEstimate(WorkClass declared);

  void Observe(WorkClass observed);
  WorkClass value() const { return m_class; }

 private:
  WorkClass m_class;
  MovingAverage m_long_share;
};

}  // namespace endivewood
