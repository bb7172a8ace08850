/// @file
/// Benchmarks preset switches, maintenance waves and the fold.
#include "bench_fleet.h"

#include <algorithm>
#include <iomanip>

#include "pool_counts.h"

namespace endivewood {
namespace {

constexpr Milliseconds kLimit{24 * 3600 * 1000};
constexpr double kMovesTarget = 1.00;    // Moves over the minimum number of moves.
constexpr double kRolloutTarget = 1.15;  // Time over the shortest possible time.

PlanFunction DefaultPlanner(const DataCentreName& data_centre) {
  return MakePlanner({.data_centre = data_centre});
}

PlanFunction WithoutHold(const DataCentreName& data_centre) {
  return MakePlanner({.data_centre = data_centre, .hold = Milliseconds(0)});
}

/// Baseline: drains every pool whose target changed down to its budget, then refills it from the
/// spare pool.
class EmptyAndRefill {
 public:
  explicit EmptyAndRefill(const DataCentreName& data_centre)
      : m_data_centre(data_centre), m_plan(DefaultPlanner(data_centre)) {}

  std::vector<PlannerAction> operator()(const PlannerInput& input) {
    const FleetView& view = *input.view;
    const PoolCounts counts = CountPools(view);
    if (view.preset_version != m_preset_version) StartEmptying(view, counts);
    std::vector<PlannerAction> actions = m_plan(input);
    if (m_emptying.empty()) return actions;
    std::erase_if(actions, [](const PlannerAction& action) {
      const auto* proposal = std::get_if<ProposeChange>(&action);
      return proposal != nullptr && std::holds_alternative<DrainStarted>(proposal->change);
    });
    for (PlannerAction& action : actions) ReturnToSpare(view, &action);
    DrainAll(view, counts, &actions);
    if (IsEmptied(counts)) m_emptying.clear();
    return actions;
  }

 private:
  void StartEmptying(const FleetView& view, const PoolCounts& counts) {
    m_preset_version = view.preset_version;
    for (const auto& [name, pool] : counts) {
      if (!pool.spare && pool.ready != pool.target) m_emptying.insert(name);
    }
  }

  static void ReturnToSpare(const FleetView& view, PlannerAction* action) {
    auto* proposal = std::get_if<ProposeChange>(action);
    if (proposal == nullptr) return;
    if (auto* assigned = std::get_if<InstanceAssigned>(&proposal->change)) {
      assigned->pool = view.config.SparePool()->name;
      assigned->limit = 0;
    }
  }

  void DrainAll(const FleetView& view, const PoolCounts& counts,
                std::vector<PlannerAction>* actions) {
    for (const auto& [name, instance] : view.instances) {
      const bool ready = instance.state == InstanceState::kReady;
      if (!ready || instance.data_centre != m_data_centre) continue;
      if (!m_emptying.contains(instance.pool)) continue;
      if (counts.at(instance.pool).ready <= counts.at(instance.pool).required) continue;
      actions->emplace_back(ProposeChange{.change = DrainStarted{.instance = name},
                                          .expected_version = instance.version});
    }
  }

  bool IsEmptied(const PoolCounts& counts) const {
    return std::all_of(counts.begin(), counts.end(), [&](const auto& item) {
      const PoolCount& pool = item.second;
      if (pool.in_flight > 0) return false;
      return !m_emptying.contains(item.first) || pool.ready <= pool.required;
    });
  }

