/// @file
/// JobScheduler: placement of waiting tasks on upstreams.
#include <algorithm>

#include "config.h"
#include "events.h"
#include "job_scheduler.h"

namespace endivewood {
namespace {

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

void JobScheduler::Place(Milliseconds now, Milliseconds unix_offset) {
  std::vector<WaitingStep> waiting;
  m_cpu_waiting.clear();
  m_unplaced_lasting.clear();
  m_start_window_full = false;
  m_starts_await_answers = false;
  m_placements_left = config::kMaxPlacementsPerPass;
  m_wait_reports_left = config::kMaxWaitReportsPerPass;
  m_released_candidates.reset();
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
  LastingSearch search;
  PlaceTasks(waiting, pool, &search, now);
  if (search.unplaced > 0) NoteUnplaced(*waiting, search.unplaced);
}

void JobScheduler::PlaceTasks(WaitingStep* waiting, CandidatePool* pool, LastingSearch* search,
                              Milliseconds now) {
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
    if (IsBlockedByShare(*waiting->job)) {
      NoteWaitingForShare(*waiting);
      return;
    }
    if (m_placements_left <= 0) {
      m_next_due = now;
      return;
    }
    const TaskKey key{.job = waiting->job->spec().id,
                      .occurrence = waiting->occurrence->number,
                      .step = waiting->step,
                      .index = index};
    if (waiting->spec().lasting) {
      PlaceLastingTask(waiting, key, pool, search, now);
    } else if (!PlaceShortTask(waiting, key, pool, now)) {
      return;
    }
  }
}

bool JobScheduler::PlaceShortTask(WaitingStep* waiting, const TaskKey& key, CandidatePool* pool,
                                  Milliseconds now) {
  const Capacity needed = ReservationOf(waiting->spec());
  if (!pool->HasLabel(waiting->spec().required_label) || !pool->MayHold(needed)) return false;
  UpstreamCandidate* const candidate =
      ChooseCandidate(&pool->candidates, *waiting, key, StartLimit::kApplied);
  if (candidate != nullptr) return StartTask(waiting, key, candidate, now);
  if (CountFits(pool->candidates, *waiting, key).awaiting_answers > 0) {
    m_starts_await_answers = true;
  } else {
    pool->NoteSearched(needed);
  }
  return false;
}

void JobScheduler::PlaceLastingTask(WaitingStep* waiting, const TaskKey& key, CandidatePool* pool,
                                    LastingSearch* search, Milliseconds now) {
  const auto hold = m_holds.find(key);
  const bool has_hold = hold != m_holds.end();
  const Capacity needed = ReservationOf(waiting->spec());
  if (!pool->HasLabel(waiting->spec().required_label)) {
    search->no_room = true;
    search->no_future_room = true;
  }
  if (!has_hold && !search->no_room) search->no_room = !pool->MayHold(needed);
  if (!search->no_room && !search->awaits_answers) {
    if (UpstreamCandidate* const chosen =
            ChooseCandidate(&pool->candidates, *waiting, key, StartLimit::kApplied)) {
      StartTask(waiting, key, chosen, now);
      return;
    }
    const FitCounts fits = CountFits(pool->candidates, *waiting, key);
    search->awaits_answers = fits.awaiting_answers > 0;
    search->no_room = fits.fit == 0;
    if (search->no_room && !has_hold) pool->NoteSearched(needed);
  } else if (has_hold) {
    // Only the upstream that holds room for the task can take it.
    UpstreamCandidate* const holding = pool->Find(hold->second.upstream);
    if (holding != nullptr && MayStartOn(*holding, *waiting, key)) {
      if (!holding->session->AwaitsAnswers()) {
        StartTask(waiting, key, holding, now);
        return;
      }
      search->awaits_answers = true;
    }
  }
  if (search->awaits_answers) {
    m_starts_await_answers = true;
    return;
  }
  PlaceWithoutRoom(waiting, key, pool, search, now);
}

void JobScheduler::PlaceWithoutRoom(WaitingStep* waiting, const TaskKey& key, CandidatePool* pool,
                                    LastingSearch* search, Milliseconds now) {
  const auto hold = m_holds.find(key);
  const bool had_hold = hold != m_holds.end();
  if (!had_hold && search->no_future_room && search->no_released_room) {
    ++search->unplaced;
    return;
  }
  ReportUnplaced(*waiting, key, now);
  if (had_hold || !search->no_future_room) {
    const UpstreamId held_on = had_hold ? hold->second.upstream : UpstreamId();
    const bool soon = HoldFutureRoom(*waiting, key, &pool->candidates, now);
    const auto kept = m_holds.find(key);
    if (kept == m_holds.end()) search->no_future_room = true;
    if (had_hold && (kept == m_holds.end() || kept->second.upstream != held_on)) {
      pool->ForgetSearches();
      search->no_room = false;
    }
    if (soon) return;
  }
  if (!search->no_released_room) {
    if (!m_released_candidates) m_released_candidates = FindBusyReleased(&m_sessions, now);
    UpstreamCandidate* const candidate =
        ChooseCandidate(&*m_released_candidates, *waiting, key, StartLimit::kApplied);
    if (candidate != nullptr) {
      StartTask(waiting, key, candidate, now);
      return;
    }
    const FitCounts fits = CountFits(*m_released_candidates, *waiting, key);
    if (fits.awaiting_answers > 0) {
      m_starts_await_answers = true;
      return;
    }
    search->no_released_room = fits.fit == 0;
  }
  ++search->unplaced;
}

bool JobScheduler::StartTask(WaitingStep* waiting, const TaskKey& key, UpstreamCandidate* candidate,
                             Milliseconds now) {
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
    const int members = static_cast<int>(state.tasks.size());
    int fitting = 0;
    for (const UpstreamCandidate& candidate : rack_candidates) {
      fitting += CountFitting(candidate, *waiting, members - fitting);
    }
    if (fitting < members) continue;
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
  ++session.starts_in_flight;
  --m_placements_left;
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

}  // namespace endivewood
