/// @file
/// JobScheduler: callers' requests, stored records, placement and demand. Admission is in
/// job_scheduler_admission.cc.
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

/// @returns the millicores needed to start waiting tasks in time. Short tasks can wait for cores to
/// become free, so they count by duration / permitted wait; late tasks may wait longer.
std::int64_t WaitingDemand(const StepSpec& step, Milliseconds duration, int tasks, bool on_time) {
  const double within =
      static_cast<double>(on_time ? config::kMaxStartDelayMs : config::kMaxLateStartDelayMs);
  const double share =
      step.lasting ? 1.0 : std::min(1.0, static_cast<double>(duration.count()) / within);
  return static_cast<std::int64_t>(share * tasks * ReservationOf(step).cpu_millicores);
}

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

bool JobScheduler::MayPlace(const Job& job, int step, const TaskState& task,
                            Milliseconds now) const {
  if (task.done || task.placed || task.not_before > now) return false;
  const auto attempts = static_cast<std::size_t>(job.policy().attempts);
  if (!job.spec().steps[step].lasting && task.failed.size() >= attempts) return false;
  // A next holder that found the new run first wouldn't count a failure that isn't stored.
  if (task.failed_at_change > m_durable) return false;
  if (task.inherited && m_inherited_pending) return false;
  // Unless ownership was confirmed after the run ended, another holder may have restarted the task.
  if (task.requeued_at && *task.requeued_at > m_rights.confirmed_at) return false;
  return true;
}

void JobScheduler::Run(Milliseconds now, Milliseconds unix_offset, const HolderRights& rights) {
  m_unix_offset = unix_offset;
  m_rights = rights;
  m_next_due = now + Milliseconds(config::kIdleRenewWaitMs);
  DropStaleHolds(now);
  m_move_candidates.reset();
  RunSessions(now, rights);
  if (m_inherited_pending) ResolveInheritedTasks(now, rights.confirmed_at);
  ExpireResults(now + m_unix_offset);
  BeginAccountPass();
  Place(now, unix_offset);
  EndAccountPass(now);
}

void JobScheduler::Place(Milliseconds now, Milliseconds unix_offset) {
  std::vector<WaitingStep> waiting;
  m_cpu_waiting.clear();
  m_unplaced_lasting.clear();
  m_start_window_full = false;
  for (auto& [id, job] : m_jobs) {
    // A crash would lose a running job that isn't stored.
    if (job->accepted_at_change > m_durable) continue;
    job->CreateDueOccurrences(now, unix_offset);
    if (const auto due = job->NextDue(unix_offset)) m_next_due = std::min(m_next_due, *due);
    for (auto& [number, occurrence] : job->occurrences()) {
      if (occurrence.complete) continue;
      for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
        const StepState& state = occurrence.steps[step];
        const StepSpec& spec = job->spec().steps[step];
        const int waiting_tasks = spec.count - state.done - state.placed;
        if (waiting_tasks <= 0 || !job->DependenciesDone(occurrence, step)) continue;
        const Milliseconds latest_start =
            job->OnTimeDeadlineOf(occurrence) - occurrence.remaining_path;
        AddWaitingDemand(
            *job, WaitingDemand(spec, job->DurationOf(step), waiting_tasks, latest_start >= now));
        waiting.push_back({.job = job.get(),
                           .occurrence = &occurrence,
                           .step = step,
                           .latest_start = latest_start,
                           .on_time = latest_start >= now,
                           .work_left = job->RemainingWork()});
      }
    }
  }
  if (!m_rights.start) {
    if (waiting.empty()) return;
    m_next_due = std::min(m_next_due, now + Milliseconds(config::kRenewSpacingMs));
    return;
  }
  PlaceWaiting(&waiting, now);
  PlaceCopies(ServicesOf(waiting), now);
}

std::set<ServiceName> JobScheduler::ServicesOf(const std::vector<WaitingStep>& waiting) {
  std::set<ServiceName> services;
  for (const WaitingStep& step : waiting) {
    if (step.spec().count > step.state().done + step.state().placed) {
      services.insert(step.job->spec().service);
    }
  }
  return services;
}

