/// @file
/// Arrival rate of work.
#include "offered_load.h"

#include <algorithm>

#include "config.h"

namespace endivewood {

void OfferedLoad::RecordArrival(const JobId& job, std::int64_t work, Milliseconds now) {
  const Milliseconds memory(config::kArrivalRetentionMs);
  while (!m_arrivals.empty() && m_arrivals.front().at + memory < now) {
    m_known_jobs.erase(m_arrivals.front().job);
    m_arrivals.pop_front();
  }
  if (!m_known_jobs.emplace(job, now).second) return;
  m_arrivals.push_back({.at = now, .job = job, .work = work});
}

std::int64_t OfferedLoad::MillicoresAt(Milliseconds now) const {
  std::int64_t highest = 0;
  for (const std::int64_t window : config::kArrivalRateWindowsMs) {
    std::int64_t work = 0;
    int jobs = 0;
    for (auto it = m_arrivals.rbegin(); it != m_arrivals.rend(); ++it) {
      if (it->at + Milliseconds(window) <= now) break;
      work += it->work;
      ++jobs;
    }
    if (jobs < config::kArrivalRateMinJobs) continue;
    highest = std::max(highest, 1000 * work / window);
  }
  return highest;
}

}  // namespace endivewood
