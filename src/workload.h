/// @file
/// Request arrivals of a load run: services whose demand peaks in turn.
#pragma once

#include <endivewood/endivewood.h>

#include <vector>

namespace endivewood {

/// How the load generator treats the requests of a service.
enum class RequestKind : std::uint8_t {
  kShort,          ///< Idempotent; sent again when the entry can't be reached.
  kNonIdempotent,  ///< Carries an idempotency key; sent again only with the same key.
  kLong,           ///< Accepted with 202; the result is fetched by its handle.
};

/// Demand for one service.
struct ServiceLoad {
  ServiceName service;
  RequestKind kind = RequestKind::kShort;
  double rate_per_s = 1.0;  ///< Mean over a full cycle of peaks.
  Milliseconds work{5};     ///< Run time at the upstream.

  bool operator==(const ServiceLoad&) const = default;
};

/// Peaks that come in turn: each service has `peak_factor` times its mean for one period, and
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

/// One request to send.
struct Arrival {
  Milliseconds at{0};  ///< From the start of the run.
  std::size_t service_index = 0;

  bool operator==(const Arrival&) const = default;
};

/// @returns the factor on a service's mean rate at a time.
double DemandFactor(const WorkloadOptions& options, std::size_t service_index, Milliseconds at);

/// @returns Poisson arrivals of all services in the order of their time; the same seed gives the
/// same arrivals.
std::vector<Arrival> GenerateArrivals(const WorkloadOptions& options);

}  // namespace endivewood
