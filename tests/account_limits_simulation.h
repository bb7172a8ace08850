/// @file
/// Simulates the schedulers of several partitions with their upstreams, and the ledgers that hand
/// out shares of one account's limit, over a network that delays, loses and repeats messages.
#pragma once

#include <deque>

#include "account_ledger.h"
#include "config_accounts.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {

inline const AccountName limited_account("limited");

class AccountLimitsSimulation {
 public:
  struct Options {
    int partitions = 3;
    unsigned seed = 1;
    std::int64_t limit = 20000;                              ///< Millicores.
    int upstreams = 4;                                       ///< Of each partition.
    std::optional<Milliseconds> max_transit = std::nullopt;  ///< As in SchedulerSimulation.
  };

  explicit AccountLimitsSimulation(const Options& options)
      : m_options(options), m_random(options.seed) {
    for (int i = 0; i < options.partitions; ++i) {
      auto each = std::make_unique<SchedulerSimulation>(
          SchedulerSimulation::Options{.upstreams = options.upstreams,
                                       .seed = options.seed * 100 + static_cast<unsigned>(i),
                                       .service = ServiceName("svc" + std::to_string(i + 1)),
                                       .partition = i + 1,
                                       .run_for_estimate = true,
                                       .max_transit = options.max_transit});
      sims.push_back(std::move(each));
    }
    m_now = sims.front()->now;
    m_ledger_limit = options.limit;
    StartLedger();
    m_limits.push_back({.limit = options.limit, .from = Milliseconds{0}});
    for (int i = 0; i < options.partitions; ++i) SetLimitOf(i, options.limit);
  }

  /// A new holder of partition 0 reads the stored ledger; the former one goes on until it finds
  /// out.
  void StartLedger() {
    if (!m_ledgers.empty()) m_former_ledger = m_ledgers.size() - 1;
    m_ledgers.push_back(std::make_unique<Host>());
    m_ledgers.back()->epoch = ++m_store_epoch;
    m_ledgers.back()->ledger = std::make_unique<AccountLedger>(store);
    m_ledgers.back()->ledger->SetAccounts(AccountsWith(m_ledger_limit));
  }

  void PauseLedger(Milliseconds duration) { m_ledgers.back()->paused_until = m_now + duration; }

  void StartNewHolder(int index) {
    sims[index]->StartNewHolder();
    sims[index]->holder->SetAccounts(AccountsWith(m_holder_limits[index]));
  }

  /// Publishes a limit, which holders and ledger get after some time each.
  void SetLimit(std::int64_t limit, Milliseconds max_lag) {
    for (int i = 0; i < m_options.partitions; ++i) {
      m_changes.push_back({.at = m_now + RandomTime(max_lag), .index = i, .limit = limit});
    }
    m_changes.push_back({.at = m_now + RandomTime(max_lag), .index = -1, .limit = limit});
    m_limits.back().until = m_now + max_lag + Milliseconds(config::kShareRefreshMs);
    m_limits.push_back({.limit = limit, .from = m_now});
  }

  void Submit(int index, const std::string& id, const StepSpec& step) {
    JobSpec spec = sims[index]->Spec(id, {step});
    spec.account = limited_account;
    sims[index]->Submit(spec, test_policy);
  }

  void Run(Milliseconds duration) {
    const Milliseconds end = m_now + duration;
    while (m_now < end) Step();
  }

  /// @returns what runs on upstreams for the account, millicores.
  std::int64_t Running(int index) const {
    std::int64_t sum = 0;
    for (const auto& upstream : sims[index]->upstreams) {
      if (!upstream->alive) continue;
      for (const auto& [task, run] : upstream->running) {
        sum += sims[index]->specs.at(task.job).steps[task.step].cpu_millicores;
      }
    }
    return sum;
  }
  std::int64_t RunningInAll() const {
    std::int64_t sum = 0;
    for (int i = 0; i < m_options.partitions; ++i) sum += Running(i);
    return sum;
  }

  /// @returns the first violation of the limit or of a scheduler's invariants, or an empty string.
  std::string FirstViolation() const {
    if (!violations.empty()) return violations.front();
    for (const auto& sim : sims) {
      if (!sim->violations.empty()) return sim->violations.front().what;
    }
    return "";
  }

