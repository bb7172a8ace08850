/// @file
/// Settings of a daemon, checked before anything starts.
#pragma once

#include <endivewood/endivewood.h>

#include <optional>
#include <string>
#include <vector>

namespace endivewood {

/// Another entry process.
struct PeerSettings {
  std::string name;
  DataCentreName data_centre;
  Endpoint endpoint;  ///< Its peer listener.

  bool operator==(const PeerSettings&) const = default;
};

/// Settings of the planner on the same instance; the times are those of PlannerOptions.
struct PlannerSettings {
  Endpoint control;  ///< Listener for dumps; invalid when the instance runs no planner.
  int hold_ms = 10000;
  int loss_confirm_ms = 5000;
  int reboot_limit_ms = 600000;

  bool operator==(const PlannerSettings&) const = default;
};

/// Settings that entry and planner share.
struct ProcessSettings {
  std::string name;
  DataCentreName data_centre;
  Endpoint callers;  ///< Caller listener.
  Endpoint control;  ///< Listener for dumps, metrics and operators.
  Endpoint peer;     ///< Peer listener.
  Endpoint platform;
  std::vector<PeerSettings> peers;
  PlannerSettings planner;

  bool operator==(const ProcessSettings&) const = default;
};

/// Parses and checks a settings file.
/// @returns the settings, or no value when there is any fault.
std::optional<ProcessSettings> ParseProcessSettings(const std::string& text,
                                                    const std::string& file,
                                                    std::vector<ConfigFault>* faults);

}  // namespace endivewood
