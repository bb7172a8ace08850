/// @file
/// Membership decisions against a naive version.
#include "membership.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "config.h"

namespace endivewood::testing {
namespace {

enum class EventKind { kHeard, kLeft, kDisconnected, kRefused };

struct Event {
  EventKind kind = EventKind::kHeard;
  int incarnation = 0;
  Milliseconds time{0};
};

/// Goes through the whole history for each question, millisecond by millisecond.
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
      if (event.kind == EventKind::kHeard && !ended.contains(event.incarnation)) {
        if (current && !is_current) ended.insert(*current);
        current = event.incarnation;
        heard = time;
        state = PeerState::kAlive;
      }
      if (event.kind == EventKind::kLeft && is_current) {
        ended.insert(event.incarnation);
        state = PeerState::kLeft;
      }
      const bool alive = state == PeerState::kAlive;
      if (event.kind == EventKind::kDisconnected && is_current && alive) {
        state = PeerState::kSuspected;
      }
      const bool suspected = state == PeerState::kSuspected;
      if (event.kind == EventKind::kRefused && suspected) state = PeerState::kDead;
    }
    const auto silence = (time - heard).count();
    const bool alive = state == PeerState::kAlive;
    if (alive && silence >= config::kPeerSuspectMs) state = PeerState::kSuspected;
    const bool suspected = state == PeerState::kSuspected;
    if (suspected && silence >= config::kPeerDeadMs) state = PeerState::kDead;
  }
  return state;
}

// Guards against a replaced or departed incarnation that revives a peer, a paused one that never
// comes back, and limits of silence that depend on the order of events.
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
          .kind = *rc::gen::element(EventKind::kHeard, EventKind::kHeard, EventKind::kLeft,
                                    EventKind::kDisconnected, EventKind::kRefused),
          .incarnation = *rc::gen::inRange(1, 4),
          .time = now};
      history.push_back(event);
      const Incarnation incarnation(std::to_string(event.incarnation));
      if (event.kind == EventKind::kHeard) membership.Heard("a", incarnation, 0, now);
      if (event.kind == EventKind::kLeft) membership.Left("a", incarnation);
      if (event.kind == EventKind::kDisconnected) membership.Disconnected("a", incarnation);
      if (event.kind == EventKind::kRefused) membership.Refused("a");
    }
    membership.Tick(now);
    RC_ASSERT(membership.Find("a")->state == NaiveState(history, now));
  }));
}

// Guards against an offset that goes back within one run, which would stop a relay, and against
// strangers who become members.
TEST_CASE("an applied offset only grows within one incarnation") {
  Membership membership({{.name = "a", .data_centre = DataCentreName("dc1")}});
  membership.Heard("a", Incarnation("1"), 9, Milliseconds(1));
  membership.Heard("a", Incarnation("1"), 4, Milliseconds(2));
  CHECK(membership.Find("a")->applied == 9);
  membership.Heard("a", Incarnation("2"), 4, Milliseconds(3));
  CHECK(membership.Find("a")->applied == 4);
  CHECK_FALSE(membership.Heard("stranger", Incarnation("3"), 4, Milliseconds(4)));
  CHECK(membership.Alive().size() == 1);
  CHECK(membership.Alive(DataCentreName("dc2")).empty());
}

}  // namespace
}  // namespace endivewood::testing
