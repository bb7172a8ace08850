/// @file
/// Rates of client accounts: which jobs an account sends beyond the rate that it may count on.
#pragma once

#include <map>
#include <optional>

#include "client_account.h"

namespace endivewood {

/// A token bucket per account: ClientAccount::weight jobs a second, and at once as many as in
/// kRateBurstMs, at least one. Does no I/O.
class AccountRates {
 public:
  /// Counts a submitted job. Repeats within kSubmittedMemoryMs get the first answer and don't
  /// count.
  /// @param weight jobs a second that the account may count on.
  /// @returns whether the job is beyond the account's rate.
  bool IsSurplus(const AccountName& account, int weight, const JobId& job, Milliseconds now);

  /// An account that went above its rate or returned below it.
  struct Change {
    AccountName account;
    bool above = false;
    int surplus_jobs = 0;  ///< Since the last report.
  };
  /// @returns the change of an account to report, at most one per kSurplusReportMs.
  std::optional<Change> TakeChange(const AccountName& account, Milliseconds now);

 private:
  struct Bucket {
    double tokens = 0;
    Milliseconds refilled_at{0};
    bool above = false;
    bool reported_above = false;
    int surplus_jobs = 0;
    std::optional<Milliseconds> reported_at;
  };
  struct Submitted {
    bool surplus = false;
    Milliseconds at{0};
  };

  void Forget(Milliseconds now);

  std::map<AccountName, Bucket> m_buckets;
  std::map<JobId, Submitted> m_submitted;
  Milliseconds m_forget_at{0};
};

}  // namespace endivewood
