/// @file
/// Simulates a scheduler, its upstreams and its store, with switches for injected faults.
/// Invariants that must hold in spite of any fault are checked at every step.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config.h"
#include "events.h"
#include "job_scheduler.h"

namespace endivewood::testing {

inline const ServiceName test_service("svc");

/// Discards events: those of thousands of steps would hide the output of the test.
inline void SilenceEvents() {
  SetEventSink({.enabled = [](EventLevel) { return false; },
                .write = [](Event, const std::vector<EventField>&) {}});
}

/// Simulated upstream that follows the platform's protocol.
class FakeUpstream {
 public:
  struct Running {
    std::uint64_t run = 0;
    Milliseconds started{0};
    Milliseconds duration{0};
    Capacity needs;
    std::string checkpoint;
    bool lasting = false;
    std::optional<Milliseconds> stops_at;  ///< End of a run that has been ordered to stop.
    Milliseconds late{0};          ///< From the sending of the start order to its execution.
    bool of_former_order = false;  ///< The start order was sent to a former incarnation.
  };
  /// A run whose end was acknowledged before a lease lapsed, so that it counts for good.
  struct NotedEnd {
    TaskKey task;
    RunEnd end = RunEnd::kDone;
    Milliseconds at{0};        ///< When it ended.
    Milliseconds noted_at{0};  ///< When the simulation learned of the acknowledgement.
  };

  UpstreamEntry entry;
  bool reachable = true;                ///< From the current holder.
  bool reachable_by_old_holder = true;  ///< From the previous holder while it still runs.
  bool alive = true;
  /// Down, see GoDark. Orders that are sent to it reach its next incarnation.
  bool dark = false;
  bool fails_all = false;
  std::set<JobId> failing_jobs;   ///< Jobs whose tasks fail.
  bool refuses_starts = false;    ///< Answers starts as an unhealthy upstream.
  std::size_t listed_ends = 500;  ///< Maximum number of ended runs in one list.
  /// Whether a start is late once its own lease end has passed, or only once the upstream has no
  /// lease. The platform's page leaves it open.
  bool late_by_order = true;
  /// Whether an acknowledgement also applies to ends that follow it. The page leaves it open.
  bool keeps_acknowledgements = true;
  bool stalled = false;           ///< Tasks make no progress.
  Milliseconds max_lease{10000};  ///< Longer leases are shortened to this.
  Milliseconds stop_time{0};      ///< From a stop order to the end of the run.
  Milliseconds listed_from{0};    ///< Its registry entry appears at this time.
  /// An upstream that is no longer alive keeps its registry entry until this time.
  Milliseconds listed_until{0};
  /// Entry of its former incarnation, which the registry still shows.
  std::optional<UpstreamEntry> outdated_entry;
  double clock_rate = 1;
  int incarnation = 0;
  std::vector<NotedEnd> noted_ends;  ///< Since the simulation last took them.
  std::map<TaskKey, Running> running;
  std::vector<EndedRow> ended;
  std::uint64_t acknowledged_up_to = 0;
  std::size_t ended_runs = 0;   ///< In all incarnations.
  std::size_t stop_orders = 0;  ///< In all incarnations.

  bool IsListed(Milliseconds now) const { return alive ? now >= listed_from : now < listed_until; }

  std::int64_t ClockAt(Milliseconds now) const {
    const double elapsed = static_cast<double>((now - m_start_time).count());
    return m_start_clock + static_cast<std::int64_t>(elapsed * clock_rate);
  }

  /// Ends all its runs, with the connections left open, until it restarts.
  void GoDark() {
    running.clear();
    dark = true;
  }

  /// @param clock time of its clock when it starts again.
  void Restart(Milliseconds now, std::int64_t start_time, Milliseconds clock = Milliseconds{0}) {
    running.clear();
    ended.clear();
    m_last_ended_runs.clear();
    m_number = 0;
    acknowledged_up_to = 0;
    m_token = 0;
    m_end_times.clear();
    m_lapsed_up_to = 0;
    m_lease_until = clock.count();
    m_start_time = now;
    m_start_clock = clock.count();
    entry.start_time = start_time;
    ++incarnation;
    dark = false;
  }

  /// Ends tasks whose duration is over, and all tasks when the lease has lapsed.
  void Advance(Milliseconds now) {
    if (ClockAt(now) > m_lease_until) {
      std::vector<TaskKey> lapsed;
      for (const auto& [task, run] : running) lapsed.push_back(task);
      for (const TaskKey& task : lapsed) End(task, RunEnd::kLapsed, now);
      m_lapsed_up_to = m_number;
    }
    std::vector<TaskKey> finished;
    std::vector<TaskKey> stopped;
    for (const auto& [task, run] : running) {
      if (run.stops_at) {
        if (*run.stops_at <= now) stopped.push_back(task);
        continue;
      }
      if (!run.lasting && !stalled && now - run.started >= run.duration) {
        finished.push_back(task);
      }
    }
    for (const TaskKey& task : finished) {
      const bool fails = fails_all || failing_jobs.count(task.job) > 0;
      End(task, fails ? RunEnd::kFailed : RunEnd::kDone, now);
    }
    for (const TaskKey& task : stopped) End(task, RunEnd::kStopped, now);
  }

