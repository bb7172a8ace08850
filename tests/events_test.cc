/// @file
/// The event log, and the documentation of events and result codes.
#include "events.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

#include "endivewood_p.h"

namespace endivewood::testing {
namespace {

/// @returns the first three columns of each row of the tables in a page of docs/, as "a|b|c".
std::vector<std::string> DocumentedRows(const std::string& file) {
  std::vector<std::string> rows;
  std::istringstream text(ReadFile(std::string(SOURCE_DIR) + "/docs/" + file).value_or(""));
  const std::regex pattern(R"(\| (\d+) \| ([a-z-]+) \| (\w+) \| \S.*\|)");
  for (std::string line; std::getline(text, line);) {
    std::smatch match;
    if (!std::regex_match(line, match, pattern)) continue;
    rows.push_back(match[1].str() + "|" + match[2].str() + "|" + match[3].str());
  }
  return rows;
}

std::string FormatRow(int number, const std::string& name, const std::string& status_or_level) {
  return std::to_string(number) + "|" + name + "|" + status_or_level;
}

// Guards against events that are not documented, and documented events that no longer exist.
TEST_CASE("docs/events.md lists exactly the events of the table, in order") {
  std::vector<std::string> expected;
  int previous_number = 0;
  for (const EventInfo& info : EventTable()) {
    const int number = static_cast<int>(info.event);
    CHECK(number > previous_number);
    previous_number = number;
    expected.push_back(FormatRow(number, info.name, EventLevelName(info.level)));
    CHECK(EventInfoOf(info.event).event == info.event);
  }
  CHECK(DocumentedRows("events.md") == expected);
}

// Guards against result codes whose documented number, name or HTTP status is wrong.
TEST_CASE("docs/result-codes.md lists exactly the result codes, in order") {
  std::vector<std::string> expected;
  for (const ResultCodeInfo& info : ResultCodeTable()) {
    expected.push_back(
        FormatRow(static_cast<int>(info.code), info.name, std::to_string(info.http_status)));
  }
  CHECK(DocumentedRows("result-codes.md") == expected);
}

// Guards against text from a caller that forges another event or field.
TEST_CASE("values with spaces, quotes or control characters are quoted and escaped") {
  const EventLogOptions options{.process = "entry-1", .data_centre = DataCentreName("dc1")};
  const std::string line =
      FormatEvent(Event::kRequestRefused, options,
                  {RequestField("ab12"), {"detail", "a \"b\"\n999 forged dc=x"}, {"waiting", 7}});
  CHECK(line ==
        "401 request-refused dc=dc1 process=entry-1 request=ab12 "
        "detail=\"a \\\"b\\\"\\u000a999 forged dc=x\" waiting=7");
}

// Guards against logged events below the level, interleaved lines of concurrent threads, and a
// restart that overwrites the file.
TEST_CASE("the log file contains one complete line for each enabled event") {
  const auto file = std::filesystem::temp_directory_path() /
                    ("endivewood-events-" + std::to_string(getpid()) + ".log");
  std::ofstream(file) << "earlier line\n";
  Reason reason;
  REQUIRE(ConfigureEventLog({.process = "p", .level = EventLevel::kInfo, .file = file.string()},
                            &reason));
  constexpr int kThreads = 4;
  constexpr int kEvents = 100;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([] {
      for (int event = 0; event < kEvents; ++event) {
        LogEvent(Event::kProcessStarted, {{"detail", "two words"}});
        LogEvent(Event::kRequestAnswered);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  REQUIRE(ConfigureEventLog({}, &reason));
  const std::regex pattern(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z INFO 100 process-started )"
                           R"(dc="" process=p detail="two words")");
  std::istringstream text(ReadFile(file.string()).value_or(""));
  std::string line;
  std::getline(text, line);
  CHECK(line == "earlier line");
  int lines = 0;
  for (; std::getline(text, line); ++lines) CHECK(std::regex_match(line, pattern));
  CHECK(lines == kThreads * kEvents);
  std::filesystem::remove(file);
}

// Guards against a process that runs without a log because its file can't be opened.
TEST_CASE("a log file that can't be opened is reported") {
  Reason reason;
  CHECK_FALSE(ConfigureEventLog({.file = "/nonexistent/endivewood.log"}, &reason));
  CHECK(reason.code == ResultCode::kFileUnreadable);
}

}  // namespace
}  // namespace endivewood::testing
