/// @file
/// Compile-time constants, each with its unit and its reason.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace endivewood::config {

/// Maximum size of a request body in bytes. Larger data belongs in the caller's object store.
inline constexpr std::size_t kMaxBodyBytes = 1 << 20;

/// Maximum size in bytes of a header value that a caller sets.
inline constexpr std::size_t kMaxHeaderBytes = 256;

/// Maximum threads of a caller listener. cxxtools uses one thread for each request in progress.
inline constexpr unsigned kMaxHttpThreads = 600;

/// Threads that a listener starts with and keeps when idle.
inline constexpr unsigned kMinHttpThreads = 8;

/// Milliseconds after which an idle caller connection is closed.
inline constexpr std::int64_t kHttpKeepAliveMs = 30000;

/// Record ids that the fleet fold keeps to detect repeated appends. An author whose append got no
/// answer finds out its result within the append timeout, in which far fewer records are added.
inline constexpr std::size_t kRecentRecordIds = 4096;

/// Milliseconds that a read of a stream waits for new records before it returns none.
inline constexpr std::int64_t kFollowWaitMs = 1000;

/// Maximum number of records that a read of a stream returns.
inline constexpr std::size_t kFollowBatch = 512;

/// Milliseconds after a failed platform call until the next attempt.
inline constexpr std::int64_t kFollowRetryMs = 200;

/// Milliseconds after which an unanswered platform call counts as failed.
inline constexpr std::int64_t kPlatformTimeoutMs = 2000;

/// Records after which a new snapshot is appended. At startup a reader applies at most about twice
/// as many records, which takes a few milliseconds.
inline constexpr std::uint64_t kSnapshotIntervalRecords = 256;

/// Maximum age of the newest snapshot in milliseconds: a third of the shortest retention that the
/// log service must have (600 s, that of idempotency keys), so that two are always retained.
inline constexpr std::int64_t kSnapshotMaxAgeMs = 200000;

/// Milliseconds that an entry waits for each higher-ranked entry before it appends a snapshot.
inline constexpr std::int64_t kSnapshotRankMs = 3000;

/// Milliseconds between two snapshot attempts of one entry: an append has a result or has timed out
/// by then.
inline constexpr std::int64_t kSnapshotRetryMs = 2000;

/// Interval in milliseconds at which an entry checks whether a snapshot is due.
inline constexpr std::int64_t kSnapshotCheckMs = 500;

// Request path.

/// Milliseconds for which an idempotency key may be used, from the time that it contains. The
/// documented limit of 600 s bounds the size of the fold's state and allows records to expire.
inline constexpr std::int64_t kClaimRetentionMs = 600000;

/// Milliseconds by which the clocks of callers, entries and the log service may differ.
inline constexpr std::int64_t kClaimClockSkewMs = 60000;

/// Milliseconds for which a fence is kept. An author that is paused for longer reads the fence from
/// the stream or finds its offset expired, and continues as a new incarnation.
inline constexpr std::int64_t kFenceRetentionMs = 86400000;

/// Maximum total size in bytes of the recorded results that a process retains; an entry has 128 MB
/// of memory. The result code is always retained.
inline constexpr std::size_t kMaxRetainedResultBytes = 32 << 20;

/// Maximum size in bytes of a result that is recorded with its body. Of larger results only the
/// code is recorded.
inline constexpr std::size_t kMaxRecordedResultBytes = 64 << 10;

/// Idempotency keys above which an entry makes no further claims: 600 s at 160 keys per second.
inline constexpr std::size_t kMaxClaimKeys = 100000;

/// Maximum number of events in one append of claims.
inline constexpr std::size_t kMaxClaimBatch = 256;

/// Maximum bytes of events in one append of claims, unless a single event is larger.
inline constexpr std::size_t kMaxClaimBatchBytes = 512 << 10;

/// Rate limit of an entry's claim appends per second. The log service takes several hundred appends
/// per second, which nine entries share with the other streams.
inline constexpr std::int64_t kClaimAppendsPerSecond = 30;

/// Burst size of the rate limit of claim appends.
inline constexpr std::int64_t kClaimAppendBurst = 10;

/// Milliseconds that a request waits for its claim to appear in the stream.
inline constexpr std::int64_t kClaimTimeoutMs = 3000;