  OrderReply Start(const StartOrder& order, std::uint64_t token, const StepSpec& step,
                   Milliseconds duration, Milliseconds now) {
    if (token < m_token) return {.outcome = OrderOutcome::kFenced, .clock = ClockAt(now)};
    m_token = token;
    if (refuses_starts) return {.outcome = OrderOutcome::kUnhealthy};
    const std::int64_t lease =
        late_by_order ? order.lease_until : std::max(order.lease_until, m_lease_until);
    if (lease <= ClockAt(now)) {
      return {.outcome = OrderOutcome::kLeaseExpired, .clock = ClockAt(now)};
    }
    const auto last_ended = m_last_ended_runs.find(order.task);
    ExtendLease(order.lease_until, now);
    if (last_ended != m_last_ended_runs.end() && order.run <= last_ended->second) {
      return {.outcome = OrderOutcome::kStaleRun, .clock = ClockAt(now)};
    }
    running[order.task] = {.run = order.run,
                           .started = now,
                           .duration = duration,
                           .needs = {.cpu_millicores = step.best_effort ? 0 : step.cpu_millicores,
                                     .memory_mb = step.memory_mb,
                                     .gpus = step.gpus},
                           .checkpoint = order.checkpoint,
                           .lasting = step.lasting,
                           .stops_at = std::nullopt};
    return {.outcome = OrderOutcome::kDone, .clock = ClockAt(now)};
  }

  OrderReply Stop(const StopOrder& order, std::uint64_t token, Milliseconds now) {
    if (token < m_token) return {.outcome = OrderOutcome::kFenced, .clock = ClockAt(now)};
    m_token = token;
    ++stop_orders;
    auto& last_ended = m_last_ended_runs[order.task];
    last_ended = std::max(last_ended, order.run);
    const auto found = running.find(order.task);
    if (found != running.end() && found->second.run == order.run) {
      if (stop_time == Milliseconds{0}) {
        End(order.task, RunEnd::kStopped, now);
      } else if (!found->second.stops_at) {
        found->second.stops_at = now + stop_time;
      }
    }
    return {.outcome = OrderOutcome::kDone, .clock = ClockAt(now)};
  }

  RenewReply Renew(const RenewOrder& order, std::uint64_t token, Milliseconds now) {
    if (token < m_token) {
      return {
          .outcome = OrderOutcome::kFenced, .clock = ClockAt(now), .start_time = entry.start_time};
    }
    m_token = token;
    acknowledged_up_to = std::max(
        acknowledged_up_to, keeps_acknowledgements ? order.acknowledge_up_to
                                                   : std::min(order.acknowledge_up_to, m_number));
    if (order.lease_until) ExtendLease(*order.lease_until, now);
    std::erase_if(ended, [&](const EndedRow& row) {
      if (row.number > acknowledged_up_to) return false;
      // An end that follows an acknowledgement of its number isn't counted.
      if (row.number > m_lapsed_up_to && row.number <= order.acknowledge_up_to) {
        noted_ends.push_back({.task = row.task, .end = row.end, .at = m_end_times.at(row.number)});
      }
      return true;
    });
    return ListRuns(now);
  }

  /// The answer to a renewal that has taken effect.
  RenewReply ListRuns(Milliseconds now) const {
    RenewReply reply{
        .outcome = OrderOutcome::kDone, .clock = ClockAt(now), .start_time = entry.start_time};
    const std::size_t listed = std::min(ended.size(), listed_ends);
    reply.ended.assign(ended.begin(), ended.begin() + static_cast<std::ptrdiff_t>(listed));
    reply.more_ended = listed == listed_ends;
    for (const auto& [task, run] : running) {
      const auto percent = run.lasting ? 100
                           : stalled
                               ? 50
                               : static_cast<int>(100 * (now - run.started).count() /
                                                  std::max<std::int64_t>(1, run.duration.count()));
      reply.running.push_back({.task = task,
                               .run = run.run,
                               .checkpoint = run.checkpoint,
                               .percent = std::min(100, percent),
                               .usage = 0});
    }
    return reply;
  }

  Capacity Used() const {
    Capacity used;
    for (const auto& [task, run] : running) {
      used.cpu_millicores += run.needs.cpu_millicores;
      used.memory_mb += run.needs.memory_mb;
    }
    return used;
  }

 private:
  void ExtendLease(std::int64_t until, Milliseconds now) {
    m_lease_until = std::max(m_lease_until, std::min(until, ClockAt(now) + max_lease.count()));
  }

  void End(const TaskKey& task, RunEnd how, Milliseconds now) {
    const Running run = running.at(task);
    running.erase(task);
    ++ended_runs;
    auto& last_ended = m_last_ended_runs[task];
    last_ended = std::max(last_ended, run.run);
    m_end_times[m_number + 1] = now;
    ended.push_back({.number = ++m_number,
                     .task = task,
                     .run = run.run,
                     .end = how,
                     .checkpoint = run.checkpoint});
  }

