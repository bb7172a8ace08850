/// @file
/// Messages between entries: a 4-byte big-endian length, then a msgpack array [kind, fields].
#pragma once

#include "endivewood_p.h"
#include "slot_allocator.h"

namespace endivewood {

/// First message on a connection; identifies the process that opened it.
struct Hello {
  std::string name;
  DataCentreName data_centre;
  Incarnation incarnation;
  std::uint64_t applied = 0;  ///< Offset of the first fleet record that is not applied.

  bool operator==(const Hello&) const = default;
};

struct Heartbeat {
  Incarnation incarnation;
  DataCentreName data_centre;
  std::uint64_t applied = 0;

  bool operator==(const Heartbeat&) const = default;
};

/// Sent by a process that stops gracefully.
struct Leave {
  Incarnation incarnation;

  bool operator==(const Leave&) const = default;
};

/// Asks for the encoded fleet state.
struct SnapshotRequest {
  std::uint64_t newer_than = 0;

  bool operator==(const SnapshotRequest&) const = default;
};

struct SnapshotReply {
  FollowerState state;

  bool operator==(const SnapshotReply&) const = default;
};

/// Asks for fleet records; answered by Records, or by SnapshotReply when they are no longer kept.
struct RecordsRequest {
  std::uint64_t from = 0;

  bool operator==(const RecordsRequest&) const = default;
};

/// Consecutive fleet records in log order.
struct Records {
  std::vector<LogRecord> records;

  bool operator==(const Records&) const = default;
};

/// Asks the holder of a service's queue for a slot. Grant and Refuse carry the same request number.
struct Acquire {
  std::uint64_t request = 0;
  SlotRequest slot;

  bool operator==(const Acquire&) const = default;
};

struct Grant {
  std::uint64_t request = 0;
  SlotGrant grant;

  bool operator==(const Grant&) const = default;
};

struct Refuse {
  std::uint64_t request = 0;
  Reason reason;

  bool operator==(const Refuse&) const = default;
};

/// Cancels an Acquire that has no answer yet.
struct CancelAcquire {
  std::uint64_t request = 0;

  bool operator==(const CancelAcquire&) const = default;
};

struct Release {
  std::uint64_t grant = 0;
  SlotOutcome outcome = SlotOutcome::kSucceeded;
  Milliseconds run_time{0};

  bool operator==(const Release&) const = default;
};

/// Asks the owner of a long grant to checkpoint its work.
struct CheckpointRequest {
  std::uint64_t grant = 0;

  bool operator==(const CheckpointRequest&) const = default;
};

/// The kind on the wire is the index of the alternative: add new ones only at the end.
using PeerMessage =
    std::variant<Hello, Heartbeat, Leave, SnapshotRequest, SnapshotReply, RecordsRequest, Records,
                 Acquire, Grant, Refuse, CancelAcquire, Release, CheckpointRequest>;

/// @returns the frame with its length prefix.
std::string EncodeFrame(const PeerMessage& message);

/// Decodes messages from a stream of bytes. Not thread-safe.
class FrameDecoder {
 public:
  /// @param limit largest message that is accepted, in bytes without the length prefix.
  explicit FrameDecoder(std::size_t limit) : m_limit(limit) {}

  void SetLimit(std::size_t limit) { m_limit = limit; }

  /// Appends received bytes. Ignored after malformed input.
  void Feed(const char* data, std::size_t size);

  /// @returns the next message, or no value when it is incomplete or the input is malformed.
  std::optional<PeerMessage> Next();

  /// @returns whether the input was malformed; the connection has to be closed.
  bool malformed() const { return m_malformed; }

 private:
  std::size_t m_limit;
  std::string m_buffer;
  bool m_malformed = false;
};

}  // namespace endivewood
