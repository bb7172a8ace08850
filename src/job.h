/// @file
/// State of one job: which tasks are done, which are waiting, and where the others run.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs.h"

namespace endivewood {

/// A run of a task that was ordered to start and isn't known to have ended.
struct PlacedRun {
  UpstreamId upstream;
  std::uint64_t run = 0;

  bool operator==(const PlacedRun&) const = default;
};

/// A failed run of a task.
struct FailedRun {
  std::uint64_t run = 0;
  /// Whether the failure has been acknowledged to the upstream. The platform counts a failure only
  /// after that.
  bool acknowledged = true;

  bool operator==(const FailedRun&) const = default;
};

struct TaskState {
  bool done = false;
  std::vector<FailedRun> failed;
  std::uint64_t failed_at_change = 0;  ///< Change number of the last failure.
  int runs = 0;  ///< Runs ordered by this holder; used for unique run numbers.
  std::optional<PlacedRun> placed;
  /// Second run beside `placed`, where the step is speculative.
  std::optional<PlacedRun> copy;
  std::string checkpoint;
  Milliseconds not_before{0};               ///< Earliest time of the next run.
  std::optional<Milliseconds> requeued_at;  ///< When the end of the previous run became known.
  /// Upstreams on which the task failed, stalled or went missing.
  std::vector<UpstreamId> avoided;
  /// Restored from the store and not yet found in a run list; the task may be running on an
  /// unreachable upstream.
  bool inherited = false;
};

struct StepState {
  std::vector<TaskState> tasks;
  int done = 0;
  int placed = 0;
  int runs = 0;  ///< Runs of the whole gang.
};

/// One execution of all steps of a job.
struct Occurrence {
  int number = 0;
  Milliseconds due{0};  ///< By the scheduler's clock.
  std::vector<StepState> steps;
  bool complete = false;
  /// Expected length of the critical path through the steps that aren't done.
  Milliseconds remaining_path{0};
  std::int64_t remaining_work = 0;  ///< CPU time of the tasks that aren't done, core-milliseconds.
};

/// Record that is stored when a job is accepted.
struct JobRecord {
  JobSpec spec;
  QueuePolicy policy;
  Milliseconds accepted{0};  ///< Unix time.

  bool operator==(const JobRecord&) const = default;
};

/// Completed tasks and failed runs of one step.
struct StepProgress {
  std::vector<int> done;              ///< Indexes of done tasks.
  std::vector<std::uint64_t> failed;  ///< Task index and run number, alternating.

  bool operator==(const StepProgress&) const = default;
};

struct OccurrenceProgress {
  int number = 0;
  bool complete = false;
  std::vector<StepProgress> steps;

  bool operator==(const OccurrenceProgress&) const = default;
};

/// Record of a job's progress; each update replaces the whole record.
struct JobProgress {
  JobState state = JobState::kQueued;
  std::vector<OccurrenceProgress> occurrences;

  bool operator==(const JobProgress&) const = default;
};

/// Record that replaces the others after a job has ended.
struct JobResult {
  QueueName queue;
  JobState state = JobState::kComplete;
  Milliseconds ended{0};  ///< Unix time.
  AccountName account;    ///< As in the job's JobSpec.

  bool operator==(const JobResult&) const = default;
};

/// Specification and run-time state of a job.
class Job {
 public:
  /// @param arrived arrival time by the scheduler's clock.
  /// @param durations learned duration of one task by step; empty: the estimates.
  Job(JobRecord record, Milliseconds arrived, std::vector<Milliseconds> durations = {});

  const JobRecord& record() const { return m_record; }
  const JobSpec& spec() const { return m_record.spec; }
  const QueuePolicy& policy() const { return m_record.policy; }
  Milliseconds arrived() const { return m_arrived; }

  /// Creates the occurrences that are due by `now`.
  /// @param unix_offset Unix time minus the scheduler's clock.
  void CreateDueOccurrences(Milliseconds now, Milliseconds unix_offset);

  /// @returns the due time of the next occurrence, or no value if all have been created.
  std::optional<Milliseconds> NextDue(Milliseconds unix_offset) const;

  std::map<int, Occurrence>& occurrences() { return m_occurrences; }
  const std::map<int, Occurrence>& occurrences() const { return m_occurrences; }

