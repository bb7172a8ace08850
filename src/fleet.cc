/// @file
/// The fold of the fleet stream. Deterministic, so that all processes accept the same records.
#include <endivewood/endivewood.h>

#include <algorithm>
#include <set>

#include "chart.h"
#include "codec.h"
#include "config.h"

namespace endivewood {

const char* InstanceStateName(InstanceState state) {
  switch (state) {
    case InstanceState::kReady:
      return "ready";
    case InstanceState::kDraining:
      return "draining";
    case InstanceState::kRebooting:
      return "rebooting";
    case InstanceState::kLost:
      return "lost";
  }
  return "unlisted";
}

std::vector<const InstanceView*> FleetView::ReadyInstances(const ServiceName& service) const {
  std::vector<const InstanceView*> ready;
  const ServiceConfig* config_entry = config.FindService(service);
  if (config_entry == nullptr) return ready;
  for (const auto& [name, instance] : instances) {
    if (instance.pool != config_entry->pool) continue;
    if (instance.state == InstanceState::kReady) ready.push_back(&instance);
  }
  return ready;
}

int FleetView::ReadyCount(const PoolName& pool) const {
  const auto is_ready = [&](const auto& item) {
    return item.second.pool == pool && item.second.state == InstanceState::kReady;
  };
  return static_cast<int>(std::count_if(instances.begin(), instances.end(), is_ready));
}

int FleetView::RequiredAvailable(const PoolName& pool) const {
  int required = 0;
  for (const ServiceConfig& service : config.services) {
    if (service.pool == pool) required = std::max(required, service.min_available);
  }
  return required;
}

bool FleetView::AwaitsMaintenance(const InstanceView& instance) const {
  if (wave.state == WaveState::kFinished) return false;
  if (wave.pool.valid() && wave.pool != instance.pool) return false;
  return instance.maintained_in < wave.sequence;
}

bool RecentRecordIds::Insert(const RecordId& id) {
  if (!m_known.insert(id).second) return false;
  m_order.push_back(id);
  if (m_order.size() <= config::kRecentRecordIds) return true;
  m_known.erase(m_order.front());
  m_order.pop_front();
  return true;
}

void RecentRecordIds::Assign(const std::vector<RecordId>& ids) {
  m_order.assign(ids.begin(), ids.end());
  m_known = std::set<RecordId>(ids.begin(), ids.end());
}

namespace {

using ReadyCounts = std::map<PoolName, int>;

ReadyCounts CountReady(const FleetView& view) {
  ReadyCounts counts;
  for (const auto& [name, instance] : view.instances) {
    if (instance.state == InstanceState::kReady) ++counts[instance.pool];
  }
  return counts;
}

int CountOf(const ReadyCounts& counts, const PoolName& pool) {
  const auto found = counts.find(pool);
  return found == counts.end() ? 0 : found->second;
}

/// Applies one change; a rejected change modifies neither the view nor the counts.
class ChangeApplier {
 public:
  ChangeApplier(FleetView* view, ReadyCounts* ready, std::uint64_t expected)
      : m_view(view), m_ready(ready), m_expected(expected) {}

  Verdict operator()(const ConfigPublished& change) {
    if (m_expected != m_view->config_version) return Conflict("configuration");
    std::vector<ConfigError> errors;
    auto config = ParseFleetConfig(change.yaml, "published", &errors);
    if (!config) return {.code = errors.front().code, .detail = errors.front().str()};
    if (auto error = CheckReferences(*config)) return *error;
    const std::vector<InstanceConfig> added_instances = NewInstances(*config);
    ReadyCounts ready = *m_ready;
    for (const InstanceConfig& instance : added_instances) ++ready[instance.pool];
    if (auto error = CheckBudgets(*config, ready)) return *error;
    m_view->config = std::move(*config);
    if (!m_view->preset.valid()) m_view->preset = m_view->config.presets.front().name;
    ++m_view->config_version;
    for (const InstanceConfig& instance : added_instances) Introduce(instance);
    return {};
  }

