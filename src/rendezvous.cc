/// @file
/// Rendezvous hashing.
#include "rendezvous.h"

#include <algorithm>
#include <cstdint>

namespace endivewood {
namespace {

/// FNV-1a with the finaliser of MurmurHash3. Processes of different builds must agree, which
/// std::hash doesn't guarantee. The finaliser distributes names that differ only in the last digit.
std::uint64_t Weight(const std::string& key, const std::string& name) {
  constexpr std::uint64_t kBasis = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  constexpr int kShift = 33;
  std::uint64_t hash = kBasis;
  const auto add = [&](const std::string& text) {
    for (const char byte : text) hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  };
  add(key);
  add("\n");
  add(name);
  hash = (hash ^ (hash >> kShift)) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ (hash >> kShift)) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> kShift);
}

}  // namespace

std::vector<std::string> RendezvousRank(const std::string& key, std::vector<std::string> names) {
  std::sort(names.begin(), names.end(), [&](const std::string& a, const std::string& b) {
    const std::uint64_t weight_a = Weight(key, a);
    const std::uint64_t weight_b = Weight(key, b);
    return weight_a != weight_b ? weight_a > weight_b : a < b;
  });
  return names;
}

}  // namespace endivewood
