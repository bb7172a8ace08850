/// @file
/// Learns how long tasks take, by queue, from the runs that have ended.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "jobs.h"

namespace endivewood {

/// What the ended runs of a queue show.
struct DurationSummary {
  double factor = 1;  ///< Typical duration divided by the estimate, at the mean estimate.
  double slope = 1;   ///< Of log(duration) on log(estimate).
  double spread = 0;  ///< Robust standard deviation of log(duration) around the typical duration.
  std::size_t runs = 0;

  bool operator==(const DurationSummary&) const = default;
};

/// Robust regression of log(duration) on log(estimate) over the latest runs of each queue. With few
/// runs the result is close to the estimate.
class RunDurations {
 public:
  /// Records a run that ended as done.
  /// @returns whether the queue's summary was updated.
  bool Learn(const QueueName& queue, Milliseconds estimate, Milliseconds duration);

  /// @returns the typical duration of a task with this estimate.
  Milliseconds Expected(const QueueName& queue, Milliseconds estimate) const;

  /// @returns the duration that a share of the tasks with this estimate doesn't exceed.
  /// @param share above 0 and below 1.
  Milliseconds Quantile(const QueueName& queue, Milliseconds estimate, double share) const;

  /// @returns the number of runs that the queue's last update has seen.
  std::size_t RunsOf(const QueueName& queue) const;

  /// @returns the queue's summary, with a factor of 1 if it has no runs.
  DurationSummary SummaryOf(const QueueName& queue) const;

  /// @returns the summaries of all queues with ended runs.
  std::map<QueueName, DurationSummary> Summaries() const;

 private:
  struct Run {
    double log_estimate = 0;
    double log_ratio = 0;  ///< Of duration and estimate.
  };
  struct Model {
    std::deque<Run> runs;
    int since_update = 0;
    std::size_t fitted_runs = 0;
    double mean_log_estimate = 0;
    double min_log_estimate = 0;
    double max_log_estimate = 0;
    double level = 0;  ///< Typical log ratio at the mean estimate.
    double tilt = 0;   ///< Its change with the logarithm of the estimate.
    double spread = 0;
    std::vector<double> residuals;  ///< Of `runs`, sorted.

    double LogRatioAt(double log_estimate) const;
  };

  static void Update(Model* model);
  const Model* Find(const QueueName& queue) const;

  std::map<QueueName, Model> m_models;
};

}  // namespace endivewood
