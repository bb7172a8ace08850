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

/// Settings that entry and planner share.
struct ProcessSettings {
  std::string name;
  DataCentreName data_centre;
  Endpoint callers;  ///< Caller listener.
  Endpoint control;  ///< Listener for dumps, metrics and operators.
  Endpoint peer;     ///< Peer listener.
  Endpoint platform;
  std::vector<PeerSettings> peers;

  bool operator==(const ProcessSettings&) const = default;
};

/// Parses and checks a settings file.
/// @returns the settings, or no value when there is any fault.
std::optional<ProcessSettings> ParseProcessSettings(const std::string& text,
                                                    const std::string& file,
                                                    std::vector<ConfigFault>* faults);

}  // namespace endivewood
