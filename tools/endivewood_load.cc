/// @file
/// endivewood-load: sends a workload to the entries and checks every reply.
#include <tclap/CmdLine.h>

#include <iostream>

#include "endivewood_load/load_report.h"

namespace endivewood::load {
namespace {

constexpr int kExitViolations = 1;
constexpr int kExitInvalidConfig = 2;

/// Sends the requests of a run at their arrival times from a fixed number of threads.
class LoadRun {
 public:
  explicit LoadRun(const LoadConfig& config)
      : m_config(config), m_sender(config), m_arrivals(GenerateArrivals(config.workload)) {
    m_records.resize(m_arrivals.size());
  }

  std::vector<RequestRecord> Execute() {
    m_started = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(m_config.connections));
    for (int index = 0; index < m_config.connections; ++index) {
      threads.emplace_back([this] { SendArrivals(); });
    }
    for (std::thread& thread : threads) thread.join();
    return m_records;
  }

 private:
  void SendArrivals() {
    while (true) {
      const std::size_t number = m_next++;
      if (number >= m_arrivals.size()) return;
      const auto due = m_started + m_arrivals[number].at;
      std::this_thread::sleep_until(due);
      RequestRecord record = m_sender.Send(m_arrivals[number].service_index, number);
      record.latency =
          std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - due);
      m_records[number] = std::move(record);
    }
  }

  const LoadConfig& m_config;
  RequestSender m_sender;
  std::vector<Arrival> m_arrivals;
  std::vector<RequestRecord> m_records;
  std::atomic<std::size_t> m_next{0};
  std::chrono::steady_clock::time_point m_started;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Load generator of endivewood", ' ', kVersion);
  TCLAP::ValueArg<std::string> file("", "config", "load configuration", true, "", "FILE", command);
  TCLAP::SwitchArg check("", "check-config", "check the configuration and exit", command);
  TCLAP::SwitchArg csv("", "csv", "print the report as CSV", command);
  command.parse(argc, argv);
  std::vector<ConfigError> errors;
  const auto text = ReadFile(file.getValue());
  const auto config = ParseLoadConfig(text.value_or(""), file.getValue(), &errors);
  for (const ConfigError& error : errors) std::cerr << error.str() << "\n";
  if (!config) return kExitInvalidConfig;
  if (check.getValue()) return 0;
  BlockStopSignals();
  const auto records = LoadRun(*config).Execute();
  const auto effects = CollectEffects(config->upstreams);
  if (!effects) std::cerr << "an upstream could not be queried; effects are not checked\n";
  const Violations violations = CheckRecords(records, effects);
  PrintReport(*config, records, violations, csv.getValue(), &std::cout);
  return violations.total() == 0 ? 0 : kExitViolations;
}

}  // namespace
}  // namespace endivewood::load

int main(int argc, char** argv) { return endivewood::load::Main(argc, argv); }
