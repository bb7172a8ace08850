/// @file
/// Numbered log events through log4cxx.
#include "events.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>

namespace endivewood {
namespace {

constexpr char kPattern[] = "%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z %p %m%n";

const std::vector<EventInfo>& Table() {
  static const std::vector<EventInfo> table = {
      {Event::kProcessStarted, "process-started", EventLevel::kInfo},
      {Event::kProcessStopping, "process-stopping", EventLevel::kInfo},
      {Event::kProcessStopped, "process-stopped", EventLevel::kInfo},
      {Event::kSettingsInvalid, "settings-invalid", EventLevel::kError},
      {Event::kListenerFailed, "listener-failed", EventLevel::kError},
      {Event::kDumpRequested, "dump-requested", EventLevel::kDebug},
      {Event::kPlatformLost, "platform-lost", EventLevel::kWarning},
      {Event::kPlatformRestored, "platform-restored", EventLevel::kInfo},
      {Event::kOffsetExpired, "offset-expired", EventLevel::kWarning},
      {Event::kAppendResolved, "append-resolved", EventLevel::kInfo},
      {Event::kAppendFailed, "append-failed", EventLevel::kWarning},
      {Event::kMalformedRecord, "malformed-record", EventLevel::kWarning},
      {Event::kSnapshotTaken, "snapshot-taken", EventLevel::kInfo},
      {Event::kSnapshotRestored, "snapshot-restored", EventLevel::kInfo},
      {Event::kInstanceListStale, "instance-list-stale", EventLevel::kWarning},
      {Event::kRecordAccepted, "record-accepted", EventLevel::kDebug},
      {Event::kRecordRejected, "record-rejected", EventLevel::kInfo},
      {Event::kConfigInForce, "config-in-force", EventLevel::kInfo},
      {Event::kPresetInForce, "preset-in-force", EventLevel::kInfo},
      {Event::kInstanceMoved, "instance-moved", EventLevel::kInfo},
      {Event::kWaveStarted, "wave-started", EventLevel::kInfo},
      {Event::kWavePaused, "wave-paused", EventLevel::kWarning},
      {Event::kWaveResumed, "wave-resumed", EventLevel::kInfo},
      {Event::kWaveFinished, "wave-finished", EventLevel::kInfo},
      {Event::kChangeProposed, "change-proposed", EventLevel::kInfo},
      {Event::kPlannerWaiting, "planner-waiting", EventLevel::kDebug},
      {Event::kBudgetExhausted, "budget-exhausted", EventLevel::kWarning},
      {Event::kInstanceLost, "instance-lost", EventLevel::kWarning},
      {Event::kRebootFailed, "reboot-failed", EventLevel::kWarning},
      {Event::kRequestAnswered, "request-answered", EventLevel::kDebug},
      {Event::kRequestRefused, "request-refused", EventLevel::kDebug},
      {Event::kRequestFailed, "request-failed", EventLevel::kDebug},
      {Event::kRequestRetried, "request-retried", EventLevel::kDebug},
      {Event::kRequestUnknown, "request-unknown", EventLevel::kWarning},
      {Event::kRequestCancelled, "request-cancelled", EventLevel::kDebug},
      {Event::kKeyClaimed, "key-claimed", EventLevel::kDebug},
      {Event::kKeyFenced, "key-fenced", EventLevel::kWarning},
      {Event::kLongAccepted, "long-accepted", EventLevel::kDebug},
      {Event::kLongTakenOver, "long-taken-over", EventLevel::kWarning},
      {Event::kLongFinished, "long-finished", EventLevel::kDebug},
      {Event::kLongCheckpointed, "long-checkpointed", EventLevel::kDebug},
      {Event::kLongResumed, "long-resumed", EventLevel::kDebug},
      {Event::kRequestDemoted, "request-demoted", EventLevel::kDebug},
      {Event::kJobStopped, "job-stopped", EventLevel::kWarning},
      {Event::kRetryBudgetSpent, "retry-budget-spent", EventLevel::kWarning},
      {Event::kUpstreamEjected, "upstream-ejected", EventLevel::kWarning},
      {Event::kUpstreamReadmitted, "upstream-readmitted", EventLevel::kInfo},
      {Event::kEjectionCapped, "ejection-capped", EventLevel::kWarning},
      {Event::kUpstreamSilent, "upstream-silent", EventLevel::kWarning},
      {Event::kUpstreamMismatch, "upstream-mismatch", EventLevel::kError},
      {Event::kUpstreamRefused, "upstream-refused", EventLevel::kDebug},
      {Event::kPeerConnected, "peer-connected", EventLevel::kInfo},
      {Event::kPeerLost, "peer-lost", EventLevel::kWarning},
      {Event::kPeerLeft, "peer-left", EventLevel::kInfo},
      {Event::kPeerProtocolError, "peer-protocol-error", EventLevel::kWarning},
      {Event::kQueueHolderChanged, "queue-holder-changed", EventLevel::kInfo},
      {Event::kGrantsReleased, "grants-released", EventLevel::kDebug},
      {Event::kRecordsRelayed, "records-relayed", EventLevel::kDebug},
  };
  return table;
}

log4cxx::LevelPtr LevelOf(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return log4cxx::Level::getDebug();
    case EventLevel::kInfo:
      return log4cxx::Level::getInfo();
    case EventLevel::kWarning:
      return log4cxx::Level::getWarn();
    case EventLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

bool NeedsQuotes(const std::string& value) {
  const auto plain = [](unsigned char character) {
    return character > ' ' && character != '"' && character != '\\' && character != 0x7f;
  };
  return value.empty() || !std::all_of(value.begin(), value.end(), plain);
}

std::string Escaped(const std::string& value) {
  std::string text;
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte == '"' || byte == '\\') text += '\\';
    if (byte >= ' ' && byte != 0x7f) {
      text += character;
      continue;
    }
    std::array<char, 8> code{};
    std::snprintf(code.data(), code.size(), "\\u%04x", byte);
    text += code.data();
  }
  return text;
}

std::string FieldText(const char* name, const std::string& value) {
  const std::string text = NeedsQuotes(value) ? "\"" + Escaped(value) + "\"" : value;
  return std::string(" ") + name + "=" + text;
}

/// The process's log. Created on first use, so that a program that never configures it can log.
class EventLog {
 public:
  static EventLog& Instance() {
    // Never destroyed: threads may log while static objects are being destroyed.
    static auto* const log = new EventLog;
    return *log;
  }

