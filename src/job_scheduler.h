/// @file
/// Schedules the jobs of one partition of the job store onto upstreams. Does no I/O: requests,
/// answers and the current time are passed in; orders and the records to store are returned.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "account_shares.h"
#include "caller_credential.h"
#include "events.h"
#include "job.h"
#include "job_admission.h"
#include "job_placement.h"
#include "offered_load.h"
#include "overload_control.h"
#include "run_durations.h"
#include "task_copies.h"
#include "upstream_session.h"

namespace endivewood {

struct SchedulerOptions {
  int partition = 0;        ///< Of the job store; the scheduler serves all its services.
  std::uint64_t epoch = 0;  ///< Producer epoch of the partition, also the first fencing token.
  Milliseconds lease{4000};
  Milliseconds max_lease{10000};    ///< Upstreams shorten any longer lease to this.
  Milliseconds drain_notice{2000};  ///< Minimum time that a draining upstream continues.
  /// Maximum bytes of start orders without an answer; 0: no limit.
  std::int64_t max_unanswered_bytes = 0;
  OverloadChoice overload = OverloadChoice::kByConfiguration;
};

/// Actions that a partition holder may take, depending on how recently its ownership was confirmed.
struct HolderRights {
  bool extend = true;  ///< Extend leases.
  bool start = true;   ///< Start tasks: no other holder's term can have begun.
  bool move = true;    ///< Stop healthy tasks in order to move them.
  Milliseconds confirmed_at = Milliseconds::max();  ///< Last confirmation of ownership.
};

/// Result of a submission.
struct SubmitResult {
  enum class Kind : std::uint8_t { kStored, kRefused };
  Kind kind = Kind::kRefused;
  std::uint64_t change = 0;  ///< kStored: the change that contains the job.
  Milliseconds retry_after{0};
  std::string reason;
};

/// Number of the change that contains the cancellation, or no value if the job isn't known.
using CancelResult = std::optional<std::uint64_t>;

/// Records of one append to the job store.
struct DurableBatch {
  std::vector<KeyedRecord> records;
  std::uint64_t change = 0;  ///< Last change that is stored with this batch.
};

/// Time in which an upstream becomes idle if no further task is placed on it.
struct ReleaseTime {
  UpstreamId upstream;
  Milliseconds left{0};

  bool operator==(const ReleaseTime&) const = default;
};

/// Capacity and demand of a service, reported to the planner.
struct ServiceDemand {
  int upstreams = 0;              ///< Upstreams that are listed, reachable and not draining.
  std::int64_t cpu_capacity = 0;  ///< Their capacity, millicores.
  /// Millicores of running tasks; late tasks count by kLateDemandShare.
  std::int64_t cpu_running = 0;
  std::int64_t cpu_lasting = 0;  ///< Part of `cpu_running` of lasting tasks.
  /// Millicores that would start the waiting tasks in time.
  std::int64_t cpu_waiting = 0;
  /// Millicores needed for the current arrival rate of work, including refused work.
  std::int64_t cpu_offered = 0;
  /// Minimum number of upstreams, by max_per_upstream of lasting steps, and by lasting tasks
  /// without room on the present upstreams.
  int min_lasting_upstreams = 0;
  /// Upstreams in the order in which they can be released, idle ones first.
  std::vector<ReleaseTime> release_order;
  /// Upstreams that are draining or don't answer.
  std::vector<UpstreamId> lost;

  bool operator==(const ServiceDemand&) const = default;
};

/// Whether an instance is idle and reserved for a move or maintenance.
enum class ReleaseState : std::uint8_t { kBusy = 0, kReleased, kUnknown };

class JobScheduler {
 public:
  explicit JobScheduler(const SchedulerOptions& options);

  // Start of a term.

