/// @file
/// Retry budget and retry delays.
#include "retry.h"

#include <algorithm>
#include <cmath>

namespace endivewood {

RetryBudget::RetryBudget(const RetryOptions& options)
    : m_options(options), m_tokens(options.burst) {}

void RetryBudget::OnRequest() { m_tokens = std::min(m_options.burst, m_tokens + m_options.share); }

bool RetryBudget::TryRetry() {
  if (m_tokens < 1.0) return false;
  m_tokens -= 1.0;
  return true;
}

Milliseconds RetryDelay(const RetryOptions& options, int attempt, double uniform) {
  const double factor = std::exp2(std::max(0, attempt - 1));
  const double bound = std::min(static_cast<double>(options.max_delay.count()),
                                static_cast<double>(options.base_delay.count()) * factor);
  return Milliseconds(static_cast<std::int64_t>(bound * uniform));
}

}  // namespace endivewood
