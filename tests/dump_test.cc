/// @file
/// Encoding and decoding of the state dump.
#include "dump.h"

#include <catch2/catch.hpp>

namespace endivewood::testing {
namespace {

// Guards against names whose special characters make the dump invalid JSON or change when decoded.
TEST_CASE("a dump with quotes, control characters and umlauts is decoded unchanged") {
  FleetView view{.next_offset = 9, .config_version = 3, .preset_version = 2};
  view.preset = PresetName("peak \"Zürich\"\n\\");
  view.instances[InstanceName("a\tb")].name = InstanceName("a\tb");
  const ProcessDump dump{.process = "entry-1",
                         .data_centre = DataCentreName("dc1"),
                         .connected = true,
                         .view = std::make_shared<const FleetView>(view)};
  const std::string json = EncodeDump(dump);
  CAPTURE(json);
  CHECK(json.find('\n') == std::string::npos);
  CHECK(json.find('\t') == std::string::npos);
  CHECK(json.find("\"config_version\":3") != std::string::npos);
  const auto summary = DecodeDumpSummary(json);
  REQUIRE(summary);
  CHECK(*summary == DumpSummary{.process = "entry-1",
                                .data_centre = "dc1",
                                .connected = true,
                                .next_offset = 9,
                                .config_version = 3,
                                .preset_version = 2,
                                .preset = view.preset.str()});
  CHECK_FALSE(DecodeDumpSummary("{\"process\":"));
}

}  // namespace
}  // namespace endivewood::testing
