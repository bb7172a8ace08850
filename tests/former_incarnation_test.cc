/// @file
/// Orders and answers that outlive the incarnation of the upstream for which they were meant.
#include <catch2/catch.hpp>
#include <tuple>

#include "codec.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

constexpr Milliseconds kOutage{500};
/// Longest lease, by a clock that is 2 % slow, and the time until its end is acted upon.
constexpr Milliseconds kLongestLease{10500};

/// Two upstreams. A task starts on the first one while that is dark, so that the start reaches its
/// next incarnation, whose clock is far behind the former one.
class RestartedUpstream {
 public:
  explicit RestartedUpstream(const SchedulerSimulation::Options& options) : simulation(options) {
    simulation.Run(Milliseconds(9000));
    simulation.task_duration = Milliseconds(60000);
    other().refuses_starts = true;
  }

  FakeUpstream& restarted() { return *simulation.upstreams[0]; }
  FakeUpstream& other() { return *simulation.upstreams[1]; }

  void StartWhileDark() {
    restarted().GoDark();
    simulation.Submit(simulation.Spec("former", {Step(1, 1000)}), test_policy);
    simulation.Run(kOutage);
    restarted().Restart(simulation.now, simulation.now.count());
  }

  /// @returns whether a task runs on the new incarnation.
  bool RunOnNewIncarnation() {
    simulation.Submit(simulation.Spec("job", {Step(1, 1000)}), test_policy);
    return simulation.RunUntil([&] { return restarted().running.count(job) > 0; },
                               Milliseconds(4000));
  }

  void CutOff() {
    restarted().reachable = false;
    restarted().reachable_by_old_holder = false;
    other().refuses_starts = false;
  }

  /// @returns whether the task runs on the other upstream within `limit`.
  bool MovesWithin(Milliseconds limit) {
    return simulation.RunUntil([&] { return other().running.count(job) > 0; }, limit);
  }

  std::string FirstViolation() const {
    return simulation.violations.empty() ? "" : simulation.violations.front().what;
  }

  const TaskKey job = Key("job", 0, 0);
  SchedulerSimulation simulation;
};

// Guards against a task that starts elsewhere while its upstream, cut off, still has a lease.
TEST_CASE("a lease from an order for a former incarnation is waited for") {
  RestartedUpstream test({.upstreams = 2});
  test.StartWhileDark();
  REQUIRE(test.RunOnNewIncarnation());
  test.CutOff();
  CHECK(test.MovesWithin(kLongestLease));
  CHECK(test.FirstViolation() == "");
}

// Guards against a lease that a start sets seconds after the first run list.
TEST_CASE("an order for a former incarnation is refused once the new one has answered") {
  RestartedUpstream test({.upstreams = 2});
  test.simulation.dark_order_delay = kOutage + Milliseconds(3000);
  test.simulation.resets_connections = false;
  test.StartWhileDark();
  REQUIRE(test.RunOnNewIncarnation());
  test.simulation.Run(Milliseconds(3500));
  CHECK_FALSE(test.simulation.holder->fenced_out());
  test.CutOff();
  CHECK(test.MovesWithin(kLongestLease - Milliseconds(3500)));
  CHECK(test.FirstViolation() == "");
}

// Guards against the same when all fencing tokens for restarts have been used.
TEST_CASE("without a further fencing token, orders for a former incarnation are waited out") {
  RestartedUpstream test({.upstreams = 2, .epoch = config::kRestartTokensPerGeneration});
  test.simulation.dark_order_delay = kOutage + Milliseconds(3000);
  test.simulation.resets_connections = false;
  test.StartWhileDark();
  CHECK_FALSE(test.RunOnNewIncarnation());
  test.simulation.Run(Milliseconds(config::kMaxOrderDelayMs));
  REQUIRE(test.restarted().running.count(test.job) == 1);
  test.simulation.Run(Milliseconds(1000));
  test.CutOff();
  CHECK(test.MovesWithin(kLongestLease));
  CHECK(test.FirstViolation() == "");
}

