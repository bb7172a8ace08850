/// @file
/// Runs accepted long work: records it, runs it on upstreams with a bounded number of threads, and
/// takes over the work of entries that stopped.
#pragma once

#include <condition_variable>

#include "long_work.h"
#include "request_check.h"
#include "slot_router.h"
#include "upstream_client.h"

namespace endivewood {

/// What the long work of a process needs.
struct LongRunnerOptions {
  LogClient client;
  SlotRouter* slots;
  UpstreamClient* upstreams;
  const Clock* clock;
  std::function<std::shared_ptr<const FleetView>()> view;
  int runners = 0;
};

/// The answer to a request for long work; the handle is valid with kAccepted.
struct LongAnswer {
  ResultCode code = ResultCode::kAccepted;
  WorkHandle handle;
};

/// The long work of one process. Thread-safe.
class LongRunner {
 public:
  explicit LongRunner(LongRunnerOptions options);
  LongRunner(const LongRunner&) = delete;
  LongRunner& operator=(const LongRunner&) = delete;

  /// Records work before it is accepted. A key that was accepted before gives the first handle.
  /// @returns kAccepted, kKeyReused, kNotStartedPlatform when the record was surely not appended,
  /// or kAppendUncertain when it may have been.
  LongAnswer Accept(const ServiceRequest& request, const ServiceConfig& service);

  /// @returns the item, or no value when the handle is unknown or belongs to another caller.
  std::optional<WorkItem> Find(const WorkHandle& handle, const Digest& caller) const;

  /// Asks for the cancellation of open work. Running work ends with an unknown effect.
  ResultCode Cancel(const WorkHandle& handle, const Digest& caller);

  /// Asks the upstream of a grant to checkpoint the work that runs in it. Doesn't block.
  void RequestCheckpoint(const SlotGrant& grant);

  /// Hands the open work over: fences its own incarnation, so that other entries adopt the tasks
  /// that still run. Threads that wait for upstreams are not joined; the process must end.
  void Stop();

  std::size_t OpenCount() const;

 private:
  using Lock = std::unique_lock<std::mutex>;

  void Follow();
  void Keep();
  void KeepOnce();
  std::vector<WorkEvent> DueEvents();
  void CancelRunning();
  void RunnerLoop();
  std::optional<WorkItem> PickItem();
  void RunItem(const WorkItem& item);
  std::optional<SlotGrant> AcquireSlot(const WorkItem& item, const ServiceConfig& service);
  void NoteNotRun(const WorkHandle& handle, const SlotGrant& grant, SlotOutcome slot);
  void RunAttempt(const WorkItem& item, const ServiceConfig& service);
  bool RecordAttempt(const AttemptStarted& attempt);
  void CallUpstream(const WorkItem& item, const ServiceConfig& service, const SlotGrant& grant,
                    const AttemptStarted& attempt);
  void Adopt(const WorkItem& item, const AttemptStarted& attempt, const ServiceConfig& service);
  /// @returns whether the task's state settled the attempt.
  bool SettleByState(const AttemptStarted& attempt, const HttpReply& reply);
  void EndAttempt(const AttemptStarted& attempt, AttemptEnd end, std::int64_t progress_ms);
  void Finish(const WorkHandle& handle, ResultCode code, const std::string& body);
  bool Append(const WorkEvent& event, Reason* reason);
  void AppendUntil(const WorkEvent& event, const std::function<bool()>& settled);
  bool WaitFor(Lock* lock, const std::function<bool()>& condition);
  bool IsServiceFull(const ServiceName& service) const;
  void Delay(const WorkHandle& handle);
  bool IsCancelWanted(const WorkHandle& handle) const;
  bool IsOwn(const WorkHandle& handle) const;

  LongRunnerOptions m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  Incarnation m_self;
  WorkFold m_fold;
  std::uint64_t m_next = 0;
  Milliseconds m_watched_from = Milliseconds::max();
  Milliseconds m_last_append{0};
  std::map<WorkHandle, ServiceName> m_running;
  std::map<WorkHandle, Milliseconds> m_not_before;
  /// Upstreams that were not reached or drained since the item last waited.
  std::map<WorkHandle, std::vector<InstanceName>> m_not_reached;
  /// Attempts that were recorded, or may have been, but surely not sent.
  std::set<TaskId> m_unsent;
  std::map<std::uint64_t, AttemptStarted> m_by_grant;
  /// Tasks whose upstream has been asked to cancel them.
  std::set<TaskId> m_cancelled;
  std::atomic<bool> m_stopping{false};
  std::thread m_follow_thread;
  std::thread m_keep_thread;
  std::vector<std::thread> m_runners;
};

}  // namespace endivewood