  Milliseconds m_start_time{0};
  std::int64_t m_start_clock = 0;
  std::int64_t m_lease_until = 0;
  std::uint64_t m_token = 0;
  std::uint64_t m_number = 0;
  std::map<std::uint64_t, Milliseconds> m_end_times;
  std::uint64_t m_lapsed_up_to = 0;  ///< Ends with numbers up to this precede a lapsed lease.
  std::map<TaskKey, std::uint64_t> m_last_ended_runs;
};

/// A violated invariant.
struct Violation {
  std::string what;
  Milliseconds at{0};
};

class SchedulerSimulation {
 public:
  struct Options {
    int upstreams = 4;
    Capacity capacity{.cpu_millicores = 8000, .memory_mb = 16000, .gpus = 0};
    std::uint64_t epoch = 1;
    unsigned seed = 1;
    ServiceName service = test_service;
    int partition = 1;
    Milliseconds registry_interval{500};  ///< Time between two reads of the registry.
    bool run_for_estimate = false;        ///< Tasks take their estimate, not `task_duration`.
    bool run_when_due = false;  ///< The holder runs only when it is due, instead of at each step.
    /// Orders and answers take random times up to this, each on its own: they overtake each other
    /// and reach whichever incarnation is up then.
    std::optional<Milliseconds> max_transit = std::nullopt;
    OverloadChoice overload = OverloadChoice::kByConfiguration;
  };

  explicit SchedulerSimulation(const Options& options)
      : epoch(options.epoch), m_options(options), m_random(options.seed) {
    SilenceEvents();
    for (int i = 0; i < options.upstreams; ++i) AddUpstream();
    StartNewHolder();
  }

  FakeUpstream& AddUpstream() {
    return AddUpstream(UpstreamId("u" + std::to_string(upstreams.size())), RackName("r1"), 1);
  }

  FakeUpstream& AddUpstream(const UpstreamId& id, const RackName& rack, std::int64_t start_time) {
    auto upstream = std::make_unique<FakeUpstream>();
    upstream->entry = {.id = id,
                       .service = m_options.service,
                       .endpoint = {.address = "127.0.0.1", .port = 1},
                       .data_centre = DataCentreName("dc"),
                       .capacity = m_options.capacity,
                       .labels = {"a", rack.str()},
                       .rack = rack,
                       .draining = false,
                       .remaining = Milliseconds{0},
                       .start_time = start_time};
    m_by_id[id] = upstream.get();
    upstreams.push_back(std::move(upstream));
    return *upstreams.back();
  }

  /// Starts a new scheduler from the stored records. The previous one keeps running as `old_holder`
  /// until the test resets that pointer.
  void StartNewHolder(Milliseconds inherited = Milliseconds(10200)) {
    old_holder = std::move(holder);
    old_confirmed_at = now - Milliseconds(1500);
    if (m_options.max_transit) old_confirmed_at = std::min(old_confirmed_at, holder_confirmed_at);
    holder_confirmed_at = now;
    old_paused_until = holder_paused_until;
    holder_paused_until = Milliseconds{0};
    old_epoch = epoch;
    if (old_holder) epoch += config::kTermsPerGeneration;
    holder = std::make_unique<JobScheduler>(SchedulerOptions{
        .partition = m_options.partition, .epoch = epoch, .overload = m_options.overload});
    for (const auto& [key, value] : store) holder->Restore({.key = key, .value = value});
    holder->FinishRestore(now, unix_offset, now + inherited);
    for (const PendingRenew& pending : m_pending_renews) {
      if (old_holder) old_holder->OnRenewed(pending.order, {}, now);
    }
    m_pending_renews.clear();
    PublishRegistry();
  }

  JobSpec Spec(const std::string& id, std::vector<StepSpec> steps) const {
    return {.id = JobId(id),
            .queue = QueueName("q"),
            .service = m_options.service,
            .payload = "text",
            .steps = std::move(steps)};
  }

  SubmitResult Submit(const JobSpec& spec, const QueuePolicy& policy) {
    specs[spec.id] = spec;
    m_attempts[spec.id] = policy.attempts;
    return holder->Submit(spec, policy, now);
  }

  /// Stops the holder for a while, also after it has been replaced. What it decided and what
  /// arrived for it are handled afterwards.
  void PauseHolder(Milliseconds duration) {
    holder->Run(now, unix_offset, HolderRightsAt(now));
    holder_paused_until = now + duration;
  }

  /// Simulates `duration` in steps of 10 ms.
  void Run(Milliseconds duration) {
    const Milliseconds end = now + duration;
    while (now < end) Step();
  }

  template <typename Predicate>
  bool RunUntil(Predicate done, Milliseconds limit) {
    const Milliseconds end = now + limit;
    while (now < end) {
      if (done()) return true;
      Step();
    }
    return done();
  }

  std::size_t RunsOf(const TaskKey& task) const {
    std::size_t runs = 0;
    for (const auto& upstream : upstreams)
      runs += upstream->alive ? upstream->running.count(task) : 0;
    return runs;
  }

  std::optional<JobState> StateOf(const std::string& id) const {
    return holder->StateOf(JobId(id));
  }

