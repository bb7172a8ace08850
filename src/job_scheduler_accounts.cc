/// @file
/// JobScheduler: keeps what runs for an account within the partition's share of its limit.
#include <algorithm>

#include "config_accounts.h"
#include "events.h"
#include "job_scheduler.h"

namespace endivewood {
namespace {

ResourceTotal Times(const ResourceTotal& amount, int count) {
  return {.cpu_millicores = amount.cpu_millicores * count,
          .memory_mb = amount.memory_mb * count,
          .gpus = amount.gpus * count};
}

}  // namespace

std::map<AccountName, ResourceTotal> JobScheduler::AccountUse() const {
  std::map<AccountName, ResourceTotal> use = m_usage->totals();
  for (const auto& [id, session] : m_sessions) {
    for (const UpstreamSession::UnansweredStart& start : session.unanswered_starts) {
      if (start.settled || !start.account.valid()) continue;
      const auto hosted = session.hosted.find(start.task);
      const bool counted = hosted != session.hosted.end() && hosted->second.run == start.run;
      if (!counted) use[start.account] += start.charged;
    }
  }
  return use;
}

std::map<AccountName, JobScheduler::InheritedNeeds> JobScheduler::FindInheritedNeeds() const {
  std::map<AccountName, InheritedNeeds> needs;
  if (!m_inherited_pending) return needs;
  for (const auto& [id, job] : m_jobs) {
    if (m_shares.LimitOf(job->spec().account) == nullptr) continue;
    InheritedNeeds& sum = needs[job->spec().account];
    for (const auto& [number, occurrence] : job->occurrences()) {
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        const std::vector<TaskState>& tasks = occurrence.steps[step].tasks;
        const auto unresolved = std::count_if(
            tasks.begin(), tasks.end(),
            [](const TaskState& task) { return task.inherited && !task.done && !task.placed; });
        const StepSpec& spec = job->spec().steps[step];
        const ResourceTotal needed = Times(ChargeOf(spec), static_cast<int>(unresolved));
        sum.all += needed;
        if (spec.best_effort) sum.best_effort_cpu += needed.cpu_millicores;
      }
    }
  }
  return needs;
}

ResourceTotal JobScheduler::UnresolvedOf(const AccountName& account,
                                         const InheritedNeeds& inherited) const {
  ResourceTotal bound = inherited.all;
  // Earlier holders kept within the share that the ledger has for the partition.
  if (const auto first = m_shares.FirstShareOf(account)) {
    bound = MinOf(bound, MaxOf(*first, bound - LimitedPart(bound, *m_shares.LimitOf(account))));
  }
  ResourceTotal room{.cpu_millicores = inherited.best_effort_cpu};
  for (const auto& [id, session] : m_sessions) {
    if (session.fenced && !session.more_ended) continue;
    if (session.entry.capacity == Capacity{}) return bound;  // It isn't described yet.
    room += TotalOf(session.entry.capacity);
  }
  return MinOf(bound, room);
}

void JobScheduler::AddUnresolved(std::map<AccountName, ResourceTotal>* use) const {
  for (const auto& [account, inherited] : FindInheritedNeeds()) {
    (*use)[account] += UnresolvedOf(account, inherited);
  }
}

void JobScheduler::BeginAccountPass() {
  m_account_passes.clear();
  if (!m_shares.active()) return;
  std::map<AccountName, ResourceTotal> use = AccountUse();
  for (const auto& [account, state] : m_shares.accounts()) {
    m_account_passes[account].load.running = use[account];
  }
  AddUnresolved(&use);
  for (auto& [account, pass] : m_account_passes) pass.load.used = use[account];
}

JobScheduler::AccountPass* JobScheduler::FindAccountPass(const Job& job) {
  if (m_account_passes.empty()) return nullptr;
  const auto found = m_account_passes.find(job.spec().account);
  return found == m_account_passes.end() ? nullptr : &found->second;
}

