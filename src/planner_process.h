/// @file
/// A planner process: follows the fleet stream, queries workers, and executes the planner's
/// actions while it is the leader of its data centre.
#pragma once

#include "endivewood_p.h"
#include "metrics.h"
#include "planner.h"
#include "planner_membership.h"
#include "settings.h"
#include "worker_control.h"

namespace endivewood {

class PlannerProcess {
 public:
  explicit PlannerProcess(const ProcessSettings& settings);
  ~PlannerProcess() { Stop(); }
  PlannerProcess(const PlannerProcess&) = delete;
  PlannerProcess& operator=(const PlannerProcess&) = delete;

  /// Finishes the tick in progress and announces to the other planners that this one leaves.
  void Stop();

 private:
  void Run();
  void Tick();
  void SendHeartbeat();
  void ReadHeartbeats();
  void ReadInstanceList();
  /// @returns false when the platform can't be reached.
  bool QueryWorkers(const FleetView& view);
  bool NeedsQuery(const InstanceView& instance);
  void Execute(const std::vector<PlannerAction>& actions);
  void WaitForOffset(std::uint64_t offset) const;
  bool IsCurrent() const;
  HttpReply HandleControl(const HttpRequest& request) const;

  /// Time and result of the last status query of a worker.
  struct WorkerQuery {
    Milliseconds time{0};
    WorkerReport report;
  };

  ProcessSettings m_settings;
  PlannerHeartbeat m_self;
  Clock m_clock;
  LogClient m_log;
  WorkerControl m_workers;
  Planner m_planner;
  PlannerMembership m_membership;
  std::uint64_t m_next_heartbeat = 0;  ///< Offset in the stream `planners`.
  std::optional<Milliseconds> m_heartbeat_sent;
  std::optional<Milliseconds> m_heartbeat_seen;
  std::optional<Milliseconds> m_list_read;
  std::vector<ListedInstance> m_listed;
  std::map<InstanceName, WorkerQuery> m_queries;
  std::map<InstanceName, WorkerReport> m_reports;  ///< Of this tick.
  std::atomic<bool> m_leads{false};
  std::atomic<bool> m_current{false};
  std::atomic<std::uint64_t> m_accepted{0};
  std::atomic<std::uint64_t> m_rejected{0};
  std::atomic<std::uint64_t> m_orders{0};
  std::mutex m_mutex;
  std::set<RecordId> m_unresolved;  ///< Own records whose verdict has not been read.
  std::atomic<bool> m_stopping{false};
  FleetFollower m_follower;
  Metrics m_metrics;
  HttpServer m_control_server;
  std::thread m_thread;
};

}  // namespace endivewood
