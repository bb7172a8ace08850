/// @file
/// JobScheduler: registry, leases and orders of upstreams, and moving tasks between them.
#include <algorithm>
#include <utility>

#include "best_effort_pace.h"
#include "config.h"
#include "events.h"
#include "job_scheduler.h"

namespace endivewood {

UpstreamSession* JobScheduler::FindSession(const UpstreamId& id) {
  const auto found = m_sessions.find(id);
  return found == m_sessions.end() ? nullptr : &found->second;
}

void JobScheduler::ScheduleRenew(UpstreamSession* session, Milliseconds at) {
  session->next_renew = std::min(session->next_renew, at);
  m_next_due = std::min(m_next_due, session->next_renew);
}

void JobScheduler::ApplyEntry(UpstreamSession* session, const UpstreamEntry& entry,
                              Milliseconds now) {
  const bool was_draining = session->entry.draining;
  session->entry = entry;
  session->address_unconfirmed = false;
  session->unconfirmed_entry.reset();
  if (!entry.draining || was_draining) return;
  session->drain_deadline = now + std::max(entry.remaining, m_options.drain_notice);
  LogEvent(Event::kUpstreamDraining, {{"upstream", entry.id}, {"remaining_ms", entry.remaining}});
}

void JobScheduler::SetUpstreams(const std::vector<UpstreamEntry>& entries, Milliseconds now) {
  m_loads.clear();
  std::set<UpstreamId> listed;
  for (const UpstreamEntry& entry : entries) {
    const auto ignored = m_ignored_until.find(entry.id);
    if (ignored != m_ignored_until.end() && ignored->second > now) continue;
    listed.insert(entry.id);
    const auto [position, added] = m_sessions.try_emplace(entry.id);
    UpstreamSession& session = position->second;
    if (added) session.hosted.CountInto(m_usage);
    const auto hold = m_release_holds.find(entry.id);
    if (added && hold != m_release_holds.end()) session.released_until = hold->second;
    if (added) {
      session.registered_at_change = MarkDirty(UpstreamKey(entry.id), true);
      session.fencing_token = m_options.epoch;
      const auto former = m_former_sessions.find(entry.id);
      if (former != m_former_sessions.end() && former->second.until > now) {
        session.incarnation = former->second.target.incarnation;
        session.fencing_token = former->second.target.fencing_token;
        BeginIncarnation(&session, now);
      }
    }
    if (IsOtherIncarnation(session, entry.start_time)) {
      if (session.former_start_times.count(entry.start_time) > 0) continue;
      if (entry.start_time < session.start_time) {
        // It may be outdated, or of a next incarnation that was started with its clock set back,
        // which only an answer shows.
        session.unconfirmed_entry = entry;
        if (session.unanswered > 0 && session.entry.endpoint != entry.endpoint) {
          session.entry.endpoint = entry.endpoint;
          session.address_unconfirmed = true;
        }
        continue;
      }
      HandleNewIncarnation(&session, entry.start_time, now);
    }
    ApplyEntry(&session, entry, now);
    if (session.start_time == 0) session.start_time = entry.start_time;
    session.listed = true;
  }
  for (auto it = m_sessions.begin(); it != m_sessions.end();) {
    UpstreamSession& session = it->second;
    session.listed = listed.count(it->first) > 0;
    const bool idle =
        session.hosted.empty() && !session.renew_in_flight && !session.HasUnsettledStart();
    const bool lists_complete = session.hosted_complete && !session.more_ended;
    // An end that is listed again after the upstream has returned, and acknowledged then, counts
    // like any other, unless a lease has ended in between.
    const bool nothing_outstanding =
        (lists_complete && session.HasAcknowledgedAllEnds()) || session.LatestLeaseEnd() <= now;
    if (session.listed || !idle || !nothing_outstanding) {
      ++it;
      continue;
    }
    LogEvent(Event::kUpstreamForgotten, {{"upstream", it->first}});
    DropUnacknowledgedFailures(&session, now);
    MarkDirty(UpstreamKey(it->first), false);
    m_former_sessions[it->first] = {.target = session.Target(),
                                    .until = now + Milliseconds(config::kMaxOrderDelayMs)};
    it = m_sessions.erase(it);
  }
  std::erase_if(m_former_sessions, [&](const auto& each) { return each.second.until <= now; });
  m_next_due = now;
}

void JobScheduler::Requeue(const TaskKey& task, const UpstreamId& upstream, std::uint64_t run,
                           Milliseconds now) {
  const auto job = m_jobs.find(task.job);
  if (job == m_jobs.end()) return;
  TaskState* state = job->second->Find(task);
  if (state == nullptr || !state->placed) return;
  const PlacedRun gone{.upstream = upstream, .run = run};
  if (state->copy == gone) state->copy.reset();
  if (*state->placed != gone) return;
  state->placed = std::exchange(state->copy, std::nullopt);
  if (state->placed) return;
  state->requeued_at = std::max(state->requeued_at.value_or(now), now);
  state->not_before = std::max(state->not_before, now);
  --job->second->occurrences().at(task.occurrence).steps[task.step].placed;
  m_next_due = Milliseconds{0};
}

void JobScheduler::DropRun(UpstreamSession* session, const TaskKey& task, const char* cause,
                           Milliseconds now) {
  const auto hosted = session->hosted.find(task);
  if (hosted == session->hosted.end()) return;
  LogEvent(Event::kTaskDropped, {RequestField(task.job.str()),
                                 {"task", task.str()},
                                 {"run", hosted->second.run},
                                 {"upstream", session->entry.id},
                                 {"cause", cause}});
  Requeue(task, session->entry.id, hosted->second.run, now);
  session->hosted.erase(hosted);
}

void JobScheduler::HandleLeaseEnd(UpstreamSession* session, Milliseconds now) {
  LogEvent(Event::kUpstreamLeaseEnded, {{"upstream", session->entry.id},
                                        {"born", session->start_time},
                                        {"runs", session->hosted.size()},
                                        {"clock", session->clock.LowerBoundAt(now)},
                                        {"lease_until", session->lease_until},
                                        {"list_read", session->hosted_complete},
                                        {"silent_ms", now - session->last_answer}});
  m_unavailable.clear();
  while (!session->hosted.empty()) {
    DropRun(session, session->hosted.begin()->first, "lease-ended", now);
  }
  DropUnacknowledgedFailures(session, now);
  // A run list has to be read again before a task is placed there.
  session->fenced = false;
}

std::int64_t JobScheduler::StartBytes(const std::string& payload) {
  return static_cast<std::int64_t>(payload.size()) + config::kStartOverheadBytes;
}

void JobScheduler::OnStarted(const StartOrder& order, const OrderReply& reply, Milliseconds now) {
  m_unanswered_bytes -= StartBytes(order.payload);
  if (m_start_window_full) m_next_due = Milliseconds{0};
  UpstreamSession* session = FindSession(order.upstream);
  if (session == nullptr) return;
  session->starts_in_flight = std::max(0, session->starts_in_flight - 1);
  if (m_starts_await_answers && 2 * session->starts_in_flight <= config::kMaxUnansweredStarts) {
    m_next_due = Milliseconds{0};
  }
  // An answer may come from the incarnation for which the order was meant, or from the next one.
  const bool current = order.target.incarnation == session->incarnation;
  if (reply.outcome != OrderOutcome::kNoAnswer) {
    std::erase_if(session->unanswered_starts, [&](const UpstreamSession::UnansweredStart& start) {
      return start.task == order.task && start.run == order.run;
    });
  }
  const auto found = session->hosted.find(order.task);
  if (found == session->hosted.end() || found->second.run != order.run) return;
  HostedRun& run = found->second;
  if (current && reply.clock && reply.outcome != OrderOutcome::kWrongIncarnation) {
    session->clock.Observe(*reply.clock, now);
  }
  if (reply.outcome != OrderOutcome::kDone) {
    LogEvent(Event::kOrderFailed, {RequestField(order.task.job.str()),
                                   {"order", "start"},
                                   {"task", order.task.str()},
                                   {"run", order.run},
                                   {"upstream", order.upstream},
                                   {"outcome", OrderOutcomeName(reply.outcome)},
                                   {"current", current}});
  }
  switch (reply.outcome) {
    case OrderOutcome::kDone:
      if (run.state == HostedState::kStarting || run.state == HostedState::kUncertain) {
        run.state = HostedState::kRunning;
        run.confirmed_at = now;
      }
      if (const auto job = m_jobs.find(order.task.job); job != m_jobs.end()) {
        NoteStarted(job->second.get());
      }
      if (current) session->unanswered = 0;
      return;
    case OrderOutcome::kNoAnswer:
      if (run.state == HostedState::kStarting) run.state = HostedState::kUncertain;
      if (current) ++session->unanswered;
      ScheduleRenew(session, now);
      return;
    case OrderOutcome::kFenced:
      // The next incarnation refuses orders that were meant for the former one.
      if (!current) break;
      m_fenced_out = true;
      return;
    case OrderOutcome::kNoCapacity:
      if (current) session->full_until = now + Milliseconds(config::kFullAvoidMs);
      break;
    case OrderOutcome::kUnhealthy:
    case OrderOutcome::kNotSent:
    case OrderOutcome::kOtherIncarnation:
      if (current) session->avoid_until = now + Milliseconds(config::kUnhealthyAvoidMs);
      break;
    case OrderOutcome::kWrongIncarnation: {
      if (!current || session->address_unconfirmed) break;
      m_ignored_until[order.upstream] = now + Milliseconds(config::kUpstreamAvoidMs);
      session->listed = false;
      session->inherited_lease_end = now;
      HandleLeaseEnd(session, now);
      return;
    }
    default:
      break;
  }
  if (run.state == HostedState::kStopping) return;
  if (reply.outcome == OrderOutcome::kLeaseExpired) ScheduleRenew(session, now);
  DropRun(session, order.task, OrderOutcomeName(reply.outcome), now);
}

void JobScheduler::Stop(UpstreamSession* session, const TaskKey& task, HostedRun* run,
                        Milliseconds now) {
  run->state = HostedState::kStopping;
  run->stop_sent_at = now;
  session->stops_unconfirmed = true;
  m_orders.emplace_back(StopOrder{
      .upstream = session->entry.id, .task = task, .run = run->run, .target = session->Target()});
  ScheduleRenew(session, now + Milliseconds(config::kRenewSpacingMs));
}

void JobScheduler::OnStopped(const StopOrder& order, const OrderReply& reply, Milliseconds now) {
  UpstreamSession* session = FindSession(order.upstream);
  if (session == nullptr) return;
  // The stop is repeated for the present incarnation.
  if (order.target.incarnation != session->incarnation) return;
  const auto found = session->hosted.find(order.task);
  if (found == session->hosted.end() || found->second.run != order.run) return;
  if (reply.outcome == OrderOutcome::kDone) {
    session->SettleStarts(order.task, order.run);
    found->second.stop_confirmed_at = now;
    ScheduleRenew(session, now);
    return;
  }
  if (reply.outcome == OrderOutcome::kFenced) m_fenced_out = true;
  if (reply.outcome == OrderOutcome::kWrongIncarnation) {
    DropRun(session, order.task, "wrong-incarnation", now);
  }
}

void JobScheduler::OnPaced(const PaceOrder& order, const OrderReply& reply, Milliseconds) {
  UpstreamSession* session = FindSession(order.upstream);
  if (session == nullptr || reply.outcome != OrderOutcome::kDone) return;
  if (order.target.incarnation != session->incarnation) return;
  const auto found = session->hosted.find(order.task);
  if (found != session->hosted.end()) found->second.pace = order.percent;
}

void JobScheduler::OnRenewed(const RenewOrder& order, const RenewReply& reply, Milliseconds now) {
  UpstreamSession* session = FindSession(order.upstream);
  if (session == nullptr) return;
  if (order.target.incarnation != session->incarnation) return;
  session->renew_in_flight = false;
  switch (reply.outcome) {
    case OrderOutcome::kDone:
      break;
    case OrderOutcome::kFenced:
      m_fenced_out = true;
      return;
    case OrderOutcome::kWrongIncarnation:
      if (!session->address_unconfirmed) {
        m_ignored_until[order.upstream] = now + Milliseconds(config::kUpstreamAvoidMs);
        session->listed = false;
        session->inherited_lease_end = now;
        session->clock = RemoteClock();
        HandleLeaseEnd(session, now);
        session->next_renew = now + Milliseconds(config::kUpstreamAvoidMs);
        return;
      }
      [[fallthrough]];
    default:
      if (reply.outcome == OrderOutcome::kNotSent ||
          reply.outcome == OrderOutcome::kOtherIncarnation) {
        session->sent_cursor = session->previous_sent_cursor;
      }
      if (++session->unanswered == 1) {
        LogEvent(Event::kUpstreamUnreachable, {{"upstream", order.upstream},
                                               {"outcome", OrderOutcomeName(reply.outcome)},
                                               {"silent_ms", now - session->last_answer}});
      }
      session->next_renew = now + Milliseconds(config::kRenewRetryMs);
      m_next_due = std::min(m_next_due, session->next_renew);
      return;
  }
  if (IsOtherIncarnation(*session, reply.start_time)) {
    // No former incarnation answers an order that was given after it had ended. The list that
    // counts is the one read with the new fencing token.
    HandleNewIncarnation(session, reply.start_time, now);
    return;
  }
  if (reply.start_time != 0) session->start_time = reply.start_time;
  session->clock.Observe(reply.clock, now);
  session->last_answer = now;
  session->ends_timely = session->unanswered == 0 && !session->more_ended && !reply.more_ended;
  if (session->unanswered > 1) session->history.NoteReturn(now);
  session->unanswered = 0;
  const bool fenced_now = !session->fenced;
  if (fenced_now) {
    session->fenced = true;
    session->hosted_complete = true;
    // A lease extended by an earlier holder ends no later than one that starts now.
    session->lease_until = std::max(session->lease_until, reply.clock + m_options.lease.count());
    if (session->follows_incarnation && !session->accepted_token &&
        FormerLeaseLimit(*session) > now) {
      session->former_lease_until = reply.clock + m_options.max_lease.count();
    }
    session->accepted_token = true;
    LogEvent(Event::kUpstreamFenced, {{"upstream", order.upstream},
                                      {"fencing_token", session->fencing_token},
                                      {"born", reply.start_time},
                                      {"clock", reply.clock},
                                      {"former_lease_until", session->former_lease_until},
                                      {"running", reply.running.size()},
                                      {"ended", reply.ended.size()},
                                      {"more_ended", reply.more_ended}});
  }
  session->more_ended = reply.more_ended;
  session->acknowledged_cursor = std::max(session->acknowledged_cursor, order.acknowledge_up_to);
  AcknowledgeFailures(session, order.acknowledge_up_to, now);
  ProcessEndedRows(session, reply.ended, now);
  ProcessRunningRows(session, order, reply.running, now);
  // Starts that were dropped at the end of a lease may still be executed under the next one.
  if (fenced_now) StopUnansweredStarts(session, now);
  session->next_renew = now + Milliseconds(config::kRenewSpacingMs);
  if (order.lease_until == std::nullopt) session->next_renew = now;
  m_next_due = Milliseconds{0};
}

void JobScheduler::RunSessions(Milliseconds now, const HolderRights& rights) {
  for (auto& [id, session] : m_sessions) RunSession(&session, now, rights);
}

void JobScheduler::RunSession(UpstreamSession* session, Milliseconds now,
                              const HolderRights& rights) {
  // Unless ownership was confirmed after the lease end, another holder may have extended the lease.
  if (!session->hosted.empty() && session->LatestLeaseEnd() <= std::min(now, rights.confirmed_at)) {
    HandleLeaseEnd(session, now);
  }
  std::erase_if(session->unanswered_starts, [&](const UpstreamSession::UnansweredStart& start) {
    return start.sent_at + Milliseconds(config::kMaxOrderDelayMs) <= now;
  });
  if (session->follows_incarnation && FormerLeaseLimit(*session) <= now) {
    session->follows_incarnation = false;
    MarkDirty(UpstreamKey(session->entry.id), false);
  }
  if (session->stops_unconfirmed && session->no_contact_before <= now) RepeatStops(session, now);
  const bool evacuate = session->entry.draining || session->released_until > now;
  if (evacuate && rights.move && now >= m_no_moves_before) EvacuateUpstream(session, now);
  MoveStalledTasks(session, now);
  AdjustPace(session, now);
  session->next_renew = std::max(session->next_renew, session->no_contact_before);
  if (!session->renew_in_flight && session->next_renew <= now) Renew(session, now, rights.extend);
  if (!session->renew_in_flight) m_next_due = std::min(m_next_due, session->next_renew);
}

void JobScheduler::RepeatStops(UpstreamSession* session, Milliseconds now) {
  session->stops_unconfirmed = false;
  for (auto& [task, run] : session->hosted) {
    if (run.state != HostedState::kStopping || run.stop_confirmed_at) continue;
    session->stops_unconfirmed = true;
    const Milliseconds due = run.stop_sent_at + Milliseconds(config::kStopRetryMs);
    if (due <= now) Stop(session, task, &run, now);
  }
}

void JobScheduler::Renew(UpstreamSession* session, Milliseconds now, bool may_extend) {
  RenewOrder order{.upstream = session->entry.id,
                   .lease_until = std::nullopt,
                   .acknowledge_up_to = 0,
                   .wait = Milliseconds{0},
                   .sent_at = now,
                   .target = session->Target()};
  // The first renew order only sets the fencing token and reads the upstream's clock. After a
  // missing answer the lease isn't extended either: extensions whose answers are lost would
  // postpone the end of the lease indefinitely.
  const bool answered = session->unanswered == 0;
  // The order could reach a new incarnation, which would drop its own ended runs with these
  // numbers. Only new ends are acknowledged, and only after an answer.
  const bool unacknowledged = session->stored_cursor > session->acknowledged_cursor;
  if (answered && unacknowledged) order.acknowledge_up_to = session->stored_cursor;
  if (session->fenced && session->clock.known() && answered && may_extend) {
    order.lease_until = session->clock.LowerBoundAt(now) + m_options.lease.count();
    session->lease_until = std::max(session->lease_until, *order.lease_until);
  }
  const bool all_running =
      std::all_of(session->hosted.begin(), session->hosted.end(),
                  [](const auto& each) { return each.second.state == HostedState::kRunning; });
  const bool busy = !session->hosted.empty();
  if (session->fenced && all_running && session->pending_acks.empty() && !session->more_ended) {
    order.wait = Milliseconds(busy ? config::kBusyRenewWaitMs : config::kIdleRenewWaitMs);
  }
  session->renew_sent_at = now;
  session->previous_sent_cursor = session->sent_cursor;
  session->sent_cursor = std::max(session->sent_cursor, order.acknowledge_up_to);
  session->renew_in_flight = true;
  session->next_renew = now + order.wait + Milliseconds(config::kRenewTimeoutMs);
  m_orders.emplace_back(order);
}

void JobScheduler::ResolveInheritedTasks(Milliseconds now, Milliseconds confirmed_at) {
  Milliseconds latest{0};
  for (const auto& [id, session] : m_sessions) {
    if (session.fenced && !session.more_ended) continue;
    const Milliseconds lease_end =
        session.fenced ? session.LatestLeaseEnd() : session.inherited_lease_end;
    if (lease_end <= std::min(now, confirmed_at)) continue;
    latest = std::max(latest, lease_end);
  }
  if (latest > Milliseconds{0}) {
    m_next_due = std::min(m_next_due, std::max(latest, now + Milliseconds(config::kRenewRetryMs)));
    return;
  }
  m_inherited_pending = false;
  // An earlier holder may have ended before it recorded that a job has failed.
  std::vector<TaskKey> failed_tasks;
  for (const auto& [id, job] : m_jobs) {
    for (const auto& [number, occurrence] : job->occurrences()) {
      for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
        const std::vector<TaskState>& tasks = occurrence.steps[step].tasks;
        for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
          if (tasks[index].failed.empty() || job->spec().steps[step].lasting) continue;
          failed_tasks.push_back({.job = id, .occurrence = number, .step = step, .index = index});
        }
      }
    }
  }
  for (const TaskKey& task : failed_tasks) FailJobIfAttemptsExhausted(task, now);
  LogEvent(Event::kInheritedSettled,
           {{"partition", m_options.partition}, {"epoch", m_options.epoch}});
}

