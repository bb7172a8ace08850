/// @file
/// Generated plays of upstreams that start again under their ids, beside cuts, failovers and orders
/// and answers that arrive late or out of order.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

/// Faults that a play may contain.
struct Faults {
  bool late_orders = false;      ///< Orders that are executed up to 12 s after their sending.
  bool failovers = false;        ///< Killed, paused and replaced holders.
  bool hidden_restarts = false;  ///< Restarts that neither the registry nor the store shows.
  bool forgotten = false;        ///< Upstreams that the registry forgets for a while.
  bool clock_steps = false;      ///< Times of day that are set back or jump.
  bool short_run_lists = false;  ///< Run lists that don't contain all ended runs.
};

class Play {
 public:
  Play(unsigned seed, const Faults& faults)
      : m_faults(faults),
        m_random(seed),
        m_simulation(
            {.upstreams = 4, .seed = seed, .max_transit = Milliseconds(20 + DrawOrZero(500))}) {
    m_simulation.unix_offset = Milliseconds(1000000);
    m_simulation.lost_answer_share = 0.02 * Draw(5);
    m_simulation.late_share = faults.late_orders ? 0.02 * Draw(6) : 0;
    m_simulation.resets_connections = !faults.late_orders;
    m_simulation.task_duration = Milliseconds(Draw(2) == 0 ? 8000 + Draw(52000) : 300 + Draw(4000));
    for (const auto& upstream : m_simulation.upstreams) {
      upstream->entry.start_time = UnixTime();
      upstream->clock_rate = Draw(2) == 0 ? 1.0 : 0.98;
      upstream->stop_time = Milliseconds(DrawOrZero(500));
      upstream->late_by_order = Draw(2) == 0;
      upstream->keeps_acknowledgements = Draw(2) == 0;
      if (faults.short_run_lists) upstream->listed_ends = 1 + Draw(3);
      upstream->Restart(m_simulation.now, UnixTime(), Milliseconds(Draw(100000)));
    }
    m_simulation.Run(Milliseconds(1000));
  }

  void Run() {
    if (Draw(2) == 0) {
      m_simulation.Submit(m_simulation.Spec("lasting", {LastingStep(1 + Draw(2), 1)}), test_policy);
      m_lasting = true;
    }
    for (int round = 0; round < 40; ++round) {
      SubmitJob(round);
      Disturb();
      m_simulation.Run(Milliseconds(Draw(3) == 0 ? Draw(3000) : Draw(700)));
    }
    EndFaults();
  }

  /// Episodes around one upstream each: a task is placed there, the upstream starts again, also
  /// more than once, is cut off, and the others take tasks again.
  void RunEpisodes() {
    for (int episode = 0; episode < 6; ++episode) {
      FakeUpstream& upstream = *m_simulation.upstreams[Draw(4)];
      for (const auto& other : m_simulation.upstreams) {
        other->refuses_starts = other.get() != &upstream && Draw(4) > 0;
      }
      const int steps = 3 + Draw(8);
      for (int step = 0; step < steps; ++step) {
        if (Draw(3) == 0) SubmitJob(100 * episode + step);
        DisturbOne(&upstream);
        m_simulation.Run(Milliseconds(Draw(3) == 0 ? Draw(1500) : Draw(300)));
      }
      if (Draw(4) > 0) {
        upstream.reachable = false;
        upstream.reachable_by_old_holder = Draw(4) == 0;
      }
      for (const auto& other : m_simulation.upstreams) other->refuses_starts = false;
      m_simulation.Run(Milliseconds(Draw(3000)));
      if (m_faults.failovers && Draw(3) == 0) ReplaceHolder();
      m_simulation.Run(Milliseconds(Draw(15000)));
      if (upstream.dark) RestartOnce(&upstream);
      upstream.reachable = true;
      upstream.reachable_by_old_holder = true;
      upstream.outdated_entry.reset();
      m_simulation.store_up = true;
      m_simulation.registry_up = true;
      m_simulation.Run(Milliseconds(Draw(4000)));
    }
    EndFaults();
  }

  const SchedulerSimulation& simulation() const { return m_simulation; }

 private:
  /// At most one draw an expression: the order in which operands and arguments are evaluated
  /// differs between machines.
  int Draw(int most) { return std::uniform_int_distribution<int>(0, most - 1)(m_random); }

