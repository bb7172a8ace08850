/// @file
/// Conversion of task keys and order outcomes to and from text.
#include "jobs.h"

#include <charconv>

namespace endivewood {
namespace {

/// Parses the number after the last dot and removes both from `text`.
bool TakeLastNumber(std::string_view* text, int* number) {
  const std::size_t dot = text->rfind('.');
  if (dot == std::string_view::npos) return false;
  const std::string_view digits = text->substr(dot + 1);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), *number);
  if (error != std::errc() || end != digits.data() + digits.size() || *number < 0) return false;
  *text = text->substr(0, dot);
  return true;
}

}  // namespace

std::string TaskKey::str() const {
  return job.str() + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." +
         std::to_string(index);
}

std::optional<TaskKey> TaskKey::Parse(const std::string& text) {
  TaskKey key;
  std::string_view rest = text;
  if (!TakeLastNumber(&rest, &key.index)) return std::nullopt;
  if (!TakeLastNumber(&rest, &key.step)) return std::nullopt;
  if (!TakeLastNumber(&rest, &key.occurrence)) return std::nullopt;
  if (rest.empty()) return std::nullopt;
  key.job = JobId(std::string(rest));
  return key;
}

const char* OrderOutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kNoAnswer:
      return "no-answer";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kStaleRun:
      return "stale-run";
    case OrderOutcome::kLeaseExpired:
      return "lease-expired";
    case OrderOutcome::kNoCapacity:
      return "no-room";
    case OrderOutcome::kTicketInvalid:
      return "ticket-invalid";
    case OrderOutcome::kWrongIncarnation:
      return "wrong-incarnation";
    case OrderOutcome::kUnhealthy:
      return "unhealthy";
    case OrderOutcome::kInvalid:
      return "invalid";
  }
  return "invalid";
}

}  // namespace endivewood
