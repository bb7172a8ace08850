/// @file
/// Forecasts start and height of a service's next peak, for queues that peak in turn. Moving an
/// instance to another pool takes two seconds, so a pool that only follows its demand serves the
/// first seconds of each peak late.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "job_scheduler.h"

namespace endivewood {

struct DemandForecastOptions {
  /// A peak begins when the offered load reaches this share of the pool's configured capacity.
  double onset_ratio = 0.3;
  /// Expected height of a service's first peak, as a multiple of the configured capacity.
  double first_peak_ratio = 1.6;
  /// Limit of the expected height, as a multiple of the configured capacity. Without it, the burst
  /// of callers after an outage would set the expectation.
  double max_peak_ratio = 2.5;
  /// A peak ends after this time below the onset load.
  Milliseconds quiet_period{1200};
  /// A peak is expected from `lead_time` before its forecast onset until `grace_period` after it.
  Milliseconds lead_time{2500};
  Milliseconds grace_period{2000};
};

/// Learns the order and spacing of the services' peaks. Does no I/O: demand and time are passed in,
/// forecasts are returned.
class DemandForecast {
 public:
  explicit DemandForecast(DemandForecastOptions options) : m_options(options) {}

  /// @param millicores capacity for which the operators configured the service's pool.
  void SetConfiguredCapacity(const ServiceName& service, std::int64_t millicores);

  void Observe(const ServiceName& service, std::int64_t offered_millicores, Milliseconds now);

  /// @returns expected demand of a current or imminent peak in millicores, or 0.
  std::int64_t ExpectedAt(const ServiceName& service, Milliseconds now) const;

  /// @param unix_offset Unix time minus the clock of the observations.
  /// @returns the learned state for Restore, or no value if it is unchanged since the last call.
  std::optional<std::string> TakeChanges(Milliseconds unix_offset);
  /// Restores state that another forecast has learned.
  void Restore(const std::string& learned, Milliseconds unix_offset);

  /// @returns the forecast onset of a service's next peak, or no value if it is unknown.
  std::optional<Milliseconds> NextOnsetOf(const ServiceName& service) const;

 private:
  struct Onset {
    ServiceName service;
    Milliseconds at{0};
  };
  struct ServicePeak {
    std::int64_t configured_millicores = 0;
    bool in_peak = false;
    Milliseconds last_above{0};
    std::int64_t highest = 0;    ///< In the current peak.
    std::int64_t last_peak = 0;  ///< Height of the last peak; 0 before the first.
  };

  void BeginPeak(const ServiceName& service, ServicePeak* peak, std::int64_t offered,
                 Milliseconds now);
  std::int64_t ExpectedPeak(const ServicePeak& peak) const;

  DemandForecastOptions m_options;
  std::map<ServiceName, ServicePeak> m_peaks;
  std::vector<Onset> m_onsets;  ///< Oldest first.
  bool m_changed = false;
};

}  // namespace endivewood
