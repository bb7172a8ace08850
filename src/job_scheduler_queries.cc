/// @file
/// JobScheduler: what is known of jobs and queues.
#include <algorithm>

#include "config.h"
#include "job_scheduler.h"

namespace endivewood {

std::optional<JobState> JobScheduler::StateOf(const JobId& id) const {
  const auto ended = m_results.find(id);
  if (ended != m_results.end()) {
    // The next holder wouldn't know a final state that isn't stored yet.
    if (ended->second.change > m_durable) return JobState::kRunning;
    return ended->second.result.state;
  }
  const auto open = m_jobs.find(id);
  if (open == m_jobs.end()) return std::nullopt;
  return open->second->started ? JobState::kRunning : JobState::kQueued;
}

std::optional<JobOrigin> JobScheduler::OriginOf(const JobId& id) const {
  const auto ended = m_results.find(id);
  if (ended != m_results.end()) {
    const JobResult& result = ended->second.result;
    return JobOrigin{.queue = result.queue, .account = result.account};
  }
  const auto open = m_jobs.find(id);
  if (open == m_jobs.end()) return std::nullopt;
  const JobSpec& spec = open->second->spec();
  return JobOrigin{.queue = spec.queue, .account = spec.account};
}

std::size_t JobScheduler::Pending(const QueueName& queue) const {
  return static_cast<std::size_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto& entry) {
        const Job& job = *entry.second;
        return job.spec().queue == queue && !job.started && IsOpen(job);
      }));
}

bool JobScheduler::HasJobsOf(const QueueName& queue, Milliseconds now) {
  Milliseconds& seen_at = m_queue_jobs_seen_at.try_emplace(queue, -1).first->second;
  if (seen_at >= Milliseconds{0} && now - seen_at < Milliseconds(config::kQueueJobsCheckMs)) {
    return true;
  }
  const bool any =
      std::any_of(m_jobs.begin(), m_jobs.end(),
                  [&](const auto& job) { return job.second->spec().queue == queue; }) ||
      std::any_of(m_results.begin(), m_results.end(),
                  [&](const auto& ended) { return ended.second.result.queue == queue; });
  if (any) {
    seen_at = now;
  } else {
    m_queue_jobs_seen_at.erase(queue);
  }
  return any;
}

std::set<QueueService> JobScheduler::QueueServicesInUse() const {
  std::set<QueueService> in_use;
  for (const auto& [id, job] : m_jobs) {
    if (IsOpen(*job)) in_use.insert({.queue = job->spec().queue, .service = job->spec().service});
  }
  return in_use;
}

}  // namespace endivewood
