/// @file
/// Discrete-event simulation of one data centre under generated load, to measure the dispatcher.
#pragma once

#include "dispatch.h"

namespace endivewood {

/// Capacity and load of the simulated data centre.
struct LoadModel {
  std::vector<int> upstreams;           ///< Number for each service; each service has its own pool.
  int slots = 8;                        ///< For each upstream.
  double short_run_ms = 80.0;           ///< Mean of the short run times (gamma, shape 4).
  double long_run_ms = 30000.0;         ///< Mean of the long run times (exponential).
  double utilisation = 0.3;             ///< Mean share of the slots that short work uses.
  double peak_factor = 5.0;             ///< Demand in a peak over the mean demand.
  double trough_factor = 0.05;          ///< Demand between peaks over the mean.
  Milliseconds peak_length{4000};       ///< The services peak one after another.
  int cycles = 3;                       ///< Peaks of each service.
  Milliseconds ordinary_length{60000};  ///< Of a run without peaks.
  Milliseconds short_deadline{1000};
  double checkpoint_min_ms = 20.0;
  double checkpoint_max_ms = 80.0;
  std::size_t long_backlog = 20;  ///< Long jobs of each service in progress or queued.
};

/// Scheduling policy of a run.
enum class Policy : std::uint8_t {
  kDefault,       ///< The dispatcher with its default options.
  kFifo,          ///< One queue for both work classes.
  kSplit,         ///< Two entries, each with its own queue and half of the slots.
  kNoCheckpoint,  ///< Long work keeps its slot until it ends.
};

/// Options of one simulation run.
struct LoadRun {
  Policy policy = Policy::kDefault;
  bool with_long = false;  ///< Adds a backlog of long work.
  bool peaks = false;      ///< Otherwise the demand is constant at the mean.
  std::uint64_t seed = 1;
};

/// Waits and refusals of the short requests of one window.
struct ShortWindow {
  std::vector<double> waits_ms;
  std::size_t refused = 0;

  double P99() const { return Percentile(0.99); }
  /// @param share in [0, 1).
  /// @returns the percentile of the waits, or 0 without waits.
  double Percentile(double share) const;
  std::size_t requests() const { return waits_ms.size() + refused; }
};

/// Result of a run.
struct LoadResult {
  std::vector<ShortWindow> windows;  ///< One for each peak, or one for each service.
  std::size_t long_submitted = 0;
  std::size_t long_completed = 0;
  std::size_t long_refused = 0;
  std::size_t checkpoints = 0;
  double long_work_ms = 0.0;  ///< Slot time in which long work made progress.
  double idle_ms = 0.0;       ///< Slot time that short work didn't use.
};

/// Runs the simulation. Arrivals and run times of short work depend only on the seed and the
/// demand, so that policies can be compared.
LoadResult RunLoad(const LoadModel& model, const LoadRun& run);

}  // namespace endivewood
