/// @file
/// The fold of the stream `work`: accepted long work, who runs it and its results.
///
/// One incarnation is responsible for each item. It records an attempt before it sends the work, so
/// an item without an open attempt has certainly not been sent. A fence frees the items of its
/// incarnation; the first `WorkTaken` after it makes another incarnation responsible, which adopts
/// the open attempt on its upstream, resumes it from its checkpoint, or runs it again only when it
/// is idempotent or was certainly not run.
#pragma once

#include <endivewood/endivewood.h>

#include <set>

#include "claims.h"

namespace endivewood {

/// 32 hexadecimal digits by which a caller asks for a result.
using WorkHandle = Name<struct WorkHandleTag>;
/// The Request-Id of one attempt, by which the upstream names its task.
using TaskId = Name<struct TaskIdTag>;

/// Long work that was accepted; its author is responsible for it.
struct WorkAccepted {
  WorkHandle handle;
  ServiceName service;
  Digest caller;
  Digest digest;  ///< Of service and body.
  IdempotencyKey key;
  std::string body;

  bool operator==(const WorkAccepted&) const = default;
};

/// The author takes over an item that has no responsible incarnation.
struct WorkTaken {
  WorkHandle handle;

  bool operator==(const WorkTaken&) const = default;
};

/// Recorded before the work is sent.
struct AttemptStarted {
  WorkHandle handle;
  TaskId task;
  InstanceName upstream;
  Endpoint endpoint;

  bool operator==(const AttemptStarted&) const = default;
};

/// How an attempt ended that didn't finish the work.
enum class AttemptEnd : std::uint8_t { kNotRun = 0, kFailed, kCheckpointed };

struct AttemptEnded {
  WorkHandle handle;
  TaskId task;
  AttemptEnd end = AttemptEnd::kNotRun;
  std::int64_t progress_ms = 0;  ///< Work completed up to a checkpoint.

  bool operator==(const AttemptEnded&) const = default;
};

struct WorkFinished {
  WorkHandle handle;
  ResultCode code = ResultCode::kOk;
  std::string body;

  bool operator==(const WorkFinished&) const = default;
};

struct CancelWanted {
  WorkHandle handle;

  bool operator==(const CancelWanted&) const = default;
};

/// An item as the fold holds it.
struct WorkItem {
  WorkAccepted accepted;
  Incarnation responsible;  ///< Invalid after its fence.
  AttemptStarted attempt;   ///< The open attempt; an invalid task means none.
  std::int64_t progress_ms = 0;
  std::vector<InstanceName> failed_on;  ///< Distinct instances.
  bool cancel_wanted = false;
  bool finished = false;
  ResultCode code = ResultCode::kPending;
  std::string result;
  Milliseconds recorded{0};  ///< Log time of the record from which a new reader restores the item.

  bool operator==(const WorkItem&) const = default;
};

/// Repeats an item so that its older records may expire.
struct ItemCarried {
  WorkItem item;

  bool operator==(const ItemCarried&) const = default;
};

using WorkEvent = std::variant<WorkAccepted, WorkTaken, AttemptStarted, AttemptEnded, WorkFinished,
                               CancelWanted, IncarnationFenced, ItemCarried, std::monostate>;

/// One record of the stream; `std::monostate` is a sign of life of its author.
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
  /// @returns whether the record was valid; the author of an invalid one must not act on it.
  bool Apply(std::int64_t time_ms, const std::string& payload);

  const WorkItem* Find(const WorkHandle& handle) const;
  /// @returns the item that was first accepted with a key, or nullptr.
  const WorkItem* FindKey(const IdempotencyKey& key) const;
  const std::map<WorkHandle, WorkItem>& items() const { return m_items; }

  bool IsFenced(const Incarnation& incarnation) const { return m_fences.contains(incarnation); }
  Milliseconds LogTime() const { return m_log_time; }
  Milliseconds LastSignOfLife(const Incarnation& incarnation) const;
  std::size_t OpenCount() const { return m_open; }

 private:
  struct Applier;

  void Expire();

  std::map<WorkHandle, WorkItem> m_items;
  std::map<IdempotencyKey, WorkHandle> m_by_key;
  std::map<Incarnation, Milliseconds> m_fences;
  std::map<Incarnation, Milliseconds> m_signs_of_life;
  std::size_t m_open = 0;
  Milliseconds m_log_time{0};
};

}  // namespace endivewood
