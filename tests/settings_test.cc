/// @file
/// Errors in settings and in the fleet configuration, each with its code and line.
#include "settings.h"

#include <catch2/catch.hpp>

#include "endivewood_p.h"

namespace endivewood::testing {
namespace {

constexpr char kValidSettings[] =
    "name: e\ndata_centre: d\ncallers: 127.0.0.1:1\ncontrol: 127.0.0.1:2\npeer: 127.0.0.1:3\n"
    "platform: 127.0.0.1:4\n";  // Six lines.

constexpr char kValidFleet[] =
    "pools: [{name: a}, {name: s, spare: true}]\n"
    "services: [{name: x, pool: a, min_available: 1}]\n"
    "presets: [{name: o, targets: {a: 1}}]\n"
    "instances:\n"
    "  - {name: i, data_centre: d, rack: r, pool: a, address: 127.0.0.2, port: 1}\n";

struct Row {
  std::string text;
  ResultCode code;
  int line;
  const char* key;
};

void CheckError(const Row& row, const std::vector<ConfigError>& errors) {
  CAPTURE(row.text);
  REQUIRE(errors.size() == 1);
  CAPTURE(errors[0].str());
  CHECK(errors[0].code == row.code);
  CHECK(errors[0].line == row.line);
  CHECK(errors[0].key == row.key);
  CHECK(errors[0].file == "f.yaml");
  CHECK_FALSE(errors[0].found.empty());
  CHECK_FALSE(errors[0].expected.empty());
}

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// Guards against a process that starts with invalid settings, and errors without their location.
TEST_CASE("each error in process settings is reported with its code, line and key") {
  const std::string valid = kValidSettings;
  const std::vector<Row> rows = {
      {valid + "speed: 1\n", ResultCode::kUnknownKey, 7, "speed"},
      {Replace(valid, "name: e", "name: [e]"), ResultCode::kWrongType, 1, "name"},
      {Replace(valid, "data_centre: d\n", ""), ResultCode::kMissingValue, 1, "data_centre"},
      {Replace(valid, "127.0.0.1:2", "127.0.0.1"), ResultCode::kWrongType, 4, "control"},
      {Replace(valid, "127.0.0.1:2", "localhost:2"), ResultCode::kWrongType, 4, "control"},
      {Replace(valid, "127.0.0.1:2", "127.0.0.1:2x"), ResultCode::kWrongType, 4, "control"},
      {Replace(valid, "127.0.0.1:2", "127.0.0.1:65536"), ResultCode::kWrongType, 4, "control"},
      {Replace(valid, "127.0.0.1:3", "127.0.0.1:1"), ResultCode::kDuplicateName, 5, "peer"},
      {valid + "log_level: loud\n", ResultCode::kOutOfRange, 7, "log_level"},
      {valid + "limits:\n  connections: 0\n", ResultCode::kOutOfRange, 8, "connections"},
      {valid + "limits:\n  body_bytes: many\n", ResultCode::kWrongType, 8, "body_bytes"},
      {valid + "limits: 5\n", ResultCode::kWrongType, 7, "limits"},
      {valid + "planner:\n  control: 127.0.0.1:6\n  hold_ms: -1\n", ResultCode::kOutOfRange, 9,
       "hold_ms"},
      {valid + "planner:\n  control: 127.0.0.1:6\n  pace: 5\n", ResultCode::kUnknownKey, 9, "pace"},
      {valid + "peers:\n  - {name: e, data_centre: d, address: 127.0.0.1:5}\n",
       ResultCode::kDuplicateName, 8, "name"},
      {valid + "name: f: g\n", ResultCode::kInvalidYaml, 7, "document"}};
  for (const Row& row : rows) {
    std::vector<ConfigError> errors;
    CHECK_FALSE(ParseProcessSettings(row.text, "f.yaml", &errors));
    CheckError(row, errors);
  }
}

// Guards against settings that are checked but not stored.
TEST_CASE("valid settings are parsed") {
  std::vector<ConfigError> errors;
  const auto settings = ParseProcessSettings(
      std::string(kValidSettings) +
          "log_level: warning\nlog_file: e.log\nlimits: {connections: 7, stop_timeout_ms: 50}\n"
          "planner: {control: '127.0.0.1:6', hold_ms: 900}\n",
      "f.yaml", &errors);
  REQUIRE(settings);
  CHECK(settings->log_level == EventLevel::kWarning);
  CHECK(settings->log_file == "e.log");
  CHECK(settings->limits == ProcessLimits{.connections = 7, .stop_timeout = Milliseconds(50)});
  CHECK(settings->planner.hold_ms == 900);
  CHECK_FALSE(LoadProcessSettings("/nonexistent", &errors));
  CHECK(errors.back().code == ResultCode::kFileUnreadable);
}

// Guards against an invalid fleet configuration that is found only after it was published, by the
// fold.
TEST_CASE("each error in a fleet configuration is reported with its code, line and key") {
  const std::string valid = kValidFleet;
  const std::vector<Row> rows = {
      {valid + "zones: 1\n", ResultCode::kUnknownKey, 6, "zones"},
      {Replace(valid, "min_available: 1", "min_available: x"), ResultCode::kWrongType, 2,
       "min_available"},
      {Replace(valid, "port: 1", "port: 70000"), ResultCode::kOutOfRange, 5, "port"},
      {valid + "  - {name: j, data_centre: d, rack: r, pool: a, address: 127.0.0.2, port: 1}\n",
       ResultCode::kDuplicateName, 6, "address"},
      {Replace(valid, "targets: {a: 1}", "targets: {a: 1, b: 1}"), ResultCode::kUnknownReference, 3,
       "pool"},
      {Replace(valid, "targets: {a: 1}", "targets: {a: 0}"), ResultCode::kBudgetUnsatisfiable, 3,
       "a"},
      {Replace(Replace(valid, "min_available: 1", "min_available: 2"), "{a: 1}", "{a: 2}"),
       ResultCode::kBudgetUnsatisfiable, 2, "min_available"}};
  for (const Row& row : rows) {
    std::vector<ConfigError> errors;
    CHECK_FALSE(ParseFleetConfig(row.text, "f.yaml", &errors));
    CheckError(row, errors);
  }
  std::vector<ConfigError> errors;
  CHECK(ParseFleetConfig(valid, "f.yaml", &errors));
}

}  // namespace
}  // namespace endivewood::testing