  Verdict operator()(const PresetSwitched& change) {
    if (m_expected != m_view->preset_version) return Conflict("preset");
    if (m_view->config.FindPreset(change.preset) == nullptr) {
      return {.code = ResultCode::kUnknownPreset, .detail = change.preset.str()};
    }
    m_view->preset = change.preset;
    ++m_view->preset_version;
    return {};
  }

  Verdict operator()(const InstanceAdded& change) {
    const PoolConfig* spare = m_view->config.SparePool();
    if (spare == nullptr) return {.code = ResultCode::kUnknownReference, .detail = "no spare pool"};
    const bool known = m_view->instances.contains(change.instance);
    if (known || m_expected != m_view->removed_version) return Conflict("instance");
    Introduce({.name = change.instance,
               .data_centre = change.data_centre,
               .rack = change.rack,
               .pool = spare->name,
               .endpoint = change.endpoint,
               .slots = change.slots});
    return {};
  }

  Verdict operator()(const DrainStarted& change) {
    InstanceView* instance = nullptr;
    if (auto error = Find(change.instance, InstanceEvent::kDrain, &instance)) return *error;
    if (!IsBasisCurrent(change)) return Conflict("the preset or wave of the drain");
    const int remaining = CountOf(*m_ready, instance->pool) - 1;
    const int required = m_view->RequiredAvailable(instance->pool);
    if (remaining < required) return BudgetBreach(instance->pool.str(), remaining, required);
    if (remaining < change.min_ready_remaining) return Conflict("pool " + instance->pool.str());
    Transition(instance, InstanceEvent::kDrain);
    return {};
  }

  Verdict operator()(const RebootStarted& change) {
    InstanceView* instance = nullptr;
    if (auto error = Find(change.instance, InstanceEvent::kReboot, &instance)) return *error;
    instance->maintained_in = m_view->wave.sequence;
    Transition(instance, InstanceEvent::kReboot);
    return {};
  }

  Verdict operator()(const InstanceAssigned& change) {
    InstanceView* instance = nullptr;
    if (auto error = Find(change.instance, InstanceEvent::kAssign, &instance)) return *error;
    if (m_view->config.FindPool(change.pool) == nullptr) {
      return {.code = ResultCode::kUnknownReference, .detail = "pool " + change.pool.str()};
    }
    const bool full = change.limit > 0 && CountOf(*m_ready, change.pool) >= change.limit;
    if (full) return Conflict("pool " + change.pool.str());
    instance->pool = change.pool;
    ++instance->assignment;
    Transition(instance, InstanceEvent::kAssign);
    return {};
  }

  Verdict operator()(const InstanceLost& change) {
    InstanceView* instance = nullptr;
    if (auto error = Find(change.instance, InstanceEvent::kLose, &instance)) return *error;
    Transition(instance, InstanceEvent::kLose);
    return {};
  }

  Verdict operator()(const InstanceRemoved& change) {
    InstanceView* instance = nullptr;
    if (auto error = Find(change.instance, InstanceEvent::kRemove, &instance)) return *error;
    m_view->removed_version = std::max(m_view->removed_version, instance->version);
    m_view->instances.erase(change.instance);
    return {};
  }

  Verdict operator()(const WaveStarted& change) {
    if (m_expected != m_view->wave_version) return Conflict("wave");
    if (!IsAllowed(m_view->wave.state, WaveEvent::kStart)) {
      return {.code = ResultCode::kWaveActive, .detail = m_view->wave.name.str()};
    }
    m_view->wave = {.name = change.wave,
                    .pool = change.pool,
                    .state = WaveState::kRunning,
                    .sequence = m_view->wave.sequence + 1,
                    .pause_cause = "",
                    .automatic_pause = false};
    ++m_view->wave_version;
    return {};
  }

  Verdict operator()(const WavePaused& change) {
    Verdict verdict = TransitionWave(change.wave, WaveEvent::kPause, change.cause);
    if (verdict.accepted()) m_view->wave.automatic_pause = change.automatic;
    return verdict;
  }

