/// @file
/// Offered load of a service: the arrival rate of work, whether accepted or refused. It shows a
/// peak a second earlier than running and waiting work, while the service still has few instances.
#pragma once

#include <deque>
#include <map>

#include "jobs.h"

namespace endivewood {

/// Does no I/O: submissions and time are passed in, a rate is returned.
class OfferedLoad {
 public:
  /// Records a submitted job. Repeated submissions within kArrivalRetentionMs count once.
  /// @param work core-milliseconds of the job.
  void RecordArrival(const JobId& job, std::int64_t work, Milliseconds now);

  /// @returns millicores needed for the current arrival rate; 0 below kArrivalRateMinJobs per
  /// window.
  std::int64_t MillicoresAt(Milliseconds now) const;

 private:
  struct Arrival {
    Milliseconds at{0};
    JobId job;
    std::int64_t work = 0;
  };

  std::deque<Arrival> m_arrivals;
  std::map<JobId, Milliseconds> m_known_jobs;
};

}  // namespace endivewood
