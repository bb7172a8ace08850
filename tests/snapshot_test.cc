/// @file
/// Snapshots: encoding, acceptance and the search for one to start from.
#include "snapshot.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "codec.h"
#include "config.h"
#include "fleet_stream.h"

namespace endivewood::testing {
namespace {

// Guards against state that is missing in a snapshot: versions, waves, instances, and the record
// ids that detect repeated appends.
TEST_CASE("folding a whole stream and folding on from any snapshot give the same state") {
  CHECK(rc::check([] {
    // One draw a statement: the order in which arguments are evaluated differs between machines.
    const int size = *rc::gen::inRange(20, 80);
    const auto stream = RandomStream(size, *rc::gen::arbitrary<unsigned>());
    const auto split_offset = *rc::gen::inRange<std::size_t>(1, stream.size());
    FleetFold whole;
    std::string state;
    for (std::size_t offset = 0; offset < split_offset; ++offset)
      whole.Apply(offset, stream[offset]);
    FleetFold restored;
    RC_ASSERT(restored.Restore(whole.Encode()));
    for (std::size_t offset = split_offset; offset < stream.size(); ++offset) {
      RC_ASSERT(whole.Apply(offset, stream[offset]) == restored.Apply(offset, stream[offset]));
    }
    RC_ASSERT(*whole.View() == *restored.View());
    RC_ASSERT(whole.Encode() == restored.Encode());
  }));
}

// Guards against a view that is replaced by an older one, and damaged states that are restored in
// part.
TEST_CASE("a fold restores only complete states that are newer") {
  const FleetFold older = FoldOf(RandomStream(20, 1));
  FleetFold fold = FoldOf(RandomStream(30, 1));
  const std::string before = fold.Encode();
  CHECK_FALSE(fold.Restore(older.Encode()));
  CHECK_FALSE(fold.Restore(before));
  const std::string newer = FoldOf(RandomStream(40, 1)).Encode();
  for (std::size_t size = 0; size < newer.size(); size += 7) {
    CHECK_FALSE(fold.Restore(newer.substr(0, size)));
  }
  CHECK(fold.Encode() == before);
  CHECK(fold.Restore(newer));
}

// Guards against a wrong or late snapshot that changes the view of a reader with a state, or from
// which a reader without a state starts.
TEST_CASE("a wrong snapshot changes no view") {
  const bool wrong_first = GENERATE(true, false);
  FleetFold reader = FoldOf(RandomStream(30, 3));
  std::vector<LogRecord> retained;
  const auto append = [&](const std::string& payload) {
    const std::uint64_t offset = reader.View()->next_offset;
    retained.push_back({.offset = offset, .time_ms = 1, .payload = payload});
    return reader.Apply(offset, payload);
  };
  const auto snapshot = [&](const std::string& state) {
    return SnapshotRecord(reader.View()->next_offset, state);
  };
  const auto wrong_state = [&] {
    FleetFold other = FoldOf(RandomStream(29, 4));
    while (other.View()->next_offset < reader.View()->next_offset) {
      other.Apply(other.View()->next_offset, "");
    }
    return other.Encode();
  };
  if (!wrong_first) CHECK(append(snapshot(reader.Encode())).accepted());
  const auto instances_before = reader.View()->instances;
  CHECK(append(snapshot(wrong_state())).code == ResultCode::kInvalidRecord);
  CHECK(reader.View()->instances == instances_before);
  const std::string late = snapshot(reader.Encode());
  CHECK_FALSE(append(RandomStream(1, 9).front()).code == ResultCode::kInvalidRecord);
  CHECK(append(late).code == ResultCode::kVersionConflict);
  if (wrong_first) CHECK(append(snapshot(reader.Encode())).accepted());
  CHECK(append(snapshot(reader.Encode())).accepted());

  SnapshotSearch search;
  for (const LogRecord& record : retained) search.Feed(record);
  REQUIRE(search.Best() != nullptr);
  CHECK(*search.Best()->fold.View() == *reader.View());
  CHECK(search.Best()->snapshots.newest == retained.back().offset);
}

// Guards against a stream whose last snapshot expires, snapshots by every entry at once, and no
// snapshot when the highest-ranked entry is gone.
TEST_CASE("the highest-ranked live entry appends a snapshot, or else the next one") {
  SnapshotInputs inputs{.next_offset = config::kSnapshotIntervalRecords - 1,
                        .unix_time = Milliseconds(1)};
  CHECK_FALSE(SnapshotDue(inputs));
  inputs.unix_time = Milliseconds(config::kSnapshotMaxAgeMs);
  CHECK(SnapshotDue(inputs));
  inputs.unix_time = Milliseconds(1);
  ++inputs.next_offset;
  CHECK(SnapshotDue(inputs));
  inputs.snapshots = {.newest = 200, .previous = 90, .time_ms = 1};
  inputs.first_retained = 90;
  CHECK_FALSE(SnapshotDue(inputs));
  inputs.first_retained = 91;
  CHECK(SnapshotDue(inputs));

  const std::vector<std::string> live = {"a", "b", "c"};
  std::map<std::string, SnapshotSchedule> schedules;
  const auto append_count = [&](std::int64_t now) {
    std::vector<std::string> appending;
    for (const std::string& name : live) {
      if (schedules[name].Decide(inputs, name, live, Milliseconds(now))) appending.push_back(name);
    }
    return appending.size();
  };
  CHECK(append_count(0) == 1);
  CHECK(append_count(1) == 0);
  CHECK(append_count(config::kSnapshotRankMs) == 2);
}

// Guards against large states that can't be restored. Prints the figures in docs/membership.md.
TEST_CASE("size and time of snapshots", "[measure]") {
  constexpr int kRounds = 20;
  const auto milliseconds = [](const std::function<void()>& action) {
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < kRounds; ++round) action();
    const std::chrono::duration<double, std::milli> time = std::chrono::steady_clock::now() - begin;
    return time.count() / kRounds;
  };
  for (const int instances : {50, 200, 450, 890}) {
    for (const std::size_t records : {2, 4200}) {
      FleetFold fold = FoldOf({RandomStream(1, 1, instances).front()});
      for (std::size_t offset = 1; offset < records; ++offset) {
        fold.Apply(offset, EncodeFleetRecord({.id = RecordId(RandomHex128()),
                                              .change = PresetSwitched{PresetName("peak")}}));
      }
      const std::string state = fold.Encode();
      const double encode = milliseconds([&] { fold.Encode(); });
      const double decode = milliseconds([&] {
        FleetFold restored;
        REQUIRE(restored.Restore(state));
      });
      WARN(instances << " instances, " << records << " records: " << state.size()
                     << " bytes, encode " << encode << " ms, decode " << decode << " ms");
    }
  }
}

}  // namespace
}  // namespace endivewood::testing