void JobScheduler::AddWaitingDemand(const Job& job, std::int64_t millicores) {
  const ServiceName& service = job.spec().service;
  AccountPass* const pass = FindAccountPass(job);
  if (pass != nullptr) {
    const std::int64_t limit = m_shares.LimitOf(job.spec().account)->cpu_millicores;
    std::int64_t& demand = pass->cpu_demand[service];
    const std::int64_t used = std::min(pass->load.used.cpu_millicores, limit);
    if (limit > 0) millicores = std::min(millicores, limit - used - demand);
    demand += millicores;
  }
  m_cpu_waiting[service] += millicores;
}

bool JobScheduler::IsBlockedByShare(const Job& job) {
  const AccountPass* const pass = FindAccountPass(job);
  return pass != nullptr && pass->blocked;
}

void JobScheduler::NoteWaitingForShare(const WaitingStep& waiting) {
  AccountPass* const pass = FindAccountPass(*waiting.job);
  const StepState& state = waiting.state();
  const int tasks = waiting.spec().count - state.done - state.placed;
  pass->waiting[waiting.job->spec().service] += Times(ChargeOf(waiting.spec()), tasks);
}

bool JobScheduler::HasShareFor(const WaitingStep& waiting, int tasks, Milliseconds now) {
  AccountPass* const pass = FindAccountPass(*waiting.job);
  if (pass == nullptr) return true;
  const AccountName& account = waiting.job->spec().account;
  const ResourceTotal task = ChargeOf(waiting.spec());
  const ResourceTotal needed = Times(task, tasks);
  if (m_shares.MayStart(account, pass->load.used, needed)) return true;
  pass->blocked = true;
  pass->load.next = needed;
  pass->load.task = task;
  NoteWaitingForShare(waiting);
  Milliseconds& reported =
      m_limit_reports.try_emplace(account, now - Milliseconds(config::kLimitReportMs))
          .first->second;
  if (now - reported < Milliseconds(config::kLimitReportMs)) return false;
  reported = now;
  const AccountShares::State& state = m_shares.accounts().at(account);
  LogEvent(Event::kTaskWaitsForLimit, {RequestField(waiting.job->spec().id.str()),
                                       {"account", account},
                                       {"partition", m_options.partition},
                                       {"needs_millicores", needed.cpu_millicores},
                                       {"share_millicores", state.share.cpu_millicores},
                                       {"used_millicores", pass->load.used.cpu_millicores},
                                       {"needs_mb", needed.memory_mb},
                                       {"share_mb", state.share.memory_mb},
                                       {"used_mb", pass->load.used.memory_mb},
                                       {"limit_millicores", state.limit.cpu_millicores},
                                       {"share_known", state.known},
                                       {"contended", state.contended}});
  return false;
}

/// What waits beyond the room that is left wouldn't start with a larger share either.
void JobScheduler::BoundWaiting(const std::map<ServiceName, CandidatePool>& pools) {
  for (auto& [account, pass] : m_account_passes) {
    if (!pass.blocked) continue;
    for (const auto& [service, waiting] : pass.waiting) {
      ResourceTotal room;
      if (const auto pool = pools.find(service); pool != pools.end()) {
        for (const UpstreamCandidate& candidate : pool->second.candidates) {
          room += MaxOf(TotalOf(candidate.free), ResourceTotal{});
        }
      }
      pass.load.waiting += MinOf(waiting, room);
    }
    pass.load.waiting = MaxOf(pass.load.waiting, pass.load.next);
  }
}

void JobScheduler::EndAccountPass(Milliseconds now) {
  if (!m_shares.active()) return;
  std::map<AccountName, AccountLoad> loads;
  for (const auto& [account, pass] : m_account_passes) loads[account] = pass.load;
  m_shares.Update(loads, now);
}

void JobScheduler::OnShareReply(const ShareReply& reply, Milliseconds now) {
  if (m_shares.OnReply(reply, now)) m_next_due = Milliseconds{0};
}

void JobScheduler::OnShareCallFailed(std::uint64_t sequence, Milliseconds now) {
  m_shares.OnFailed(sequence, now);
}

}  // namespace endivewood
