/// @file
/// Constants of admission and of the order of waiting work when a service has too little room.
#pragma once

#include <cstddef>
#include <cstdint>

namespace endivewood::config {

/// Milliseconds whose worth of jobs an account may send at once within its rate. A caller's
/// arrivals vary by about this much from second to second.
inline constexpr std::int64_t kRateBurstMs = 1000;

/// Milliseconds for which a submitted job's id is known, so that repeats don't count. Callers
/// repeat a job for a few seconds.
inline constexpr std::int64_t kSubmittedMemoryMs = 10000;

/// Minimum milliseconds between two `account-surplus` events of one account.
inline constexpr std::int64_t kSurplusReportMs = 1000;

/// Milliseconds after which placed work counts by 1/e in an account's share. The demand of queues
/// and accounts peaks for about four seconds.
inline constexpr std::int64_t kUsageDecayMs = 4000;

/// Part of the fair share, and number of mean jobs, by which an account may exceed its fair share
/// before its waiting work comes after that of others. Sizes of jobs vary by a factor of two, and
/// one job of a small account exceeds its share for seconds.
inline constexpr double kShareMargin = 0.25;
inline constexpr double kShareMarginJobs = 2.0;

/// Milliseconds between the end of a step and the start of the next one in a full pool. Without it,
/// jobs whose first step used up their slack are late by this little.
inline constexpr std::int64_t kStepDelayMs = 100;

/// Part of a waiting job's slack that has to be left in predictions; otherwise surplus comes after
/// all other work. Predictions rest on callers' estimates and on evenly spread ends of tasks.
inline constexpr double kContentionMargin = 0.5;

/// Each level of priority below the highest costs callers this share of the one above it.
inline constexpr double kPriorityCostRatio = 0.5;

/// Cost of work beyond an account's rate, relative to other work: callers can't count on it.
inline constexpr double kSurplusCost = 0.1;

/// Cost of work of an account that is above its fair share, relative to other work.
inline constexpr double kAboveShareCost = 0.5;

/// What a job is worth to its caller: a fixed part, and a part by its work relative to the mean of
/// its queue, at most kMaxRelativeCost in all (the platform's page on credit).
inline constexpr double kFixedCost = 0.3;
inline constexpr double kSizeCost = 0.7;
inline constexpr double kMaxRelativeCost = 4.0;

/// Number of latest jobs of a queue from which the sizes of its jobs are known.
inline constexpr std::size_t kSizeSamples = 200;
/// Minimum number of samples: with fewer, the largest tenth is a single job.
inline constexpr std::size_t kMinSizeSamples = 20;
/// The largest tenth of a queue's jobs, and the fifth below it, are counted by themselves.
inline constexpr double kLargestShare = 0.1;
inline constexpr double kLargeShare = 0.2;
/// Such a class has to be served at least half as often as all jobs of its queue. Below this
/// part of the queue's share of accepted jobs, its jobs are preferred. The margin covers accepted
/// jobs that end late.
inline constexpr double kMinClassShare = 0.8;
/// Cost of refusing a job of a class that is below kMinClassShare, relative to other work.
inline constexpr double kPreferredCost = 5.0;
/// Milliseconds by which such a job comes earlier in the scheduling order. In an overload the work
/// that is accepted fills about this much time.
inline constexpr std::int64_t kPreferredRankMs = 1000;
/// Milliseconds after which an arrival counts by 1/e in the shares of the classes.
inline constexpr std::int64_t kClassDecayMs = 10000;

/// Milliseconds over which refused callers' returns are spread. Callers wait in whole seconds, so
/// it takes more than one second to spread them at all.
inline constexpr std::int64_t kReturnSpreadMs = 2000;

/// Maximum milliseconds of a Retry-After for overload. Peaks last about four seconds; nothing is
/// known about the load beyond.
inline constexpr std::int64_t kMaxOverloadRetryMs = 10000;

}  // namespace endivewood::config
