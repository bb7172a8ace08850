/// @file
/// Messages between entries: a 4-byte big-endian length, then a msgpack array [kind, fields].
#pragma once

#include "endivewood_p.h"
#include "slot_allocator.h"

namespace endivewood {

/// First message on a connection; names the process that opened it.
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

/// Asks for the encoded state of the fleet fold.
struct SnapshotRequest {
  std::uint64_t newer_than = 0;

  bool operator==(const SnapshotRequest&) const = default;
};

struct SnapshotReply {
  FollowerState state;

  bool operator==(const SnapshotReply&) const = default;
};

/// Asks for fleet records; answered by Records, or by SnapshotReply when they are not kept.
struct RecordsRequest {
  std::uint64_t from = 0;

  bool operator==(const RecordsRequest&) const = default;
};

/// Consecutive fleet records in log order.
struct Records {
  std::vector<LogRecord> records;

  bool operator==(const Records&) const = default;
};

/// Asks the holder of a service's queue for a slot. Grant and Refuse repeat the request number.
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

/// Withdraws a request that has no answer yet.
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

/// The kind on the wire is the alternative's index: append only.
using PeerMessage =
    std::variant<Hello, Heartbeat, Leave, SnapshotRequest, SnapshotReply, RecordsRequest, Records,
                 Acquire, Grant, Refuse, CancelAcquire, Release, CheckpointRequest>;

/// @returns the whole frame.
std::string EncodeFrame(const PeerMessage& message);

/// Splits a stream of bytes into messages. Not thread-safe.
class FrameDecoder {
 public:
  /// @param limit bytes of the longest frame that is accepted.
  explicit FrameDecoder(std::size_t limit) : m_limit(limit) {}

  void SetLimit(std::size_t limit) { m_limit = limit; }

  /// Takes received bytes. After a fault it takes no more.
  void Feed(const char* data, std::size_t size);

  /// @returns the next whole message, or no value when bytes are missing or after a fault.
  std::optional<PeerMessage> Next();

  /// @returns whether the input was malformed; the connection has to be closed.
  bool faulty() const { return m_faulty; }

 private:
  std::size_t m_limit;
  std::string m_buffer;
  bool m_faulty = false;
};

}  // namespace endivewood
