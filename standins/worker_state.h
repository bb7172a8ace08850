/// @file
/// Control interface of the upstream stand-in: drain, reboot, assignment and status.
#pragma once

#include <signal.h>
#include <unistd.h>

#include "worker_control.h"

namespace endivewood {

/// Admits requests and executes the orders that planner.h documents.
class WorkerStateMachine {
 public:
  WorkerStateMachine(std::uint64_t assignment, Milliseconds reboot_time)
      : m_reboot_time(reboot_time) {
    m_status.assignment = assignment;
  }

  /// Counts a request as in progress unless it is refused.
  /// @returns the reply to a refused request; no value when it is admitted.
  std::optional<HttpReply> Admit(const HttpRequest& request) {
    std::lock_guard lock(m_mutex);
    EndRebootWhenDue();
    const std::string assignment = request.Header("Assignment");
    if (!assignment.empty() && assignment != std::to_string(m_status.assignment)) {
      return HttpReply{.status = 409, .headers = {{"Not-Run", "assignment"}}};
    }
    if (m_status.state != WorkerState::kServing) {
      return HttpReply{.status = 503, .headers = {{"Not-Run", "draining"}}};
    }
    ++m_status.busy;
    return std::nullopt;
  }

  /// Ends an admitted request.
  void Finish() {
    std::lock_guard lock(m_mutex);
    --m_status.busy;
  }

  /// Handles /status and /control/{drain|reboot|assign|stop}.
  HttpReply Handle(const HttpRequest& request) {
    std::lock_guard lock(m_mutex);
    EndRebootWhenDue();
    if (request.path == "/status") return {.status = 200, .body = EncodeWorkerStatus(m_status)};
    const std::uint64_t assignment = std::stoull(request.Parameter("assignment", "0"));
    const bool executed = Execute(request.path.substr(sizeof("/control/") - 1), assignment);
    return {.status = executed ? 200 : 409};
  }

  void SetRebootTime(Milliseconds time) {
    std::lock_guard lock(m_mutex);
    m_reboot_time = time;
  }

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;

  bool Execute(const std::string& order, std::uint64_t assignment) {
    if (order == "assign") {
      const bool newer = assignment > m_status.assignment;
      if (!newer || m_status.state == WorkerState::kRebooting) return false;
      m_status.assignment = assignment;
      m_status.state = WorkerState::kServing;
      return true;
    }
    if (order == "drain") {
      const bool superseded = m_status.assignment > assignment;
      if (superseded || m_status.state != WorkerState::kServing) return false;
      m_status.state = WorkerState::kDraining;
      return true;
    }
    const bool idle = m_status.busy == 0 && m_status.state != WorkerState::kServing &&
                      m_status.state != WorkerState::kRebooting;
    if (!idle || m_status.rebooted == assignment) return false;
    if (order == "stop") return kill(getpid(), SIGTERM) == 0;
    if (order != "reboot" || m_status.assignment > assignment) return false;
    m_status.state = WorkerState::kRebooting;
    m_status.rebooted = assignment;
    m_reboot_end = std::chrono::steady_clock::now() + m_reboot_time;
    return true;
  }

  void EndRebootWhenDue() {
    const bool due = std::chrono::steady_clock::now() >= m_reboot_end;
    if (m_status.state == WorkerState::kRebooting && due) m_status.state = WorkerState::kIdle;
  }

  std::mutex m_mutex;
  WorkerStatus m_status;
  Milliseconds m_reboot_time;
  SteadyTime m_reboot_end;
};

}  // namespace endivewood
