/// @file
/// Compares the membership with a simple evaluation of all its events.
#include "membership.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "config.h"

namespace endivewood::testing {
namespace {

enum class EventKind { kHeartbeat, kLeave, kDisconnect, kConnectionRefused };

struct Event {
  EventKind kind = EventKind::kHeartbeat;
  int incarnation = 0;
  Milliseconds time{0};
};

/// Evaluates the whole history for each query, in steps of 50 ms.
PeerState NaiveState(const std::vector<Event>& history, Milliseconds now) {
  PeerState state = PeerState::kUnknown;
  std::set<int> ended;
  std::optional<int> current;
  Milliseconds heard{0};
  std::size_t next = 0;
  for (Milliseconds time{0}; time <= now; time += Milliseconds(50)) {
    for (; next < history.size() && history[next].time == time; ++next) {
      const Event& event = history[next];
      const bool is_current = current == event.incarnation;
      if (event.kind == EventKind::kHeartbeat && !ended.contains(event.incarnation)) {
        if (current && !is_current) ended.insert(*current);
        current = event.incarnation;
        heard = time;
        state = PeerState::kAlive;
      }
      if (event.kind == EventKind::kLeave && is_current) {
        ended.insert(event.incarnation);
        state = PeerState::kLeft;
      }
      const bool alive = state == PeerState::kAlive;
      if (event.kind == EventKind::kDisconnect && is_current && alive) {
        state = PeerState::kSuspected;
      }
      const bool suspected = state == PeerState::kSuspected;
      if (event.kind == EventKind::kConnectionRefused && suspected) state = PeerState::kDead;
    }
    const auto silence = (time - heard).count();
    const bool alive = state == PeerState::kAlive;
    if (alive && silence >= config::kPeerSuspectMs) state = PeerState::kSuspected;
    const bool suspected = state == PeerState::kSuspected;
    if (suspected && silence >= config::kPeerTimeoutMs) state = PeerState::kDead;
  }
  return state;
}

// Guards against a replaced or departed incarnation that makes a peer alive again, a paused one
// that is never alive again, and timeouts that depend on the order of events.
TEST_CASE("membership equals a naive evaluation of the whole history") {
  CHECK(rc::check([] {
    Membership membership({{.name = "a", .data_centre = DataCentreName("dc1")}});
    std::vector<Event> history;
    Milliseconds now{0};
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const int gap = *rc::gen::element(0, 0, 1, 8, 31, 120);
      for (int tick = 0; tick < gap; ++tick) {
        membership.Tick(now);
        now += Milliseconds(50);
      }
      const Event event{
          .kind = *rc::gen::element(EventKind::kHeartbeat, EventKind::kHeartbeat, EventKind::kLeave,
                                    EventKind::kDisconnect, EventKind::kConnectionRefused),
          .incarnation = *rc::gen::inRange(1, 4),
          .time = now};
      history.push_back(event);
      const Incarnation incarnation(std::to_string(event.incarnation));
      if (event.kind == EventKind::kHeartbeat) membership.OnHeartbeat("a", incarnation, 0, now);
      if (event.kind == EventKind::kLeave) membership.OnLeave("a", incarnation);
      if (event.kind == EventKind::kDisconnect) membership.OnDisconnect("a", incarnation);
      if (event.kind == EventKind::kConnectionRefused) membership.OnConnectionRefused("a");
    }
    membership.Tick(now);
    RC_ASSERT(membership.Find("a")->state == NaiveState(history, now));
  }));
}

// Guards against an offset that decreases within one incarnation, which would stop a relay, and
// against unknown processes that become members.
TEST_CASE("an applied offset doesn't decrease within one incarnation") {
  Membership membership({{.name = "a", .data_centre = DataCentreName("dc1")}});
  membership.OnHeartbeat("a", Incarnation("1"), 9, Milliseconds(1));
  membership.OnHeartbeat("a", Incarnation("1"), 4, Milliseconds(2));
  CHECK(membership.Find("a")->applied == 9);
  membership.OnHeartbeat("a", Incarnation("2"), 4, Milliseconds(3));
  CHECK(membership.Find("a")->applied == 4);
  CHECK_FALSE(membership.OnHeartbeat("stranger", Incarnation("3"), 4, Milliseconds(4)));
  CHECK(membership.Alive().size() == 1);
  CHECK(membership.Alive(DataCentreName("dc2")).empty());
}

}  // namespace
}  // namespace endivewood::testing
