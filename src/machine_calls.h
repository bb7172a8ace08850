/// @file
/// Calls to the platform's machine service, which lists, moves and maintains instances.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs.h"

namespace endivewood {

/// Reads one page of the list of instances.
struct ListInstances {
  std::string page;  ///< Page token; empty for the first page.
};

/// Stops the upstream on an instance and lets a new one of another pool start there.
struct MoveInstance {
  InstanceName instance;
  ServiceName pool;
  std::string holder;
  std::uint64_t fencing_token = 0;
};

/// Stops the upstream on an instance and takes the instance down for maintenance.
struct MaintainInstance {
  InstanceName instance;
  std::uint64_t wave = 0;
  std::string holder;
  std::uint64_t fencing_token = 0;
};

using MachineCall = std::variant<ListInstances, MoveInstance, MaintainInstance>;

/// @returns the instance that a call orders to move or to be maintained; no value for a list.
std::optional<InstanceName> InstanceOf(const MachineCall& call);

enum class MachineState : std::uint8_t { kUp = 0, kMoving, kMaintenance, kDown };

/// An instance in the platform's list.
struct MachineEntry {
  InstanceName instance;
  ServiceName pool;
  MachineState state = MachineState::kUp;
  UpstreamId upstream;  ///< Invalid while no upstream runs there.
  Capacity capacity;

  bool operator==(const MachineEntry&) const = default;
};

enum class MachineStatus : std::uint8_t {
  kOk = 0,
  kNoAnswer,  ///< The call may have been executed.
  kRefused,   ///< Nothing was done: too many calls, or the service is unavailable.
  kFenced,
  kBusy,  ///< The instance is not up, or is leaving.
  kWrongWave,
  kInvalid,
};

const char* MachineStatusName(MachineStatus status);

struct MachineReply {
  MachineStatus status = MachineStatus::kNoAnswer;
  std::vector<MachineEntry> machines;
  std::string next_page;  ///< Token of the next page; empty after the last.
};

}  // namespace endivewood
