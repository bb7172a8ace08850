/// @file
/// Selects the queue of a request and the partition of a service.
#include "fleet_catalog.h"

#include <algorithm>

namespace endivewood {
namespace {

/// FNV-1a. Every process and build must map a service to the same partition, which std::hash
/// doesn't guarantee.
std::uint64_t StableHash(const std::string& text) {
  constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffset;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kPrime;
  }
  return hash ^ hash >> 29;
}

}  // namespace

const Queue* FleetCatalog::FindQueue(const std::string& host, const std::string& path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.prefix)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) best = &queue;
  }
  return best;
}

const CatalogService* FleetCatalog::Spare() const {
  for (const CatalogService& service : services) {
    if (service.spare) return &service;
  }
  return nullptr;
}

const Queue* FleetCatalog::QueueOfName(const QueueName& name) const {
  const auto found = std::find_if(queues.begin(), queues.end(),
                                  [&](const Queue& each) { return each.name == name; });
  return found == queues.end() ? nullptr : &*found;
}

const ClientAccount* FleetCatalog::FindAccount(const AccountName& name) const {
  if (!accounts) return nullptr;
  for (const ClientAccount& account : *accounts) {
    if (account.name == name) return &account;
  }
  return nullptr;
}

const ClientAccount* FleetCatalog::AccountOfKey(const KeyDigest& key) const {
  if (!accounts || !key.valid()) return nullptr;
  for (const ClientAccount& account : *accounts) {
    if (std::find(account.keys.begin(), account.keys.end(), key) != account.keys.end()) {
      return &account;
    }
  }
  return nullptr;
}

int PartitionOf(const ServiceName& service, int partitions) {
  if (partitions < 2) return 0;
  return 1 + static_cast<int>(StableHash(service.str()) % static_cast<unsigned>(partitions - 1));
}

}  // namespace endivewood
