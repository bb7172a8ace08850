/// @file
/// State and rules of a scheduler for services with too little room: rates and shares of accounts,
/// sizes of jobs, admission, and the returns of refused callers.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "account_rate.h"
#include "job_admission.h"
#include "received_work.h"
#include "return_schedule.h"
#include "size_classes.h"

namespace endivewood {

/// How the overload policy is chosen.
enum class OverloadChoice : std::uint8_t {
  kByConfiguration = 0,  ///< CallerCost where the configuration has accounts, else QueueBound.
  kQueueBound,
  kCallerCost
};

/// Does no I/O: jobs, loads and the time are passed in. Under QueueBound nothing is counted and no
/// job is marked.
class OverloadControl {
 public:
  explicit OverloadControl(OverloadChoice choice) : m_choice(choice) { ChoosePolicy(); }

  /// @param accounts no value in a deployment without accounts.
  void SetAccounts(const std::optional<std::vector<ClientAccount>>& accounts);
  void SetAccountRoom(AccountRoom room) { m_account_room = std::move(room); }

  const OverloadPolicy& policy() const { return m_policy; }
  bool by_cost() const { return std::holds_alternative<CallerCost>(m_policy); }

  /// @returns when a job first arrived, if it was refused a short time ago.
  std::optional<Milliseconds> FirstArrival(const ServiceName& service, const JobId& job,
                                           Milliseconds now) const;
  /// Counts a submitted job and sets its flags.
  /// @param repeated whether it was refused before.
  void Classify(Job* job, bool repeated, Milliseconds now);
  /// Counts an accepted job that is expected to be on time.
  void NoteAccepted(const Job& job, const Admission& admission, Milliseconds now);
  /// @returns after which time the caller should return.
  Milliseconds Refuse(const Job& job, const ServiceLoad& load, const Admission& admission,
                      Milliseconds now);
  /// Counts work of an account that was placed, core-milliseconds.
  void NotePlaced(const Job& job, std::int64_t work, Milliseconds now);

  /// Call with the accounts whose work waits, before they are ranked.
  void RankAccounts(const std::set<AccountName>& waiting, Milliseconds now);
  bool IsAboveShare(const AccountName& account) const { return m_above_share.count(account) > 0; }

  AccountStanding StandingOf(const Job& job) const {
    return {.surplus = job.surplus, .above_share = IsAboveShare(job.spec().account)};
  }

  /// @returns what refusing or delaying a job costs its caller.
  double CostOf(const Job& job) const;
  /// @returns the description of a job of which nothing has started.
  OpenWork DescribeNew(const Job& job, Milliseconds now, ServiceLoad* load) const;
  /// @returns the index of an account's limit in the load, which is added if necessary; -1 without
  /// a limit.
  int LimitOf(const AccountName& account, ServiceLoad* load) const;

 private:
  void ChoosePolicy();
  int WeightOf(const AccountName& account) const;

  OverloadChoice m_choice;
  OverloadPolicy m_policy;
  std::optional<std::map<AccountName, int>> m_weights;
  AccountRoom m_account_room;
  AccountRates m_rates;
  ReceivedWork m_usage;
  std::set<AccountName> m_above_share;
  std::map<QueueName, SizeClasses> m_sizes;
  std::map<ServiceName, ReturnSchedule> m_returns;
};

}  // namespace endivewood
