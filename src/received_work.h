/// @file
/// Work that client accounts have received lately, for shares when a service has too little room.
#pragma once

#include <map>
#include <set>

#include "client_account.h"

namespace endivewood {

/// Sums of placed work per account, which decay with kUsageDecayMs. Does no I/O.
class ReceivedWork {
 public:
  /// @param work core-milliseconds that were placed.
  void Add(const AccountName& account, double work, Milliseconds now);

  /// @returns the core-milliseconds received lately.
  double ReceivedBy(const AccountName& account, Milliseconds now) const;

  /// @param weights of the accounts whose work waits.
  /// @param mean_work core-milliseconds of a mean job.
  /// @returns the accounts that have received more of the placed work than their weight gives
  /// them, by more than kShareMargin and kShareMarginJobs.
  std::set<AccountName> AboveFairShare(const std::map<AccountName, int>& weights, double mean_work,
                                       Milliseconds now) const;

 private:
  struct Received {
    double work = 0;
    Milliseconds at{0};
  };

  std::map<AccountName, Received> m_received;
};

}  // namespace endivewood
