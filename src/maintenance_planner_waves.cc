/// @file
/// MaintenancePlanner: which instances of a wave are released, and when a wave is complete.
#include <algorithm>

#include "config.h"
#include "events.h"
#include "maintenance_planner.h"

namespace endivewood {

void MaintenancePlanner::RunWaves(Milliseconds now, const InstanceOrders& orders) {
  for (auto& [number, wave] : m_waves) {
    if (!wave.complete) RunWave(&wave, now, orders);
  }
}

int MaintenancePlanner::CountInstancesDown(const Wave& wave) const {
  int down = 0;
  for (const InstanceName& instance : wave.request.instances) {
    const auto machine = m_machines.find(instance);
    const auto pending_order = m_pending_orders.find(instance);
    const bool listed_down =
        machine != m_machines.end() && machine->second.state == MachineState::kMaintenance;
    const bool recently_ordered =
        pending_order != m_pending_orders.end() && pending_order->second.wave.has_value();
    if (listed_down || recently_ordered) ++down;
  }
  return down;
}

/// Returns how many instances may be in maintenance at once, busy ones included: more as the time
/// left for the wave gets short.
int MaintenancePlanner::ConcurrencyOf(const Wave& wave, int remaining, Milliseconds now) const {
  const Milliseconds left =
      wave.first_seen_at + wave.request.deadline - Milliseconds(config::kWaveReserveMs) - now;
  const std::int64_t work = remaining * config::kWaveInstanceMs;
  const std::int64_t at_once = 1 + work / std::max<std::int64_t>(1, left.count());
  return static_cast<int>(std::min<std::int64_t>(at_once, wave.request.max_at_once));
}

/// Decides on the release of one instance of a wave.
/// @param pool_sizes sizes of the pools, and `releases` the wave releases in them, so far.
bool MaintenancePlanner::MayRelease(const WaveCandidate& candidate, bool below_concurrency,
                                    const std::map<ServiceName, int>& pool_sizes,
                                    const std::map<ServiceName, int>& releases) const {
  if (!candidate.needs_release) return true;
  const ServiceName& pool = candidate.machine->pool;
  const auto released = releases.find(pool);
  const int limit = ReleaseLimitOf(pool, config::kMinReleasesPerService);
  if (released != releases.end() && released->second >= limit) return false;
  if (below_concurrency) return true;
  // An idle instance that its pool doesn't need can be released at any time.
  const auto need = m_sizing.CurrentNeedOf(pool);
  const auto pool_size = pool_sizes.find(pool);
  return candidate.release_time <= Milliseconds{0} && need && pool_size != pool_sizes.end() &&
         pool_size->second > *need;
}

/// Returns the instances of a wave that still need maintenance: spare instances, on which nothing
/// runs, come first. Of the others, those that take long to release alternate with those that can
/// be released soonest: tasks of one lasting step move one after another, so a wave that leaves
/// them for its end is late, and one that begins with all of them needs much room at once.
std::vector<MaintenancePlanner::WaveCandidate> MaintenancePlanner::CandidatesOf(
    const Wave& wave) const {
  const std::map<UpstreamId, Milliseconds> release_times = ReleaseTimes();
  std::vector<WaveCandidate> candidates;
  for (const InstanceName& instance : wave.request.instances) {
    if (wave.done.count(instance) > 0) continue;
    const auto machine = m_machines.find(instance);
    // It has left the fleet, or the list is older than the instance.
    if (machine == m_machines.end()) continue;
    WaveCandidate candidate{.machine = &machine->second,
                            .needs_release = NeedsRelease(machine->second)};
    if (candidate.needs_release) {
      const auto time = release_times.find(machine->second.upstream);
      candidate.release_time =
          time == release_times.end() ? Milliseconds(config::kMoveTimeoutMs) : time->second;
    }
    candidates.push_back(candidate);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const WaveCandidate& a, const WaveCandidate& b) {
                     if (a.needs_release != b.needs_release) return b.needs_release;
                     return a.release_time < b.release_time;
                   });
  const auto busy = std::find_if(candidates.begin(), candidates.end(),
                                 [](const WaveCandidate& each) { return each.needs_release; });
  std::vector<WaveCandidate> ordered(candidates.begin(), busy);
  std::deque<WaveCandidate> rest(busy, candidates.end());
  for (bool longest = true; !rest.empty(); longest = !longest) {
    ordered.push_back(longest ? rest.back() : rest.front());
    longest ? rest.pop_back() : rest.pop_front();
  }
  return ordered;
}

void MaintenancePlanner::RunWave(Wave* wave, Milliseconds now, const InstanceOrders& orders) {
  if (!wave->reported_running) {
    wave->reported_running = true;
    m_reports.push_back({.number = wave->request.number, .complete = false});
  }
  const std::vector<WaveCandidate> remaining = CandidatesOf(*wave);
  if (remaining.empty()) {
    if (!ListShowsDepartures(*wave)) return;
    wave->complete = true;
    m_reports.push_back({.number = wave->request.number, .complete = true});
    LogEvent(Event::kWaveProgress, {{"wave", wave->request.number},
                                    {"done", wave->done.size()},
                                    {"left", wave->request.instances.size() - wave->done.size()},
                                    {"list", m_list_number},
                                    {"lists_before", wave->lists_before},
                                    {"complete", true}});
    return;
  }
  const auto releases_for_wave = static_cast<int>(
      std::count_if(m_pending_releases.begin(), m_pending_releases.end(),
                    [&](const auto& each) { return each.second.wave == wave->request.number; }));
  int in_maintenance = CountInstancesDown(*wave) + releases_for_wave;
  int quota_left = wave->request.max_at_once - in_maintenance;
  const int concurrency = ConcurrencyOf(*wave, static_cast<int>(remaining.size()), now);
  std::map<ServiceName, int> pool_sizes = PoolSizes();
  std::map<ServiceName, int> releases = CountReleases(ReleaseKind::kWave);
  for (const WaveCandidate& candidate : remaining) {
    if (quota_left <= 0) return;
    const MachineEntry& machine = *candidate.machine;
    if (machine.state != MachineState::kUp || !orders.MayOrder(machine.instance, now)) continue;
    if (m_pending_releases.count(machine.instance) > 0 ||
        m_pending_orders.count(machine.instance) > 0)
      continue;
    if (!MayRelease(candidate, in_maintenance < concurrency, pool_sizes, releases)) continue;
    ++in_maintenance;
    PendingRelease release{.wave = wave->request.number, .target = {}, .since = now};
    if (!candidate.needs_release) release.released_at = now;
    m_pending_releases.emplace(machine.instance, release);
    ++releases[machine.pool];
    if (candidate.needs_release) --pool_sizes[machine.pool];
    --quota_left;
  }
}

}  // namespace endivewood