  Verdict operator()(const WaveResumed& change) {
    Verdict verdict = TransitionWave(change.wave, WaveEvent::kResume, "");
    if (verdict.accepted()) m_view->wave.automatic_pause = false;
    return verdict;
  }

  Verdict operator()(const WaveFinished& change) {
    const WaveState from = m_view->wave.state;
    if (!IsAllowed(from, WaveEvent::kFinish)) return InvalidWaveTransition(change.wave);
    const auto outstanding = [&](const auto& item) {
      return item.second.state != InstanceState::kLost && m_view->AwaitsMaintenance(item.second);
    };
    const auto& instances = m_view->instances;
    const bool complete = std::none_of(instances.begin(), instances.end(), outstanding);
    if (from == WaveState::kRunning && !complete) return InvalidWaveTransition(change.wave);
    Verdict verdict = TransitionWave(change.wave, WaveEvent::kFinish, "");
    if (verdict.accepted()) m_view->wave.automatic_pause = false;
    return verdict;
  }

  Verdict operator()(const SnapshotTaken&) { return {}; }

 private:
  static Verdict Conflict(const std::string& entity) {
    return {.code = ResultCode::kVersionConflict,
            .detail = entity + " was changed by another record"};
  }

  static Verdict InvalidTransition(const InstanceView& instance) {
    return {.code = ResultCode::kInvalidTransition,
            .detail = instance.name.str() + " is " + InstanceStateName(instance.state)};
  }

  static Verdict BudgetBreach(const std::string& entity, int remaining, int required) {
    return {.code = ResultCode::kBudgetBreach,
            .detail = entity + " would have " + std::to_string(remaining) +
                      " ready instances, its budget is " + std::to_string(required)};
  }

  static Verdict InvalidWaveTransition(const WaveName& name) {
    return {.code = ResultCode::kInvalidTransition, .detail = "wave " + name.str()};
  }

  /// @returns false for a drain that was proposed for an earlier version of the preset or wave.
  bool IsBasisCurrent(const DrainStarted& change) const {
    switch (change.reason) {
      case DrainReason::kPreset:
        return change.based_on_version == m_view->preset_version;
      case DrainReason::kWave:
        return change.based_on_version == m_view->wave_version &&
               m_view->wave.state == WaveState::kRunning;
      case DrainReason::kOperator:
        return true;
    }
    return false;
  }

  /// Checks that the active preset and every pool that has instances remain configured.
  std::optional<Verdict> CheckReferences(const FleetConfig& config) const {
    if (config.presets.empty()) {
      return Verdict{.code = ResultCode::kMissingValue, .detail = "no preset"};
    }
    if (m_view->preset.valid() && config.FindPreset(m_view->preset) == nullptr) {
      return Verdict{.code = ResultCode::kUnknownReference,
                     .detail = "preset " + m_view->preset.str() + " is in force"};
    }
    std::set<PoolName> pools;
    for (const PoolConfig& pool : config.pools) pools.insert(pool.name);
    for (const auto& [name, instance] : m_view->instances) {
      if (pools.contains(instance.pool)) continue;
      return Verdict{.code = ResultCode::kUnknownReference,
                     .detail = "pool " + instance.pool.str() + " still holds " + name.str()};
    }
    return std::nullopt;
  }

  /// Rejects a configuration that leaves a service below its budget. Exception: the service was
  /// below it already, and neither the budget rises nor the number of ready instances falls.
  std::optional<Verdict> CheckBudgets(const FleetConfig& config, const ReadyCounts& ready) const {
    for (const ServiceConfig& service : config.services) {
      const int available = CountOf(ready, service.pool);
      if (available >= service.min_available) continue;
      const ServiceConfig* before = m_view->config.FindService(service.name);
      const bool not_worse = before != nullptr && service.min_available <= before->min_available &&
                             available >= CountOf(*m_ready, before->pool);
      if (not_worse) continue;
      return BudgetBreach("service " + service.name.str(), available, service.min_available);
    }
    return std::nullopt;
  }

