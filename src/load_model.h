/// @file
/// Event-driven model of one data centre under generated load, for measurements of the dispatcher.
#pragma once

#include "dispatch.h"

namespace endivewood {

/// Executors, slots and run times of one data centre of a deployment.
struct LoadModel {
  std::vector<int> executors;  ///< Of each service; a service has its own pool.
  int slots = 8;
  double short_run_ms = 80.0;      ///< Mean of the short run times (gamma, shape 4).
  double long_run_ms = 30000.0;    ///< Mean of the long run times (exponential).
  double utilisation = 0.3;        ///< Mean demand of short work, as a share of the slots.
  double peak_factor = 5.0;        ///< Demand in a peak, in means.
  double trough_factor = 0.05;     ///< Demand between peaks, in means.
  Milliseconds peak_length{4000};  ///< Peaks of the services follow one another.
  int cycles = 3;                  ///< Peaks of each service.
  Milliseconds ordinary_length{60000};
  Milliseconds short_deadline{1000};
  double checkpoint_min_ms = 20.0;
  double checkpoint_max_ms = 80.0;
  std::size_t long_backlog = 20;  ///< Long tasks that always wait, for each service.
};

/// The scheduling that is measured.
enum class Policy : std::uint8_t {
  kOurs,
  kFifo,          ///< One queue without classes.
  kSplit,         ///< Two entries, each with its own queue and half of the slots.
  kNoCheckpoint,  ///< Long work keeps its slot until it ends.
};

/// One run of the model.
struct LoadRun {
  Policy policy = Policy::kOurs;
  bool with_long = false;
  bool peaks = false;  ///< False: constant demand at the mean.
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

/// What a run showed.
struct LoadResult {
  std::vector<ShortWindow> windows;  ///< One for each peak, or one for each service.
  std::size_t long_submitted = 0;
  std::size_t long_completed = 0;
  std::size_t long_refused = 0;
  std::size_t checkpoints = 0;
  double long_work_ms = 0.0;  ///< Progress of long work in slot time.
  double idle_ms = 0.0;       ///< Slot time that short work left.
};

/// Runs the model. Short arrivals and run times depend on the seed only, not on the policy.
LoadResult RunLoad(const LoadModel& model, const LoadRun& run);

}  // namespace endivewood
