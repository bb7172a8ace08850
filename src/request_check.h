/// @file
/// Checks a caller's request before anything runs.
#pragma once

#include "endivewood_p.h"

namespace endivewood {

/// A checked request for a service.
struct ServiceRequest {
  std::string caller_token;
  std::string key;  ///< Valid for non-idempotent services; may be empty otherwise.
  Milliseconds queue_deadline{2000};
  std::string body;

  bool operator==(const ServiceRequest&) const = default;
};

/// @param unix_time the time against which the key is checked.
/// @param reason receives the code of the first fault and what was expected.
/// @returns the checked request, or no value when the caller has to change it.
std::optional<ServiceRequest> CheckServiceRequest(const HttpRequest& request,
                                                  const ServiceConfig& service,
                                                  Milliseconds unix_time, Reason* reason);

}  // namespace endivewood
