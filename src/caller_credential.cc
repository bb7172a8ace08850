/// @file
/// Check of a forwarded call's credential.
#include "caller_credential.h"

namespace endivewood {

CredentialVerdict VerifyCredential(const FleetCatalog* catalog, const QueueName& queue,
                                   const CallerCredential& credential) {
  const bool newer = catalog != nullptr && catalog->version > credential.config_version;
  if (!newer || !catalog->accounts) return CredentialVerdict::kAccepted;
  const Queue* const found = catalog->QueueOfName(queue);
  const bool needs_key = found != nullptr && !found->is_public;
  if (!needs_key) return CredentialVerdict::kAccepted;
  if (!credential.account.valid()) return CredentialVerdict::kSenderOutdated;
  const ClientAccount* const account = catalog->AccountOfKey(credential.key);
  if (account == nullptr) return CredentialVerdict::kWithdrawn;
  const bool same = account->name == credential.account;
  return same ? CredentialVerdict::kAccepted : CredentialVerdict::kSenderOutdated;
}

bool MayAccess(const JobOrigin& job, const QueueName& queue, const AccountName& caller) {
  if (!job.account.valid()) return true;
  // The job's queue may have become public since.
  return caller.valid() ? job.account == caller : job.queue == queue;
}

}  // namespace endivewood