  /// @returns the task, or nullptr if the job has no such task.
  TaskState* Find(const TaskKey& key);
  const StepSpec& StepOf(const TaskKey& key) const { return spec().steps[key.step]; }
  /// @returns the expected duration of one task of a step.
  Milliseconds DurationOf(int step) const { return m_durations[static_cast<std::size_t>(step)]; }

  /// @returns whether a task of the same step and occurrence is done.
  bool AnyTaskDone(const TaskKey& key) const;

  /// @returns whether every step that `step` depends on is done.
  bool DependenciesDone(const Occurrence& occurrence, int step) const;

  /// Marks a task, or its whole gang, as done, and completes the job after its last occurrence.
  /// @returns whether anything changed.
  bool MarkDone(const TaskKey& key);

  /// @returns the remaining CPU time of all created occurrences in core-milliseconds.
  std::int64_t RemainingWork() const;

  /// @returns the latest end at which an occurrence counts as on time.
  Milliseconds OnTimeDeadlineOf(const Occurrence& occurrence) const;

  /// @returns whether any incomplete occurrence can still end by its on-time deadline.
  bool CanBeOnTime(Milliseconds now) const;

  bool lasting() const { return m_lasting; }
  Milliseconds critical_path() const { return m_critical_path; }
  std::int64_t work() const { return m_work; }

  JobState state = JobState::kQueued;
  bool started = false;                  ///< Whether any task is known to have run.
  bool record_stored = false;            ///< The job record is in the store or in a batch.
  std::uint64_t accepted_at_change = 0;  ///< Change number of the acceptance.
  std::uint64_t ended_at_change = 0;     ///< Change number of the final state.
  Milliseconds ended_unix{0};
  // Not stored: a new holder judges accepted jobs alike.
  bool surplus = false;    ///< Sent beyond the rate of its account, see AccountRates.
  bool preferred = false;  ///< Of a size that was served too seldom, see SizeClasses.

  JobProgress Progress() const;
  void Apply(const JobProgress& progress);

 private:
  Occurrence MakeOccurrence(int number, Milliseconds due) const;
  int OccurrenceCount() const { return spec().occurrences > 0 ? spec().occurrences : 1; }
  Milliseconds DueTimeOf(int number, Milliseconds unix_offset) const;
  Milliseconds CriticalPathOf(const Occurrence* occurrence) const;
  /// Call when an occurrence was created or a task of it was done.
  void UpdateRemaining(Occurrence* occurrence);

  JobRecord m_record;
  Milliseconds m_arrived;
  std::vector<Milliseconds> m_durations;  ///< By step.
  std::map<int, Occurrence> m_occurrences;
  int m_next_occurrence = 0;
  bool m_lasting = false;
  Milliseconds m_critical_path{0};
  std::int64_t m_work = 0;
  std::int64_t m_created_work = 0;  ///< Sum of Occurrence::remaining_work.
};

/// @returns whether a job hasn't ended.
bool IsOpen(const Job& job);

/// Keys of the records in a partition of the job store.
std::string JobKey(const JobId& job);
std::string ProgressKey(const JobId& job);
std::string UpstreamKey(const UpstreamId& upstream);

/// Record of an upstream on which tasks may be running.
struct UpstreamRecord {
  UpstreamId id;
  ServiceName service;
  Endpoint endpoint;
  /// Start time of the incarnation that may be running tasks; 0 when not known. Records of earlier
  /// builds lack this and the next field.
  std::int64_t start_time = 0;
  bool follows_incarnation = false;  ///< The holder had used a former one until recently.

  bool operator==(const UpstreamRecord&) const = default;
};

/// A decoded record of a partition.
using JobStoreRecord =
    std::variant<std::monostate, JobRecord, JobResult, JobProgress, UpstreamRecord>;

std::string EncodeJobRecord(const JobRecord& record);
std::string EncodeJobResult(const JobResult& result);
std::string EncodeProgress(const JobProgress& progress);
std::string EncodeUpstreamRecord(const UpstreamRecord& record);

/// @returns monostate if the record is of another kind or can't be decoded.
JobStoreRecord DecodeJobStoreRecord(const KeyedRecord& record);

/// @returns the job id contained in a record's key.
JobId JobIdOfKey(const std::string& key);

}  // namespace endivewood
