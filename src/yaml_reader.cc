/// @file
/// Typed access to YAML documents. Collects errors with their lines.
#include "yaml_reader.h"

#include <algorithm>

namespace endivewood {
namespace {

/// @returns the description of a node for an error message.
std::string Describe(const YAML::Node& node) {
  if (!node.IsDefined()) return "nothing";
  if (node.IsNull()) return "an empty value";
  if (node.IsMap()) return "a mapping";
  if (node.IsSequence()) return "a sequence";
  return "\"" + node.Scalar() + "\"";
}

}  // namespace

YamlReader::YamlReader(std::string file, std::vector<ConfigError>* errors)
    : m_file(std::move(file)), m_errors(errors) {}

YAML::Node YamlReader::Load(const std::string& text) {
  try {
    YAML::Node root = YAML::Load(text);
    if (!root.IsMap())
      AddError(root, ResultCode::kWrongType, "document", Describe(root), "a mapping");
    return root;
  } catch (const YAML::Exception& error) {
    m_errors->push_back({.code = ResultCode::kInvalidYaml,
                         .file = m_file,
                         .line = error.mark.line + 1,
                         .key = "document",
                         .found = error.msg,
                         .expected = "valid YAML"});
    return {};
  }
}

void YamlReader::CheckKeys(const YAML::Node& node, const std::vector<std::string>& allowed) {
  if (!node.IsMap()) {
    AddError(node, ResultCode::kWrongType, "entry", Describe(node), "a mapping");
    return;
  }
  for (const auto& item : node) {
    const std::string key = item.first.Scalar();
    if (std::find(allowed.begin(), allowed.end(), key) != allowed.end()) continue;
    std::string expected = "one of";
    for (const std::string& name : allowed) expected += " " + name;
    AddError(item.first, ResultCode::kUnknownKey, key, "an unknown key", expected);
  }
}

std::string YamlReader::String(const YAML::Node& node, const std::string& key,
                               std::optional<std::string> fallback) {
  const YAML::Node value = node.IsMap() ? node[key] : YAML::Node(YAML::NodeType::Undefined);
  if (value.IsDefined() && value.IsScalar() && !value.Scalar().empty()) return value.Scalar();
  if (!value.IsDefined() && fallback) return *fallback;
  const ResultCode code = value.IsDefined() ? ResultCode::kWrongType : ResultCode::kMissingValue;
  AddError(value.IsDefined() ? value : node, code, key, Describe(value), "a string");
  return fallback.value_or("");
}

bool YamlReader::Bool(const YAML::Node& node, const std::string& key, bool fallback) {
  const YAML::Node value = node.IsMap() ? node[key] : YAML::Node(YAML::NodeType::Undefined);
  if (!value.IsDefined()) return fallback;
  bool result = fallback;
  if (!YAML::convert<bool>::decode(value, result)) {
    AddError(value, ResultCode::kWrongType, key, Describe(value), "true or false");
  }
  return result;
}

int YamlReader::Int(const YAML::Node& node, const std::string& key, int min, int max,
                    std::optional<int> fallback) {
  const YAML::Node value = node.IsMap() ? node[key] : YAML::Node(YAML::NodeType::Undefined);
  if (value.IsDefined()) return IntValue(value, key, min, max);
  if (!fallback) {
    AddError(node, ResultCode::kMissingValue, key, "nothing",
             "a number from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return fallback.value_or(min);
}

int YamlReader::IntValue(const YAML::Node& value, const std::string& key, int min, int max) {
  const std::string expected =
      "a number from " + std::to_string(min) + " to " + std::to_string(max);
  int result = min;
  if (!value.IsScalar() || !YAML::convert<int>::decode(value, result)) {
    AddError(value, ResultCode::kWrongType, key, Describe(value), expected);
    return min;
  }
  if (result >= min && result <= max) return result;
  AddError(value, ResultCode::kOutOfRange, key, value.Scalar(), expected);
  return min;
}

std::vector<YAML::Node> YamlReader::Sequence(const YAML::Node& node, const std::string& key,
                                             bool required) {
  std::vector<YAML::Node> elements;
  const YAML::Node value = node.IsMap() ? node[key] : YAML::Node(YAML::NodeType::Undefined);
  if (!value.IsDefined() && !required) return elements;
  if (!value.IsDefined() || !value.IsSequence()) {
    const ResultCode code = value.IsDefined() ? ResultCode::kWrongType : ResultCode::kMissingValue;
    AddError(value.IsDefined() ? value : node, code, key, Describe(value), "a sequence");
    return elements;
  }
  for (const YAML::Node& element : value) elements.push_back(element);
  return elements;
}

YAML::Node YamlReader::Mapping(const YAML::Node& node, const std::string& key) {
  const YAML::Node value = node.IsMap() ? node[key] : YAML::Node(YAML::NodeType::Undefined);
  if (value.IsDefined() && value.IsMap()) return value;
  const ResultCode code = value.IsDefined() ? ResultCode::kWrongType : ResultCode::kMissingValue;
  AddError(value.IsDefined() ? value : node, code, key, Describe(value), "a mapping");
  return YAML::Node(YAML::NodeType::Map);
}

void YamlReader::AddError(const YAML::Node& node, ResultCode code, const std::string& key,
                          const std::string& found, const std::string& expected) {
  const int line = node.IsDefined() ? node.Mark().line + 1 : 0;
  m_errors->push_back({.code = code,
                       .file = m_file,
                       .line = line,
                       .key = key,
                       .found = found,
                       .expected = expected});
}

}  // namespace endivewood
