/// @file
/// JobScheduler: second runs of slow tasks, where their steps permit them.
#include <algorithm>

#include "config.h"
#include "config_stragglers.h"
#include "events.h"
#include "job_scheduler.h"
#include "task_copies.h"

namespace endivewood {
namespace {

bool MayHaveCopies(const StepSpec& step) { return step.speculative && !step.gang && !step.lasting; }

Milliseconds ElapsedOf(const HostedRun& run, Milliseconds now) {
  return now - std::max(run.ordered_at, run.confirmed_at);
}

/// @returns the time until the job's result is of no more use, less what remains of its path.
Milliseconds SlackOf(const Job& job, const Occurrence& occurrence, Milliseconds now) {
  const Milliseconds objective = job.OnTimeDeadlineOf(occurrence) - occurrence.due;
  const auto useful = static_cast<std::int64_t>(config::kMaxUsefulLateness *
                                                static_cast<double>(objective.count()));
  return occurrence.due + Milliseconds(useful) - now - occurrence.remaining_path;
}

}  // namespace

bool JobScheduler::MayAdoptAsCopy(const Job& job, const TaskState& task, const RunningRow& row,
                                  const UpstreamId& upstream) const {
  // A run of this holder that isn't known any more was given up.
  const bool of_earlier_holder = row.run < m_options.epoch * config::kRunsPerEpoch;
  return MayHaveCopies(job.StepOf(row.task)) && of_earlier_holder && !task.done && task.placed &&
         !task.copy && task.placed->upstream != upstream;
}

void JobScheduler::StopOtherRun(const TaskKey& key, bool copy_won, Milliseconds now) {
  Job& job = *m_jobs.at(key.job);
  TaskState& task = *job.Find(key);
  if (!task.placed || job.StepOf(key).gang) return;
  UpstreamSession* const session = FindSession(task.placed->upstream);
  const PlacedRun other = *task.placed;
  task.placed.reset();
  --job.occurrences().at(key.occurrence).steps[key.step].placed;
  if (session == nullptr) return;
  const auto run = session->hosted.find(key);
  if (run == session->hosted.end() || run->second.run != other.run) return;
  const HostedRun& slower = run->second;
  LogEvent(Event::kCopyWon,
           {RequestField(key.job.str()),
            {"task", key.str()},
            {"winner", copy_won ? "copy" : "original"},
            {"stopped_run", other.run},
            {"upstream", other.upstream},
            {"saved_ms", ExpectedLeft(ElapsedOf(slower, now), slower.estimate, slower.percent)}});
  // The stopped run is known to take longer. Without it, the learned high durations would sink.
  if (copy_won) LearnDuration(session, slower, key, now);
  if (slower.state != HostedState::kStopping) Stop(session, key, &run->second, now);
}

std::map<ServiceName, JobScheduler::CopyChoice> JobScheduler::FindCopyCandidates(Milliseconds now) {
  std::map<ServiceName, CopyChoice> choices;
  for (const auto& [id, session] : m_sessions) {
    CopyChoice& choice = choices[session.entry.service];
    for (const auto& [key, run] : session.hosted) {
      if (run.lasting || run.state == HostedState::kStopping) continue;
      ++choice.running;
      const auto found = m_jobs.find(key.job);
      if (found == m_jobs.end() || !MayHaveCopies(found->second->StepOf(key))) continue;
      Job& job = *found->second;
      const TaskState* const task = job.Find(key);
      if (task == nullptr || task->done) continue;
      const PlacedRun here{.upstream = id, .run = run.run};
      if (task->copy == here) ++choice.copies;
      if (task->copy || task->placed != here || run.state != HostedState::kRunning) continue;
      choice.any_may_follow = true;
      const QueueName& queue = job.spec().queue;
      if (session.IsLost() || m_durations.RunsOf(queue) < config::kCopyMinRuns) continue;
      const auto attempts = static_cast<std::size_t>(job.policy().attempts);
      if (task->failed.size() >= attempts) continue;
      const Milliseconds estimate = job.StepOf(key).estimate;
      choice.candidates.push_back(
          {.task = key,
           .priority = job.policy().priority,
           .elapsed = ElapsedOf(run, now),
           .percent = run.percent,
           .expected = m_durations.Expected(queue, estimate),
           .high = m_durations.Quantile(queue, estimate, config::kCopyQuantile),
           .slack = SlackOf(job, job.occurrences().at(key.occurrence), now)});
    }
  }
  return choices;
}

void JobScheduler::PlaceCopies(const std::set<ServiceName>& short_of_room, Milliseconds now) {
  if (now < m_copies_checked_at + Milliseconds(config::kCopyCheckMs)) return;
  m_copies_checked_at = now;
  std::map<ServiceName, CandidatePool> pools;
  for (auto& [service, choice] : FindCopyCandidates(now)) {
    if (choice.any_may_follow) {
      m_next_due = std::min(m_next_due, now + Milliseconds(config::kCopyCheckMs));
    }
    if (short_of_room.count(service) > 0) continue;
    const std::vector<TaskKey> chosen =
        ChooseCopies(choice.candidates, choice.running, choice.copies);
    if (chosen.empty()) continue;
    if (pools.empty()) pools = FindPools(&m_sessions, now);
    CandidatePool& pool = pools[service];
    std::erase_if(pool.candidates,
                  [](const UpstreamCandidate& candidate) { return candidate.trial_only; });
    for (const TaskKey& key : chosen) StartCopy(key, &pool, now);
  }
}

void JobScheduler::StartCopy(const TaskKey& key, CandidatePool* pool, Milliseconds now) {
  Job& job = *m_jobs.at(key.job);
  if (!MaySendStart(job)) return;
  Occurrence& occurrence = job.occurrences().at(key.occurrence);
  WaitingStep waiting{.job = &job,
                      .occurrence = &occurrence,
                      .step = key.step,
                      .latest_start = job.OnTimeDeadlineOf(occurrence) - occurrence.remaining_path,
                      .work_left = job.RemainingWork()};
  waiting.on_time = waiting.latest_start >= now;
  const TaskState& task = *job.Find(key);
  const UpstreamSession* const first = FindSession(task.placed->upstream);
  const Milliseconds elapsed = ElapsedOf(first->hosted.find(key)->second, now);
  const int percent = first->hosted.find(key)->second.percent;
  if (!PlaceShortTask(&waiting, key, pool, now)) return;
  const Milliseconds estimate = job.StepOf(key).estimate;
  const QueueName& queue = job.spec().queue;
  LogEvent(Event::kTaskCopied,
           {RequestField(key.job.str()),
            {"task", key.str()},
            {"run", task.copy->run},
            {"upstream", task.copy->upstream},
            {"first_run", task.placed->run},
            {"first_upstream", task.placed->upstream},
            {"elapsed_ms", elapsed},
            {"percent", percent},
            {"expected_ms", m_durations.Expected(queue, estimate)},
            {"high_ms", m_durations.Quantile(queue, estimate, config::kCopyQuantile)}});
}

}  // namespace endivewood
