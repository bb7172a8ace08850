/// @file
/// JobScheduler: admission of jobs, the measured load that it depends on, and client accounts.
#include <algorithm>

#include "config.h"
#include "events.h"
#include "job_scheduler.h"

namespace endivewood {
namespace {

/// Adds the tasks of an occurrence that haven't started. @returns whether there are any.
bool AddUnstarted(const Job& job, const Occurrence& occurrence, OpenWork* work) {
  if (occurrence.complete) return false;
  bool any = false;
  for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
    const StepSpec& spec = job.spec().steps[step];
    const StepState& state = occurrence.steps[step];
    const std::int64_t tasks = spec.count - state.done - state.placed;
    if (spec.lasting || tasks <= 0) continue;
    any = true;
    const std::int64_t step_work =
        tasks * spec.cpu_millicores * job.DurationOf(step).count() / 1000;
    (job.DependenciesDone(occurrence, step) ? work->ready : work->pending) += step_work;
  }
  return any;
}

std::vector<EventField> AdmissionFields(const Job& job, const ServiceLoad& load,
                                        const Admission& admission, double cost) {
  return {RequestField(job.spec().id.str()),
          {"queue", job.spec().queue},
          {"account", job.spec().account},
          {"surplus", job.surplus},
          {"preferred", job.preferred},
          {"response_ms", admission.response},
          {"cost_percent", static_cast<std::int64_t>(100 * cost)},
          {"displaced", admission.displaced},
          {"displaced_cost_percent", static_cast<std::int64_t>(100 * admission.displaced_cost)},
          {"on_time_core_ms", load.on_time_backlog},
          {"backlog_core_ms", load.backlog},
          {"capacity_millicores", load.capacity}};
}

}  // namespace

void JobScheduler::SetAccounts(const std::optional<std::vector<ClientAccount>>& accounts) {
  std::map<AccountName, ResourceTotal> use = AccountUse();
  AddUnresolved(&use);
  m_shares.SetAccounts(accounts, use);
  m_accounts.clear();
  const bool by_cost = m_overload.by_cost();
  m_overload.SetAccounts(accounts);
  m_overload.SetAccountRoom([this](const AccountName& account) {
    const ResourceTotal* const limit = m_shares.LimitOf(account);
    const bool limited = limit != nullptr && limit->cpu_millicores > 0;
    return limited ? std::optional<std::int64_t>(limit->cpu_millicores) : std::nullopt;
  });
  if (by_cost != m_overload.by_cost()) m_loads.clear();
  if (!accounts) return;
  for (const ClientAccount& account : *accounts) m_accounts.emplace(account.name, account);
}

SubmitResult JobScheduler::Submit(JobSpec spec, const QueuePolicy& policy, Milliseconds now) {
  const JobId id = spec.id;
  const auto known = m_jobs.find(id);
  if (known != m_jobs.end()) {
    return {.kind = SubmitResult::Kind::kStored, .change = known->second->accepted_at_change};
  }
  if (m_results.count(id) > 0) return {.kind = SubmitResult::Kind::kStored, .change = 0};
  ServiceLoad& load = LoadOf(spec.service, now);
  OfferedLoad* const offered = &m_offered[spec.service];
  const auto first_arrival = m_overload.FirstArrival(spec.service, id, now);
  const Milliseconds arrived = first_arrival.value_or(now);
  std::vector<Milliseconds> durations = DurationsOf(spec);
  auto job = std::make_unique<Job>(
      JobRecord{.spec = std::move(spec), .policy = policy, .accepted = arrived + m_unix_offset},
      arrived, std::move(durations));
  if (job->spec().occurrences <= 0 && !job->lasting()) {
    offered->RecordArrival(id, job->work(), now);
  }
  m_overload.Classify(job.get(), first_arrival.has_value(), now);
  OpenWork work;
  if (m_overload.by_cost()) work = m_overload.DescribeNew(*job, now, &load);
  const Admission admission = Decide(m_overload.policy(), load, *job, work, now);
  if (!admission.accepted) {
    const Milliseconds retry_after = m_overload.Refuse(*job, load, admission, now);
    std::vector<EventField> fields = AdmissionFields(*job, load, admission, work.cost);
    fields.emplace_back("retry_after_ms", retry_after);
    LogEvent(Event::kJobRefused, fields);
    return {.kind = SubmitResult::Kind::kRefused,
            .change = 0,
            .retry_after = retry_after,
            .reason = "overload"};
  }
  m_overload.NoteAccepted(*job, admission, now);
  const std::uint64_t change = MarkDirty(JobKey(id), true);
  job->accepted_at_change = change;
  std::vector<EventField> fields = AdmissionFields(*job, load, admission, work.cost);
  fields.emplace_back("epoch", m_options.epoch);
  fields.emplace_back("change", change);
  LogEvent(Event::kJobAccepted, fields);
  load.backlog += job->work();
  load.on_time_backlog += job->work();
  if (m_overload.by_cost() && work.unstarted() > 0) load.Insert(work);
  m_jobs[id] = std::move(job);
  m_next_due = now;
  return {.kind = SubmitResult::Kind::kStored, .change = change};
}

