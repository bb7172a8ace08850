/// @file
/// The fold of the fleet stream. Every process evaluates the same preconditions in the same order.
#include <endivewood/endivewood.h>

#include <algorithm>

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

namespace {

/// Applies one change to a view that the caller discards on rejection.
class ChangeApplier {
 public:
  ChangeApplier(FleetView* view, std::uint64_t expected) : m_view(view), m_expected(expected) {}

  Verdict operator()(const ConfigPublished& change) {
    if (m_expected != m_view->config_version) return Conflict("configuration");
    std::vector<ConfigFault> faults;
    auto config = ParseFleetConfig(change.yaml, "published", &faults);
    if (!config) return {.code = faults.front().code, .detail = faults.front().str()};
    for (const auto& [name, instance] : m_view->instances) {
      if (config->FindPool(instance.pool) == nullptr) {
        return {.code = ResultCode::kUnknownReference,
                .detail = "pool " + instance.pool.str() + " still holds " + name.str()};
      }
    }
    if (m_view->preset.valid() && config->FindPreset(m_view->preset) == nullptr) {
      return {.code = ResultCode::kUnknownReference,
              .detail = "preset " + m_view->preset.str() + " is in force"};
    }
    m_view->config = std::move(*config);
    ++m_view->config_version;
    for (const InstanceConfig& instance : m_view->config.instances) Introduce(instance);
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
    if (m_view->instances.contains(change.instance)) return Conflict("instance");
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
    if (auto fault = Find(change.instance, InstanceEvent::kDrain, &instance)) return *fault;
    const int remaining = m_view->ReadyCount(instance->pool) - 1;
    const int required = m_view->RequiredAvailable(instance->pool);
    if (remaining < required) {
      return {.code = ResultCode::kBudgetBreach,
              .detail = instance->pool.str() + " would have " + std::to_string(remaining) +
                        " ready instances, its budget is " + std::to_string(required)};
    }
    Move(instance, InstanceEvent::kDrain);
    return {};
  }

  Verdict operator()(const RebootStarted& change) {
    InstanceView* instance = nullptr;
    if (auto fault = Find(change.instance, InstanceEvent::kReboot, &instance)) return *fault;
    Move(instance, InstanceEvent::kReboot);
    return {};
  }

  Verdict operator()(const InstanceAssigned& change) {
    InstanceView* instance = nullptr;
    if (auto fault = Find(change.instance, InstanceEvent::kAssign, &instance)) return *fault;
    if (m_view->config.FindPool(change.pool) == nullptr) {
      return {.code = ResultCode::kUnknownReference, .detail = "pool " + change.pool.str()};
    }
    instance->pool = change.pool;
    instance->maintained_in = m_view->wave.sequence;
    ++instance->assignment;
    Move(instance, InstanceEvent::kAssign);
    return {};
  }

  Verdict operator()(const InstanceLost& change) {
    InstanceView* instance = nullptr;
    if (auto fault = Find(change.instance, InstanceEvent::kLose, &instance)) return *fault;
    Move(instance, InstanceEvent::kLose);
    return {};
  }

  Verdict operator()(const InstanceRemoved& change) {
    InstanceView* instance = nullptr;
    if (auto fault = Find(change.instance, InstanceEvent::kRemove, &instance)) return *fault;
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
                    .pause_cause = ""};
    ++m_view->wave_version;
    return {};
  }

  Verdict operator()(const WavePaused& change) {
    return MoveWave(change.wave, WaveEvent::kPause, change.cause);
  }

  Verdict operator()(const WaveResumed& change) {
    return MoveWave(change.wave, WaveEvent::kResume, "");
  }

  Verdict operator()(const WaveFinished& change) {
    return MoveWave(change.wave, WaveEvent::kFinish, "");
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

  void Introduce(const InstanceConfig& instance) {
    if (m_view->instances.contains(instance.name)) return;
    m_view->instances[instance.name] = {.name = instance.name,
                                        .data_centre = instance.data_centre,
                                        .rack = instance.rack,
                                        .endpoint = instance.endpoint,
                                        .slots = instance.slots,
                                        .pool = instance.pool,
                                        .state = InstanceState::kReady,
                                        .version = 1,
                                        .assignment = 1};
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

  static void Move(InstanceView* instance, InstanceEvent event) {
    instance->state = NextState(instance->state, event).value();
    ++instance->version;
  }

  Verdict MoveWave(const WaveName& name, WaveEvent event, const std::string& cause) {
    if (m_expected != m_view->wave_version) return Conflict("wave");
    if (m_view->wave.name != name || !IsAllowed(m_view->wave.state, event)) {
      return {.code = ResultCode::kInvalidTransition, .detail = "wave " + name.str()};
    }
    m_view->wave.state = NextState(m_view->wave.state, event).value();
    m_view->wave.pause_cause = cause;
    ++m_view->wave_version;
    return {};
  }

  FleetView* m_view;
  std::uint64_t m_expected;
};

}  // namespace

Verdict FleetFold::Apply(std::uint64_t offset, const std::string& payload) {
  const auto record = DecodeFleetRecord(payload);
  const auto* snapshot = record ? std::get_if<SnapshotTaken>(&record->change) : nullptr;
  const Verdict snapshot_verdict = snapshot ? CheckSnapshot(offset, *snapshot) : Verdict{};
  m_view.next_offset = offset + 1;
  if (!record) return {.code = ResultCode::kInvalidRecord, .detail = "not a fleet record"};
  const bool repeated =
      std::find(m_recent_ids.begin(), m_recent_ids.end(), record->id) != m_recent_ids.end();
  if (repeated) return {.id = record->id, .code = ResultCode::kDuplicateRecord, .detail = ""};
  if (m_recent_ids.size() >= config::kRecentRecordIds) m_recent_ids.erase(m_recent_ids.begin());
  m_recent_ids.push_back(record->id);
  Verdict verdict = std::visit(ChangeApplier(&m_view, record->expected_version), record->change);
  if (snapshot) verdict = snapshot_verdict;
  verdict.id = record->id;
  return verdict;
}

std::shared_ptr<const FleetView> FleetFold::View() const {
  return std::make_shared<const FleetView>(m_view);
}

}  // namespace endivewood
