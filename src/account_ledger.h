/// @file
/// The ledger of the accounts' limits: how much of each limit each partition may use. Does no I/O:
/// calls, limits and the current time are passed in; answers and the records to store are returned.
#pragma once

#include <map>
#include <string>

#include "account_share_call.h"
#include "jobs.h"

namespace endivewood {

/// Kept by the holder of partition 0, in which the shares are stored.
class AccountLedger {
 public:
  /// @param records stored metadata of partition 0; those of other kinds are ignored.
  explicit AccountLedger(const std::map<std::string, std::string>& records);

  /// Call with each new version of the configuration.
  /// @param accounts no value in a deployment without accounts.
  void SetAccounts(const std::optional<std::vector<ClientAccount>>& accounts);

  struct Answer {
    ShareReply reply;
    /// Whether the records must be stored before the answer goes out: only that proves that no
    /// later holder of partition 0 has given the same part to another partition.
    bool after_store = false;
  };

  /// @returns no value if the partition has a newer holder, or its holder has sent a newer call.
  std::optional<Answer> Handle(const ShareCall& call, Milliseconds now);

  /// @returns the records that have changed since the last call.
  std::vector<KeyedRecord> TakeRecords();

  /// @returns the shares of a partition.
  std::map<AccountName, ResourceTotal> SharesOf(int partition) const;
  /// @returns the sum of an account's shares.
  ResourceTotal HandedOut(const AccountName& account) const;
  /// @returns the partitions that have, or had, shares.
  std::vector<int> partitions() const;

 private:
  /// What a partition wanted in its last call; not stored.
  struct Want {
    ResourceTotal amount;
    bool unmet = false;  ///< Its next task can't start with the share that it got.
    Milliseconds at{0};
  };
  struct Partition {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::map<AccountName, ResourceTotal> shares;
    std::map<AccountName, Want> wants;
    std::map<AccountName, Milliseconds> reported;  ///< When a change was last logged.
    bool changed = false;
  };

  void Restore(const std::string& key, const std::string& value);
  static void Report(Partition* partition, const GrantedShare& granted, const ResourceTotal& before,
                     Milliseconds now);
  GrantedShare Grant(Partition* partition, const ShareRequest& request, Milliseconds now);
  /// @returns the limit by the configurations of this instance and of the caller.
  ResourceTotal LimitFor(const ShareRequest& request) const;
  static ResourceTotal Raise(const ShareRequest& request, const ResourceTotal& limit,
                             const ResourceTotal& base, const ResourceTotal& others,
                             const ResourceTotal& target);
  /// @returns whether a task of another partition waits for a part.
  bool IsContended(const AccountName& account, const Partition& partition, Milliseconds now) const;
  ResourceTotal FairShare(const AccountName& account, const Partition& partition,
                          const ResourceTotal& limit, Milliseconds now) const;

  std::map<AccountName, ResourceTotal> m_limits;
  std::map<int, Partition> m_partitions;
};

}  // namespace endivewood
