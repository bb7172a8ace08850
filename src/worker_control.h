/// @file
/// Client of the platform's instance list and worker control.
#pragma once

#include "endivewood_p.h"
#include "planner.h"

namespace endivewood {

/// Encoding of the replies to GET /instances and GET /workers/{instance}.
std::string EncodeInstanceList(const std::vector<ListedInstance>& instances);
std::optional<std::vector<ListedInstance>> DecodeInstanceList(const std::string& bytes);
std::string EncodeWorkerStatus(const WorkerStatus& status);
std::optional<WorkerStatus> DecodeWorkerStatus(const std::string& bytes);

/// Calls the platform. Thread-safe.
class WorkerControl {
 public:
  explicit WorkerControl(Endpoint platform) : m_platform(std::move(platform)) {}

  /// @param reason kPlatformUnreachable or kProtocolError.
  std::optional<std::vector<ListedInstance>> List(Reason* reason) const;

  /// @returns a report with a status, one without when the platform can't reach the worker, or no
  /// value when the platform itself can't be reached.
  std::optional<WorkerReport> QueryStatus(const InstanceName& instance, Reason* reason) const;

  /// Sends an order. Orders may be repeated, so a lost reply needs no special handling.
  /// @returns whether the worker confirmed that it executes the order.
  bool Order(const CommandWorker& command) const;

 private:
  Endpoint m_platform;
};

}  // namespace endivewood
