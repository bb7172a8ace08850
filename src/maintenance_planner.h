/// @file
/// Orders maintenance of instances, wave by wave, and moves instances between pools. Only one
/// instance of the system runs the planner at a time, so that no two orders for one instance
/// conflict.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "demand_forecast.h"
#include "fleet_catalog.h"
#include "instance_orders.h"
#include "machine_calls.h"
#include "node_calls.h"
#include "pool_sizing.h"

namespace endivewood {

struct MaintenancePlannerOptions {
  std::string holder;           ///< Name of the instance that runs the planner.
  Milliseconds unix_offset{0};  ///< Unix time minus the clock that `now` is taken from.
  std::uint64_t fencing_token = 0;
  bool move_instances = true;  ///< Whether instances are moved between pools.
  PoolSizingOptions sizing;
  DemandForecastOptions forecast;
};

/// Progress of a wave, reported to the operators.
struct WaveReport {
  std::uint64_t number = 0;
  bool complete = false;

  auto operator<=>(const WaveReport&) const = default;
};

/// A record that the planner stores in its partition, for itself and for later planners.
using PlannerRecord = KeyedRecord;

/// Does no I/O: replies and the time are passed in; calls, reports and records are returned.
class MaintenancePlanner {
 public:
  /// @param records what earlier planners have stored.
  MaintenancePlanner(MaintenancePlannerOptions options,
                     const std::map<std::string, std::string>& records);

  void SetCatalog(const FleetCatalog& catalog);
  void SetWaves(const std::vector<MaintenanceWave>& waves, Milliseconds now);

  void OnDemand(const ServiceName& service, const ServiceDemand& demand, Milliseconds now);
  void OnRelease(const UpstreamId& upstream, ReleaseState state, Milliseconds now);
  void OnMachines(const MachineCall& call, const MachineReply& reply, Milliseconds now);

  /// Decides on due releases, moves and orders.
  /// @param may_order whether this process is certain to be the only planner.
  /// @param orders recent orders of earlier planners, which can delay new ones.
  void Run(Milliseconds now, bool may_order, const InstanceOrders& orders);

  /// Queues a report again after it couldn't be stored.
  void RequeueReport(const WaveReport& report) { m_reports.push_back(report); }

  std::vector<NodeCall> TakeNodeCalls();
  std::vector<MachineCall> TakeMachineCalls();
  std::vector<WaveReport> TakeReports();
  std::vector<PlannerRecord> TakeRecords();

  Milliseconds NextDue() const { return m_next_due; }

 private:
  struct Wave {
    MaintenanceWave request;
    std::set<InstanceName> done;
    Milliseconds first_seen_at{0};
    bool reported_running = false;
    bool complete = false;
    /// Lists of instances that were requested before the wave was seen. They may lack instances
    /// that have joined since.
    std::uint64_t lists_before = 0;
  };
  /// An instance whose scheduler has been asked to release it: to end or move its work.
  struct PendingRelease {
    std::optional<std::uint64_t> wave;  ///< No value: the instance moves to another pool.
    ServiceName target;
    Milliseconds since{0};
    Milliseconds asked_at{-1000};
    std::optional<Milliseconds> released_at;
  };
  /// An instance of a wave that still needs maintenance.
  struct WaveCandidate {
    const MachineEntry* machine = nullptr;
    bool needs_release = false;
    Milliseconds release_time{0};  ///< Until it is idle if nothing more is placed there.
  };
  enum class ReleaseKind : std::uint8_t { kWave = 0, kMove };
  /// An order that the platform's list of instances doesn't show yet.
  struct PendingOrder {
    std::optional<std::uint64_t> wave;
    ServiceName target;
    Milliseconds at{0};
    bool answered = false;
  };

