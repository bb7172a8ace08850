/// @file
/// Names and HTTP statuses of the result codes, and random ids.
#include <endivewood/endivewood.h>

#include <array>
#include <cstdio>

#include "endivewood_p.h"

namespace endivewood {
namespace {

const std::vector<ResultCodeInfo>& Table() {
  static const std::vector<ResultCodeInfo> table = {
      {ResultCode::kOk, "ok", 200},
      {ResultCode::kAccepted, "accepted", 202},
      {ResultCode::kPending, "pending", 202},
      {ResultCode::kUnknownService, "unknown-service", 404},
      {ResultCode::kMalformedRequest, "malformed-request", 400},
      {ResultCode::kBodyTooLarge, "body-too-large", 413},
      {ResultCode::kMissingKey, "missing-idempotency-key", 400},
      {ResultCode::kKeyReused, "idempotency-key-reused", 422},
      {ResultCode::kKeyExpired, "idempotency-key-expired", 400},
      {ResultCode::kUnknownResult, "unknown-result", 404},
      {ResultCode::kMissingCallerToken, "missing-caller-token", 401},
      {ResultCode::kInvalidHeader, "invalid-header", 400},
      {ResultCode::kNotRunOverload, "not-run-overload", 503},
      {ResultCode::kNotRunDeadline, "not-run-deadline", 503},
      {ResultCode::kNotRunNoUpstream, "not-run-no-upstream", 503},
      {ResultCode::kNotRunStopping, "not-run-stopping", 503},
      {ResultCode::kNotStartedPlatform, "not-started-platform-unreachable", 503},
      {ResultCode::kNotRunCancelled, "not-run-cancelled", 409},
      {ResultCode::kNotStarted, "not-started", 503},
      {ResultCode::kUnknownEffect, "unknown-effect", 500},
      {ResultCode::kUpstreamFailed, "upstream-failed", 502},
      {ResultCode::kUpstreamTimeout, "upstream-timeout", 504},
      {ResultCode::kNotRunnable, "not-runnable", 422},
      {ResultCode::kFileUnreadable, "file-unreadable", 400},
      {ResultCode::kInvalidYaml, "invalid-yaml", 400},
      {ResultCode::kUnknownKey, "unknown-key", 400},
      {ResultCode::kWrongType, "wrong-type", 400},
      {ResultCode::kOutOfRange, "out-of-range", 400},
      {ResultCode::kMissingValue, "missing-value", 400},
      {ResultCode::kDuplicateName, "duplicate-name", 400},
      {ResultCode::kUnknownReference, "unknown-reference", 400},
      {ResultCode::kBudgetUnsatisfiable, "budget-unsatisfiable", 400},
      {ResultCode::kInvalidChart, "invalid-chart", 400},
      {ResultCode::kVersionConflict, "version-conflict", 409},
      {ResultCode::kUnknownInstance, "unknown-instance", 404},
      {ResultCode::kInvalidTransition, "invalid-transition", 409},
      {ResultCode::kBudgetBreach, "budget-breach", 409},
      {ResultCode::kDuplicateRecord, "duplicate-record", 409},
      {ResultCode::kUnknownPreset, "unknown-preset", 404},
      {ResultCode::kWaveActive, "wave-active", 409},
      {ResultCode::kInvalidRecord, "invalid-record", 400},
      {ResultCode::kPlatformUnreachable, "platform-unreachable", 503},
      {ResultCode::kAppendUncertain, "append-uncertain", 503},
      {ResultCode::kOffsetExpired, "offset-expired", 410},
      {ResultCode::kProtocolError, "protocol-error", 502},
  };
  return table;
}

}  // namespace

const std::vector<ResultCodeInfo>& ResultCodeTable() { return Table(); }

const char* ResultCodeName(ResultCode code) {
  for (const ResultCodeInfo& info : Table()) {
    if (info.code == code) return info.name;
  }
  return "unlisted";
}

int HttpStatusOf(ResultCode code) {
  for (const ResultCodeInfo& info : Table()) {
    if (info.code == code) return info.http_status;
  }
  return 500;
}

std::string RandomHex128() {
  constexpr std::size_t kBytes = 16;
  std::array<unsigned char, kBytes> bytes{};
  FillRandom(bytes.data(), bytes.size());
  std::string hex;
  for (unsigned char byte : bytes) {
    std::array<char, 3> digits{};
    std::snprintf(digits.data(), digits.size(), "%02x", byte);
    hex += digits.data();
  }
  return hex;
}

}  // namespace endivewood