  /// Restores one stored record. Records may come in any order.
  void Restore(const KeyedRecord& record);
  /// Call after the last record.
  /// @param unix_offset Unix time minus the scheduler's clock.
  /// @param inherited_lease_end time by which leases granted by earlier holders have ended on
  /// upstreams that this holder can't reach.
  void FinishRestore(Milliseconds now, Milliseconds unix_offset, Milliseconds inherited_lease_end);

  /// Call when earlier holders have stopped extending leases: their leases end by `lease_end`.
  void ShortenInheritedLeases(Milliseconds lease_end);

  // Callers.

  SubmitResult Submit(JobSpec spec, const QueuePolicy& policy, Milliseconds now);
  CancelResult Cancel(const JobId& id, Milliseconds now);
  /// @returns the state to report to callers, or no value if the job isn't known.
  std::optional<JobState> StateOf(const JobId& id) const;
  /// @returns where a job comes from; no value if the job isn't known.
  std::optional<JobOrigin> OriginOf(const JobId& id) const;
  /// @returns the number of accepted jobs of a queue without any started task.
  std::size_t Pending(const QueueName& queue) const;
  /// @returns whether there are jobs or results of a queue. `true` may be kQueueJobsCheckMs old.
  bool HasJobsOf(const QueueName& queue, Milliseconds now);
  /// @returns the queues of the jobs that haven't ended, each with its jobs' service.
  std::set<QueueService> QueueServicesInUse() const;

  // The store.

  /// @returns the next records to store, or no value if there are none.
  std::optional<DurableBatch> TakeBatch();
  void OnDurable(std::uint64_t change);
  std::uint64_t durable() const { return m_durable; }
  /// @returns whether there are unstored changes, and whether a caller waits for one of them.
  bool has_changes() const { return !m_dirty.empty(); }
  bool has_urgent_changes() const { return m_urgent; }

  /// Stores a metadata record in the partition, beside the jobs.
  /// @param urgent whether a caller waits for it.
  /// @returns the number of the change.
  std::uint64_t PutMetadata(const std::string& key, const std::string& value, bool urgent = false);
  const std::map<std::string, std::string>& metadata() const { return m_metadata; }

  // Upstreams.

  /// Call with each new version of the configuration.
  /// @param accounts no value in a deployment without accounts.
  void SetAccounts(const std::optional<std::vector<ClientAccount>>& accounts);
  /// Tells admission what accounts may run, see AccountRoom. Without a call there are no limits.
  void SetAccountRoom(AccountRoom room) { m_overload.SetAccountRoom(std::move(room)); }

  // Shares of the accounts' limits (job_scheduler_accounts.cc).

  /// @returns the call to the holder of partition 0 that is due, or no value.
  std::optional<ShareCall> TakeShareCall(Milliseconds now) { return m_shares.TakeCall(now); }
  void OnShareReply(const ShareReply& reply, Milliseconds now);
  /// Call when a share call failed or had no answer.
  void OnShareCallFailed(std::uint64_t sequence, Milliseconds now);
  const AccountShares& shares() const { return m_shares; }
  /// @returns what runs or may run for each account, without tasks that only earlier holders know.
  std::map<AccountName, ResourceTotal> AccountUse() const;

  /// @param entries current registry, restricted to this scheduler's services.
  void SetUpstreams(const std::vector<UpstreamEntry>& entries, Milliseconds now);
  void OnStarted(const StartOrder& order, const OrderReply& reply, Milliseconds now);
  void OnStopped(const StopOrder& order, const OrderReply& reply, Milliseconds now);
  void OnPaced(const PaceOrder& order, const OrderReply& reply, Milliseconds now);
  void OnRenewed(const RenewOrder& order, const RenewReply& reply, Milliseconds now);

  /// Reserves an upstream's instance for the planner: no task is placed there for kReleaseHoldMs,
  /// and running tasks end or are moved. The planner repeats the call until the result is
  /// kReleased.
  ReleaseState Release(const UpstreamId& upstream, Milliseconds now);

  // Time.

