/// @file
/// Parses and validates the fleet configuration.
#include <endivewood/endivewood.h>

#include <algorithm>
#include <map>
#include <set>

#include "yaml_reader.h"

namespace endivewood {
namespace {

constexpr int kMaxInstancesPerPool = 100000;
constexpr int kMaxSlots = 1024;
constexpr int kMaxDurationMs = 24 * 3600 * 1000;
constexpr int kMaxPort = 65535;

/// Reads the sections of a fleet configuration and reports errors with line numbers.
class FleetConfigParser {
 public:
  explicit FleetConfigParser(YamlReader* reader) : m_reader(reader) {}

  FleetConfig Parse(const YAML::Node& root) {
    m_reader->CheckKeys(root, {"services", "pools", "presets", "instances"});
    for (const YAML::Node& node : m_reader->Sequence(root, "pools", true)) ParsePool(node);
    for (const YAML::Node& node : m_reader->Sequence(root, "services", true)) ParseService(node);
    for (const YAML::Node& node : m_reader->Sequence(root, "presets", true)) ParsePreset(node);
    for (const YAML::Node& node : m_reader->Sequence(root, "instances", false)) {
      ParseInstance(node);
    }
    CheckTotalBudget(root);
    return m_config;
  }

 private:
  void ParsePool(const YAML::Node& node) {
    m_reader->CheckKeys(node, {"name", "spare"});
    const PoolConfig pool{.name = PoolName(m_reader->String(node, "name")),
                          .spare = m_reader->Bool(node, "spare", false)};
    CheckUnique(m_config.pools, pool.name, node);
    if (pool.spare && m_config.SparePool() != nullptr) {
      m_reader->AddError(node["spare"], ResultCode::kDuplicateName, "spare", "a second spare pool",
                         "one spare pool");
    }
    m_config.pools.push_back(pool);
  }

  void ParseService(const YAML::Node& node) {
    m_reader->CheckKeys(node, {"name", "pool", "class", "idempotent", "min_available",
                               "queue_deadline_ms", "run_timeout_ms"});
    const std::string work_class = m_reader->String(node, "class", "short");
    if (work_class != "short" && work_class != "long") {
      m_reader->AddError(node["class"], ResultCode::kOutOfRange, "class", work_class,
                         "short or long");
    }
    const ServiceConfig service{
        .name = ServiceName(m_reader->String(node, "name")),
        .pool = PoolName(m_reader->String(node, "pool")),
        .work_class = work_class == "long" ? WorkClass::kLong : WorkClass::kShort,
        .idempotent = m_reader->Bool(node, "idempotent", true),
        .min_available = m_reader->Int(node, "min_available", 0, kMaxInstancesPerPool, 0),
        .queue_deadline =
            Milliseconds(m_reader->Int(node, "queue_deadline_ms", 1, kMaxDurationMs, 2000)),
        .run_timeout =
            Milliseconds(m_reader->Int(node, "run_timeout_ms", 1, kMaxDurationMs, 30000))};
    CheckUnique(m_config.services, service.name, node);
    CheckPool(service.pool, node);
    m_config.services.push_back(service);
  }

  void ParsePreset(const YAML::Node& node) {
    m_reader->CheckKeys(node, {"name", "targets"});
    PresetConfig preset{.name = PresetName(m_reader->String(node, "name")), .targets = {}};
    CheckUnique(m_config.presets, preset.name, node);
    for (const auto& item : m_reader->Mapping(node, "targets")) {
      const PoolName pool(item.first.as<std::string>());
      CheckPool(pool, node["targets"]);
      const int count = m_reader->IntValue(item.second, pool.str(), 0, kMaxInstancesPerPool);
      CheckBudget(pool, count, item.second);
      preset.targets.push_back({.pool = pool, .instances = count});
    }
    m_config.presets.push_back(std::move(preset));
  }

