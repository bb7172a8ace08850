/// @file
/// JobScheduler: admission of jobs, the measured load that it depends on, and client accounts.
#include <algorithm>

#include "config.h"
#include "events.h"
#include "job_scheduler.h"

namespace endivewood {

void JobScheduler::SetAccounts(const std::optional<std::vector<ClientAccount>>& accounts) {
  m_accounts.clear();
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
  std::vector<Milliseconds> durations = DurationsOf(spec);
  auto job = std::make_unique<Job>(
      JobRecord{.spec = std::move(spec), .policy = policy, .accepted = now + m_unix_offset}, now,
      std::move(durations));
  if (job->spec().occurrences <= 0 && !job->lasting()) {
    offered->RecordArrival(id, job->work(), now);
  }
  if (const auto retry_after = OverloadRetryAfter(load, *job)) {
    LogEvent(Event::kJobRefused, {RequestField(id.str()),
                                  {"queue", job->spec().queue},
                                  {"on_time_core_ms", load.on_time_backlog},
                                  {"backlog_core_ms", load.backlog},
                                  {"capacity_millicores", load.capacity},
                                  {"retry_after_ms", *retry_after}});
    return {.kind = SubmitResult::Kind::kRefused,
            .change = 0,
            .retry_after = *retry_after,
            .reason = "overload"};
  }
  m_jobs[id] = std::move(job);
  const std::uint64_t change = MarkDirty(JobKey(id), true);
  m_jobs[id]->accepted_at_change = change;
  LogEvent(Event::kJobAccepted, {RequestField(id.str()),
                                 {"queue", m_jobs[id]->spec().queue},
                                 {"epoch", m_options.epoch},
                                 {"change", change},
                                 {"on_time_core_ms", load.on_time_backlog},
                                 {"backlog_core_ms", load.backlog},
                                 {"capacity_millicores", load.capacity}});
  load.backlog += m_jobs[id]->work();
  load.on_time_backlog += m_jobs[id]->work();
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
  return load;
}

void JobScheduler::SetPlannedCapacity(const ServiceName& service, std::int64_t millicores,
                                      Milliseconds now) {
  m_loads.erase(service);
  m_planned[service] = {.millicores = millicores,
                        .until = now + Milliseconds(config::kPlannedCapacityMs)};
}

}  // namespace endivewood