/// Heartbeat interval in milliseconds of an entry that holds or waits for a claim.
inline constexpr std::int64_t kAuthorHeartbeatMs = 1000;

/// Milliseconds of log time without a heartbeat after which an incarnation is fenced: five missed
/// heartbeats. A wrong fence leads to an "unknown effect" answer, never to a second run.
inline constexpr std::int64_t kFenceAfterMs = 5000;

/// Maximum size of a peer frame in bytes: the largest log record and its envelope.
inline constexpr std::size_t kMaxFrameBytes = (4 << 20) + 4096;

/// Maximum size in bytes of the hello frame, by which the sender identifies itself.
inline constexpr std::size_t kMaxHelloBytes = 1024;

/// Maximum bytes buffered for a peer that doesn't read. The connection is closed above it.
inline constexpr std::size_t kMaxPeerBacklogBytes = 3 * kMaxFrameBytes;

/// Interval of peer heartbeats in milliseconds. A change of the applied offset sends one at once.
inline constexpr std::int64_t kHeartbeatMs = 500;

/// Milliseconds without a message after which a peer is suspected: two lost heartbeats and half an
/// interval of delay. Below the 2 s in which urgent work and the work of a leaving instance must
/// continue elsewhere.
inline constexpr std::int64_t kPeerSuspectMs = 1500;

/// Milliseconds without a message after which a peer's connections are closed. A process that is
/// paused for less (stopped or swapped out) keeps its grants.
inline constexpr std::int64_t kPeerTimeoutMs = 5000;

/// Interval in milliseconds at which peers are checked, and the minimum between two heartbeats.
inline constexpr std::int64_t kPeerTickMs = 20;

/// Timeout of a connection attempt to a peer and time between two attempts, in milliseconds.
inline constexpr std::int64_t kPeerConnectMs = 500;
inline constexpr std::int64_t kPeerReconnectMs = 200;

/// Milliseconds for which an entry that can read the log stays behind a peer before it requests the
/// missing records from it: the log usually delivers them sooner. An entry without a connection to
/// the log requests them at once.
inline constexpr std::int64_t kRelayDelayMs = 300;

/// Milliseconds after which an unanswered request for records goes to another peer: a third of the
/// 2 s in which a change must take effect.
inline constexpr std::int64_t kRelayRetryMs = 600;

/// Maximum number and bytes of the records that an entry keeps for peers. A peer that is further
/// behind gets the complete state.
inline constexpr std::size_t kRelayRecords = 1024;
inline constexpr std::size_t kRelayBytes = 2 << 20;

/// Milliseconds that a reader whose offset has expired waits for the state of a peer before it
/// searches the log for a snapshot. The peer has verified every snapshot that it read.
inline constexpr std::int64_t kPeerStateWaitMs = 1000;

/// Maximum number of waiting slot requests per peer, the same as the threads of a caller listener.
inline constexpr std::size_t kMaxRemoteAcquires = 600;

/// Milliseconds for which the result of long work can be requested. Longer than an idempotency key
/// can be used, so that a retried request finds the first one.
inline constexpr std::int64_t kLongResultRetentionMs = 3600000;

/// Milliseconds after which unfinished long work is recorded again, before its records expire.
inline constexpr std::int64_t kLongRenewMs = 300000;

/// Threads that run long work at an entry; each holds one upstream slot at a time.
inline constexpr int kLongRunners = 64;

/// Maximum runners per service, so that one service's full pool doesn't block the long work of
/// other services.
inline constexpr int kLongRunnersPerService = 32;

/// Number of unfinished long requests of all entries at which no more are accepted.
inline constexpr std::size_t kMaxUnfinishedLongWork = 5000;

/// Milliseconds before long work that got no slot is retried.
inline constexpr std::int64_t kLongRetryMs = 500;

/// Interval in milliseconds at which an entry polls whether long work that it has sent still runs.
/// After three answers that it doesn't, the connection counts as lost, long before the run timeout.
inline constexpr std::int64_t kLongProbeMs = 1000;

/// Interval in milliseconds at which an adopted task is polled.
inline constexpr std::int64_t kAdoptPollMs = 200;

/// Maximum number of caller requests in progress at an entry. The remaining threads of the listener
/// refuse requests and answer polls for results.
inline constexpr int kMaxRequestsInProgress = 500;

