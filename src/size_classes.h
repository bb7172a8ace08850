/// @file
/// Sizes of a queue's jobs, and how often jobs of each size are accepted.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

#include "jobs.h"

namespace endivewood {

/// Does no I/O. Large jobs bring less per core-second than small ones; without a count by size
/// they would get no room in an overload.
class SizeClasses {
 public:
  /// Records a new job's work in core-milliseconds. Repeats of a job aren't recorded.
  void RecordArrival(std::int64_t work, Milliseconds now);
  void RecordAccepted(std::int64_t work, Milliseconds now);

  /// @returns the work relative to the mean of the latest jobs; 1 while there are none.
  double RelativeSize(std::int64_t work) const;
  /// @returns the mean work of the latest jobs, core-milliseconds.
  double mean_work() const;
  /// @returns whether jobs of this size are large and were accepted more seldom than
  /// kMinClassShare of the share of all jobs.
  bool IsUnderserved(std::int64_t work) const;

 private:
  enum Class : std::uint8_t { kOther = 0, kLarge, kLargest };
  struct Counts {
    double arrived = 0;
    double accepted = 0;
  };

  Class ClassOf(std::int64_t work) const;
  void Decay(Milliseconds now);

  std::deque<std::int64_t> m_latest;
  std::vector<std::int64_t> m_sorted;  ///< The values of `m_latest`.
  double m_sum = 0;
  std::array<Counts, 3> m_counts;
  Milliseconds m_decayed_at{0};
};

}  // namespace endivewood