void JobScheduler::PlaceWaiting(std::vector<WaitingStep>* waiting, Milliseconds now) {
  if (waiting->empty()) return;
  RankAccounts(waiting, now);
  std::sort(waiting->begin(), waiting->end(), ComesBefore);
  std::map<ServiceName, CandidatePool> pools = FindPools(&m_sessions, now);
  for (WaitingStep& step : *waiting) {
    CandidatePool& pool = pools[step.job->spec().service];
    if (step.spec().gang) {
      PlaceGang(&step, &pool.candidates, now);
    } else {
      PlaceStep(&step, &pool, now);
    }
  }
  BoundWaiting(pools);
}

void JobScheduler::PlaceStep(WaitingStep* waiting, CandidatePool* pool, Milliseconds now) {
  StepState& state = waiting->state();
  for (int index = 0; index < static_cast<int>(state.tasks.size()); ++index) {
    TaskState& task = state.tasks[index];
    if (task.done || task.placed) continue;
    if (task.not_before > now) m_next_due = std::min(m_next_due, task.not_before);
    if (task.requeued_at && *task.requeued_at > m_rights.confirmed_at) {
      m_next_due = std::min(m_next_due, now + Milliseconds(config::kRenewSpacingMs));
    }
    if (!MayPlace(*waiting->job, waiting->step, task, now)) continue;
    if (!MaySendStart(*waiting->job)) {
      m_start_window_full = true;
      return;
    }
    const TaskKey key{.job = waiting->job->spec().id,
                      .occurrence = waiting->occurrence->number,
                      .step = waiting->step,
                      .index = index};
    if (IsBlockedByShare(*waiting->job)) {
      NoteWaitingForShare(*waiting);
      return;
    }
    if (!PlaceTask(waiting, key, pool, now) && !waiting->spec().lasting) return;
  }
}

bool JobScheduler::PlaceTask(WaitingStep* waiting, const TaskKey& key, CandidatePool* pool,
                             Milliseconds now) {
  const bool lasting = waiting->spec().lasting;
  const Capacity needed = ReservationOf(waiting->spec());
  if (!lasting && !pool->MayHold(needed)) return false;
  UpstreamCandidate* candidate = ChooseCandidate(&pool->candidates, *waiting, key);
  std::vector<UpstreamCandidate> released;
  if (candidate == nullptr) {
    if (!lasting) {
      pool->NoteSearched(needed);
      return false;
    }
    ReportUnplaced(*waiting, key, now);
    if (HoldFutureRoom(*waiting, key, &pool->candidates, now)) return false;
    released = FindBusyReleased(&m_sessions, now);
    candidate = ChooseCandidate(&released, *waiting, key);
    if (candidate == nullptr) {
      NoteUnplaced(*waiting, key);
      return false;
    }
  }
  if (!HasShareFor(*waiting, 1, now)) return false;
  TaskState& task = waiting->state().tasks[key.index];
  ++task.runs;
  Start(waiting, key.index, m_options.epoch * config::kRunsPerEpoch + task.runs, candidate, now);
  return true;
}

/// Starts beyond the limit wait here, in scheduling order, instead of in the link's queue, where
/// renewals and reads would wait behind them.
bool JobScheduler::MaySendStart(const Job& job) const {
  return m_options.max_unanswered_bytes <= 0 || m_unanswered_bytes == 0 ||
         m_unanswered_bytes + StartBytes(job.spec().payload) <= m_options.max_unanswered_bytes;
}

void JobScheduler::PlaceGang(WaitingStep* waiting, std::vector<UpstreamCandidate>* candidates,
                             Milliseconds now) {
  StepState& state = waiting->state();
  // A gang restarts only after all members of its previous run are gone.
  if (state.placed > 0 || state.done > 0) return;
  for (const TaskState& task : state.tasks) {
    if (!MayPlace(*waiting->job, waiting->step, task, now)) return;
  }
  if (IsBlockedByShare(*waiting->job)) {
    NoteWaitingForShare(*waiting);
    return;
  }
  // With same_rack, the racks are tried one by one. The invalid name, tried last, stands for any
  // rack.
  std::set<RackName> racks{RackName()};
  if (waiting->spec().same_rack) {
    racks.clear();
    for (const UpstreamCandidate& candidate : *candidates)
      racks.insert(candidate.session->entry.rack);
    racks.insert(RackName());
  }
  std::vector<RackName> order(racks.rbegin(), racks.rend());
  for (const RackName& rack : order) {
    std::vector<UpstreamCandidate> rack_candidates;
    for (const UpstreamCandidate& candidate : *candidates) {
      if (!rack.valid() || candidate.session->entry.rack == rack)
        rack_candidates.push_back(candidate);
    }
    std::vector<UpstreamCandidate*> chosen;
    for (int index = 0; index < static_cast<int>(state.tasks.size()); ++index) {
      const TaskKey key{.job = waiting->job->spec().id,
                        .occurrence = waiting->occurrence->number,
                        .step = waiting->step,
                        .index = index};
      UpstreamCandidate* candidate = ChooseCandidate(&rack_candidates, *waiting, key);
      if (candidate == nullptr) break;
      Reserve(candidate, waiting->spec());
      chosen.push_back(candidate);
    }
    if (chosen.size() < state.tasks.size()) continue;
    if (!HasShareFor(*waiting, static_cast<int>(chosen.size()), now)) return;
    ++state.runs;
    const std::uint64_t run = m_options.epoch * config::kRunsPerEpoch + state.runs;
    for (std::size_t index = 0; index < chosen.size(); ++index) {
      const auto original = std::find_if(candidates->begin(), candidates->end(),
                                         [&](const UpstreamCandidate& candidate) {
                                           return candidate.session == chosen[index]->session;
                                         });
      Start(waiting, static_cast<int>(index), run, &*original, now);
    }
    return;
  }
}

