/// @file
/// Event log that writes one JSON object per line to a file descriptor. Its buffer is bounded, and
/// writing never blocks.
#pragma once

#include <map>
#include <string>

#include "event_metrics.h"
#include "events.h"

namespace endivewood {

struct JsonLogOptions {
  int descriptor = 1;  ///< Standard output.
  std::string process;
  DataCentreName data_centre;
  EventLevel level = EventLevel::kInfo;
  /// Maximum lines per second of one event. Further ones are dropped; their number is logged with
  /// the event's next line in a later second.
  int lines_per_second = 300;
  /// Maximum bytes buffered for a slow reader. Further lines are dropped and counted.
  std::size_t max_buffered_bytes = 256 << 10;
};

/// Not thread-safe.
class JsonLog {
 public:
  JsonLog(JsonLogOptions options, const Clock* clock);

  /// Appends a line to the buffer. Bytes that aren't UTF-8 are replaced.
  void Write(Event event, const std::vector<EventField>& fields);

  /// Writes as much of the buffer as possible without blocking.
  void Flush();

  std::uint64_t dropped() const { return m_dropped_total; }

 private:
  struct RateLimit {
    std::int64_t second = -1;
    int lines = 0;
    std::uint64_t suppressed = 0;
  };

  void Append(Event event, const std::vector<EventField>& fields);

  JsonLogOptions m_options;
  const Clock* m_clock;
  std::map<Event, RateLimit> m_rate_limits;
  std::string m_buffer;
  std::uint64_t m_unreported_dropped = 0;  ///< Lines dropped for lack of space, not yet logged.
  std::uint64_t m_dropped_total = 0;
};

/// Directs the events of LogEvent to `log` and `metrics`. @param log must outlive every later
/// event.
/// @param metrics counts every event, including those that the log drops.
void UseJsonLog(JsonLog* log, EventMetrics* metrics);

}  // namespace endivewood
