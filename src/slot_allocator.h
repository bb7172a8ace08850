/// @file
/// Queues requests and grants them slots of upstreams.
#pragma once

#include <endivewood/endivewood.h>

#include <memory>
#include <thread>

namespace endivewood {

/// A request for an upstream slot.
struct SlotRequest {
  ServiceName service;
  WorkClass work_class = WorkClass::kShort;
  /// The request is refused when it has not started after this time.
  Milliseconds queue_deadline{2000};
  /// Upstreams that ran this request and failed it; not those that refused or were not reached.
  std::vector<InstanceName> avoid;
  /// Time since the request first arrived. It keeps the queue position of work that resumes after a
  /// checkpoint or moves to a new queue holder; the queue limit doesn't apply to such work.
  Milliseconds age{0};
  /// Whether the request may run on an upstream that is on trial after an ejection. Set it to false
  /// for work that can't be repeated.
  bool trial_allowed = true;

  bool operator==(const SlotRequest&) const = default;
};

/// The right to run one request on one upstream. The default value is invalid.
struct SlotGrant {
  std::uint64_t id = 0;
  InstanceName upstream;
  Endpoint endpoint;
  std::uint64_t assignment = 0;  ///< The upstream refuses requests of another assignment.
  WorkClass work_class = WorkClass::kShort;  ///< Class by which the request was queued.

  bool valid() const { return id != 0; }
  bool operator==(const SlotGrant&) const = default;
};

/// How a granted request ended.
enum class SlotOutcome : std::uint8_t {
  kSucceeded,
  kFailed,           ///< The upstream answered with an error or an incomplete response.
  kTimeout,          ///< No response within the run timeout; the slot may still be occupied.
  kNotReached,       ///< The connection was refused.
  kRefusedBusy,      ///< Not run: all slots of the upstream are occupied.
  kRefusedDraining,  ///< Not run: the upstream drains or has another assignment.
  kCheckpointed,     ///< Long work that released its slot and is to be resumed.
  kCancelled,
};

/// Identifies a submitted request until it is granted or refused. The default value is invalid.
struct SlotTicket {
  std::uint64_t id = 0;

  bool valid() const { return id != 0; }
  auto operator<=>(const SlotTicket&) const = default;
};

/// The answer to a submitted request: a grant, or the reason of the refusal.
using SlotResult = std::variant<SlotGrant, Reason>;
using SlotCallback = std::function<void(const SlotResult&)>;

/// Asks the owner of a long grant to checkpoint its work and to release the grant with
/// kCheckpointed.
using CheckpointHandler = std::function<void(const SlotGrant&)>;

/// Checks the health of an ejected upstream; the result goes to SlotAllocator::AnswerProbe.
using ProbeHandler = std::function<void(const InstanceName&, const Endpoint&)>;

/// Cancels a waiting Acquire from another thread. One token serves one Acquire. Thread-safe.
class CancelToken {
 public:
  /// A waiting or later Acquire with this token returns kNotRunCancelled, unless it was already
  /// granted.
  void Cancel();

 private:
  friend class SlotAllocator;
  friend class SlotRouter;
  /// @returns false when the token is already cancelled.
  bool Attach(std::function<void()> action);
  void Detach();

  std::mutex m_mutex;
  bool m_cancelled = false;
  std::function<void()> m_action;
};

struct SlotAllocatorOptions {
  DataCentreName data_centre;
  /// Called on the allocator's own threads without a lock held; must not block.
  CheckpointHandler on_checkpoint = nullptr;
  /// Called like on_checkpoint. Without a handler an ejected upstream goes on trial as soon as its
  /// probe is due.
  ProbeHandler on_probe = nullptr;
};

struct SlotAllocatorStats {
  std::size_t waiting_short = 0;
  std::size_t waiting_long = 0;
  std::size_t in_use = 0;  ///< Grants that have not been released.
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t checkpoints = 0;
  std::size_t ejected = 0;  ///< Upstreams that are ejected or on trial.

  bool operator==(const SlotAllocatorStats&) const = default;
};

/// Grants upstream slots of one data centre. Thread-safe.
class SlotAllocator {
 public:
  /// @param clock must outlive the allocator.
  SlotAllocator(const Clock& clock, SlotAllocatorOptions options);
  ~SlotAllocator();
  SlotAllocator(const SlotAllocator&) = delete;
  SlotAllocator& operator=(const SlotAllocator&) = delete;

  /// Applies a fleet view. Until the first view every service is unknown.
  void SetView(std::shared_ptr<const FleetView> view);

  /// Queues a request without blocking.
  /// @param done called exactly once without a lock held, possibly before Submit returns; it must
  /// not block.
  SlotTicket Submit(const SlotRequest& request, SlotCallback done);

  /// Refuses a waiting request with kNotRunCancelled.
  /// @returns false when the request was already granted or refused; the submitter then has to
  /// release a grant.
  bool Cancel(SlotTicket ticket);

  /// Blocks until the request is granted or refused.
  /// @param reason receives kNotRunOverload, kNotRunDeadline, kNotRunNoUpstream,
  /// kNotRunCancelled, kNotRunStopping, kNotRunnable or kUnknownService.
  std::optional<SlotGrant> Acquire(const SlotRequest& request, Reason* reason,
                                   CancelToken* token = nullptr);

  /// Releases a slot. A grant that was already released is ignored.
  /// @param run_time how long the work ran under this grant.
  void Release(const SlotGrant& grant, SlotOutcome outcome, Milliseconds run_time);

  /// Reports the result of a probe.
  void AnswerProbe(const InstanceName& instance, bool healthy);

  /// Refuses the waiting requests and every later one with kNotRunStopping.
  void Stop();

  SlotAllocatorStats Stats() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace endivewood
