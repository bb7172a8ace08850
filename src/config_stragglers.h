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

/// Share of a kind's tasks that end sooner than one that is copied.
inline constexpr double kCopyQuantile = 0.95;

/// A task is copied only after this multiple of its typical duration. Below, a copy that starts
/// from the beginning rarely ends first.
inline constexpr double kMinCopyElapsedFactor = 1.5;

/// Milliseconds by which a copy has to be expected to end sooner than the first run: a start and
/// the notice of an end take about as long.
inline constexpr std::int64_t kMinCopySavingMs = 150;

/// Ended runs of a queue before its tasks are copied. With fewer, the 95th percentile is a guess.
inline constexpr std::size_t kCopyMinRuns = 64;

/// Copies may be this share of a service's other running tasks: 3 % of the tasks are slow, and a
/// copy takes room that tasks arriving next could use.
inline constexpr double kMaxCopyShare = 0.04;

/// Copies that a service may have however few tasks run. With one, a copy that is slow itself kept
/// all other slow tasks of a small service from being copied.
inline constexpr std::size_t kAlwaysPermittedCopies = 3;

/// Milliseconds between two searches for tasks to copy. A search visits all running tasks.
inline constexpr std::int64_t kCopyCheckMs = 200;

/// Milliseconds after which an upstream's run counts half. Upstreams that fail or are slow do so
/// for some seconds to minutes; a longer memory would keep those that have recovered idle.
inline constexpr std::int64_t kHistoryHalfLifeMs = 15000;

/// Weight in runs of the assumption that an upstream is sound.
inline constexpr double kHistoryPriorRuns = 4;

/// Largest logarithm of duration / expected duration that one run counts (a factor of 3), so that
/// one of the rare tasks that take seven times as long doesn't make its upstream look slow.
inline constexpr double kMaxRunSlowness = 1.1;

/// Share of failed runs above that of the other upstreams that makes one doubtful, or bad. With the
/// prior, 2 failures of 6 runs make it doubtful, and 5 of 6 bad.
inline constexpr double kDoubtfulFailedShare = 0.15;
inline constexpr double kBadFailedShare = 0.4;

/// Mean logarithm of duration / expected duration above that of the other upstreams that makes one
/// doubtful, or bad (factors of 1.35 and 2).
inline constexpr double kDoubtfulSlowness = 0.3;
inline constexpr double kBadSlowness = 0.7;

/// Milliseconds for which an upstream that didn't answer is doubtful after it answers again. One
/// that flaps goes away again within seconds.
inline constexpr std::int64_t kReturnDoubtMs = 5000;

}  // namespace endivewood::config
