/// @file
/// Head-of-line blocking in a short run of the load model; endivewood-bench measures long ones.
#include "load_model.h"

#include <catch2/catch.hpp>

namespace endivewood::testing {
namespace {

constexpr double kMaxRatio = 1.25;  // Target of the design page.

double WorstRatio(Policy policy, bool peaks) {
  const LoadModel model{.executors = {2, 3},
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
    // Waits below the resolution of the clock count as one millisecond.
    const double base = std::max(without.windows[window].P99(), 1.0);
    worst = std::max(worst, std::max(with.windows[window].P99(), 1.0) / base);
  }
  return worst;
}

// Guards against long work that slows short work down. One queue without classes fails it.
TEST_CASE("saturated long work hardly changes the wait of short work") {
  CHECK(WorstRatio(Policy::kOurs, false) <= kMaxRatio);
  CHECK(WorstRatio(Policy::kOurs, true) <= kMaxRatio);
  CHECK(WorstRatio(Policy::kFifo, false) > kMaxRatio);
}

}  // namespace
}  // namespace endivewood::testing