  /// Processes everything that is due.
  void Run(Milliseconds now, Milliseconds unix_offset, const HolderRights& rights);
  std::vector<UpstreamOrder> TakeOrders();
  /// @returns the time of the next call of Run if nothing else happens.
  Milliseconds NextDue(Milliseconds now) const;

  /// @returns whether an upstream has seen a newer fencing token, which means the term is over.
  bool fenced_out() const { return m_fenced_out; }

  /// Sets the capacity of a service's pool including instances that are being added. Expires after
  /// kPlannedCapacityMs.
  void SetPlannedCapacity(const ServiceName& service, std::int64_t millicores, Milliseconds now);
  ServiceDemand Demand(const ServiceName& service, Milliseconds now) const;
  /// @returns the endpoint of an upstream, or no value if it isn't known.
  std::optional<Endpoint> EndpointOf(const UpstreamId& id) const;
  const SchedulerOptions& options() const { return m_options; }
  const std::map<JobId, std::unique_ptr<Job>>& jobs() const { return m_jobs; }
  const std::map<UpstreamId, UpstreamSession>& sessions() const { return m_sessions; }
  const RunDurations& durations() const { return m_durations; }
  /// @returns the highest fencing token of any order so far.
  std::uint64_t highest_fencing_token() const { return m_highest_fencing_token; }
  std::size_t results() const { return m_results.size(); }

 private:
  struct Ended {
    JobResult result;
    std::uint64_t change = 0;
  };

  // job_scheduler.cc
  /// @param item key of the record to store.
  /// @param urgent whether a caller, or the next start of a task, waits for it.
  /// @returns the number of the change.
  std::uint64_t MarkDirty(const std::string& item, bool urgent);
  void EncodeItem(const std::string& item, std::vector<KeyedRecord>* records) const;
  void EndJob(const JobId& id, JobState state, Milliseconds now);
  void StopRunsOf(const JobId& id, Milliseconds now);
  void ExpireResults(Milliseconds unix_now);
  /// Call when an upstream has shown that a task of the job runs or has run. An ordered start isn't
  /// enough: it may be refused or never arrive.
  void NoteStarted(Job* job);
  bool IsLate(const TaskKey& task, Milliseconds now) const;
  /// @returns the load, which may be up to kLoadAgeMs old except for jobs accepted since.
  ServiceLoad& LoadOf(const ServiceName& service, Milliseconds now);
  ServiceLoad MeasureLoad(const ServiceName& service, Milliseconds now) const;
  // job_scheduler_admission.cc
  /// Measures what admission by the callers' costs needs in addition.
  void MeasureOrder(const ServiceName& service, Milliseconds now, ServiceLoad* load) const;
  /// Measures the running tasks. @returns for how long the latest tasks of each job have run.
  std::map<JobId, Milliseconds> MeasureRunning(const ServiceName& service, Milliseconds now,
                                               ServiceLoad* load) const;
  /// Sets the standing of waiting steps whose service has too little room.
  void RankAccounts(std::vector<WaitingStep>* waiting, Milliseconds now);

