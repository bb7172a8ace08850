/// @file
/// State that a scheduler keeps for one incarnation of an upstream: clock, lease, run list and
/// reservations.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>

#include "client_account.h"
#include "config.h"
#include "jobs.h"
#include "upstream_history.h"

namespace endivewood {

/// State of a run as known to the scheduler.
enum class HostedState : std::uint8_t {
  kStarting = 0,  ///< The start was ordered and not yet answered.
  kRunning,
  kUncertain,  ///< The start timed out; the next run list shows it, or it is stopped.
  kStopping,
};

/// What runs, or may run, for each account on the upstreams of one scheduler.
class AccountUsage {
 public:
  /// @param sign 1 to add, -1 to subtract. An invalid account has no sum.
  void Count(const AccountName& account, const ResourceTotal& amount, int sign);
  const std::map<AccountName, ResourceTotal>& totals() const { return m_totals; }

 private:
  std::map<AccountName, ResourceTotal> m_totals;
};

/// A run that uses, or may use, capacity of an upstream.
struct HostedRun {
  std::uint64_t run = 0;
  Capacity reserved;
  bool needs_known = true;  ///< Otherwise it takes the whole upstream, whatever its capacity.
  HostedState state = HostedState::kStarting;
  Milliseconds ordered_at{0};
  Milliseconds confirmed_at{0};  ///< When the start was confirmed by an answer or a run list.
  bool listed = false;           ///< Seen in a run list of this incarnation.
  std::optional<Milliseconds> stop_confirmed_at;
  Milliseconds stop_sent_at{0};
  int percent = 0;                ///< Progress.
  int usage = 0;                  ///< See RunningRow.
  Milliseconds progressed_at{0};  ///< When `percent` last changed.
  Milliseconds estimate{0};       ///< Expected duration, as learned.
  bool resumed = false;           ///< It began at a checkpoint, or before this holder's term.
  std::string checkpoint;
  bool lasting = false;
  bool best_effort = false;
  Milliseconds target_latency{0};
  int pace = 100;  ///< Percent of full speed.
  Milliseconds paced_at{0};
  Milliseconds over_target_since{0};  ///< 0: below the target.
  AccountName account;                ///< Of the job; invalid if it has none or isn't known.
  ResourceTotal charged;              ///< What counts against the account's limit.
};

/// Numbers of tasks by step.
class StepCounts {
 public:
  void Add(const TaskKey& task) { ++m_counts[StepKeyOf(task)]; }
  void Remove(const TaskKey& task);
  int Of(const StepKey& step) const;

 private:
  std::map<StepKey, int> m_counts;  ///< Without zeros.
};

/// Room kept on one upstream for lasting tasks that are to be started there.
class HeldRoom {
 public:
  using Map = std::map<TaskKey, Capacity>;

  Map::const_iterator begin() const { return m_room.begin(); }
  Map::const_iterator end() const { return m_room.end(); }
  Map::const_iterator find(const TaskKey& task) const { return m_room.find(task); }
  bool contains(const TaskKey& task) const { return m_room.count(task) > 0; }
  std::size_t size() const { return m_room.size(); }

  void Put(const TaskKey& task, const Capacity& capacity);
  void erase(const TaskKey& task);

  const Capacity& total() const { return m_total; }
  const StepCounts& step_counts() const { return m_step_counts; }

 private:
  Map m_room;
  Capacity m_total;
  StepCounts m_step_counts;
};

/// The runs of one upstream by task, with the sums that each placement needs.
class HostedRuns {
 public:
  using Map = std::map<TaskKey, HostedRun>;

  Map::iterator begin() { return m_runs.begin(); }
  Map::iterator end() { return m_runs.end(); }
  Map::const_iterator begin() const { return m_runs.begin(); }
  Map::const_iterator end() const { return m_runs.end(); }
  Map::iterator find(const TaskKey& task) { return m_runs.find(task); }
  Map::const_iterator find(const TaskKey& task) const { return m_runs.find(task); }
  Map::iterator lower_bound(const TaskKey& task) { return m_runs.lower_bound(task); }
  bool empty() const { return m_runs.empty(); }
  std::size_t size() const { return m_runs.size(); }

  /// Adds a run, or replaces the task's earlier one. Its reservation and kind must not change
  /// afterwards.
  HostedRun& Put(const TaskKey& task, const HostedRun& run);
  Map::iterator erase(Map::iterator position);

