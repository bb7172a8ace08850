/// @file
/// Conversion of task keys and order outcomes to and from text.
#include "jobs.h"

#include <algorithm>
#include <charconv>

#include "config.h"

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

bool IsWithinLimits(const JobSpec& spec) {
  if (spec.steps.empty() || spec.steps.size() > config::kMaxStepsPerJob) return false;
  if (spec.occurrences < 0 || spec.occurrences > config::kMaxOccurrencesPerJob) return false;
  const auto is_time = [](Milliseconds value) {
    return value.count() >= 0 && value.count() <= config::kMaxUnixMs;
  };
  const auto is_duration = [](Milliseconds value) {
    return value.count() >= 0 && value.count() <= config::kMaxJobDurationMs;
  };
  const auto is_resource = [](int value) { return value >= 0 && value <= config::kMaxResource; };
  if (!is_time(spec.first_due) || !is_duration(spec.interval)) return false;
  std::int64_t tasks = 0;
  for (int position = 0; position < static_cast<int>(spec.steps.size()); ++position) {
    const StepSpec& step = spec.steps[position];
    if (step.count < 1) return false;
    tasks += step.count;
    if (tasks > config::kMaxTasksPerJob) return false;
    if (!is_resource(step.cpu_millicores) || !is_resource(step.memory_mb)) return false;
    if (!is_resource(step.gpus) || !is_duration(step.estimate)) return false;
    if (!is_duration(step.target_latency)) return false;
    if (step.max_per_upstream < 0 || step.max_unavailable < 0) return false;
    const bool ordered = std::all_of(step.depends.begin(), step.depends.end(), [&](int dependency) {
      return dependency >= 0 && dependency < position;
    });
    if (!ordered) return false;
  }
  return tasks * std::max(1, spec.occurrences) <= config::kMaxTasksOfAllOccurrences;
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
    case OrderOutcome::kNotSent:
      return "not-sent";
    case OrderOutcome::kInvalid:
      return "invalid";
    case OrderOutcome::kOtherIncarnation:
      return "other-incarnation";
  }
  return "invalid";
}

}  // namespace endivewood
