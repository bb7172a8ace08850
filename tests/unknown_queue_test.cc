/// @file
/// What callers of a queue get while the instance may not know the newest configuration.
#include <catch2/catch.hpp>

#include "instance_fixture.h"

namespace endivewood::platform::testing {
namespace {

std::optional<FleetCatalog> DecodeVersion(const std::string& value) {
  if (value == "unreadable") return std::nullopt;
  FleetCatalog catalog{.version = std::stoull(value), .services = {{.name = ServiceName("s")}}};
  for (std::uint64_t number = 1; number <= catalog.version; ++number) {
    const std::string name = "q" + std::to_string(number);
    catalog.queues.push_back({.name = QueueName(name),
                              .host = "h.example",
                              .prefix = "/" + name + "/",
                              .service = ServiceName("s")});
  }
  return catalog;
}

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr Milliseconds kLoaded{300};
/// After the end of a read that waits for a change from kLoaded on.
constexpr Milliseconds kAfterWait{kLoaded.count() + config::kConfigWaitMs + 200};

// Guards against a 404 for a queue whose version was missed by a waiting read, when the reads after
// it have no answer.
TEST_CASE("an unknown queue isn't answered 404 by an instance whose reads have no answer") {
  InstanceFixture fixture(21950, &DecodeVersion);
  fixture.At(kLoaded, [&] {
    fixture.log.reads = Reads::kWaitsMissChanges;
    fixture.log.Publish("2");
    fixture.log.reads = Reads::kSilent;
  });
  fixture.At(kAfterWait, [&] { fixture.Ask("q2"); });
  fixture.loop.Run();
  CHECK(fixture.status == kUnavailable);
}

// Guards against a 404 for a queue of a version that can be read at the time of the request.
TEST_CASE("an unknown queue is looked up in the newest configuration before a 404") {
  InstanceFixture fixture(21953, &DecodeVersion);
  fixture.At(kLoaded, [&] {
    fixture.log.reads = Reads::kWaitsMissChanges;
    fixture.log.Publish("2");
    fixture.Ask("q2");
  });
  fixture.loop.Run();
  CHECK(fixture.status != 0);
  CHECK(fixture.status != kNotFound);
  CHECK(fixture.node->catalog()->version == 2);
}

// Guards against a queue that is taken for unknown because its configuration can't be read.
TEST_CASE("an unknown queue isn't answered 404 while the newest configuration is unreadable") {
  InstanceFixture fixture(21956, &DecodeVersion);
  fixture.At(kLoaded, [&] { fixture.log.Publish("unreadable"); });
  fixture.At(2 * kLoaded, [&] { fixture.Ask("q2"); });
  fixture.loop.Run();
  CHECK(fixture.status == kUnavailable);
}

// Guards against a caller that waits although nothing hinders the answer.
TEST_CASE("a queue that doesn't exist is answered 404 without waiting for a change") {
  InstanceFixture fixture(21959, &DecodeVersion);
  fixture.At(kLoaded, [&] { fixture.Ask("other"); });
  fixture.loop.Run();
  CHECK(fixture.status == kNotFound);
  CHECK(fixture.took < Milliseconds(500));
}

}  // namespace
}  // namespace endivewood::platform::testing