  bool store_up = true;
  /// Whether the holder's records are stored. Its ownership is confirmed by `store_up`.
  bool partition_up = true;
  bool registry_up = true;
  bool may_extend = true;
  double lost_answer_share = 0;    ///< Share of orders that are executed but not answered.
  double delayed_order_share = 0;  ///< Share of orders that are executed seconds later.
  Milliseconds max_order_delay{12000};
  Milliseconds answer_time{10};  ///< From an order to its answer, unless that is lost.
  /// Minimum time from an order to a dark upstream until the next incarnation executes it.
  Milliseconds dark_order_delay{0};
  /// Orders to a dark upstream are lost when they are given up, as their connection is reset then.
  bool resets_connections = true;
  /// With Options::max_transit: an order that would do harm at another incarnation reaches only the
  /// one that it names, as the platform adapter sends it. Earlier builds don't check that.
  bool checks_incarnation = true;
  double late_share = 0;  ///< With Options::max_transit: share of orders that arrive seconds later.
  Milliseconds unix_offset{0};  ///< Unix time minus the clock, as the holders know it.
  Milliseconds holder_paused_until{0};
  Milliseconds old_paused_until{0};
  Milliseconds holder_confirmed_at{0};  ///< Last confirmation of the holder's ownership.
  Milliseconds task_duration{500};
  /// Duration of the run that an order starts, instead of `task_duration`.
  std::function<Milliseconds(const StartOrder&)> duration_of;
  Milliseconds now{1000};
  std::uint64_t epoch = 1;
  std::uint64_t old_epoch = 0;
  Milliseconds old_confirmed_at{0};
  std::vector<std::unique_ptr<FakeUpstream>> upstreams;
  std::unique_ptr<JobScheduler> holder;
  std::unique_ptr<JobScheduler> old_holder;
  std::map<std::string, std::string> store;
  std::map<JobId, JobSpec> specs;
  std::vector<Violation> violations;
  int starts = 0;
  int renewals = 0;

 private:
  /// A renew order that waits for the end of a run.
  struct PendingRenew {
    RenewOrder order;
    Milliseconds until{0};
    std::int64_t start_time = 0;  ///< Incarnation of the upstream when the order arrived.
  };
  struct DelayedOrder {
    UpstreamOrder order;
    std::uint64_t epoch = 0;  ///< Of its holder.
    Milliseconds at{0};
    bool after_dark = false;  ///< Waits until the upstream isn't dark any more.
    Milliseconds given_up_at = Milliseconds::max();
  };

  /// An order under way, with Options::max_transit.
  struct SentOrder {
    UpstreamOrder order;
    std::uint64_t id = 0;
    std::uint64_t epoch = 0;  ///< Of its holder.
    Milliseconds sent_at{0};
    Milliseconds arrives_at{0};
    int incarnation = 0;  ///< Of the upstream when the order was sent.
    bool executed = false;
    bool answered = false;  ///< Its holder has taken it for unanswered.
  };
  /// A renewal whose answer waits for the end of a run.
  struct WaitingRenew {
    SentOrder sent;
    Milliseconds until{0};
    int incarnation = 0;
  };
  /// An answer under way.
  struct SentAnswer {
    SentOrder sent;
    OrderReply order;
    RenewReply renew;
    Milliseconds arrives_at{0};
    bool is_timeout = false;  ///< Not an answer, but the end of waiting for one.
  };

  static constexpr Milliseconds kStep{10};
  static constexpr Milliseconds kLateOrderLimit{12000};
  static constexpr Milliseconds kConfirmationLifetime{1500};
  static constexpr Milliseconds kAnswerTimeout{600};

  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

  FakeUpstream* Find(const UpstreamId& id) {
    const auto found = m_by_id.find(id);
    return found == m_by_id.end() ? nullptr : found->second;
  }

  void PublishRegistry() {
    if (!registry_up) return;
    std::vector<UpstreamEntry> entries;
    for (const auto& upstream : upstreams) {
      if (!upstream->IsListed(now)) continue;
      entries.push_back(upstream->outdated_entry.value_or(upstream->entry));
    }
    holder->SetUpstreams(entries, now);
  }

  HolderRights HolderRightsAt(Milliseconds at) const {
    const bool confirmed = at < holder_confirmed_at + kConfirmationLifetime;
    return {
        .extend = may_extend && at < holder_confirmed_at + Milliseconds(config::kLeadershipGraceMs),
        .start = confirmed,
        .move = confirmed,
        .confirmed_at = holder_confirmed_at};
  }

  HolderRights OldHolderRightsAt(Milliseconds at) const {
    return {.extend = at < old_confirmed_at + Milliseconds(config::kLeadershipGraceMs),
            .start = false,
            .move = false,
            .confirmed_at = old_confirmed_at};
  }

  /// Like JobNode::MaySend.
  static bool MaySend(const UpstreamOrder& order, const HolderRights& rights) {
    if (std::holds_alternative<StartOrder>(order)) return rights.start;
    const auto* const renew = std::get_if<RenewOrder>(&order);
    return renew == nullptr || !renew->lease_until || rights.extend;
  }

  Milliseconds Transit() {
    return Milliseconds(
        static_cast<int>(RandomFraction() * static_cast<double>(m_options.max_transit->count())));
  }

  JobScheduler* HolderOf(std::uint64_t holder_epoch) {
    if (holder_epoch == epoch) return holder.get();
    return holder_epoch == old_epoch ? old_holder.get() : nullptr;
  }

  bool IsPaused(std::uint64_t holder_epoch) const {
    return now < (holder_epoch == epoch ? holder_paused_until : old_paused_until);
  }

  void HandleReply(JobScheduler* scheduler, const UpstreamOrder& order, const OrderReply& reply,
                   const RenewReply& renew_reply) {
    if (const auto* start = std::get_if<StartOrder>(&order)) {
      scheduler->OnStarted(*start, reply, now);
    } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
      scheduler->OnStopped(*stop, reply, now);
    } else if (const auto* renew = std::get_if<RenewOrder>(&order)) {
      scheduler->OnRenewed(*renew, renew_reply, now);
    }
  }

