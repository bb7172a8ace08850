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

// Planner processes.

/// Milliseconds between two rounds of a planner; a step of a drain waits at most this long.
inline constexpr std::int64_t kPlannerTickMs = 100;

/// Milliseconds between two heartbeats of a planner on the stream `planners`.
inline constexpr std::int64_t kPlannerHeartbeatMs = 1000;

/// Milliseconds of log time without a heartbeat after which a planner counts as stopped. Three
/// heartbeats, so that one slow append doesn't change who leads.
inline constexpr std::int64_t kPlannerTimeoutMs = 3000;

/// Milliseconds between two readings of the instance list.
inline constexpr std::int64_t kInstanceListMs = 1000;

/// Milliseconds in which each ready worker is asked once. A data centre of the target size has
/// about 150, and a call costs about 0.3 ms, so this keeps the cost near 1% of a core.
inline constexpr std::int64_t kWorkerSweepMs = 4000;

/// Milliseconds between two questions to a worker that did not answer.
inline constexpr std::int64_t kSuspectRetryMs = 1000;

}  // namespace endivewood::config
