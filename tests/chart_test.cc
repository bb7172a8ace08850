/// @file
/// State charts: validation, and their use by the fleet fold.
#include "chart.h"

#include <catch2/catch.hpp>

#include "endivewood_p.h"

namespace endivewood::testing {
namespace {

std::vector<ConfigError> ErrorsOf(const std::string& text) {
  std::vector<ConfigError> errors;
  CHECK_FALSE(ParseChart(text, "test.yaml", &errors));
  return errors;
}

// Guards against built-in charts that differ from the files or don't load.
TEST_CASE("every chart of charts/ is built in with all its transitions") {
  CHECK(BuiltInCharts().size() == 4);
  for (const char* name : {"request", "instance", "wave", "data_centre_link"}) {
    std::vector<ConfigError> errors;
    const std::string file = std::string(SOURCE_DIR) + "/charts/" + name + ".yaml";
    const auto chart = ParseChart(ReadFile(file).value_or(""), file, &errors);
    REQUIRE(chart);
    CHECK(*chart == BuiltInChart(name));
    CHECK(chart->name == name);
    for (const ChartTransition& transition : chart->transitions) {
      CHECK(chart->Next(transition.from, transition.event) == transition.to);
    }
    CHECK_FALSE(chart->Next(chart->initial, ChartEvent("no-such-event")));
  }
}

// Guards against inconsistent charts that are accepted, and errors with a wrong line.
TEST_CASE("an invalid chart is rejected with the line of its error") {
  struct Row {
    const char* text;
    ResultCode code;
    int line;
    const char* found;
  };
  const std::vector<Row> rows = {
      {"chart: c\ninitial: a\nstates:\n  - a\n  - b\ntransitions: []\n", ResultCode::kInvalidChart,
       5, "b"},
      {"chart: c\ninitial: a\nstates: [a]\ntransitions:\n  - {from: a, event: e, to: x}\n",
       ResultCode::kInvalidChart, 5, "x"},
      {"chart: c\ninitial: z\nstates: [z, z]\ntransitions: []\n", ResultCode::kInvalidChart, 3,
       "z"},
      {"chart: c\ninitial: q\nstates: []\ntransitions: []\n", ResultCode::kInvalidChart, 2, "q"},
      {"chart: c\ninitial: a\nstates: [a, b]\ntransitions:\n  - {from: a, event: e, to: b}\n"
       "  - {from: a, event: e, to: a}\n",
       ResultCode::kInvalidChart, 6, "e from a"},
      {"chart: c\ninitial: a\nstates: [a]\nextra: 1\ntransitions: []\n", ResultCode::kUnknownKey, 4,
       "an unknown key"}};
  for (const Row& row : rows) {
    const auto errors = ErrorsOf(row.text);
    CAPTURE(row.text);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].code == row.code);
    CHECK(errors[0].line == row.line);
    CHECK(errors[0].found == row.found);
    CHECK(errors[0].file == "test.yaml");
  }
}

/// A fleet fold with one instance, and helpers that apply instance and wave events to it.
class FleetWithOneInstance {
 public:
  FleetWithOneInstance() {
    Apply(
        ConfigPublished{
            "pools: [{name: p}, {name: empty}]\nservices: []\npresets: [{name: o, targets: {}}]\n"
            "instances:\n"
            "  - {name: i, data_centre: d, rack: r, pool: p, address: a, port: 1}"},
        0);
  }

  ResultCode Apply(const FleetChange& change, std::uint64_t expected) {
    const FleetRecord record{.id = RecordId(RandomHex128()),
                             .author = Incarnation("test"),
                             .expected_version = expected,
                             .change = change};
    return m_fold.Apply(m_fold.View()->next_offset, EncodeFleetRecord(record)).code;
  }

  const InstanceView& Instance() {
    m_view = m_fold.View();
    return m_view->instances.at(InstanceName("i"));
  }

  ResultCode Apply(InstanceEvent event) {
    const InstanceName name("i");
    const std::vector<FleetChange> changes = {DrainStarted{name}, RebootStarted{name},
                                              InstanceAssigned{name, PoolName("p")},
                                              InstanceLost{name}, InstanceRemoved{name}};
    return Apply(changes.at(static_cast<std::size_t>(event)), Instance().version);
  }

  ResultCode Apply(WaveEvent event) {
    const WaveName name("w");
    const std::vector<FleetChange> changes = {WaveStarted{name, PoolName("empty")},
                                              WavePaused{name, ""}, WaveResumed{name},
                                              WaveFinished{name}};
    return Apply(changes.at(static_cast<std::size_t>(event)), m_fold.View()->wave_version);
  }

  WaveState Wave() const { return m_fold.View()->wave.state; }

 private:
  FleetFold m_fold;
  std::shared_ptr<const FleetView> m_view;
};

// Guards against a fold that accepts a transition which is not in the chart, or rejects one that
// is.
TEST_CASE("the fold accepts exactly the instance transitions of the chart") {
  const Chart& chart = BuiltInChart("instance");
  using Path = std::vector<InstanceEvent>;
  const std::vector<Path> paths = {{},
                                   {InstanceEvent::kDrain},
                                   {InstanceEvent::kDrain, InstanceEvent::kReboot},
                                   {InstanceEvent::kLose}};
  for (const Path& path : paths) {
    for (int number = 0; number <= static_cast<int>(InstanceEvent::kRemove); ++number) {
      FleetWithOneInstance fleet;
      for (const InstanceEvent step : path) REQUIRE(fleet.Apply(step) == ResultCode::kOk);
      const auto event = static_cast<InstanceEvent>(number);
      const StateName before(InstanceStateName(fleet.Instance().state));
      const auto next = chart.Next(before, ChartEvent(InstanceEventName(event)));
      CAPTURE(before.str(), InstanceEventName(event));
      CHECK((fleet.Apply(event) == ResultCode::kOk) == next.has_value());
      if (next && event != InstanceEvent::kRemove) {
        CHECK(InstanceStateName(fleet.Instance().state) == next->str());
      }
    }
  }
}

// Guards against the same faults for the maintenance wave.
TEST_CASE("the fold accepts exactly the wave transitions of the chart") {
  const Chart& chart = BuiltInChart("wave");
  const std::vector<std::vector<WaveEvent>> paths = {
      {}, {WaveEvent::kStart}, {WaveEvent::kStart, WaveEvent::kPause}};
  for (const auto& path : paths) {
    for (int number = 0; number <= static_cast<int>(WaveEvent::kFinish); ++number) {
      FleetWithOneInstance fleet;
      for (const WaveEvent step : path) REQUIRE(fleet.Apply(step) == ResultCode::kOk);
      const auto event = static_cast<WaveEvent>(number);
      const StateName before(WaveStateName(fleet.Wave()));
      const auto next = chart.Next(before, ChartEvent(WaveEventName(event)));
      CAPTURE(before.str(), WaveEventName(event));
      CHECK((fleet.Apply(event) == ResultCode::kOk) == next.has_value());
      CHECK(WaveStateName(fleet.Wave()) == next.value_or(before).str());
    }
  }
}

}  // namespace
}  // namespace endivewood::testing