  void SendOrders(JobScheduler* scheduler, std::uint64_t holder_epoch, const HolderRights& rights) {
    for (const UpstreamOrder& order : scheduler->TakeOrders()) {
      if (!MaySend(order, rights)) {
        HandleReply(scheduler, order, {.outcome = OrderOutcome::kNotSent},
                    {.outcome = OrderOutcome::kNotSent});
        continue;
      }
      const bool late = late_share > 0 && RandomFraction() < late_share;
      const Milliseconds delay =
          late ? Milliseconds(600 + static_cast<int>(RandomFraction() * 11000)) : Transit();
      m_sent_orders.push_back({.order = order,
                               .id = ++m_last_order_id,
                               .epoch = holder_epoch,
                               .sent_at = now,
                               .arrives_at = now + delay,
                               .incarnation = Find(UpstreamOf(order))->incarnation});
    }
  }

  void DeliverSentOrders() {
    for (SentOrder& sent : m_sent_orders) {
      const Milliseconds timeout = TimeoutOf(sent.order);
      if (!sent.answered && now >= sent.sent_at + timeout) {
        sent.answered = true;
        m_sent_answers.push_back(
            {.sent = sent, .order = {}, .renew = {}, .arrives_at = now, .is_timeout = true});
      }
      if (sent.executed || now < sent.arrives_at) continue;
      FakeUpstream* const upstream = Find(UpstreamOf(sent.order));
      const bool reached =
          sent.epoch == epoch ? upstream->reachable : upstream->reachable_by_old_holder;
      const bool reset = resets_connections && sent.answered;
      const bool lost = reset || now >= sent.sent_at + kLateOrderLimit;
      if (lost) {
        sent.executed = true;
        continue;
      }
      if (!upstream->alive || !reached || upstream->dark) {
        sent.arrives_at = now + kStep + Transit();
        continue;
      }
      sent.executed = true;
      ExecuteSentOrder(sent, upstream);
    }
    std::erase_if(m_sent_orders, [&](const SentOrder& sent) {
      return sent.executed && (sent.answered || now >= sent.sent_at + TimeoutOf(sent.order));
    });
  }

  static bool NamesOtherIncarnation(const UpstreamOrder& order, const FakeUpstream& upstream) {
    const auto* const renew = std::get_if<RenewOrder>(&order);
    const bool harmless = renew == nullptr ? !std::holds_alternative<StartOrder>(order)
                                           : !renew->lease_until && renew->acknowledge_up_to == 0;
    const std::int64_t named =
        std::visit([](const auto& each) { return each.target.start_time; }, order);
    return !harmless && named != 0 && named != upstream.entry.start_time;
  }

  void ExecuteSentOrder(const SentOrder& sent, FakeUpstream* upstream) {
    if (checks_incarnation && NamesOtherIncarnation(sent.order, *upstream)) {
      SendAnswer(sent, {.outcome = OrderOutcome::kOtherIncarnation},
                 {.outcome = OrderOutcome::kOtherIncarnation});
      return;
    }
    if (const auto* renew = std::get_if<RenewOrder>(&sent.order)) {
      const RenewReply reply = upstream->Renew(*renew, TokenOf(sent.order), now);
      if (reply.outcome == OrderOutcome::kDone && renew->wait > Milliseconds{0}) {
        m_waiting_renews.push_back(
            {.sent = sent, .until = now + renew->wait, .incarnation = upstream->incarnation});
      } else {
        SendAnswer(sent, {}, reply);
      }
      return;
    }
    const bool of_former_order = sent.incarnation != upstream->incarnation;
    SendAnswer(sent, ExecuteOrder(sent.order, sent.epoch, now - sent.sent_at, of_former_order), {});
  }

  void AnswerWaitingRenews() {
    std::erase_if(m_waiting_renews, [&](const WaitingRenew& waiting) {
      FakeUpstream* const upstream = Find(UpstreamOf(waiting.sent.order));
      if (upstream->incarnation != waiting.incarnation || upstream->dark) return true;
      if (upstream->ended.empty() && now < waiting.until) return false;
      SendAnswer(waiting.sent, {}, upstream->ListRuns(now));
      return true;
    });
  }

  void SendAnswer(const SentOrder& sent, const OrderReply& reply, const RenewReply& renew_reply) {
    if (RandomFraction() < lost_answer_share) return;
    m_sent_answers.push_back(
        {.sent = sent, .order = reply, .renew = renew_reply, .arrives_at = now + Transit()});
  }

  void DeliverSentAnswers() {
    std::vector<SentAnswer> due;
    std::erase_if(m_sent_answers, [&](const SentAnswer& answer) {
      if (now < answer.arrives_at) return false;
      JobScheduler* const scheduler = HolderOf(answer.sent.epoch);
      if (scheduler == nullptr) return true;
      FakeUpstream* const upstream = Find(UpstreamOf(answer.sent.order));
      const bool reached =
          answer.sent.epoch == epoch ? upstream->reachable : upstream->reachable_by_old_holder;
      if (!answer.is_timeout && !reached) return true;
      if (IsPaused(answer.sent.epoch)) return false;
      due.push_back(answer);
      return true;
    });
    for (const SentAnswer& answer : due) {
      const SentOrder& sent = answer.sent;
      if (!answer.is_timeout) {
        // An answer after the timeout of its order is discarded.
        const auto order = std::find_if(
            m_sent_orders.begin(), m_sent_orders.end(),
            [&](const SentOrder& other) { return other.id == sent.id && !other.answered; });
        if (order == m_sent_orders.end()) continue;
        order->answered = true;
      }
      JobScheduler* const scheduler = HolderOf(sent.epoch);
      if (scheduler != nullptr) HandleReply(scheduler, sent.order, answer.order, answer.renew);
    }
  }

