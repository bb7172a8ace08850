/// @file
/// Order of waiting steps when the load exceeds the capacity.
#include "job_placement.h"

#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

/// Outcome of all jobs of one kind.
struct JobOutcomes {
  int jobs = 0;
  int on_time = 0;
  int complete = 0;
};

/// Simulates a load of four seconds on sixteen cores, with quick jobs that need ten cores and wide
/// jobs that need twenty, followed by 30 s without new jobs.
class PeakSimulation {
 public:
  PeakSimulation() : m_simulation({.upstreams = 2}) {
    m_simulation.Run(Milliseconds(300));
    for (int tick = 0; tick < 400; ++tick) {
      if (tick % 10 == 0) Submit("quick" + std::to_string(tick), {Step(2, 1000)});
      if (tick % 40 == 5) Submit("wide" + std::to_string(tick), {Step(16, 1000)});
      Advance(Milliseconds(10));
    }
    Advance(Milliseconds(30000));
  }

  /// @returns the number of accepted jobs that aren't complete.
  std::size_t open() const { return m_open.size(); }

  JobOutcomes Of(const std::string& kind) const {
    JobOutcomes outcomes;
    for (const auto& [id, job] : m_jobs) {
      if (id.compare(0, kind.size(), kind) != 0) continue;
      ++outcomes.jobs;
      outcomes.complete += job.completed ? 1 : 0;
      outcomes.on_time += job.completed && *job.completed <= job.submitted + kOnTimeLimit ? 1 : 0;
    }
    return outcomes;
  }

 private:
  /// stretch * run time + objective, see test_policy.
  static constexpr Milliseconds kOnTimeLimit{1400};

  struct Tracked {
    Milliseconds submitted{0};
    std::optional<Milliseconds> completed;
  };

  void Submit(const std::string& id, std::vector<StepSpec> steps) {
    const auto result = m_simulation.Submit(m_simulation.Spec(id, std::move(steps)), test_policy);
    m_jobs[id] = {.submitted = m_simulation.now, .completed = std::nullopt};
    if (result.kind == SubmitResult::Kind::kRefused) return;
    m_open.insert(id);
  }

  void Advance(Milliseconds duration) {
    const Milliseconds end = m_simulation.now + duration;
    while (m_simulation.now < end) {
      m_simulation.Run(Milliseconds(10));
      std::erase_if(m_open, [&](const std::string& id) {
        if (m_simulation.StateOf(id) != JobState::kComplete) return false;
        m_jobs[id].completed = m_simulation.now;
        return true;
      });
    }
  }

  SchedulerSimulation m_simulation;
  std::map<std::string, Tracked> m_jobs;
  std::set<std::string> m_open;
};

// Guards against a peak in which all jobs are late: sorted by the latest start alone, wide jobs
// take the cores of many quick jobs, and both miss their on-time deadlines.
TEST_CASE("in a peak most quick jobs are on time and all accepted jobs complete") {
  const PeakSimulation peak;
  const JobOutcomes quick = peak.Of("quick");
  const JobOutcomes wide = peak.Of("wide");
  CAPTURE(quick.jobs, quick.on_time, quick.complete, wide.jobs, wide.on_time, wide.complete);
  CHECK(quick.on_time * 2 > quick.jobs);
  CHECK(peak.open() == 0);
  // At least half of the wide jobs complete.
  CHECK(wide.complete * 2 >= wide.jobs);
}

// Guards against a pass that searches every upstream for each of the hundreds of steps that wait in
// a peak, and against a shortcut that leaves a step waiting although an upstream has room.
TEST_CASE("requirements that no upstream meets are remembered without changing any decision") {
  std::mt19937 random(7);
  const auto below = [&](int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(random);
  };
  int searches = 0;
  constexpr int kPasses = 200;
  constexpr int kSteps = 300;
  for (int pass = 0; pass < kPasses; ++pass) {
    std::vector<UpstreamSession> sessions(20);
    CandidatePool pool;
    for (std::size_t i = 0; i < sessions.size(); ++i) {
      UpstreamSession& session = sessions[i];
      session.entry.id = UpstreamId("u" + std::to_string(i));
      session.entry.service = test_service;
      session.entry.labels = {i % 3 == 0 ? "fast" : "slow"};
      session.entry.capacity = {.cpu_millicores = 1000 * below(32), .memory_mb = 100 * below(64)};
      pool.candidates.push_back({.session = &session, .free = session.entry.capacity});
    }
    for (int step = 0; step < kSteps; ++step) {
      StepSpec spec = Step(1, 500 * (1 + below(20)));
      spec.memory_mb = 100 * below(20);
      if (below(4) == 0) spec.required_label = "fast";
      Job job({.spec = {.id = JobId("j" + std::to_string(step)),
                        .service = test_service,
                        .steps = {spec}}},
              Milliseconds{0});
      job.CreateDueOccurrences(Milliseconds{0}, Milliseconds{0});
      const WaitingStep waiting{.job = &job, .occurrence = &job.occurrences().at(0), .step = 0};
      const TaskKey key{.job = job.spec().id};
      UpstreamCandidate* const chosen = ChooseCandidate(&pool.candidates, waiting, key);
      if (!pool.MayHold(ReservationOf(spec))) {
        CHECK(chosen == nullptr);
        continue;
      }
      ++searches;
      if (chosen == nullptr) {
        pool.NoteSearched(ReservationOf(spec));
      } else {
        Reserve(chosen, spec);
      }
    }
  }
  // Without the memory each of the steps is searched.
  CHECK(searches < kPasses * kSteps / 2);
}

}  // namespace
}  // namespace endivewood::testing
