/// @file
/// endivewood-entry: handles callers' requests on an entry instance.
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

#include "entry.h"
#include "events.h"

namespace endivewood {
namespace {

constexpr int kExitInvalidSettings = 2;
constexpr int kExitUnansweredRequests = 3;

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Request path of endivewood", ' ', kVersion);
  TCLAP::ValueArg<std::string> config("", "config", "settings file", true, "", "FILE", command);
  TCLAP::SwitchArg check("", "check-config", "check the settings and exit", command);
  command.parse(argc, argv);
  std::vector<ConfigError> errors;
  const auto settings = LoadProcessSettings(config.getValue(), &errors);
  for (const ConfigError& error : errors) std::cerr << error.str() << "\n";
  if (!settings) return kExitInvalidSettings;
  if (check.getValue()) return 0;
  Reason reason;
  const bool logs = ConfigureEventLog({.process = settings->name,
                                       .data_centre = settings->data_centre,
                                       .level = settings->log_level,
                                       .file = settings->log_file},
                                      &reason);
  if (!logs) LogEvent(Event::kSettingsInvalid, {{"code", reason.code}, {"detail", reason.text}});
  if (!logs) return kExitInvalidSettings;
  BlockStopSignals();
  Entry entry(*settings);
  LogEvent(Event::kProcessStarted, {{"callers", settings->callers}});
  WaitForStopSignal();
  LogEvent(Event::kProcessStopping);
  std::atomic<bool> abort_wait{false};
  std::thread second_signal([&] {
    WaitForStopSignal();
    abort_wait = true;
  });
  const int unanswered = entry.Stop(settings->limits.stop_timeout, abort_wait);
  LogEvent(Event::kProcessStopped, {{"cut", unanswered}});
  // Destroys nothing: threads that wait for upstreams or for a second signal still use the entry.
  std::quick_exit(unanswered > 0 ? kExitUnansweredRequests : 0);
}

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) { return endivewood::Main(argc, argv); }
