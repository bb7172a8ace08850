/// @file
/// Names of the machine service's status values.
#include "machine_calls.h"

namespace endivewood {

std::optional<InstanceName> InstanceOf(const MachineCall& call) {
  return std::visit(
      [](const auto& each) -> std::optional<InstanceName> {
        if constexpr (requires { each.instance; }) {
          return each.instance;
        } else {
          return std::nullopt;
        }
      },
      call);
}

const char* MachineStatusName(MachineStatus status) {
  switch (status) {
    case MachineStatus::kOk:
      return "ok";
    case MachineStatus::kNoAnswer:
      return "no-answer";
    case MachineStatus::kRefused:
      return "refused";
    case MachineStatus::kFenced:
      return "fenced";
    case MachineStatus::kBusy:
      return "busy";
    case MachineStatus::kWrongWave:
      return "wrong-wave";
    case MachineStatus::kInvalid:
      return "invalid";
  }
  return "invalid";
}

}  // namespace endivewood
