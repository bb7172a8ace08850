/// @file
/// The fold of the stream `work`: accepted long work, its owners and its results.
///
/// Each item is owned by one incarnation. The owner records an attempt before it sends the work, so
/// an item without an open attempt has certainly not been sent. A fence releases all items of the
/// fenced incarnation; the first later `WorkTakenOver` makes its author the new owner. The new
/// owner adopts the open attempt on the upstream or resumes from the last checkpoint. It runs the
/// work again only if the work is idempotent or was certainly not run.
#pragma once

#include <endivewood/endivewood.h>

#include <set>

#include "claims.h"

namespace endivewood {

/// 32 hexadecimal digits with which a caller fetches the result.
using WorkHandle = Name<struct WorkHandleTag>;
/// The Request-Id of one attempt, which is also the upstream's task id.
using TaskId = Name<struct TaskIdTag>;

/// Long work that was accepted; the author is its first owner.
struct WorkAccepted {
  WorkHandle handle;
  ServiceName service;
  Digest caller;
  Digest digest;  ///< Of service name and body.
  IdempotencyKey key;
  std::string body;

  bool operator==(const WorkAccepted&) const = default;
};

/// The author takes over an item that has no owner.
struct WorkTakenOver {
  WorkHandle handle;

  bool operator==(const WorkTakenOver&) const = default;
};

/// Start of an attempt; recorded before the work is sent.
struct AttemptStarted {
  WorkHandle handle;
  TaskId task;
  InstanceName upstream;
  Endpoint endpoint;

  bool operator==(const AttemptStarted&) const = default;
};

/// Outcome of an attempt that didn't finish the work.
enum class AttemptEnd : std::uint8_t { kNotRun = 0, kFailed, kCheckpointed };

struct AttemptEnded {
  WorkHandle handle;
  TaskId task;
  AttemptEnd end = AttemptEnd::kNotRun;
  std::int64_t progress_ms = 0;  ///< Run time completed at the checkpoint.

  bool operator==(const AttemptEnded&) const = default;
};

struct WorkFinished {
  WorkHandle handle;
  ResultCode code = ResultCode::kOk;
  std::string body;

  bool operator==(const WorkFinished&) const = default;
};

struct CancelRequested {
  WorkHandle handle;

  bool operator==(const CancelRequested&) const = default;
};

/// State of an item in the fold.
struct WorkItem {
  WorkAccepted accepted;
  Incarnation owner;       ///< Invalid after the owner was fenced.
  AttemptStarted attempt;  ///< The open attempt; an invalid task means none.
  std::int64_t progress_ms = 0;
  std::vector<InstanceName> failed_on;  ///< Instances of failed attempts, without duplicates.
  bool cancel_requested = false;
  bool finished = false;
  ResultCode code = ResultCode::kPending;
  std::string result;
  Milliseconds recorded{0};  ///< Log time of its last acceptance, renewal or result.

  bool operator==(const WorkItem&) const = default;
};

/// Records the whole state of an item again, so that its older records may expire.
struct ItemRenewed {
  WorkItem item;

  bool operator==(const ItemRenewed&) const = default;
};

using WorkEvent =
    std::variant<WorkAccepted, WorkTakenOver, AttemptStarted, AttemptEnded, WorkFinished,
                 CancelRequested, IncarnationFenced, ItemRenewed, std::monostate>;

/// One record of the stream; `std::monostate` is a heartbeat of its author.
struct WorkRecord {
  Incarnation author;
  WorkEvent event;

  bool operator==(const WorkRecord&) const = default;
};

std::string EncodeWorkRecord(const WorkRecord& record);
std::optional<WorkRecord> DecodeWorkRecord(const std::string& payload);

/// Folds the stream `work`. Deterministic. Not thread-safe.
class WorkFold {
 public:
  /// Applies one record.
  /// @returns whether the record was valid. Its author must not act on an invalid record.
  bool Apply(std::int64_t time_ms, const std::string& payload);

  const WorkItem* Find(const WorkHandle& handle) const;
  /// @returns the item that was first accepted with a key, or nullptr.
  const WorkItem* FindKey(const IdempotencyKey& key) const;
  const std::map<WorkHandle, WorkItem>& items() const { return m_items; }

  bool IsFenced(const Incarnation& incarnation) const { return m_fences.contains(incarnation); }
  Milliseconds LogTime() const { return m_log_time; }
  Milliseconds LastHeartbeat(const Incarnation& incarnation) const;
  std::size_t OpenCount() const { return m_open; }

 private:
  struct Applier;

  void Expire();

  std::map<WorkHandle, WorkItem> m_items;
  std::map<IdempotencyKey, WorkHandle> m_by_key;
  std::map<Incarnation, Milliseconds> m_fences;
  std::map<Incarnation, Milliseconds> m_last_heartbeats;
  std::size_t m_open = 0;
  Milliseconds m_log_time{0};
};

}  // namespace endivewood
