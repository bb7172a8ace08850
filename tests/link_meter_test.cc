/// @file
/// The events that explain an overloaded instance.
#include "link_meter.h"

#include <catch2/catch.hpp>

#include "endivewood_p.h"
#include "work_times.h"

namespace endivewood::testing {
namespace {

// Guards against a full link that leaves no line, and against a line each second on an idle one.
TEST_CASE("a link is reported when either direction is above half of its bandwidth") {
  std::vector<std::string> lines;
  SetEventSink({.enabled = [](EventLevel) { return true; },
                .write =
                    [&](Event event, const std::vector<EventField>& fields) {
                      lines.push_back(FormatEvent(event, {}, fields));
                    }});
  LinkMeter meter(10);
  CHECK_FALSE(meter.Report({.store = {.sent = 300000, .received = 300000}}));
  CHECK_FALSE(meter.Report({.store = {.sent = 600000, .received = 600000}}));
  CHECK(meter.Report({.store = {.sent = 800000, .received = 600000},
                      .upstreams = {.sent = 500000, .received = 10000}}));
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find("link-busy") != std::string::npos);
  CHECK(lines[0].find("sent_kb=700") != std::string::npos);
  CHECK(lines[0].find("upstreams_sent_kb=500") != std::string::npos);
  LinkMeter unknown(0);
  CHECK_FALSE(unknown.Report({.peers = {.sent = 100000000, .received = 0}}));
  SetEventSink({});
}

// Guards against times of one report that are counted again in the next.
TEST_CASE("the time of each part of the work is reported once") {
  Clock clock;
  clock.Pause();
  WorkTimes times;
  {
    const WorkTimes::Scope scope(&times, &clock, WorkPart::kScheduling);
    clock.Advance(Milliseconds(30));
  }
  const auto find = [&](const char* name) {
    for (const EventField& field : times.TakeFields()) {
      if (std::string(field.name) == name) return field.value;
    }
    return std::string("missing");
  };
  CHECK(find("scheduling_ms") == "30");
  CHECK(find("scheduling_ms") == "0");
}

}  // namespace
}  // namespace endivewood::testing
