/// @file
/// Event log on log4cxx, for the programs that use the log service directly.
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <fstream>

#include "events.h"

namespace endivewood {
namespace {

constexpr char kPattern[] = "%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z %p %m%n";

log4cxx::LevelPtr ToLog4cxxLevel(EventLevel level) {
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

/// The log of this process. Created on first use, so that a program can log without configuring it.
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
    // Enabled has checked the level; forcedLog doesn't check it again.
    m_logger->forcedLog(ToLog4cxxLevel(info.level), FormatEvent(info.event, m_options, fields));
  }

  static log4cxx::AppenderPtr StderrAppender() {
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
    m_logger->addAppender(StderrAppender());
  }

  log4cxx::LoggerPtr m_logger;
  EventLogOptions m_options;
  std::atomic<EventLevel> m_level{EventLevel::kInfo};
};

}  // namespace

bool ConfigureEventLog(const EventLogOptions& options, Reason* reason) {
  SetEventSink({.enabled = [](EventLevel level) { return EventLog::Instance().Enabled(level); },
                .write =
                    [](Event event, const std::vector<EventField>& fields) {
                      EventLog::Instance().Write(EventInfoOf(event), fields);
                    }});
  const bool to_file = !options.file.empty();
  if (to_file && !std::ofstream(options.file, std::ios::app)) {
    *reason = {.code = ResultCode::kFileUnreadable, .text = options.file + " can't be written"};
    EventLog::Instance().Configure(options, EventLog::StderrAppender());
    return false;
  }
  EventLog::Instance().Configure(
      options, to_file ? EventLog::FileAppender(options.file) : EventLog::StderrAppender());
  return true;
}

}  // namespace endivewood