  void Configure(const EventLogOptions& options, const log4cxx::AppenderPtr& appender) {
    m_options = options;
    m_logger->removeAllAppenders();
    m_logger->addAppender(appender);
    m_level = options.level;
  }

  bool Enabled(EventLevel level) const { return level >= m_level; }

  void Write(const EventInfo& info, const std::vector<EventField>& fields) {
    // The level is checked by Enabled, so the logger passes everything on.
    m_logger->forcedLog(LevelOf(info.level), FormatEvent(info.event, m_options, fields));
  }

  static log4cxx::AppenderPtr ErrorAppender() {
    return std::make_shared<log4cxx::ConsoleAppender>(
        std::make_shared<log4cxx::PatternLayout>(kPattern), LOG4CXX_STR("System.err"));
  }

  static log4cxx::AppenderPtr FileAppender(const std::string& file) {
    return std::make_shared<log4cxx::FileAppender>(
        std::make_shared<log4cxx::PatternLayout>(kPattern), file, true);
  }

 private:
  EventLog() : m_logger(log4cxx::Logger::getLogger("endivewood")) {
    m_logger->setAdditivity(false);
    m_logger->addAppender(ErrorAppender());
  }

  log4cxx::LoggerPtr m_logger;
  EventLogOptions m_options;
  std::atomic<EventLevel> m_level{EventLevel::kInfo};
};

}  // namespace

const char* EventLevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "unlisted";
}

std::optional<EventLevel> ParseEventLevel(const std::string& name) {
  for (const EventLevel level :
       {EventLevel::kDebug, EventLevel::kInfo, EventLevel::kWarning, EventLevel::kError}) {
    if (name == EventLevelName(level)) return level;
  }
  return std::nullopt;
}

const std::vector<EventInfo>& EventTable() { return Table(); }

const EventInfo& EventInfoOf(Event event) {
  const std::vector<EventInfo>& table = Table();
  const auto before = [](const EventInfo& info, Event wanted) { return info.event < wanted; };
  return *std::lower_bound(table.begin(), table.end(), event, before);
}

bool ConfigureEventLog(const EventLogOptions& options, Reason* reason) {
  const bool to_file = !options.file.empty();
  if (to_file && !std::ofstream(options.file, std::ios::app)) {
    *reason = {.code = ResultCode::kFileUnreadable, .text = options.file + " can't be written"};
    EventLog::Instance().Configure(options, EventLog::ErrorAppender());
    return false;
  }
  EventLog::Instance().Configure(
      options, to_file ? EventLog::FileAppender(options.file) : EventLog::ErrorAppender());
  return true;
}

bool IsEventEnabled(Event event) { return EventLog::Instance().Enabled(EventInfoOf(event).level); }

void LogEvent(Event event, const std::vector<EventField>& fields) {
  const EventInfo& info = EventInfoOf(event);
  EventLog& log = EventLog::Instance();
  if (log.Enabled(info.level)) log.Write(info, fields);
}

std::string FormatEvent(Event event, const EventLogOptions& options,
                        const std::vector<EventField>& fields) {
  std::string line = std::to_string(static_cast<int>(event)) + " " + EventInfoOf(event).name;
  line += FieldText("dc", options.data_centre.str());
  line += FieldText("process", options.process);
  for (const EventField& field : fields) line += FieldText(field.name, field.value);
  return line;
}

}  // namespace endivewood
