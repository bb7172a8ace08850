/// @file
/// Metrics derived from events.
#include "event_metrics.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <sstream>
#include <string_view>

namespace endivewood {
namespace {

/// Bucket bounds, from a single round trip to the longest time for which a job is of use.
constexpr std::array<double, 14> kBucketBoundsMs = {0,   2,   5,    10,   20,   50,    100,
                                                    200, 500, 1000, 2000, 5000, 10000, 30000};

/// Names of event fields that contain the outcome, and of those that contain the duration. The
/// first such field of an event is used.
constexpr std::array<std::string_view, 5> kOutcomeFields = {"status", "outcome", "state", "end",
                                                            "cause"};
constexpr std::array<std::string_view, 6> kDurationFields = {
    "took_ms", "waited_ms", "ran_ms", "age_ms", "cleared_in_ms", "silent_ms"};

template <std::size_t kSize>
const EventField* FindField(const std::vector<EventField>& fields,
                            const std::array<std::string_view, kSize>& names) {
  const auto found = std::find_if(fields.begin(), fields.end(), [&](const EventField& field) {
    return std::find(names.begin(), names.end(), field.name) != names.end();
  });
  return found == fields.end() ? nullptr : &*found;
}

}  // namespace

void EventMetrics::Observe(Event event, const std::vector<EventField>& fields) {
  const EventField* const outcome = FindField(fields, kOutcomeFields);
  ++m_counters[{.event = event, .outcome = outcome == nullptr ? "" : outcome->value}];
  const EventField* const duration = FindField(fields, kDurationFields);
  if (duration == nullptr) return;
  auto found = m_durations.find(event);
  if (found == m_durations.end()) {
    Axis axis(kBucketBoundsMs.begin(), kBucketBoundsMs.end());
    found =
        m_durations.emplace(event, Durations{.histogram = boost::histogram::make_histogram(axis)})
            .first;
  }
  const double milliseconds = std::atof(duration->value.c_str());
  found->second.histogram(milliseconds);
  found->second.sum_ms += milliseconds;
  ++found->second.count;
}

std::string EventMetrics::Exposition() const {
  std::ostringstream text;
  text << "# TYPE endivewood_events_total counter\n";
  for (const auto& [key, count] : m_counters) {
    text << "endivewood_events_total{event=\"" << EventInfoOf(key.event).name << "\",outcome=\""
         << key.outcome << "\"} " << count << "\n";
  }
  text << "# TYPE endivewood_event_duration_milliseconds histogram\n";
  for (const auto& [event, durations] : m_durations) {
    const std::string label = std::string("{event=\"") + EventInfoOf(event).name + "\"";
    double cumulative = durations.histogram.at(-1);
    for (std::size_t bin = 0; bin + 1 < kBucketBoundsMs.size(); ++bin) {
      cumulative += durations.histogram.at(static_cast<int>(bin));
      text << "endivewood_event_duration_milliseconds_bucket" << label << ",le=\""
           << kBucketBoundsMs[bin + 1] << "\"} " << cumulative << "\n";
    }
    text << "endivewood_event_duration_milliseconds_bucket" << label << ",le=\"+Inf\"} "
         << durations.count << "\n";
    text << "endivewood_event_duration_milliseconds_sum" << label << "} " << durations.sum_ms
         << "\n";
    text << "endivewood_event_duration_milliseconds_count" << label << "} " << durations.count
         << "\n";
  }
  return text.str();
}

}  // namespace endivewood
