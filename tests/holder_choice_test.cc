/// @file
/// Choice of the instances that hold partitions.
#include "holder_choice.h"

#include <catch2/catch.hpp>

#include "config.h"

namespace endivewood::testing {
namespace {

constexpr int kSmall = 100;
constexpr int kLarge = 500;

// Guards against the service with the highest load being scheduled by one of the smallest
// instances.
TEST_CASE("a small instance leaves partitions to enough much larger ones") {
  CHECK_FALSE(ShouldHold(kSmall, {kLarge, kLarge, kSmall}, true));
  CHECK(ShouldHold(kLarge, {kLarge, kLarge, kLarge, kSmall}, true));
  CHECK(ShouldHold(kSmall, {kLarge, kSmall, kSmall}, true));
  CHECK(ShouldHold(kSmall, {}, true));
}

TEST_CASE("instances of similar size all hold partitions") {
  CHECK(ShouldHold(250, {250, 250, 250, 250, 250, 250}, true));
  CHECK(ShouldHold(250, {400, 400, 400, 400, 400, 400}, true));
}

TEST_CASE("an instance of unknown capacity holds partitions") {
  CHECK(HoldingCapacity({}) == 0);
  CHECK(ShouldHold(0, {kLarge, kLarge, kLarge}, true));
}

// Guards against an instance that joins and leaves in turn when one larger holder comes and goes.
TEST_CASE("joining again takes a larger loss of holders than leaving takes holders") {
  const std::vector<int> two = {300, 300};
  CHECK(ShouldHold(kSmall, two, true));
  CHECK_FALSE(ShouldHold(kSmall, two, false));
  CHECK(ShouldHold(kSmall, {kLarge}, false));
  CHECK(ShouldHold(kSmall, {}, false));
}

TEST_CASE("the scarcer of processor and link decides") {
  CHECK(HoldingCapacity({.cpu_millicores = 500, .link_mbps = 10}) == 100);
  CHECK(HoldingCapacity({.cpu_millicores = 120, .link_mbps = 200}) == 120);
  CHECK(HoldingCapacity({.cpu_millicores = 120, .link_mbps = 0}) == 120);
  CHECK(HoldingCapacity({.cpu_millicores = 0, .link_mbps = 10}) == 100);
}

TEST_CASE("the window of unanswered starts is 100 ms of the link") {
  CHECK(StartWindowBytes({.cpu_millicores = 120, .link_mbps = 10}) == 125000);
  CHECK(StartWindowBytes({.cpu_millicores = 120, .link_mbps = 0}) == 0);
}

TEST_CASE("larger instances join earlier") {
  CHECK(JoinDelay(kLarge) < JoinDelay(kSmall));
  CHECK(JoinDelay(1) == Milliseconds(config::kMaxJoinDelayMs));
  CHECK(JoinDelay(0) == Milliseconds(0));
}

}  // namespace
}  // namespace endivewood::testing