  void RunHolder() {
    if (store_up && !IsPaused(epoch)) holder_confirmed_at = now;
    if (!IsPaused(epoch)) {
      // What was decided before a pause is sent first.
      SendOrders(holder.get(), epoch, HolderRightsAt(now));
      holder->Run(now, unix_offset, HolderRightsAt(now));
      SendOrders(holder.get(), epoch, HolderRightsAt(now));
    }
    if (old_holder && !IsPaused(old_epoch)) {
      SendOrders(old_holder.get(), old_epoch, OldHolderRightsAt(now));
      old_holder->Run(now, unix_offset, OldHolderRightsAt(now));
      SendOrders(old_holder.get(), old_epoch, OldHolderRightsAt(now));
    }
  }

  void Step() {
    now += kStep;
    for (const auto& upstream : upstreams) {
      if (upstream->alive && !upstream->dark) upstream->Advance(now);
      for (const EndedRow& row : upstream->ended) {
        if (row.end == RunEnd::kDone) m_done.insert(row.task);
      }
    }
    if (now.count() % m_options.registry_interval.count() == 0 && !IsPaused(epoch)) {
      PublishRegistry();
    }
    if (m_options.max_transit) {
      DeliverSentOrders();
      AnswerWaitingRenews();
      DeliverSentAnswers();
      RunHolder();
      if (!IsPaused(epoch)) StoreBatch();
      CheckNotedEnds();
      Check();
      return;
    }
    std::vector<DelayedOrder> due;
    std::erase_if(m_delayed_orders, [&](const DelayedOrder& delayed) {
      if (resets_connections && delayed.given_up_at <= now) return true;
      if (delayed.at > now || (delayed.after_dark && Find(UpstreamOf(delayed.order))->dark)) {
        return false;
      }
      due.push_back(delayed);
      return true;
    });
    for (const DelayedOrder& delayed : due) {
      // The upstream may be in another incarnation by then.
      ExecuteOrder(delayed.order, delayed.epoch);
    }
    std::vector<std::function<void()>> answers;
    std::swap(answers, m_answers);
    for (const auto& answer : answers) answer();
    AnswerPendingRenews();
    if (!m_options.run_when_due || holder->NextDue(now) <= now) {
      holder->Run(now, Milliseconds{0}, {.extend = may_extend, .move = true, .confirmed_at = now});
    }
    Deliver(holder.get(), epoch);
    if (old_holder) {
      const HolderRights rights{.extend = now < old_confirmed_at + Milliseconds(6000),
                                .start = false,
                                .move = false,
                                .confirmed_at = old_confirmed_at};
      old_holder->Run(now, Milliseconds{0}, rights);
      Deliver(old_holder.get(), old_epoch);
    }
    StoreBatch();
    CheckNotedEnds();
    Check();
  }

  void StoreBatch() {
    if (!store_up || !partition_up) return;
    if (const auto batch = holder->TakeBatch()) {
      for (const KeyedRecord& record : batch->records) {
        if (record.value.empty()) {
          store.erase(record.key);
        } else {
          store[record.key] = record.value;
        }
      }
      holder->OnDurable(batch->change);
    }
  }

  void AnswerPendingRenews() {
    std::erase_if(m_pending_renews, [&](const PendingRenew& pending) {
      FakeUpstream* const upstream = Find(pending.order.upstream);
      if (upstream->entry.start_time != pending.start_time) {
        // The connection ended with that incarnation.
        holder->OnRenewed(pending.order, {.outcome = OrderOutcome::kNoAnswer}, now);
        return true;
      }
      const bool gone = !upstream->alive || !upstream->reachable || upstream->dark;
      if (gone) {
        if (now < pending.until + kAnswerTimeout) return false;
        holder->OnRenewed(pending.order, {.outcome = OrderOutcome::kNoAnswer}, now);
        return true;
      }
      if (upstream->ended.empty() && now < pending.until) return false;
      holder->OnRenewed(pending.order,
                        upstream->Renew(pending.order, pending.order.target.fencing_token, now),
                        now);
      return true;
    });
  }

  static UpstreamId UpstreamOf(const UpstreamOrder& order) {
    return std::visit([](const auto& each) { return each.upstream; }, order);
  }

  static Milliseconds TimeoutOf(const UpstreamOrder& order) {
    const auto* const renew = std::get_if<RenewOrder>(&order);
    return kAnswerTimeout + (renew == nullptr ? Milliseconds{0} : renew->wait);
  }

  static std::uint64_t TokenOf(const UpstreamOrder& order) {
    return std::visit([](const auto& each) { return each.target.fencing_token; }, order);
  }