  // job_scheduler_placement.cc
  void Place(Milliseconds now, Milliseconds unix_offset);
  void PlaceWaiting(std::vector<WaitingStep>* waiting, Milliseconds now);
  /// @returns the services of which some of the steps still have tasks to start.
  static std::set<ServiceName> ServicesOf(const std::vector<WaitingStep>& waiting);
  bool MaySendStart(const Job& job) const;
  static std::int64_t StartBytes(const std::string& payload);
  /// What a pass has found out about the lasting tasks of a step. Tasks of one step need the same,
  /// so what one finds holds for the others, unless room is held for them.
  struct LastingSearch {
    bool no_room = false;           ///< No upstream takes a task for which no room is held.
    bool awaits_answers = false;    ///< Those that take one await answers to earlier starts.
    bool no_future_room = false;    ///< Nor is there an upstream that could hold room for it.
    bool no_released_room = false;  ///< Nor a released one.
    int unplaced = 0;               ///< Tasks that get no room before an upstream could be added.
  };
  void PlaceStep(WaitingStep* waiting, CandidatePool* pool, Milliseconds now);
  void PlaceTasks(WaitingStep* waiting, CandidatePool* pool, LastingSearch* search,
                  Milliseconds now);
  /// @returns whether the task was started. If not, no other task of the step can be.
  bool PlaceShortTask(WaitingStep* waiting, const TaskKey& key, CandidatePool* pool,
                      Milliseconds now);
  void PlaceLastingTask(WaitingStep* waiting, const TaskKey& key, CandidatePool* pool,
                        LastingSearch* search, Milliseconds now);
  /// Holds room that will come free for a task, or places it on a released upstream.
  void PlaceWithoutRoom(WaitingStep* waiting, const TaskKey& key, CandidatePool* pool,
                        LastingSearch* search, Milliseconds now);
  /// @returns whether the account's share permits the start.
  bool StartTask(WaitingStep* waiting, const TaskKey& key, UpstreamCandidate* candidate,
                 Milliseconds now);
  void PlaceGang(WaitingStep* waiting, std::vector<UpstreamCandidate>* candidates,
                 Milliseconds now);
  void Start(WaitingStep* waiting, int index, std::uint64_t run, UpstreamCandidate* candidate,
             Milliseconds now);
  bool MayPlace(const Job& job, int step, const TaskState& task, Milliseconds now) const;

  // job_scheduler_accounts.cc
  /// One account's state during a placement pass.
  struct AccountPass {
    AccountLoad load;
    /// A task waits for the share; later ones of the account don't overtake it.
    bool blocked = false;
    std::map<ServiceName, ResourceTotal> waiting;
    std::map<ServiceName, std::int64_t> cpu_demand;  ///< Millicores, as in ServiceDemand.
  };
  void BeginAccountPass();
  /// @param pools what the placement has left.
  void BoundWaiting(const std::map<ServiceName, CandidatePool>& pools);
  void EndAccountPass(Milliseconds now);
  /// @returns the account's state, or nullptr if it has no limit.
  AccountPass* FindAccountPass(const Job& job);
  /// Adds to the demand of a service, for an account no more than its limit permits.
  void AddWaitingDemand(const Job& job, std::int64_t millicores);
  /// Checks that tasks which have room can start within their account's share, and notes the
  /// waiting tasks of the step otherwise.
  /// @param tasks number of tasks that start together.
  bool HasShareFor(const WaitingStep& waiting, int tasks, Milliseconds now);
  bool IsBlockedByShare(const Job& job);
  void NoteWaitingForShare(const WaitingStep& waiting);
  /// @returns an upper bound of what earlier holders may have started for an account.
  struct InheritedNeeds {
    ResourceTotal all;
    std::int64_t best_effort_cpu = 0;  ///< Part that the upstreams' cores don't bound.
  };
  ResourceTotal UnresolvedOf(const AccountName& account, const InheritedNeeds& inherited) const;
  /// @returns what the stored jobs' tasks need that an earlier holder may have started.
  std::map<AccountName, InheritedNeeds> FindInheritedNeeds() const;
  /// Adds what earlier holders may have started.
  void AddUnresolved(std::map<AccountName, ResourceTotal>* use) const;
  // job_scheduler_durations.cc
  /// @returns the expected duration of one task by step.
  std::vector<Milliseconds> DurationsOf(const JobSpec& spec) const;
  /// Learns from a run that ended as done, or at least ran so long, unless a known cause lengthened
  /// or shortened it.
  void LearnDuration(UpstreamSession* session, const HostedRun& run, const TaskKey& task,
                     Milliseconds now);

