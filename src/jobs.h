/// @file
/// Types for jobs, upstreams and the orders sent to upstreams. A job consists of steps with
/// dependencies, a step of tasks that run on upstreams.
#pragma once

#include <endivewood/endivewood.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endivewood {

using UpstreamId = Name<struct UpstreamIdTag>;
using JobId = Name<struct JobIdTag>;
using QueueName = Name<struct QueueTag>;
/// A client account: a customer of the deployment.
using AccountName = Name<struct AccountTag>;

/// A queue and a service that takes, or has taken, its jobs.
struct QueueService {
  QueueName queue;
  ServiceName service;

  auto operator<=>(const QueueService&) const = default;
};

/// Resource requirements and behaviour of the tasks of one step.
struct StepSpec {
  int count = 0;
  int cpu_millicores = 0;
  int memory_mb = 0;
  int gpus = 0;
  Milliseconds estimate{0};  ///< Run time of one task as estimated by the caller.
  std::vector<int> depends;  ///< Indexes of the steps that must be done first.
  bool gang = false;         ///< The tasks make progress only while all of them run.
  bool same_rack = false;
  std::string required_label;
  RackName data_rack;
  int max_per_upstream = 0;  ///< 0: no limit.
  bool saves_progress = false;
  bool speculative = false;
  /// Tasks run until the job is cancelled and are restarted whenever they end.
  bool lasting = false;
  std::string image;
  Milliseconds target_latency{0};  ///< 0: none.
  bool best_effort = false;        ///< Uses leftover CPU time and reserves none.
  /// Lasting tasks that planned moves may make unavailable at the same time.
  int max_unavailable = 0;

  bool operator==(const StepSpec&) const = default;
};

/// A job as its caller submitted it.
struct JobSpec {
  JobId id;
  QueueName queue;
  ServiceName service;
  std::string payload;
  std::vector<StepSpec> steps;
  int occurrences = 0;        ///< 0: one occurrence, due on arrival.
  Milliseconds first_due{0};  ///< Unix time.
  Milliseconds interval{0};
  AccountName account;  ///< Invalid for a queue that needs no account.

  bool operator==(const JobSpec&) const = default;
};

/// @returns whether a job's values are within the limits of config.h and its steps depend on
/// earlier ones only. A job that isn't must not be scheduled, whoever sent or stored it.
bool IsWithinLimits(const JobSpec& spec);

/// Timing of the tickets that a task needs before it may start on an upstream.
struct TicketPolicy {
  Milliseconds base_time{0};  ///< Fixed part of the response time.
  /// Additional response time for each upstream in the request.
  Milliseconds time_per_upstream{0};
  Milliseconds ticket_validity{0};

  bool operator==(const TicketPolicy&) const = default;
};

/// Configured policy of a queue.
struct QueuePolicy {
  int priority = 0;           ///< 0 is the highest priority.
  int attempts = 1;           ///< Failed runs of one task that make its job fail.
  double stretch = 1.0;       ///< Factor on the critical path, see `objective`.
  Milliseconds objective{0};  ///< A job is on time up to stretch * critical path + objective.
  std::optional<TicketPolicy> ticket_policy;

  bool operator==(const QueuePolicy&) const = default;
};

/// Job states as reported to callers.
enum class JobState : std::uint8_t { kQueued = 0, kRunning, kComplete, kFailed, kCancelled };

/// Identifies one task. Upstreams know the task by the name that str() returns.
struct TaskKey {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  std::string str() const;
  /// @returns the key, or no value if the text isn't a task name.
  static std::optional<TaskKey> Parse(const std::string& text);
  auto operator<=>(const TaskKey&) const = default;
};

/// Identifies the tasks of one step in one occurrence of a job.
struct StepKey {
  JobId job;
  int occurrence = 0;
  int step = 0;

  auto operator<=>(const StepKey&) const = default;
};

inline StepKey StepKeyOf(const TaskKey& task) {
  return {.job = task.job, .occurrence = task.occurrence, .step = task.step};
}

/// Resources of an upstream, or requirements of a task.
struct Capacity {
  int cpu_millicores = 0;
  int memory_mb = 0;
  int gpus = 0;

  bool operator==(const Capacity&) const = default;
  Capacity operator+(const Capacity& other) const {
    return {.cpu_millicores = cpu_millicores + other.cpu_millicores,
            .memory_mb = memory_mb + other.memory_mb,
            .gpus = gpus + other.gpus};
  }
  Capacity operator-(const Capacity& other) const {
    return {.cpu_millicores = cpu_millicores - other.cpu_millicores,
            .memory_mb = memory_mb - other.memory_mb,
            .gpus = gpus - other.gpus};
  }
  /// @returns whether this capacity contains `needed`. A resource that isn't needed always
  /// suffices.
  bool Holds(const Capacity& needed) const {
    return (needed.cpu_millicores <= 0 || needed.cpu_millicores <= cpu_millicores) &&
           (needed.memory_mb <= 0 || needed.memory_mb <= memory_mb) &&
           (needed.gpus <= 0 || needed.gpus <= gpus);
  }
};

