/// @file
/// Polling of conditions in tests.
#pragma once

#include "endivewood_p.h"

namespace endivewood::testing {

/// Polls until the condition holds or `limit` has passed. @returns whether it holds.
inline bool Eventually(const std::function<bool()>& condition,
                       Milliseconds limit = Milliseconds(10000)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return condition();
}

}  // namespace endivewood::testing
