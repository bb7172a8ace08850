/// @file
/// Decides the moves, drains and maintenance of one data centre without I/O. Input is the fleet
/// view, the instance list, worker states and the time; output is proposed records and worker
/// commands.
///
/// The target of a pool is the number of instances in the active preset, but at least the pool's
/// budget; the spare pool gets the remaining instances. Draining and rebooting instances count
/// towards no target: each is assigned when it returns, to the pool with the highest priority. An
/// instance is therefore drained for a move only while a pool has more ready instances than its
/// target, and the number of moves equals the number of instances that the growing pools gain.
///
/// Overlapping events:
/// - Second preset switch during the first: draining and rebooting instances go to the pools that
///   the second preset needs. The fold rejects drains that were proposed for the first preset and
///   not yet accepted. The hold time restarts, so switching back within it causes no more moves.
/// - Preset switch during a wave: instances that the wave reboots return to the growing pools, and
///   moves prefer instances that await maintenance, so that one reboot does both.
/// - Correlated loss during a wave: returning instances go to pools below their budgets first. When
///   losses have used up a pool's budget, the wave pauses; it resumes when returned or replacement
///   instances restore the budget. Drains in progress are completed.
/// - Loss of an instance: the target of the spare pool drops by one, so a spare instance replaces
///   the lost one.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood {

/// State that a worker reports about itself.
enum class WorkerState : std::uint8_t {
  kServing = 0,
  kDraining,  ///< Refuses new work and finishes the work in progress.
  kRebooting,
  kIdle,  ///< Rebooted and not yet assigned; refuses work.
};

struct WorkerStatus {
  WorkerState state = WorkerState::kServing;
  std::uint64_t assignment = 0;  ///< Requests of another assignment are refused.
  std::uint64_t rebooted = 0;    ///< Assignment under which it last rebooted on order.
  int busy = 0;                  ///< Requests and tasks in progress.

  bool operator==(const WorkerStatus&) const = default;
};

/// Result of a status query for one worker; no status means that it could not be reached.
struct WorkerReport {
  std::optional<WorkerStatus> status;

  bool operator==(const WorkerReport&) const = default;
};

enum class ListedState : std::uint8_t { kLive = 0, kLeaving };

/// An entry of the platform's instance list, which may be out of date.
struct ListedInstance {
  InstanceName name;
  DataCentreName data_centre;
  RackName rack;
  Endpoint endpoint;
  int slots = 8;
  ListedState state = ListedState::kLive;

  bool operator==(const ListedInstance&) const = default;
};

/// Input of one planning pass.
struct PlannerInput {
  std::shared_ptr<const FleetView> view;
  std::vector<ListedInstance> listed;
  std::map<InstanceName, WorkerReport> workers;  ///< Workers that were queried.
  Milliseconds now{0};
  bool current = false;           ///< The platform is reachable and the view is up to date.
  bool leads_data_centre = true;  ///< Elected leader of the data centre; see planner_membership.h.
  bool leads_wave = true;         ///< Elected to pause, resume and finish waves.
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

/// Sends an order to a worker. The assignment number makes late and repeated orders harmless: a
/// worker executes `drain` and `reboot` only under this assignment, reboots once for each
/// assignment, and executes `assign` only if that raises its assignment.
struct CommandWorker {
  InstanceName instance;
  WorkerOrder order = WorkerOrder::kDrain;
  std::uint64_t assignment = 0;

  bool operator==(const CommandWorker&) const = default;
};

using PlannerAction = std::variant<ProposeChange, CommandWorker>;

struct PlannerOptions {
  DataCentreName data_centre;
  /// Time that a preset must have been active before its moves start. Alternating peaks last a
  /// few seconds, which is less than a drain and a reboot take, so moving for them is useless.
  Milliseconds hold{10000};
  /// Time that a worker must have been unreachable, or reachable again, before it counts as lost
  /// or returned.
  Milliseconds loss_confirm{5000};
  /// An instance whose reboot takes longer counts as lost.
  Milliseconds reboot_limit{600000};
  /// A lost instance that has been missing from the instance list for this long is removed.
  Milliseconds remove_after{600000};
  /// When no record has been appended to the fleet stream for this long, the planner makes the
  /// moves of other data centres with its own instances.
  Milliseconds stall{10000};
};

/// Planner of one data centre. Deterministic: the same sequence of inputs gives the same actions.
/// Not thread-safe.
class Planner {
 public:
  explicit Planner(PlannerOptions options) : m_options(std::move(options)) {}

  /// @returns the actions to execute now. An action that is still needed is returned again by the
  /// next call.
  std::vector<PlannerAction> Plan(const PlannerInput& input);

 private:
  void Observe(const PlannerInput& input);

  PlannerOptions m_options;
  std::uint64_t m_preset_version = 0;
  Milliseconds m_preset_since{0};
  bool m_started = false;
  std::uint64_t m_progress_version = 0;  ///< Next offset of the view at m_progress_since.
  Milliseconds m_progress_since{0};
  std::map<InstanceName, Milliseconds> m_unreachable_since;
  std::map<InstanceName, Milliseconds> m_reachable_since;
  std::map<InstanceName, Milliseconds> m_unlisted_since;
};

}  // namespace endivewood
