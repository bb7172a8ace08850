/// @file
/// Sizes pools by demand. Made for queues that peak in turn: for some seconds a queue needs more
/// than its pool has, and almost nothing in between.
#pragma once

#include <map>
#include <optional>

#include "job_scheduler.h"

namespace endivewood {

struct PoolSizingOptions {
  /// Target capacity of a pool as a multiple of its current demand.
  double headroom = 1.25;
  /// Target capacity of a pool as a multiple of an expected peak.
  double peak_headroom = 1.1;
  /// A pool shrinks only to its highest need within this time.
  Milliseconds need_window{4000};
  /// Minimum number of instances of a pool.
  int min_instances = 2;
  /// Instances beyond its need that a pool may keep.
  int allowed_surplus = 1;
};

/// Present and needed instances of a pool.
struct PoolNeed {
  ServiceName service;
  int instances = 0;
  int need = 0;  ///< Highest recent need; any surplus goes to the spare pool.
  /// Need by the last report; pools that lack instances may take any surplus.
  int current_need = 0;
  /// Part of `current_need` without which lasting tasks have no room.
  int lasting_need = 0;
};

/// Move of one instance to another pool.
struct PoolMove {
  ServiceName from;
  ServiceName to;

  bool operator==(const PoolMove&) const = default;
};

/// Does no I/O: demand and time are passed in, moves are returned.
class PoolSizing {
 public:
  explicit PoolSizing(PoolSizingOptions options) : m_options(options) {}

  /// @param expected_millicores demand of a current or imminent peak, or 0.
  void Observe(const ServiceName& service, const ServiceDemand& demand,
               std::int64_t expected_millicores, int instance_millicores, Milliseconds now);

  /// @param instances instances of each pool, including those being moved to it.
  /// @param spare the pool of switched-off instances; an invalid name means there is none.
  /// @returns moves that bring the pools closer to their need, most urgent first: room for lasting
  /// tasks comes before capacity for peaks.
  std::vector<PoolMove> Decide(const std::map<ServiceName, int>& instances,
                               const ServiceName& spare, Milliseconds now) const;

  /// @returns the highest recent need of a service in instances, or no value without a recent
  /// report.
  std::optional<int> NeedOf(const ServiceName& service, Milliseconds now) const;

  /// @returns the need by the last report, or no value without any report.
  std::optional<int> CurrentNeedOf(const ServiceName& service) const;

 private:
  int CurrentLastingNeedOf(const ServiceName& service) const;
  /// @returns whether there have been reports for the whole `need_window`.
  bool CoversWindow(const ServiceName& service, Milliseconds now) const;

  struct Sample {
    Milliseconds at{0};
    int need = 0;
    int lasting_need = 0;
  };

  PoolSizingOptions m_options;
  std::map<ServiceName, std::vector<Sample>> m_samples;  ///< Within `need_window`.
  std::map<ServiceName, Milliseconds> m_first_report;
};

}  // namespace endivewood