  // job_scheduler_copies.cc
  /// The running tasks of a service, and those of them that may get a copy.
  struct CopyChoice {
    std::vector<CopyCandidate> candidates;
    std::size_t running = 0;
    std::size_t copies = 0;
    bool any_may_follow = false;  ///< A running task may become slow enough for a copy.
  };
  std::map<ServiceName, CopyChoice> FindCopyCandidates(Milliseconds now);
  /// Starts copies of slow tasks.
  /// @param short_of_room services with tasks that wait for room.
  void PlaceCopies(const std::set<ServiceName>& short_of_room, Milliseconds now);
  void StartCopy(const TaskKey& key, CandidatePool* pool, Milliseconds now);
  /// @returns whether a run that an earlier holder started is kept beside the known one.
  bool MayAdoptAsCopy(const Job& job, const TaskState& task, const RunningRow& row,
                      const UpstreamId& upstream) const;
  /// Call when a run of the task has ended as done: stops the other one, if there is one.
  void StopOtherRun(const TaskKey& key, bool copy_won, Milliseconds now);

  // job_scheduler_upstreams.cc
  UpstreamSession* FindSession(const UpstreamId& id);
  void ApplyEntry(UpstreamSession* session, const UpstreamEntry& entry, Milliseconds now);
  void DropRun(UpstreamSession* session, const TaskKey& task, const char* cause, Milliseconds now);
  void HandleLeaseEnd(UpstreamSession* session, Milliseconds now);
  // job_scheduler_incarnations.cc
  void HandleNewIncarnation(UpstreamSession* session, std::int64_t start_time, Milliseconds now);
  /// @returns whether an upstream states another start time than the known incarnation. A lower one
  /// may be that of the next incarnation, as the upstream's time of day may have been set back.
  static bool IsOtherIncarnation(const UpstreamSession& session, std::int64_t start_time);
  /// Gives the session's next incarnation a fencing token of its own, or keeps orders from it until
  /// those for the former one have expired.
  void BeginIncarnation(UpstreamSession* session, Milliseconds now);
  /// @returns the time by which all leases from orders for a former incarnation have ended.
  Milliseconds FormerLeaseLimit(const UpstreamSession& session) const;
  /// @returns the time by which leases granted by earlier holders have ended on an upstream that
  /// this holder can't reach.
  Milliseconds InheritedLeaseEnd(const UpstreamSession& session) const;
  void StopUnansweredStarts(UpstreamSession* session, Milliseconds now);
  /// Keeps a waiting task from starting elsewhere until a start that may still be executed on this
  /// upstream has been stopped, or its lease has ended.
  void HoldTask(const UpstreamSession& session, const UpstreamSession::UnansweredStart& start);
  // job_scheduler_run_lists.cc
  void ProcessEndedRows(UpstreamSession* session, const std::vector<EndedRow>& rows,
                        Milliseconds now);
  /// @param before_lapse whether a lease lapsed after this end; the platform then doesn't count the
  /// run as done.
  void HandleRunEnd(UpstreamSession* session, const EndedRow& row, bool before_lapse,
                    Milliseconds now);
  void HandleFailure(UpstreamSession* session, Job* job, TaskState* task, const EndedRow& row,
                     Milliseconds now);
  void AcknowledgeFailures(UpstreamSession* session, std::uint64_t cursor, Milliseconds now);
  void DropUnacknowledgedFailures(UpstreamSession* session, Milliseconds now);
  void FailJobIfAttemptsExhausted(const TaskKey& task, Milliseconds now);
  void ProcessRunningRows(UpstreamSession* session, const RenewOrder& order,
                          const std::vector<RunningRow>& rows, Milliseconds now);
  void Adopt(UpstreamSession* session, const RunningRow& row, Milliseconds now);
  /// Stops a run whose start was executed late, after a newer one of the task had been ordered
  /// there.
  void StopEarlierRun(UpstreamSession* session, const RunningRow& row, HostedRun* newer,
                      Milliseconds now);
  void ReconcileMissingRuns(UpstreamSession* session, const RenewOrder& order,
                            const std::set<TaskKey>& listed, Milliseconds now);
  // job_scheduler_upstreams.cc
  void Stop(UpstreamSession* session, const TaskKey& task, HostedRun* run, Milliseconds now);
  void Requeue(const TaskKey& task, const UpstreamId& upstream, std::uint64_t run,
               Milliseconds now);
  void RunSessions(Milliseconds now, const HolderRights& rights);
  void RunSession(UpstreamSession* session, Milliseconds now, const HolderRights& rights);
  void RepeatStops(UpstreamSession* session, Milliseconds now);
  void Renew(UpstreamSession* session, Milliseconds now, bool may_extend);
  void ResolveInheritedTasks(Milliseconds now, Milliseconds confirmed_at);
  void EvacuateUpstream(UpstreamSession* session, Milliseconds now);
  void MoveStalledTasks(UpstreamSession* session, Milliseconds now);
  void AdjustPace(UpstreamSession* session, Milliseconds now);
  void ScheduleRenew(UpstreamSession* session, Milliseconds at);
  // job_scheduler_lasting.cc
  /// @returns whether a lasting task does its work, as far as its upstream's last answer tells.
  bool IsAtWork(const TaskKey& key, const TaskState& task) const;
  /// @returns how many other tasks of the task's step aren't at work.
  int UnavailableBeside(const TaskKey& task);
  /// Chooses an upstream to which a lasting task can move, and holds room for it there until it
  /// starts again. The caller stops the task at once if there is one.
  /// @returns nullptr if the task can't be moved now.
  UpstreamSession* PrepareMove(const TaskKey& task, const UpstreamSession& from, Milliseconds now);
  /// Keeps the room that comes free on one upstream for a lasting task that fits nowhere yet, so
  /// that shorter tasks don't take it.
  /// @returns whether the room is expected sooner than a further upstream could be added.
  bool HoldFutureRoom(const WaitingStep& waiting, const TaskKey& task,
                      std::vector<UpstreamCandidate>* candidates, Milliseconds now);
  void HoldRoom(const TaskKey& task, const Capacity& capacity, UpstreamSession* session,
                Milliseconds now, Milliseconds room_expected_at);
  void DropHold(const TaskKey& task);
  /// Drops holds whose task doesn't wait for them any more or whose upstream can't be used.
  void DropStaleHolds(Milliseconds now);
  /// @returns whether a placed task is being stopped or has to leave its upstream.
  bool IsMoving(const TaskKey& key, const TaskState& task, Milliseconds now);
  static PackedTask PackedTaskOf(const TaskKey& task, const StepSpec& spec, int count);
  /// Counts tasks that found no room for the need of their pool.
  void NoteUnplaced(const WaitingStep& waiting, int tasks);
  /// @returns how many upstreams a service needs for its lasting tasks: those on which they could
  /// be packed, and more if tasks have no room or have to leave an upstream that is draining,
  /// released or doesn't answer.
  int MinUpstreamsForLasting(const ServiceName& service, Milliseconds now) const;
  /// @returns whether such an event of the task's step hasn't been logged for kWaitReportMs.
  bool IsReportDue(Event event, const TaskKey& task, Milliseconds now);
  void ReportUnplaced(const WaitingStep& waiting, const TaskKey& task, Milliseconds now);

