/// @file
/// One request of a load run, with its retries and the check of its reply.
#pragma once

#include <string>

#include "endivewood_p.h"
#include "load_config.h"

namespace endivewood::load {

/// How a request ended for its caller.
enum class Ending : std::uint8_t {
  kAnswered,     ///< The complete reply to this request.
  kNotRun,       ///< Definitely not run.
  kUnknown,      ///< The effect is not known.
  kFailed,       ///< Refused or failed with another result code.
  kLost,         ///< No definite reply within the attempts.
  kWrongAnswer,  ///< The reply to another request, or a truncated one.
};

/// Outcome of a request.
struct RequestRecord {
  std::size_t service_index = 0;
  std::string key;  ///< Idempotency key; empty for idempotent requests.
  Ending ending = Ending::kLost;
  Milliseconds latency{0};  ///< From the scheduled arrival to the end.
  int attempts = 0;
  ResultCode last_code = ResultCode::kOk;
};

/// Sends the requests of a run.
class RequestSender {
 public:
  explicit RequestSender(const LoadConfig& config) : m_config(config) {}

  /// Sends one request and retries it until it has ended or `max_attempts` is reached.
  /// @param number picks the first entry; later attempts use the next ones.
  RequestRecord Send(std::size_t service_index, std::uint64_t number) const;

 private:
  HttpOutcome Attempt(const ServiceLoad& load, const RequestRecord& record, const std::string& text,
                      const Endpoint& entry) const;
  Ending PollResult(const std::string& location, const std::string& text,
                    std::uint64_t number) const;
  const Endpoint& Entry(std::uint64_t number) const;

  const LoadConfig& m_config;
};

}  // namespace endivewood::load
