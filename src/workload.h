/// @file
/// Generates the request arrivals of a load run in which the services peak one after another.
#pragma once

#include <endivewood/endivewood.h>

#include <vector>

namespace endivewood {

/// How the load generator treats the requests of a service.
enum class RequestKind : std::uint8_t {
  kShort,          ///< Idempotent; retried when the entry can't be reached.
  kNonIdempotent,  ///< Has an idempotency key; retried only with the same key.
  kLong,           ///< Answered with 202; the result is fetched by its handle.
};

/// Demand for one service.
struct ServiceLoad {
  ServiceName service;
  RequestKind kind = RequestKind::kShort;
  double rate_per_s = 1.0;  ///< Mean over a full cycle of peaks.
  Milliseconds work{5};     ///< Run time at the upstream.

  bool operator==(const ServiceLoad&) const = default;
};

/// Alternating peaks: the rate of each service is `peak_factor` times its mean for one period, and
/// `idle_factor` times its mean while the others peak.
struct PeakPattern {
  Milliseconds period{0};  ///< 0 means a steady rate.
  double peak_factor = 5.0;
  double idle_factor = 0.05;

  bool operator==(const PeakPattern&) const = default;
};

/// Options of a load run.
struct WorkloadOptions {
  std::uint64_t seed = 1;
  Milliseconds duration{10000};
  PeakPattern peaks;
  std::vector<ServiceLoad> services;

  bool operator==(const WorkloadOptions&) const = default;
};

/// Time and service of one request.
struct Arrival {
  Milliseconds at{0};  ///< From the start of the run.
  std::size_t service_index = 0;

  bool operator==(const Arrival&) const = default;
};

/// @returns the rate of a service at a time, as a multiple of its mean rate.
double DemandFactor(const WorkloadOptions& options, std::size_t service_index, Milliseconds at);

/// @returns Poisson arrivals of all services, ordered by time. Equal options give equal arrivals.
std::vector<Arrival> GenerateArrivals(const WorkloadOptions& options);

}  // namespace endivewood
