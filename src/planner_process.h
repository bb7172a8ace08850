/// @file
/// A planner process: follows the fleet stream, asks workers, and carries out the planner's
/// decisions while it leads its data centre.
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

  /// Finishes the round in progress and tells the other planners.
  void Stop();

 private:
  void Run();
  void Round();
  void Heartbeat();
  void ReadHeartbeats();
  void ReadInstanceList();
  /// @returns false when the platform can't be reached.
  bool AskWorkers(const FleetView& view);
  bool NeedsAnswer(const InstanceView& instance);
  void CarryOut(const std::vector<PlannerAction>& actions);
  void AwaitOffset(std::uint64_t offset) const;
  bool IsCurrent() const;
  HttpReply HandleControl(const HttpRequest& request) const;

  /// When a worker was last asked and what it answered.
  struct Asked {
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
  std::map<InstanceName, Asked> m_asked;
  std::map<InstanceName, WorkerReport> m_answers;  ///< Of this round.
  std::atomic<bool> m_leads{false};
  std::atomic<bool> m_current{false};
  std::atomic<std::uint64_t> m_accepted{0};
  std::atomic<std::uint64_t> m_rejected{0};
  std::atomic<std::uint64_t> m_orders{0};
  std::mutex m_mutex;
  std::set<RecordId> m_own;  ///< Records whose verdict has not been read.
  std::atomic<bool> m_stopping{false};
  FleetFollower m_follower;
  Metrics m_metrics;
  HttpServer m_control_server;
  std::thread m_thread;
};

}  // namespace endivewood
