/// @file
/// Plays a load peak around a scheduler without network: accounts of very different size send jobs
/// for some seconds, refused callers come back, and what each caller got is counted.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "account_rate.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {

struct PlayOptions {
  OverloadChoice policy = OverloadChoice::kCallerCost;
  double load = 1;  ///< Work sent during the peak, relative to the room.
  unsigned seed = 1;
  int accounts = 20;       ///< 0: no accounts.
  double rate_factor = 1;  ///< Sum of the accounts' rates, relative to the room.
  int hot_account = -1;    ///< Sends `hot_factor` times its usual.
  double hot_factor = 1;
  double estimate_error = 1;  ///< Estimates are off by a factor up to this, either way.
  Milliseconds peak{4000};
  int priorities = 1;  ///< Jobs are spread evenly over this many priorities.
};

/// One job as its caller sees it.
struct PlayedJob {
  JobSpec spec;
  std::vector<Milliseconds> durations;  ///< True run time of the tasks of each step.
  QueuePolicy policy;
  int account = 0;
  Milliseconds sent{0};  ///< First send.
  Milliseconds objective{0};
  double work = 0;   ///< True core-milliseconds.
  double worth = 0;  ///< By its size; see the platform's page on credit.
  bool owed = true;  ///< Within the rate of its account.
  int refusals = 0;
  bool accepted = false;
  std::optional<Milliseconds> ended;

  bool on_time() const { return ended && *ended - sent <= objective; }
  bool useful() const { return ended && *ended - sent <= 3 * objective; }
};

class OverloadPlay {
 public:
  static constexpr int kUpstreams = 4;
  static constexpr int kCores = 64;
  static constexpr double kMeanTasks = 8;
  static constexpr double kMeanSteps = 1.6;
  static constexpr double kMeanTaskMs = 850;
  static constexpr int kMaxRefusals = 4;        ///< After these a caller gives up.
  static constexpr Milliseconds kGiveUp{3000};  ///< Time for handing a job in.
  static constexpr double kLateWorth = 0.07;

  explicit OverloadPlay(const PlayOptions& options)
      : m_options(options),
        m_simulation({.upstreams = kUpstreams,
                      .capacity = {.cpu_millicores = 1000 * kCores, .memory_mb = 1000000},
                      .run_for_estimate = true,
                      .run_when_due = true,
                      .overload = options.policy}) {
    MakeAccounts();
    MakeJobs();
  }

  /// Plays the peak and the time until its last jobs have ended.
  void Run() {
    if (m_options.accounts > 0) m_simulation.holder->SetAccounts(m_accounts);
    m_simulation.Run(kStart - m_simulation.now);
    std::multimap<Milliseconds, PlayedJob*> sends;
    for (PlayedJob& job : jobs) sends.emplace(job.sent, &job);
    std::vector<PlayedJob*> open;
    const Milliseconds end = kStart + m_options.peak + Milliseconds(9000);
    while (m_simulation.now < end) {
      while (!sends.empty() && sends.begin()->first <= m_simulation.now) {
        PlayedJob* const job = sends.begin()->second;
        sends.erase(sends.begin());
        Send(job, &sends, &open);
      }
      m_simulation.Run(Milliseconds(10));
      std::erase_if(open, [&](PlayedJob* job) {
        if (m_simulation.StateOf(job->spec.id.str()) != JobState::kComplete) return false;
        job->ended = m_simulation.now;
        return true;
      });
    }
  }

  /// @returns the number of jobs that are on time, of those that a predicate selects.
  template <typename Predicate>
  int OnTime(Predicate selects) const {
    return static_cast<int>(std::count_if(jobs.begin(), jobs.end(), [&](const PlayedJob& job) {
      return selects(job) && job.on_time();
    }));
  }

  template <typename Predicate>
  double ShareOnTime(Predicate selects) const {
    const auto all = std::count_if(jobs.begin(), jobs.end(), selects);
    return all == 0 ? 1 : static_cast<double>(OnTime(selects)) / static_cast<double>(all);
  }

  /// @returns the worth that callers got, relative to what the selected jobs are worth.
  /// @param surplus_worth worth of a job beyond its account's rate, relative to others.
  template <typename Predicate>
  double Worth(Predicate selects, double surplus_worth) const {
    double got = 0;
    double owed = 0;
    for (const PlayedJob& job : jobs) {
      if (!selects(job)) continue;
      const double worth = job.owed ? job.worth : surplus_worth * job.worth;
      owed += worth;
      got += job.on_time() ? worth : job.useful() ? kLateWorth * worth : 0;
    }
    return owed == 0 ? 1 : got / owed;
  }

  /// @returns the share of owed jobs on time of the worst tenth of the accounts.
  double WorstAccounts() const {
    std::vector<double> shares;
    for (int account = 0; account < m_options.accounts; ++account) {
      const auto selects = [&](const PlayedJob& job) { return job.account == account && job.owed; };
      if (std::count_if(jobs.begin(), jobs.end(), selects) == 0) continue;
      shares.push_back(ShareOnTime(selects));
    }
    std::sort(shares.begin(), shares.end());
    const std::size_t tenth = std::max<std::size_t>(1, (shares.size() + 5) / 10);
    double sum = 0;
    for (std::size_t i = 0; i < tenth; ++i) sum += shares[i];
    return sum / static_cast<double>(tenth);
  }

