/// @file
/// Simulates a fleet of workers and planners.
#include <algorithm>
#include <numeric>

#include "bench_fleet.h"

namespace endivewood {
namespace {

constexpr int kBasePort = 10000;

std::string PoolOf(int index) { return "pool-" + std::to_string(index); }

std::string Targets(const FleetShape& shape, int peak) {
  std::string targets;
  for (int pool = 0; pool < shape.pools; ++pool) {
    const int gained = shape.spares + (shape.pools - 1) * (shape.pool_instances - shape.budget);
    int count = shape.pool_instances;
    if (peak >= 0) count = pool == peak ? shape.pool_instances + gained : shape.budget;
    targets += (pool == 0 ? "" : ", ") + PoolOf(pool) + ": " + std::to_string(count);
  }
  return "{" + targets + "}";
}

std::string InstanceLine(const FleetShape& shape, int index) {
  const int in_pools = shape.pools * shape.pool_instances;
  const int centre = index % shape.data_centres + 1;
  const int rack = index / shape.data_centres / shape.rack_instances;
  // Neighbours in a rack belong to different pools, so that the loss of a rack costs each pool few
  // instances, and each data centre has instances of every pool.
  const bool coprime = std::gcd(shape.data_centres, shape.pools) == 1;
  const int turn = coprime ? index : index / shape.data_centres;
  const std::string pool = index < in_pools ? PoolOf(turn % shape.pools) : "spare";
  return "  - {name: i" + std::to_string(index) + ", data_centre: dc" + std::to_string(centre) +
         ", rack: r" + std::to_string(centre) + "-" + std::to_string(rack) + ", pool: " + pool +
         ", address: 127.0.0.1, port: " + std::to_string(kBasePort + index) + "}\n";
}

}  // namespace

std::string ShapeConfig(const FleetShape& shape) {
  std::string yaml = "pools:\n  - {name: spare, spare: true}\n";
  std::string services = "services:\n";
  std::string presets = "presets:\n  - {name: even, targets: " + Targets(shape, -1) + "}\n";
  for (int pool = 0; pool < shape.pools; ++pool) {
    yaml += "  - {name: " + PoolOf(pool) + "}\n";
    services += "  - {name: service-" + std::to_string(pool) + ", pool: " + PoolOf(pool) +
                ", min_available: " + std::to_string(shape.budget) + "}\n";
    presets +=
        "  - {name: peak-" + std::to_string(pool) + ", targets: " + Targets(shape, pool) + "}\n";
  }
  yaml += services + presets + "instances:\n";
  const int instances = shape.pools * shape.pool_instances + shape.spares;
  for (int index = 0; index < instances; ++index) yaml += InstanceLine(shape, index);
  return yaml;
}

bool SimulatedWorker::Execute(const CommandWorker& command, Milliseconds now) {
  Report(now);
  if (m_dead) return false;
  switch (command.order) {
    case WorkerOrder::kDrain:
      if (m_status.state != WorkerState::kServing) return false;
      if (m_status.assignment > command.assignment) return false;
      m_status.state = WorkerState::kDraining;
      m_until = now + m_drain;
      return true;
    case WorkerOrder::kReboot: {
      const bool idle = m_status.busy == 0 && m_status.state == WorkerState::kDraining;
      if (!idle || m_status.assignment != command.assignment) return false;
      m_status.state = WorkerState::kRebooting;
      m_status.rebooted = command.assignment;
      m_until = now + m_reboot;
      return true;
    }
    case WorkerOrder::kAssign:
      if (m_status.assignment >= command.assignment) return false;
      m_status.state = WorkerState::kServing;
      m_status.assignment = command.assignment;
      return true;
  }
  return false;
}

WorkerReport SimulatedWorker::Report(Milliseconds now) {
  if (m_dead) return {};
  const bool over = now >= m_until;
  if (m_status.state == WorkerState::kRebooting && over) m_status.state = WorkerState::kIdle;
  m_status.busy = m_status.state == WorkerState::kDraining && !over ? 1 : 0;
  return {.status = m_status};
}

FleetSimulator::FleetSimulator(
    const FleetShape& shape, int replicas,
    const std::function<PlanFunction(const DataCentreName&)>& make_planner)
    : m_shape(shape) {
  Apply(ConfigPublished{.yaml = ShapeConfig(shape)}, 0);
  const auto view = View();
  for (const auto& [name, instance] : view->instances) {
    m_workers.emplace(name, SimulatedWorker(shape.drain, shape.reboot));
    m_listed.push_back({.name = name,
                        .data_centre = instance.data_centre,
                        .rack = instance.rack,
                        .endpoint = instance.endpoint});
  }
  for (int centre = 1; centre <= shape.data_centres; ++centre) {
    const DataCentreName name("dc" + std::to_string(centre));
    for (int replica = 0; replica < replicas; ++replica) {
      m_replicas.push_back({.data_centre = name, .plan = make_planner(name)});
    }
  }
}

Verdict FleetSimulator::Apply(const FleetChange& change, std::uint64_t expected_version) {
  const FleetRecord record{.id = RecordId("record-" + std::to_string(m_offset)),
                           .author = Incarnation("run"),
                           .expected_version = expected_version,
                           .change = change};
  return m_fold.Apply(m_offset++, EncodeFleetRecord(record));
}

Verdict FleetSimulator::Switch(const std::string& preset) {
  return Apply(PresetSwitched{.preset = PresetName(preset)}, View()->preset_version);
}

Verdict FleetSimulator::StartWave() {
  const std::string number = std::to_string(View()->wave.sequence + 1);
  return Apply(WaveStarted{.wave = WaveName("wave-" + number)}, View()->wave_version);
}

void FleetSimulator::SetIsolated(const DataCentreName& data_centre, bool isolated) {
  if (isolated) {
    m_isolated.insert(data_centre);
  } else {
    m_isolated.erase(data_centre);
  }
}

void FleetSimulator::RunPlanner(const Replica& replica) {
  PlannerInput input{.view = m_fold.View(), .listed = m_listed, .now = m_now};
  input.current = !m_isolated.contains(replica.data_centre);
  for (auto& [name, worker] : m_workers) {
    const auto found = input.view->instances.find(name);
    if (found == input.view->instances.end()) continue;
    if (found->second.data_centre != replica.data_centre) continue;
    input.workers[name] = worker.Report(m_now);
  }
  for (const PlannerAction& action : replica.plan(input)) Execute(action);
}

void FleetSimulator::Execute(const PlannerAction& action) {
  if (const auto* command = std::get_if<CommandWorker>(&action)) {
    const auto worker = m_workers.find(command->instance);
    if (worker != m_workers.end() && !worker->second.Execute(*command, m_now)) {
      ++m_stats.orders_refused;
    }
    return;
  }
  const auto& proposal = std::get<ProposeChange>(action);
  ++m_stats.proposed;
  PoolName before;
  const auto* assigned = std::get_if<InstanceAssigned>(&proposal.change);
  if (assigned != nullptr) before = View()->instances.at(assigned->instance).pool;
  const bool accepted = Apply(proposal.change, proposal.expected_version).accepted();
  if (!accepted) ++m_stats.rejected;
  if (accepted && assigned != nullptr && assigned->pool != before) ++m_stats.moves;
}

void FleetSimulator::CheckBudgets() {
  const auto view = View();
  int in_flight = 0;
  bool lost = false;
  for (const auto& [name, instance] : view->instances) {
    lost = lost || instance.state == InstanceState::kLost;
    if (instance.state == InstanceState::kDraining) ++in_flight;
    if (instance.state == InstanceState::kRebooting) ++in_flight;
  }
  m_stats.max_in_flight = std::max(m_stats.max_in_flight, in_flight);
  for (const ServiceConfig& service : view->config.services) {
    const bool breached = view->ReadyCount(service.pool) < service.min_available;
    if (breached && !lost) ++m_stats.budget_violations;
  }
}

void FleetSimulator::Step() {
  for (const Replica& replica : m_replicas) RunPlanner(replica);
  CheckBudgets();
  m_now += kStep;
}

std::optional<Milliseconds> FleetSimulator::RunUntil(const std::function<bool()>& condition,
                                                     Milliseconds limit) {
  const Milliseconds start = m_now;
  while (!condition()) {
    if (m_now - start >= limit) return std::nullopt;
    Step();
  }
  return m_now - start;
}

PlanFunction MakePlanner(const PlannerOptions& options) {
  auto planner = std::make_shared<Planner>(options);
  return [planner](const PlannerInput& input) { return planner->Plan(input); };
}

}  // namespace endivewood
