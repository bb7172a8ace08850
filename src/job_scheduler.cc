/// @file
/// JobScheduler: callers' requests, stored records and demand. Admission is in
/// job_scheduler_admission.cc, placement in job_scheduler_placement.cc.
#include "job_scheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "config.h"
#include "events.h"

namespace endivewood {
namespace {

const char* JobStateLabel(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kComplete:
      return "complete";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "queued";
}

/// Key prefix of the metadata records.
constexpr char kMetadataPrefix[] = "w/";

}  // namespace

JobScheduler::JobScheduler(const SchedulerOptions& options)
    : m_options(options),
      m_shares({.partition = options.partition, .epoch = options.epoch}),
      m_highest_fencing_token(options.epoch),
      m_overload(options.overload) {}

void JobScheduler::Restore(const KeyedRecord& record) {
  if (record.key.starts_with(kMetadataPrefix)) {
    m_metadata[record.key] = record.value;
    return;
  }
  const JobStoreRecord decoded = DecodeJobStoreRecord(record);
  const JobId id = JobIdOfKey(record.key);
  if (const auto* job = std::get_if<JobRecord>(&decoded)) {
    m_jobs[id] = std::make_unique<Job>(*job, Milliseconds{0});
  } else if (const auto* result = std::get_if<JobResult>(&decoded)) {
    m_results[id] = {.result = *result, .change = 0};
  } else if (const auto* progress = std::get_if<JobProgress>(&decoded)) {
    m_restored_progress[id] = *progress;
  } else if (const auto* upstream = std::get_if<UpstreamRecord>(&decoded)) {
    UpstreamSession& session = m_sessions[upstream->id];
    session.entry.id = upstream->id;
    session.entry.service = upstream->service;
    session.entry.endpoint = upstream->endpoint;
    session.hosted.CountInto(m_usage);
    session.registered = true;
    session.start_time = upstream->start_time;
    session.follows_incarnation = upstream->follows_incarnation;
    session.fencing_token = m_options.epoch;
  } else {
    LogEvent(Event::kMalformedRecord, {{"key", record.key}, {"partition", m_options.partition}});
  }
}

void JobScheduler::FinishRestore(Milliseconds now, Milliseconds unix_offset,
                                 Milliseconds inherited_lease_end) {
  m_unix_offset = unix_offset;
  for (auto it = m_jobs.begin(); it != m_jobs.end();) {
    const bool ended = m_results.count(it->first) > 0;
    it = ended ? m_jobs.erase(it) : std::next(it);
  }
  for (auto& [id, job] : m_jobs) {
    const Milliseconds arrived = std::min(now, job->record().accepted - unix_offset);
    job = std::make_unique<Job>(job->record(), arrived, DurationsOf(job->spec()));
    job->record_stored = true;
    const auto progress = m_restored_progress.find(id);
    if (progress != m_restored_progress.end()) job->Apply(progress->second);
    job->CreateDueOccurrences(now, unix_offset);
    for (auto& [number, occurrence] : job->occurrences()) {
      for (StepState& step : occurrence.steps) {
        for (TaskState& task : step.tasks) task.inherited = !task.done;
      }
    }
  }
  m_restored_progress.clear();
  m_inherited_lease_end = inherited_lease_end;
  for (auto& [id, session] : m_sessions) {
    session.inherited_lease_end = InheritedLeaseEnd(session);
    // The restart may have been noticed just before the former holder ended.
    session.former_orders_until = now + Milliseconds(config::kMaxOrderDelayMs);
  }
  m_no_moves_before = now + Milliseconds(config::kNewHolderMoveDelayMs);
  m_inherited_pending = !m_sessions.empty();
  if (!m_inherited_pending) ResolveInheritedTasks(now, now);
  m_next_due = now;
}

void JobScheduler::ShortenInheritedLeases(Milliseconds lease_end) {
  m_inherited_lease_end = std::min(m_inherited_lease_end, lease_end);
  for (auto& [id, session] : m_sessions) {
    session.inherited_lease_end = std::min(session.inherited_lease_end, InheritedLeaseEnd(session));
  }
  m_next_due = Milliseconds{0};
}

CancelResult JobScheduler::Cancel(const JobId& id, Milliseconds now) {
  const auto ended = m_results.find(id);
  if (ended != m_results.end()) return ended->second.change;
  if (m_jobs.count(id) == 0) return std::nullopt;
  EndJob(id, JobState::kCancelled, now);
  return m_results[id].change;
}

void JobScheduler::EndJob(const JobId& id, JobState state, Milliseconds now) {
  const Job& job = *m_jobs[id];
  const std::uint64_t change = MarkDirty(JobKey(id), true);
  LogEvent(Event::kJobEnded, {RequestField(id.str()),
                              {"queue", job.spec().queue},
                              {"state", JobStateLabel(state)},
                              {"age_ms", now - job.arrived()},
                              {"change", change}});
  m_results[id] = {.result = {.queue = job.spec().queue,
                              .state = state,
                              .ended = now + m_unix_offset,
                              .account = job.spec().account},
                   .change = change};
  StopRunsOf(id, now);
  m_jobs.erase(id);
}

void JobScheduler::StopRunsOf(const JobId& id, Milliseconds now) {
  TaskKey first{.job = id, .occurrence = std::numeric_limits<int>::min()};
  for (auto& [upstream, session] : m_sessions) {
    const auto end = session.hosted.end();
    for (auto it = session.hosted.lower_bound(first); it != end && it->first.job == id; ++it) {
      if (it->second.state != HostedState::kStopping) Stop(&session, it->first, &it->second, now);
    }
  }
}

std::uint64_t JobScheduler::MarkDirty(const std::string& item, bool urgent) {
  ++m_change;
  m_urgent = m_urgent || urgent;
  const auto [position, added] = m_dirty_item.emplace(item, m_change);
  if (added) m_dirty.emplace(m_change, item);
  return m_change;
}

std::uint64_t JobScheduler::PutMetadata(const std::string& key, const std::string& value,
                                        bool urgent) {
  m_metadata[key] = value;
  return MarkDirty(key, urgent);
}

void JobScheduler::EncodeItem(const std::string& item, std::vector<KeyedRecord>* records) const {
  if (item.starts_with(kMetadataPrefix)) {
    records->push_back({.key = item, .value = m_metadata.at(item)});
    return;
  }
  const JobId id = JobIdOfKey(item);
  const auto session = m_sessions.find(UpstreamId(id.str()));
  if (item == UpstreamKey(UpstreamId(id.str()))) {
    const bool gone = session == m_sessions.end();
    const std::string value =
        gone ? ""
             : EncodeUpstreamRecord({.id = session->first,
                                     .service = session->second.entry.service,
                                     .endpoint = session->second.entry.endpoint,
                                     .start_time = session->second.start_time,
                                     .follows_incarnation = session->second.follows_incarnation});
    records->push_back({.key = item, .value = value});
    return;
  }
  const auto job = m_jobs.find(id);
  if (job != m_jobs.end()) {
    Job& open = *job->second;
    if (!open.record_stored) {
      records->push_back({.key = JobKey(id), .value = EncodeJobRecord(open.record())});
      open.record_stored = true;
    }
    if (open.started) {
      records->push_back({.key = ProgressKey(id), .value = EncodeProgress(open.Progress())});
    }
    return;
  }
  const auto ended = m_results.find(id);
  const std::string value = ended == m_results.end() ? "" : EncodeJobResult(ended->second.result);
  records->push_back({.key = JobKey(id), .value = value});
  records->push_back({.key = ProgressKey(id), .value = ""});
}

std::optional<DurableBatch> JobScheduler::TakeBatch() {
  if (m_dirty.empty()) return std::nullopt;
  DurableBatch batch;
  std::size_t bytes = 0;
  while (!m_dirty.empty() && batch.records.size() < config::kMaxBatchRecords &&
         bytes < config::kMaxBatchBytes) {
    const std::string item = m_dirty.begin()->second;
    m_dirty.erase(m_dirty.begin());
    m_dirty_item.erase(item);
    const std::size_t before = batch.records.size();
    EncodeItem(item, &batch.records);
    for (std::size_t i = before; i < batch.records.size(); ++i) {
      bytes += batch.records[i].key.size() + batch.records[i].value.size();
    }
  }
  m_urgent = m_urgent && !m_dirty.empty();
  batch.change = m_dirty.empty() ? m_change : m_dirty.begin()->first - 1;
  return batch;
}

void JobScheduler::OnDurable(std::uint64_t change) {
  m_durable = std::max(m_durable, change);
  for (auto& [id, session] : m_sessions) {
    session.OnDurable(m_durable);
    if (!session.registered && session.registered_at_change != 0 &&
        session.registered_at_change <= m_durable) {
      session.registered = true;
    }
  }
  m_next_due = Milliseconds{0};
}

void JobScheduler::ExpireResults(Milliseconds unix_now) {
  if (unix_now < m_results_expire_at) return;
  m_results_expire_at = unix_now + Milliseconds(config::kExpiryIntervalMs);
  const Milliseconds retention(config::kJobResultRetentionMs);
  for (auto it = m_results.begin(); it != m_results.end();) {
    if (it->second.result.ended + retention > unix_now) {
      ++it;
      continue;
    }
    MarkDirty(JobKey(it->first), false);
    it = m_results.erase(it);
  }
}

void JobScheduler::Run(Milliseconds now, Milliseconds unix_offset, const HolderRights& rights) {
  m_unix_offset = unix_offset;
  m_rights = rights;
  m_next_due = now + Milliseconds(config::kIdleRenewWaitMs);
  DropStaleHolds(now);
  m_move_candidates.reset();
  m_unavailable.clear();
  RunSessions(now, rights);
  if (m_inherited_pending) ResolveInheritedTasks(now, rights.confirmed_at);
  ExpireResults(now + m_unix_offset);
  BeginAccountPass();
  Place(now, unix_offset);
  EndAccountPass(now);
}

void JobScheduler::NoteStarted(Job* job) {
  if (job->started) return;
  job->started = true;
  job->state = JobState::kRunning;
  MarkDirty(JobKey(job->spec().id), false);
}

std::vector<UpstreamOrder> JobScheduler::TakeOrders() { return std::exchange(m_orders, {}); }

Milliseconds JobScheduler::NextDue(Milliseconds now) const {
  return std::max(now, std::min(m_next_due, m_shares.NextDue()));
}

bool JobScheduler::IsLate(const TaskKey& task, Milliseconds now) const {
  const auto job = m_jobs.find(task.job);
  if (job == m_jobs.end()) return true;
  const auto occurrence = job->second->occurrences().find(task.occurrence);
  return occurrence == job->second->occurrences().end() ||
         job->second->OnTimeDeadlineOf(occurrence->second) < now;
}

ServiceDemand JobScheduler::Demand(const ServiceName& service, Milliseconds now) const {
  ServiceDemand demand;
  for (const auto& [id, session] : m_sessions) {
    if (session.entry.service != service) continue;
    if (session.IsLost()) demand.lost.push_back(id);
    if (!session.CountsAsCapacity()) continue;
    ++demand.upstreams;
    demand.cpu_capacity += session.entry.capacity.cpu_millicores;
    Milliseconds left{0};
    for (const auto& [task, run] : session.hosted) {
      const double share = run.lasting || !IsLate(task, now) ? 1.0 : config::kLateDemandShare;
      demand.cpu_running += static_cast<std::int64_t>(share * run.reserved.cpu_millicores);
      if (run.lasting) demand.cpu_lasting += run.reserved.cpu_millicores;
      // Lasting tasks are restarted elsewhere first, which takes longer than any short task.
      const Milliseconds end =
          run.lasting ? Milliseconds(config::kMoveTimeoutMs) : run.ordered_at + run.estimate - now;
      left = std::max(left, end);
    }
    demand.release_order.push_back({.upstream = id, .left = left});
  }
  std::stable_sort(demand.release_order.begin(), demand.release_order.end(),
                   [](const ReleaseTime& a, const ReleaseTime& b) { return a.left < b.left; });
  const auto waiting = m_cpu_waiting.find(service);
  if (waiting != m_cpu_waiting.end()) demand.cpu_waiting = waiting->second;
  const auto offered = m_offered.find(service);
  if (offered != m_offered.end()) demand.cpu_offered = offered->second.MillicoresAt(now);
  for (const auto& [id, job] : m_jobs) {
    if (job->spec().service != service) continue;
    for (const StepSpec& step : job->spec().steps) {
      if (!step.lasting || step.max_per_upstream == 0) continue;
      const int needed = (step.count + step.max_per_upstream - 1) / step.max_per_upstream;
      demand.min_lasting_upstreams = std::max(demand.min_lasting_upstreams, needed);
    }
  }
  // Cores and spread don't show that memory, or other lasting tasks, leave no room for a task.
  demand.min_lasting_upstreams =
      std::max(demand.min_lasting_upstreams, MinUpstreamsForLasting(service, now));
  return demand;
}

std::optional<Endpoint> JobScheduler::EndpointOf(const UpstreamId& id) const {
  const auto found = m_sessions.find(id);
  if (found == m_sessions.end()) return std::nullopt;
  return found->second.entry.endpoint;
}

}  // namespace endivewood