/// Maximum number of requests per service in progress at an entry, so that no service can occupy
/// every thread.
inline constexpr int kMaxRequestsPerService = 250;

/// Maximum value in milliseconds of the Deadline-Ms header.
inline constexpr std::int64_t kMaxDeadlineMs = 86400000;

/// Maximum number of failed calls of an idempotent request. Each goes to another upstream.
inline constexpr int kMaxFailedCalls = 3;

/// Maximum number of calls of a request that upstreams refuse; then it is refused as overload.
inline constexpr int kMaxRefusedCalls = 50;

/// Milliseconds after which an idle connection to an upstream is closed. Below the keep-alive
/// timeout of upstreams, so that reused connections are rarely closed already.
inline constexpr std::int64_t kUpstreamIdleMs = 10000;

/// Maximum number of idle connections to an upstream, which accepts 64 from all entries together.
inline constexpr std::size_t kUpstreamIdleConnections = 8;

/// Interval in milliseconds at which the slot allocator receives the current fleet view.
inline constexpr std::int64_t kViewPollMs = 20;

/// Milliseconds that a graceful stop waits for the requests in progress: covers the longest usual
/// run timeout and queue deadline.
inline constexpr std::int64_t kStopLimitMs = 35000;

/// Maximum length of a queue. At the smallest pool of a data centre (16 slots, work of 100 ms), a
/// longer queue means a wait of more than 6 s, which exceeds every usual deadline.
inline constexpr std::size_t kQueueLimit = 1000;

/// Interval in milliseconds at which the dispatcher checks for expired deadlines.
inline constexpr std::int64_t kDispatchTickMs = 5;

/// The same interval while no request waits; it also bounds the delay of probes of ejected
/// upstreams. An idle entry may use 2% of a core for control, and ticks of 5 ms take a large share
/// of that.
inline constexpr std::int64_t kDispatchIdleTickMs = 50;

/// Distinct instances on which a job may fail. Two failures can be two faulty instances of one
/// rack; a third makes the job itself the likely cause.
inline constexpr std::size_t kNotRunnableFailures = 3;

/// Maximum run time of short work in milliseconds; work that takes longer is demoted to the long
/// class. Callers wait for short work, and people notice a wait of about a second.
inline constexpr std::int64_t kShortRunLimitMs = 1000;

/// Assumed duration of a checkpoint in milliseconds until the first one has been observed.
inline constexpr std::int64_t kInitialCheckpointMs = 100;

/// Milliseconds after which an unanswered checkpoint request no longer counts as a slot about to be
/// free.
inline constexpr std::int64_t kCheckpointTimeoutMs = 2000;

/// Milliseconds for which no slot is granted on an upstream that refused as busy: its slots are in
/// use by requests from elsewhere, and a short request takes about this long.
inline constexpr std::int64_t kBusyPauseMs = 50;

/// Milliseconds for which no slot is granted on an upstream that refused as draining or was not
/// reached. The fleet view shows a planned change within 2 s, and failures lead to ejection.
inline constexpr std::int64_t kUnavailablePauseMs = 500;

/// Window in milliseconds over which the arrival rate of short work is averaged; load peaks last
/// for seconds.
inline constexpr double kArrivalWindowMs = 1000.0;

/// Number of observations over which the run time and the class of a service are averaged.
inline constexpr double kRunTimeWindow = 20.0;

// Planner processes.

/// Interval of a planner's ticks in milliseconds; a step of a drain waits at most this long.
inline constexpr std::int64_t kPlannerTickMs = 100;

/// Interval in milliseconds of a planner's heartbeats on the stream `planners`.
inline constexpr std::int64_t kPlannerHeartbeatMs = 1000;

/// Milliseconds of log time without a heartbeat after which a planner counts as stopped: three
/// intervals, so that one slow append doesn't change the leader.
inline constexpr std::int64_t kPlannerTimeoutMs = 3000;

/// Interval in milliseconds at which a planner reads the instance list.
inline constexpr std::int64_t kInstanceListMs = 1000;

/// Interval in milliseconds at which a planner polls each ready worker. A data centre of the target
/// size has about 150 and a call costs about 0.3 ms, so the cost stays near 1% of a core.
inline constexpr std::int64_t kWorkerPollMs = 4000;

/// Milliseconds before a worker that did not answer is polled again.
inline constexpr std::int64_t kWorkerRetryMs = 1000;

