/// @file
/// Simulates a fleet in one process (planners, the fold and simulated workers, on simulated time)
/// and benchmarks the planner at the sizes of both deployments.
#pragma once

#include <functional>
#include <ostream>

#include "planner.h"

namespace endivewood {

/// Size of a deployment and the times that its workers need.
struct FleetShape {
  std::string name;
  int data_centres = 3;
  int pools = 5;
  int pool_instances = 9;
  int spares = 8;
  int budget = 7;  ///< Ready instances that each pool must keep.
  int rack_instances = 4;
  Milliseconds drain{20000};  ///< Longest time that a worker takes to finish its work.
  Milliseconds reboot{60000};
};

FleetShape MusicLessonsShape();     ///< The deployment of Cor Alpin Leuven.
FleetShape ReturnLogisticsShape();  ///< The deployment of Sahel Froid Retours.

/// @returns the fleet configuration of a shape. Preset "even" gives every pool pool_instances;
/// preset "peak-N" leaves the other pools their budgets and gives pool N the rest.
std::string ShapeConfig(const FleetShape& shape);

/// Counters of a simulation.
struct FleetSimulatorStats {
  int moves = 0;     ///< Accepted assignments to another pool.
  int rejected = 0;  ///< Proposals that the fold rejected.
  int proposed = 0;
  int budget_violations = 0;  ///< Breached budgets after steps without a lost instance.
  int max_in_flight = 0;
  int aborted = 0;         ///< Workers that rebooted with work in progress.
  int orders_refused = 0;  ///< Late or repeated orders that had no effect.
};

using PlanFunction = std::function<std::vector<PlannerAction>(const PlannerInput&)>;

/// A worker that executes orders as CommandWorker describes.
class SimulatedWorker {
 public:
  SimulatedWorker(Milliseconds drain, Milliseconds reboot) : m_drain(drain), m_reboot(reboot) {}

  /// @returns false when the order had no effect.
  bool Execute(const CommandWorker& command, Milliseconds now);
  WorkerReport Report(Milliseconds now);
  void SetDead(bool dead) { m_dead = dead; }

 private:
  Milliseconds m_drain;
  Milliseconds m_reboot;
  WorkerStatus m_status{.assignment = 1};
  Milliseconds m_until{0};
  bool m_dead = false;
};

/// Simulated fleet: the fold, the workers and the planners of each data centre.
class FleetSimulator {
 public:
  /// @param make_planner called once for each data centre and replica.
  FleetSimulator(const FleetShape& shape, int replicas,
                 const std::function<PlanFunction(const DataCentreName&)>& make_planner);

  /// Applies an operator's or a planner's change.
  Verdict Apply(const FleetChange& change, std::uint64_t expected_version);
  Verdict Switch(const std::string& preset);
  Verdict StartWave();

  /// Runs every planner once, then advances the time by one step.
  void Step();
  /// @returns the time until the condition holds, or no value after `limit`.
  std::optional<Milliseconds> RunUntil(const std::function<bool()>& condition, Milliseconds limit);

  std::shared_ptr<const FleetView> View() const { return m_fold.View(); }
  SimulatedWorker& WorkerOf(const InstanceName& name) { return m_workers.at(name); }
  /// Planners of an isolated data centre are told that their view is out of date.
  void SetIsolated(const DataCentreName& data_centre, bool isolated);
  const FleetSimulatorStats& stats() const { return m_stats; }

  static constexpr Milliseconds kStep{500};

 private:
  struct Replica {
    DataCentreName data_centre;
    PlanFunction plan;
  };

  void RunPlanner(const Replica& replica);
  void Execute(const PlannerAction& action);
  void CheckBudgets();

  FleetShape m_shape;
  FleetFold m_fold;
  std::uint64_t m_offset = 0;
  Milliseconds m_now{0};
  std::vector<Replica> m_replicas;
  std::set<DataCentreName> m_isolated;
  std::map<InstanceName, SimulatedWorker> m_workers;
  std::vector<ListedInstance> m_listed;
  FleetSimulatorStats m_stats;
};

/// @returns the plan function of a new planner.
PlanFunction MakePlanner(const PlannerOptions& options);

/// Measures the moves of a preset switch and of alternating peaks, and prints one row for each
/// planner: the default one, one that empties and refills pools, and one without a hold time.
/// @returns false when the default planner misses its target.
bool BenchMoves(const FleetShape& shape, std::ostream* out);
/// Measures the time of a maintenance wave against the shortest time that the budgets allow, and
/// prints one row for the default planner and one for a wave of one instance at a time.
/// @returns false when the default planner misses its target.
bool BenchRollout(const FleetShape& shape, std::ostream* out);
/// Measures the cost of a drain, reboot or assignment record in a fold of 890 instances.
void BenchFold(std::ostream* out);

}  // namespace endivewood
