/// @file
/// Embeds the library: applies a short fleet stream and prints which records are accepted.
#include <endivewood/endivewood.h>

#include <iostream>

namespace {

using namespace endivewood;  // NOLINT(google-build-using-namespace): shortens the example.

constexpr char kConfig[] = R"(
pools: [{name: analysis}, {name: spare, spare: true}]
services: [{name: analysis, pool: analysis, min_available: 1}]
presets: [{name: ordinary, targets: {analysis: 2}}]
instances:
  - {name: a1, data_centre: north, rack: r1, pool: analysis, address: 127.0.1.101, port: 20000}
  - {name: a2, data_centre: north, rack: r2, pool: analysis, address: 127.0.1.102, port: 20000}
)";

/// Applies a change as the next record of the stream and prints the verdict.
void Propose(FleetFold* fold, std::uint64_t expected_version, const FleetChange& change) {
  const FleetRecord record{.id = RecordId(RandomHex128()),
                           .author = Incarnation("example"),
                           .expected_version = expected_version,
                           .change = change};
  const Verdict verdict = fold->Apply(fold->View()->next_offset, EncodeFleetRecord(record));
  std::cout << "record " << fold->View()->next_offset - 1 << ": " << ResultCodeName(verdict.code)
            << (verdict.detail.empty() ? "" : ", ") << verdict.detail << "\n";
}

}  // namespace

int main() {
  FleetFold fold;
  Propose(&fold, 0, ConfigPublished{.yaml = kConfig});
  Propose(&fold, 0, PresetSwitched{.preset = PresetName("ordinary")});
  // The first drain leaves one ready instance, the minimum available; the second would leave none.
  Propose(&fold, 1, DrainStarted{.instance = InstanceName("a1")});
  Propose(&fold, 1, DrainStarted{.instance = InstanceName("a2")});
  std::cout << "ready instances of the pool: " << fold.View()->ReadyCount(PoolName("analysis"))
            << "\n";
  return 0;
}
