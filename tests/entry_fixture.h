/// @file
/// Sends requests to running entries and reads the effects that their upstreams applied.
#pragma once

#include <atomic>
#include <sstream>

#include "process_fixture.h"

namespace endivewood::testing {

inline std::string NewKey() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
  return std::to_string(seconds) + "-" + RandomHex128();
}

/// Sends a non-idempotent request.
inline HttpOutcome Charge(const Endpoint& entry, const std::string& key, const std::string& body,
                          const std::string& token = "caller",
                          Milliseconds timeout = Milliseconds(20000)) {
  return HttpCall(entry,
                  {.method = "POST",
                   .path = "/v1/services/charge",
                   .query = "",
                   .headers = {{"Caller-Token", token}, {"Idempotency-Key", key}},
                   .body = body},
                  timeout);
}

/// @returns the result code of an answer, or -1 when there is none.
inline int CodeOf(const HttpOutcome& outcome) {
  return outcome.reply ? std::atoi(outcome.reply->Header("Result-Code").c_str()) : -1;
}

inline int CodeNumber(ResultCode code) { return static_cast<int>(code); }

inline bool IsNotRun(int code) {
  return code >= CodeNumber(ResultCode::kNotRunOverload) &&
         code < CodeNumber(ResultCode::kUnknownEffect) &&
         code != CodeNumber(ResultCode::kNotStartedPlatform) &&
         code != CodeNumber(ResultCode::kNotStarted);
}

inline void SetFaults(const Endpoint& standin, const std::string& query) {
  const HttpOutcome outcome =
      HttpCall(standin, {.method = "POST", .path = "/faults?" + query}, Milliseconds(5000));
  REQUIRE(outcome.reply);
}

/// A deployment whose entries serve the published configuration.
class ServingDeployment : public Deployment {
 public:
  explicit ServingDeployment(const DeploymentOptions& options) : Deployment(options) {
    REQUIRE(RunOperatorCommand({"publish", FleetFile()}) == 0);
    for (int entry = 1; entry <= options.entries_per_data_centre; ++entry) {
      REQUIRE(Eventually([&] { return CodeOf(Quick(entry)) == 0; }));
    }
  }

  HttpOutcome Quick(int entry, const std::string& body = "0 x") const {
    return Post(Callers(1, entry), "/v1/services/quick", body);
  }

  /// @returns how often the upstreams applied the effect of each key.
  std::map<std::string, int> Effects() const {
    std::map<std::string, int> effects;
    for (int index = 1; index <= options().upstreams_per_service; ++index) {
      const HttpOutcome outcome = Get(Upstream(1, "quick", index), "/effects");
      REQUIRE(outcome.reply);
      std::istringstream lines(outcome.reply->body);
      std::string key;
      int count = 0;
      while (lines >> key >> count) effects[key] += count;
    }
    return effects;
  }

  void SetUpstreamFaults(const std::string& query) const {
    for (int index = 1; index <= options().upstreams_per_service; ++index) {
      SetFaults(Upstream(1, "quick", index), query);
    }
  }
};

}  // namespace endivewood::testing
