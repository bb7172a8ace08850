/// @file
/// Implements the planner of one data centre.
#include "planner.h"

#include <algorithm>

#include "pool_counts.h"

namespace endivewood {
namespace {

using ConditionTimes = std::map<InstanceName, Milliseconds>;

/// Starts the time of a condition when it begins to hold for an instance; clears it otherwise.
void UpdateConditionTime(const InstanceName& name, bool holds, Milliseconds now,
                         ConditionTimes* since) {
  if (holds) {
    since->try_emplace(name, now);
  } else {
    since->erase(name);
  }
}

bool HasHeldFor(const ConditionTimes& since, const InstanceName& name, Milliseconds now,
                Milliseconds time) {
  const auto found = since.find(name);
  return found != since.end() && now - found->second >= time;
}

/// Builds the action list of one planning pass.
class PlanBuilder {
 public:
  PlanBuilder(const PlannerInput& input, const PlannerOptions& options)
      : m_input(input),
        m_view(*input.view),
        m_options(options),
        m_counts(CountPools(*input.view)) {}

  /// Proposes the next step of an instance's drain, reboot and assignment cycle.
  void Advance(const InstanceView& instance, bool returned) {
    const auto report = m_input.workers.find(instance.name);
    if (report == m_input.workers.end() || !report->second.status) return;
    const WorkerStatus& worker = *report->second.status;
    switch (instance.state) {
      case InstanceState::kReady:
        // A restarted worker has lost its assignment.
        if (worker.assignment < instance.assignment) {
          Order(instance, WorkerOrder::kAssign, instance.assignment);
        }
        break;
      case InstanceState::kDraining:
        AdvanceDrain(instance, worker);
        break;
      case InstanceState::kRebooting:
        AdvanceReboot(instance, worker);
        break;
      case InstanceState::kLost:
        if (returned) ReturnToService(instance, worker);
        break;
    }
  }

  void DeclareLost(const InstanceView& instance) {
    Propose(InstanceLost{.instance = instance.name}, instance.version);
  }

  void Remove(const InstanceView& instance) {
    Propose(InstanceRemoved{.instance = instance.name}, instance.version);
  }

  void Add(const ListedInstance& listed) {
    Propose(InstanceAdded{.instance = listed.name,
                          .data_centre = listed.data_centre,
                          .rack = listed.rack,
                          .endpoint = listed.endpoint,
                          .slots = listed.slots},
            m_view.removed_version);
  }

  void DrainLeavingInstance(const InstanceView& instance) {
    const PoolCount& pool = m_counts.at(instance.pool);
    if (pool.ready > pool.required) StartDrain(instance, DrainReason::kOperator, 0, 0);
  }

  /// @param budget_only drains only spare instances, to bring pools back up to their budgets.
  /// @param take_over also makes the moves of other data centres, with own instances.
  void StartMoves(bool budget_only, bool take_over) {
    const bool below_budget = std::any_of(m_counts.begin(), m_counts.end(), [](const auto& item) {
      return item.second.ready < item.second.required;
    });
    if (budget_only && !below_budget) return;
    for (const InstanceView* instance : ChooseMoves(m_view, m_counts)) {
      const PoolCount& pool = m_counts.at(instance->pool);
      if (budget_only && !pool.spare) continue;
      if (!IsOwn(*instance) && take_over) instance = FindOwnSubstitute(*instance);
      if (instance == nullptr || !IsOwn(*instance) || m_drained.contains(instance->name)) continue;
      StartDrain(*instance, DrainReason::kPreset, m_view.preset_version, pool.target);
    }
  }

