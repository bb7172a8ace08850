/// @file
/// JobScheduler: processes an upstream's run list, including runs that are missing from it.
#include <algorithm>

#include "config.h"
#include "events.h"
#include "job_scheduler.h"

namespace endivewood {
namespace {

const char* RunEndName(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kGangMemberEnded:
      return "broken";
    case RunEnd::kGangTimeout:
      return "alone";
  }
  return "failed";
}

}  // namespace

void JobScheduler::ProcessEndedRows(UpstreamSession* session, const std::vector<EndedRow>& rows,
                                    Milliseconds now) {
  std::uint64_t last_lapse = 0;
  for (const EndedRow& row : rows) {
    if (row.end == RunEnd::kLapsed) last_lapse = std::max(last_lapse, row.number);
  }
  std::vector<EndedRow> ordered = rows;
  std::sort(ordered.begin(), ordered.end(),
            [](const EndedRow& a, const EndedRow& b) { return a.number < b.number; });
  for (const EndedRow& row : ordered) {
    if (row.number <= session->processed_cursor) continue;
    HandleRunEnd(session, row, row.number < last_lapse, now);
    session->processed_cursor = row.number;
    session->pending_acks.push_back({.number = row.number, .change = m_change});
  }
  session->OnDurable(m_durable);
}

void JobScheduler::HandleRunEnd(UpstreamSession* session, const EndedRow& row, bool before_lapse,
                                Milliseconds now) {
  const auto hosted = session->hosted.find(row.task);
  const bool known = hosted != session->hosted.end() && hosted->second.run == row.run;
  const Milliseconds ran = known ? now - hosted->second.ordered_at : Milliseconds{0};
  const std::optional<HostedRun> run =
      known ? std::optional<HostedRun>(hosted->second) : std::nullopt;
  if (known) session->hosted.erase(hosted);
  session->SettleStarts(row.task, row.run);
  const auto found = m_jobs.find(row.task.job);
  TaskState* task = found == m_jobs.end() ? nullptr : found->second->Find(row.task);
  const PlacedRun ended{.upstream = session->entry.id, .run = row.run};
  const bool is_copy = task != nullptr && task->copy == ended;
  const bool current =
      task != nullptr && !task->done && (!task->placed || *task->placed == ended || is_copy);
  LogEvent(Event::kTaskEnded, {RequestField(row.task.job.str()),
                               {"task", row.task.str()},
                               {"run", row.run},
                               {"upstream", session->entry.id},
                               {"end", RunEndName(row.end)},
                               {"number", row.number},
                               {"ran_ms", ran},
                               {"current", current},
                               {"before_lapse", before_lapse}});
  if (found != m_jobs.end()) NoteStarted(found->second.get());
  if (!current) return;
  Job& job = *found->second;
  if (!row.checkpoint.empty()) task->checkpoint = row.checkpoint;
  Requeue(row.task, session->entry.id, row.run, now);
  const bool lasting = job.StepOf(row.task).lasting;
  if (row.end == RunEnd::kFailed) {
    HandleFailure(session, &job, task, row, now);
  } else if (row.end == RunEnd::kDone && !before_lapse && !lasting) {
    if (run) LearnDuration(session, *run, row.task, now);
    session->history.NoteEnd(false, now);
    session->ForgetFailures();
    job.MarkDone(row.task);
    StopOtherRun(row.task, is_copy, now);
    if (job.state == JobState::kComplete) {
      EndJob(row.task.job, JobState::kComplete, now);
    } else {
      MarkDirty(JobKey(row.task.job), false);
    }
  }
  if (lasting && row.end == RunEnd::kDone) {
    task->not_before = now + Milliseconds(config::kLastingRetryMs);
  }
}

void JobScheduler::HandleFailure(UpstreamSession* session, Job* job, TaskState* task,
                                 const EndedRow& row, Milliseconds now) {
  const bool failed_before = !task->failed.empty();
  task->avoided.push_back(session->entry.id);
  // A task that has failed before is no evidence against this upstream.
  if (!failed_before) {
    session->history.NoteEnd(true, now);
    session->CountFailure(row.task.job, job->AnyTaskDone(row.task), now);
  }
  if (session->IsSuspect()) {
    session->avoid_until = now + Milliseconds(config::kUpstreamAvoidMs);
    LogEvent(Event::kUpstreamAvoided,
             {{"upstream", session->entry.id}, {"failed_streak", session->failed_streak}});
  }
  if (job->StepOf(row.task).lasting) {
    task->not_before = now + Milliseconds(config::kLastingRetryMs);
    return;
  }
  const auto known = std::find_if(task->failed.begin(), task->failed.end(),
                                  [&](const FailedRun& failed) { return failed.run == row.run; });
  // An earlier holder may have stored the failure without acknowledging it.
  if (known == task->failed.end()) {
    task->failed.push_back({.run = row.run, .acknowledged = false});
  } else {
    known->acknowledged = false;
  }
  session->failures.push_back({.number = row.number, .task = row.task, .run = row.run});
  task->failed_at_change = MarkDirty(JobKey(row.task.job), true);
}