  /// Adds the runs to the sums of their accounts from now on. Call while there are no runs.
  void CountInto(std::shared_ptr<AccountUsage> usage) { m_usage = std::move(usage); }

  const Capacity& used() const { return m_used; }
  const StepCounts& step_counts() const { return m_step_counts; }
  bool any_latency_sensitive() const { return m_latency_sensitive > 0; }
  bool any_best_effort() const { return m_best_effort > 0; }
  bool any_needs_unknown() const { return m_needs_unknown > 0; }

 private:
  void Count(const HostedRun& run, int sign);

  Map m_runs;
  Capacity m_used;
  StepCounts m_step_counts;
  int m_latency_sensitive = 0;
  int m_best_effort = 0;
  int m_needs_unknown = 0;
  std::shared_ptr<AccountUsage> m_usage;
};

/// @returns the time in which a lease ends, whatever the error of the upstream's clock.
Milliseconds LongestTimeOf(Milliseconds lease);

/// Bounds on a remote clock that was read in one answer and may run up to 2 % slow.
class RemoteClock {
 public:
  /// @param remote the remote time stated in an answer.
  /// @param received when the answer arrived.
  void Observe(std::int64_t remote, Milliseconds received);
  bool known() const { return m_known; }

  /// @returns a lower bound of the remote time.
  std::int64_t LowerBoundAt(Milliseconds now) const;

  /// @returns the latest local time at which the remote clock reaches `remote`.
  Milliseconds LatestLocalTimeOf(std::int64_t remote) const;

 private:
  bool m_known = false;
  std::int64_t m_remote = 0;
  Milliseconds m_received{0};
};

/// One incarnation of an upstream.
struct UpstreamSession {
  UpstreamEntry entry;
  /// Registry entry with a lower start time, until an answer shows whether it is the present one.
  std::optional<UpstreamEntry> unconfirmed_entry;
  bool address_unconfirmed = false;  ///< `entry.endpoint` is that of `unconfirmed_entry`.
  bool listed = false;               ///< Contained in the current registry.
  bool registered = false;           ///< Its UpstreamRecord is stored.
  std::uint64_t registered_at_change = 0;
  bool hosted_complete = false;  ///< A run list was read, so `hosted` is complete.
  /// The last run list may not contain all ended runs, so a run that isn't listed may have ended.
  bool more_ended = false;
  /// The ends in the last run list are new: neither a missing answer nor a full list delayed them.
  bool ends_timely = false;
  /// It has accepted this holder's fencing token, so no older holder can change its runs.
  bool fenced = false;
  std::int64_t start_time = 0;
  std::set<std::int64_t> former_start_times;  ///< Of incarnations that this holder has seen.
  /// Number of incarnations before this one that this holder has seen.
  std::uint64_t incarnation = 0;
  /// Of orders for this incarnation, so that it refuses those for a former one from its first
  /// answer on.
  std::uint64_t fencing_token = 0;
  Milliseconds no_contact_before{0};  ///< No order is sent before this time.
  RemoteClock clock;
  /// Latest lease end that any order for this incarnation, answered or not, may have set; by the
  /// remote clock.
  std::int64_t lease_until = 0;
  /// Whether a holder has used a former incarnation until recently. Orders for that one may have
  /// reached this one before its first answer; they state times of another clock, so they may have
  /// set the longest lease.
  bool follows_incarnation = false;
  /// Time after which no order for a former incarnation is executed any more.
  Milliseconds former_orders_until{0};
  bool accepted_token = false;  ///< This incarnation has accepted `fencing_token`.
  /// Latest lease end that orders for a former incarnation may have set; by the remote clock.
  std::int64_t former_lease_until = 0;
  /// Before the first run list: local time by which all leases of earlier holders have ended.
  Milliseconds inherited_lease_end{0};

  std::uint64_t processed_cursor = 0;      ///< Last ended run that was processed.
  std::uint64_t stored_cursor = 0;         ///< Last one whose result is stored.
  std::uint64_t sent_cursor = 0;           ///< Last one for which an acknowledgement was sent.
  std::uint64_t previous_sent_cursor = 0;  ///< `sent_cursor` before the last renew order.
  std::uint64_t acknowledged_cursor = 0;   ///< Last one whose acknowledgement was answered.
  struct PendingAck {
    std::uint64_t number = 0;
    std::uint64_t change = 0;
  };
  std::deque<PendingAck> pending_acks;

