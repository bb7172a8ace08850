/// @file
/// When a snapshot of the fleet stream is due, who appends it, and how a reader that has no state
/// finds the one to begin with.
#pragma once

#include "endivewood_p.h"

namespace endivewood {

/// Finds the state to begin with among the retained records. A snapshot record that differs from
/// the fold of an earlier one starts a candidate of its own; later snapshots support the candidate
/// that they equal. Two accepted snapshots are kept retained, so a single wrong one, which every
/// reader with a state rejects, never has the most support.
class SnapshotSearch {
 public:
  struct Candidate {
    FleetFold fold;
    SnapshotMarks marks;
    int support = 0;
  };

  /// Takes the retained records in log order.
  void Feed(const LogRecord& record);

  /// @returns the candidate with the most support, the oldest of equals, or nullptr.
  const Candidate* Best() const;

 private:
  std::vector<Candidate> m_candidates;
};

/// @returns the first retained offset in the text of a kOffsetExpired reason.
std::uint64_t FirstRetainedOf(const Reason& expired);

/// Reads the retained records of the fleet stream and finds the state to begin with.
/// @param reason receives that of a failed read, or kOffsetExpired when no snapshot is retained.
std::optional<SnapshotSearch::Candidate> FindFleetState(const LogClient& log,
                                                        std::uint64_t first_retained,
                                                        Reason* reason);

/// What an entry knows when it decides about a snapshot.
struct SnapshotInputs {
  std::uint64_t next_offset = 0;
  std::uint64_t first_retained = 0;
  SnapshotMarks marks;
  Milliseconds unix_time{0};
};

/// @returns whether a snapshot has to be appended.
bool SnapshotDue(const SnapshotInputs& inputs);

/// Decides when this entry appends a snapshot. The live entries are ranked by rendezvous hashing;
/// the first appends at once, each further one waits longer, so that an author that fails or is cut
/// off is replaced and two authors are rare. Two snapshots do no harm.
class SnapshotSchedule {
 public:
  /// @param live names of the live entries, this one included.
  /// @returns whether to append now.
  bool Decide(const SnapshotInputs& inputs, const std::string& self,
              const std::vector<std::string>& live, Milliseconds now);

 private:
  std::optional<Milliseconds> m_due_since;
  std::optional<Milliseconds> m_last_attempt;
};

}  // namespace endivewood
