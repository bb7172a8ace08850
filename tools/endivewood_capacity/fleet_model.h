/// @file
/// Fleet streams of a given size for capacity measurements.
#pragma once

#include <endivewood/endivewood.h>

#include <string>
#include <vector>

namespace endivewood::capacity {

/// Size of a generated fleet.
struct FleetSize {
  int instances = 0;
  int pools = 0;
  int services = 0;
  int data_centres = 6;

  bool operator==(const FleetSize&) const = default;
};

/// @returns a fleet in proportion to the target size of 890 instances, 78 pools and 60 teams.
FleetSize ProportionalFleet(int instances);

/// @returns the YAML of a fleet configuration.
std::string MakeFleetConfig(const FleetSize& size);

/// @returns the payloads of a stream that publishes the configuration and activates a preset.
std::vector<std::string> MakeInitialRecords(const FleetSize& size);

/// @returns the payloads that take each instance through drain, reboot and assignment once.
std::vector<std::string> MakeMaintenanceCycle(const FleetView& view);

}  // namespace endivewood::capacity