  Milliseconds now() const { return m_now; }

  std::vector<std::unique_ptr<SchedulerSimulation>> sims;
  std::map<std::string, std::string> store;  ///< Of partition 0.
  bool store_up = true;
  double lost_share = 0;       ///< Of messages between holders and ledger.
  double repeated_share = 0;   ///< Of calls.
  double misrouted_share = 0;  ///< Of calls that go to the former ledger.
  Milliseconds max_delay{4};
  Milliseconds append_time{20};
  std::set<int> cut_off;  ///< Partitions whose holders reach no ledger.
  std::vector<std::string> violations;
  int calls = 0;
  int appends = 0;
  std::int64_t highest = 0;  ///< Most that ran at once, millicores.

 private:
  struct Route {
    int index = 0;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
  };
  struct Message {
    Milliseconds at{0};
    std::size_t ledger = 0;
    Route route;
    ShareCall call;
    std::optional<ShareReply> reply;  ///< No value: a call.
    bool timeout = false;
  };
  struct Append {
    std::vector<KeyedRecord> records;
    std::vector<std::pair<Route, ShareReply>> answers;
  };
  struct Host {
    std::uint64_t epoch = 0;
    std::unique_ptr<AccountLedger> ledger;
    Milliseconds paused_until{0};
    Append waiting;
    std::optional<Append> in_flight;
    Milliseconds append_ends{0};
    bool ended = false;
  };
  struct Limit {
    std::int64_t limit = 0;
    Milliseconds from{0};
    Milliseconds until = Milliseconds::max();
  };
  struct Change {
    Milliseconds at{0};
    int index = 0;  ///< -1: the ledger.
    std::int64_t limit = 0;
  };

  static std::vector<ClientAccount> AccountsWith(std::int64_t limit) {
    ClientAccount account{.name = limited_account, .keys = {}};
    account.limit.cpu_millicores = limit;
    return {account};
  }

  void SetLimitOf(int index, std::int64_t limit) {
    m_holder_limits[index] = limit;
    sims[index]->holder->SetAccounts(AccountsWith(limit));
  }

  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
  Milliseconds RandomTime(Milliseconds max) {
    return Milliseconds(static_cast<int>(RandomFraction() * static_cast<double>(max.count())));
  }

  void Send(Message message) {
    if (RandomFraction() < lost_share || cut_off.count(message.route.index) > 0) return;
    message.at = m_now + RandomTime(max_delay);
    const bool repeat = !message.reply && RandomFraction() < repeated_share;
    m_messages.push_back(message);
    if (!repeat) return;
    message.at += RandomTime(Milliseconds(2000));
    m_messages.push_back(std::move(message));
  }

  void TakeCalls(int index, JobScheduler* scheduler) {
    const auto call = scheduler->TakeShareCall(m_now);
    if (!call) return;
    ++calls;
    const Route route{.index = index, .epoch = call->epoch, .sequence = call->sequence};
    const bool misrouted = RandomFraction() < misrouted_share && m_former_ledger;
    m_messages.push_back(
        {.at = m_now + Milliseconds(config::kShareCallTimeoutMs), .route = route, .timeout = true});
    Send({.ledger = misrouted ? *m_former_ledger : m_ledgers.size() - 1,
          .route = route,
          .call = *call});
  }

  void Deliver() {
    std::vector<Message> due;
    std::erase_if(m_messages, [&](const Message& message) {
      const bool to_ledger = !message.reply && !message.timeout;
      const bool paused = to_ledger && m_ledgers[message.ledger]->paused_until > m_now;
      if (message.at > m_now || paused) return false;
      due.push_back(message);
      return true;
    });
    for (const Message& message : due) {
      if (message.reply || message.timeout) {
        DeliverToHolder(message);
      } else {
        DeliverToLedger(message);
      }
    }
  }

  void DeliverToHolder(const Message& message) {
    SchedulerSimulation& sim = *sims[message.route.index];
    const bool current = message.route.epoch == sim.epoch;
    const bool former = !current && message.route.epoch == sim.old_epoch;
    if (!current && !former) return;
    JobScheduler* const scheduler = current ? sim.holder.get() : sim.old_holder.get();
    if (scheduler == nullptr) return;
    if (message.timeout) {
      scheduler->OnShareCallFailed(message.route.sequence, m_now);
    } else {
      scheduler->OnShareReply(*message.reply, m_now);
    }
  }