  SchedulerOptions m_options;
  std::map<AccountName, ClientAccount> m_accounts;  ///< Empty in a deployment without accounts.
  AccountShares m_shares;
  std::shared_ptr<AccountUsage> m_usage = std::make_shared<AccountUsage>();
  std::map<AccountName, AccountPass> m_account_passes;  ///< Accounts with limits.
  std::map<AccountName, Milliseconds> m_limit_reports;  ///< When a waiting task was last logged.
  std::map<JobId, std::unique_ptr<Job>> m_jobs;
  std::map<JobId, Ended> m_results;
  /// When jobs of a queue were last found, see HasJobsOf.
  std::map<QueueName, Milliseconds> m_queue_jobs_seen_at;
  Milliseconds m_results_expire_at{0};  ///< Unix time of the next search for expired results.
  std::map<UpstreamId, UpstreamSession> m_sessions;
  /// Addresses at which another incarnation answers.
  std::map<UpstreamId, Milliseconds> m_ignored_until;
  std::map<UpstreamId, Milliseconds> m_release_holds;  ///< Release holds of unknown upstreams.
  /// A forgotten upstream for which orders may still be under way.
  struct FormerSession {
    OrderTarget target;
    Milliseconds until{0};
  };
  std::map<UpstreamId, FormerSession> m_former_sessions;
  std::uint64_t m_highest_fencing_token = 0;
  std::map<std::string, std::string> m_metadata;