// Guards against the same after a failover: the former holder hadn't noticed the restart.
TEST_CASE("a new holder waits for a lease from an order for a former incarnation") {
  RestartedUpstream test({.upstreams = 2, .registry_interval = Milliseconds(60000)});
  test.restarted().GoDark();
  test.simulation.Submit(test.simulation.Spec("job", {Step(1, 1000)}), test_policy);
  test.simulation.Run(kOutage);
  test.restarted().Restart(test.simulation.now, test.simulation.now.count());
  test.simulation.Run(Milliseconds(20));
  REQUIRE(test.restarted().running.count(test.job) == 1);
  test.CutOff();
  test.simulation.StartNewHolder(Milliseconds(4200));
  test.simulation.old_holder.reset();
  CHECK(test.MovesWithin(kLongestLease));
  CHECK(test.FirstViolation() == "");
}

// Guards against the same if the former holder had used the new incarnation.
TEST_CASE("a new holder waits for a long lease on an incarnation that its predecessor has used") {
  RestartedUpstream test({.upstreams = 2});
  test.StartWhileDark();
  REQUIRE(test.RunOnNewIncarnation());
  test.CutOff();
  test.simulation.StartNewHolder(Milliseconds(4200));
  test.simulation.old_holder.reset();
  CHECK(test.MovesWithin(kLongestLease));
  CHECK(test.FirstViolation() == "");
}

// Guards against waiting so long for an upstream that has been up for a while.
TEST_CASE("only the usual lease is waited for once orders for a former incarnation have expired") {
  RestartedUpstream test({.upstreams = 2});
  test.StartWhileDark();
  REQUIRE(test.RunOnNewIncarnation());
  test.simulation.Run(Milliseconds(40000));
  REQUIRE(test.restarted().running.count(test.job) == 1);
  test.CutOff();
  SECTION("by the same holder") {}
  SECTION("by a new holder") {
    test.simulation.StartNewHolder(Milliseconds(4200));
    test.simulation.old_holder.reset();
  }
  CHECK(test.MovesWithin(Milliseconds(5000)));
  CHECK(test.FirstViolation() == "");
}

// Guards against records that earlier and later builds can't read.
TEST_CASE("a stored upstream is read without its incarnation, and with fields of a later build") {
  const auto decode = [](const std::string& value) {
    const JobStoreRecord record =
        DecodeJobStoreRecord({.key = UpstreamKey(UpstreamId("u")), .value = value});
    const auto* const upstream = std::get_if<UpstreamRecord>(&record);
    return upstream == nullptr ? UpstreamRecord{} : *upstream;
  };
  const Endpoint endpoint{.address = "127.0.0.1", .port = 1};
  CHECK(decode(Pack(std::make_tuple(UpstreamId("u"), test_service, endpoint))) ==
        UpstreamRecord{.id = UpstreamId("u"), .service = test_service, .endpoint = endpoint});
  CHECK(decode(Pack(std::make_tuple(UpstreamId("u"), test_service, endpoint, 5, true, "later"))) ==
        UpstreamRecord{.id = UpstreamId("u"),
                       .service = test_service,
                       .endpoint = endpoint,
                       .start_time = 5,
                       .follows_incarnation = true});
}

// Guards against a clock of the former incarnation that is taken for that of the new one.
TEST_CASE("a late answer of a former incarnation doesn't change the clock of the new one") {
  RestartedUpstream test({.upstreams = 2, .registry_interval = Milliseconds(10)});
  test.simulation.answer_time = Milliseconds(550);
  test.simulation.Submit(test.simulation.Spec("former", {Step(1, 1000)}), test_policy);
  REQUIRE(test.simulation.RunUntil([&] { return test.restarted().running.size() == 1; },
                                   Milliseconds(1000)));
  test.restarted().Restart(test.simulation.now, test.simulation.now.count());
  test.simulation.Run(Milliseconds(800));
  REQUIRE(test.RunOnNewIncarnation());
  test.simulation.Run(Milliseconds(1000));
  test.CutOff();
  CHECK(test.MovesWithin(kLongestLease));
  CHECK(test.FirstViolation() == "");
}