ServiceLoad& JobScheduler::LoadOf(const ServiceName& service, Milliseconds now) {
  const auto [position, added] = m_loads.try_emplace(service);
  MeasuredLoad& measured = position->second;
  if (added || measured.at + Milliseconds(config::kLoadAgeMs) <= now || measured.at > now) {
    measured = {.load = MeasureLoad(service, now), .at = now};
  }
  return measured.load;
}

ServiceLoad JobScheduler::MeasureLoad(const ServiceName& service, Milliseconds now) const {
  ServiceLoad load{.on_time_backlog = 0, .backlog = 0, .capacity = 0};
  for (const auto& [id, session] : m_sessions) {
    if (session.entry.service == service && session.CountsAsCapacity()) {
      load.capacity += session.entry.capacity.cpu_millicores;
    }
  }
  const auto planned = m_planned.find(service);
  if (planned != m_planned.end() && planned->second.until > now) {
    load.capacity = std::max(load.capacity, planned->second.millicores);
  }
  for (const auto& [id, job] : m_jobs) {
    if (job->spec().service != service) continue;
    const std::int64_t work = job->RemainingWork();
    load.backlog += work;
    if (job->CanBeOnTime(now)) load.on_time_backlog += work;
  }
  if (m_overload.by_cost()) MeasureOrder(service, now, &load);
  return load;
}

void JobScheduler::MeasureOrder(const ServiceName& service, Milliseconds now,
                                ServiceLoad* load) const {
  const std::map<JobId, Milliseconds> elapsed = MeasureRunning(service, now, load);
  for (const auto& [id, job] : m_jobs) {
    if (job->spec().service != service || job->lasting()) continue;
    OpenWork work{.cost = m_overload.CostOf(*job)};
    bool any = false;
    for (const auto& [number, occurrence] : job->occurrences()) {
      if (!AddUnstarted(*job, occurrence, &work)) continue;
      const Milliseconds deadline = job->OnTimeDeadlineOf(occurrence);
      const auto running = elapsed.find(id);
      const Milliseconds path = occurrence.remaining_path -
                                (running == elapsed.end() ? Milliseconds{0} : running->second);
      const bool on_time = now + path <= deadline;
      const JobRank rank =
          RankOf(*job, deadline - path, on_time, job->RemainingWork(), m_overload.StandingOf(*job));
      if (any && work.rank < rank) continue;
      any = true;
      work.rank = rank;
      work.path = path;
      work.deadline = deadline;
    }
    // Work that was accepted a moment ago has no occurrence yet.
    if (job->occurrences().empty() && job->spec().occurrences <= 0) {
      work = m_overload.DescribeNew(*job, now, load);
    } else if (!any) {
      continue;
    }
    work.limit = m_overload.LimitOf(job->spec().account, load);
    load->open.push_back(work);
  }
  std::sort(load->open.begin(), load->open.end(),
            [](const OpenWork& a, const OpenWork& b) { return a.rank < b.rank; });
  load->contended = IsContended(*load, now);
}

std::map<JobId, Milliseconds> JobScheduler::MeasureRunning(const ServiceName& service,
                                                           Milliseconds now,
                                                           ServiceLoad* load) const {
  std::map<JobId, Milliseconds> elapsed;
  std::int64_t cores = 0;
  std::int64_t weighted_time = 0;
  for (const auto& [upstream, session] : m_sessions) {
    if (session.entry.service != service || !session.CountsAsCapacity()) continue;
    load->free += std::max(0, session.Free().cpu_millicores);
    for (const auto& [task, run] : session.hosted) {
      const std::int64_t millicores = run.reserved.cpu_millicores;
      if (run.lasting) {
        load->lasting += millicores;
        continue;
      }
      const Milliseconds ran = std::min(now - run.ordered_at, run.estimate);
      const std::int64_t left = millicores * (run.estimate - ran).count() / 1000;
      load->running += left;
      cores += millicores;
      weighted_time += millicores * run.estimate.count();
      const auto [position, added] = elapsed.try_emplace(task.job, ran);
      if (!added) position->second = std::min(position->second, ran);
      const auto job = m_jobs.find(task.job);
      if (job == m_jobs.end()) continue;
      const int limit = m_overload.LimitOf(job->second->spec().account, load);
      if (limit >= 0) load->limits[limit].running += left;
    }
  }
  if (cores > 0) load->task_time = Milliseconds(weighted_time / cores);
  return elapsed;
}

void JobScheduler::RankAccounts(std::vector<WaitingStep>* waiting, Milliseconds now) {
  if (!m_overload.by_cost()) return;
  std::set<AccountName> accounts;
  for (const WaitingStep& step : *waiting) {
    if (step.job->spec().account.valid()) accounts.insert(step.job->spec().account);
  }
  m_overload.RankAccounts(accounts, now);
  for (WaitingStep& step : *waiting) {
    const AccountStanding standing = m_overload.StandingOf(*step.job);
    if (standing == AccountStanding{}) continue;
    if (LoadOf(step.job->spec().service, now).contended) step.standing = standing;
  }
}

void JobScheduler::SetPlannedCapacity(const ServiceName& service, std::int64_t millicores,
                                      Milliseconds now) {
  m_loads.erase(service);
  m_planned[service] = {.millicores = millicores,
                        .until = now + Milliseconds(config::kPlannedCapacityMs)};
}

}  // namespace endivewood
