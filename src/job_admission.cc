/// @file
/// Admission control by predicted lateness.
#include "job_admission.h"

#include <algorithm>

#include "config.h"
#include "config_overload.h"

namespace endivewood {
namespace {

/// Sums of the work that comes before a job. Accounts with a limit are summed by themselves: what
/// of their work exceeds the limit waits without using room.
class WorkAhead {
 public:
  explicit WorkAhead(const ServiceLoad& load) : m_load(load), m_limited(load.limits.size()) {}

  void Add(const OpenWork& work) {
    Sum& sum = work.limit < 0 ? m_sum : m_limited[work.limit];
    sum.ready += static_cast<double>(work.ready);
    sum.all += static_cast<double>(work.unstarted());
  }

  /// @returns the time from `now` until the job's end. Two bounds hold: its tasks start when cores
  /// have become free for the ready work before them, and the capacity has to do all work before
  /// its end.
  Milliseconds ResponseOf(const OpenWork& work, Milliseconds now) const {
    const auto capacity = static_cast<double>(m_load.capacity - m_load.lasting);
    if (capacity <= 0) return work.path;
    const Sum ahead = AheadWithin(std::max(work.deadline - now, work.path));
    const auto running = static_cast<double>(m_load.running);
    double response = Response(ahead, running, static_cast<double>(m_load.free), capacity, work);
    if (work.limit >= 0) {
      const LimitedWork& limit = m_load.limits[work.limit];
      const double room = std::clamp(static_cast<double>(limit.capacity), 1.0, capacity);
      const auto account_running = static_cast<double>(limit.running);
      const double time = std::max(1.0, static_cast<double>(m_load.task_time.count()));
      const double free = std::max(0.0, room - 2000.0 * account_running / time);
      response =
          std::max(response, Response(m_limited[work.limit], account_running, free, room, work));
    }
    return Milliseconds(
        static_cast<std::int64_t>(std::min(response, static_cast<double>(config::kMaxJobWork))));
  }

 private:
  /// Core-milliseconds.
  struct Sum {
    double ready = 0;
    double all = 0;
  };

  Sum AheadWithin(Milliseconds time) const {
    Sum ahead = m_sum;
    for (std::size_t i = 0; i < m_limited.size(); ++i) {
      const double room = static_cast<double>(m_load.limits[i].capacity) / 1000.0 *
                          static_cast<double>(time.count());
      ahead.ready += std::min(m_limited[i].ready, room);
      ahead.all += std::min(m_limited[i].all, room);
    }
    return ahead;
  }

  /// @param free millicores.
  /// @param capacity millicores.
  double Response(const Sum& ahead, double running, double free, double capacity,
                  const OpenWork& work) const {
    const auto time = static_cast<double>(m_load.task_time.count());
    double wait = 0;
    if (work.ready > 0 && ahead.ready > free / 1000.0 * time) {
      // While all cores are in use, running tasks have on average half of their time left, and that
      // much doesn't have to be done before waiting tasks start.
      const double in_progress = capacity / 1000.0 * time / 2;
      wait = std::max(0.0, running + ahead.ready - in_progress) * 1000.0 / capacity;
    }
    const double done =
        (running + ahead.all + static_cast<double>(work.unstarted())) * 1000.0 / capacity;
    // The cores for wide steps become free one after the other, and the end of a step is known only
    // after the next answer of its upstream.
    const double own = static_cast<double>(work.unstarted()) * 1000.0 / capacity;
    const double next_step = work.pending > 0 ? static_cast<double>(config::kStepDelayMs) : 0;
    return std::max(wait + static_cast<double>(work.path.count()) + own + next_step, done);
  }

