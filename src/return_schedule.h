/// @file
/// When refused callers return.
#pragma once

#include <map>
#include <optional>

#include "jobs.h"

namespace endivewood {

/// Spreads the returns of refused callers, in the order in which they were refused, and remembers
/// the first arrival of refused jobs, by which they come before newcomers. Does no I/O.
class ReturnSchedule {
 public:
  /// @returns when a job that was refused within kSubmittedMemoryMs first arrived.
  std::optional<Milliseconds> FirstArrival(const JobId& job, Milliseconds now) const;

  /// @param room_in time until there is room for the job.
  /// @param room_taken time that the service's capacity needs for the job: the gap to the next
  /// return.
  /// @returns after which time the caller should return.
  Milliseconds Refuse(const JobId& job, Milliseconds room_in, Milliseconds room_taken,
                      Milliseconds now);

 private:
  struct Refused {
    Milliseconds arrived{0};
    Milliseconds at{0};
  };

  std::map<JobId, Refused> m_refused;
  Milliseconds m_forget_at{0};
  Milliseconds m_next_return{0};
};

}  // namespace endivewood
