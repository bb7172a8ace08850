/// @file
/// Queues and services of the active configuration. Immutable; a new version replaces the whole
/// catalog.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "client_account.h"

namespace endivewood {

struct Queue {
  QueueName name;
  std::string host;
  std::string prefix;  ///< Path prefix; the longest match selects the queue.
  ServiceName service;
  Milliseconds timeout{0};
  QueuePolicy policy;
  bool is_public = false;  ///< Its callers need no account.

  bool operator==(const Queue&) const = default;
};

struct CatalogService {
  ServiceName name;
  bool spare = false;            ///< Its instances are off and serve nothing.
  bool admission_check = false;  ///< Its upstreams refuse requests beyond their capacity.

  bool operator==(const CatalogService&) const = default;
};

/// Size and time limits of callers' requests and connections.
struct CallerLimits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 262144;
  Milliseconds header_timeout{3000};
  Milliseconds idle_timeout{15000};

  bool operator==(const CallerLimits&) const = default;
};

struct FleetCatalog {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<CatalogService> services;
  CallerLimits limits;
  /// No value in a deployment without accounts, whose callers need no key.
  std::optional<std::vector<ClientAccount>> accounts;

  /// @param host without a port.
  /// @returns the queue of a request, or nullptr when none matches.
  const Queue* FindQueue(const std::string& host, const std::string& path) const;
  /// @returns the queue, or nullptr.
  const Queue* QueueOfName(const QueueName& name) const;
  /// @returns the service that represents the spare pool, or nullptr.
  const CatalogService* Spare() const;
  /// @returns the account, or nullptr.
  const ClientAccount* FindAccount(const AccountName& name) const;
  /// @returns the account that a key belongs to, or nullptr.
  const ClientAccount* AccountOfKey(const KeyDigest& key) const;

  bool operator==(const FleetCatalog&) const = default;
};

/// Operators' request for the maintenance of a set of instances.
struct MaintenanceWave {
  std::uint64_t number = 0;
  std::vector<InstanceName> instances;
  Milliseconds deadline{0};  ///< Counted from the time when the wave was recorded.
  int max_at_once = 1;

  bool operator==(const MaintenanceWave&) const = default;
};

/// @returns the job-store partition of a service, from 1. Partition 0 belongs to the planner.
int PartitionOf(const ServiceName& service, int partitions);

}  // namespace endivewood