  OrderReply ExecuteOrder(const UpstreamOrder& order, std::uint64_t holder_epoch,
                          Milliseconds late = Milliseconds{0}, bool of_former_order = false) {
    FakeUpstream* const upstream = Find(UpstreamOf(order));
    const std::uint64_t token = TokenOf(order);
    const bool by_old = holder_epoch != epoch;
    const bool reached = by_old ? upstream->reachable_by_old_holder : upstream->reachable;
    if (!upstream->alive || !reached || upstream->dark) return {};
    if (const auto* start = std::get_if<StartOrder>(&order)) {
      ++starts;
      const StepSpec& step = specs.at(start->task.job).steps[start->task.step];
      CheckDependencies(*start);
      const std::vector<std::string>& labels = upstream->entry.labels;
      const bool labelled = step.required_label.empty() ||
                            std::count(labels.begin(), labels.end(), step.required_label) > 0;
      if (!labelled) violations.push_back({"label: " + start->task.str(), now});
      Milliseconds duration = m_options.run_for_estimate ? step.estimate : task_duration;
      if (duration_of) duration = duration_of(*start);
      const auto present = upstream->running.find(start->task);
      const bool other_run =
          present != upstream->running.end() && present->second.run != start->run;
      const OrderReply reply = upstream->Start(*start, token, step, duration, now);
      if (reply.outcome == OrderOutcome::kDone) {
        if (other_run) violations.push_back({"twice on one upstream: " + start->task.str(), now});
        FakeUpstream::Running& run = upstream->running.at(start->task);
        run.late = late;
        run.of_former_order = of_former_order;
        m_task_starts[start->task].push_back(run);
        CheckStartsOf(start->task);
      }
      return reply;
    }
    if (const auto* stop = std::get_if<StopOrder>(&order)) return upstream->Stop(*stop, token, now);
    if (const auto* renew = std::get_if<RenewOrder>(&order)) upstream->Renew(*renew, token, now);
    return {.outcome = OrderOutcome::kDone, .clock = upstream->ClockAt(now)};
  }

  void Deliver(JobScheduler* scheduler, std::uint64_t holder_epoch) {
    for (const UpstreamOrder& order : scheduler->TakeOrders()) {
      FakeUpstream* const upstream = Find(UpstreamOf(order));
      const std::uint64_t token = TokenOf(order);
      if (upstream->dark) {
        m_delayed_orders.push_back({.order = order,
                                    .epoch = holder_epoch,
                                    .at = now + dark_order_delay,
                                    .after_dark = true,
                                    .given_up_at = now + TimeoutOf(order)});
        if (!std::holds_alternative<RenewOrder>(order)) {
          Answer(scheduler, order, {}, kAnswerTimeout);
          continue;
        }
      }
      if (const auto* renew = std::get_if<RenewOrder>(&order)) {
        ++renewals;
        if (scheduler != holder.get()) {
          const bool reached =
              upstream->alive && upstream->reachable_by_old_holder && !upstream->dark;
          const RenewReply reply = reached ? upstream->Renew(*renew, token, now)
                                           : RenewReply{.outcome = OrderOutcome::kNoAnswer};
          scheduler->OnRenewed(*renew, reply, now);
          continue;
        }
        // It takes effect on arrival; only the answer is delayed.
        if (upstream->alive && upstream->reachable && !upstream->dark) {
          upstream->Renew(*renew, token, now);
        }
        m_pending_renews.push_back({.order = *renew,
                                    .until = now + renew->wait,
                                    .start_time = upstream->entry.start_time});
        continue;
      }
      if (RandomFraction() < delayed_order_share) {
        const auto range = static_cast<double>(max_order_delay.count() - 2000);
        const Milliseconds delay(2000 + static_cast<int>(RandomFraction() * range));
        m_delayed_orders.push_back({.order = order, .epoch = holder_epoch, .at = now + delay});
        Answer(scheduler, order, {}, kAnswerTimeout);
        continue;
      }
      const OrderReply reply = ExecuteOrder(order, holder_epoch);
      const bool lost =
          reply.outcome == OrderOutcome::kNoAnswer || RandomFraction() < lost_answer_share;
      Answer(scheduler, order, lost ? OrderReply{} : reply, lost ? kAnswerTimeout : answer_time);
    }
  }

