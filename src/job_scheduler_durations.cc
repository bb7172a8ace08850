/// @file
/// JobScheduler: durations that are learned from ended runs.
#include <algorithm>
#include <cmath>

#include "config_stragglers.h"
#include "events.h"
#include "job_scheduler.h"

namespace endivewood {

std::vector<Milliseconds> JobScheduler::DurationsOf(const JobSpec& spec) const {
  std::vector<Milliseconds> durations;
  durations.reserve(spec.steps.size());
  for (const StepSpec& step : spec.steps) {
    durations.push_back(step.lasting ? step.estimate
                                     : m_durations.Expected(spec.queue, step.estimate));
  }
  return durations;
}

void JobScheduler::LearnDuration(UpstreamSession* session, const HostedRun& run,
                                 const TaskKey& task, Milliseconds now) {
  const Job& job = *m_jobs.at(task.job);
  const StepSpec& step = job.StepOf(task);
  // Best-effort tasks are paced, and a gang that is spread over racks is slowed down.
  if (step.lasting || step.best_effort || step.same_rack) return;
  if (run.resumed || run.state != HostedState::kRunning || session->IsSuspect()) return;
  if (!session->ends_timely) return;
  if (step.data_rack.valid() && step.data_rack != session->entry.rack) return;
  // Otherwise the time of the start isn't known well enough.
  const Milliseconds until_confirmed = run.confirmed_at - run.ordered_at;
  if (until_confirmed > std::max(Milliseconds(config::kMaxStartAnswerMs), step.estimate / 10)) {
    return;
  }
  session->history.NoteDuration(now - run.confirmed_at, run.estimate, now);
  const QueueName& queue = job.spec().queue;
  if (!m_durations.Learn(queue, step.estimate, now - run.confirmed_at)) return;
  const auto [reported, first] = m_durations_reported.try_emplace(queue, now);
  if (!first && now < reported->second + Milliseconds(config::kDurationReportMs)) return;
  reported->second = now;
  const DurationSummary summary = m_durations.SummaryOf(queue);
  LogEvent(Event::kDurationLearned, {{"queue", queue},
                                     {"partition", m_options.partition},
                                     {"factor_permille", std::llround(1000 * summary.factor)},
                                     {"spread_permille", std::llround(1000 * summary.spread)},
                                     {"runs", summary.runs}});
}

}  // namespace endivewood