  int DrawOrZero(int most) {
    const bool zero = Draw(2) == 0;
    const int value = Draw(most);
    return zero ? 0 : value;
  }

  std::int64_t UnixTime() const { return 1000000 + m_simulation.now.count(); }

  void SubmitJob(int round) {
    const int count = 1 + Draw(3);
    const int cpu = 500 + Draw(2000);
    StepSpec step = Step(count, cpu);
    step.estimate = m_simulation.task_duration;
    m_simulation.Submit(m_simulation.Spec("job" + std::to_string(round), {step}), test_policy);
  }

  void Disturb() {
    FakeUpstream& upstream = *m_simulation.upstreams[Draw(4)];
    switch (Draw(9)) {
      case 0:
        upstream.GoDark();
        break;
      case 1:
      case 2:
        RestartOnce(&upstream);
        break;
      case 3: {
        const int times = 2 + Draw(2);
        for (int i = 0; i < times; ++i) {
          RestartOnce(&upstream);
          m_simulation.Run(Milliseconds(Draw(1200)));
        }
        break;
      }
      case 4:
        upstream.reachable = !upstream.reachable;
        break;
      case 5:
        if (m_faults.failovers) ReplaceHolder();
        break;
      case 6:
        if (m_faults.failovers) m_simulation.PauseHolder(Milliseconds(Draw(2500)));
        break;
      case 7:
        if (m_faults.hidden_restarts) {
          m_simulation.store_up = !m_simulation.store_up;
          m_simulation.registry_up = m_simulation.store_up && Draw(4) > 0;
        }
        break;
      case 8:
        if (m_faults.forgotten && Draw(2) == 0) {
          upstream.listed_from = m_simulation.now + Milliseconds(Draw(20000));
        }
        if (m_faults.clock_steps && Draw(2) == 0) {
          m_simulation.unix_offset = Milliseconds(1000000 + Draw(10000) - 5000);
        }
        break;
      default:
        break;
    }
  }

  void DisturbOne(FakeUpstream* upstream) {
    switch (Draw(8)) {
      case 0:
      case 1:
        RestartOnce(upstream);
        break;
      case 2:
        if (!upstream->dark) upstream->GoDark();
        break;
      case 3:
        if (m_faults.failovers && Draw(2) == 0) ReplaceHolder();
        break;
      case 4:
        if (m_faults.failovers) m_simulation.PauseHolder(Milliseconds(Draw(3500)));
        break;
      case 5:
        if (m_faults.hidden_restarts) {
          m_simulation.store_up = Draw(2) == 0;
          m_simulation.registry_up = m_simulation.store_up && Draw(2) > 0;
        }
        break;
      case 6:
        if (m_faults.forgotten && Draw(2) == 0) {
          upstream->listed_from = m_simulation.now + Milliseconds(Draw(20000));
        }
        break;
      default:
        if (m_faults.clock_steps && Draw(2) == 0) {
          m_simulation.unix_offset = Milliseconds(1000000 + Draw(10000) - 5000);
        }
        break;
    }
  }

  void RestartOnce(FakeUpstream* upstream) {
    const UpstreamEntry former = upstream->outdated_entry.value_or(upstream->entry);
    if (!upstream->dark && Draw(3) > 0) {
      upstream->GoDark();
      m_simulation.Run(Milliseconds(Draw(700)));
    }
    const bool cut = Draw(3) == 0;
    if (cut) upstream->reachable = false;
    std::int64_t start_time = UnixTime();
    if (m_faults.clock_steps && Draw(3) == 0) start_time -= Draw(60000);
    upstream->clock_rate = Draw(2) == 0 ? 1.0 : 0.98;
    upstream->Restart(m_simulation.now, start_time, Milliseconds(DrawOrZero(100000)));
    if (m_faults.hidden_restarts && Draw(3) == 0) upstream->outdated_entry = former;
    m_simulation.Run(Milliseconds(Draw(1500)));
    upstream->reachable = Draw(2) == 0;
    // It registers again once it reaches the store.
    if (upstream->reachable) upstream->outdated_entry.reset();
  }