void JobScheduler::EvacuateUpstream(UpstreamSession* session, Milliseconds now) {
  if (!session->fenced) return;
  const bool draining = session->entry.draining;
  const Milliseconds release_limit(config::kReleaseGraceMs);
  for (auto& [task, run] : session->hosted) {
    if (run.state != HostedState::kRunning || m_jobs.count(task.job) == 0) continue;
    const UpstreamSession* target = nullptr;
    if (run.lasting) {
      target = PrepareMove(task, *session, now);
      if (target == nullptr) continue;
    } else {
      const Milliseconds left = run.ordered_at + run.estimate - now;
      const Milliseconds limit = draining ? session->drain_deadline - now : release_limit;
      if (left <= limit || run.checkpoint.empty()) continue;
    }
    LogEvent(Event::kTaskMoved, {RequestField(task.job.str()),
                                 {"task", task.str()},
                                 {"run", run.run},
                                 {"upstream", session->entry.id},
                                 {"cause", draining ? "draining" : "released"},
                                 {"target", target == nullptr ? "" : target->entry.id.str()}});
    Stop(session, task, &run, now);
  }
}

ReleaseState JobScheduler::Release(const UpstreamId& upstream, Milliseconds now) {
  UpstreamSession* session = FindSession(upstream);
  const Milliseconds until = now + Milliseconds(config::kReleaseHoldMs);
  if (session == nullptr) {
    // No task was placed there, and none will be during the hold.
    m_release_holds[upstream] = until;
    return ReleaseState::kReleased;
  }
  session->released_until = until;
  m_next_due = now;
  // Ended runs that aren't acknowledged yet would be lost with the instance.
  const bool lists_complete = session->fenced && !session->more_ended;
  const bool nothing_outstanding =
      (lists_complete && session->HasAcknowledgedAllEnds()) || session->LatestLeaseEnd() <= now;
  if (!session->hosted.empty() || !nothing_outstanding) return ReleaseState::kBusy;
  session->reported_released_until = until;
  return ReleaseState::kReleased;
}

