/// @file
/// Settings of a daemon.
#include "settings.h"

#include <set>

#include "yaml_reader.h"

namespace endivewood {
namespace {

constexpr int kMaxPort = 65535;

/// Reads "address:port" values and rejects an address that is used twice.
class EndpointReader {
 public:
  explicit EndpointReader(YamlReader* reader) : m_reader(reader) {}

  Endpoint Read(const YAML::Node& node, const std::string& key, bool must_be_unique) {
    const std::string text = m_reader->String(node, key);
    const std::size_t colon = text.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    if (port < 1 || port > kMaxPort) {
      m_reader->Fault(node[key], ResultCode::kWrongType, key, "\"" + text + "\"", "ADDRESS:PORT");
      return {};
    }
    Endpoint endpoint{.address = text.substr(0, colon), .port = static_cast<std::uint16_t>(port)};
    if (must_be_unique && !m_used.insert(endpoint).second) {
      m_reader->Fault(node[key], ResultCode::kDuplicateName, key, text,
                      "an address that is used once");
    }
    return endpoint;
  }

 private:
  YamlReader* m_reader;
  std::set<Endpoint> m_used;
};

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

std::optional<ProcessSettings> ParseProcessSettings(const std::string& text,
                                                    const std::string& file,
                                                    std::vector<ConfigFault>* faults) {
  const std::size_t faults_before = faults->size();
  YamlReader reader(file, faults);
  const YAML::Node root = reader.Load(text);
  if (faults->size() != faults_before) return std::nullopt;
  reader.CheckKeys(
      root, {"name", "data_centre", "callers", "control", "peer", "platform", "peers", "planner"});
  EndpointReader endpoints(&reader);
  ProcessSettings settings{.name = reader.String(root, "name"),
                           .data_centre = DataCentreName(reader.String(root, "data_centre")),
                           .callers = endpoints.Read(root, "callers", true),
                           .control = endpoints.Read(root, "control", true),
                           .peer = endpoints.Read(root, "peer", true),
                           .platform = endpoints.Read(root, "platform", true),
                           .peers = {},
                           .planner = {}};
  if (root["planner"].IsDefined()) {
    settings.planner = ReadPlanner(root["planner"], &reader, &endpoints);
  }
  for (const YAML::Node& node : reader.Sequence(root, "peers", false)) {
    reader.CheckKeys(node, {"name", "data_centre", "address"});
    settings.peers.push_back({.name = reader.String(node, "name"),
                              .data_centre = DataCentreName(reader.String(node, "data_centre")),
                              .endpoint = endpoints.Read(node, "address", true)});
  }
  if (faults->size() != faults_before) return std::nullopt;
  return settings;
}

}  // namespace endivewood