// Jobs.

/// Slowest possible rate of a remote clock: the platform specifies an error of up to 2 %.
inline constexpr double kSlowestClockRate = 0.98;

/// Safety margin in milliseconds before a lease counts as expired: answers are delayed, and clocks
/// are read in whole milliseconds.
inline constexpr std::int64_t kLeaseMarginMs = 100;

/// Duration of a lease at an upstream in milliseconds. Long enough for a new holder to take over
/// before running work is lost (about 2.5 s), short enough that the work of an upstream which
/// doesn't answer is restarted soon.
inline constexpr std::int64_t kLeaseMs = 4000;

/// Milliseconds for which a holder that can't confirm its membership continues to extend leases.
/// This limits how long a new holder waits for upstreams that it can't reach.
inline constexpr std::int64_t kLeadershipGraceMs = 6000;

/// Milliseconds that a renewal at an upstream waits for a run to end: with work running, and
/// without.
inline constexpr std::int64_t kBusyRenewWaitMs = 1000;
inline constexpr std::int64_t kIdleRenewWaitMs = 2000;

/// Minimum time in milliseconds between two renewals at one upstream. Each call is charged for, so
/// runs that end within this time are reported by one renewal.
inline constexpr std::int64_t kRenewSpacingMs = 60;

/// Milliseconds before an unanswered renewal is retried.
inline constexpr std::int64_t kRenewRetryMs = 150;

/// Timeout of a renewal in milliseconds, in addition to the time that it waits for an end. A round
/// trip takes about 10 ms, several times that at a busy upstream.
inline constexpr std::int64_t kRenewTimeoutMs = 500;

/// Bytes of a start order beside its payload: headers and fields.
inline constexpr std::int64_t kStartOverheadBytes = 400;

/// Maximum number of start orders without an answer at one upstream: what its connections carry
/// within the orders' timeout if a round trip takes 60 ms, as it does at a busy upstream. Renewals
/// and stops wait behind them.
inline constexpr int kMaxUnansweredStarts = 40;

/// Maximum number of tasks that a placement pass starts or holds room for. The next pass goes on
/// after the process has handled what has arrived meanwhile.
inline constexpr int kMaxPlacementsPerPass = 250;

/// Milliseconds of an instance's link that unanswered start orders may fill: a sixth of their
/// timeout, so that the orders and renewals behind them are still answered in time.
inline constexpr std::int64_t kStartWindowMs = 100;

/// Timeout of a start or stop order in milliseconds.
inline constexpr std::int64_t kOrderTimeoutMs = 600;

/// Milliseconds for which an unanswered order may still be executed. The platform specifies
/// "seconds"; delays of up to 12 s occur.
inline constexpr std::int64_t kMaxOrderDelayMs = 15000;

/// Milliseconds before an unanswered stop order is sent again.
inline constexpr std::int64_t kStopRetryMs = 300;

/// Consecutive failed runs, counted by UpstreamSession::CountFailure, after which an upstream is
/// avoided, and for how many milliseconds. A task that failed elsewhere too doesn't count: a faulty
/// job fails on any upstream.
inline constexpr int kFailedStreakLimit = 3;
inline constexpr std::int64_t kUpstreamAvoidMs = 3000;

/// Milliseconds for which an upstream that refused a start as unhealthy is avoided.
inline constexpr std::int64_t kUnhealthyAvoidMs = 700;

/// Milliseconds for which no task is started on an upstream that reported itself full.
inline constexpr std::int64_t kFullAvoidMs = 300;

/// Milliseconds before a lasting task whose run failed is restarted.
inline constexpr std::int64_t kLastingRetryMs = 200;

/// Interval in milliseconds at which a lasting task without room, or one that should be moved and
/// can't be, is logged again.
inline constexpr std::int64_t kWaitReportMs = 1000;

/// Maximum number of reports of waiting lasting tasks in one placement pass. Each looks at all
/// upstreams.
inline constexpr int kMaxWaitReportsPerPass = 20;

/// Milliseconds until an upstream that is added to a pool can start tasks: the move takes 1.5 s,
/// its registration and first run list up to a second.
inline constexpr std::int64_t kAddUpstreamMs = 2500;

/// Milliseconds for which a step that can get no room on any upstream isn't checked again. Room
/// that is free already is found at once.
inline constexpr std::int64_t kNoRoomRetryMs = 200;