  /// @returns the share of jobs served while their result was useful, as the platform's page on
  /// sizes counts them, among those whose work is between two quantiles.
  double ServedOfSizes(double from, double to) const {
    std::vector<double> sizes;
    for (const PlayedJob& job : jobs) sizes.push_back(job.work);
    std::sort(sizes.begin(), sizes.end());
    const auto last = static_cast<double>(sizes.size());
    const auto low = sizes[static_cast<std::size_t>(std::min(from * last, last - 1))];
    const auto high = to >= 1 ? 1e18 : sizes[static_cast<std::size_t>(to * last)];
    int all = 0;
    int served = 0;
    for (const PlayedJob& job : jobs) {
      if (job.work < low || job.work >= high) continue;
      ++all;
      if (job.useful()) ++served;
    }
    return all == 0 ? 1 : static_cast<double>(served) / all;
  }

  const SchedulerSimulation& simulation() const { return m_simulation; }

  std::vector<PlayedJob> jobs;

 private:
  static constexpr Milliseconds kStart{2000};

  void MakeAccounts() {
    double sum = 0;
    for (int account = 0; account < m_options.accounts; ++account) {
      m_shares.push_back(std::pow(account + 1, -1.2));
      sum += m_shares.back();
    }
    for (int account = 0; account < m_options.accounts; ++account) {
      m_shares[account] /= sum;
      const double rate = m_options.rate_factor * JobsPerSecond() * m_shares[account];
      m_accounts.push_back({.name = AccountName("a" + std::to_string(account)),
                            .keys = {},
                            .weight = std::max(1, static_cast<int>(std::lround(rate))),
                            .limit = {}});
    }
    if (m_options.accounts == 0) m_shares.push_back(1);
  }

  /// Jobs a second that the room can serve.
  static double JobsPerSecond() {
    return kUpstreams * kCores * 1000.0 / (kMeanTasks * kMeanSteps * kMeanTaskMs);
  }

  void MakeJobs() {
    AccountRates rates;
    for (int account = 0; account < static_cast<int>(m_shares.size()); ++account) {
      // Accounts draw from generators of their own: what one sends doesn't change the others' jobs.
      std::mt19937 random(1000 * m_options.seed + static_cast<unsigned>(account));
      const double factor = account == m_options.hot_account ? m_options.hot_factor : 1;
      const double rate = JobsPerSecond() * m_shares[account] * m_options.load * factor;
      std::exponential_distribution<double> gap(rate / 1000);
      for (double at = gap(random); at < static_cast<double>(m_options.peak.count());
           at += gap(random)) {
        jobs.push_back(MakeJob(account, kStart + Milliseconds(static_cast<int>(at)), &random));
      }
    }
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const PlayedJob& a, const PlayedJob& b) { return a.sent < b.sent; });
    double mean = 0;
    for (const PlayedJob& job : jobs) mean += job.work / static_cast<double>(jobs.size());
    for (PlayedJob& job : jobs) {
      job.worth = std::min(4.0, 0.3 + 0.7 * job.work / mean);
      if (m_options.accounts == 0) continue;
      const ClientAccount& account = m_accounts[job.account];
      job.owed = !rates.IsSurplus(account.name, account.weight, job.spec.id, job.sent);
    }
  }

  PlayedJob MakeJob(int account, Milliseconds sent, std::mt19937* random) {
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> uniform(0, 1);
    PlayedJob job{.account = account, .sent = sent};
    const int steps = uniform(*random) < 0.6 ? 2 : 1;
    const double task = kMeanTaskMs * std::exp(0.5 * normal(*random) - 0.125);
    const double error = std::pow(m_options.estimate_error, 2 * uniform(*random) - 1);
    Milliseconds path{0};
    std::vector<StepSpec> step_specs;
    for (int index = 0; index < steps; ++index) {
      const double width = kMeanTasks * std::exp(0.6 * normal(*random) - 0.18);
      StepSpec step = Step(std::clamp(static_cast<int>(std::lround(width)), 1, 60), 1000);
      if (index > 0) step.depends = {index - 1};
      step.estimate = Milliseconds(static_cast<int>(std::max(20.0, task * error)));
      job.durations.emplace_back(static_cast<int>(std::max(20.0, task)));
      job.work += step.count * static_cast<double>(job.durations.back().count());
      path += job.durations.back();
      step_specs.push_back(step);
    }
    job.spec = m_simulation.Spec(
        "a" + std::to_string(account) + "-" + std::to_string(m_sent_by[account]++), step_specs);
    job.policy = test_policy;
    if (m_options.accounts > 0) job.spec.account = m_accounts[account].name;
    job.policy.priority = static_cast<int>(uniform(*random) * m_options.priorities);
    job.objective =
        Milliseconds(static_cast<int>(test_policy.stretch * static_cast<double>(path.count()))) +
        test_policy.objective;
    return job;
  }

  void Send(PlayedJob* job, std::multimap<Milliseconds, PlayedJob*>* sends,
            std::vector<PlayedJob*>* open) {
    const SubmitResult result = m_simulation.Submit(job->spec, job->policy);
    if (result.kind == SubmitResult::Kind::kStored) {
      job->accepted = true;
      open->push_back(job);
      StepSpec* const steps = m_simulation.specs[job->spec.id].steps.data();
      for (std::size_t i = 0; i < job->durations.size(); ++i) {
        steps[i].estimate = job->durations[i];
      }
      return;
    }
    // The wire carries whole seconds.
    const Milliseconds at =
        m_simulation.now + Milliseconds(1000 * ((result.retry_after.count() + 999) / 1000));
    if (++job->refusals > kMaxRefusals || at > job->sent + kGiveUp) return;
    sends->emplace(at, job);
  }

  PlayOptions m_options;
  SchedulerSimulation m_simulation;
  std::vector<double> m_shares;
  std::vector<ClientAccount> m_accounts;
  std::map<int, int> m_sent_by;
};

}  // namespace endivewood::testing
