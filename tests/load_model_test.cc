/// @file
/// Tests head-of-line blocking in short runs of the load model; endivewood-bench does long runs.
#include "load_model.h"

#include <catch2/catch.hpp>

namespace endivewood::testing {
namespace {

constexpr double kMaxRatio = 1.25;  // Target for the p99 wait with long work over that without.

double WorstRatio(Policy policy, bool peaks) {
  const LoadModel model{.upstreams = {2, 3},
                        .cycles = 2,
                        .ordinary_length = Milliseconds(20000),
                        .short_deadline = Milliseconds(2000)};
  LoadRun run{.policy = policy, .with_long = false, .peaks = peaks, .seed = 1};
  const LoadResult without = RunLoad(model, run);
  run.with_long = true;
  const LoadResult with = RunLoad(model, run);
  CHECK(with.long_completed > 0);
  double worst = 0.0;
  for (std::size_t window = 0; window < with.windows.size(); ++window) {
    REQUIRE(with.windows[window].requests() == without.windows[window].requests());
    // Waits below the clock's resolution count as 1 ms.
    const double base = std::max(without.windows[window].P99(), 1.0);
    worst = std::max(worst, std::max(with.windows[window].P99(), 1.0) / base);
  }
  return worst;
}

// Guards against long work that delays short work. The last check shows that the bound detects it:
// a single queue for both classes exceeds it.
TEST_CASE("the p99 wait of short work stays within its limit under saturating long work") {
  CHECK(WorstRatio(Policy::kDefault, false) <= kMaxRatio);
  CHECK(WorstRatio(Policy::kDefault, true) <= kMaxRatio);
  CHECK(WorstRatio(Policy::kFifo, false) > kMaxRatio);
}

}  // namespace
}  // namespace endivewood::testing