  const ServiceLoad& m_load;
  Sum m_sum;
  std::vector<Sum> m_limited;
};

bool IsOnTime(const WorkAhead& ahead, const OpenWork& work, Milliseconds now) {
  return now + ahead.ResponseOf(work, now) <= work.deadline;
}

Admission DecideByCost(const ServiceLoad& load, const Job& job, const OpenWork& work,
                       Milliseconds now) {
  Admission admission;
  if (job.lasting() || job.spec().occurrences > 0 || load.capacity <= load.lasting) {
    return admission;
  }
  WorkAhead ahead(load);
  auto next = load.open.begin();
  for (; next != load.open.end() && next->rank <= work.rank; ++next) ahead.Add(*next);
  admission.response = ahead.ResponseOf(work, now);
  WorkAhead with = ahead;
  with.Add(work);
  for (; next != load.open.end(); ++next) {
    if (IsOnTime(ahead, *next, now) && !IsOnTime(with, *next, now)) {
      ++admission.displaced;
      admission.displaced_cost += next->cost;
    }
    ahead.Add(*next);
    with.Add(*next);
  }
  admission.late = now + admission.response > work.deadline;
  if (!admission.late) {
    admission.accepted = admission.displaced_cost < work.cost;
    if (admission.accepted) return admission;
    // There is room once the waiting jobs have started.
    const Milliseconds later = ahead.ResponseOf(work, now);
    admission.room_in = std::max(Milliseconds{1}, now + later - work.deadline);
    return admission;
  }
  const Milliseconds objective = work.deadline - job.arrived();
  const Milliseconds useful_until =
      job.arrived() + Milliseconds(static_cast<std::int64_t>(
                          config::kMaxUsefulLateness * static_cast<double>(objective.count())));
  admission.accepted =
      admission.displaced == 0 && now + ahead.ResponseOf(work, now) <= useful_until;
  if (!admission.accepted) admission.room_in = now + admission.response - work.deadline;
  return admission;
}

}  // namespace

void ServiceLoad::Insert(const OpenWork& work) {
  const auto position =
      std::upper_bound(open.begin(), open.end(), work,
                       [](const OpenWork& a, const OpenWork& b) { return a.rank < b.rank; });
  open.insert(position, work);
}

std::optional<Milliseconds> OverloadRetryAfter(const ServiceLoad& load, const Job& job) {
  if (job.lasting() || job.spec().occurrences > 0 || load.capacity <= 0) return std::nullopt;
  const double stretched = job.policy().stretch * static_cast<double>(job.critical_path().count());
  const double objective = stretched + static_cast<double>(job.policy().objective.count());
  const auto critical_path = static_cast<double>(job.critical_path().count());
  // The backlog is in core-milliseconds, the capacity in millicores.
  const auto wait_for = [&](std::int64_t backlog) {
    return 1000.0 * static_cast<double>(backlog) / static_cast<double>(load.capacity);
  };
  if (wait_for(load.on_time_backlog) <= objective - critical_path) return std::nullopt;
  const double wait = wait_for(load.backlog);
  const double useful_wait = config::kMaxUsefulLateness * objective - critical_path;
  if (wait <= useful_wait) return std::nullopt;
  return Milliseconds(static_cast<std::int64_t>(std::max(wait - useful_wait, 1.0)));
}

bool IsContended(const ServiceLoad& load, Milliseconds now) {
  const auto comes_last = [](const OpenWork& work) {
    return work.rank.standing != AccountStanding{};
  };
  if (std::none_of(load.open.begin(), load.open.end(), comes_last)) return false;
  std::vector<std::pair<JobRank, const OpenWork*>> order;
  for (const OpenWork& work : load.open) {
    JobRank rank = work.rank;
    rank.standing = {};
    order.emplace_back(rank, &work);
  }
  std::sort(order.begin(), order.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  WorkAhead ahead(load);
  for (const auto& [rank, entry] : order) {
    const OpenWork& work = *entry;
    if (rank.late) return false;
    const double slack = static_cast<double>((work.deadline - now - work.path).count());
    const Milliseconds margin(static_cast<std::int64_t>(config::kContentionMargin * slack));
    if (!comes_last(work) && now + ahead.ResponseOf(work, now) > work.deadline - margin)
      return true;
    ahead.Add(work);
  }
  return false;
}

Milliseconds PredictedResponse(const ServiceLoad& load, const OpenWork& work, Milliseconds now) {
  WorkAhead ahead(load);
  for (const OpenWork& other : load.open) {
    if (other.rank <= work.rank && &other != &work) ahead.Add(other);
  }
  return ahead.ResponseOf(work, now);
}

Admission Decide(const OverloadPolicy& policy, const ServiceLoad& load, const Job& job,
                 const OpenWork& work, Milliseconds now) {
  struct Visitor {
    const ServiceLoad& load;
    const Job& job;
    const OpenWork& work;
    Milliseconds now;

    Admission operator()(const QueueBound& /*policy*/) const {
      const auto retry_after = OverloadRetryAfter(load, job);
      return {.accepted = !retry_after, .room_in = retry_after.value_or(Milliseconds{0})};
    }
    Admission operator()(const CallerCost& /*policy*/) const {
      return DecideByCost(load, job, work, now);
    }
  };
  return std::visit(Visitor{.load = load, .job = job, .work = work, .now = now}, policy);
}

}  // namespace endivewood