/// Maximum number of lasting tasks for which a scheduler holds room at a time. Each is looked at in
/// every placement pass.
inline constexpr std::size_t kMaxHolds = 1000;

/// Milliseconds after which the upstream that keeps room for a lasting task is chosen again: the
/// tasks that occupy it may take longer than estimated.
inline constexpr std::int64_t kHoldReviewMs = 1000;

/// Milliseconds without progress after which a task is moved, or its estimated run time if longer.
inline constexpr std::int64_t kStalledMs = 1200;

/// Milliseconds within which waiting tasks should start, and the same for tasks that are already
/// late. The demand for cores is derived from them; adding an instance takes two seconds.
inline constexpr std::int64_t kMaxStartDelayMs = 100;
inline constexpr std::int64_t kMaxLateStartDelayMs = 10000;

/// Windows in milliseconds over which the rate of arriving work is measured. The higher rate is
/// used, so that a rising peak is detected within half a second and a short gap doesn't end it.
inline constexpr std::array<std::int64_t, 2> kArrivalRateWindowsMs = {500, 1200};

/// Minimum number of jobs in a window to compute a rate; fewer don't predict the load.
inline constexpr int kArrivalRateMinJobs = 3;

/// Milliseconds for which a job's id is kept, so that retries of its caller aren't counted again.
/// Longer than callers retry.
inline constexpr std::int64_t kArrivalRetentionMs = 20000;

/// Number of past load peaks of all services from which the next ones are predicted; enough for
/// several cycles of ten peaks.
inline constexpr std::size_t kMaxPastPeaks = 64;

/// Milliseconds for which a planner's announcement of a pool's future size is valid. The planner
/// repeats it every kDemandIntervalMs.
inline constexpr std::int64_t kPlannedCapacityMs = 1000;

/// Core-milliseconds of remaining work that delay a job's rank by one millisecond, among jobs that
/// can still be on time. When a peak exceeds the capacity, small jobs give more value per
/// core-second.
inline constexpr std::int64_t kWorkPerRankMs = 32;

/// Share of the cores of running tasks that is counted as demand if they are late: they have little
/// value whenever they end, and another pool may have a peak.
inline constexpr double kLateDemandShare = 0.3;

/// Milliseconds for which the measured load of a service is used for admission. Jobs accepted since
/// are added; what ends within this time changes the expected wait by less than it.
inline constexpr std::int64_t kLoadAgeMs = 20;

/// Response time up to which a late job is still of use to its caller, as a multiple of its
/// objective.
inline constexpr double kMaxUsefulLateness = 3.0;

/// Limits of a job and of what upstreams say of themselves, far above any real one. They keep sums
/// of resources and of work within their types, and one job from using up an instance's memory.
inline constexpr std::int64_t kMaxResource = 10000000;  ///< Millicores, MB or GPUs.
inline constexpr std::int64_t kMaxJobDurationMs = 24LL * 3600 * 1000;
inline constexpr std::int64_t kMaxUnixMs = 4102444800000;  ///< Unix milliseconds of the year 2100.
inline constexpr std::size_t kMaxStepsPerJob = 1000;
inline constexpr std::int64_t kMaxTasksPerJob = 10000;  ///< Of one occurrence.
inline constexpr std::int64_t kMaxTasksOfAllOccurrences = 50000;
inline constexpr int kMaxOccurrencesPerJob = 1000;

/// Core-milliseconds above which the work of one job isn't distinguished: more than any fleet does
/// in a day.
inline constexpr double kMaxJobWork = 1e15;

/// Milliseconds for which the result of a job is kept. The platform requires 120 s; the times of
/// day of two holders may differ by 10 s.
inline constexpr std::int64_t kJobResultRetentionMs = 135000;

/// Interval in milliseconds at which results that are old enough are searched: all are visited.
inline constexpr std::int64_t kExpiryIntervalMs = 1000;

/// Milliseconds for which an instance receives no work after the planner requested its release. The
/// planner repeats the request several times within it and orders a move or maintenance only in its
/// first half.
inline constexpr std::int64_t kReleaseHoldMs = 3000;

/// Milliseconds for which short work may continue on an instance to be released before it is
/// stopped.
inline constexpr std::int64_t kReleaseGraceMs = 4000;

