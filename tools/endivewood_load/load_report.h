/// @file
/// Report of a load run: endings, latencies and effects.
#pragma once

#include <ostream>
#include <vector>

#include "load_request.h"

namespace endivewood::load {

/// Violations found by a run. A correct system has none.
struct Violations {
  int wrong_answers = 0;
  int lost = 0;
  int duplicate_effects = 0;   ///< Keys whose effect was applied more than once.
  int missing_effects = 0;     ///< Keys answered as done whose effect was not applied.
  int effects_of_not_run = 0;  ///< Keys answered as not run whose effect was applied.

  int total() const {
    return wrong_answers + lost + duplicate_effects + missing_effects + effects_of_not_run;
  }
  bool operator==(const Violations&) const = default;
};

/// How often an idempotency key took effect at the upstreams.
struct Effect {
  std::string key;
  int count = 0;
};

/// Queries the upstreams for the effects that they applied.
/// @returns no value when an upstream can't be queried; effects are then not checked.
std::optional<std::vector<Effect>> CollectEffects(const std::vector<Endpoint>& upstreams);

/// Compares the replies to callers with the effects at the upstreams.
Violations CheckRecords(const std::vector<RequestRecord>& records,
                        const std::optional<std::vector<Effect>>& effects);

/// Prints endings and latency percentiles for each service.
void PrintReport(const LoadConfig& config, const std::vector<RequestRecord>& records,
                 const Violations& violations, bool csv, std::ostream* out);

}  // namespace endivewood::load
