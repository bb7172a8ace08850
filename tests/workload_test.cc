/// @file
/// Tests the arrivals of the load generator.
#include "workload.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace endivewood {
namespace {

WorkloadOptions PeakingOptions() {
  return {.seed = 7,
          .duration = std::chrono::seconds(100),
          .peaks = {.period = std::chrono::seconds(5)},
          .services = {{.service = ServiceName("a"), .rate_per_s = 50},
                       {.service = ServiceName("b"), .rate_per_s = 50}}};
}

int CountBetween(const std::vector<Arrival>& arrivals, std::size_t service, Milliseconds from,
                 Milliseconds to) {
  return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& a) {
    return a.service_index == service && a.at >= from && a.at < to;
  }));
}

// Guards against load runs that can't be repeated, and arrivals out of order.
TEST_CASE("arrivals are ordered and depend on the seed only") {
  const auto arrivals = GenerateArrivals(PeakingOptions());
  CHECK(arrivals == GenerateArrivals(PeakingOptions()));
  CHECK(std::is_sorted(arrivals.begin(), arrivals.end(),
                       [](const Arrival& a, const Arrival& b) { return a.at < b.at; }));
}

// Guards against peaks below five times the mean, with which all measurements of peaks would look
// too good. The bounds are five standard deviations of the Poisson counts.
TEST_CASE("services peak in turn at five times their mean") {
  const auto arrivals = GenerateArrivals(PeakingOptions());
  const int peak = CountBetween(arrivals, 0, Milliseconds(0), Milliseconds(5000));
  CHECK(peak > 1250 - 5 * 36);
  CHECK(peak < 1250 + 5 * 36);
  const int idle = CountBetween(arrivals, 1, Milliseconds(0), Milliseconds(5000));
  CHECK(idle < 13 + 5 * 4);
}

// Guards against a workload without peaks whose arrivals are thinned as if it had peaks.
TEST_CASE("a workload without peaks has its mean rate") {
  WorkloadOptions options = PeakingOptions();
  options.peaks.period = Milliseconds(0);
  const int count = CountBetween(GenerateArrivals(options), 0, Milliseconds(0), options.duration);
  CHECK(count > 5000 - 5 * 71);
  CHECK(count < 5000 + 5 * 71);
}

}  // namespace
}  // namespace endivewood
