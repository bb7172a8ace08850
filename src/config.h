/// @file
/// Compile-time limits, each with its unit and its reason.
#pragma once

#include <cstddef>
#include <cstdint>

namespace endivewood::config {

/// Bytes of a request body. Larger bodies belong in the caller's object store.
inline constexpr std::size_t kMaxBodyBytes = 1 << 20;

/// Bytes of one header value that a caller may set.
inline constexpr std::size_t kMaxHeaderBytes = 256;

/// Threads of a caller listener. cxxtools holds one thread for each request in progress.
inline constexpr unsigned kMaxHttpThreads = 600;

/// Threads that a listener keeps ready.
inline constexpr unsigned kMinHttpThreads = 8;

/// Milliseconds after which an idle caller connection is closed.
inline constexpr std::int64_t kHttpKeepAliveMs = 30000;

/// Record ids that the fleet fold remembers to recognise a repeated append. An author resolves a
/// lost answer within its append timeout, during which the stream grows by far fewer records.
inline constexpr std::size_t kRecentRecordIds = 4096;

/// Milliseconds that one read of a stream waits for new records before it returns none.
inline constexpr std::int64_t kFollowWaitMs = 1000;

/// Records that one read of a stream returns at most.
inline constexpr std::size_t kFollowBatch = 512;

/// Milliseconds between two attempts to reach a platform that failed.
inline constexpr std::int64_t kFollowRetryMs = 200;

/// Milliseconds after which an unanswered platform call counts as failed.
inline constexpr std::int64_t kPlatformTimeoutMs = 2000;

/// Records after which a new snapshot is appended. A reader folds at most about twice as many
/// records before it serves, which takes a few milliseconds.
inline constexpr std::uint64_t kSnapshotEveryRecords = 256;

/// Milliseconds after which a snapshot is appended again: a third of the shortest retention that
/// the log service must have (the 600 s of idempotency keys), so that two are always retained.
inline constexpr std::int64_t kSnapshotMaxAgeMs = 200000;

/// Milliseconds by which each further entry waits for a better ranked one to append a snapshot.
inline constexpr std::int64_t kSnapshotRankMs = 3000;

/// Milliseconds between two attempts of one entry: an append is resolved within its timeout.
inline constexpr std::int64_t kSnapshotRetryMs = 2000;

/// Milliseconds between two checks whether a snapshot is due.
inline constexpr std::int64_t kSnapshotCheckMs = 500;

/// Bytes of a peer frame: the largest record of the log service and its envelope.
inline constexpr std::size_t kMaxFrameBytes = (4 << 20) + 4096;

/// Bytes of a frame before the sender has said who it is.
inline constexpr std::size_t kMaxHelloBytes = 1024;

/// Bytes that wait for a peer that doesn't read. Beyond it the connection is closed.
inline constexpr std::size_t kMaxPeerBacklogBytes = 3 * kMaxFrameBytes;

/// Milliseconds between two heartbeats; a change of the applied offset sends one at once.
inline constexpr std::int64_t kHeartbeatMs = 500;

/// Milliseconds of silence after which a peer is suspected: two lost heartbeats and half a period
/// of delay, and under the 2 s in which urgent work and a leaving instance's work must move on.
inline constexpr std::int64_t kPeerSuspectMs = 1500;

/// Milliseconds of silence after which a peer's connections are closed. A shorter pause (a stopped
/// or swapped process) keeps its grants.
inline constexpr std::int64_t kPeerDeadMs = 5000;

/// Milliseconds between two checks of the peers; also the least time between two heartbeats.
inline constexpr std::int64_t kPeerTickMs = 20;

/// Milliseconds that a connection attempt to a peer may take, and between two attempts.
inline constexpr std::int64_t kPeerConnectMs = 500;
inline constexpr std::int64_t kPeerReconnectMs = 200;

/// Milliseconds for which a peer may be ahead before an entry that reads the log asks for records:
/// the log usually delivers them first. An entry that has lost the log asks at once.
inline constexpr std::int64_t kRelayPatienceMs = 300;

/// Milliseconds after which an unanswered request for records goes to another peer: a third of the
/// 2 s in which a change must be in force.
inline constexpr std::int64_t kRelayRetryMs = 600;

/// Records and bytes that an entry keeps to relay. A peer that is further behind takes the state.
inline constexpr std::size_t kRelayRecords = 1024;
inline constexpr std::size_t kRelayBytes = 2 << 20;

/// Milliseconds that a reader whose offset has expired waits for the state of a peer, which has
/// checked every snapshot, before it searches the log for one.
inline constexpr std::int64_t kPeerStateWaitMs = 1000;

/// Requests for a slot that one peer may have waiting, as many as a caller listener has threads.
inline constexpr std::size_t kMaxRemoteAcquires = 600;

/// Requests that wait in one queue. At the smallest pool of a data centre, 16 slots with work of
/// 100 ms, a longer queue lasts more than 6 s, which is past every usual deadline.
inline constexpr std::size_t kQueueLimit = 1000;

/// Milliseconds between two checks for expired deadlines.
inline constexpr std::int64_t kDispatchTickMs = 5;

}  // namespace endivewood::config
