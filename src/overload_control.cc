/// @file
/// State and rules of a scheduler for services with too little room.
#include "overload_control.h"

#include <algorithm>
#include <cmath>

#include "config.h"
#include "config_overload.h"
#include "events.h"

namespace endivewood {

void OverloadControl::SetAccounts(const std::optional<std::vector<ClientAccount>>& accounts) {
  m_weights.reset();
  if (accounts) {
    m_weights.emplace();
    for (const ClientAccount& account : *accounts) {
      m_weights->emplace(account.name, account.weight);
    }
  }
  ChoosePolicy();
}

void OverloadControl::ChoosePolicy() {
  const bool by_cost = m_choice == OverloadChoice::kCallerCost ||
                       (m_choice == OverloadChoice::kByConfiguration && m_weights.has_value());
  m_policy = by_cost ? OverloadPolicy(CallerCost{}) : OverloadPolicy(QueueBound{});
  if (!by_cost) m_above_share.clear();
}

int OverloadControl::WeightOf(const AccountName& account) const {
  const auto found = m_weights->find(account);
  // An account of another version of the configuration.
  return found == m_weights->end() ? 1 : found->second;
}

std::optional<Milliseconds> OverloadControl::FirstArrival(const ServiceName& service,
                                                          const JobId& job,
                                                          Milliseconds now) const {
  const auto found = m_returns.find(service);
  if (!by_cost() || found == m_returns.end()) return std::nullopt;
  return found->second.FirstArrival(job, now);
}

void OverloadControl::Classify(Job* job, bool repeated, Milliseconds now) {
  if (!by_cost()) return;
  const JobSpec& spec = job->spec();
  if (m_weights && spec.account.valid()) {
    job->surplus = m_rates.IsSurplus(spec.account, WeightOf(spec.account), spec.id, now);
    if (const auto change = m_rates.TakeChange(spec.account, now)) {
      LogEvent(Event::kAccountSurplus, {{"account", change->account},
                                        {"above", change->above},
                                        {"surplus_jobs", change->surplus_jobs},
                                        {"weight", WeightOf(spec.account)}});
    }
  }
  if (job->lasting() || spec.occurrences > 0) return;
  SizeClasses& sizes = m_sizes[spec.queue];
  job->preferred = !job->surplus && sizes.IsUnderserved(job->work());
  if (!repeated) sizes.RecordArrival(job->work(), now);
}

void OverloadControl::NoteAccepted(const Job& job, const Admission& admission, Milliseconds now) {
  if (!by_cost() || admission.late || job.lasting() || job.spec().occurrences > 0) return;
  m_sizes[job.spec().queue].RecordAccepted(job.work(), now);
}

Milliseconds OverloadControl::Refuse(const Job& job, const ServiceLoad& load,
                                     const Admission& admission, Milliseconds now) {
  if (!by_cost()) return admission.room_in;
  const auto capacity =
      static_cast<double>(std::max<std::int64_t>(load.capacity - load.lasting, 1));
  const double taken = std::min(1000.0 * static_cast<double>(job.work()) / capacity,
                                static_cast<double>(config::kMaxOverloadRetryMs));
  return m_returns[job.spec().service].Refuse(job.spec().id, admission.room_in,
                                              Milliseconds(static_cast<std::int64_t>(taken)), now);
}

void OverloadControl::NotePlaced(const Job& job, std::int64_t work, Milliseconds now) {
  if (!by_cost() || !m_weights || !job.spec().account.valid()) return;
  m_usage.Add(job.spec().account, static_cast<double>(work), now);
}

void OverloadControl::RankAccounts(const std::set<AccountName>& waiting, Milliseconds now) {
  m_above_share.clear();
  if (!by_cost() || !m_weights) return;
  std::map<AccountName, int> weights;
  for (const AccountName& account : waiting) weights.emplace(account, WeightOf(account));
  // An account whose work doesn't wait because it is small counts with its share, too.
  for (const auto& [account, weight] : *m_weights) {
    if (m_usage.ReceivedBy(account, now) > 0) weights.emplace(account, weight);
  }
  double mean_work = 0;
  for (const auto& [queue, sizes] : m_sizes) mean_work = std::max(mean_work, sizes.mean_work());
  m_above_share = m_usage.AboveFairShare(weights, mean_work, now);
}

double OverloadControl::CostOf(const Job& job) const {
  const auto sizes = m_sizes.find(job.spec().queue);
  const double size = sizes == m_sizes.end() ? 1 : sizes->second.RelativeSize(job.work());
  double cost = std::min(config::kFixedCost + config::kSizeCost * size, config::kMaxRelativeCost);
  cost *= std::pow(config::kPriorityCostRatio, job.policy().priority);
  if (job.surplus) cost *= config::kSurplusCost;
  if (IsAboveShare(job.spec().account)) cost *= config::kAboveShareCost;
  if (job.preferred) cost *= config::kPreferredCost;
  return cost;
}

OpenWork OverloadControl::DescribeNew(const Job& job, Milliseconds now, ServiceLoad* load) const {
  const JobSpec& spec = job.spec();
  const auto stretched = static_cast<std::int64_t>(
      job.policy().stretch * static_cast<double>(job.critical_path().count()));
  OpenWork work{.path = job.critical_path(),
                .deadline = job.arrived() + Milliseconds(stretched) + job.policy().objective,
                .cost = CostOf(job)};
  for (int position = 0; position < static_cast<int>(spec.steps.size()); ++position) {
    const StepSpec& step = spec.steps[position];
    const std::int64_t step_work = static_cast<std::int64_t>(step.count) * step.cpu_millicores *
                                   job.DurationOf(position).count() / 1000;
    (step.depends.empty() ? work.ready : work.pending) += step_work;
  }
  const Milliseconds latest_start = work.deadline - work.path;
  work.rank = RankOf(job, latest_start, latest_start >= now, job.work(), StandingOf(job));
  work.limit = LimitOf(spec.account, load);
  return work;
}

int OverloadControl::LimitOf(const AccountName& account, ServiceLoad* load) const {
  if (!m_account_room || !account.valid()) return -1;
  const auto known =
      std::find_if(load->limits.begin(), load->limits.end(),
                   [&](const LimitedWork& limit) { return limit.account == account; });
  if (known != load->limits.end()) return static_cast<int>(known - load->limits.begin());
  const auto room = m_account_room(account);
  if (!room) return -1;
  load->limits.push_back({.account = account, .capacity = *room, .running = 0});
  return static_cast<int>(load->limits.size()) - 1;
}

}  // namespace endivewood
