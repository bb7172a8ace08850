/// @file
/// The JSON state dump of a process and the responses of its control listener.
#pragma once

#include <endivewood/endivewood.h>

#include <string>
#include <vector>

#include "endivewood_p.h"
#include "metrics.h"
#include "settings.h"

namespace endivewood {

/// A named number that a subsystem adds to the dump, such as the depth of one queue.
struct DumpValue {
  std::string name;
  std::int64_t value = 0;

  bool operator==(const DumpValue&) const = default;
};

/// The contents of a state dump.
struct ProcessDump {
  std::string process;
  DataCentreName data_centre;
  Incarnation incarnation;
  bool connected = false;  ///< Whether the platform can be reached.
  std::shared_ptr<const FleetView> view;
  Stats stats;
  std::vector<DumpValue> subsystems;
};

/// @returns the dump as one line of JSON.
std::string EncodeDump(const ProcessDump& dump);

/// The fields of a dump that operators' tools read.
struct DumpSummary {
  std::string process;
  std::string data_centre;
  bool connected = false;
  std::uint64_t next_offset = 0;
  std::uint64_t config_version = 0;
  std::uint64_t preset_version = 0;
  std::uint64_t wave_version = 0;
  std::string preset;

  bool operator==(const DumpSummary&) const = default;
};

/// @returns the summary, or no value when the text is not a dump.
std::optional<DumpSummary> DecodeDumpSummary(const std::string& json);

/// The data from which the control listener of a process answers requests.
struct ControlSources {
  const ProcessSettings& settings;
  const Incarnation& incarnation;
  const FleetFollower& follower;
  std::shared_ptr<const FleetView> view;  ///< The one that the process uses for caller requests.
  const Metrics& metrics;
  std::vector<DumpValue> subsystems = {};
};

/// Handles GET /health, /dump and /metrics on the control listener.
HttpReply AnswerControl(const HttpRequest& request, const ControlSources& sources);

}  // namespace endivewood
