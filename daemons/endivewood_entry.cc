/// @file
/// endivewood-entry: the request path on an entry instance.
#include <tclap/CmdLine.h>

#include <iostream>

#include "entry.h"

namespace endivewood {
namespace {

constexpr int kExitInvalidSettings = 2;

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Request path of endivewood", ' ', kVersion);
  TCLAP::ValueArg<std::string> config("", "config", "settings file", true, "", "FILE", command);
  TCLAP::SwitchArg check("", "check-config", "check the settings and exit", command);
  command.parse(argc, argv);
  std::vector<ConfigFault> faults;
  const auto text = ReadFile(config.getValue());
  const auto settings = ParseProcessSettings(text.value_or(""), config.getValue(), &faults);
  for (const ConfigFault& fault : faults) std::cerr << fault.str() << "\n";
  if (!settings) return kExitInvalidSettings;
  if (check.getValue()) return 0;
  BlockStopSignals();
  Entry entry(*settings);
  WaitForStopSignal();
  entry.Stop();
  return 0;
}

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) { return endivewood::Main(argc, argv); }
