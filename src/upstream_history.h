/// @file
/// What an upstream has shown lately: failed runs, slow runs and interruptions. Does no I/O.
#pragma once

#include <vector>

#include "jobs.h"

namespace endivewood {

/// Rank of an upstream beside the others of its service. No upstream is excluded by it.
enum class Standing : std::uint8_t { kGood = 0, kDoubtful, kBad };

/// What is usual among the upstreams of a service.
struct PoolNorm {
  double failed_share = 0;
  double slowness = 0;

  bool operator==(const PoolNorm&) const = default;
};

/// Counts the runs of one upstream; earlier ones count less and less.
class UpstreamHistory {
 public:
  /// Records the end of a run that says something about the upstream: a run that was done, or the
  /// first failure of a task.
  void NoteEnd(bool failed, Milliseconds now);
  /// Records how long a run took.
  /// @param expected learned duration, above 0.
  void NoteDuration(Milliseconds duration, Milliseconds expected, Milliseconds now);
  /// Records that the upstream answers again after several orders without an answer.
  void NoteReturn(Milliseconds now);

  /// @returns the share of failed runs; near 0 while few runs are known.
  double FailedShare(Milliseconds now) const;
  /// @returns the mean logarithm of duration / expected duration; near 0 while few runs are known.
  double Slowness(Milliseconds now) const;
  /// @returns whether nothing speaks against the upstream.
  bool IsClean(Milliseconds now) const;

  Standing StandingAt(const PoolNorm& norm, Milliseconds now) const;

 private:
  /// A sum whose terms decay.
  class DecayedSum {
   public:
    void Add(double term, Milliseconds now);
    double At(Milliseconds now) const;

   private:
    double m_sum = 0;
    Milliseconds m_at{0};
  };

  DecayedSum m_ends;
  DecayedSum m_failures;
  DecayedSum m_durations;
  DecayedSum m_log_ratios;
  Milliseconds m_doubtful_until{0};  ///< After a return.
};

/// @returns the medians of what the upstreams have shown.
PoolNorm NormOf(const std::vector<const UpstreamHistory*>& upstreams, Milliseconds now);

}  // namespace endivewood
