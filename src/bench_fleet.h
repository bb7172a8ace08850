/// @file
/// Measures fleet decisions: planners, the fold and modelled workers run in one process on a
/// modelled time, for the shapes of both deployments.
#pragma once

#include <functional>
#include <ostream>

#include "planner.h"

namespace endivewood {

/// Shape of a deployment.
struct FleetShape {
  std::string name;
  int data_centres = 3;
  int pools = 5;
  int pool_instances = 9;
  int spares = 8;
  int budget = 7;
  int rack_instances = 4;
  Milliseconds drain{20000};  ///< Longest time in which a worker finishes its work.
  Milliseconds reboot{60000};
};

FleetShape MusicLessonsShape();     ///< Cor Alpin Leuven.
FleetShape ReturnLogisticsShape();  ///< Sahel Froid Retours.

/// @returns the fleet configuration of a shape. Preset "even" gives every pool pool_instances;
/// preset "peak-N" gives pool N the spares and what the others have above their budgets.
std::string ShapeConfig(const FleetShape& shape);

/// What happened in a run.
struct FleetRunStats {
  int moves = 0;     ///< Accepted assignments to another pool.
  int rejected = 0;  ///< Proposals that the fold rejected.
  int proposed = 0;
  int budget_violations = 0;  ///< Steps after which a budget was breached with no loss.
  int max_in_flight = 0;
  int aborted = 0;         ///< Workers that rebooted with work in progress.
  int orders_refused = 0;  ///< Late or repeated orders that had no effect.
};

using PlanFunction = std::function<std::vector<PlannerAction>(const PlannerInput&)>;

/// A worker that obeys orders as planner.h describes them.
class ModelWorker {
 public:
  ModelWorker(Milliseconds drain, Milliseconds reboot) : m_drain(drain), m_reboot(reboot) {}

  /// @returns false when the order had no effect.
  bool Obey(const CommandWorker& command, Milliseconds now);
  WorkerReport Report(Milliseconds now);
  void SetDead(bool dead) { m_dead = dead; }

 private:
  Milliseconds m_drain;
  Milliseconds m_reboot;
  WorkerStatus m_status{.assignment = 1};
  Milliseconds m_until{0};
  bool m_dead = false;
};

/// The fold, the workers and a planner for each data centre.
class FleetRun {
 public:
  /// @param make_planner called once for each data centre and replica.
  FleetRun(const FleetShape& shape, int replicas,
           const std::function<PlanFunction(const DataCentreName&)>& make_planner);

  /// Applies an operator's or a planner's change.
  Verdict Apply(const FleetChange& change, std::uint64_t expected_version);
  Verdict Switch(const std::string& preset);
  Verdict StartWave();

  /// Lets every planner act once, then moves time on by one step.
  void Step();
  /// @returns the time until the condition holds, or no value after `limit`.
  std::optional<Milliseconds> RunUntil(const std::function<bool()>& condition, Milliseconds limit);

  std::shared_ptr<const FleetView> View() const { return m_fold.View(); }
  ModelWorker& WorkerOf(const InstanceName& name) { return m_workers.at(name); }
  /// A planner of an isolated data centre sees no current view; its records are not appended.
  void SetIsolated(const DataCentreName& data_centre, bool isolated);
  const FleetRunStats& stats() const { return m_stats; }

  static constexpr Milliseconds kStep{500};

 private:
  struct Replica {
    DataCentreName data_centre;
    PlanFunction plan;
  };

  void Act(const Replica& replica);
  void Perform(const PlannerAction& action);
  void CheckBudgets();

  FleetShape m_shape;
  FleetFold m_fold;
  std::uint64_t m_offset = 0;
  Milliseconds m_now{0};
  std::vector<Replica> m_replicas;
  std::set<DataCentreName> m_isolated;
  std::map<InstanceName, ModelWorker> m_workers;
  std::vector<ListedInstance> m_listed;
  FleetRunStats m_stats;
};

/// @returns our planner with the given options.
PlanFunction MakePlanner(const PlannerOptions& options);

/// Each prints one row for our planner and one for each naive one.
/// @returns false when ours misses the target of the design page.
bool BenchMoves(const FleetShape& shape, std::ostream* out);
bool BenchRollout(const FleetShape& shape, std::ostream* out);
bool BenchBuffer(const FleetShape& shape, std::ostream* out);
/// Cost of one record in a fold of `instances` instances.
bool BenchFold(int instances, std::ostream* out);

}  // namespace endivewood
