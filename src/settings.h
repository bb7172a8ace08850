/// @file
/// Settings of a daemon. They are checked before the daemon starts any component.
#pragma once

#include <endivewood/endivewood.h>

#include <optional>
#include <string>
#include <vector>

#include "config.h"
#include "events.h"

namespace endivewood {

/// Settings of another entry process.
struct PeerSettings {
  std::string name;
  DataCentreName data_centre;
  Endpoint endpoint;  ///< Its peer listener.

  bool operator==(const PeerSettings&) const = default;
};

/// Limits of a process. The defaults are sized for an entry with 500 requests in progress.
struct ProcessLimits {
  unsigned connections = 600;       ///< Threads of the caller listener.
  std::size_t queue_length = 1000;  ///< Maximum waiting requests per service.
  std::size_t body_bytes = 1 << 20;
  Milliseconds platform_timeout{2000};
  Milliseconds stop_timeout{
      config::kStopLimitMs};  ///< For the requests in progress when the process stops.

  bool operator==(const ProcessLimits&) const = default;
};

/// Settings of the planner on the same instance. PlannerOptions describes the times.
struct PlannerSettings {
  Endpoint control;  ///< Listener for dumps; invalid when the instance runs no planner.
  int hold_ms = 10000;
  int loss_confirm_ms = 5000;
  int reboot_limit_ms = 600000;

  bool operator==(const PlannerSettings&) const = default;
};

/// Settings of the entry and the planner of an instance.
struct ProcessSettings {
  std::string name;
  DataCentreName data_centre;
  Endpoint callers;  ///< Caller listener.
  Endpoint control;  ///< Listener for dumps, metrics and operators.
  Endpoint peer;     ///< Peer listener.
  Endpoint platform;
  std::vector<PeerSettings> peers;
  EventLevel log_level = EventLevel::kInfo;
  std::string log_file;  ///< Empty: standard error.
  ProcessLimits limits;
  PlannerSettings planner;

  bool operator==(const ProcessSettings&) const = default;
};

/// Parses and checks a settings file.
/// @returns the settings, or no value when there is any error.
std::optional<ProcessSettings> ParseProcessSettings(const std::string& text,
                                                    const std::string& file,
                                                    std::vector<ConfigError>* errors);

/// Reads, parses and checks a settings file; an unreadable file is an error as well.
std::optional<ProcessSettings> LoadProcessSettings(const std::string& file,
                                                   std::vector<ConfigError>* errors);

/// @returns the endpoint, or no value when the text is not an IPv4 address and port "ADDRESS:PORT".
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace endivewood
