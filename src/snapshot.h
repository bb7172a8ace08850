/// @file
/// Snapshots of the fleet stream: when one is due, which entry appends it, and how a reader without
/// a state finds one to start from.
#pragma once

#include "endivewood_p.h"

namespace endivewood {

/// Finds the state to start from among the retained records. A snapshot record that matches no
/// candidate becomes a new candidate; one that matches a candidate adds to its support. The log
/// always retains two accepted snapshots, so a single wrong snapshot, which every reader with a
/// state rejects, never has the most support.
class SnapshotSearch {
 public:
  struct Candidate {
    FleetFold fold;
    AcceptedSnapshots snapshots;
    int support = 0;  ///< Number of snapshot records that match the candidate.
  };

  /// Processes the next retained record, in log order.
  void Feed(const LogRecord& record);

  /// @returns the candidate with the most support (the oldest if several have the same), or
  /// nullptr.
  const Candidate* Best() const;

 private:
  std::vector<Candidate> m_candidates;
};

/// @returns the first retained offset, from the text of a kOffsetExpired reason.
std::uint64_t ParseFirstRetained(const Reason& expired);

/// Reads the retained records of the fleet stream and finds the state to start from.
/// @param reason receives the reason of a failed read, or kOffsetExpired when no snapshot is
/// retained.
std::optional<SnapshotSearch::Candidate> FindFleetState(const LogClient& log,
                                                        std::uint64_t first_retained,
                                                        Reason* reason);

/// Inputs of the decision whether a snapshot is due.
struct SnapshotInputs {
  std::uint64_t next_offset = 0;
  std::uint64_t first_retained = 0;
  AcceptedSnapshots snapshots;
  Milliseconds unix_time{0};
};

/// @returns whether a snapshot has to be appended.
bool SnapshotDue(const SnapshotInputs& inputs);

/// Decides when this entry appends a snapshot. The live entries are ranked by rendezvous hashing.
/// The first appends at once and each further one waits longer, so that an entry that fails or is
/// cut off is replaced, and two rarely append. Two snapshots do no harm.
class SnapshotSchedule {
 public:
  /// @param live names of the live entries, including this one.
  /// @returns whether to append now.
  bool Decide(const SnapshotInputs& inputs, const std::string& self,
              const std::vector<std::string>& live, Milliseconds now);

 private:
  std::optional<Milliseconds> m_due_since;
  std::optional<Milliseconds> m_last_attempt;
};

}  // namespace endivewood