/// Share of a latency-sensitive task's target latency above which best-effort tasks are slowed
/// down, and below which they are sped up again.
inline constexpr double kPaceDownAt = 0.85;
inline constexpr double kPaceUpBelow = 0.55;

/// Minimum time in milliseconds between two changes of pace. Upstreams report the latency of the
/// last half second.
inline constexpr std::int64_t kPaceIntervalMs = 600;

/// Percentage points by which the pace is increased at a time.
inline constexpr int kPaceStepPercent = 25;

/// Maximum number of records in one append to a partition. The platform limits the bytes as well.
inline constexpr std::size_t kMaxBatchRecords = 400;

/// Maximum bytes in one append, below the platform's limit of 2 MiB per call.
inline constexpr std::size_t kMaxBatchBytes = 1 << 20;

/// Maximum number of terms per partition within one generation of the group. Each term needs an
/// epoch of its own; two with the same epoch would use the same sequence and run numbers.
inline constexpr std::uint64_t kTermsPerGeneration = 100;

/// How many of a generation's epochs may also be used as fencing tokens for restarted upstreams.
/// The others are left for terms.
inline constexpr std::uint64_t kRestartTokensPerGeneration = 50;

/// Sequence numbers per epoch, so that epochs don't share any. The log service treats an append
/// with a recently used number as a repeat, whatever its epoch, and doesn't store it.
inline constexpr std::uint64_t kAppendsPerEpoch = 1000000;

/// Run numbers per epoch. The numbers of a holder with a higher epoch start above all of them.
inline constexpr std::uint64_t kRunsPerEpoch = 100000;

/// Milliseconds after its last confirmed join within which a holder may move running work off
/// healthy upstreams. Well below the membership's time to live, after which another holder may do
/// so.
inline constexpr std::int64_t kMaxMoveConfirmationAgeMs = 1000;

/// Milliseconds for which a new holder moves no work: a stop order of the previous holder may still
/// be in transit.
inline constexpr std::int64_t kNewHolderMoveDelayMs = 1500;

/// Milliseconds between two requests to an earlier holder whether it has stopped.
inline constexpr std::int64_t kHandoverRetryMs = 250;

// Maintenance and moves.

/// Intervals in milliseconds of the planner's ticks, of its reads of the instance list and of its
/// demand requests to the schedulers. Each call to the platform is charged for.
inline constexpr std::int64_t kMaintenancePlannerTickMs = 100;
inline constexpr std::int64_t kMachineListIntervalMs = 500;
inline constexpr std::int64_t kDemandIntervalMs = 200;

/// Milliseconds after an order until the instance list reliably shows its effect: the list may be a
/// second old.
inline constexpr std::int64_t kMachineOrderSettleMs = 1500;

/// Milliseconds between two release requests for an instance, and for which the planner relies on
/// the answer that it is released. The scheduler starts no work there for kReleaseHoldMs.
inline constexpr std::int64_t kReleaseIntervalMs = 250;
inline constexpr std::int64_t kReleaseValidMs = 300;

/// Maximum number of a service's instances that are released at a time, for maintenance, and of
/// those with lasting tasks for moves: one in kReleasePoolDivisor, and at least the minimum of that
/// kind. Moves of the others aren't limited: they leave the pool what it needs.
inline constexpr int kMinReleasesPerService = 2;
inline constexpr int kMinMovesPerService = 8;
inline constexpr int kReleasePoolDivisor = 4;

/// Estimated duration in milliseconds of an instance's maintenance and its release before: short
/// tasks end within kReleaseGraceMs, and the platform's maintenance takes about 2 s.
inline constexpr std::int64_t kWaveInstanceMs = 5500;

/// Milliseconds before a wave's deadline at which the maintenance of its last instance should be
/// ordered.
inline constexpr std::int64_t kWaveReserveMs = 4000;

/// Milliseconds without moves out of a pool after one was cancelled because the pool needs its
/// instances: the hold of the cancelled release lasts as long.
inline constexpr std::int64_t kMoveBackoffMs = kReleaseHoldMs;

/// Milliseconds after which a move is cancelled because its instance has not been released.
inline constexpr std::int64_t kMoveTimeoutMs = 6000;

// Instances on the users' platform.

/// Time to live of a group membership in milliseconds, and the interval at which a member renews it
/// by joining again: three joins may fail. The platform requires a time to live of at least 1000.
inline constexpr std::int64_t kMemberTtlMs = 1500;
inline constexpr std::int64_t kJoinIntervalMs = 400;

