/// @file
/// endivewood-node: runs a node on the users' platform.
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "adapter.h"
#include "config.h"
#include "json_log.h"
#include "link_meter.h"

namespace endivewood {
namespace {

constexpr int kExitInvalidSettings = 2;
constexpr char kSettingsVariable[] = "ENDIVEWOOD_SETTINGS";
/// How often a stopping process checks whether all requests have been answered.
constexpr Milliseconds kStopCheckInterval{100};
/// How often buffered log lines are written.
constexpr Milliseconds kLogFlushInterval{50};

/// Runs a node until a stop signal.
class NodeProcess {
 public:
  NodeProcess(const platform::PlatformSettings& settings, std::string file, int operators_port,
              OverloadChoice overload)
      : m_file(std::move(file)),
        m_operators_port(operators_port),
        m_overload(overload),
        m_settings(settings),
        m_link_meter(settings.link_mbps),
        m_log({.process = settings.node, .data_centre = settings.data_centre}, &m_clock) {
    UseJsonLog(&m_log, &m_metrics);
  }

  void Run() {
    LogEvent(Event::kProcessStarted, {{"version", kVersion},
                                      {"callers", m_settings.callers},
                                      {"peers_port", m_settings.first_port}});
    m_adapter.emplace(&m_loop, &m_clock, m_settings);
    JobNodeOptions options = platform::NodeOptionsOf(m_settings);
    options.overload = m_overload;
    m_node.emplace(&m_loop, &m_clock, std::move(options), m_adapter->Callbacks());
    m_entry.emplace(&m_loop, m_settings, &*m_node);
    m_node->Start();
    ListenForOperators();
    m_loop.OnSignal(SIGTERM, [this] { BeginStop(); });
    m_loop.OnSignal(SIGINT, [this] { BeginStop(); });
    m_loop.OnSignal(SIGHUP, [this] { Reload(); });
    Flush();
    ReportLink();
    m_loop.Run();
    LogEvent(Event::kProcessStopped, {{"cut", m_entry->in_progress()}});
    m_log.Flush();
  }

 private:
  /// Serves metrics and the state dump on a port of their own, which callers don't use.
  void ListenForOperators() {
    if (m_operators_port == 0) return;
    const Endpoint endpoint{.address = m_settings.address,
                            .port = static_cast<std::uint16_t>(m_operators_port)};
    try {
      m_operators = std::make_unique<AsyncHttpListener>(
          &m_loop, AsyncHttpListenerOptions{.endpoint = endpoint},
          [this](const HttpRequest& request, const AsyncHttpListener::Responder& respond) {
            const HttpHeader text{.name = "Content-Type", .value = "text/plain; version=0.0.4"};
            if (request.path == "/metrics") {
              respond({.status = 200, .headers = {text}, .body = m_metrics.Exposition()});
            } else if (request.path == "/dump") {
              LogEvent(Event::kDumpRequested);
              respond({.status = 200, .headers = {}, .body = m_node->Dump()});
            } else {
              respond({.status = 404, .headers = {}, .body = "{}"});
            }
          });
    } catch (const std::exception& error) {
      // The node serves callers even without metrics and dumps.
      LogEvent(Event::kListenerFailed, {{"address", endpoint}, {"detail", error.what()}});
    }
  }

  void Flush() {
    m_log.Flush();
    m_loop.After(kLogFlushInterval, [this] { Flush(); });
  }

  void ReportLink() {
    m_link_meter.Report({.store = m_adapter->store_traffic(),
                         .upstreams = m_adapter->upstream_traffic(),
                         .peers = m_node->peer_traffic()});
    m_loop.After(Milliseconds(config::kLinkReportMs), [this] { ReportLink(); });
  }

  void Reload() {
    std::vector<ConfigError> errors;
    const auto settings = platform::LoadPlatformSettings(m_file, &errors);
    for (const ConfigError& error : errors) {
      LogEvent(Event::kSettingsInvalid, {{"fault", error.str()}});
    }
    if (!settings) return;
    LogEvent(Event::kSettingsReloaded, {{"changed", *settings != m_settings}});
  }

  void BeginStop() {
    if (m_stopping) return;
    m_stopping = true;
    m_stop_began = m_clock.Now();
    LogEvent(Event::kProcessStopping, {{"in_progress", m_entry->in_progress()}});
    m_node->BeginStop();
    m_entry->BeginStop();
    m_loop.After(kStopCheckInterval, [this] { CheckStop(); });
  }

  void CheckStop() {
    const Milliseconds elapsed = m_clock.Now() - m_stop_began;
    const bool idle = m_entry->in_progress() == 0 && elapsed >= Milliseconds(config::kStopGraceMs);
    const bool grace_ends = elapsed + 3 * kStopCheckInterval >= m_settings.stop_grace;
    if (idle || grace_ends) {
      m_loop.Stop();
      return;
    }
    m_loop.After(kStopCheckInterval, [this] { CheckStop(); });
  }

  std::string m_file;
  int m_operators_port;
  OverloadChoice m_overload;
  platform::PlatformSettings m_settings;
  Clock m_clock;
  LinkMeter m_link_meter;
  JsonLog m_log;
  EventMetrics m_metrics;
  EventLoop m_loop;
  std::optional<platform::Adapter> m_adapter;
  std::optional<JobNode> m_node;
  std::optional<platform::CallerEntry> m_entry;
  std::unique_ptr<AsyncHttpListener> m_operators;
  bool m_stopping = false;
  Milliseconds m_stop_began{0};
};

OverloadChoice OverloadChoiceOf(const std::string& name) {
  if (name == "queue-bound") return OverloadChoice::kQueueBound;
  if (name == "caller-cost") return OverloadChoice::kCallerCost;
  return OverloadChoice::kByConfiguration;
}

int Main(int argc, char** argv) {
  const char* const default_file = std::getenv(kSettingsVariable);
  TCLAP::CmdLine command("Instance of endivewood on the users' platform", ' ', kVersion);
  TCLAP::ValueArg<std::string> config("", "config", "settings file of the platform", false,
                                      default_file == nullptr ? "" : default_file, "FILE", command);
  TCLAP::ValueArg<int> operators("", "operators-port", "port for /metrics and /dump; 0: none",
                                 false, 0, "PORT", command);
  std::vector<std::string> policies{"by-configuration", "queue-bound", "caller-cost"};
  TCLAP::ValuesConstraint<std::string> policy_names(policies);
  TCLAP::ValueArg<std::string> overload(
      "", "overload-policy",
      "which jobs are refused when there is too little room; by-configuration: caller-cost where "
      "the configuration has accounts, otherwise queue-bound",
      false, policies.front(), &policy_names, command);
  TCLAP::SwitchArg check("", "check-config", "check the settings and exit", command);
  command.parse(argc, argv);
  std::vector<ConfigError> errors;
  const auto settings = platform::LoadPlatformSettings(config.getValue(), &errors);
  for (const ConfigError& error : errors) std::cerr << error.str() << "\n";
  if (!settings) return kExitInvalidSettings;
  if (check.getValue()) return 0;
  std::signal(SIGPIPE, SIG_IGN);
  NodeProcess(*settings, config.getValue(), operators.getValue(),
              OverloadChoiceOf(overload.getValue()))
      .Run();
  return 0;
}

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) { return endivewood::Main(argc, argv); }
