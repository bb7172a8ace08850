/// @file
/// JSON encoding and decoding with cxxtools. Built as C++17, see json.h.
#include "json.h"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>
#include <cxxtools/utf8codec.h>

#include <sstream>

namespace endivewood {
namespace {

using Info = cxxtools::SerializationInfo;

/// Decodes UTF-8 first, because the serializer reads the bytes of a std::string as Latin-1.
void AssignText(Info* info, const std::string& text) {
  try {
    *info <<= cxxtools::Utf8Codec::decode(text);
  } catch (const std::exception&) {
    *info <<= text;
  }
}

void Assign(Info* info, const JsonValue& value);

/// Visitor that writes an alternative of JsonValue::Data.
class Assigner {
 public:
  explicit Assigner(Info* info) : m_info(info) {}

  void operator()(std::nullptr_t) const { m_info->setNull(); }
  void operator()(const std::string& text) const { AssignText(m_info, text); }
  void operator()(const JsonValue::Array& elements) const {
    m_info->setCategory(Info::Array);
    for (const JsonValue& element : elements) Assign(&m_info->addMember(), element);
  }
  void operator()(const std::shared_ptr<const JsonValue::Object>& members) const {
    m_info->setCategory(Info::Object);
    for (const JsonMember& member : *members) Assign(&m_info->addMember(member.name), member.value);
  }
  template <typename T>
  void operator()(const T& scalar) const {
    *m_info <<= scalar;
  }

 private:
  Info* m_info;
};

void Assign(Info* info, const JsonValue& value) { std::visit(Assigner(info), value.data()); }

JsonValue Extract(const Info& info) {
  if (info.category() == Info::Object) {
    JsonValue::Object members;
    for (const Info& member : info) members.push_back({member.name(), Extract(member)});
    return members;
  }
  if (info.category() == Info::Array) {
    JsonValue::Array elements;
    for (const Info& element : info) elements.push_back(Extract(element));
    return elements;
  }
  if (info.isNull()) return {};
  cxxtools::String unicode;
  info >>= unicode;
  const std::string text = cxxtools::Utf8Codec::encode(unicode);
  // The deserializer stores every scalar as text, with its JSON type as type name.
  if (info.typeName() == "bool") return text == "true";
  if (info.typeName() == "int" && text[0] == '-') return std::stoll(text);
  if (info.typeName() == "int") return std::stoull(text);
  if (info.typeName() == "double") return std::stod(text);
  return text;
}

/// Levels of nesting up to which a text is decoded: the deserializer recurses, and a text from
/// another program must not exhaust the stack. Our own messages have fewer than ten levels.
constexpr int kMaxNesting = 64;

bool IsNestedTooDeeply(const std::string& text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (in_string) {
      if (character == '\\') ++i;
      if (character == '"') in_string = false;
    } else if (character == '"') {
      in_string = true;
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxNesting) return true;
    } else if (character == ']' || character == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace

JsonValue::JsonValue(Object members) : m_data(std::make_shared<const Object>(std::move(members))) {}

const JsonValue& JsonValue::operator[](const std::string& name) const {
  static const JsonValue null;
  const auto* members = std::get_if<std::shared_ptr<const Object>>(&m_data);
  if (members == nullptr) return null;
  for (const JsonMember& member : **members) {
    if (member.name == name) return member.value;
  }
  return null;
}

std::string JsonValue::Text() const {
  const auto* text = std::get_if<std::string>(&m_data);
  return text == nullptr ? "" : *text;
}

std::uint64_t JsonValue::Number() const {
  const auto* number = std::get_if<std::uint64_t>(&m_data);
  return number == nullptr ? 0 : *number;
}

bool JsonValue::Bool() const {
  const auto* flag = std::get_if<bool>(&m_data);
  return flag != nullptr && *flag;
}

std::string EncodeJson(const JsonValue& value) {
  std::ostringstream text;
  cxxtools::JsonSerializer serializer(text);
  Info info;
  Assign(&info, value);
  serializer.serialize(info).finish();
  return text.str();
}

std::optional<JsonValue> DecodeJson(const std::string& text) {
  if (IsNestedTooDeeply(text)) return std::nullopt;
  try {
    std::istringstream in(text);
    cxxtools::JsonDeserializer deserializer(in);
    Info info;
    deserializer.deserialize(info);
    return Extract(info);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace endivewood
