/// @file
/// JSON values, encoded and decoded by cxxtools.
/// @attention This header is also compiled as C++17. cxxtools/string.h uses members of
/// std::allocator that C++20 removed, so json.cc, the only user of cxxtools' JSON serializer, is
/// built as C++17.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace endivewood {

struct JsonMember;

/// A JSON value.
class JsonValue {
 public:
  using Array = std::vector<JsonValue>;
  using Object = std::vector<JsonMember>;
  using Data = std::variant<std::nullptr_t, bool, std::int64_t, std::uint64_t, double, std::string,
                            Array, std::shared_ptr<const Object>>;

  JsonValue() = default;
  JsonValue(bool value) : m_data(value) {}                    // NOLINT(*explicit*)
  JsonValue(double value) : m_data(value) {}                  // NOLINT(*explicit*)
  JsonValue(const char* text) : m_data(std::string(text)) {}  // NOLINT(*explicit*)
  JsonValue(std::string text) : m_data(std::move(text)) {}    // NOLINT(*explicit*)
  JsonValue(Array elements) : m_data(std::move(elements)) {}  // NOLINT(*explicit*)
  JsonValue(Object members);                                  // NOLINT(*explicit*)
  template <typename T, typename = std::enable_if_t<std::is_integral_v<T>>>
  JsonValue(T number)  // NOLINT(*explicit*)
      : m_data(static_cast<std::conditional_t<std::is_signed_v<T>, std::int64_t, std::uint64_t>>(
            number)) {}

  const Data& data() const { return m_data; }

  /// @returns a member of an object, or a null value.
  const JsonValue& operator[](const std::string& name) const;
  /// @returns the string, or an empty string when the value is not a string.
  std::string Text() const;
  /// @returns the number, or 0 when the value is not an unsigned integer.
  std::uint64_t Number() const;
  /// @returns the value, or false when it is not a boolean.
  bool Bool() const;

 private:
  Data m_data = nullptr;
};

/// A member of a JSON object.
struct JsonMember {
  std::string name;
  JsonValue value;
};

/// @returns the value as one line of JSON. Strings are expected in UTF-8; a string that is not
/// valid UTF-8 is read as Latin-1.
std::string EncodeJson(const JsonValue& value);

/// @returns the value, or no value when the text is not JSON.
std::optional<JsonValue> DecodeJson(const std::string& text);

}  // namespace endivewood
