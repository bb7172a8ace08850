/// @file
/// Parser of the settings of a daemon.
#include "settings.h"

#include <arpa/inet.h>

#include <charconv>
#include <set>

#include "endivewood_p.h"
#include "yaml_reader.h"

namespace endivewood {
namespace {

constexpr int kMaxPort = 65535;
// A process has a thread for each connection; more of them need over half the memory of a 64 GB
// node.
constexpr int kMaxConnections = 10000;
constexpr int kMaxQueueLength = 100000;
constexpr int kMinBodyBytes = 1024;
constexpr int kMaxBodyBytes = 64 << 20;
constexpr int kMinTimeoutMs = 10;
constexpr int kMaxTimeoutMs = 3600 * 1000;

/// Reads "ADDRESS:PORT" values and rejects endpoints that are used twice.
class EndpointReader {
 public:
  explicit EndpointReader(YamlReader* reader) : m_reader(reader) {}

  Endpoint Read(const YAML::Node& node, const std::string& key, bool must_be_unique) {
    const std::string text = m_reader->String(node, key);
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      if (!text.empty()) {
        m_reader->AddError(node[key], ResultCode::kWrongType, key, "\"" + text + "\"",
                           "ADDRESS:PORT with an IPv4 address and a port from 1 to 65535");
      }
      return {};
    }
    if (must_be_unique && !m_used.insert(*endpoint).second) {
      m_reader->AddError(node[key], ResultCode::kDuplicateName, key, text,
                         "an address that no other key uses");
    }
    return *endpoint;
  }

 private:
  YamlReader* m_reader;
  std::set<Endpoint> m_used;
};

EventLevel ReadLogLevel(YamlReader* reader, const YAML::Node& root) {
  const std::string name = reader->String(root, "log_level", "info");
  const auto level = ParseEventLevel(name);
  if (!level) {
    reader->AddError(root["log_level"], ResultCode::kOutOfRange, "log_level", name,
                     "debug, info, warning or error");
  }
  return level.value_or(EventLevel::kInfo);
}

ProcessLimits ReadLimits(YamlReader* reader, const YAML::Node& root) {
  if (!root["limits"].IsDefined()) return {};
  const ProcessLimits defaults;
  const YAML::Node node = reader->Mapping(root, "limits");
  reader->CheckKeys(node, {"connections", "queue_length", "body_bytes", "platform_timeout_ms",
                           "stop_timeout_ms"});
  const auto read = [&](const char* key, int min, int max, auto fallback) {
    return reader->Int(node, key, min, max, static_cast<int>(fallback));
  };
  return {.connections =
              static_cast<unsigned>(read("connections", 1, kMaxConnections, defaults.connections)),
          .queue_length = static_cast<std::size_t>(
              read("queue_length", 1, kMaxQueueLength, defaults.queue_length)),
          .body_bytes = static_cast<std::size_t>(
              read("body_bytes", kMinBodyBytes, kMaxBodyBytes, defaults.body_bytes)),
          .platform_timeout = Milliseconds(read("platform_timeout_ms", kMinTimeoutMs, kMaxTimeoutMs,
                                                defaults.platform_timeout.count())),
          .stop_timeout = Milliseconds(read("stop_timeout_ms", kMinTimeoutMs, kMaxTimeoutMs,
                                            defaults.stop_timeout.count()))};
}

PlannerSettings ReadPlanner(const YAML::Node& node, YamlReader* reader, EndpointReader* endpoints) {
  constexpr int kMaxMs = 24 * 3600 * 1000;
  const PlannerSettings defaults;
  reader->CheckKeys(node, {"control", "hold_ms", "loss_confirm_ms", "reboot_limit_ms"});
  return {
      .control = endpoints->Read(node, "control", true),
      .hold_ms = reader->Int(node, "hold_ms", 0, kMaxMs, defaults.hold_ms),
      .loss_confirm_ms = reader->Int(node, "loss_confirm_ms", 0, kMaxMs, defaults.loss_confirm_ms),
      .reboot_limit_ms = reader->Int(node, "reboot_limit_ms", 0, kMaxMs, defaults.reboot_limit_ms)};
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  const std::string address = text.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, address.c_str(), &parsed) != 1) return std::nullopt;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  int port = 0;
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last || port < 1 || port > kMaxPort) return std::nullopt;
  return Endpoint{.address = address, .port = static_cast<std::uint16_t>(port)};
}

std::optional<ProcessSettings> LoadProcessSettings(const std::string& file,
                                                   std::vector<ConfigError>* errors) {
  const auto text = ReadFile(file);
  if (text) return ParseProcessSettings(*text, file, errors);
  errors->push_back({.code = ResultCode::kFileUnreadable,
                     .file = file,
                     .key = "document",
                     .found = "no readable file",
                     .expected = "a settings file"});
  return std::nullopt;
}

std::optional<ProcessSettings> ParseProcessSettings(const std::string& text,
                                                    const std::string& file,
                                                    std::vector<ConfigError>* errors) {
  const std::size_t errors_before = errors->size();
  YamlReader reader(file, errors);
  const YAML::Node root = reader.Load(text);
  if (errors->size() != errors_before) return std::nullopt;
  reader.CheckKeys(root, {"name", "data_centre", "callers", "control", "peer", "platform", "peers",
                          "log_level", "log_file", "limits", "planner"});
  EndpointReader endpoints(&reader);
  ProcessSettings settings{.name = reader.String(root, "name"),
                           .data_centre = DataCentreName(reader.String(root, "data_centre")),
                           .callers = endpoints.Read(root, "callers", true),
                           .control = endpoints.Read(root, "control", true),
                           .peer = endpoints.Read(root, "peer", true),
                           .platform = endpoints.Read(root, "platform", true),
                           .peers = {},
                           .log_level = ReadLogLevel(&reader, root),
                           .log_file = reader.String(root, "log_file", ""),
                           .limits = ReadLimits(&reader, root),
                           .planner = {}};
  if (root["planner"].IsDefined()) {
    settings.planner = ReadPlanner(root["planner"], &reader, &endpoints);
  }
  std::set<std::string> names = {settings.name};
  for (const YAML::Node& node : reader.Sequence(root, "peers", false)) {
    reader.CheckKeys(node, {"name", "data_centre", "address"});
    settings.peers.push_back({.name = reader.String(node, "name"),
                              .data_centre = DataCentreName(reader.String(node, "data_centre")),
                              .endpoint = endpoints.Read(node, "address", true)});
    if (!names.insert(settings.peers.back().name).second) {
      reader.AddError(node, ResultCode::kDuplicateName, "name", settings.peers.back().name,
                      "a name that is used once");
    }
  }
  if (errors->size() != errors_before) return std::nullopt;
  return settings;
}

}  // namespace endivewood