  DataCentreName m_data_centre;
  PlanFunction m_plan;
  std::uint64_t m_preset_version = 0;
  std::set<PoolName> m_emptying;
};

/// Baseline: drains one instance at a time.
PlanFunction OneAtATime(const DataCentreName& data_centre) {
  return [plan = DefaultPlanner(data_centre)](const PlannerInput& input) {
    bool busy = false;
    for (const auto& [name, pool] : CountPools(*input.view)) busy = busy || pool.in_flight > 0;
    std::vector<PlannerAction> actions = plan(input);
    std::erase_if(actions, [&](const PlannerAction& action) {
      const auto* proposal = std::get_if<ProposeChange>(&action);
      const bool drain =
          proposal != nullptr && std::holds_alternative<DrainStarted>(proposal->change);
      const bool drop = drain && busy;
      busy = busy || drain;
      return drop;
    });
    return actions;
  };
}

bool IsConverged(const FleetSimulator& run) {
  const auto view = run.View();
  const PoolCounts counts = CountPools(*view);
  return std::all_of(counts.begin(), counts.end(), [](const auto& item) {
    return item.second.ready == item.second.target && item.second.in_flight == 0;
  });
}

using PlannerFactory = std::function<PlanFunction(const DataCentreName&)>;

double MeasureMoves(const FleetShape& shape, const PlannerFactory& factory, std::ostream* out,
                    const char* label) {
  FleetSimulator run(shape, 2, factory);
  run.Switch("peak-0");
  int minimum = 0;
  const auto view = run.View();
  for (const auto& [name, pool] : CountPools(*view)) minimum += pool.Deficit();
  const auto time = run.RunUntil([&] { return IsConverged(run); }, kLimit);
  const double ratio = time ? static_cast<double>(run.stats().moves) / minimum : -1;
  *out << "moves " << shape.name << " " << label << " moves=" << run.stats().moves
       << " minimum=" << minimum << " ratio=" << ratio
       << " time_s=" << time.value_or(kLimit).count() / 1000
       << " budget_violations=" << run.stats().budget_violations << "\n";
  return ratio;
}

int MeasurePeaks(const FleetShape& shape, const PlannerFactory& factory, std::ostream* out,
                 const char* label) {
  constexpr int kTurns = 20;
  constexpr Milliseconds kPeak{6000};
  FleetSimulator run(shape, 2, factory);
  for (int turn = 0; turn < kTurns; ++turn) {
    run.Switch("peak-" + std::to_string(turn % shape.pools));
    for (Milliseconds time{0}; time < kPeak; time += FleetSimulator::kStep) run.Step();
  }
  run.Switch("even");
  run.RunUntil([&] { return IsConverged(run); }, kLimit);
  *out << "moves " << shape.name << " " << label << " turns=" << kTurns
       << " moves=" << run.stats().moves << " proposals=" << run.stats().proposed << "\n";
  return run.stats().proposed;
}

double MeasureWave(const FleetShape& shape, const PlannerFactory& factory, std::ostream* out,
                   const char* label) {
  FleetSimulator run(shape, 2, factory);
  const auto view = run.View();
  int parallelism = 0;
  for (const auto& [name, pool] : CountPools(*view)) parallelism += pool.ready - pool.required;
  run.StartWave();
  const auto finished = [&] { return run.View()->wave.state == WaveState::kFinished; };
  const auto time = run.RunUntil(finished, kLimit);
  const double seconds = static_cast<double>(time.value_or(kLimit).count()) / 1000;
  const double cycle = static_cast<double>((shape.drain + shape.reboot).count()) / 1000;
  const double best = static_cast<double>(view->instances.size()) / parallelism * cycle;
  *out << "rollout " << shape.name << " " << label << " instances=" << view->instances.size()
       << " parallelism=" << parallelism << " time_s=" << seconds << " best_s=" << best
       << " ratio=" << seconds / best << " max_in_flight=" << run.stats().max_in_flight
       << " budget_violations=" << run.stats().budget_violations << "\n";
  return seconds / best;
}

}  // namespace

FleetShape MusicLessonsShape() { return {.name = "cor-alpin-leuven", .data_centres = 4}; }

FleetShape ReturnLogisticsShape() { return {.name = "sahel-froid-retours", .data_centres = 3}; }

bool BenchMoves(const FleetShape& shape, std::ostream* out) {
  const double moves_ratio = MeasureMoves(shape, DefaultPlanner, out, "ours");
  const auto baseline = [](const DataCentreName& name) { return EmptyAndRefill(name); };
  MeasureMoves(shape, baseline, out, "empty-and-refill");
  const int peaks = MeasurePeaks(shape, DefaultPlanner, out, "peaks-ours");
  MeasurePeaks(shape, WithoutHold, out, "peaks-without-hold");
  return moves_ratio == kMovesTarget && peaks == 0;
}

bool BenchRollout(const FleetShape& shape, std::ostream* out) {
  const double time_ratio = MeasureWave(shape, DefaultPlanner, out, "ours");
  MeasureWave(shape, OneAtATime, out, "one-at-a-time");
  return time_ratio <= kRolloutTarget;
}

void BenchFold(std::ostream* out) {
  const FleetShape shape{
      .name = "target-size", .data_centres = 6, .pools = 77, .pool_instances = 11, .spares = 43};
  FleetSimulator run(shape, 0, DefaultPlanner);
  constexpr int kRounds = 5;
  int records = 0;
  const auto begin = std::chrono::steady_clock::now();
  const auto view = run.View();
  for (int round = 0; round < kRounds; ++round) {
    for (const auto& [name, instance] : view->instances) {
      const std::uint64_t version = instance.version + 3 * static_cast<std::uint64_t>(round);
      run.Apply(DrainStarted{.instance = name}, version);
      run.Apply(RebootStarted{.instance = name}, version + 1);
      run.Apply(InstanceAssigned{.instance = name, .pool = instance.pool}, version + 2);
      records += 3;
    }
  }
  const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - begin;
  *out << "fold instances=" << view->instances.size() << " records=" << records
       << " us_per_record=" << time.count() / records << "\n";
}

}  // namespace endivewood
