/// @file
/// Admission control by predicted lateness, for load peaks beyond the capacity of a service.
#pragma once

#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "job.h"
#include "job_placement.h"

namespace endivewood {

/// Millicores that an account may run at once on the service's upstreams; no value: no limit.
using AccountRoom = std::function<std::optional<std::int64_t>(const AccountName&)>;

/// What is left of a short job, for predictions in the scheduling order. Work is in
/// core-milliseconds, times are by the scheduler's clock.
struct OpenWork {
  JobRank rank;
  std::int64_t ready = 0;    ///< Work of tasks that may start and don't run.
  std::int64_t pending = 0;  ///< Work of steps whose dependencies aren't done.
  Milliseconds path{0};      ///< Remaining critical path.
  Milliseconds deadline{0};  ///< Latest end at which the job is on time.
  double cost = 1;           ///< What it costs callers when the job isn't on time.
  int limit = -1;            ///< Index into ServiceLoad::limits; -1: its account has no limit.

  std::int64_t unstarted() const { return ready + pending; }
};

/// What an account with a limit runs in a service.
struct LimitedWork {
  AccountName account;
  std::int64_t capacity = 0;  ///< Millicores that it may run at once.
  std::int64_t running = 0;   ///< Remaining work of its running tasks, core-milliseconds.
};

/// Open work and capacity of a service.
struct ServiceLoad {
  std::int64_t on_time_backlog = 0;  ///< Part of `backlog` of jobs that can still be on time.
  std::int64_t backlog = 0;          ///< Remaining work of all open jobs, core-milliseconds.
  std::int64_t capacity = 0;         ///< Millicores of the service's upstreams, present or planned.

  // Only for CallerCost.
  std::int64_t lasting = 0;    ///< Part of `capacity` that lasting tasks use.
  std::int64_t running = 0;    ///< Remaining work of running short tasks, core-milliseconds.
  std::int64_t free = 0;       ///< Millicores that no task uses.
  Milliseconds task_time{0};   ///< Mean estimate of running tasks, weighted by cores.
  std::vector<OpenWork> open;  ///< Jobs that haven't started all tasks, in scheduling order.
  std::vector<LimitedWork> limits;
  bool contended = false;  ///< See IsContended.

  /// Adds an accepted job to `open`.
  void Insert(const OpenWork& work);
};

/// Decides whether a new job is accepted. Work that can be on time is placed before late work. A
/// job is therefore accepted if it can be on time after the backlog that can be on time, or if its
/// result is still useful after the whole backlog.
/// @returns the time after which a refused caller should retry, or no value if the job is accepted.
std::optional<Milliseconds> OverloadRetryAfter(const ServiceLoad& load, const Job& job);

/// Refuses by one bound on the wait of the whole queue, see OverloadRetryAfter.
struct QueueBound {};

/// Refuses what costs callers least: a job is accepted if it can be on time behind the work that
/// comes before it in the scheduling order, and if the jobs that would be late because of it cost
/// their callers less than refusing it. Late but useful work is accepted if it makes no job late.
struct CallerCost {};

using OverloadPolicy = std::variant<QueueBound, CallerCost>;

struct Admission {
  bool accepted = true;
  Milliseconds room_in{0};   ///< Refused: time until there is room for the job.
  Milliseconds response{0};  ///< Predicted time until the job's end; 0 with QueueBound.
  bool late = false;         ///< It can't be on time; with QueueBound always false.
  int displaced = 0;         ///< Jobs that would be late because of this one.
  double displaced_cost = 0;
};

/// @returns whether work within the accounts' rates and shares would be late if all work were done
/// by latest start alone. Otherwise surplus costs nobody anything, and keeps its place.
bool IsContended(const ServiceLoad& load, Milliseconds now);

/// Predicts a job's end behind all of `load.open` with a lower or equal rank.
Milliseconds PredictedResponse(const ServiceLoad& load, const OpenWork& work, Milliseconds now);

/// @param work the job's work; only for CallerCost.
Admission Decide(const OverloadPolicy& policy, const ServiceLoad& load, const Job& job,
                 const OpenWork& work, Milliseconds now);

}  // namespace endivewood
