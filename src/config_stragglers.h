/// @file
/// Constants of learned durations, copies of slow tasks and the record of upstreams.
#pragma once

#include <cstddef>
#include <cstdint>

namespace endivewood::config {

/// Ended runs of a queue from which its durations are learned, the latest ones. Enough for the 95th
/// percentile (13 runs above it); a queue with one run a second adapts within minutes.
inline constexpr std::size_t kDurationWindowRuns = 256;

/// Weight in runs of the assumption that the estimates are right. After as many runs, half of the
/// deviation that they show is believed.
inline constexpr double kDurationPriorRuns = 10;

/// Ended runs of a queue between two updates of what was learned. An update sorts the window.
inline constexpr int kDurationUpdateRuns = 8;

/// Spread that is assumed before any run has ended: standard deviation of the logarithm of the
/// duration. Callers' estimates are off by 0.2 to 0.9.
inline constexpr double kDurationPriorSpread = 0.5;

/// Smallest spread that is believed.
inline constexpr double kMinDurationSpread = 0.02;

/// Residuals beyond this many spreads are shortened to it, so that the few runs that take several
/// times as long don't shift the typical duration.
inline constexpr double kMaxResidualSpreads = 1.5;

/// Deviations of the typical duration from the estimate up to this logarithm are ignored: a queue
/// whose estimates are good is scheduled by them.
inline constexpr double kIgnoredDeviation = 0.08;

/// Largest logarithm of the factor between the learned duration and the estimate (a factor of 20).
inline constexpr double kMaxDeviation = 3.0;

/// Milliseconds by which the end of a run may be noticed late, as renewals are kRenewSpacingMs
/// apart. A duration longer than the estimate by no more than this agrees with it.
inline constexpr std::int64_t kEndNoticeMs = 60;

/// Milliseconds from the order of a start to its confirmation, or a tenth of the estimate if that
/// is longer, up to which the run's duration is learned. Beyond, the time of the start is too
/// uncertain.
inline constexpr std::int64_t kMaxStartAnswerMs = 150;

/// Minimum time in milliseconds between two reports of a queue's learned durations.
inline constexpr std::int64_t kDurationReportMs = 5000;

}  // namespace endivewood::config
