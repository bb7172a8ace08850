/// @file
/// Sizes pools by demand.
#include "pool_sizing.h"

#include <algorithm>
#include <cmath>

#include "events.h"

namespace endivewood {

void PoolSizing::Observe(const ServiceName& service, const ServiceDemand& demand,
                         std::int64_t expected_millicores, int instance_millicores,
                         Milliseconds now) {
  const std::int64_t demanded =
      std::max(demand.cpu_running + demand.cpu_waiting, demand.cpu_lasting + demand.cpu_offered);
  const double expected = m_options.peak_headroom * static_cast<double>(expected_millicores);
  const double required = std::max(m_options.headroom * static_cast<double>(demanded),
                                   static_cast<double>(demand.cpu_lasting) + expected);
  const int by_load = static_cast<int>(std::ceil(required / std::max(1, instance_millicores)));
  const int need = std::max({by_load, demand.min_lasting_upstreams, m_options.min_instances});
  m_first_report.try_emplace(service, now);
  std::vector<Sample>& samples = m_samples[service];
  std::erase_if(samples,
                [&](const Sample& sample) { return sample.at + m_options.need_window < now; });
  if (samples.empty() || samples.back().need != need) {
    LogEvent(Event::kPoolNeed, {{"service", service},
                                {"need", need},
                                {"running_millicores", demand.cpu_running},
                                {"waiting_millicores", demand.cpu_waiting},
                                {"offered_millicores", demand.cpu_offered},
                                {"expected_millicores", expected_millicores},
                                {"lasting_spread", demand.min_lasting_upstreams}});
  }
  samples.push_back({.at = now, .need = need, .lasting_need = demand.min_lasting_upstreams});
}

std::optional<int> PoolSizing::NeedOf(const ServiceName& service, Milliseconds now) const {
  const auto found = m_samples.find(service);
  if (found == m_samples.end()) return std::nullopt;
  std::optional<int> need;
  for (const Sample& sample : found->second) {
    if (sample.at + m_options.need_window < now) continue;
    need = std::max(need.value_or(0), sample.need);
  }
  return need;
}

std::optional<int> PoolSizing::CurrentNeedOf(const ServiceName& service) const {
  const auto found = m_samples.find(service);
  if (found == m_samples.end() || found->second.empty()) return std::nullopt;
  return found->second.back().need;
}

bool PoolSizing::CoversWindow(const ServiceName& service, Milliseconds now) const {
  const auto first = m_first_report.find(service);
  return first != m_first_report.end() && first->second + m_options.need_window <= now;
}

int PoolSizing::CurrentLastingNeedOf(const ServiceName& service) const {
  const auto found = m_samples.find(service);
  return found == m_samples.end() || found->second.empty() ? 0 : found->second.back().lasting_need;
}

std::vector<PoolMove> PoolSizing::Decide(const std::map<ServiceName, int>& instances,
                                         const ServiceName& spare, Milliseconds now) const {
  std::vector<PoolNeed> pools;
  int in_spare = 0;
  for (const auto& [service, count] : instances) {
    if (service == spare) {
      in_spare = count;
      continue;
    }
    // Without a recent report, or before the reports cover the whole window, the pool keeps its
    // instances.
    int need = NeedOf(service, now).value_or(count);
    if (!CoversWindow(service, now)) need = std::max(need, count);
    pools.push_back({.service = service,
                     .instances = count,
                     .need = need,
                     .current_need = CurrentNeedOf(service).value_or(count),
                     .lasting_need = CurrentLastingNeedOf(service)});
  }
  std::vector<PoolMove> moves;
  const auto fill = [&](int PoolNeed::*target) {
    std::sort(pools.begin(), pools.end(), [&](const PoolNeed& a, const PoolNeed& b) {
      return a.*target - a.instances > b.*target - b.instances;
    });
    for (PoolNeed& receiver : pools) {
      while (receiver.instances < receiver.*target) {
        const auto donor = std::find_if(pools.rbegin(), pools.rend(), [&](const PoolNeed& pool) {
          return pool.instances > pool.current_need;
        });
        if (in_spare > 0) {
          --in_spare;
          moves.push_back({.from = spare, .to = receiver.service});
        } else if (donor != pools.rend()) {
          --donor->instances;
          moves.push_back({.from = donor->service, .to = receiver.service});
        } else {
          return false;
        }
        ++receiver.instances;
      }
    }
    return true;
  };
  if (!fill(&PoolNeed::lasting_need) || !fill(&PoolNeed::current_need)) return moves;
  if (!spare.valid()) return moves;
  for (PoolNeed& donor : pools) {
    while (donor.instances > donor.need + m_options.allowed_surplus) {
      --donor.instances;
      moves.push_back({.from = donor.service, .to = spare});
    }
  }
  return moves;
}

}  // namespace endivewood