  void Answer(JobScheduler* scheduler, const UpstreamOrder& order, const OrderReply& reply,
              Milliseconds delay) {
    const Milliseconds at = now + delay;
    auto answer = [this, scheduler, order, reply, at](auto& self) -> void {
      if (scheduler != holder.get() && scheduler != old_holder.get()) return;
      if (now < at) {
        m_answers.push_back([self]() mutable { self(self); });
        return;
      }
      if (const auto* start = std::get_if<StartOrder>(&order)) {
        scheduler->OnStarted(*start, reply, now);
      } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
        scheduler->OnStopped(*stop, reply, now);
      }
    };
    m_answers.push_back([answer]() mutable { answer(answer); });
  }

  void CheckDependencies(const StartOrder& start) {
    const JobSpec& spec = specs.at(start.task.job);
    for (const int dependency : spec.steps[start.task.step].depends) {
      for (int index = 0; index < spec.steps[dependency].count; ++index) {
        const TaskKey key{.job = spec.id,
                          .occurrence = start.task.occurrence,
                          .step = dependency,
                          .index = index};
        if (m_done.count(key) == 0) violations.push_back({"order: " + start.task.str(), now});
      }
    }
  }

  /// A running task, ordered by hash, as comparing names is slow.
  struct HashedTask {
    std::size_t hash = 0;
    const TaskKey* key = nullptr;

    bool operator==(const HashedTask& other) const {
      return hash == other.hash && *key == *other.key;
    }
    bool operator<(const HashedTask& other) const {
      return hash != other.hash ? hash < other.hash : *key < *other.key;
    }
  };

  static HashedTask Hashed(const TaskKey& key) {
    const auto step_and_index = static_cast<std::size_t>(key.step) * 1009 + key.index;
    return {.hash = std::hash<std::string>{}(key.job.str()) * 31 + step_and_index, .key = &key};
  }

  /// Checks the rules for starts after ends that have been acknowledged.
  void CheckStartsOf(const TaskKey& task) {
    // The plays without `max_transit` contain late orders that break these rules, see
    // KNOWN-RED.txt.
    if (!m_options.max_transit) return;
    const auto noted = m_noted_ends.find(task);
    const auto starts_of_task = m_task_starts.find(task);
    if (noted == m_noted_ends.end() || starts_of_task == m_task_starts.end()) return;
    const StepSpec& step = specs.at(task.job).steps[task.step];
    if (step.lasting) return;
    for (const FakeUpstream::Running& start : starts_of_task->second) {
      int failures = 0;
      bool done = false;
      for (const FakeUpstream::NotedEnd& end : noted->second) {
        if (end.at >= start.started) continue;
        // A copy may start beside a run that ends, until that end is known to the holder.
        const bool permitted = start.started - start.late < end.noted_at + Milliseconds(1000);
        if (step.speculative && permitted) continue;
        done = done || end.end == RunEnd::kDone;
        failures += end.end == RunEnd::kFailed ? 1 : 0;
      }
      const std::string text = task.str() + RunText(start);
      if (done) violations.push_back({"started after it was done: " + text, now});
      if (failures >= m_attempts.at(task.job)) violations.push_back({"attempts: " + text, now});
    }
  }

  void CheckNotedEnds() {
    for (const auto& upstream : upstreams) {
      for (FakeUpstream::NotedEnd& end : std::exchange(upstream->noted_ends, {})) {
        end.noted_at = now;
        if (end.end != RunEnd::kDone && end.end != RunEnd::kFailed) continue;
        m_noted_ends[end.task].push_back(end);
        CheckStartsOf(end.task);
      }
    }
  }

  static std::string RunText(const FakeUpstream::Running& run) {
    return " run " + std::to_string(run.run) + " since " + std::to_string(run.started.count()) +
           " late " + std::to_string(run.late.count()) +
           (run.of_former_order ? " of former order" : "");
  }

  /// Where a task runs, and which of its start orders were executed late.
  std::string RunsText(const TaskKey& task) const {
    std::string text;
    for (const auto& upstream : upstreams) {
      const auto found = upstream->running.find(task);
      if (!upstream->alive || found == upstream->running.end()) continue;
      text += ", on " + upstream->entry.id.str() + RunText(found->second);
    }
    return text;
  }

  void Check() {
    m_running.clear();
    for (const auto& upstream : upstreams) {
      if (!upstream->alive) continue;
      const Capacity used = upstream->Used();
      if (used.cpu_millicores > upstream->entry.capacity.cpu_millicores ||
          used.memory_mb > upstream->entry.capacity.memory_mb) {
        std::string text = upstream->entry.id.str();
        for (const auto& [task, run] : upstream->running) text += RunText(run);
        violations.push_back({"capacity: " + text, now});
      }
      for (const auto& [task, run] : upstream->running) m_running.push_back(Hashed(task));
    }
    std::sort(m_running.begin(), m_running.end());
    for (auto task = m_running.begin(); task != m_running.end();) {
      task = std::adjacent_find(task, m_running.end());
      if (task == m_running.end()) break;
      const bool permitted = specs.at(task->key->job).steps[task->key->step].speculative;
      if (!permitted) {
        violations.push_back({"twice: " + task->key->str() + RunsText(*task->key), now});
      }
      task = std::find_if(task, m_running.end(),
                          [&](const HashedTask& other) { return !(other == *task); });
    }
  }

  Options m_options;
  std::mt19937 m_random;
  std::map<UpstreamId, FakeUpstream*> m_by_id;
  std::vector<HashedTask> m_running;  ///< Buffer of Check.
  std::vector<PendingRenew> m_pending_renews;
  std::vector<DelayedOrder> m_delayed_orders;
  std::vector<std::function<void()>> m_answers;
  std::set<TaskKey> m_done;
  std::vector<SentOrder> m_sent_orders;
  std::vector<WaitingRenew> m_waiting_renews;
  std::vector<SentAnswer> m_sent_answers;
  std::map<JobId, int> m_attempts;
  std::map<TaskKey, std::vector<FakeUpstream::Running>> m_task_starts;
  std::map<TaskKey, std::vector<FakeUpstream::NotedEnd>> m_noted_ends;
  std::uint64_t m_last_order_id = 0;
};

inline StepSpec Step(int count, int cpu_millicores) {
  StepSpec step;
  step.count = count;
  step.cpu_millicores = cpu_millicores;
  step.memory_mb = 100;
  step.estimate = Milliseconds(500);
  return step;
}

inline StepSpec LastingStep(int count, int max_unavailable) {
  StepSpec step = Step(count, 1000);
  step.lasting = true;
  step.max_per_upstream = 1;
  step.max_unavailable = max_unavailable;
  return step;
}

inline const QueuePolicy test_policy{
    .priority = 0, .attempts = 3, .stretch = 1.6, .objective = Milliseconds(600)};

inline TaskKey Key(const std::string& job, int step, int index) {
  return {.job = JobId(job), .occurrence = 0, .step = step, .index = index};
}

}  // namespace endivewood::testing