  std::uint64_t m_change = 0;
  std::uint64_t m_durable = 0;
  bool m_urgent = false;
  std::map<std::uint64_t, std::string> m_dirty;       ///< Unstored items by change number.
  std::map<std::string, std::uint64_t> m_dirty_item;  ///< Change number by unstored item.

  std::map<JobId, JobProgress> m_restored_progress;
  /// Time by which leases that earlier holders granted by the right clock have ended.
  Milliseconds m_inherited_lease_end{0};
  bool m_inherited_pending = false;
  Milliseconds m_no_moves_before{0};  ///< A new holder moves no tasks before.
  bool m_fenced_out = false;
  HolderRights m_rights;
  std::vector<UpstreamOrder> m_orders;
  struct MeasuredLoad {
    ServiceLoad load;
    Milliseconds at{0};
  };
  std::map<ServiceName, MeasuredLoad> m_loads;
  OverloadControl m_overload;
  std::map<ServiceName, std::int64_t> m_cpu_waiting;  ///< See ServiceDemand.
  std::int64_t m_unanswered_bytes = 0;  ///< See SchedulerOptions::max_unanswered_bytes.
  bool m_start_window_full = false;     ///< The last placement left tasks for later.
  /// The last placement left tasks for upstreams from which many starts have no answer yet.
  bool m_starts_await_answers = false;
  int m_placements_left = 0;    ///< Of the present pass, see kMaxPlacementsPerPass.
  int m_wait_reports_left = 0;  ///< Of the present pass, see kMaxWaitReportsPerPass.
  /// The upstream that keeps room for a lasting task, see UpstreamSession::held.
  struct Hold {
    UpstreamId upstream;
    Milliseconds chosen_at{0};
    Milliseconds room_expected_at{0};
  };
  std::map<TaskKey, Hold> m_holds;
  /// Lasting tasks that found no room at the last placement, and get none before a further upstream
  /// could be added.
  std::map<ServiceName, std::vector<PackedTask>> m_unplaced_lasting;
  /// Steps for which no upstream can get room, until when this isn't checked again.
  std::map<StepKey, Milliseconds> m_no_room_until;
  /// Candidates of the moves of one pass.
  std::optional<std::vector<UpstreamCandidate>> m_move_candidates;
  /// Numbers of tasks that aren't at work, of the steps that were asked for in this pass.
  std::map<StepKey, int> m_unavailable;
  /// Released upstreams that still run tasks, see FindBusyReleased; of one pass.
  std::optional<std::vector<UpstreamCandidate>> m_released_candidates;
  /// When the waiting lasting tasks of a step, or those that can't be moved, were last logged.
  std::map<std::pair<Event, StepKey>, Milliseconds> m_wait_reports;
  std::map<ServiceName, OfferedLoad> m_offered;
  RunDurations m_durations;
  Milliseconds m_copies_checked_at{0};
  std::map<QueueName, Milliseconds> m_durations_reported;  ///< Last report by queue.
  struct PlannedCapacity {
    std::int64_t millicores = 0;
    Milliseconds until{0};  ///< The planner updates it well before.
  };
  std::map<ServiceName, PlannedCapacity> m_planned;
  Milliseconds m_next_due{0};
  Milliseconds m_unix_offset{0};
};

}  // namespace endivewood