  void AdvanceWave(bool leads) {
    const WaveView& wave = m_view.wave;
    const bool exhausted = LossesExhaustBudget(m_counts);
    if (wave.state == WaveState::kPaused && wave.automatic_pause && !exhausted && leads) {
      Propose(WaveResumed{.wave = wave.name}, m_view.wave_version);
    }
    if (wave.state != WaveState::kRunning) return;
    if (exhausted) {
      if (!leads) return;
      Propose(WavePaused{.wave = wave.name,
                         .cause = "unplanned losses have used up a budget",
                         .automatic = true},
              m_view.wave_version);
      return;
    }
    if (IsWaveComplete()) {
      if (leads) Propose(WaveFinished{.wave = wave.name}, m_view.wave_version);
      return;
    }
    for (const InstanceView* instance : ChooseWaveDrains(m_view, m_counts, m_options.data_centre)) {
      if (m_drained.contains(instance->name)) continue;
      StartDrain(*instance, DrainReason::kWave, m_view.wave_version, 0);
    }
  }

  bool IsOwn(const InstanceView& instance) const {
    return instance.data_centre == m_options.data_centre;
  }

  std::vector<PlannerAction> TakeActions() { return std::move(m_actions); }

 private:
  void AdvanceDrain(const InstanceView& instance, const WorkerStatus& worker) {
    const bool serving =
        worker.state == WorkerState::kServing && worker.assignment <= instance.assignment;
    if (serving) {
      Order(instance, WorkerOrder::kDrain, instance.assignment);
      return;
    }
    if (worker.busy > 0 || worker.state == WorkerState::kRebooting) return;
    Propose(RebootStarted{.instance = instance.name}, instance.version);
  }

  void AdvanceReboot(const InstanceView& instance, const WorkerStatus& worker) {
    if (worker.state == WorkerState::kRebooting) return;
    const bool rebooted =
        worker.rebooted == instance.assignment || worker.assignment > instance.assignment;
    if (!rebooted) {
      Order(instance, WorkerOrder::kReboot, instance.assignment);
      return;
    }
    ReturnToService(instance, worker);
  }

  /// Waits until the worker serves under its next assignment before proposing the record that makes
  /// the instance ready, so that no ready instance refuses work.
  void ReturnToService(const InstanceView& instance, const WorkerStatus& worker) {
    const std::uint64_t next = instance.assignment + 1;
    if (worker.assignment < next) {
      Order(instance, WorkerOrder::kAssign, next);
      return;
    }
    const PoolName name = ChoosePool(m_counts, instance);
    PoolCount& pool = m_counts.at(name);
    const bool blocked = pool.IsWaveBlockedIn(instance.data_centre);
    int limit = std::max({pool.target, pool.WaveLimit(), blocked ? pool.ready + 1 : 0});
    if (pool.spare) limit = 0;
    Propose(InstanceAssigned{.instance = instance.name, .pool = name, .limit = limit},
            instance.version);
    ++pool.ready;
    ++pool.ready_in[instance.data_centre];
    --m_counts.at(instance.pool).in_flight;
  }

  void StartDrain(const InstanceView& instance, DrainReason reason, std::uint64_t based_on_version,
                  int min_ready_remaining) {
    m_drained.insert(instance.name);
    Propose(DrainStarted{.instance = instance.name,
                         .reason = reason,
                         .based_on_version = based_on_version,
                         .min_ready_remaining = min_ready_remaining},
            instance.version);
    PoolCount& pool = m_counts.at(instance.pool);
    --pool.ready;
    --pool.ready_in[instance.data_centre];
    ++pool.in_flight;
  }

  const InstanceView* FindOwnSubstitute(const InstanceView& other) const {
    for (const auto& [name, instance] : m_view.instances) {
      const bool fits = instance.pool == other.pool && IsOwn(instance) &&
                        instance.state == InstanceState::kReady && !m_drained.contains(name);
      const PoolCount& pool = m_counts.at(instance.pool);
      if (fits && !pool.IsAtMinimumIn(m_options.data_centre)) return &instance;
    }
    return nullptr;
  }

  bool IsWaveComplete() const {
    return std::none_of(m_view.instances.begin(), m_view.instances.end(), [&](const auto& item) {
      const InstanceView& instance = item.second;
      if (instance.state == InstanceState::kLost) return false;
      return m_view.AwaitsMaintenance(instance) || instance.state == InstanceState::kRebooting;
    });
  }