  void ReplaceHolder() {
    if (!m_simulation.store_up) return;
    const int times = 1 + (Draw(4) == 0 ? 1 : 0);
    for (int i = 0; i < times; ++i) {
      const bool ended = Draw(2) == 0;
      if (ended) {
        // The former holder was killed, or has handed over.
        m_simulation.StartNewHolder(Milliseconds(Draw(2) == 0 ? 4200 : 10200));
        m_simulation.old_holder.reset();
      } else {
        m_simulation.StartNewHolder();
        for (const auto& each : m_simulation.upstreams) {
          each->reachable_by_old_holder = Draw(2) == 0;
        }
      }
      m_simulation.Run(Milliseconds(Draw(1500)));
    }
  }

  void EndFaults() {
    m_simulation.lost_answer_share = 0;
    m_simulation.late_share = 0;
    m_simulation.resets_connections = true;
    m_simulation.store_up = true;
    m_simulation.registry_up = true;
    m_simulation.old_holder.reset();
    m_simulation.task_duration = Milliseconds(500);
    for (const auto& upstream : m_simulation.upstreams) {
      if (upstream->dark) upstream->Restart(m_simulation.now, UnixTime());
      upstream->reachable = true;
      upstream->outdated_entry.reset();
      upstream->listed_from = Milliseconds{0};
    }
    m_simulation.Run(Milliseconds(30000));
    if (m_lasting) m_simulation.holder->Cancel(JobId("lasting"), m_simulation.now);
    m_simulation.RunUntil([&] { return m_simulation.holder->jobs().empty(); },
                          Milliseconds(100000));
  }

  Faults m_faults;
  std::mt19937 m_random;
  SchedulerSimulation m_simulation;
  bool m_lasting = false;
};

void CheckPlay(unsigned seed, const Faults& faults) {
  Play play(seed, faults);
  if (seed % 2 == 0) {
    play.Run();
  } else {
    play.RunEpisodes();
  }
  const SchedulerSimulation& simulation = play.simulation();
  const Violation first =
      simulation.violations.empty() ? Violation{} : simulation.violations.front();
  CAPTURE(seed, first.what, first.at.count());
  CHECK(simulation.violations.empty());
  CHECK(simulation.holder->jobs().empty());
}

/// Seeds of the suite, or those of the environment variable INCARNATION_SEEDS ("from to").
std::pair<unsigned, unsigned> Seeds(unsigned last) {
  const char* const text = std::getenv("INCARNATION_SEEDS");
  if (text == nullptr) return {1, last};
  char* rest = nullptr;
  const auto from = static_cast<unsigned>(std::strtoul(text, &rest, 10));
  return {from, static_cast<unsigned>(std::strtoul(rest, nullptr, 10))};
}

void CheckPlays(const Faults& faults) {
  const auto [from, to] = Seeds(30);
  for (unsigned seed = from; seed <= to; ++seed) CheckPlay(seed, faults);
}

// Guards against tasks that run twice, or never again, under any combination of these faults.
TEST_CASE("generated restarts and cuts of upstreams") { CheckPlays({}); }

// Guards against the same while the store is down or the registry isn't read.
TEST_CASE("generated restarts that neither the registry nor the store shows") {
  CheckPlays({.hidden_restarts = true});
}

// Guards against the same with holders that are killed, paused and replaced.
TEST_CASE("generated restarts beside failovers") { CheckPlays({.failovers = true}); }

// Guards against the same with both.
TEST_CASE("generated restarts beside failovers that the registry doesn't show") {
  CheckPlays({.failovers = true, .hidden_restarts = true});
}

// Guards against the same for upstreams that come back after their entry has expired.
TEST_CASE("generated restarts of upstreams that the registry forgets") {
  CheckPlays({.failovers = true, .forgotten = true});
}

// Guards against the same with clocks of holders and upstreams that are set.
TEST_CASE("generated restarts of upstreams whose time of day is set back") {
  CheckPlays({.clock_steps = true});
}

// Guards against the same if ended runs don't fit in one run list.
TEST_CASE("generated restarts with short run lists") { CheckPlays({.short_run_lists = true}); }

// Guards against the same with everything at once.
TEST_CASE("generated restarts with all faults but late orders") {
  CheckPlays({.failovers = true,
              .hidden_restarts = true,
              .forgotten = true,
              .clock_steps = true,
              .short_run_lists = true});
}

// Guards against the same with orders that are executed up to 12 s after their sending.
TEST_CASE("generated restarts with late orders") { CheckPlays({.late_orders = true}); }

}  // namespace
}  // namespace endivewood::testing
