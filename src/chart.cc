/// @file
/// Parser and transition tables of state charts.
#include "chart.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

#include "chart_texts.h"
#include "yaml_reader.h"

namespace endivewood {
namespace {

constexpr std::size_t kInstanceStateCount = 4;
constexpr std::size_t kInstanceEventCount = 5;
constexpr std::size_t kWaveStateCount = 3;
constexpr std::size_t kWaveEventCount = 4;

/// Parses one chart and reports errors with their lines.
class ChartParser {
 public:
  explicit ChartParser(YamlReader* reader) : m_reader(reader) {}

  Chart Parse(const YAML::Node& root) {
    m_reader->CheckKeys(root, {"chart", "initial", "states", "transitions"});
    m_chart.name = m_reader->String(root, "chart");
    for (const YAML::Node& node : m_reader->Sequence(root, "states", true)) ParseState(node);
    m_chart.initial = StateName(m_reader->String(root, "initial"));
    CheckKnown(m_chart.initial, root["initial"], "initial");
    for (const YAML::Node& node : m_reader->Sequence(root, "transitions", true)) {
      ParseTransition(node);
    }
    CheckReachable();
    return m_chart;
  }

 private:
  void ParseState(const YAML::Node& node) {
    const StateName state(node.IsScalar() ? node.Scalar() : "");
    if (!state.valid()) {
      m_reader->AddError(node, ResultCode::kWrongType, "states", "no name", "the name of a state");
      return;
    }
    if (!m_state_nodes.emplace(state, node).second) {
      ReportInvalid(node, "states", state.str(), "a state that is listed once");
      return;
    }
    m_chart.states.push_back(state);
  }

  void ParseTransition(const YAML::Node& node) {
    m_reader->CheckKeys(node, {"from", "event", "to"});
    const ChartTransition transition{.from = StateName(m_reader->String(node, "from")),
                                     .event = ChartEvent(m_reader->String(node, "event")),
                                     .to = StateName(m_reader->String(node, "to"))};
    CheckKnown(transition.from, node, "from");
    CheckKnown(transition.to, node, "to");
    if (m_chart.Next(transition.from, transition.event)) {
      ReportInvalid(node, "event", transition.event.str() + " from " + transition.from.str(),
                    "one transition for each state and event");
    }
    m_chart.transitions.push_back(transition);
  }

  void CheckKnown(const StateName& state, const YAML::Node& node, const std::string& key) {
    if (!state.valid() || m_state_nodes.contains(state)) return;
    ReportInvalid(node, key, state.str(), "a state of the chart");
  }

  void CheckReachable() {
    std::set<StateName> reached = {m_chart.initial};
    std::size_t before = 0;
    while (before != reached.size()) {
      before = reached.size();
      for (const ChartTransition& transition : m_chart.transitions) {
        if (reached.contains(transition.from)) reached.insert(transition.to);
      }
    }
    for (const StateName& state : m_chart.states) {
      if (reached.contains(state)) continue;
      ReportInvalid(m_state_nodes.at(state), "states", state.str(),
                    "a state that can be reached from " + m_chart.initial.str());
    }
  }

  void ReportInvalid(const YAML::Node& node, const std::string& key, const std::string& found,
                     const std::string& expected) {
    m_reader->AddError(node, ResultCode::kInvalidChart, key, found, expected);
  }

  YamlReader* m_reader;
  Chart m_chart;
  std::map<StateName, YAML::Node> m_state_nodes;
};

/// Transitions of a chart, indexed by state and event. Applying a record compares no strings.
template <typename State, typename Event, std::size_t kStateCount, std::size_t kEventCount>
class TransitionTable {
 public:
  using StateNamer = const char* (*)(State);
  using EventNamer = const char* (*)(Event);

  TransitionTable(const Chart& chart, StateNamer state_name, EventNamer event_name) {
    for (std::size_t from = 0; from < kStateCount; ++from) {
      for (std::size_t event = 0; event < kEventCount; ++event) {
        const auto next = chart.Next(StateName(state_name(static_cast<State>(from))),
                                     ChartEvent(event_name(static_cast<Event>(event))));
        Cell& cell = m_cells[from][event];
        cell.allowed = next.has_value();
        if (next) cell.next = FindState(*next, state_name);
      }
    }
  }

