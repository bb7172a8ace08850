/// @file
/// Forecast of services that peak in turn.
#include "demand_forecast.h"

#include <catch2/catch.hpp>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

constexpr std::int64_t kConfiguredMillicores = 256000;
constexpr std::int64_t kPeak = 500000;
constexpr Milliseconds kPeakInterval{4000};
const std::vector<ServiceName> services = {ServiceName("a"), ServiceName("b"), ServiceName("c")};

DemandForecast Forecast() {
  SilenceEvents();
  DemandForecast forecast({.onset_ratio = 0.3,
                           .first_peak_ratio = 1.5,
                           .quiet_period = Milliseconds(1000),
                           .lead_time = Milliseconds(2000),
                           .grace_period = Milliseconds(1000)});
  for (const ServiceName& service : services)
    forecast.SetConfiguredCapacity(service, kConfiguredMillicores);
  return forecast;
}

/// Simulates peaks of the services in turn from 0 until `end`.
void SimulatePeaks(DemandForecast* forecast, Milliseconds end) {
  for (Milliseconds now{0}; now < end; now += Milliseconds(200)) {
    const auto turn = static_cast<std::size_t>(now / kPeakInterval) % services.size();
    for (std::size_t i = 0; i < services.size(); ++i) {
      forecast->Observe(services[i], i == turn ? kPeak : 5000, now);
    }
  }
}

// Guards against following the growth of a first peak with a delay of two seconds.
TEST_CASE("the first peak is expected to exceed the configured capacity of its pool") {
  DemandForecast forecast = Forecast();
  forecast.Observe(services[0], 5000, Milliseconds(0));
  CHECK(forecast.ExpectedAt(services[0], Milliseconds(0)) == 0);
  forecast.Observe(services[0], 90000, Milliseconds(200));
  CHECK(forecast.ExpectedAt(services[0], Milliseconds(200)) == kConfiguredMillicores * 3 / 2);
}

// Guards against instances that arrive two seconds after the first jobs of each peak.
TEST_CASE("a peak is expected before it begins when its service is next in turn") {
  DemandForecast forecast = Forecast();
  SimulatePeaks(&forecast, Milliseconds(14200));
  // The first service is in its second peak; the second service follows four seconds after its
  // onset.
  CHECK(forecast.NextOnsetOf(services[1]) == Milliseconds(16000));
  CHECK(forecast.ExpectedAt(services[1], Milliseconds(13900)) == 0);
  CHECK(forecast.ExpectedAt(services[1], Milliseconds(14000)) == kPeak);
  CHECK(forecast.ExpectedAt(services[2], Milliseconds(14200)) == 0);
}

// Guards against reserving instances for a peak that doesn't come.
TEST_CASE("a missing peak is no longer expected after the grace period") {
  DemandForecast forecast = Forecast();
  SimulatePeaks(&forecast, Milliseconds(14200));
  CHECK(forecast.ExpectedAt(services[1], Milliseconds(17000)) == kPeak);
  CHECK(forecast.ExpectedAt(services[1], Milliseconds(17001)) == 0);
}

// Guards against a pool that stays at the size of its last peak.
TEST_CASE("a peak ends after a quiet period") {
  DemandForecast forecast = Forecast();
  forecast.Observe(services[0], kPeak, Milliseconds(0));
  forecast.Observe(services[0], 5000, Milliseconds(900));
  CHECK(forecast.ExpectedAt(services[0], Milliseconds(900)) > 0);
  forecast.Observe(services[0], 5000, Milliseconds(1000));
  CHECK(forecast.ExpectedAt(services[0], Milliseconds(1000)) == 0);
}

// Guards against a new planner that has to learn all peaks again and serves each two seconds late.
TEST_CASE("learned peaks are restored by the next planner, which has another clock") {
  DemandForecast first = Forecast();
  SimulatePeaks(&first, Milliseconds(14200));
  const auto learned = first.TakeChanges(Milliseconds(1000000));
  REQUIRE(learned);
  CHECK_FALSE(first.TakeChanges(Milliseconds(1000000)));
  DemandForecast second = Forecast();
  second.Restore(*learned, Milliseconds(1013000));
  // 14,200 ms by the first planner's clock is 1,200 ms by the second one's.
  second.Observe(services[0], kPeak, Milliseconds(1200));
  CHECK(second.NextOnsetOf(services[1]) == Milliseconds(3000));
  CHECK(second.ExpectedAt(services[1], Milliseconds(1200)) == kPeak);
}

// Guards against oversized pools after an outage, when the delayed callers arrive all at once.
TEST_CASE("the expected height of a peak is bounded by the configured capacity") {
  DemandForecast forecast = Forecast();
  forecast.Observe(services[0], 10 * kConfiguredMillicores, Milliseconds(0));
  forecast.Observe(services[0], 5000, Milliseconds(1500));
  forecast.Observe(services[0], kPeak, Milliseconds(20000));
  CHECK(forecast.ExpectedAt(services[0], Milliseconds(20000)) == kConfiguredMillicores * 5 / 2);
}

}  // namespace
}  // namespace endivewood::testing
