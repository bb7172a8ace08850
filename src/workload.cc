/// @file
/// Generates the request arrivals of a load run.
#include "workload.h"

#include <algorithm>
#include <random>

namespace endivewood {
namespace {

constexpr double kMsPerSecond = 1000.0;

/// Generates a Poisson process by thinning: candidates arrive at the highest rate, and each is kept
/// with a probability of the current rate divided by the highest.
std::vector<Arrival> ServiceArrivals(const WorkloadOptions& options, std::size_t index,
                                     std::mt19937_64* random) {
  const double highest_factor =
      options.peaks.period.count() > 0 ? std::max(1.0, options.peaks.peak_factor) : 1.0;
  const double rate_per_ms = options.services[index].rate_per_s / kMsPerSecond;
  std::exponential_distribution<double> gap(rate_per_ms * highest_factor);
  std::uniform_real_distribution<double> chance(0.0, 1.0);
  std::vector<Arrival> arrivals;
  const auto end = static_cast<double>(options.duration.count());
  for (double at = gap(*random); at < end; at += gap(*random)) {
    const Milliseconds time(static_cast<std::int64_t>(at));
    const double probability = DemandFactor(options, index, time) / highest_factor;
    if (chance(*random) < probability) arrivals.push_back({.at = time, .service_index = index});
  }
  return arrivals;
}

}  // namespace

double DemandFactor(const WorkloadOptions& options, std::size_t service_index, Milliseconds at) {
  if (options.peaks.period.count() == 0) return 1.0;
  const auto peaking_index =
      static_cast<std::size_t>(at / options.peaks.period) % options.services.size();
  return peaking_index == service_index ? options.peaks.peak_factor : options.peaks.idle_factor;
}

std::vector<Arrival> GenerateArrivals(const WorkloadOptions& options) {
  std::mt19937_64 random(options.seed);
  std::vector<Arrival> arrivals;
  for (std::size_t index = 0; index < options.services.size(); ++index) {
    const auto service = ServiceArrivals(options, index, &random);
    arrivals.insert(arrivals.end(), service.begin(), service.end());
  }
  const auto earlier = [](const Arrival& a, const Arrival& b) { return a.at < b.at; };
  std::stable_sort(arrivals.begin(), arrivals.end(), earlier);
  return arrivals;
}

}  // namespace endivewood