  /// A failed run that hasn't been acknowledged to the upstream.
  struct UnacknowledgedFailure {
    std::uint64_t number = 0;
    TaskKey task;
    std::uint64_t run = 0;
  };
  std::vector<UnacknowledgedFailure> failures;

  HostedRuns hosted;
  bool stops_unconfirmed = false;  ///< A run may be stopping without a confirmation.
  /// Value of `last_answer` at the last search for stalled runs.
  Milliseconds stalls_checked_at{-1};
  HeldRoom held;

  /// A start without an answer. The upstream may execute it later, even in its next incarnation.
  struct UnansweredStart {
    TaskKey task;
    std::uint64_t run = 0;
    Capacity reserved;
    Milliseconds sent_at{0};
    AccountName account;    ///< As in HostedRun.
    ResourceTotal charged;  ///< As in HostedRun.
    /// The incarnation has shown that the start was executed, or that it won't be.
    bool settled = false;
  };
  std::vector<UnansweredStart> unanswered_starts;
  /// Starts whose answer, or the end of waiting for it, hasn't been reported yet.
  int starts_in_flight = 0;

  bool renew_in_flight = false;
  Milliseconds renew_sent_at{0};
  bool renew_without_extension = true;
  Milliseconds next_renew{0};
  Milliseconds last_answer{0};
  int unanswered = 0;           ///< Consecutive orders without an answer.
  UpstreamHistory history;      ///< Of all incarnations.
  Milliseconds avoid_until{0};  ///< No task is placed here before this time.
  /// Failed and stalled runs since the last one that succeeded, up to kFailedStreakLimit; see
  /// CountFailure.
  int failed_streak = 0;
  std::set<JobId> failed_jobs;     ///< Jobs of these runs.
  Milliseconds suspect_since{0};   ///< When `failed_streak` reached its limit.
  Milliseconds full_until{0};      ///< It rejected a start for lack of capacity.
  Milliseconds released_until{0};  ///< Reserved for a move or maintenance until this time.
  /// The planner was told that nothing runs here, and may act on it until this time.
  Milliseconds reported_released_until{0};
  Milliseconds drain_deadline{0};  ///< While draining: earliest time at which it stops.

  /// @returns whether further starts would wait for the answers to earlier ones.
  bool AwaitsAnswers() const { return starts_in_flight >= config::kMaxUnansweredStarts; }

  /// Call when this incarnation has shown that starts of a task up to the run were executed, or
  /// that they won't be any more. They count for their account only as hosted runs from then on.
  void SettleStarts(const TaskKey& task, std::uint64_t run);
  /// @returns whether a start for an account may still be executed without being a hosted run.
  bool HasUnsettledStart() const;

  /// @returns the capacity that is neither used nor held; negative where it is overcommitted.
  Capacity Free() const;
  /// @returns whether it is draining or doesn't answer. One order without an answer isn't enough.
  bool IsLost() const { return entry.draining || unanswered > 1; }
  /// @returns whether `entry` describes the incarnation that answers. The registry may show a new
  /// one, with other labels and capacity, later than its first answer.
  bool IsDescribed() const {
    return entry.start_time == 0 || start_time == 0 || entry.start_time == start_time;
  }
  OrderTarget Target() const {
    return {.incarnation = incarnation, .fencing_token = fencing_token, .start_time = start_time};
  }

  /// @returns whether the upstream has answered an acknowledgement of each end that was processed.
  bool HasAcknowledgedAllEnds() const { return acknowledged_cursor >= processed_cursor; }

  /// @returns whether it belongs to the capacity of its service.
  bool CountsAsCapacity() const { return listed && !IsLost(); }

  /// Counts a failed or stalled run against the upstream. The runs of one job count once, unless
  /// other tasks of the step have succeeded elsewhere: a job that can't be done fails on any
  /// upstream.
  /// @param step_succeeds whether a task of the run's step is done.
  void CountFailure(const JobId& job, bool step_succeeds, Milliseconds now);
  void ForgetFailures();
  /// @returns whether its runs fail so often that it gets one task at a time until one succeeds.
  bool IsSuspect() const;
  /// @returns whether a run that was started while it is suspect is still undecided. Runs from
  /// before don't count, nor do lasting tasks at work, which may never end.
  bool HasUndecidedTrial() const;

  /// @returns the local time by which every lease has ended, whatever the clock error.
  Milliseconds LatestLeaseEnd() const;

  /// Advances `stored_cursor`. @param change number up to which all changes are stored.
  void OnDurable(std::uint64_t change);
};

}  // namespace endivewood
