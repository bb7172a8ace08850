/// @file
/// State charts: parsing, checks and transitions of the files in charts/. Their text is compiled
/// into the library, so that embedders need no files.
#pragma once

#include <endivewood/endivewood.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace endivewood {

using StateName = Name<struct StateTag>;
using ChartEvent = Name<struct ChartEventTag>;

/// A transition of a chart.
struct ChartTransition {
  StateName from;
  ChartEvent event;
  StateName to;

  bool operator==(const ChartTransition&) const = default;
};

/// A checked chart: every state is listed and reachable and has at most one transition per event.
struct Chart {
  std::string name;
  StateName initial;
  std::vector<StateName> states;
  std::vector<ChartTransition> transitions;

  /// @returns the state that an event leads to, or no value when the chart has no such transition.
  std::optional<StateName> Next(const StateName& from, const ChartEvent& event) const;

  bool operator==(const Chart&) const = default;
};

/// Parses and checks a chart.
/// @param errors receives kInvalidChart for unknown or unreachable states and duplicates, and the
/// codes of YAML errors.
std::optional<Chart> ParseChart(const std::string& text, const std::string& file,
                                std::vector<ConfigError>* errors);

/// The text of a file in charts/, as of the build.
struct ChartText {
  const char* name;  ///< File name without its extension.
  const char* text;
};

/// @returns every chart that the library was built with.
const std::vector<ChartText>& BuiltInCharts();

/// @returns a chart of the library, parsed once.
/// @attention Aborts the process when any chart doesn't parse; tests load every chart.
const Chart& BuiltInChart(const std::string& name);

/// Events of charts/instance.yaml.
enum class InstanceEvent : std::uint8_t { kDrain = 0, kReboot, kAssign, kLose, kRemove };

/// Events of charts/wave.yaml.
enum class WaveEvent : std::uint8_t { kStart = 0, kPause, kResume, kFinish };

/// @returns "drain", "reboot", "assign", "lose" or "remove".
const char* InstanceEventName(InstanceEvent event);

/// @returns "start", "pause", "resume" or "finish".
const char* WaveEventName(WaveEvent event);

/// @returns "running", "paused" or "finished".
const char* WaveStateName(WaveState state);

/// @returns whether charts/instance.yaml has the transition.
bool IsAllowed(InstanceState state, InstanceEvent event);

/// @returns whether charts/wave.yaml has the transition.
bool IsAllowed(WaveState state, WaveEvent event);

/// @returns the state that follows an allowed event other than `remove`, which deletes the
/// instance.
std::optional<InstanceState> NextState(InstanceState state, InstanceEvent event);

/// @returns the state that follows an allowed event.
std::optional<WaveState> NextState(WaveState state, WaveEvent event);

}  // namespace endivewood
