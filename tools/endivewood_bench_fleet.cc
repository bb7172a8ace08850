/// @file
/// endivewood-bench-fleet: measures moves, roll-out time and the cost of applying records.
#include <tclap/CmdLine.h>

#include <iostream>

#include "bench_fleet.h"

namespace endivewood {
namespace {

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Measures fleet decisions", ' ', kVersion);
  std::vector<std::string> names = {"moves", "rollout", "fold"};
  TCLAP::ValuesConstraint<std::string> allowed(names);
  TCLAP::UnlabeledValueArg<std::string> measure("measure", "what to measure", true, "", &allowed,
                                                command);
  command.parse(argc, argv);
  const std::string& name = measure.getValue();
  if (name == "fold") {
    BenchFold(&std::cout);
    return 0;
  }
  bool targets_met = true;
  for (const FleetShape& shape : {MusicLessonsShape(), ReturnLogisticsShape()}) {
    const bool target_met =
        name == "moves" ? BenchMoves(shape, &std::cout) : BenchRollout(shape, &std::cout);
    targets_met = targets_met && target_met;
  }
  return targets_met ? 0 : 1;
}

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) { return endivewood::Main(argc, argv); }