/// Millicores that count as much as one Mbit/s when instances are compared: an instance of a tenth
/// of a core and 10 Mbit/s reaches the limits of both with the same load.
inline constexpr int kMillicoresPerMbps = 10;

/// A holder of at least this many times an instance's capacity is much larger. An instance leaves
/// the partitions to kMinLargerHolders or more of them: a single one would be a bottleneck, and its
/// loss would leave no holder.
inline constexpr int kMuchLargerFactor = 2;
inline constexpr int kMinLargerHolders = 2;

/// Total capacity of much larger holders, in multiples of an instance's own, with which it leaves
/// the group and below which it joins again: the work of five services and the planner, with some
/// to spare.
inline constexpr std::int64_t kEnoughLargerCapacity = 8;
inline constexpr std::int64_t kScarceLargerCapacity = 4;

/// An instance joins this number divided by its capacity, in milliseconds, after its start, at most
/// kMaxJoinDelayMs: 100 ms with 500 millicores, time for a list of the holders.
inline constexpr std::int64_t kJoinDelayTimesCapacity = 50000;
inline constexpr std::int64_t kMaxJoinDelayMs = 500;

/// Interval in milliseconds at which an instance outside the group reads the list of holders: below
/// a membership's time to live, so that it joins soon after the larger holders are gone.
inline constexpr std::int64_t kStandbyOwnersIntervalMs = 1000;

/// Timeout of a call to the store in milliseconds. A slow store answers within about 300 ms.
inline constexpr std::int64_t kStoreTimeoutMs = 1000;

/// Maximum duration of a call that makes progress, in timeouts of the call: the largest answer of
/// the store, 1 MB, at a quarter of a link of 10 Mbit/s takes 3.2 s.
inline constexpr int kMaxTransferTimeouts = 8;

/// Milliseconds before a failed call to the store is retried.
inline constexpr std::int64_t kStoreRetryMs = 150;

/// Minimum time in milliseconds between two appends to a partition: while callers wait for one, and
/// otherwise. Each call is charged for, so the waiting records share an append.
inline constexpr std::int64_t kUrgentAppendIntervalMs = 30;
inline constexpr std::int64_t kAppendIntervalMs = 150;

/// Milliseconds without a stored append, while one is pending, after which new jobs are refused.
inline constexpr std::int64_t kStoreDelayedMs = 400;

/// Interval in milliseconds at which a holder reads the registry. Its entries are updated by
/// heartbeats every 1.5 s, and a draining upstream must be known within 2 s.
inline constexpr std::int64_t kRegistryIntervalMs = 300;

/// Milliseconds that a read of the configuration waits for a change. After a network partition the
/// read is repeated within this time, which must be well below the 2 s in which a new version must
/// take effect.
inline constexpr std::int64_t kConfigWaitMs = 1200;

/// Milliseconds beyond its wait without an answer after which a read of the configuration is backed
/// up by a second one on another connection: a slow store answers within about 300 ms.
inline constexpr std::int64_t kConfigReadDelayMs = 300;

/// Minimum interval in milliseconds of the reads that check whether the configuration is current:
/// all requests that wait meanwhile share one.
inline constexpr std::int64_t kConfigCheckIntervalMs = 60;

/// Milliseconds for which a request for an unknown queue waits until a read has shown that its
/// instance knows the newest configuration. After that the caller is asked to retry.
inline constexpr std::int64_t kConfigCheckTimeoutMs = 1000;

/// Bytes of requests that may wait for that read at a time: a tenth of the memory of the smallest
/// instances, 160 MB. Some 4,000 usual requests, but only 60 of the largest, 256 KB.
inline constexpr std::size_t kMaxWaitingRequestBytes = 16 << 20;

/// Bytes that a waiting request holds beside its body and headers: an estimate.
inline constexpr std::size_t kWaitingRequestOverheadBytes = 2048;

/// Interval in milliseconds at which the list of partition owners is read when nothing requires it
/// sooner.
inline constexpr std::int64_t kOwnersIntervalMs = 3000;

/// Delay before a call to the holder of a partition is retried, and timeout of one attempt, in
/// milliseconds.
inline constexpr std::int64_t kForwardRetryMs = 60;
inline constexpr std::int64_t kForwardTimeoutMs = 1200;

