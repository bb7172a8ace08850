/// @file
/// Validates a caller's request before it runs.
#pragma once

#include "endivewood_p.h"

namespace endivewood {

/// A valid request for a service.
struct ServiceRequest {
  std::string caller_token;
  std::string key;  ///< Idempotency key; may be empty only for idempotent services.
  Milliseconds queue_deadline{2000};
  std::string body;

  bool operator==(const ServiceRequest&) const = default;
};

/// Validates the method, size and headers of a request.
/// @param unix_time the time against which the key's retention is checked.
/// @param reason receives the code of the first error and what was expected.
/// @returns the request, or no value when it is invalid.
std::optional<ServiceRequest> CheckServiceRequest(const HttpRequest& request,
                                                  const ServiceConfig& service,
                                                  Milliseconds unix_time, Reason* reason);

}  // namespace endivewood