/// Registry entry in which an upstream describes itself.
struct UpstreamEntry {
  UpstreamId id;
  ServiceName service;
  Endpoint endpoint;
  DataCentreName data_centre;
  Capacity capacity;
  std::vector<std::string> labels;  ///< Kind and rack.
  RackName rack;
  bool draining = false;
  Milliseconds remaining{0};    ///< While draining: minimum time until it stops.
  std::int64_t start_time = 0;  ///< Unix milliseconds of its start; 0 when not reported.

  bool operator==(const UpstreamEntry&) const = default;
};

/// A key and its latest value; an empty value deletes the key.
struct KeyedRecord {
  std::string key;
  std::string value;

  bool operator==(const KeyedRecord&) const = default;
};

// Orders to upstreams.

/// The incarnation of an upstream for which an order is meant. The order may reach a later one.
struct OrderTarget {
  std::uint64_t incarnation = 0;    ///< See UpstreamSession::incarnation.
  std::uint64_t fencing_token = 0;  ///< Rises with the holder and with the incarnation.
  std::int64_t start_time = 0;      ///< As the incarnation states it; 0: not known.

  bool operator==(const OrderTarget&) const = default;
};

struct StartOrder {
  UpstreamId upstream;
  TaskKey task;
  std::uint64_t run = 0;
  std::string payload;
  std::int64_t lease_until = 0;  ///< By the upstream's clock, milliseconds.
  std::string checkpoint;
  std::string ticket;
  OrderTarget target = {};
};

struct StopOrder {
  UpstreamId upstream;
  TaskKey task;
  std::uint64_t run = 0;
  OrderTarget target = {};
};

/// Sets the pace of a task in percent of its full speed.
struct PaceOrder {
  UpstreamId upstream;
  TaskKey task;
  std::uint64_t run = 0;
  int percent = 100;
  OrderTarget target = {};
};

/// Extends the lease, acknowledges ended runs and requests the run list.
struct RenewOrder {
  UpstreamId upstream;
  /// New lease end by the upstream's clock; no value: don't extend the lease.
  std::optional<std::int64_t> lease_until;
  std::uint64_t acknowledge_up_to = 0;  ///< Last acknowledged EndedRow::number.
  Milliseconds wait{0};  ///< Long poll: answer at the next end of a run, at the latest after this.
  Milliseconds sent_at{0};
  OrderTarget target = {};
};

using UpstreamOrder = std::variant<StartOrder, StopOrder, PaceOrder, RenewOrder>;

/// Outcome of an order.
enum class OrderOutcome : std::uint8_t {
  kDone = 0,
  kNoAnswer,  ///< It may have been executed, or may be executed seconds later.
  kFenced,    ///< Rejected: the upstream has seen a newer fencing token.
  kStaleRun,  ///< Rejected: not newer than a run that was stopped or has ended there.
  kLeaseExpired,
  kNoCapacity,
  kTicketInvalid,
  kWrongIncarnation,
  kUnhealthy,  ///< Rejected without effect.
  kNotSent,    ///< Never sent: no connection was free, or the sender's rights had ended meanwhile.
  kInvalid,
  kOtherIncarnation,  ///< Never sent: not the incarnation for which it is meant answers.
};

const char* OrderOutcomeName(OrderOutcome outcome);

struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::optional<std::int64_t> clock;  ///< Time of the upstream's clock, milliseconds.
};

enum class RunEnd : std::uint8_t {
  kDone = 0,
  kFailed,
  kStopped,
  kLapsed,
  kGangMemberEnded,  ///< Ended because another member of its gang ended.
  kGangTimeout       ///< Waited in vain for the other members of its gang.
};

/// Entry of a run list: a running task.
struct RunningRow {
  TaskKey task;
  std::uint64_t run = 0;
  std::string checkpoint;
  int percent = 0;
  /// With a target latency: tail latency in ms; otherwise: CPU usage.
  int usage = 0;
};

/// Entry of a run list: an ended run. Numbers increase within one incarnation of the upstream.
struct EndedRow {
  std::uint64_t number = 0;
  TaskKey task;
  std::uint64_t run = 0;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

struct RenewReply {
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::int64_t clock = 0;
  std::int64_t start_time = 0;
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
  /// Further ended runs may follow, which are listed only after these have been acknowledged.
  bool more_ended = false;
};

}  // namespace endivewood
