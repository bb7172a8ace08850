/// @file
/// What an instance knows about the age of its configuration, and what callers get.
#include <catch2/catch.hpp>

#include "keyed_follower.h"

namespace endivewood::testing {
namespace {

constexpr Milliseconds kWait{1200};
constexpr std::uint64_t kEnd = 4;

StoreReply Unchanged() { return {.status = StoreStatus::kOk, .end = kEnd}; }

/// @returns a follower that has read all records at 10 ms, up to offset kEnd.
KeyedFollower LoadedFollower() {
  KeyedFollower follower({.partition = {"t", 0}, .wait = kWait});
  follower.TakeCall(Milliseconds(10));
  StoreReply page = Unchanged();
  page.records = {{.key = "config", .value = "1"}};
  follower.OnReply(page, Milliseconds(50));
  return follower;
}

// Guards against a read whose wait missed a change and that is taken for proof that there was none.
TEST_CASE("a read without records shows the state at its start and not at the end of its wait") {
  KeyedFollower follower = LoadedFollower();
  follower.TakeCall(Milliseconds(100));
  follower.OnReply(Unchanged(), Milliseconds(1310));
  CHECK(follower.current_at() == Milliseconds(100));
}

// Guards against a view that counts as current although the answer says that there are records.
TEST_CASE("a read without records doesn't make a view current that ends before the log") {
  KeyedFollower follower = LoadedFollower();
  follower.TakeCall(Milliseconds(100));
  StoreReply reply = Unchanged();
  reply.end = kEnd + 1;
  follower.OnReply(reply, Milliseconds(1310));
  CHECK(follower.current_at() == Milliseconds(10));
}

// Guards against an answer from before the last one, and against reads beyond the end of a log.
TEST_CASE("an answer from a log that ends before the position doesn't make a view current") {
  KeyedFollower follower = LoadedFollower();
  follower.TakeCall(Milliseconds(100));
  StoreReply reply = Unchanged();
  reply.end = kEnd - 1;
  follower.OnReply(reply, Milliseconds(1310));
  CHECK(follower.current_at() == Milliseconds(10));
}

// Guards against a full read that ends at one of its pages and hides the records of the others.
TEST_CASE("a full read isn't complete while the log service says that there are more pages") {
  KeyedFollower follower({.partition = {"t", 0}, .wait = kWait});
  follower.TakeCall(Milliseconds(10));
  StoreReply page = Unchanged();
  page.more = true;
  follower.OnReply(page, Milliseconds(20));
  CHECK_FALSE(follower.loaded());
  CHECK_FALSE(follower.current_at());
}

// Guards against a list of changes that is taken for the list of all records.
TEST_CASE("the answer to a read from before a restart isn't taken for a full read") {
  KeyedFollower follower = LoadedFollower();
  follower.TakeCall(Milliseconds(100));
  follower.Restart();
  StoreReply changes{.status = StoreStatus::kOk, .end = kEnd + 1};
  changes.records = {{.key = "other", .value = "1"}};
  follower.OnReply(changes, Milliseconds(200));
  CHECK_FALSE(follower.loaded());
  const auto next = follower.TakeCall(Milliseconds(1000));
  REQUIRE(next);
  CHECK(std::holds_alternative<ReadNewest>(*next));
}

// Guards against records that are skipped because they were counted twice.
TEST_CASE("a check that overlaps a waiting read doesn't advance the position twice") {
  KeyedFollower follower = LoadedFollower();
  follower.TakeCall(Milliseconds(100));
  CHECK_FALSE(follower.TakeCheck(Milliseconds(150)));
  follower.RequestCheck();
  const auto check = follower.TakeCheck(Milliseconds(200));
  REQUIRE(check);
  CHECK(std::get<ReadKeyed>(*check).from == kEnd);
  CHECK(std::get<ReadKeyed>(*check).wait == Milliseconds(0));
  StoreReply changes{.status = StoreStatus::kOk, .end = kEnd + 1};
  changes.records = {{.key = "config", .value = "2"}};
  CHECK(follower.OnCheckReply(changes, Milliseconds(210)));
  CHECK(follower.current_at() == Milliseconds(200));
  CHECK_FALSE(follower.OnReply(changes, Milliseconds(1310)));
  CHECK(follower.offset() == kEnd + 1);
  CHECK(follower.current_at() == Milliseconds(200));
  const auto next = follower.TakeCall(Milliseconds(1310));
  REQUIRE(next);
  CHECK(std::get<ReadKeyed>(*next).from == kEnd + 1);
}

// Guards against an instance that learns nothing while a connection is silent.
TEST_CASE("a read without an answer is backed up by a check") {
  KeyedFollower follower({.partition = {"t", 0}, .wait = kWait, .max_delay = Milliseconds(300)});
  follower.TakeCall(Milliseconds(10));
  follower.OnReply(Unchanged(), Milliseconds(50));
  REQUIRE(follower.TakeCall(Milliseconds(100)));
  CHECK_FALSE(follower.TakeCheck(Milliseconds(1500)));
  CHECK(follower.NextDue() == Milliseconds(1600));
  REQUIRE(follower.TakeCheck(Milliseconds(1600)));
  StoreReply changes{.status = StoreStatus::kOk, .end = kEnd + 1};
  changes.records = {{.key = "config", .value = "2"}};
  CHECK(follower.OnCheckReply(changes, Milliseconds(1610)));
  CHECK(follower.records().at("config") == "2");
}

}  // namespace
}  // namespace endivewood::testing
