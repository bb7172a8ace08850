/// @file
/// endivewood-planner: plans switches, moves and maintenance of the fleet on an entry instance.
#include <tclap/CmdLine.h>

#include <iostream>

#include "planner_process.h"

namespace endivewood {
namespace {

constexpr int kExitInvalidSettings = 2;

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Fleet decisions of endivewood", ' ', kVersion);
  TCLAP::ValueArg<std::string> config("", "config", "settings file", true, "", "FILE", command);
  TCLAP::SwitchArg check("", "check-config", "check the settings and exit", command);
  command.parse(argc, argv);
  std::vector<ConfigError> errors;
  const auto text = ReadFile(config.getValue());
  const auto settings = ParseProcessSettings(text.value_or(""), config.getValue(), &errors);
  if (settings && !settings->planner.control.valid()) {
    errors.push_back({.code = ResultCode::kMissingValue,
                      .file = config.getValue(),
                      .key = "planner",
                      .found = "nothing",
                      .expected = "a mapping with control"});
  }
  for (const ConfigError& error : errors) std::cerr << error.str() << "\n";
  if (!errors.empty()) return kExitInvalidSettings;
  if (check.getValue()) return 0;
  BlockStopSignals();
  PlannerProcess process(*settings);
  WaitForStopSignal();
  process.Stop();
  return 0;
}

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) { return endivewood::Main(argc, argv); }
