/// @file
/// MaintenancePlanner: the list of instances, moves between pools, and the orders.
#include "maintenance_planner.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "config.h"
#include "events.h"

namespace endivewood {
namespace {

/// Key of the record with the pools' configured capacity.
constexpr char kConfiguredCapacityKey[] = "w/layout";
/// Key of the record with the state of the demand forecast.
constexpr char kPeaksKey[] = "w/peaks";
/// Key prefix of the records with the time when a wave was first seen, in Unix milliseconds.
constexpr char kFirstSeenKeyPrefix[] = "w/seen/";

}  // namespace

MaintenancePlanner::MaintenancePlanner(MaintenancePlannerOptions options,
                                       const std::map<std::string, std::string>& records)
    : m_options(std::move(options)), m_sizing(m_options.sizing), m_forecast(m_options.forecast) {
  for (const auto& [key, value] : records) {
    m_stored_keys.insert(key);
    if (key.starts_with(kFirstSeenKeyPrefix)) m_first_seen_records[key] = value;
  }
  const auto peaks = records.find(kPeaksKey);
  if (peaks != records.end()) m_forecast.Restore(peaks->second, m_options.unix_offset);
  const auto capacity_record = records.find(kConfiguredCapacityKey);
  if (capacity_record != records.end()) LoadConfiguredCapacity(capacity_record->second);
}

/// @param capacity_record one line per service: its name and its pool's millicores.
void MaintenancePlanner::LoadConfiguredCapacity(const std::string& capacity_record) {
  std::istringstream lines(capacity_record);
  std::string service;
  std::int64_t millicores = 0;
  while (lines >> service >> millicores)
    m_forecast.SetConfiguredCapacity(ServiceName(service), millicores);
  m_capacity_known = true;
}

int MaintenancePlanner::InstanceMillicores() const {
  int millicores = 0;
  for (const auto& [name, machine] : m_machines) {
    millicores = std::max(millicores, machine.capacity.cpu_millicores);
  }
  return millicores;
}

std::string MaintenancePlanner::MaintainedKey(std::uint64_t wave, const InstanceName& instance) {
  return "w/" + std::to_string(wave) + "/" + instance.str();
}

void MaintenancePlanner::SetCatalog(const FleetCatalog& catalog) { m_catalog = catalog; }

void MaintenancePlanner::SetWaves(const std::vector<MaintenanceWave>& waves, Milliseconds now) {
  for (const MaintenanceWave& request : waves) {
    const auto [entry, added] = m_waves.try_emplace(request.number);
    Wave& wave = entry->second;
    wave.request = request;
    if (!added) continue;
    wave.lists_before = m_lists_requested;
    wave.first_seen_at = FirstSeenAt(request.number, now);
    for (const InstanceName& instance : request.instances) {
      if (m_stored_keys.count(MaintainedKey(request.number, instance)) > 0)
        wave.done.insert(instance);
    }
  }
  m_next_due = now;
}

/// Returns the time stored by an earlier planner, so that a change of the planner doesn't restart a
/// wave's deadline. Without one it stores and returns `now`.
Milliseconds MaintenancePlanner::FirstSeenAt(std::uint64_t wave, Milliseconds now) {
  const std::string key = kFirstSeenKeyPrefix + std::to_string(wave);
  const auto stored = m_first_seen_records.find(key);
  if (stored != m_first_seen_records.end()) {
    return std::min(now, Milliseconds(std::atoll(stored->second.c_str())) - m_options.unix_offset);
  }
  m_records.push_back({.key = key, .value = std::to_string((now + m_options.unix_offset).count())});
  return now;
}

void MaintenancePlanner::OnDemand(const ServiceName& service, const ServiceDemand& demand,
                                  Milliseconds now) {
  const int millicores = InstanceMillicores();
  m_release_order[service] = demand.release_order;
  for (const ReleaseTime& release : demand.release_order) m_lost.erase(release.upstream);
  m_lost.insert(demand.lost.begin(), demand.lost.end());
  if (millicores <= 0) return;
  m_forecast.Observe(service, demand.cpu_offered, now);
  if (const auto learned = m_forecast.TakeChanges(m_options.unix_offset)) {
    m_records.push_back({.key = kPeaksKey, .value = *learned});
  }
  m_sizing.Observe(service, demand, m_forecast.ExpectedAt(service, now), millicores, now);
}

void MaintenancePlanner::OnRelease(const UpstreamId& upstream, ReleaseState state,
                                   Milliseconds now) {
  for (auto& [instance, release] : m_pending_releases) {
    const auto machine = m_machines.find(instance);
    if (machine == m_machines.end() || machine->second.upstream != upstream) continue;
    if (state == ReleaseState::kReleased) {
      release.released_at = now;
    } else {
      release.released_at.reset();
    }
    m_next_due = now;
  }
}

void MaintenancePlanner::OnMachines(const MachineCall& call, const MachineReply& reply,
                                    Milliseconds now) {
  m_next_due = now;
  if (std::holds_alternative<ListInstances>(call)) {
    m_list_in_flight = false;
    if (reply.status != MachineStatus::kOk) {
      LogEvent(Event::kMachineListFailed,
               {{"status", MachineStatusName(reply.status)}, {"list", m_list_number}});
      m_partial_list.clear();
      m_next_list = now + Milliseconds(config::kMachineListIntervalMs);
      return;
    }
    for (const MachineEntry& machine : reply.machines) m_partial_list[machine.instance] = machine;
    if (!reply.next_page.empty()) {
      m_list_in_flight = true;
      m_machine_calls.emplace_back(ListInstances{.page = reply.next_page});
      return;
    }
    m_machines = std::exchange(m_partial_list, {});
    m_list_number = m_lists_requested;
    m_listed = true;
    ForgetUnlistedUpstreams();
    RecordConfiguredCapacity();
    m_next_list = now + Milliseconds(config::kMachineListIntervalMs);
    // After the settle time an order shows in the list, or it has failed.
    std::erase_if(m_pending_orders, [&](const auto& entry) {
      return entry.second.at + Milliseconds(config::kMachineOrderSettleMs) <= now;
    });
    return;
  }
  const auto* const maintain = std::get_if<MaintainInstance>(&call);
  const InstanceName instance =
      maintain != nullptr ? maintain->instance : std::get<MoveInstance>(call).instance;
  const auto pending_order = m_pending_orders.find(instance);
  if (reply.status != MachineStatus::kOk) {
    LogEvent(Event::kMachineOrderFailed,
             {{"instance", instance}, {"status", MachineStatusName(reply.status)}});
    // An order without an answer may have been executed. It is dropped after the settle time,
    // and issued again if the list doesn't show its effect.
    if (reply.status != MachineStatus::kNoAnswer && pending_order != m_pending_orders.end()) {
      m_pending_orders.erase(pending_order);
    }
    return;
  }
  if (pending_order != m_pending_orders.end()) pending_order->second.answered = true;
  if (maintain == nullptr) return;
  const auto wave = m_waves.find(maintain->wave);
  if (wave == m_waves.end()) return;
  wave->second.done.insert(instance);
  m_records.push_back({.key = MaintainedKey(maintain->wave, instance), .value = "1"});
}

void MaintenancePlanner::Run(Milliseconds now, bool may_order, const InstanceOrders& orders) {
  m_next_due = now + Milliseconds(config::kMaintenancePlannerTickMs);
  const bool has_incomplete_wave = std::any_of(
      m_waves.begin(), m_waves.end(), [](const auto& entry) { return !entry.second.complete; });
  if (!has_incomplete_wave && !m_options.move_instances) return;
  if (!m_list_in_flight && m_next_list <= now) {
    m_list_in_flight = true;
    ++m_lists_requested;
    m_partial_list.clear();
    m_machine_calls.emplace_back(ListInstances{});
  }
  if (!m_listed) return;
  if (m_options.move_instances && m_next_demand <= now) {
    m_next_demand = now + Milliseconds(config::kDemandIntervalMs);
    const std::map<ServiceName, int> sizes = PoolSizes();
    ReportPoolSizes(sizes);
    for (const CatalogService& service : m_catalog.services) {
      if (service.spare) continue;
      const std::int64_t planned = std::int64_t{sizes.at(service.name)} * InstanceMillicores();
      m_node_calls.emplace_back(DemandCall{.service = service.name, .planned_millicores = planned});
    }
  }
  RunWaves(now, orders);
  if (m_options.move_instances && may_order) RunMoves(now);
  RunReleases(now, may_order, orders);
}

/// Stores the pools' capacity when no planner has before: it is still as the operators configured
/// it.
void MaintenancePlanner::RecordConfiguredCapacity() {
  if (m_capacity_known) return;
  std::map<ServiceName, std::int64_t> pools;
  for (const auto& [name, machine] : m_machines) {
    pools[machine.pool] += machine.capacity.cpu_millicores;
  }
  std::string capacity_record;
  for (const auto& [service, millicores] : pools) {
    capacity_record += service.str() + " " + std::to_string(millicores) + "\n";
  }
  LoadConfiguredCapacity(capacity_record);
  m_records.push_back({.key = kConfiguredCapacityKey, .value = capacity_record});
}

void MaintenancePlanner::ForgetUnlistedUpstreams() {
  std::set<UpstreamId> listed;
  for (const auto& [name, machine] : m_machines) listed.insert(machine.upstream);
  std::erase_if(m_lost, [&](const UpstreamId& upstream) { return listed.count(upstream) == 0; });
}

bool MaintenancePlanner::NeedsRelease(const MachineEntry& machine) const {
  const CatalogService* const spare = m_catalog.Spare();
  return machine.upstream.valid() && (spare == nullptr || machine.pool != spare->name);
}

std::map<ServiceName, int> MaintenancePlanner::CountReleases(ReleaseKind kind) const {
  std::map<ServiceName, int> counts;
  for (const auto& [instance, release] : m_pending_releases) {
    const bool for_wave = release.wave.has_value();
    const auto machine = m_machines.find(instance);
    if (for_wave != (kind == ReleaseKind::kWave) || machine == m_machines.end()) continue;
    ++counts[machine->second.pool];
  }
  return counts;
}

/// Returns how many of a service's instances may be released at a time for one kind of work.
int MaintenancePlanner::ReleaseLimitOf(const ServiceName& service, int minimum) const {
  const auto instances = m_release_order.find(service);
  if (instances == m_release_order.end()) return minimum;
  return std::max(minimum,
                  static_cast<int>(instances->second.size()) / config::kReleasePoolDivisor);
}

/// Lasting tasks have to be started elsewhere first, where they need room.
bool MaintenancePlanner::IsSlowToRelease(const MachineEntry& machine,
                                         const std::map<UpstreamId, Milliseconds>& release_times) {
  const auto time = release_times.find(machine.upstream);
  return time == release_times.end() || time->second >= Milliseconds(config::kMoveTimeoutMs);
}

std::map<ServiceName, int> MaintenancePlanner::CountSlowMoves(
    const std::map<UpstreamId, Milliseconds>& release_times) const {
  std::map<ServiceName, int> counts;
  for (const auto& [instance, release] : m_pending_releases) {
    const auto machine = m_machines.find(instance);
    if (release.wave || machine == m_machines.end()) continue;
    if (IsSlowToRelease(machine->second, release_times)) ++counts[machine->second.pool];
  }
  return counts;
}

std::map<UpstreamId, Milliseconds> MaintenancePlanner::ReleaseTimes() const {
  std::map<UpstreamId, Milliseconds> times;
  for (const auto& [service, releases] : m_release_order) {
    for (const ReleaseTime& release : releases) times.emplace(release.upstream, release.left);
  }
  return times;
}

std::map<ServiceName, int> MaintenancePlanner::PoolSizes() const {
  std::map<ServiceName, int> sizes;
  for (const CatalogService& service : m_catalog.services) sizes[service.name] = 0;
  for (const auto& [name, machine] : m_machines) {
    if (machine.state == MachineState::kDown) continue;
    const auto release = m_pending_releases.find(name);
    const auto pending_order = m_pending_orders.find(name);
    // Instances that are in maintenance or being released for it don't count, so that they are
    // replaced first: lasting tasks move only to an instance with free capacity for them.
    if (release != m_pending_releases.end() && release->second.wave && NeedsRelease(machine))
      continue;
    const bool maintained =
        machine.state == MachineState::kMaintenance ||
        (pending_order != m_pending_orders.end() && pending_order->second.wave.has_value());
    if (maintained) continue;
    // The list shows a machine as up although nothing answers there. Replacements are needed until
    // its scheduler can use it again.
    const bool lost = NeedsRelease(machine) && m_lost.count(machine.upstream) > 0;
    if (lost && pending_order == m_pending_orders.end()) continue;
    // The list shows the effect of an order only after a delay.
    if (release != m_pending_releases.end() && !release->second.wave) {
      ++sizes[release->second.target];
    } else if (pending_order != m_pending_orders.end() && !pending_order->second.wave) {
      ++sizes[pending_order->second.target];
    } else {
      ++sizes[machine.pool];
    }
  }
  return sizes;
}

void MaintenancePlanner::ReportPoolSizes(const std::map<ServiceName, int>& sizes) {
  std::map<ServiceName, int> up;
  std::map<ServiceName, int> unreported;
  std::map<ServiceName, int> lost;
  const std::map<UpstreamId, Milliseconds> reported = ReleaseTimes();
  for (const auto& [name, machine] : m_machines) {
    if (machine.state != MachineState::kUp) continue;
    ++up[machine.pool];
    if (reported.count(machine.upstream) == 0) ++unreported[machine.pool];
    if (m_lost.count(machine.upstream) > 0) ++lost[machine.pool];
  }
  std::map<ServiceName, int> for_waves = CountReleases(ReleaseKind::kWave);
  std::map<ServiceName, int> for_moves = CountReleases(ReleaseKind::kMove);
  for (const auto& [service, size] : sizes) {
    const int need = m_sizing.CurrentNeedOf(service).value_or(0);
    const std::vector<int> numbers = {size,
                                      need,
                                      up[service],
                                      unreported[service],
                                      lost[service],
                                      for_waves[service],
                                      for_moves[service]};
    std::vector<int>& last = m_reported_sizes[service];
    if (last == numbers) continue;
    last = numbers;
    LogEvent(Event::kPoolSize, {{"service", service},
                                {"instances", size},
                                {"need", need},
                                {"up", up[service]},
                                {"unreported", unreported[service]},
                                {"lost", lost[service]},
                                {"releases_for_waves", for_waves[service]},
                                {"releases_for_moves", for_moves[service]}});
  }
}

/// Returns the instances of a pool that can be moved, in the order in which they can be released.
std::deque<const MachineEntry*> MaintenancePlanner::InstancesToMove(const ServiceName& from) const {
  std::map<UpstreamId, const MachineEntry*> by_upstream;
  std::deque<const MachineEntry*> instances;
  for (const auto& [name, machine] : m_machines) {
    const bool free = machine.pool == from && machine.state == MachineState::kUp &&
                      m_pending_releases.count(name) == 0 && m_pending_orders.count(name) == 0 &&
                      m_lost.count(machine.upstream) == 0;
    if (free && machine.upstream.valid()) by_upstream.emplace(machine.upstream, &machine);
    if (free && !machine.upstream.valid()) instances.push_back(&machine);
  }
  std::deque<const MachineEntry*> ordered;
  const auto release_order = m_release_order.find(from);
  if (release_order != m_release_order.end()) {
    for (const ReleaseTime& release : release_order->second) {
      const auto machine = by_upstream.find(release.upstream);
      if (machine == by_upstream.end()) continue;
      ordered.push_back(machine->second);
      by_upstream.erase(machine);
    }
  }
  for (const auto& [upstream, machine] : by_upstream) ordered.push_back(machine);
  ordered.insert(ordered.end(), instances.begin(), instances.end());
  return ordered;
}

void MaintenancePlanner::CancelMoves(Milliseconds now) {
  std::map<ServiceName, int> sizes = PoolSizes();
  for (auto it = m_pending_releases.begin(); it != m_pending_releases.end();) {
    const auto machine = m_machines.find(it->first);
    const PendingRelease& release = it->second;
    if (release.wave || machine == m_machines.end() || !NeedsRelease(machine->second)) {
      ++it;
      continue;
    }
    const ServiceName& pool = machine->second.pool;
    const auto need = m_sizing.CurrentNeedOf(pool);
    if (!need || sizes[pool] >= *need) {
      ++it;
      continue;
    }
    LogEvent(Event::kMoveCancelled, {{"instance", it->first},
                                     {"service", pool},
                                     {"to", release.target},
                                     {"instances", sizes[pool]},
                                     {"need", *need},
                                     {"age_ms", now - release.since}});
    ++sizes[pool];
    --sizes[release.target];
    m_moves_resume_at[pool] = now + Milliseconds(config::kMoveBackoffMs);
    // The scheduler's reservation ends by itself. Until then a late answer to an earlier request
    // still holds for a wave that picks the same instance.
    it = m_pending_releases.erase(it);
  }
}

void MaintenancePlanner::RunMoves(Milliseconds now) {
  CancelMoves(now);
  const CatalogService* const spare = m_catalog.Spare();
  const ServiceName spare_name = spare == nullptr ? ServiceName() : spare->name;
  const std::map<UpstreamId, Milliseconds> release_times = ReleaseTimes();
  std::map<ServiceName, int> slow_releases = CountSlowMoves(release_times);
  std::map<ServiceName, std::deque<const MachineEntry*>> instances;
  std::map<ServiceName, int> sizes = PoolSizes();
  if (spare != nullptr) {
    // Instances that are still on their way to the spare pool can't be given to another one.
    sizes[spare_name] = static_cast<int>(InstancesToMove(spare_name).size());
  }
  for (const PoolMove& move : m_sizing.Decide(sizes, spare_name, now)) {
    const auto [pool, added] = instances.try_emplace(move.from);
    if (added) pool->second = InstancesToMove(move.from);
    if (pool->second.empty()) continue;
    if (m_moves_resume_at[move.from] > now) continue;
    const MachineEntry& chosen = *pool->second.front();
    const bool needs_release = NeedsRelease(chosen);
    if (needs_release && IsSlowToRelease(chosen, release_times)) {
      const int limit = ReleaseLimitOf(move.from, config::kMinMovesPerService);
      if (slow_releases[move.from] >= limit) continue;
      ++slow_releases[move.from];
    }
    pool->second.pop_front();
    PendingRelease release{.wave = std::nullopt, .target = move.to, .since = now};
    if (!needs_release) release.released_at = now;
    m_pending_releases.emplace(chosen.instance, release);
  }
}

void MaintenancePlanner::RunReleases(Milliseconds now, bool may_order,
                                     const InstanceOrders& orders) {
  for (auto it = m_pending_releases.begin(); it != m_pending_releases.end();) {
    const auto machine = m_machines.find(it->first);
    PendingRelease& release = it->second;
    const bool unavailable =
        machine == m_machines.end() || machine->second.state != MachineState::kUp;
    const bool timed_out =
        !release.wave && release.since + Milliseconds(config::kMoveTimeoutMs) <= now;
    if (unavailable || timed_out) {
      it = m_pending_releases.erase(it);
      continue;
    }
    const bool still_released =
        release.released_at && now - *release.released_at <= Milliseconds(config::kReleaseValidMs);
    if (may_order && orders.MayOrder(it->first, now) &&
        (still_released || !NeedsRelease(machine->second))) {
      IssueOrder(it->first, release, now);
      it = m_pending_releases.erase(it);
      continue;
    }
    if (NeedsRelease(machine->second) &&
        release.asked_at + Milliseconds(config::kReleaseIntervalMs) <= now) {
      release.asked_at = now;
      m_node_calls.emplace_back(
          ReleaseCall{.service = machine->second.pool, .upstream = machine->second.upstream});
    }
    ++it;
  }
}

void MaintenancePlanner::IssueOrder(const InstanceName& instance, const PendingRelease& release,
                                    Milliseconds now) {
  m_pending_orders[instance] = {
      .wave = release.wave, .target = release.target, .at = now, .answered = false};
  if (release.wave) {
    LogEvent(Event::kMaintenanceOrdered, {{"instance", instance},
                                          {"wave", *release.wave},
                                          {"fencing_token", m_options.fencing_token},
                                          {"cleared_in_ms", now - release.since}});
    m_machine_calls.emplace_back(MaintainInstance{.instance = instance,
                                                  .wave = *release.wave,
                                                  .holder = m_options.holder,
                                                  .fencing_token = m_options.fencing_token});
    return;
  }
  LogEvent(Event::kMoveOrdered, {{"instance", instance},
                                 {"to", release.target},
                                 {"fencing_token", m_options.fencing_token},
                                 {"cleared_in_ms", now - release.since}});
  m_machine_calls.emplace_back(MoveInstance{.instance = instance,
                                            .pool = release.target,
                                            .holder = m_options.holder,
                                            .fencing_token = m_options.fencing_token});
}

std::vector<NodeCall> MaintenancePlanner::TakeNodeCalls() {
  return std::exchange(m_node_calls, {});
}
std::vector<MachineCall> MaintenancePlanner::TakeMachineCalls() {
  return std::exchange(m_machine_calls, {});
}
std::vector<WaveReport> MaintenancePlanner::TakeReports() { return std::exchange(m_reports, {}); }
std::vector<PlannerRecord> MaintenancePlanner::TakeRecords() {
  return std::exchange(m_records, {});
}

}  // namespace endivewood
