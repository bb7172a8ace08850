/// @file
/// API keys of client accounts. Keys are hashed when they are decoded; only digests are kept,
/// compared and sent to other instances.
#pragma once

#include <string>
#include <string_view>

namespace endivewood {

/// BLAKE2b digest of an API key.
class KeyDigest {
 public:
  /// An invalid digest, which no key has.
  KeyDigest() = default;
  /// @param bytes from bytes() of a digest; other text makes an invalid digest.
  explicit KeyDigest(std::string bytes);

  static KeyDigest Of(std::string_view key);

  bool valid() const { return !m_bytes.empty(); }
  const std::string& bytes() const { return m_bytes; }

  /// The time that this takes doesn't depend on the bytes.
  bool operator==(const KeyDigest& other) const;

 private:
  std::string m_bytes;
};

}  // namespace endivewood
