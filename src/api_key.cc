/// @file
/// Digests of API keys (libsodium).
#include "api_key.h"

#include <sodium.h>

namespace endivewood {
namespace {

constexpr std::size_t kDigestBytes = crypto_generichash_BYTES;

}  // namespace

KeyDigest::KeyDigest(std::string bytes) {
  if (bytes.size() == kDigestBytes) m_bytes = std::move(bytes);
}

KeyDigest KeyDigest::Of(std::string_view key) {
  std::string bytes(kDigestBytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(),
                     reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
  return KeyDigest(std::move(bytes));
}

bool KeyDigest::operator==(const KeyDigest& other) const {
  if (!valid() || !other.valid()) return valid() == other.valid();
  return sodium_memcmp(m_bytes.data(), other.m_bytes.data(), kDigestBytes) == 0;
}

}  // namespace endivewood
