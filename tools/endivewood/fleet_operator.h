/// @file
/// Reads the fleet stream and appends an operator's records.
#pragma once

#include "endivewood_p.h"

namespace endivewood {

/// Exit statuses of the command line; docs/operators/README.md lists them.
enum class ExitStatus : int {
  kOk = 0,
  kInvalid = 2,      ///< Invalid arguments or an invalid file.
  kRejected = 3,     ///< The fold rejected the record; nothing changed.
  kUnreachable = 4,  ///< The platform or the process did not reply; nothing was appended.
  kUncertain = 5,    ///< Whether the record was appended is not known.
  kNotActive = 6,    ///< Accepted, but not active in every data centre within the time limit.
};

/// A record of the fleet stream with the fold's decision.
struct DecidedRecord {
  std::uint64_t offset = 0;
  std::int64_t time_ms = 0;
  std::optional<FleetRecord> record;  ///< No value when the payload is not a fleet record.
  Verdict verdict;
};

/// Outcome of a proposed change.
struct Proposal {
  ExitStatus status = ExitStatus::kOk;
  std::uint64_t offset = 0;  ///< Valid when accepted or rejected.
  ResultCode code = ResultCode::kOk;
  std::string detail;
  bool resolved_by_reading = false;  ///< The response to the append was lost.
};

/// Reads the fleet stream and proposes changes on behalf of one command.
class FleetOperator {
 public:
  using RecordHandler = std::function<void(const DecidedRecord&)>;

  explicit FleetOperator(const Endpoint& platform);

  /// Reads to the current end of the stream, from a snapshot when older records have expired.
  /// @param wait how long to wait for a first record.
  bool CatchUp(Milliseconds wait, const RecordHandler& on_record, Reason* reason);

  /// Appends a change and reads the fold's decision about it.
  /// @param expected the version that the operator bases the change on; by default the current one.
  Proposal Propose(const FleetChange& change, std::optional<std::uint64_t> expected);

  std::shared_ptr<const FleetView> View() const { return m_fold.View(); }

 private:
  bool StartFromSnapshot(std::uint64_t first_retained, Reason* reason);
  bool AwaitDecision(const RecordId& id, Proposal* proposal, Reason* reason);
  void SetOutcome(const DecidedRecord& decided, Proposal* proposal);
  std::uint64_t CurrentVersion(const FleetChange& change) const;

  Incarnation m_author;
  LogClient m_client;
  FleetFold m_fold;
  std::uint64_t m_next = 0;
  /// Last accepted record of each entity. A version conflict reports it as the conflicting change.
  std::map<std::size_t, DecidedRecord> m_last_accepted;
};

/// @returns the kind of a change and its subject, such as "preset-switched peak".
std::string DescribeChange(const FleetChange& change);

}  // namespace endivewood