void JobScheduler::Start(WaitingStep* waiting, int index, std::uint64_t run,
                         UpstreamCandidate* candidate, Milliseconds now) {
  const StepSpec& spec = waiting->spec();
  StepState& state = waiting->state();
  TaskState& task = state.tasks[index];
  UpstreamSession& session = *candidate->session;
  const TaskKey key{.job = waiting->job->spec().id,
                    .occurrence = waiting->occurrence->number,
                    .step = waiting->step,
                    .index = index};
  if (task.placed) {
    task.copy = PlacedRun{.upstream = session.entry.id, .run = run};
  } else {
    task.placed = PlacedRun{.upstream = session.entry.id, .run = run};
    ++state.placed;
  }
  task.inherited = false;
  const auto held = session.held.find(key);
  if (held != session.held.end()) candidate->free = candidate->free + held->second;
  DropHold(key);
  Reserve(candidate, spec);
  HostedRun hosted{.run = run,
                   .reserved = ReservationOf(spec),
                   .state = HostedState::kStarting,
                   .ordered_at = now,
                   .estimate = waiting->job->DurationOf(waiting->step),
                   .checkpoint = task.checkpoint,
                   .lasting = spec.lasting,
                   .best_effort = spec.best_effort,
                   .target_latency = spec.target_latency};
  hosted.progressed_at = now;
  hosted.account = waiting->job->spec().account;
  hosted.charged = ChargeOf(spec);
  if (AccountPass* const pass = FindAccountPass(*waiting->job)) {
    pass->load.used += hosted.charged;
    pass->load.running += hosted.charged;
  }
  hosted.resumed = !task.checkpoint.empty();
  session.hosted.Put(key, hosted);
  m_unanswered_bytes += StartBytes(waiting->job->spec().payload);
  if (!spec.lasting) {
    m_overload.NotePlaced(
        *waiting->job,
        static_cast<std::int64_t>(spec.cpu_millicores) * hosted.estimate.count() / 1000, now);
  }
  session.unanswered_starts.push_back({.task = key,
                                       .run = run,
                                       .reserved = hosted.reserved,
                                       .sent_at = now,
                                       .account = hosted.account,
                                       .charged = hosted.charged});
  const std::int64_t until = session.clock.LowerBoundAt(now) + m_options.lease.count();
  // A start doesn't extend the lease beyond the last renewal.
  m_orders.emplace_back(StartOrder{.upstream = session.entry.id,
                                   .task = key,
                                   .run = run,
                                   .payload = waiting->job->spec().payload,
                                   .lease_until = std::min(until, session.lease_until),
                                   .checkpoint = task.checkpoint,
                                   .ticket = "",
                                   .target = session.Target()});
  // Renew soon, so that the end of the task is noticed.
  ScheduleRenew(&session, now + Milliseconds(config::kRenewSpacingMs));
  LogEvent(Event::kTaskStarted, {RequestField(key.job.str()),
                                 {"task", key.str()},
                                 {"run", run},
                                 {"upstream", session.entry.id},
                                 {"waited_ms", now - waiting->occurrence->due},
                                 {"on_time", waiting->on_time},
                                 {"free_millicores", candidate->free.cpu_millicores}});
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
