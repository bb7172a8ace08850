/// @file
/// Client accounts: the customers of one deployment, who share its upstreams.
#pragma once

#include <cstdint>
#include <vector>

#include "api_key.h"
#include "jobs.h"

namespace endivewood {

/// Sum of resources over any number of upstreams.
struct ResourceTotal {
  std::int64_t cpu_millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  bool operator==(const ResourceTotal&) const = default;
  ResourceTotal& operator+=(const ResourceTotal& other) {
    cpu_millicores += other.cpu_millicores;
    memory_mb += other.memory_mb;
    gpus += other.gpus;
    return *this;
  }
  ResourceTotal& operator-=(const ResourceTotal& other) {
    cpu_millicores -= other.cpu_millicores;
    memory_mb -= other.memory_mb;
    gpus -= other.gpus;
    return *this;
  }
  ResourceTotal operator+(const ResourceTotal& other) const {
    return ResourceTotal(*this) += other;
  }
  ResourceTotal operator-(const ResourceTotal& other) const {
    return ResourceTotal(*this) -= other;
  }
};

/// @returns the total of one upstream's or task's resources.
inline ResourceTotal TotalOf(const Capacity& capacity) {
  return {.cpu_millicores = capacity.cpu_millicores,
          .memory_mb = capacity.memory_mb,
          .gpus = capacity.gpus};
}

struct ClientAccount {
  AccountName name;
  std::vector<KeyDigest> keys;
  /// Share of the account, relative to the others' weights, when there is less room than demand;
  /// also the jobs a second that it may count on.
  int weight = 1;
  /// What may run for the account at once on all upstreams; 0: no limit of that resource.
  ResourceTotal limit;

  bool operator==(const ClientAccount&) const = default;
};

}  // namespace endivewood
