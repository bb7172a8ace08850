/// @file
/// Runs accepted long work: records it in the stream `work`, runs it on upstreams with a bounded
/// number of threads, and takes over the work of entries that stopped.
#pragma once

#include <condition_variable>

#include "long_work.h"
#include "request_check.h"
#include "slot_router.h"
#include "upstream_client.h"

namespace endivewood {

/// Dependencies and thread count of a LongRunner.
struct LongRunnerOptions {
  LogClient client;
  SlotRouter* slots;
  UpstreamClient* upstreams;
  const Clock* clock;
  std::function<std::shared_ptr<const FleetView>()> view;
  int runners = 0;  ///< Threads that run work.
};

/// Result of submitting long work; the handle is valid only with kAccepted.
struct LongAnswer {
  ResultCode code = ResultCode::kAccepted;
  WorkHandle handle;
};

/// Accepts and runs the long work of one entry. Thread-safe.
class LongRunner {
 public:
  explicit LongRunner(LongRunnerOptions options);
  LongRunner(const LongRunner&) = delete;
  LongRunner& operator=(const LongRunner&) = delete;

  /// Records work before accepting it. A repeated idempotency key returns the handle of the first
  /// request.
  /// @returns kAccepted, kKeyReused, kNotStartedPlatform when the record was certainly not
  /// appended, or kAppendUncertain when it may have been.
  LongAnswer Accept(const ServiceRequest& request, const ServiceConfig& service);

  /// @returns the item, or no value when the handle is unknown or belongs to another caller.
  std::optional<WorkItem> Find(const WorkHandle& handle, const Digest& caller) const;

  /// Requests the cancellation of unfinished work. Running work ends with an unknown effect.
  ResultCode Cancel(const WorkHandle& handle, const Digest& caller);

  /// Requests a checkpoint of the work that runs in a granted slot. Doesn't block.
  void RequestCheckpoint(const SlotGrant& grant);

  /// Hands over the open work: fences its own incarnation, so that other entries adopt the running
  /// tasks. Doesn't join threads that wait for upstreams, so the process must exit afterwards.
  void Stop();

  std::size_t OpenCount() const;

 private:
  using Lock = std::unique_lock<std::mutex>;

  void FollowLoop();
  void HousekeepingLoop();
  void DoHousekeeping();
  /// @returns the events due now: a heartbeat, takeovers of items without an owner, fences of
  /// silent incarnations, and renewals of own items.
  std::vector<WorkEvent> DueEvents();
  void CancelRunning();
  void RunnerLoop();
  std::optional<WorkItem> PickItem();
  void RunItem(const WorkItem& item);
  std::optional<SlotGrant> AcquireSlot(const WorkItem& item, const ServiceConfig& service);
  void HandleNotRun(const WorkHandle& handle, const SlotGrant& grant, SlotOutcome slot);
  void RunAttempt(const WorkItem& item, const ServiceConfig& service);
  bool RecordAttempt(const AttemptStarted& attempt);
  void CallUpstream(const WorkItem& item, const ServiceConfig& service, const SlotGrant& grant,
                    const AttemptStarted& attempt);
  /// Sends the work once. When the connection has gone silent, returns a timeout early; the
  /// detached thread that waits on the connection closes it after the full timeout.
  HttpOutcome CallWithProbes(const AttemptStarted& attempt, const HttpRequest& request,
                             Milliseconds timeout) const;
  /// Polls the task of an attempt without a usable connection until its outcome is known.
  void Adopt(const WorkItem& item, const AttemptStarted& attempt, const ServiceConfig& service);
  /// Records the outcome that the state of a task shows.
  /// @returns false when the task still runs.
  bool RecordTaskOutcome(const AttemptStarted& attempt, const HttpReply& reply);
  void EndAttempt(const AttemptStarted& attempt, AttemptEnd end, std::int64_t progress_ms);
  void Finish(const WorkHandle& handle, ResultCode code, const std::string& body);
  bool Append(const WorkEvent& event, Reason* reason);
  /// Appends an event, again as often as needed, until the fold fulfils a condition.
  void AppendUntil(const WorkEvent& event, const std::function<bool()>& settled);
  bool WaitFor(Lock* lock, const std::function<bool()>& condition);
  bool IsServiceFull(const ServiceName& service) const;
  void RetryLater(const WorkHandle& handle);
  bool IsCancelRequested(const WorkHandle& handle) const;
  bool IsOwn(const WorkHandle& handle) const;

  LongRunnerOptions m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  Incarnation m_incarnation;
  WorkFold m_fold;
  std::uint64_t m_next = 0;
  Milliseconds m_followed_since = Milliseconds::max();
  Milliseconds m_last_append{0};
  std::map<WorkHandle, ServiceName> m_running;
  std::map<WorkHandle, Milliseconds> m_retry_at;
  /// Upstreams that didn't run an item since its last delay (unreachable or draining).
  std::map<WorkHandle, std::vector<InstanceName>> m_tried_upstreams;
  /// Attempts that may have been recorded but were certainly not sent.
  std::set<TaskId> m_unsent;
  std::map<std::uint64_t, AttemptStarted> m_attempts_by_grant;
  /// Tasks for which a cancellation was sent to the upstream.
  std::set<TaskId> m_cancelled;
  std::atomic<bool> m_stopping{false};
  std::thread m_follow_thread;
  std::thread m_housekeeping_thread;
  std::vector<std::thread> m_runners;
};

}  // namespace endivewood
