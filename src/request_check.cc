/// @file
/// Validates a caller's request before it runs.
#include "request_check.h"

#include <algorithm>
#include <charconv>

#include "claims.h"
#include "config.h"

namespace endivewood {
namespace {

bool HasControlCharacter(const std::string& value) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto is_control = [](unsigned char c) { return c < kFirstPrintable || c == kDelete; };
  return std::any_of(value.begin(), value.end(), is_control);
}

/// Validates parts of one request and stores the first error in the reason.
class Checker {
 public:
  Checker(const HttpRequest& request, Reason* reason) : m_request(request), m_reason(reason) {}

  bool Fail(ResultCode code, const std::string& text) {
    *m_reason = {.code = code, .text = text};
    return false;
  }

  bool CheckMethodAndSize() {
    if (m_request.method != "POST") return Fail(ResultCode::kMalformedRequest, "expected POST");
    if (m_request.body.size() > config::kMaxBodyBytes) {
      return Fail(ResultCode::kBodyTooLarge,
                  "expected a body of at most " + std::to_string(config::kMaxBodyBytes) + " bytes");
    }
    return true;
  }

  bool ReadHeader(const std::string& name, std::string* value) {
    const auto named = [&](const HttpHeader& header) {
      return std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(),
                        [](char a, char b) { return std::tolower(a) == std::tolower(b); });
    };
    if (std::count_if(m_request.headers.begin(), m_request.headers.end(), named) > 1) {
      return Fail(ResultCode::kInvalidHeader, name + ": expected at most once");
    }
    *value = m_request.Header(name);
    if (value->size() > config::kMaxHeaderBytes) {
      return Fail(
          ResultCode::kInvalidHeader,
          name + ": expected at most " + std::to_string(config::kMaxHeaderBytes) + " bytes");
    }
    if (HasControlCharacter(*value)) {
      return Fail(ResultCode::kInvalidHeader, name + ": expected printable characters");
    }
    return true;
  }

  bool ReadDeadline(Milliseconds* deadline) {
    std::string text;
    if (!ReadHeader("Deadline-Ms", &text)) return false;
    if (text.empty()) return true;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    if (!whole || value < 1 || value > config::kMaxDeadlineMs) {
      return Fail(ResultCode::kInvalidHeader,
                  "Deadline-Ms: expected 1 to " + std::to_string(config::kMaxDeadlineMs));
    }
    *deadline = std::min(*deadline, Milliseconds(value));
    return true;
  }

  bool CheckKey(const std::string& key, Milliseconds unix_time) {
    if (key.empty()) return Fail(ResultCode::kMissingKey, "expected the header Idempotency-Key");
    if (!KeyTime(IdempotencyKey(key))) {
      return Fail(ResultCode::kInvalidHeader,
                  "Idempotency-Key: expected EPOCH_SECONDS-32_LOWER_CASE_HEX_DIGITS");
    }
    if (!IsWithinRetention(IdempotencyKey(key), unix_time)) {
      return Fail(ResultCode::kKeyExpired, "Idempotency-Key: outside the retention window");
    }
    return true;
  }

 private:
  const HttpRequest& m_request;
  Reason* m_reason;
};

}  // namespace

std::optional<ServiceRequest> CheckServiceRequest(const HttpRequest& request,
                                                  const ServiceConfig& service,
                                                  Milliseconds unix_time, Reason* reason) {
  Checker checker(request, reason);
  ServiceRequest checked{.caller_token = "",
                         .key = "",
                         .queue_deadline = service.queue_deadline,
                         .body = request.body};
  if (!checker.CheckMethodAndSize()) return std::nullopt;
  if (!checker.ReadHeader("Caller-Token", &checked.caller_token)) return std::nullopt;
  if (!checker.ReadHeader("Idempotency-Key", &checked.key)) return std::nullopt;
  if (!checker.ReadDeadline(&checked.queue_deadline)) return std::nullopt;
  const bool needs_key = !service.idempotent;
  const bool needs_token = needs_key || service.work_class == WorkClass::kLong;
  if (needs_token && checked.caller_token.empty()) {
    checker.Fail(ResultCode::kMissingCallerToken, "expected the header Caller-Token");
    return std::nullopt;
  }
  if (needs_key && !checker.CheckKey(checked.key, unix_time)) return std::nullopt;
  return checked;
}

}  // namespace endivewood
