/// @file
/// Grants of upstream slots: the interface between the request path and the queue of a service.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood {

/// What a request needs.
struct SlotRequest {
  ServiceName service;
  WorkClass work_class = WorkClass::kShort;
  /// The request is refused when it has not started after this time.
  Milliseconds queue_deadline{2000};
  /// Upstreams on which this request has already failed.
  std::vector<InstanceName> avoid;

  bool operator==(const SlotRequest&) const = default;
};

/// The right to run one request on one upstream. The default value is invalid.
struct SlotGrant {
  std::uint64_t id = 0;
  InstanceName upstream;
  Endpoint endpoint;
  std::uint64_t assignment = 0;  ///< The upstream refuses requests of another assignment.

  bool valid() const { return id != 0; }
  bool operator==(const SlotGrant&) const = default;
};

/// How a granted request ended.
enum class SlotOutcome : std::uint8_t {
  kSucceeded,
  kFailed,           ///< The upstream answered with an error or an incomplete response.
  kTimeout,          ///< No response within the run timeout; the slot may still be occupied.
  kNotReached,       ///< The connection was refused.
  kRefusedBusy,      ///< Not run: all slots of the upstream are occupied.
  kRefusedDraining,  ///< Not run: the upstream drains or has another assignment.
  kCheckpointed,     ///< Long work that gave its slot back and is to be resumed.
  kCancelled,
};

}  // namespace endivewood