void JobScheduler::AcknowledgeFailures(UpstreamSession* session, std::uint64_t cursor,
                                       Milliseconds now) {
  std::vector<TaskKey> acknowledged;
  std::erase_if(session->failures, [&](const UpstreamSession::UnacknowledgedFailure& failure) {
    if (failure.number > cursor) return false;
    const auto job = m_jobs.find(failure.task.job);
    TaskState* task = job == m_jobs.end() ? nullptr : job->second->Find(failure.task);
    if (task == nullptr) return true;
    for (FailedRun& failed : task->failed) {
      if (failed.run == failure.run) failed.acknowledged = true;
    }
    acknowledged.push_back(failure.task);
    return true;
  });
  for (const TaskKey& task : acknowledged) FailJobIfAttemptsExhausted(task, now);
}

/// Called when an upstream is lost: drops the failures that were never acknowledged, since the
/// platform doesn't count them. A sent acknowledgement counts even without an answer, because an
/// upstream processes it on arrival and answers up to a second later.
void JobScheduler::DropUnacknowledgedFailures(UpstreamSession* session, Milliseconds now) {
  AcknowledgeFailures(session, session->sent_cursor, now);
  for (const UpstreamSession::UnacknowledgedFailure& failure : session->failures) {
    const auto job = m_jobs.find(failure.task.job);
    TaskState* task = job == m_jobs.end() ? nullptr : job->second->Find(failure.task);
    if (task == nullptr) continue;
    std::erase_if(task->failed, [&](const FailedRun& failed) { return failed.run == failure.run; });
    MarkDirty(JobKey(failure.task.job), false);
  }
  session->failures.clear();
}

void JobScheduler::FailJobIfAttemptsExhausted(const TaskKey& key, Milliseconds now) {
  const auto job = m_jobs.find(key.job);
  if (job == m_jobs.end()) return;
  const TaskState* const task = job->second->Find(key);
  const auto attempts = static_cast<std::size_t>(job->second->policy().attempts);
  const bool all = std::all_of(task->failed.begin(), task->failed.end(),
                               [](const FailedRun& failed) { return failed.acknowledged; });
  if (task->failed.size() >= attempts && all) EndJob(key.job, JobState::kFailed, now);
}

void JobScheduler::ProcessRunningRows(UpstreamSession* session, const RenewOrder& order,
                                      const std::vector<RunningRow>& rows, Milliseconds now) {
  std::set<TaskKey> listed;
  for (const RunningRow& row : rows) {
    const auto found = session->hosted.find(row.task);
    listed.insert(row.task);
    session->SettleStarts(row.task, row.run);
    if (found != session->hosted.end() && found->second.run > row.run) {
      StopEarlierRun(session, row, &found->second, now);
      continue;
    }
    if (found == session->hosted.end() || found->second.run != row.run) {
      Adopt(session, row, now);
      continue;
    }
    HostedRun& run = found->second;
    const auto job = m_jobs.find(row.task.job);
    if (!run.listed && job != m_jobs.end()) NoteStarted(job->second.get());
    run.listed = true;
    if (run.state == HostedState::kStarting || run.state == HostedState::kUncertain) {
      run.state = HostedState::kRunning;
      run.confirmed_at = now;
    }
    if (row.percent != run.percent) run.progressed_at = now;
    run.percent = row.percent;
    run.usage = row.usage;
    if (row.checkpoint.empty() || row.checkpoint == run.checkpoint) continue;
    run.checkpoint = row.checkpoint;
    TaskState* task = job == m_jobs.end() ? nullptr : job->second->Find(row.task);
    if (task != nullptr) task->checkpoint = row.checkpoint;
  }
  ReconcileMissingRuns(session, order, listed, now);
}

