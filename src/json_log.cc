/// @file
/// Event log in JSON lines.
#include "json_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace endivewood {

JsonLog::JsonLog(JsonLogOptions options, const Clock* clock)
    : m_options(std::move(options)), m_clock(clock) {
  const int flags = fcntl(m_options.descriptor, F_GETFL, 0);
  if (flags >= 0) fcntl(m_options.descriptor, F_SETFL, flags | O_NONBLOCK);
}

void JsonLog::Write(Event event, const std::vector<EventField>& fields) {
  if (EventInfoOf(event).level < m_options.level) return;
  const std::int64_t second = m_clock->Now().count() / 1000;
  RateLimit& limit = m_rate_limits[event];
  if (limit.second != second) {
    const std::uint64_t suppressed = std::exchange(limit.suppressed, 0);
    limit.second = second;
    limit.lines = 0;
    if (suppressed > 0) {
      Append(Event::kLinesDropped,
             {{"of", EventInfoOf(event).name}, {"lines", suppressed}, {"cause", "budget"}});
    }
  }
  if (limit.lines >= m_options.lines_per_second) {
    ++limit.suppressed;
    ++m_dropped_total;
    return;
  }
  ++limit.lines;
  Append(event, fields);
}

void JsonLog::Append(Event event, const std::vector<EventField>& fields) {
  if (m_buffer.size() >= m_options.max_buffered_bytes) {
    ++m_unreported_dropped;
    ++m_dropped_total;
    return;
  }
  const EventInfo& info = EventInfoOf(event);
  nlohmann::ordered_json line;
  line["t"] = m_clock->UnixTime().count();
  line["up_ms"] = m_clock->Now().count();
  line["level"] = EventLevelName(info.level);
  line["no"] = static_cast<int>(event);
  line["event"] = info.name;
  line["process"] = m_options.process;
  line["dc"] = m_options.data_centre.str();
  if (m_unreported_dropped > 0) line["dropped_before"] = std::exchange(m_unreported_dropped, 0);
  for (const EventField& field : fields) line[field.name] = field.value;
  m_buffer += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  m_buffer += '\n';
}

void JsonLog::Flush() {
  while (!m_buffer.empty()) {
    const ssize_t written = write(m_options.descriptor, m_buffer.data(), m_buffer.size());
    if (written <= 0) return;
    m_buffer.erase(0, static_cast<std::size_t>(written));
  }
}

void UseJsonLog(JsonLog* log, EventMetrics* metrics) {
  SetEventSink({.enabled = [](EventLevel) { return true; },
                .write =
                    [log, metrics](Event event, const std::vector<EventField>& fields) {
                      metrics->Observe(event, fields);
                      log->Write(event, fields);
                    }});
}

}  // namespace endivewood
