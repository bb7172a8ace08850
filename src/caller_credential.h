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
  kWithdrawn,       ///< A newer configuration has no account with this key.
  kSenderOutdated,  ///< A newer configuration asks for a key that the sender didn't ask for, or
                    ///< gives it to another account: the sender doesn't know the caller's account.
};

/// Checks a credential by the holder's configuration if that is newer. An older one decides
/// nothing: the key may have been added since.
/// @param catalog the holder's configuration, or nullptr.
CredentialVerdict VerifyCredential(const FleetCatalog* catalog, const QueueName& queue,
                                   const CallerCredential& credential);

/// Where a job comes from.
struct JobOrigin {
  QueueName queue;
  AccountName account;  ///< Invalid if the queue was public or the record is of an earlier build.

  bool operator==(const JobOrigin&) const = default;
};

/// @param queue of the call.
/// @param caller invalid for a public queue, whose callers see the jobs of that queue only.
/// @returns whether a caller may see and cancel a job.
bool MayAccess(const JobOrigin& job, const QueueName& queue, const AccountName& caller);

}  // namespace endivewood
