/// @file
/// Who a call is made for, as checked by the instance that took it, and the check that the holder
/// of the queue's partition adds.
#pragma once

#include "fleet_catalog.h"

namespace endivewood {

struct CallerCredential {
  /// Account of the caller; invalid for a public queue and in a deployment without accounts.
  AccountName account;
  KeyDigest key;                     ///< Valid if the account is.
  std::uint64_t config_version = 0;  ///< Of the configuration by which the key was accepted.

  bool operator==(const CallerCredential&) const = default;
};

enum class CredentialVerdict : std::uint8_t {
  kAccepted = 0,
  kWithdrawn,  ///< A newer configuration doesn't give this key to the account.
  kMissing,    ///< A newer configuration asks for a key, and the sender asked for none.
};

/// Checks a credential by the holder's configuration if that is newer. An older one decides
/// nothing: the key may have been added since.
/// @param catalog the holder's configuration, or nullptr.
CredentialVerdict VerifyCredential(const FleetCatalog* catalog, const QueueName& queue,
                                   const CallerCredential& credential);

/// @returns whether a caller may see and cancel a job.
/// @param owner account of the job; invalid if its queue was public or its record is of an earlier
/// build.
inline bool MayAccess(const AccountName& owner, const AccountName& caller) {
  return !owner.valid() || !caller.valid() || owner == caller;
}

}  // namespace endivewood
