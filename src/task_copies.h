/// @file
/// Decides which slow tasks get a second run on another upstream. Does no I/O.
#pragma once

#include <cstddef>
#include <vector>

#include "jobs.h"

namespace endivewood {

/// A running task whose step permits copies and that has none.
struct CopyCandidate {
  TaskKey task;
  int priority = 0;          ///< Of its queue; 0 is the highest.
  Milliseconds elapsed{0};   ///< Since its run started.
  int percent = 0;           ///< Progress of the run; 0: not known.
  Milliseconds expected{0};  ///< Typical duration of such a task.
  Milliseconds high{0};      ///< Duration that nearly all such tasks don't exceed.
  /// Time until the result of its job is of no more use, less the remaining critical path.
  Milliseconds slack{0};

  bool operator==(const CopyCandidate&) const = default;
};

/// @returns the expected remaining time of a run, by its progress if that is known.
Milliseconds ExpectedLeft(Milliseconds elapsed, Milliseconds expected, int percent);

/// Chooses the tasks to copy: those that have exceeded the duration of nearly all such tasks, and
/// whose copy is expected to end sooner and in time. Highest priority first, then by the time that
/// a copy is expected to save.
/// @param running number of running tasks, of all kinds, that compete for the room.
/// @param copies number of copies among them.
std::vector<TaskKey> ChooseCopies(const std::vector<CopyCandidate>& candidates, std::size_t running,
                                  std::size_t copies);

}  // namespace endivewood
