/// @file
/// A holder's shares of the accounts' limits: what its partition may run for each account, and the
/// calls by which it gets and returns parts. Does no I/O: loads, answers and the current time are
/// passed in; calls are returned.
#pragma once

#include <array>
#include <map>

#include "account_share_call.h"
#include "jobs.h"

namespace endivewood {

/// What a partition uses and wants of one account's limit.
struct AccountLoad {
  ResourceTotal running;  ///< What runs, or may run by this holder's orders.
  ResourceTotal used;     ///< The same with what earlier holders may have started.
  ResourceTotal waiting;  ///< Tasks that only the share keeps from starting.
  ResourceTotal next;     ///< The first of these tasks, or its whole gang; 0 if none waits.
  ResourceTotal task;     ///< One task of `next`.

  bool operator==(const AccountLoad&) const = default;
};

struct AccountSharesOptions {
  int partition = 0;
  std::uint64_t epoch = 0;
};

class AccountShares {
 public:
  explicit AccountShares(const AccountSharesOptions& options) : m_options(options) {}

  /// Call with each new version of the configuration. An account that isn't listed any more has no
  /// limit: its jobs have to be completed.
  /// @param accounts no value in a deployment without accounts.
  /// @param used what runs or may run here, by account.
  void SetAccounts(const std::optional<std::vector<ClientAccount>>& accounts,
                   const std::map<AccountName, ResourceTotal>& used);

  /// @returns the limit of an account, or nullptr if it has none.
  const ResourceTotal* LimitOf(const AccountName& account) const;
  /// @returns whether any account has a limit.
  bool active() const { return !m_accounts.empty(); }

  /// @param used what runs or may run here for the account.
  /// @param needed by the tasks that are to be started together.
  bool MayStart(const AccountName& account, const ResourceTotal& used,
                const ResourceTotal& needed) const;

  /// Call after each placement. Accounts that aren't listed use and want nothing.
  void Update(const std::map<AccountName, AccountLoad>& loads, Milliseconds now);

  /// @returns the call that is due, or no value. At most one is in flight.
  std::optional<ShareCall> TakeCall(Milliseconds now);
  /// @returns whether a share rose.
  bool OnReply(const ShareReply& reply, Milliseconds now);
  /// Call when a call failed or had no answer. It may still be executed.
  void OnFailed(std::uint64_t sequence, Milliseconds now);
  /// @returns when TakeCall will next return a call.
  Milliseconds NextDue() const;

  /// @returns the share with which this holder began; no value before the first answer.
  std::optional<ResourceTotal> FirstShareOf(const AccountName& account) const;

  struct State {
    ResourceTotal limit;
    bool known = false;  ///< A call has been answered.
    ResourceTotal share;
    ResourceTotal first_share;  ///< In the first answer.
    ResourceTotal reported;     ///< What the ledger has, according to the last answer.
    bool lowered = false;       ///< Since the last call was sent.
    /// The limit is new or was lowered, or the shares exceed it: nothing may start.
    bool frozen = false;
    bool contended = false;  ///< Other partitions wait for parts.
    ResourceTotal fair;      ///< See GrantedShare.
    AccountLoad load;
    /// Highest need in the present and in the former half of kShareIdleMs.
    std::array<ResourceTotal, 2> peaks;
  };
  const std::map<AccountName, State>& accounts() const { return m_accounts; }

 private:
  static ResourceTotal NeedOf(const State& state);
  /// @returns the share that is worth keeping, at most the present one.
  static ResourceTotal KeepOf(const State& state);
  static ResourceTotal WantOf(const State& state);
  static bool IsBlocked(const State& state);
  /// @returns the time until the next call, counted from the last one.
  Milliseconds IntervalOf(const State& state) const;
  void ScheduleCall();

  AccountSharesOptions m_options;
  std::map<AccountName, State> m_accounts;
  std::uint64_t m_sequence = 0;
  bool m_in_flight = false;
  bool m_raised = true;  ///< The last answer raised a share, or there was none yet.
  int m_failures = 0;    ///< Calls without an answer since the last one that had one.
  Milliseconds m_sent_at{-1000};
  Milliseconds m_due = Milliseconds::max();
  Milliseconds m_peaks_since{0};
};

}  // namespace endivewood
