/// @file
/// Retry budget and retry delays.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood {

/// Options of the retry budget and of retry delays.
struct RetryOptions {
  /// Retries per first attempt. A tenth limits the load on a recovering data centre to 1.1 times
  /// the requests that callers send.
  double share = 0.1;
  /// Retries allowed without first attempts between them, so that a service with few requests can
  /// retry too.
  double burst = 10.0;
  Milliseconds base_delay{10};
  Milliseconds max_delay{1000};
};

/// Limits retries to a share of the request rate: in any interval at most
/// `burst + share * first attempts` retries are allowed. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryOptions& options = {});

  /// Counts a first attempt.
  void OnRequest();

  /// @returns true when a retry is allowed now, and takes it from the budget.
  bool TryRetry();

 private:
  RetryOptions m_options;
  double m_tokens;
};

/// @param attempt 1 for the first retry.
/// @param uniform a random number in [0, 1).
/// @returns a delay that is uniform between zero and the exponential bound (full jitter).
Milliseconds RetryDelay(const RetryOptions& options, int attempt, double uniform);

}  // namespace endivewood