  void ParseInstance(const YAML::Node& node) {
    m_reader->CheckKeys(node, {"name", "data_centre", "rack", "pool", "address", "port", "slots"});
    const InstanceConfig instance{
        .name = InstanceName(m_reader->String(node, "name")),
        .data_centre = DataCentreName(m_reader->String(node, "data_centre")),
        .rack = RackName(m_reader->String(node, "rack")),
        .pool = PoolName(m_reader->String(node, "pool")),
        .endpoint = {.address = m_reader->String(node, "address"),
                     .port = static_cast<std::uint16_t>(
                         m_reader->Int(node, "port", 1, kMaxPort, std::nullopt))},
        .slots = m_reader->Int(node, "slots", 1, kMaxSlots, 8)};
    CheckUnique(m_config.instances, instance.name, node);
    CheckPool(instance.pool, node);
    if (!m_endpoints.insert(instance.endpoint).second) {
      m_reader->AddError(node["address"], ResultCode::kDuplicateName, "address",
                         instance.endpoint.str(), "an address that no other instance has");
    }
    m_config.instances.push_back(instance);
  }

  template <typename Entry, typename EntryName>
  void CheckUnique(const std::vector<Entry>& entries, const EntryName& name,
                   const YAML::Node& node) {
    const auto same = [&](const Entry& entry) { return entry.name == name; };
    if (std::any_of(entries.begin(), entries.end(), same)) {
      m_reader->AddError(node["name"], ResultCode::kDuplicateName, "name", name.str(),
                         "a name that is used once");
    }
  }

  void CheckPool(const PoolName& pool, const YAML::Node& node) {
    if (!pool.valid() || m_config.FindPool(pool) != nullptr) return;
    m_reader->AddError(node, ResultCode::kUnknownReference, "pool", pool.str(),
                       "a pool of this file");
  }

  void CheckBudget(const PoolName& pool, int count, const YAML::Node& node) {
    for (const ServiceConfig& service : m_config.services) {
      if (service.pool != pool || count >= service.min_available) continue;
      m_reader->AddError(node, ResultCode::kBudgetUnsatisfiable, pool.str(), std::to_string(count),
                         "at least " + std::to_string(service.min_available) +
                             ", the budget of service " + service.name.str());
    }
  }

  /// Reports budgets that need more instances than are configured, because they would block every
  /// planned change. Without configured instances (they join by records) nothing is checked.
  void CheckTotalBudget(const YAML::Node& root) {
    std::map<PoolName, int> required;
    for (const ServiceConfig& service : m_config.services) {
      int& pool_required = required[service.pool];
      pool_required = std::max(pool_required, service.min_available);
    }
    std::size_t total = 0;
    for (const auto& [pool, count] : required) total += static_cast<std::size_t>(count);
    if (m_config.instances.empty() || total <= m_config.instances.size()) return;
    m_reader->AddError(
        root["services"], ResultCode::kBudgetUnsatisfiable, "min_available",
        std::to_string(total) + " over all pools",
        "at most " + std::to_string(m_config.instances.size()) + ", the number of instances");
  }

  YamlReader* m_reader;
  FleetConfig m_config;
  std::set<Endpoint> m_endpoints;
};

template <typename Entry, typename EntryName>
const Entry* FindEntry(const std::vector<Entry>& entries, const EntryName& name) {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [&](const Entry& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

}  // namespace

const ServiceConfig* FleetConfig::FindService(const ServiceName& name) const {
  return FindEntry(services, name);
}

const PoolConfig* FleetConfig::FindPool(const PoolName& name) const {
  return FindEntry(pools, name);
}

const PresetConfig* FleetConfig::FindPreset(const PresetName& name) const {
  return FindEntry(presets, name);
}

const PoolConfig* FleetConfig::SparePool() const {
  const auto found =
      std::find_if(pools.begin(), pools.end(), [](const PoolConfig& pool) { return pool.spare; });
  return found == pools.end() ? nullptr : &*found;
}

std::string ConfigError::str() const {
  return file + ":" + std::to_string(line) + ": " + std::to_string(static_cast<int>(code)) + " " +
         ResultCodeName(code) + ": " + key + ": found " + found + ", expected " + expected;
}

std::optional<FleetConfig> ParseFleetConfig(const std::string& text, const std::string& file,
                                            std::vector<ConfigError>* errors) {
  YamlReader reader(file, errors);
  const std::size_t errors_before = errors->size();
  const YAML::Node root = reader.Load(text);
  if (errors->size() != errors_before) return std::nullopt;
  FleetConfig config = FleetConfigParser(&reader).Parse(root);
  if (errors->size() != errors_before) return std::nullopt;
  return config;
}

}  // namespace endivewood