  std::vector<InstanceConfig> NewInstances(const FleetConfig& config) const {
    std::set<InstanceName> listed;
    for (const InstanceConfig& instance : m_view->config.instances) listed.insert(instance.name);
    std::vector<InstanceConfig> added_instances;
    for (const InstanceConfig& instance : config.instances) {
      const bool known =
          listed.contains(instance.name) || m_view->instances.contains(instance.name);
      if (!known) added_instances.push_back(instance);
    }
    return added_instances;
  }

  void Introduce(const InstanceConfig& instance) {
    const std::uint64_t start = m_view->removed_version + 1;
    ++(*m_ready)[instance.pool];
    m_view->instances[instance.name] = {.name = instance.name,
                                        .data_centre = instance.data_centre,
                                        .rack = instance.rack,
                                        .endpoint = instance.endpoint,
                                        .slots = instance.slots,
                                        .pool = instance.pool,
                                        .state = InstanceState::kReady,
                                        .version = start,
                                        .assignment = start,
                                        .maintained_in = m_view->wave.sequence};
  }

  /// Looks up an instance and checks the expected version and that the chart allows the event.
  std::optional<Verdict> Find(const InstanceName& name, InstanceEvent event, InstanceView** found) {
    const auto item = m_view->instances.find(name);
    if (item == m_view->instances.end()) {
      return Verdict{.code = ResultCode::kUnknownInstance, .detail = name.str()};
    }
    if (item->second.version != m_expected) return Conflict("instance " + name.str());
    if (!IsAllowed(item->second.state, event)) return InvalidTransition(item->second);
    *found = &item->second;
    return std::nullopt;
  }

  /// @attention The ready counts are updated for the instance's current pool, so change the pool
  /// first.
  void Transition(InstanceView* instance, InstanceEvent event) {
    const InstanceState state = NextState(instance->state, event).value();
    if (instance->state == InstanceState::kReady) --(*m_ready)[instance->pool];
    if (state == InstanceState::kReady) ++(*m_ready)[instance->pool];
    instance->state = state;
    ++instance->version;
  }

  Verdict TransitionWave(const WaveName& name, WaveEvent event, const std::string& cause) {
    if (m_expected != m_view->wave_version) return Conflict("wave");
    if (m_view->wave.name != name || !IsAllowed(m_view->wave.state, event)) {
      return InvalidWaveTransition(name);
    }
    m_view->wave.state = NextState(m_view->wave.state, event).value();
    m_view->wave.pause_cause = cause;
    ++m_view->wave_version;
    return {};
  }

  FleetView* m_view;
  ReadyCounts* m_ready;
  std::uint64_t m_expected;
};

}  // namespace

Verdict FleetFold::Apply(std::uint64_t offset, const std::string& payload) {
  const auto record = DecodeFleetRecord(payload);
  const RecordId id = record ? record->id : RecordId();
  // The log service also delivers records that peers have relayed.
  if (offset < m_view.next_offset) return {.id = id, .code = ResultCode::kDuplicateRecord};
  // A snapshot is compared with the state before its own record, so check it before any change.
  const auto* snapshot = record ? std::get_if<SnapshotTaken>(&record->change) : nullptr;
  const Verdict snapshot_verdict = snapshot ? CheckSnapshot(offset, *snapshot) : Verdict{};
  if (m_counted_offset != m_view.next_offset) m_ready_counts = CountReady(m_view);
  m_view.next_offset = offset + 1;
  m_counted_offset = m_view.next_offset;
  if (!record) return {.code = ResultCode::kInvalidRecord, .detail = "not a fleet record"};
  if (!m_recent_ids.Insert(id)) return {.id = id, .code = ResultCode::kDuplicateRecord};
  ChangeApplier applier(&m_view, &m_ready_counts, record->expected_version);
  Verdict verdict = std::visit(applier, record->change);
  if (snapshot) verdict = snapshot_verdict;
  verdict.id = id;
  return verdict;
}

std::shared_ptr<const FleetView> FleetFold::View() const {
  return std::make_shared<const FleetView>(m_view);
}

}  // namespace endivewood
