/// @file
/// JobScheduler: upstreams that start again under their ids, and what remains of their former
/// incarnations: orders that may still be executed, and the leases that they set.
#include <algorithm>

#include "config.h"
#include "events.h"
#include "job_scheduler.h"

namespace endivewood {

bool JobScheduler::IsOtherIncarnation(const UpstreamSession& session, std::int64_t start_time) {
  return start_time != 0 && session.start_time != 0 && start_time != session.start_time;
}

void JobScheduler::BeginIncarnation(UpstreamSession* session, Milliseconds now) {
  ++session->incarnation;
  session->follows_incarnation = true;
  session->former_orders_until = now + Milliseconds(config::kMaxOrderDelayMs);
  session->accepted_token = false;
  // The next holder has to know of the restart before a task is placed there.
  session->registered = false;
  session->registered_at_change = MarkDirty(UpstreamKey(session->entry.id), true);
  const std::uint64_t token = session->fencing_token + 1;
  if (token % config::kTermsPerGeneration <= config::kRestartTokensPerGeneration) {
    session->fencing_token = token;
    m_highest_fencing_token = std::max(m_highest_fencing_token, token);
  } else {
    session->no_contact_before = now + Milliseconds(config::kMaxOrderDelayMs);
    LogEvent(Event::kTokensExhausted, {{"upstream", session->entry.id},
                                       {"fencing_token", session->fencing_token},
                                       {"wait_ms", config::kMaxOrderDelayMs}});
  }
  // Its answer would come from the former incarnation, or lack the new fencing token.
  session->renew_in_flight = false;
}

Milliseconds JobScheduler::FormerLeaseLimit(const UpstreamSession& session) const {
  return session.former_orders_until + LongestTimeOf(m_options.max_lease);
}

Milliseconds JobScheduler::InheritedLeaseEnd(const UpstreamSession& session) const {
  if (!session.follows_incarnation) return m_inherited_lease_end;
  return m_inherited_lease_end + LongestTimeOf(m_options.max_lease) -
         LongestTimeOf(m_options.lease);
}

void JobScheduler::HandleNewIncarnation(UpstreamSession* session, std::int64_t start_time,
                                        Milliseconds now) {
  BeginIncarnation(session, now);
  LogEvent(Event::kUpstreamRestarted, {{"upstream", session->entry.id},
                                       {"born", start_time},
                                       {"was_born", session->start_time},
                                       {"fencing_token", session->fencing_token}});
  for (auto it = session->hosted.begin(); it != session->hosted.end();) {
    HostedRun& run = it->second;
    if (!run.listed) {
      // The new incarnation may have executed the start, or may still do so. Its first run list
      // shows it.
      if (run.state != HostedState::kStopping) run.state = HostedState::kUncertain;
      run.stop_confirmed_at.reset();
      session->stops_unconfirmed = true;
      ++it;
      continue;
    }
    Requeue(it->first, session->entry.id, run.run, now);
    it = session->hosted.erase(it);
  }
  StopUnansweredStarts(session, now);
  // An acknowledgement sent after the new incarnation began hasn't reached the previous one.
  const bool reached_previous_incarnation =
      (session->renew_sent_at + m_unix_offset).count() < start_time;
  if (!reached_previous_incarnation) session->sent_cursor = session->previous_sent_cursor;
  DropUnacknowledgedFailures(session, now);
  session->former_start_times.insert(session->start_time);
  session->former_start_times.erase(start_time);
  session->start_time = start_time;
  if (session->unconfirmed_entry && session->unconfirmed_entry->start_time == start_time) {
    ApplyEntry(session, UpstreamEntry(*session->unconfirmed_entry), now);
  }
  // If the new incarnation has executed an order, its lease end was stated by the old clock.
  const Milliseconds in_flight_end = now + LongestTimeOf(m_options.max_lease);
  if (!session->hosted_complete) {
    session->inherited_lease_end = std::max(InheritedLeaseEnd(*session), in_flight_end);
  } else if (!session->hosted.empty()) {
    session->inherited_lease_end = in_flight_end;
  }
  session->hosted_complete = false;
  session->more_ended = false;
  session->fenced = false;
  session->clock = RemoteClock();
  session->lease_until = 0;
  session->former_lease_until = 0;
  session->processed_cursor = 0;
  session->stored_cursor = 0;
  session->sent_cursor = 0;
  session->acknowledged_cursor = 0;
  session->pending_acks.clear();
  session->unanswered = 0;
  session->avoid_until = Milliseconds{0};
  session->ForgetFailures();
  ScheduleRenew(session, now);
}

/// Neither a new incarnation nor one whose lease had ended knows that the runs of earlier starts
/// aren't wanted any more. Each start that may still be executed is therefore stopped there and
/// keeps its reservation until the stop is confirmed. Unless its task has been placed elsewhere, it
/// waits for that too.
void JobScheduler::StopUnansweredStarts(UpstreamSession* session, Milliseconds now) {
  for (const UpstreamSession::UnansweredStart& start : session->unanswered_starts) {
    const auto known = session->hosted.find(start.task);
    // A stop also rejects earlier runs of the task.
    if (known != session->hosted.end() && known->second.run >= start.run) continue;
    HoldTask(*session, start);
    HostedRun& run = session->hosted.Put(start.task, {.run = start.run,
                                                      .reserved = start.reserved,
                                                      .ordered_at = start.sent_at,
                                                      .account = start.account,
                                                      .charged = start.charged});
    Stop(session, start.task, &run, now);
  }
}

void JobScheduler::HoldTask(const UpstreamSession& session,
                            const UpstreamSession::UnansweredStart& start) {
  const auto found = m_jobs.find(start.task.job);
  TaskState* const task = found == m_jobs.end() ? nullptr : found->second->Find(start.task);
  if (task == nullptr || task->done) return;
  if (!task->placed) {
    ++found->second->occurrences().at(start.task.occurrence).steps[start.task.step].placed;
  } else if (task->placed->upstream != session.entry.id || task->placed->run > start.run) {
    return;
  }
  task->placed = PlacedRun{.upstream = session.entry.id, .run = start.run};
}

}  // namespace endivewood