/// Milliseconds without any answer after which a connection to another instance is replaced. A call
/// with a shorter timeout gives no evidence about the connection.
inline constexpr std::int64_t kLinkTimeoutMs = 500;

/// Milliseconds without an answer of the store after which an instance asks its peers for the
/// holders of the partitions, and the interval of these requests.
inline constexpr std::int64_t kStoreUnreachableMs = 700;
inline constexpr std::int64_t kAskPeersIntervalMs = 250;

/// Milliseconds for which a submission waits until the holder of its partition is known before it
/// is refused: a quarter of the shortest objective.
inline constexpr std::int64_t kHolderWaitMs = 150;

/// Milliseconds in which the holders of a queue's other services have to say whether they have a
/// job, before a submission is refused: within a link's timeout a reachable holder has answered.
inline constexpr std::int64_t kJobLookupTimeoutMs = kLinkTimeoutMs;

/// Interval in milliseconds at which a holder looks again whether it has any jobs of a queue.
inline constexpr std::int64_t kQueueJobsCheckMs = 1000;

/// Processor time per upstream of a pool in a peak, in millicores, and upstreams per Mbit/s of
/// link, above which other instances carry a holder's orders: about 15 starts, ends and renewals a
/// second and upstream take 38 us each and 1 kB.
inline constexpr std::int64_t kMillicoresPerUpstream = 5;
inline constexpr std::int64_t kUpstreamsPerMbps = 5;

/// Interval in milliseconds at which a carrier is asked for its clock, and time without any answer
/// after which it isn't used: two probes may be lost.
inline constexpr std::int64_t kCarrierProbeMs = 400;
inline constexpr std::int64_t kCarrierSilenceMs = 1000;

/// Milliseconds for which a carrier that didn't answer isn't used, for which a holder sends the
/// orders of an upstream itself after its carrier had no answer of it, and for which the choice of
/// a carrier is kept.
inline constexpr std::int64_t kCarrierAvoidMs = 3000;
inline constexpr std::int64_t kCarrierBypassMs = 3000;
inline constexpr std::int64_t kCarrierAssignmentMs = 1000;

/// Milliseconds within which a carrier may send an order: the time on the way, a busy process and
/// the error of the clock reading. Well below the time after which another holder may act.
inline constexpr std::int64_t kCarryValidMs = 300;

/// Milliseconds by which a carrier's clock can fall behind the bound that is known of it, by its
/// slower pace over the longest silence; more means that its process has started again.
inline constexpr std::int64_t kMaxCarrierLagMs = 200;

/// Milliseconds that the answer of a carrier may take beyond that of the upstream.
inline constexpr std::int64_t kCarryMarginMs = 150;

/// Maximum number of orders in one batch for a carrier.
inline constexpr std::size_t kMaxCarriedOrders = 256;

/// Milliseconds before a caller's deadline at which it gets an answer at the latest.
inline constexpr std::int64_t kReplyMarginMs = 150;

/// Deadline in milliseconds of a call that sets none.
inline constexpr std::int64_t kDefaultDeadlineMs = 3000;

/// Milliseconds after which a caller should retry when a partition has no known holder: about the
/// duration of a failover.
inline constexpr std::int64_t kFailoverRetryMs = 1000;

/// Delay in milliseconds from which a late tick is logged: a noticeable part of the 600 ms in which
/// the shortest requests should be answered.
inline constexpr std::int64_t kReportedDelayMs = 100;

/// Share of an instance's link above which its use is logged. Queues grow before a link is full.
inline constexpr double kBusyLinkShare = 0.5;

/// Interval in milliseconds over which the use of the link is measured.
inline constexpr std::int64_t kLinkReportMs = 1000;

/// Milliseconds by which a node's tick is delayed so that it handles several events at once.
inline constexpr std::int64_t kNodeTickDelayMs = 4;

/// Milliseconds without any answer of the store after which an instance isn't ready and takes no
/// new connections.
inline constexpr std::int64_t kReadyStoreTimeoutMs = 4000;

/// Milliseconds for which an instance continues to answer after a stop signal. The entry point
/// needs up to two probes, one per second, to notice that the instance takes no new connections.
inline constexpr std::int64_t kStopGraceMs = 3000;

}  // namespace endivewood::config
