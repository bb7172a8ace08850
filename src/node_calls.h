/// @file
/// Calls from one instance of the system to another, mostly to the holder of a partition, and the
/// replies.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "account_share_call.h"
#include "caller_credential.h"
#include "job_scheduler.h"
#include "order_carrier.h"

namespace endivewood {

struct SubmitCall {
  JobSpec spec;
  QueuePolicy policy;
  CallerCredential credential;
};

struct StatusCall {
  QueueName queue;
  ServiceName service;
  JobId job;
  CallerCredential credential;
};

struct CancelCall {
  QueueName queue;
  ServiceName service;
  JobId job;
  CallerCredential credential;
};

/// Asks how many accepted jobs of a queue have not started.
struct PendingCall {
  QueueName queue;
  ServiceName service;
  CallerCredential credential;
};

/// Sent by the planner to ask how much capacity a service needs.
struct DemandCall {
  ServiceName service;
  /// Millicores of the pool once all instances that are moving to it have arrived.
  std::int64_t planned_millicores = 0;
};

/// Sent by the planner to have an upstream's instance released for a move or for maintenance.
struct ReleaseCall {
  ServiceName service;
  UpstreamId upstream;
};

/// Sent by an instance that can't reach the store, to learn from a peer who holds which partition.
struct OwnersCall {
  ServiceName service;  ///< Unused; every call names one.
};

/// Sent by a new holder of a partition to make an earlier holder end its term; kOk confirms that it
/// has ended.
struct HandoverCall {
  ServiceName service;  ///< Unused; every call names one.
  int partition = 0;
  std::string member;       ///< Group member that held the partition; unique per process start.
  std::uint64_t epoch = 0;  ///< Epoch of the sender's term.
};

/// Sent by the holder of one service's partition to that of another service which may have jobs of
/// the same queue. kUnknownJob: it doesn't have the job, and will ask the sender before it accepts
/// one of the queue.
struct FindJobCall {
  ServiceName service;  ///< Whose holder is asked.
  QueueName queue;
  JobId job;                         ///< Invalid: only the number of pending jobs is asked for.
  ServiceName for_service;           ///< Whose holder asks.
  std::uint64_t config_version = 0;  ///< Of the sender.

  bool operator==(const FindJobCall&) const = default;
};

using NodeCall = std::variant<SubmitCall, StatusCall, CancelCall, PendingCall, DemandCall,
                              ReleaseCall, OwnersCall, HandoverCall, ShareCall, FindJobCall>;

/// @returns the service whose partition's holder has to answer.
const ServiceName& ServiceOf(const NodeCall& call);
/// @returns the id of the job that a call is about, or an empty string.
std::string RequestIdOf(const NodeCall& call);
const char* CallName(const NodeCall& call);

/// A recent order for an instance, given by the sender or reported to it by an earlier holder.
struct RecentOrder {
  InstanceName instance;
  Milliseconds age{0};

  bool operator==(const RecentOrder&) const = default;
};

enum class NodeStatus : std::uint8_t {
  kOk = 0,
  kUnknownJob,
  kRefused,       ///< Not done, and it won't be; the caller may retry later.
  kUnavailable,   ///< Nothing was done: no holder is known, or the store is unreachable.
  kNotHolder,     ///< Nothing was done: this instance doesn't hold the partition.
  kUncertain,     ///< The call may have been executed.
  kUnauthorized,  ///< Nothing was done: the caller's key has been withdrawn.
  kForbidden,     ///< Nothing was done: the job is another account's.
};

const char* NodeStatusName(NodeStatus status);

/// The holder of a partition as far as one instance knows.
struct KnownOwner {
  int partition = 0;
  Endpoint endpoint;
};

struct NodeReply {
  NodeStatus status = NodeStatus::kUncertain;
  JobState state = JobState::kQueued;
  std::uint64_t pending = 0;
  Milliseconds retry_after{0};
  ServiceDemand demand;
  ReleaseState release = ReleaseState::kUnknown;
  std::string reason;
  std::vector<KnownOwner> owners;
  std::uint64_t generation = 0;            ///< The group's generation when `owners` was read.
  std::vector<RecentOrder> recent_orders;  ///< Answer to a HandoverCall.
  ShareReply shares;                       ///< Answer to a ShareCall.
  /// Answer to a FindJobCall: the service has no jobs of the queue, and takes none by a
  /// configuration that is no older than the sender's.
  bool queue_retired = false;
};

/// One frame between two instances. On the wire: a 4-byte big-endian length, then msgpack.
struct NodeFrame {
  std::uint64_t id = 0;
  std::variant<NodeCall, NodeReply, CarryBatch, CarryReply> body;
};

std::string EncodeNodeFrame(const NodeFrame& frame);

/// Removes the first complete frame from `buffer`; no value while it is incomplete.
/// @param malformed set when the bytes aren't a valid frame; the connection has to be closed.
std::optional<NodeFrame> TakeNodeFrame(std::string* buffer, bool* malformed);

}  // namespace endivewood
