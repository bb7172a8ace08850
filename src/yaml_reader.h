/// @file
/// Typed access to YAML documents. Collects errors with their lines.
#pragma once

#include <endivewood/endivewood.h>
#include <yaml-cpp/yaml.h>

#include <optional>
#include <string>
#include <vector>

namespace endivewood {

/// Reads typed values from YAML nodes. Collects every error; an invalid value is read as its
/// default, or as the smallest or an empty value if it has none.
class YamlReader {
 public:
  YamlReader(std::string file, std::vector<ConfigError>* errors);

  /// Parses a document whose root must be a mapping.
  YAML::Node Load(const std::string& text);

  /// Reports keys of a mapping that are not in `allowed`.
  void CheckKeys(const YAML::Node& node, const std::vector<std::string>& allowed);

  /// @param fallback the value of an absent key. Without it, an absent key is an error.
  std::string String(const YAML::Node& node, const std::string& key,
                     std::optional<std::string> fallback = std::nullopt);
  bool Bool(const YAML::Node& node, const std::string& key, bool fallback);
  int Int(const YAML::Node& node, const std::string& key, int min, int max,
          std::optional<int> fallback);
  int IntValue(const YAML::Node& value, const std::string& key, int min, int max);

  /// @returns the elements of a sequence; an absent key is an error only when `required`.
  std::vector<YAML::Node> Sequence(const YAML::Node& node, const std::string& key, bool required);

  /// @returns the mapping at a required key, or an empty mapping.
  YAML::Node Mapping(const YAML::Node& node, const std::string& key);

  void AddError(const YAML::Node& node, ResultCode code, const std::string& key,
                const std::string& found, const std::string& expected);

 private:
  std::string m_file;
  std::vector<ConfigError>* m_errors;
};

}  // namespace endivewood
