/// @file
/// Choice of the tasks that get a second run.
#include "task_copies.h"

#include <algorithm>

#include "config_stragglers.h"

namespace endivewood {
namespace {

Milliseconds SavedBy(const CopyCandidate& candidate) {
  return ExpectedLeft(candidate.elapsed, candidate.expected, candidate.percent) -
         candidate.expected;
}

bool IsWorthCopying(const CopyCandidate& candidate) {
  const auto least = static_cast<std::int64_t>(config::kMinCopyElapsedFactor *
                                               static_cast<double>(candidate.expected.count()));
  return candidate.elapsed > std::max(candidate.high, Milliseconds(least)) &&
         candidate.slack >= Milliseconds{0} &&
         SavedBy(candidate) >= Milliseconds(config::kMinCopySavingMs);
}

}  // namespace

Milliseconds ExpectedLeft(Milliseconds elapsed, Milliseconds expected, int percent) {
  if (percent >= 100) return Milliseconds{0};
  if (percent > 0) return elapsed * (100 - percent) / percent;
  return std::max(expected - elapsed, elapsed);
}

std::vector<TaskKey> ChooseCopies(const std::vector<CopyCandidate>& candidates, std::size_t running,
                                  std::size_t copies) {
  const auto share =
      static_cast<std::size_t>(config::kMaxCopyShare * static_cast<double>(running - copies));
  const std::size_t limit = std::max(config::kAlwaysPermittedCopies, share);
  std::vector<CopyCandidate> worthwhile;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(worthwhile),
               IsWorthCopying);
  std::stable_sort(worthwhile.begin(), worthwhile.end(),
                   [](const CopyCandidate& a, const CopyCandidate& b) {
                     if (a.priority != b.priority) return a.priority < b.priority;
                     return SavedBy(a) > SavedBy(b);
                   });
  std::vector<TaskKey> chosen;
  for (const CopyCandidate& candidate : worthwhile) {
    if (copies + chosen.size() >= limit) break;
    chosen.push_back(candidate.task);
  }
  return chosen;
}

}  // namespace endivewood