  void Propose(FleetChange change, std::uint64_t expected) {
    m_actions.emplace_back(
        ProposeChange{.change = std::move(change), .expected_version = expected});
  }

  void Order(const InstanceView& instance, WorkerOrder order, std::uint64_t assignment) {
    m_actions.emplace_back(
        CommandWorker{.instance = instance.name, .order = order, .assignment = assignment});
  }

  const PlannerInput& m_input;
  const FleetView& m_view;
  const PlannerOptions& m_options;
  PoolCounts m_counts;
  std::set<InstanceName> m_drained;
  std::vector<PlannerAction> m_actions;
};

}  // namespace

const char* WorkerOrderName(WorkerOrder order) {
  switch (order) {
    case WorkerOrder::kDrain:
      return "drain";
    case WorkerOrder::kReboot:
      return "reboot";
    case WorkerOrder::kAssign:
      return "assign";
  }
  return "unlisted";
}

void Planner::Observe(const PlannerInput& input) {
  const FleetView& view = *input.view;
  if (!m_started || view.preset_version != m_preset_version) {
    m_preset_version = view.preset_version;
    m_preset_since = input.now;
  }
  if (!m_started || view.next_offset != m_progress_version) {
    m_progress_version = view.next_offset;
    m_progress_since = input.now;
  }
  m_started = true;
  std::set<InstanceName> listed;
  for (const ListedInstance& entry : input.listed) listed.insert(entry.name);
  for (const auto& [name, instance] : view.instances) {
    if (instance.data_centre != m_options.data_centre) continue;
    // An empty list means that it has not been read yet, not that every instance is gone.
    UpdateConditionTime(name, !listed.empty() && !listed.contains(name), input.now,
                        &m_unlisted_since);
    const auto report = input.workers.find(name);
    if (report == input.workers.end()) continue;
    const bool reachable = report->second.status.has_value();
    UpdateConditionTime(name, reachable, input.now, &m_reachable_since);
    UpdateConditionTime(name, !reachable, input.now, &m_unreachable_since);
  }
}

std::vector<PlannerAction> Planner::Plan(const PlannerInput& input) {
  if (!input.current) {
    // Reachability may have changed in the meantime, so the confirmation times start again.
    m_unreachable_since.clear();
    m_reachable_since.clear();
    return {};
  }
  Observe(input);
  if (!input.leads_data_centre || !input.view->preset.valid()) return {};
  const Milliseconds now = input.now;
  PlanBuilder builder(input, m_options);
  std::set<InstanceName> leaving;
  for (const ListedInstance& entry : input.listed) {
    if (entry.state == ListedState::kLeaving) leaving.insert(entry.name);
    const bool own = entry.data_centre == m_options.data_centre;
    const bool joins = entry.state == ListedState::kLive && own;
    if (joins && !input.view->instances.contains(entry.name)) builder.Add(entry);
  }
  for (const auto& [name, instance] : input.view->instances) {
    if (!builder.IsOwn(instance)) continue;
    const bool lost = instance.state == InstanceState::kLost;
    const bool reboots = instance.state == InstanceState::kRebooting;
    const Milliseconds limit = reboots ? m_options.reboot_limit : m_options.loss_confirm;
    if (!lost && HasHeldFor(m_unreachable_since, name, now, limit)) {
      builder.DeclareLost(instance);
      continue;
    }
    if (lost && HasHeldFor(m_unlisted_since, name, now, m_options.remove_after)) {
      builder.Remove(instance);
      continue;
    }
    if (leaving.contains(name)) {
      if (instance.state == InstanceState::kReady) builder.DrainLeavingInstance(instance);
      if (instance.state != InstanceState::kDraining) continue;
    }
    builder.Advance(instance, HasHeldFor(m_reachable_since, name, now, m_options.loss_confirm));
  }
  const bool in_hold = now - m_preset_since < m_options.hold;
  const bool stalled = now - m_progress_since >= m_options.stall;
  builder.StartMoves(in_hold, stalled);
  builder.AdvanceWave(input.leads_wave);
  return builder.TakeActions();
}

}  // namespace endivewood