  bool Allowed(State state, Event event) const { return At(state, event).allowed; }
  std::optional<State> Next(State state, Event event) const { return At(state, event).next; }

 private:
  struct Cell {
    bool allowed = false;
    std::optional<State> next;
  };

  const Cell& At(State state, Event event) const {
    return m_cells.at(static_cast<std::size_t>(state)).at(static_cast<std::size_t>(event));
  }

  static std::optional<State> FindState(const StateName& name, StateNamer state_name) {
    for (std::size_t state = 0; state < kStateCount; ++state) {
      if (name.str() == state_name(static_cast<State>(state))) return static_cast<State>(state);
    }
    return std::nullopt;
  }

  std::array<std::array<Cell, kEventCount>, kStateCount> m_cells;
};

using InstanceTransitionTable =
    TransitionTable<InstanceState, InstanceEvent, kInstanceStateCount, kInstanceEventCount>;
using WaveTransitionTable = TransitionTable<WaveState, WaveEvent, kWaveStateCount, kWaveEventCount>;

const InstanceTransitionTable& InstanceTransitions() {
  static const InstanceTransitionTable table(BuiltInChart("instance"), InstanceStateName,
                                             InstanceEventName);
  return table;
}

const WaveTransitionTable& WaveTransitions() {
  static const WaveTransitionTable table(BuiltInChart("wave"), WaveStateName, WaveEventName);
  return table;
}

std::map<std::string, Chart> ParseBuiltInCharts() {
  std::map<std::string, Chart> charts;
  std::vector<ConfigError> errors;
  for (const ChartText& source : BuiltInCharts()) {
    const auto chart = ParseChart(source.text, source.name, &errors);
    if (chart) charts[source.name] = *chart;
  }
  for (const ConfigError& error : errors) std::fprintf(stderr, "%s\n", error.str().c_str());
  if (!errors.empty()) std::abort();
  return charts;
}

}  // namespace

std::optional<StateName> Chart::Next(const StateName& from, const ChartEvent& event) const {
  const auto found = std::find_if(transitions.begin(), transitions.end(), [&](const auto& each) {
    return each.from == from && each.event == event;
  });
  if (found == transitions.end()) return std::nullopt;
  return found->to;
}

std::optional<Chart> ParseChart(const std::string& text, const std::string& file,
                                std::vector<ConfigError>* errors) {
  const std::size_t errors_before = errors->size();
  YamlReader reader(file, errors);
  const YAML::Node root = reader.Load(text);
  if (errors->size() != errors_before) return std::nullopt;
  Chart chart = ChartParser(&reader).Parse(root);
  if (errors->size() != errors_before) return std::nullopt;
  return chart;
}

const std::vector<ChartText>& BuiltInCharts() {
  static const std::vector<ChartText> charts = {ENDIVEWOOD_CHART_TEXTS};
  return charts;
}

const Chart& BuiltInChart(const std::string& name) {
  static const std::map<std::string, Chart> charts = ParseBuiltInCharts();
  return charts.at(name);
}

const char* InstanceEventName(InstanceEvent event) {
  static constexpr std::array<const char*, kInstanceEventCount> kNames = {
      "drain", "reboot", "assign", "lose", "remove"};
  return kNames.at(static_cast<std::size_t>(event));
}

const char* WaveEventName(WaveEvent event) {
  static constexpr std::array<const char*, kWaveEventCount> kNames = {"start", "pause", "resume",
                                                                      "finish"};
  return kNames.at(static_cast<std::size_t>(event));
}

const char* WaveStateName(WaveState state) {
  static constexpr std::array<const char*, kWaveStateCount> kNames = {"running", "paused",
                                                                      "finished"};
  return kNames.at(static_cast<std::size_t>(state));
}

bool IsAllowed(InstanceState state, InstanceEvent event) {
  return InstanceTransitions().Allowed(state, event);
}

bool IsAllowed(WaveState state, WaveEvent event) { return WaveTransitions().Allowed(state, event); }

std::optional<InstanceState> NextState(InstanceState state, InstanceEvent event) {
  return InstanceTransitions().Next(state, event);
}

std::optional<WaveState> NextState(WaveState state, WaveEvent event) {
  return WaveTransitions().Next(state, event);
}

}  // namespace endivewood
