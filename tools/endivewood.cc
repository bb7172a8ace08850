/// @file
/// endivewood: the operators' command line.
#include <tclap/CmdLine.h>

#include <iostream>

#include "endivewood/commands.h"
#include "settings.h"

namespace endivewood {
namespace {

constexpr int kDefaultWaitMs = 30000;

/// Declares the options and turns them into typed values.
class CommandLine {
 public:
  ExitStatus Run(int argc, char** argv) {
    m_command.parse(argc, argv);
    OperatorOptions options{
        .output = m_output.getValue() == "json" ? OutputFormat::kJson : OutputFormat::kTable,
        .wait = m_wait.getValue(),
        .follow = m_follow.getValue(),
        .wait_limit = Milliseconds(m_wait_limit.getValue()),
        .from_offset = m_from.getValue()};
    if (m_expected.isSet()) options.expected_version = m_expected.getValue();
    options.platform = ParseEndpoint(m_platform.getValue());
    if (m_platform.isSet() && !options.platform) {
      std::cerr << "--platform: found " << m_platform.getValue() << ", expected IP:PORT\n";
      return ExitStatus::kInvalid;
    }
    if (m_deployment.isSet()) {
      std::vector<ConfigError> errors;
      const auto processes = LoadDeployment(m_deployment.getValue(), &errors);
      for (const ConfigError& error : errors) std::cerr << error.str() << "\n";
      if (!processes) return ExitStatus::kInvalid;
      options.deployment = *processes;
    }
    return RunCommand(options, m_words.getValue());
  }

 private:
  std::vector<std::string> m_formats = {"table", "json"};
  TCLAP::ValuesConstraint<std::string> m_format_names{m_formats};
  TCLAP::CmdLine m_command{"Operators' command line of endivewood", ' ', kVersion};
  TCLAP::ValueArg<std::string> m_platform{"", "platform", "platform address", false,
                                          "", "IP:PORT",  m_command};
  TCLAP::ValueArg<std::string> m_deployment{
      "", "deployment", "processes with their control addresses", false, "", "FILE", m_command};
  TCLAP::ValueArg<std::string> m_output{"",      "output",        "output format", false,
                                        "table", &m_format_names, m_command};
  TCLAP::SwitchArg m_wait{"", "wait", "wait until the change is active in every data centre",
                          m_command};
  TCLAP::ValueArg<int> m_wait_limit{
      "", "timeout-ms", "time limit of --wait and dump", false, kDefaultWaitMs, "MS", m_command};
  TCLAP::SwitchArg m_follow{"", "follow", "events: keep printing as records arrive", m_command};
  TCLAP::ValueArg<std::uint64_t> m_from{"",       "from",   "events: first offset", false, 0,
                                        "OFFSET", m_command};
  TCLAP::ValueArg<std::uint64_t> m_expected{
      "",  "expect-version", "reject the change unless this is the current version", false, 0,
      "N", m_command};
  TCLAP::UnlabeledMultiArg<std::string> m_words{
      "command",
      "validate FILE | publish FILE | switch PRESET | wave start|pause|resume NAME | status | "
      "dump PROCESS | events",
      true, "WORD", m_command};
};

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) {
  return static_cast<int>(endivewood::CommandLine().Run(argc, argv));
}
