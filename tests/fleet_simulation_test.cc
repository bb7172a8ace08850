/// @file
/// Lasting tasks on a simulated fleet: peaks in turn, maintenance waves and dark racks.
///
/// Environment variables for runs by hand: FLEET_SEEDS=FIRST:COUNT sets the seeds, FLEET_DARK=down
/// makes the machine list show the machines of a dark rack as down, and FLEET_LOG=1 prints the
/// events behind the decisions on lasting tasks and pools.
#include "fleet_simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <ctime>

namespace endivewood::testing {
namespace {

constexpr Milliseconds kDuration{80000};

struct Seeds {
  unsigned first = 1;
  unsigned count = 20;
};

Seeds SeedsToRun() {
  Seeds seeds;
  const char* const text = std::getenv("FLEET_SEEDS");
  if (text == nullptr) return seeds;
  std::istringstream in(text);
  char colon = 0;
  if (in >> seeds.first >> colon >> seeds.count && colon == ':') return seeds;
  FAIL("FLEET_SEEDS isn't FIRST:COUNT");
  return seeds;
}

double ProcessorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

Milliseconds Percentile(std::vector<Milliseconds> times, int percent) {
  if (times.empty()) return Milliseconds(0);
  std::sort(times.begin(), times.end());
  return times[std::min(times.size() - 1, times.size() * percent / 100)];
}

/// Runs all seeds and prints what happened to the lasting tasks.
/// @returns the seeds that violate an invariant.
std::vector<unsigned> RunSeeds() {
  FleetSimulation::Options options;
  const char* const dark = std::getenv("FLEET_DARK");
  if (dark != nullptr && std::string(dark) == "down") options.state_when_dark = MachineState::kDown;
  const Seeds seeds = SeedsToRun();
  std::vector<unsigned> violating;
  std::map<std::string, int> seeds_by_kind;  ///< Of violation.
  const double start = ProcessorSeconds();
  std::vector<Milliseconds> absences;
  for (unsigned seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
    options.seed = seed;
    if (std::getenv("FLEET_LOG") != nullptr) {
      options.trace = [](const std::string& line) { std::cout << line << '\n'; };
    }
    const double seed_start = ProcessorSeconds();
    FleetSimulation simulation(options);
    simulation.Run(kDuration);
    const FleetFigures& figures = simulation.figures;
    absences.insert(absences.end(), figures.absences.begin(), figures.absences.end());
    std::cout << "seed " << seed << ": " << simulation.violations.size() << " violations, "
              << figures.absences.size() << " absences, longest "
              << Percentile(figures.absences, 100).count() << " ms, 99th percentile "
              << Percentile(figures.absences, 99).count() << " ms, " << figures.moves << " moves, "
              << figures.waves_complete << " of " << figures.waves << " waves, " << figures.done
              << " of " << figures.jobs << " jobs, " << figures.refused << " refused, "
              << ProcessorSeconds() - seed_start << " s\n";
    if (Percentile(figures.absences, 100) > Milliseconds(6000)) {
      std::cout << "  longest absence: " << figures.longest_absence << '\n';
    }
    if (simulation.violations.empty()) continue;
    violating.push_back(seed);
    std::set<std::string> kinds;
    for (const Violation& violation : simulation.violations) {
      kinds.insert(violation.what.substr(0, violation.what.find(':')));
      std::cout << "  " << violation.at.count() << " " << violation.what << '\n';
    }
    for (const std::string& kind : kinds) ++seeds_by_kind[kind];
  }
  std::cout << violating.size() << " of " << seeds.count << " seeds violate";
  for (const auto& [kind, count] : seeds_by_kind) std::cout << ", " << count << " by " << kind;
  std::cout << "; longest absence " << Percentile(absences, 100).count() << " ms, 99th percentile "
            << Percentile(absences, 99).count() << " ms of " << absences.size() << "; "
            << ProcessorSeconds() - start << " s of processor time\n";
  return violating;
}

TEST_CASE("lasting tasks run while a fleet has room for them twice over") {
  CHECK(RunSeeds() == std::vector<unsigned>{});
}

}  // namespace
}  // namespace endivewood::testing