// Guards against a run that starts although a stop was confirmed, by the former incarnation.
TEST_CASE("a stop that a former incarnation has confirmed doesn't count for the new one") {
  RestartedUpstream test({.upstreams = 2, .registry_interval = Milliseconds(10)});
  test.simulation.delayed_order_share = 1;
  test.simulation.Submit(test.simulation.Spec("job", {Step(1, 1000)}), test_policy);
  test.simulation.Run(Milliseconds(50));
  test.simulation.delayed_order_share = 0;
  test.simulation.answer_time = Milliseconds(200);
  // Without an answer to the start, the scheduler stops the run.
  REQUIRE(test.simulation.RunUntil([&] { return test.restarted().stop_orders == 1; },
                                   Milliseconds(4000)));
  test.restarted().Restart(test.simulation.now, test.simulation.now.count());
  test.other().refuses_starts = false;
  test.simulation.Run(Milliseconds(20000));
  CHECK(test.simulation.RunsOf(test.job) == 1);
  CHECK(test.FirstViolation() == "");
}

// Guards against an upstream that is taken for its former incarnation: its clock, lease and runs.
TEST_CASE("an upstream whose time of day was set back before it started again is recognised") {
  RestartedUpstream test({.upstreams = 2, .max_transit = Milliseconds(10)});
  test.restarted().Restart(test.simulation.now, test.simulation.now.count());
  test.simulation.Run(Milliseconds(3000));
  test.restarted().Restart(test.simulation.now, test.simulation.now.count() - 5000);
  SECTION("when it is cut off") {
    test.simulation.Run(Milliseconds(1000));
    REQUIRE(test.RunOnNewIncarnation());
    test.CutOff();
    CHECK(test.MovesWithin(kLongestLease + Milliseconds(2500)));
  }
  SECTION("when it stays up") {
    test.simulation.task_duration = Milliseconds(500);
    test.simulation.Submit(test.simulation.Spec("job", {Step(1, 1000)}), test_policy);
    CHECK(test.simulation.RunUntil(
        [&] { return test.simulation.StateOf("job") == JobState::kComplete; }, Milliseconds(5000)));
  }
  CHECK(test.FirstViolation() == "");
}

/// A scheduler with one upstream whose answers are given one by one.
class AnsweredScheduler {
 public:
  AnsweredScheduler() : m_scheduler({.partition = 1, .epoch = 1}) {
    SilenceEvents();
    m_scheduler.FinishRestore(m_now, Milliseconds{0}, m_now);
    List(1);
  }

  void List(std::int64_t start_time) {
    m_start_time = start_time;
    m_scheduler.SetUpstreams({{.id = UpstreamId("u"),
                               .service = test_service,
                               .endpoint = {.address = "127.0.0.1", .port = 1},
                               .data_centre = DataCentreName("dc"),
                               .capacity = {.cpu_millicores = 8000, .memory_mb = 16000, .gpus = 0},
                               .labels = {"a"},
                               .rack = RackName("r1"),
                               .draining = false,
                               .remaining = Milliseconds{0},
                               .start_time = start_time}},
                             m_now);
  }

  void Submit(const JobSpec& spec) { m_scheduler.Submit(spec, test_policy, m_now); }

  /// Lets 100 ms pass. Renewals and stops are answered; the last start is returned without.
  std::optional<StartOrder> Advance() {
    m_now += Milliseconds(100);
    if (const auto batch = m_scheduler.TakeBatch()) m_scheduler.OnDurable(batch->change);
    m_scheduler.Run(m_now, Milliseconds{0}, {.confirmed_at = m_now});
    std::optional<StartOrder> started;
    for (const UpstreamOrder& order : m_scheduler.TakeOrders()) {
      if (const auto* const start = std::get_if<StartOrder>(&order)) started = *start;
      if (const auto* const stop = std::get_if<StopOrder>(&order)) {
        std::erase_if(running, [&](const RunningRow& row) {
          return row.task == stop->task && row.run == stop->run;
        });
        m_scheduler.OnStopped(*stop, {.outcome = OrderOutcome::kDone}, m_now);
      }
      if (const auto* const renew = std::get_if<RenewOrder>(&order)) {
        m_scheduler.OnRenewed(*renew,
                              {.outcome = OrderOutcome::kDone,
                               .clock = m_now.count(),
                               .start_time = m_start_time,
                               .running = running,
                               .ended = {}},
                              m_now);
      }
    }
    return started;
  }

  std::optional<StartOrder> NextStart() {
    for (int i = 0; i < 100; ++i) {
      if (auto start = Advance()) return start;
    }
    return std::nullopt;
  }

  void Answer(const StartOrder& order, OrderOutcome outcome) {
    m_scheduler.OnStarted(order, {.outcome = outcome}, m_now);
  }

  std::vector<RunningRow> running;