void JobScheduler::MoveStalledTasks(UpstreamSession* session, Milliseconds now) {
  // Without a further answer no more runs are known to be stalled, and a run that isn't listed may
  // have ended.
  if (session->unanswered > 0 || session->more_ended ||
      session->stalls_checked_at == session->last_answer)
    return;
  session->stalls_checked_at = session->last_answer;
  for (auto& [task, run] : session->hosted) {
    if (run.state != HostedState::kRunning || run.lasting) continue;
    const Milliseconds timeout = std::max(Milliseconds(config::kStalledMs), run.estimate);
    const Milliseconds due = run.progressed_at + timeout;
    // Progress is known only from run lists, so a task isn't stalled while they are missing.
    if (due > now || session->last_answer < due) continue;
    if (m_jobs.count(task.job) == 0) continue;
    LogEvent(Event::kTaskMoved, {RequestField(task.job.str()),
                                 {"task", task.str()},
                                 {"run", run.run},
                                 {"upstream", session->entry.id},
                                 {"cause", "stalled"},
                                 {"percent", run.percent}});
    Job& job = *m_jobs[task.job];
    if (TaskState* state = job.Find(task)) state->avoided.push_back(session->entry.id);
    session->CountFailure(task.job, job.AnyTaskDone(task), now);
    session->avoid_until = now + Milliseconds(config::kUpstreamAvoidMs);
    Stop(session, task, &run, now);
  }
}

void JobScheduler::AdjustPace(UpstreamSession* session, Milliseconds now) {
  if (!session->hosted.any_best_effort()) return;
  const std::optional<int> percent = DecidePace(*session, now);
  if (!percent) return;
  for (auto& [task, run] : session->hosted) {
    if (!run.best_effort || run.state != HostedState::kRunning || run.pace == *percent) continue;
    run.paced_at = now;
    m_orders.emplace_back(PaceOrder{.upstream = session->entry.id,
                                    .task = task,
                                    .run = run.run,
                                    .percent = *percent,
                                    .target = session->Target()});
    LogEvent(Event::kTaskPaced, {RequestField(task.job.str()),
                                 {"task", task.str()},
                                 {"upstream", session->entry.id},
                                 {"percent", *percent}});
  }
}

}  // namespace endivewood
