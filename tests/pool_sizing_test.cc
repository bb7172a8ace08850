/// @file
/// Sizing of pools whose queues peak in turn.
#include "pool_sizing.h"

#include <catch2/catch.hpp>

namespace endivewood::testing {
namespace {

constexpr int kInstanceMillicores = 32000;
const ServiceName quick("quick");
const ServiceName slow("long");
const ServiceName spare("spare");

ServiceDemand DemandOf(int instances) {
  return {.upstreams = 0,
          .cpu_capacity = 0,
          .cpu_running = std::int64_t{kInstanceMillicores} * instances,
          .cpu_waiting = 0,
          .min_lasting_upstreams = 0,
          .release_order = {}};
}

PoolSizing Sizing() {
  return PoolSizing({.headroom = 1.0,
                     .need_window = Milliseconds(4000),
                     .min_instances = 2,
                     .allowed_surplus = 1});
}

// Guards against late results in a peak because no instance is taken from the spare pool.
TEST_CASE("a pool in a peak gets instances from the spare pool") {
  PoolSizing sizing = Sizing();
  sizing.Observe(quick, DemandOf(6), 0, kInstanceMillicores, Milliseconds(1000));
  sizing.Observe(slow, DemandOf(2), 0, kInstanceMillicores, Milliseconds(1000));
  const auto moves = sizing.Decide({{quick, 3}, {slow, 2}, {spare, 8}}, spare, Milliseconds(1000));
  CHECK(moves == std::vector<PoolMove>(3, PoolMove{.from = spare, .to = quick}));
}

// Guards against a peak that has to wait until the pool of the last peak shrinks.
TEST_CASE("without spare instances a pool with a current surplus gives instances") {
  PoolSizing sizing = Sizing();
  sizing.Observe(slow, DemandOf(8), 0, kInstanceMillicores, Milliseconds(0));
  sizing.Observe(slow, DemandOf(3), 0, kInstanceMillicores, Milliseconds(1000));
  sizing.Observe(quick, DemandOf(6), 0, kInstanceMillicores, Milliseconds(1000));
  const auto moves = sizing.Decide({{quick, 4}, {slow, 8}, {spare, 0}}, spare, Milliseconds(1000));
  CHECK(moves == std::vector<PoolMove>(2, PoolMove{.from = slow, .to = quick}));
}

// Guards against moving instances away and back in every short pause of the load.
TEST_CASE("a pool keeps the instances that it needed in the last seconds") {
  PoolSizing sizing = Sizing();
  sizing.Observe(quick, DemandOf(8), 0, kInstanceMillicores, Milliseconds(0));
  sizing.Observe(quick, DemandOf(2), 0, kInstanceMillicores, Milliseconds(3000));
  CHECK(sizing.Decide({{quick, 8}, {spare, 0}}, spare, Milliseconds(3000)).empty());
  sizing.Observe(quick, DemandOf(2), 0, kInstanceMillicores, Milliseconds(5000));
  CHECK(sizing.Decide({{quick, 8}, {spare, 0}}, spare, Milliseconds(5000)).size() == 5);
}

// Guards against shrinking a pool whose scheduler doesn't answer.
TEST_CASE("a pool without a report keeps its size") {
  PoolSizing sizing = Sizing();
  CHECK(sizing.Decide({{quick, 8}, {spare, 0}}, spare, Milliseconds(5000)).empty());
}

// Guards against a peak of one pool that takes all spare instances while lasting tasks of another
// pool have no room.
TEST_CASE("room for lasting tasks comes before capacity for a peak") {
  PoolSizing sizing = Sizing();
  ServiceDemand lasting = DemandOf(3);
  lasting.min_lasting_upstreams = 5;
  sizing.Observe(quick, DemandOf(20), 0, kInstanceMillicores, Milliseconds(1000));
  sizing.Observe(slow, lasting, 0, kInstanceMillicores, Milliseconds(1000));
  const auto moves = sizing.Decide({{quick, 4}, {slow, 3}, {spare, 3}}, spare, Milliseconds(1000));
  REQUIRE(moves.size() == 3);
  CHECK(moves[0] == PoolMove{.from = spare, .to = slow});
  CHECK(moves[1] == PoolMove{.from = spare, .to = slow});
  CHECK(moves[2] == PoolMove{.from = spare, .to = quick});
}

// Guards against a new planner that switches off instances by its first report, before it knows
// what the pool needed in the last seconds.
TEST_CASE("a pool doesn't shrink before its reports cover the window") {
  PoolSizing sizing = Sizing();
  sizing.Observe(quick, DemandOf(2), 0, kInstanceMillicores, Milliseconds(1000));
  CHECK(sizing.Decide({{quick, 8}, {spare, 0}}, spare, Milliseconds(1000)).empty());
  sizing.Observe(quick, DemandOf(2), 0, kInstanceMillicores, Milliseconds(4900));
  CHECK(sizing.Decide({{quick, 8}, {spare, 0}}, spare, Milliseconds(4900)).empty());
  CHECK(sizing.Decide({{quick, 8}, {spare, 0}}, spare, Milliseconds(5000)).size() == 5);
}

}  // namespace
}  // namespace endivewood::testing
