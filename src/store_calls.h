/// @file
/// Calls to the platform's log service: appends, reads of keyed topics, and group membership.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs.h"

namespace endivewood {

/// One partition of a topic.
struct LogPartition {
  std::string topic;
  int number = 0;

  auto operator<=>(const LogPartition&) const = default;
};

/// Appends keyed records, all or none. A repeated sequence number has no further effect.
struct AppendKeyed {
  LogPartition partition;
  std::string producer;  ///< Empty: the append is sent without producer, epoch and sequence.
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::vector<KeyedRecord> records;
};

/// Raises a partition's epoch; appends with a lower epoch are refused from then on.
struct ClaimEpoch {
  LogPartition partition;
  std::string producer;
  std::uint64_t epoch = 0;
};

/// Reads the newest record of each key, in pages.
struct ReadNewest {
  LogPartition partition;
  std::string after_key;  ///< Last key of the page before; empty for the first page.
};

/// Reads keyed records from an offset on; waits for one when there is none yet.
struct ReadKeyed {
  LogPartition partition;
  std::uint64_t from = 0;
  Milliseconds wait{0};
};

/// Joins a group, or renews a membership.
struct JoinGroup {
  std::string group;
  std::string member;
  std::string topic;
  Milliseconds ttl{0};
  std::uint64_t generation = 0;
};

struct LeaveGroup {
  std::string group;
  std::string member;
};

/// Lists the member that each partition is assigned to.
struct ListOwners {
  std::string group;
};

using StoreCall =
    std::variant<AppendKeyed, ClaimEpoch, ReadNewest, ReadKeyed, JoinGroup, LeaveGroup, ListOwners>;

/// @returns the name of a call for logs, with its topic where there is one.
std::string StoreCallName(const StoreCall& call);

enum class StoreStatus : std::uint8_t {
  kOk = 0,
  kNoAnswer,  ///< The call may have been executed, or may still be seconds later.
  kRefused,   ///< Nothing was done.
  kFenced,    ///< The partition has a higher epoch.
  kOutOfSequence,
  kExpired,  ///< The requested records have been deleted.
  kInvalid,
};

const char* StoreStatusName(StoreStatus status);

struct PartitionOwner {
  LogPartition partition;
  std::string member;
};

struct StoreReply {
  StoreStatus status = StoreStatus::kNoAnswer;
  std::uint64_t end = 0;  ///< Offset one past the newest record.
  std::uint64_t expected_sequence = 0;
  std::vector<KeyedRecord> records;
  bool more = false;  ///< ReadNewest: there are more pages after the last key.
  std::uint64_t generation = 0;
  std::vector<LogPartition> held;  ///< JoinGroup: the member's partitions.
  std::vector<PartitionOwner> owners;
};

using StoreCallback = std::function<void(StoreReply)>;

}  // namespace endivewood
