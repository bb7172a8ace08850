/// @file
/// Running estimates from which dispatch derives classes, waits and the slots it keeps free.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood {

/// Exponential average over a number of observations. Not thread-safe.
class Average {
 public:
  /// @param window observations over which it averages.
  Average(double initial, double window) : m_value(initial), m_weight(1.0 / window) {}

  void Observe(double sample) { m_value += (sample - m_value) * m_weight; }
  double value() const { return m_value; }

 private:
  double m_value;
  double m_weight;
};

/// Arrival rate over an exponential time window. Not thread-safe.
class ArrivalRate {
 public:
  void OnArrival(Milliseconds now);
  /// @returns arrivals per millisecond.
  double PerMillisecond(Milliseconds now) const;

 private:
  double m_rate = 0.0;
  Milliseconds m_updated{0};
};

/// The short work of a pool at one moment.
struct ShortDemand {
  double arrivals_per_ms = 0.0;
  double run_ms = 0.0;  ///< Mean run time; 0 when it is not known.
  double in_use = 0.0;  ///< Slots occupied now.
};

/// Slots that short work will need in addition after a time, as a high quantile. The work that is
/// running ends at the rate 1 / run_ms, and new work arrives as a Poisson process.
/// @param deviations standard deviations between the mean and the quantile.
double GrowthOfDemand(const ShortDemand& demand, double after_ms, double deviations);

/// Class of a service's requests: the declared one at first, then that of most observed runs. A
/// majority is used because the mean would follow a few very long runs.
class ClassEstimate {
 public:
  explicit ClassEstimate(WorkClass declared);

  void Observe(WorkClass observed);
  WorkClass value() const { return m_class; }

 private:
  WorkClass m_class;
  Average m_long_share;
};

}  // namespace endivewood