  void DeliverToLedger(const Message& message) {
    Host& host = *m_ledgers[message.ledger];
    if (host.ended) return;
    const auto answer = host.ledger->Handle(message.call, m_now);
    if (!answer) return;
    for (KeyedRecord& record : host.ledger->TakeRecords()) {
      host.waiting.records.push_back(std::move(record));
    }
    if (answer->after_store) {
      host.waiting.answers.emplace_back(message.route, answer->reply);
    } else {
      Send({.route = message.route, .call = {}, .reply = answer->reply});
    }
  }

  void StoreRecords(Host* host) {
    if (host->paused_until > m_now || host->ended || !store_up) return;
    if (host->in_flight && m_now >= host->append_ends) {
      if (host->epoch < m_store_epoch) {
        host->ended = true;
        return;
      }
      ++appends;
      for (const KeyedRecord& record : host->in_flight->records) store[record.key] = record.value;
      for (const auto& [route, reply] : host->in_flight->answers) {
        Send({.route = route, .call = {}, .reply = reply});
      }
      host->in_flight.reset();
    }
    if (host->in_flight || host->waiting.records.empty()) return;
    host->in_flight = std::exchange(host->waiting, {});
    host->append_ends = m_now + append_time;
  }

  void ApplyChanges() {
    std::erase_if(m_changes, [&](const Change& change) {
      if (change.at > m_now) return false;
      if (change.index >= 0) {
        SetLimitOf(change.index, change.limit);
      } else {
        m_ledger_limit = change.limit;
        m_ledgers.back()->ledger->SetAccounts(AccountsWith(change.limit));
      }
      return true;
    });
  }

  std::set<std::pair<std::string, std::uint64_t>> RunsNow() const {
    std::set<std::pair<std::string, std::uint64_t>> runs;
    for (const auto& sim : sims) {
      for (const auto& upstream : sim->upstreams) {
        if (!upstream->alive) continue;
        for (const auto& [task, run] : upstream->running) runs.emplace(task.str(), run.run);
      }
    }
    return runs;
  }

  void Check() {
    const auto runs = RunsNow();
    const bool started = std::any_of(runs.begin(), runs.end(),
                                     [&](const auto& run) { return m_runs.count(run) == 0; });
    m_runs = runs;
    std::int64_t limit = 0;
    for (const Limit& each : m_limits) {
      if (each.from <= m_now && m_now < each.until) limit = std::max(limit, each.limit);
    }
    const std::int64_t running = RunningInAll();
    highest = std::max(highest, running);
    if (!started || running <= limit || runs.size() == 1) return;
    violations.push_back(std::to_string(running) + " run of " + std::to_string(limit) + " at " +
                         std::to_string(m_now.count()));
  }

  void Step() {
    ApplyChanges();
    m_now += Milliseconds(10);
    for (auto& sim : sims) sim->Run(Milliseconds(10));
    Check();
    for (int i = 0; i < m_options.partitions; ++i) {
      SchedulerSimulation& sim = *sims[i];
      if (sim.holder_paused_until <= m_now) TakeCalls(i, sim.holder.get());
      if (sim.old_holder && sim.old_paused_until <= m_now) TakeCalls(i, sim.old_holder.get());
    }
    Deliver();
    for (auto& host : m_ledgers) StoreRecords(host.get());
    Deliver();
  }

  Options m_options;
  std::mt19937 m_random;
  Milliseconds m_now{0};
  std::vector<std::unique_ptr<Host>> m_ledgers;
  std::optional<std::size_t> m_former_ledger;
  std::uint64_t m_store_epoch = 0;
  std::vector<Message> m_messages;
  std::vector<Limit> m_limits;
  std::vector<Change> m_changes;
  std::map<int, std::int64_t> m_holder_limits;
  std::int64_t m_ledger_limit = 0;
  std::set<std::pair<std::string, std::uint64_t>> m_runs;
};

}  // namespace endivewood::testing
