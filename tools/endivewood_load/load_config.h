/// @file
/// Configuration of a load run.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "workload.h"

namespace endivewood::load {

/// Where and how to send a workload.
struct LoadConfig {
  WorkloadOptions workload;
  std::vector<Endpoint> entries;       ///< Caller listeners, used in turn.
  std::vector<Endpoint> upstreams;     ///< Queried for the effects that they applied.
  int connections = 64;                ///< Requests in progress at a time.
  int max_attempts = 20;               ///< Attempts per request, all with the same key.
  Milliseconds timeout{20000};         ///< For one attempt.
  Milliseconds result_timeout{60000};  ///< For polling the result of long work.

  bool operator==(const LoadConfig&) const = default;
};

/// Parses and checks a load configuration.
/// @returns the configuration, or no value when there is any error.
std::optional<LoadConfig> ParseLoadConfig(const std::string& text, const std::string& file,
                                          std::vector<ConfigError>* errors);

}  // namespace endivewood::load
