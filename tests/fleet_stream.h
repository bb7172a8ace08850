/// @file
/// Random fleet streams for tests of the fold and its snapshots.
#pragma once

#include <random>

#include "endivewood_p.h"

namespace endivewood::testing {

inline std::string TestConfig(int instances) {
  std::string text =
      "pools:\n  - {name: quick}\n  - {name: spare, spare: true}\n"
      "services:\n  - {name: quick, pool: quick}\n"
      "presets:\n  - {name: ordinary, targets: {quick: 1}}\n  - {name: peak, targets: {quick: 2}}\n"
      "instances:\n";
  for (int index = 0; index < instances; ++index) {
    const std::string number = std::to_string(index);
    text += "  - {name: i" + number + ", data_centre: dc" + std::to_string(index % 3) +
            ", rack: r" + std::to_string(index / 4) +
            ", pool: " + (index % 5 == 0 ? "spare" : "quick") + ", address: 10.0." +
            std::to_string(index / 250) + "." + std::to_string(index % 250) + ", port: 8000}\n";
  }
  return text;
}

inline std::string SnapshotRecord(std::uint64_t end_offset, const std::string& state) {
  return EncodeFleetRecord({.id = RecordId(RandomHex128()),
                            .author = Incarnation("test"),
                            .change = SnapshotTaken{.end_offset = end_offset, .state = state}});
}

inline FleetFold FoldOf(const std::vector<std::string>& stream) {
  FleetFold fold;
  for (std::size_t offset = 0; offset < stream.size(); ++offset) fold.Apply(offset, stream[offset]);
  return fold;
}

/// @returns a configuration followed by random changes, of which some are repeated and some are not
/// valid records. Of two streams with equal seeds, the shorter is a prefix of the longer.
inline std::vector<std::string> RandomStream(std::size_t size, unsigned seed, int instances = 8) {
  std::mt19937 random(seed);
  const auto below = [&](unsigned bound) { return random() % bound; };
  std::vector<std::string> stream;
  FleetFold fold;
  while (stream.size() < size) {
    const auto view = fold.View();
    const InstanceName instance("i" + std::to_string(below(instances)));
    const auto found = view->instances.find(instance);
    std::uint64_t expected = found == view->instances.end() ? 0 : found->second.version;
    FleetChange change = ConfigPublished{.yaml = TestConfig(instances)};
    const unsigned kind = stream.empty() ? 0 : below(12);
    if (kind == 0) expected = view->config_version;
    if (kind == 1) change = PresetSwitched{PresetName(below(2) == 0 ? "peak" : "ordinary")};
    if (kind == 1) expected = view->preset_version;
    if (kind == 2 || kind == 3) change = DrainStarted{instance};
    if (kind == 4 || kind == 5) change = RebootStarted{instance};
    if (kind == 6 || kind == 7) change = InstanceAssigned{instance, PoolName("quick")};
    if (kind == 8) change = InstanceLost{instance};
    if (kind == 9) change = WaveStarted{.wave = WaveName("wave")};
    if (kind == 9) expected = view->wave_version;
    std::string id(32, '0');
    for (char& digit : id) digit = "0123456789abcdef"[below(16)];
    std::string payload = EncodeFleetRecord({.id = RecordId(id),
                                             .author = Incarnation("test"),
                                             .expected_version = expected,
                                             .change = change});
    if (kind == 10) payload = stream[below(static_cast<unsigned>(stream.size()))];
    if (kind == 11) payload = "damaged";
    fold.Apply(stream.size(), payload);
    stream.push_back(std::move(payload));
  }
  return stream;
}

}  // namespace endivewood::testing
