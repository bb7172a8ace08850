/// @file
/// Calls by which the holders of partitions ask for shares of the accounts' limits, and the
/// answers.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "client_account.h"

namespace endivewood {

/// What a holder keeps and wants of one account's limit.
struct ShareRequest {
  AccountName account;
  /// The share that it keeps; what the ledger has beyond it is given back. No value from a holder
  /// that doesn't know its share yet.
  std::optional<ResourceTotal> keep;
  ResourceTotal limit;    ///< In the holder's configuration.
  ResourceTotal running;  ///< What runs, or may run by its own orders.
  ResourceTotal used;     ///< The same with what earlier holders may have started.
  ResourceTotal want;     ///< Includes `used`.
  /// The least share with which the next waiting task, or gang, could start; 0 if none waits.
  ResourceTotal next;
  /// Largest part of `next` that starts at once: one task's needs.
  ResourceTotal task;

  bool operator==(const ShareRequest&) const = default;
};

/// Sent by the holder of a partition to the holder of partition 0.
struct ShareCall {
  ServiceName service;  ///< Unused; every call names one.
  int partition = 0;
  std::uint64_t epoch = 0;     ///< Of the sender's term.
  std::uint64_t sequence = 0;  ///< Rises with each call of the term.
  std::vector<ShareRequest> requests;

  bool operator==(const ShareCall&) const = default;
};

/// What a partition may use of one account's limit.
struct GrantedShare {
  AccountName account;
  ResourceTotal share;
  /// Whether other partitions wait for parts. What exceeds both `fair` and what is used has to be
  /// given back then.
  bool contended = false;
  ResourceTotal fair;
  /// The shares exceed the limit, which was lowered: nothing may start until enough has ended.
  bool over = false;

  bool operator==(const GrantedShare&) const = default;
};

/// Answer to a ShareCall.
struct ShareReply {
  std::uint64_t sequence = 0;  ///< Of the call.
  std::vector<GrantedShare> shares;

  bool operator==(const ShareReply&) const = default;
};

/// Calls `visit` with each resource's member pointer.
template <typename Visit>
void ForEachResource(const Visit& visit) {
  visit(&ResourceTotal::cpu_millicores);
  visit(&ResourceTotal::memory_mb);
  visit(&ResourceTotal::gpus);
}

inline ResourceTotal MinOf(const ResourceTotal& a, const ResourceTotal& b) {
  return {
      .cpu_millicores = a.cpu_millicores < b.cpu_millicores ? a.cpu_millicores : b.cpu_millicores,
      .memory_mb = a.memory_mb < b.memory_mb ? a.memory_mb : b.memory_mb,
      .gpus = a.gpus < b.gpus ? a.gpus : b.gpus};
}

inline ResourceTotal MaxOf(const ResourceTotal& a, const ResourceTotal& b) {
  return a + b - MinOf(a, b);
}

/// @returns the amounts of those resources that have a limit, and 0 for the others.
inline ResourceTotal LimitedPart(const ResourceTotal& amount, const ResourceTotal& limit) {
  ResourceTotal part;
  ForEachResource([&](auto resource) {
    if (limit.*resource > 0) part.*resource = amount.*resource;
  });
  return part;
}

/// @returns for each resource the lower one of two limits, of which 0 means none.
inline ResourceTotal LowerLimit(const ResourceTotal& a, const ResourceTotal& b) {
  ResourceTotal limit;
  ForEachResource([&](auto resource) {
    const std::int64_t low = a.*resource < b.*resource ? a.*resource : b.*resource;
    const std::int64_t high = a.*resource + b.*resource - low;
    limit.*resource = low > 0 ? low : high;
  });
  return limit;
}

/// @returns whether no resource of `amount` exceeds that of `bound`.
inline bool IsWithin(const ResourceTotal& amount, const ResourceTotal& bound) {
  return MinOf(amount, bound) == amount;
}

/// @returns whether an account's limit bounds any resource.
inline bool HasLimit(const ResourceTotal& limit) { return limit != ResourceTotal{}; }

}  // namespace endivewood
