/// @file
/// Pure fleet decisions of one data centre: fleet view, instance list, worker states and time in,
/// proposed records and worker commands out.
///
/// Each pool has a target: what the preset in force gives it, at least its budget; the spare pool
/// takes the rest. Instances that drain or reboot belong to no target: when one returns it goes to
/// the pool that needs it most. So an instance is drained for a move only while a pool has more
/// ready instances than its target, and the number of moves is the sum of the pools' gains.
///
/// Defined results where events meet:
/// - Second switch during the first: instances in flight go to the pools that the second preset
///   needs. Drains that were decided for the first preset and not yet accepted are rejected by the
///   fold. The hold time starts again, so a switch back within it moves nothing more.
/// - Preset switch during a wave: instances that the wave reboots return to the pools that gain,
///   and a move takes instances that await maintenance first, so one reboot serves both.
/// - Correlated loss during a wave: returning instances go to the pools below their budgets first;
///   when losses have used up the budget of a pool, the wave pauses, and it resumes when returned
///   or replacing instances give the budget back. Drains in progress are completed.
/// - A loss lowers the share of the spare pool, so a spare instance replaces the lost one.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood {

/// State of a worker as the worker itself reports it.
enum class WorkerState : std::uint8_t {
  kServing = 0,
  kDraining,  ///< Refuses new work and finishes what it has.
  kRebooting,
  kIdle,  ///< Rebooted, with no assignment yet; refuses work.
};

struct WorkerStatus {
  WorkerState state = WorkerState::kServing;
  std::uint64_t assignment = 0;  ///< Requests of another assignment are refused.
  std::uint64_t rebooted = 0;    ///< The assignment that the last controlled reboot ended.
  int busy = 0;                  ///< Requests and tasks in progress.

  bool operator==(const WorkerStatus&) const = default;
};

/// Answer to a question about one worker; no status means that it could not be reached.
struct WorkerReport {
  std::optional<WorkerStatus> status;

  bool operator==(const WorkerReport&) const = default;
};

enum class ListedState : std::uint8_t { kLive = 0, kLeaving };

/// An entry of the platform's instance list, which lags.
struct ListedInstance {
  InstanceName name;
  DataCentreName data_centre;
  RackName rack;
  Endpoint endpoint;
  int slots = 8;
  ListedState state = ListedState::kLive;

  bool operator==(const ListedInstance&) const = default;
};

/// What a planner knows at one time.
struct PlannerInput {
  std::shared_ptr<const FleetView> view;
  std::vector<ListedInstance> listed;
  std::map<InstanceName, WorkerReport> workers;  ///< The workers that were asked.
  Milliseconds now{0};
  bool current = false;      ///< The platform is reachable and the view is up to date.
  bool leads_centre = true;  ///< This process acts for its data centre; see planner_process.h.
  bool leads_wave = true;    ///< This process pauses, resumes and ends waves.
};

/// Proposes a record.
struct ProposeChange {
  FleetChange change;
  std::uint64_t expected_version = 0;

  bool operator==(const ProposeChange&) const = default;
};

enum class WorkerOrder : std::uint8_t { kDrain = 0, kReboot, kAssign };

/// @returns "drain", "reboot" or "assign".
const char* WorkerOrderName(WorkerOrder order);

/// Sends an order to a worker. The assignment makes a late or repeated order harmless: a worker
/// carries out `drain` and `reboot` only under this assignment and each reboot once, and `assign`
/// only when it raises its assignment.
struct CommandWorker {
  InstanceName instance;
  WorkerOrder order = WorkerOrder::kDrain;
  std::uint64_t assignment = 0;

  bool operator==(const CommandWorker&) const = default;
};

using PlannerAction = std::variant<ProposeChange, CommandWorker>;

struct PlannerOptions {
  DataCentreName data_centre;
  /// A preset must have been in force this long before its moves start. Peaks that come in turn
  /// last some seconds, less than a drain and reboot take, so following them gains nothing.
  Milliseconds hold{10000};
  /// A worker must have been unreachable, or reachable again, this long before it counts as lost
  /// or returned.
  Milliseconds loss_confirm{5000};
  /// A reboot that takes longer counts as a loss.
  Milliseconds reboot_limit{600000};
  /// A lost instance that is absent from the list this long is removed.
  Milliseconds remove_after{600000};
  /// Moves of a data centre whose planner does nothing are taken over by others after this time.
  Milliseconds stall{10000};
};

/// Decides for one data centre. Deterministic: the same inputs in the same order give the same
/// actions. Not thread-safe.
class Planner {
 public:
  explicit Planner(PlannerOptions options) : m_options(std::move(options)) {}

  /// @returns the actions to carry out now. An action that is still needed is returned again on
  /// the next call.
  std::vector<PlannerAction> Plan(const PlannerInput& input);

 private:
  void Observe(const PlannerInput& input);

  PlannerOptions m_options;
  std::uint64_t m_preset_version = 0;
  Milliseconds m_preset_since{0};
  bool m_started = false;
  std::uint64_t m_progress_version = 0;  ///< View offset at which m_progress_since was taken.
  Milliseconds m_progress_since{0};
  std::map<InstanceName, Milliseconds> m_unreachable_since;
  std::map<InstanceName, Milliseconds> m_reachable_since;
  std::map<InstanceName, Milliseconds> m_unlisted_since;
};

}  // namespace endivewood
