/// @file
/// Fleet streams of a given size for capacity measurements.
#include "fleet_model.h"

#include <algorithm>
#include <sstream>

namespace endivewood::capacity {
namespace {

constexpr int kTargetInstances = 890;
constexpr int kTargetPools = 78;
constexpr int kTargetTeams = 60;
constexpr int kInstancesPerRack = 4;
constexpr int kHostsPerNetwork = 250;

std::string Encode(std::uint64_t expected_version, FleetChange change) {
  return EncodeFleetRecord({.id = RecordId(RandomHex128()),
                            .author = Incarnation("capacity"),
                            .expected_version = expected_version,
                            .change = std::move(change)});
}

std::string PoolOf(const FleetSize& size, int instance) {
  return "pool-" + std::to_string(instance % size.pools);
}

void WriteInstance(const FleetSize& size, int instance, std::ostream* out) {
  const int data_centre = instance % size.data_centres;
  const int number = instance / size.data_centres;
  *out << "  - {name: instance-" << instance << ", data_centre: dc-" << data_centre
       << ", rack: rack-" << data_centre << "-" << number / kInstancesPerRack
       << ", pool: " << PoolOf(size, instance) << ", address: 127." << data_centre + 1 << "."
       << number / kHostsPerNetwork << "." << number % kHostsPerNetwork + 1 << ", port: 20000}\n";
}

}  // namespace

FleetSize ProportionalFleet(int instances) {
  return {.instances = instances,
          .pools = std::max(2, instances * kTargetPools / kTargetInstances),
          .services = std::max(1, instances * kTargetTeams / kTargetInstances)};
}

std::string MakeFleetConfig(const FleetSize& size) {
  std::ostringstream yaml;
  yaml << "pools:\n  - {name: spare, spare: true}\n";
  for (int pool = 0; pool < size.pools; ++pool) yaml << "  - {name: pool-" << pool << "}\n";
  yaml << "services:\n";
  for (int service = 0; service < size.services; ++service) {
    yaml << "  - {name: service-" << service << ", pool: pool-" << service % size.pools
         << ", min_available: 1}\n";
  }
  const int per_pool = size.instances / size.pools;
  yaml << "presets:\n  - {name: ordinary, targets: {";
  for (int pool = 0; pool < size.pools; ++pool) {
    yaml << (pool == 0 ? "" : ", ") << "pool-" << pool << ": " << per_pool;
  }
  yaml << "}}\ninstances:\n";
  for (int instance = 0; instance < size.instances; ++instance) {
    WriteInstance(size, instance, &yaml);
  }
  return yaml.str();
}

std::vector<std::string> MakeInitialRecords(const FleetSize& size) {
  return {Encode(0, ConfigPublished{.yaml = MakeFleetConfig(size)}),
          Encode(0, PresetSwitched{.preset = PresetName("ordinary")})};
}

std::vector<std::string> MakeMaintenanceCycle(const FleetView& view) {
  std::vector<std::string> payloads;
  for (const auto& [name, instance] : view.instances) {
    std::uint64_t version = instance.version;
    payloads.push_back(Encode(version++, DrainStarted{.instance = name}));
    payloads.push_back(Encode(version++, RebootStarted{.instance = name}));
    payloads.push_back(Encode(version, InstanceAssigned{.instance = name, .pool = instance.pool}));
  }
  return payloads;
}

}  // namespace endivewood::capacity
