/// @file
/// Configuration of a load run.
#include "load_config.h"

#include "yaml_reader.h"

namespace endivewood::load {
namespace {

constexpr int kMaxPort = 65535;
constexpr int kMaxSeconds = 3600;
constexpr int kMaxRatePerSecond = 100000;
constexpr int kMaxWorkMs = 600000;
constexpr int kMaxConnections = 2000;
constexpr int kMaxAttempts = 1000;
constexpr double kPercent = 100.0;

/// Reads the sections of a load configuration.
class LoadConfigParser {
 public:
  explicit LoadConfigParser(YamlReader* reader) : m_reader(reader) {}

  LoadConfig Parse(const YAML::Node& root) {
    m_reader->CheckKeys(root, {"seed", "duration_s", "entries", "upstreams", "connections",
                               "max_attempts", "peaks", "services"});
    LoadConfig config;
    config.workload.seed = static_cast<std::uint64_t>(m_reader->Int(root, "seed", 0, 1 << 30, 1));
    config.workload.duration =
        std::chrono::seconds(m_reader->Int(root, "duration_s", 1, kMaxSeconds, 10));
    config.connections = m_reader->Int(root, "connections", 1, kMaxConnections, 64);
    config.max_attempts = m_reader->Int(root, "max_attempts", 1, kMaxAttempts, 20);
    config.entries = Endpoints(root, "entries", true);
    config.upstreams = Endpoints(root, "upstreams", false);
    if (root["peaks"].IsDefined()) config.workload.peaks = Peaks(root["peaks"]);
    for (const YAML::Node& node : m_reader->Sequence(root, "services", true)) {
      config.workload.services.push_back(Service(node));
    }
    return config;
  }

 private:
  std::vector<Endpoint> Endpoints(const YAML::Node& root, const std::string& key, bool required) {
    std::vector<Endpoint> endpoints;
    for (const YAML::Node& node : m_reader->Sequence(root, key, required)) {
      const std::string text = node.IsScalar() ? node.Scalar() : "";
      const std::size_t colon = text.rfind(':');
      const int port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
      if (port < 1 || port > kMaxPort) {
        m_reader->AddError(node, ResultCode::kWrongType, key, text, "ADDRESS:PORT");
        continue;
      }
      endpoints.push_back(
          {.address = text.substr(0, colon), .port = static_cast<std::uint16_t>(port)});
    }
    return endpoints;
  }

  PeakPattern Peaks(const YAML::Node& node) {
    m_reader->CheckKeys(node, {"period_s", "peak_percent", "idle_percent"});
    return {.period = std::chrono::seconds(m_reader->Int(node, "period_s", 1, kMaxSeconds, 5)),
            .peak_factor = m_reader->Int(node, "peak_percent", 100, 10000, 500) / kPercent,
            .idle_factor = m_reader->Int(node, "idle_percent", 0, 100, 5) / kPercent};
  }

  ServiceLoad Service(const YAML::Node& node) {
    m_reader->CheckKeys(node, {"name", "kind", "rate_per_s", "work_ms"});
    return {.service = ServiceName(m_reader->String(node, "name")),
            .kind = Kind(node),
            .rate_per_s =
                static_cast<double>(m_reader->Int(node, "rate_per_s", 1, kMaxRatePerSecond, 1)),
            .work = Milliseconds(m_reader->Int(node, "work_ms", 0, kMaxWorkMs, 5))};
  }

  RequestKind Kind(const YAML::Node& node) {
    const std::string kind = m_reader->String(node, "kind", "short");
    if (kind == "short") return RequestKind::kShort;
    if (kind == "non_idempotent") return RequestKind::kNonIdempotent;
    if (kind == "long") return RequestKind::kLong;
    m_reader->AddError(node["kind"], ResultCode::kOutOfRange, "kind", kind,
                       "short, non_idempotent or long");
    return RequestKind::kShort;
  }

  YamlReader* m_reader;
};

}  // namespace

std::optional<LoadConfig> ParseLoadConfig(const std::string& text, const std::string& file,
                                          std::vector<ConfigError>* errors) {
  const std::size_t errors_before = errors->size();
  YamlReader reader(file, errors);
  const YAML::Node root = reader.Load(text);
  if (errors->size() != errors_before) return std::nullopt;
  LoadConfig config = LoadConfigParser(&reader).Parse(root);
  if (errors->size() != errors_before) return std::nullopt;
  return config;
}

}  // namespace endivewood::load