void JobScheduler::Adopt(UpstreamSession* session, const RunningRow& row, Milliseconds now) {
  const auto found = m_jobs.find(row.task.job);
  TaskState* task = found == m_jobs.end() ? nullptr : found->second->Find(row.task);
  const bool as_copy =
      task != nullptr && MayAdoptAsCopy(*found->second, *task, row, session->entry.id);
  const bool wanted = task != nullptr && !task->done && (!task->placed || as_copy);
  HostedRun hosted{.run = row.run,
                   .reserved = {},
                   .state = HostedState::kRunning,
                   .ordered_at = now,
                   .confirmed_at = now,
                   .listed = true,
                   .percent = row.percent,
                   .usage = row.usage,
                   .progressed_at = now,
                   .checkpoint = row.checkpoint};
  if (task != nullptr) {
    const StepSpec& spec = found->second->StepOf(row.task);
    hosted.reserved = ReservationOf(spec);
    hosted.estimate = found->second->DurationOf(row.task.step);
    hosted.resumed = true;
    hosted.lasting = spec.lasting;
    hosted.best_effort = spec.best_effort;
    hosted.target_latency = spec.target_latency;
    hosted.account = found->second->spec().account;
    hosted.charged = ChargeOf(spec);
  } else {
    // The job is unknown, and so are the run's requirements: reserve the whole upstream until the
    // run has been stopped. The registry may describe its capacity only later.
    hosted.reserved = session->entry.capacity;
    hosted.needs_known = false;
  }
  LogEvent(Event::kTaskAdopted, {RequestField(row.task.job.str()),
                                 {"task", row.task.str()},
                                 {"run", row.run},
                                 {"upstream", session->entry.id},
                                 {"wanted", wanted}});
  if (found != m_jobs.end()) NoteStarted(found->second.get());
  HostedRun& kept = session->hosted.Put(row.task, hosted);
  if (!wanted) {
    Stop(session, row.task, &kept, now);
    return;
  }
  const PlacedRun adopted{.upstream = session->entry.id, .run = row.run};
  if (as_copy) {
    task->copy = adopted;
    return;
  }
  task->placed = adopted;
  task->inherited = false;
  if (!row.checkpoint.empty()) task->checkpoint = row.checkpoint;
  ++found->second->occurrences().at(row.task.occurrence).steps[row.task.step].placed;
}

void JobScheduler::StopEarlierRun(UpstreamSession* session, const RunningRow& row, HostedRun* newer,
                                  Milliseconds now) {
  LogEvent(Event::kTaskAdopted, {RequestField(row.task.job.str()),
                                 {"task", row.task.str()},
                                 {"run", row.run},
                                 {"upstream", session->entry.id},
                                 {"wanted", false}});
  m_orders.emplace_back(StopOrder{.upstream = session->entry.id,
                                  .task = row.task,
                                  .run = row.run,
                                  .target = session->Target()});
  // The newer run may still start. Its reservation covers both.
  if (newer->state != HostedState::kStopping) Stop(session, row.task, newer, now);
}

void JobScheduler::ReconcileMissingRuns(UpstreamSession* session, const RenewOrder& order,
                                        const std::set<TaskKey>& listed, Milliseconds now) {
  std::vector<TaskKey> missing;
  for (auto& [task, run] : session->hosted) {
    if (listed.count(task) > 0) {
      const bool retry_stop = run.state == HostedState::kStopping && !run.stop_confirmed_at &&
                              run.stop_sent_at + Milliseconds(config::kStopRetryMs) <= now;
      if (retry_stop) Stop(session, task, &run, now);
      continue;
    }
    // Its end may be listed later.
    if (session->more_ended) continue;
    const bool listed_after_start = run.ordered_at < order.sent_at;
    switch (run.state) {
      case HostedState::kStarting:
        break;
      case HostedState::kRunning:
        if (run.confirmed_at < order.sent_at) missing.push_back(task);
        break;
      case HostedState::kUncertain:
        if (listed_after_start) Stop(session, task, &run, now);
        break;
      case HostedState::kStopping:
        if (run.stop_confirmed_at && *run.stop_confirmed_at < order.sent_at) {
          missing.push_back(task);
        } else if (!run.stop_confirmed_at &&
                   run.stop_sent_at + Milliseconds(config::kStopRetryMs) <= now) {
          Stop(session, task, &run, now);
        }
        break;
    }
  }
  for (const TaskKey& task : missing) {
    // The upstream has lost the end of the run, for example after an acknowledgement meant for its
    // previous incarnation. That could happen again, so the task avoids it.
    const auto job = m_jobs.find(task.job);
    TaskState* const state = job == m_jobs.end() ? nullptr : job->second->Find(task);
    if (state != nullptr) state->avoided.push_back(session->entry.id);
    DropRun(session, task, "not-listed", now);
  }
}

}  // namespace endivewood