 private:
  Milliseconds m_now{1000};
  std::int64_t m_start_time = 1;
  JobScheduler m_scheduler;
};

// Guards against a task that never starts again, as an earlier run has taken the place of its last.
TEST_CASE("a task starts again when a new incarnation has executed an earlier start of it") {
  AnsweredScheduler test;
  test.Submit({.id = JobId("job"),
               .queue = QueueName("q"),
               .service = test_service,
               .payload = "text",
               .steps = {Step(1, 1000)}});
  const auto first = test.NextStart();
  REQUIRE(first);
  test.Answer(*first, OrderOutcome::kNoAnswer);
  const auto second = test.NextStart();
  REQUIRE(second);
  test.Answer(*second, OrderOutcome::kDone);
  test.List(2);
  test.running = {{.task = first->task, .run = first->run}};
  const auto third = test.NextStart();
  REQUIRE(third);
  CHECK(third->run > second->run);
  CHECK(test.running.empty());
}

/// Plays about 30 s with upstreams that start again and are cut off by turns, also from one holder
/// only, and with new holders.
void PlayRestartsAndCuts(unsigned seed, bool resets_connections) {
  CAPTURE(seed);
  std::mt19937 random(seed);
  // At most one draw an expression: the order in which operands and arguments are evaluated differs
  // between machines.
  const auto draw = [&](int most) {
    return std::uniform_int_distribution<int>(0, most - 1)(random);
  };
  const auto draw_or_zero = [&](int most) {
    const bool zero = draw(2) == 0;
    const int value = draw(most);
    return zero ? 0 : value;
  };
  SchedulerSimulation simulation({.upstreams = 5, .seed = seed});
  simulation.task_duration = Milliseconds(8000);
  simulation.lost_answer_share = 0.05;
  simulation.resets_connections = resets_connections;
  for (int round = 0; round < 60; ++round) {
    const int count = 1 + draw(3);
    const int cpu = 500 + draw(1000);
    simulation.Submit(simulation.Spec("job" + std::to_string(round), {Step(count, cpu)}),
                      test_policy);
    simulation.dark_order_delay = Milliseconds(draw_or_zero(3000));
    simulation.answer_time = Milliseconds(10 + draw_or_zero(500));
    FakeUpstream& upstream = *simulation.upstreams[draw(5)];
    switch (draw(6)) {
      case 0:
        upstream.GoDark();
        break;
      case 1:
      case 2:
        if (!upstream.dark) {
          upstream.GoDark();
          simulation.Run(Milliseconds(100 + draw(600)));
        }
        // Clocks begin anywhere.
        upstream.Restart(simulation.now, simulation.now.count(), Milliseconds(draw(60000)));
        upstream.reachable = true;
        simulation.Run(Milliseconds(draw(2000)));
        upstream.reachable = draw(3) == 0;
        break;
      case 3:
        upstream.reachable = !upstream.reachable;
        break;
      case 4:
        if (draw(4) == 0) {
          simulation.StartNewHolder();
          if (draw(2) == 0) simulation.old_holder.reset();
          for (const auto& each : simulation.upstreams)
            each->reachable_by_old_holder = draw(2) == 0;
        }
        break;
      default:
        break;
    }
    simulation.Run(Milliseconds(100 + draw(900)));
  }
  simulation.lost_answer_share = 0;
  for (const auto& upstream : simulation.upstreams) {
    if (upstream->dark) upstream->Restart(simulation.now, simulation.now.count());
    upstream->reachable = true;
  }
  simulation.Run(Milliseconds(40000));
  for (const Violation& violation : simulation.violations) {
    CAPTURE(violation.what, violation.at.count());
    CHECK(false);
    break;
  }
  CHECK(simulation.holder->jobs().empty());
}

// Guards against the same under combinations of restarts, cuts, late answers and failovers.
TEST_CASE("no task runs twice when upstreams start again and are cut off") {
  for (unsigned seed = 1; seed <= 200; ++seed) PlayRestartsAndCuts(seed, true);
}

// Guards against the same if orders that were given up are executed by the next incarnation.
TEST_CASE("no task runs twice when a next incarnation executes orders that were given up") {
  for (unsigned seed = 1; seed <= 200; ++seed) PlayRestartsAndCuts(seed, false);
}

}  // namespace
}  // namespace endivewood::testing