  Milliseconds FirstSeenAt(std::uint64_t wave, Milliseconds now);
  void RunWaves(Milliseconds now, const InstanceOrders& orders);
  void RunWave(Wave* wave, Milliseconds now, const InstanceOrders& orders);
  int CountInstancesDown(const Wave& wave) const;
  void RunMoves(Milliseconds now);
  /// Cancels moves out of pools that have come to lack instances.
  void CancelMoves(Milliseconds now);
  void RunReleases(Milliseconds now, bool may_order, const InstanceOrders& orders);
  void IssueOrder(const InstanceName& instance, const PendingRelease& release, Milliseconds now);
  bool NeedsRelease(const MachineEntry& machine) const;
  std::map<ServiceName, int> CountReleases(ReleaseKind kind) const;
  static bool IsSlowToRelease(const MachineEntry& machine,
                              const std::map<UpstreamId, Milliseconds>& release_times);
  /// @returns by pool how many instances with lasting tasks are being released for moves.
  std::map<ServiceName, int> CountSlowMoves(
      const std::map<UpstreamId, Milliseconds>& release_times) const;
  int ReleaseLimitOf(const ServiceName& service, int minimum) const;
  std::map<ServiceName, int> PoolSizes() const;
  void ForgetUnlistedUpstreams();
  void ReportPoolSizes(const std::map<ServiceName, int>& sizes);
  std::deque<const MachineEntry*> InstancesToMove(const ServiceName& from) const;
  std::map<UpstreamId, Milliseconds> ReleaseTimes() const;
  int ConcurrencyOf(const Wave& wave, int remaining, Milliseconds now) const;
  std::vector<WaveCandidate> CandidatesOf(const Wave& wave) const;
  /// @returns whether an instance of the wave that isn't in the list has left the fleet.
  bool ListShowsDepartures(const Wave& wave) const { return m_list_number > wave.lists_before; }
  bool MayRelease(const WaveCandidate& candidate, bool below_concurrency,
                  const std::map<ServiceName, int>& pool_sizes,
                  const std::map<ServiceName, int>& releases) const;
  void LoadConfiguredCapacity(const std::string& capacity_record);
  void RecordConfiguredCapacity();
  int InstanceMillicores() const;
  static std::string MaintainedKey(std::uint64_t wave, const InstanceName& instance);

  MaintenancePlannerOptions m_options;
  FleetCatalog m_catalog;
  std::map<std::uint64_t, Wave> m_waves;
  std::set<std::string> m_stored_keys;  ///< Keys of the records of earlier planners.
  std::map<std::string, std::string> m_first_seen_records;
  std::map<InstanceName, MachineEntry> m_machines;
  std::map<InstanceName, MachineEntry> m_partial_list;  ///< Pages of a list in progress.
  bool m_listed = false;
  bool m_list_in_flight = false;
  std::uint64_t m_lists_requested = 0;
  std::uint64_t m_list_number = 0;  ///< Which of the requested lists `m_machines` is; from 1.
  Milliseconds m_next_list{0};
  Milliseconds m_next_demand{0};
  std::map<InstanceName, PendingRelease> m_pending_releases;
  std::map<InstanceName, PendingOrder> m_pending_orders;
  PoolSizing m_sizing;
  DemandForecast m_forecast;
  bool m_capacity_known = false;
  std::map<ServiceName, std::vector<ReleaseTime>> m_release_order;  ///< Shortest first.
  std::map<ServiceName, Milliseconds> m_moves_resume_at;            ///< After a cancelled move.
  /// Upstreams that a scheduler has reported as lost and not as usable since.
  std::set<UpstreamId> m_lost;
  /// Last logged numbers of each pool, see Event::kPoolSize.
  std::map<ServiceName, std::vector<int>> m_reported_sizes;
  std::vector<NodeCall> m_node_calls;
  std::vector<MachineCall> m_machine_calls;
  std::vector<WaveReport> m_reports;
  std::vector<PlannerRecord> m_records;
  Milliseconds m_next_due{0};
};

}  // namespace endivewood
