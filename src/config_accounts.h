/// @file
/// Compile-time constants of the limits of client accounts, each with its unit and its reason.
#pragma once

#include <cstdint>

namespace endivewood::config {

/// Minimum time in milliseconds between two share calls of a holder. Each raise costs an append to
/// the store, which takes about as long.
inline constexpr std::int64_t kShareCallSpacingMs = 40;

/// The same after an answer that raised nothing: no part was free, and calls are charged for.
inline constexpr std::int64_t kShareRetryMs = 100;

/// Limit of the doublings of kShareRetryMs after failed calls. An instance of an earlier build
/// closes the connection at each share call, which disturbs other calls.
inline constexpr int kMaxShareRetryDoublings = 3;

/// Milliseconds until a holder with an unused share calls again, to learn whether others wait for
/// it. Peaks last about 4 s; an unused part has to help another service within about 300 ms, of
/// which the two further calls take about 100.
inline constexpr std::int64_t kUnusedShareRefreshMs = 150;

/// The same for a holder that uses its shares: it has nothing to give back.
inline constexpr std::int64_t kShareRefreshMs = 1000;

/// Milliseconds after which an unanswered share call counts as failed. It includes an append to the
/// store, which is normally answered within 40 ms.
inline constexpr std::int64_t kShareCallTimeoutMs = 500;

/// Milliseconds for which a holder keeps an unused part if nobody waits for it. The next of a row
/// of short tasks then finds its share without a call.
inline constexpr std::int64_t kShareIdleMs = 2000;

/// Percent by which a holder asks for more than it needs at present, so that a peak isn't slowed by
/// a round trip for each further task.
inline constexpr std::int64_t kShareHeadroomPercent = 25;

/// Milliseconds after which the ledger forgets what a partition wants if its holder hasn't called
/// since. Holders that want something call every kShareRefreshMs or more often.
inline constexpr std::int64_t kShareWantLifetimeMs = 2500;

/// Minimum milliseconds between two log lines about one account: on tasks that wait for its limit,
/// and on changes of one partition's share.
inline constexpr std::int64_t kLimitReportMs = 1000;

}  // namespace endivewood::config
