/// @file
/// Calls between instances, group membership, topic followers, and a node's log and metrics.
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

#include "group_membership.h"
#include "json_log.h"
#include "keyed_follower.h"
#include "node_link.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

constexpr Endpoint Loopback(std::uint16_t port) { return {.address = "127.0.0.1", .port = port}; }

// Guards against calls that change in encoding or decoding.
TEST_CASE("a frame decodes to the call that was encoded") {
  SubmitCall call{.spec = {.id = JobId("a"), .steps = {Step(2, 500)}}, .policy = test_policy};
  std::string bytes = EncodeNodeFrame({.id = 7, .body = NodeCall(call)});
  const std::string whole = bytes;
  bytes.resize(whole.size() - 1);
  bool malformed = false;
  CHECK_FALSE(TakeNodeFrame(&bytes, &malformed));
  CHECK_FALSE(malformed);
  bytes = whole;
  const auto frame = TakeNodeFrame(&bytes, &malformed);
  REQUIRE(frame);
  CHECK(frame->id == 7);
  const auto& decoded = std::get<SubmitCall>(std::get<NodeCall>(frame->body));
  CHECK(decoded.spec == call.spec);
  CHECK(decoded.policy == test_policy);
  bytes = "\xff\xff\xff\xff";
  TakeNodeFrame(&bytes, &malformed);
  CHECK(malformed);
}

// Guards against a search for a job that changes in encoding or decoding.
TEST_CASE("a search for a job and its answer decode to what was encoded") {
  const FindJobCall call{.service = ServiceName("b"),
                         .queue = QueueName("q"),
                         .job = JobId("j"),
                         .for_service = ServiceName("a"),
                         .config_version = 1ULL << 40};
  std::string bytes = EncodeNodeFrame({.id = 7, .body = NodeCall(call)});
  bool malformed = false;
  const auto frame = TakeNodeFrame(&bytes, &malformed);
  REQUIRE(frame);
  CHECK(std::get<FindJobCall>(std::get<NodeCall>(frame->body)) == call);
  NodeReply reply{.status = NodeStatus::kUnknownJob, .pending = 5};
  reply.queue_retired = true;
  bytes = EncodeNodeFrame({.id = 8, .body = reply});
  const auto answer = TakeNodeFrame(&bytes, &malformed);
  REQUIRE(answer);
  CHECK(std::get<NodeReply>(answer->body).queue_retired);
  CHECK(std::get<NodeReply>(answer->body).pending == 5);
}

// Guards against refusing a call that another instance has executed: only a call that was never
// sent is known not to have been.
TEST_CASE("a call tells whether it may have arrived") {
  SilenceEvents();
  EventLoop loop;
  NodeLink silent(&loop, Loopback(21901), [](const NodeCall&, const NodeLink::Responder&) {});
  NodeLink answering(&loop, Loopback(21902),
                     [](const NodeCall&, const NodeLink::Responder& answer) {
                       answer({.status = NodeStatus::kOk});
                     });
  std::optional<NodeOutcome> unanswered;
  std::optional<NodeOutcome> unreachable;
  std::optional<NodeOutcome> answered;
  const NodeCall call = PendingCall{.queue = QueueName("q"), .service = test_service};
  const auto stop = [&] {
    if (unanswered && unreachable && answered) loop.Stop();
  };
  answering.Call(Loopback(21901), call, Milliseconds(100), [&](const NodeOutcome& outcome) {
    unanswered = outcome;
    stop();
  });
  answering.Call(Loopback(21903), call, Milliseconds(100), [&](const NodeOutcome& outcome) {
    unreachable = outcome;
    stop();
  });
  silent.Call(Loopback(21902), call, Milliseconds(1000), [&](const NodeOutcome& outcome) {
    answered = outcome;
    stop();
  });
  loop.After(Milliseconds(5000), [&] { loop.Stop(); });
  loop.Run();
  REQUIRE(unanswered);
  CHECK(unanswered->sent);
  CHECK_FALSE(unanswered->reply);
  REQUIRE(unreachable);
  CHECK_FALSE(unreachable->sent);
  REQUIRE(answered);
  CHECK(answered->reply->status == NodeStatus::kOk);
}

// Guards against a holder that continues although its membership may have expired.
TEST_CASE("membership is confirmed from when the join was sent") {
  GroupMembership membership({.group = "g", .member = "m", .topic = "t"});
  REQUIRE(membership.TakeCall(Milliseconds(1000)));
  StoreReply reply{.status = StoreStatus::kOk};
  reply.generation = 4;
  reply.held = {{.topic = "t", .number = 2}};
  membership.OnReply(reply, Milliseconds(1900));
  CHECK(GenerationOfEpoch(membership.held().at(2)) == 4);
  CHECK(membership.IsConfirmed(Milliseconds(2499)));
  CHECK_FALSE(membership.IsConfirmed(Milliseconds(2500)));
  REQUIRE(membership.TakeCall(Milliseconds(1900)));
  reply.generation = 6;
  reply.held = {{.topic = "t", .number = 2}, {.topic = "t", .number = 3}};
  membership.OnReply(reply, Milliseconds(1950));
  CHECK(GenerationOfEpoch(membership.held().at(2)) == 4);
  CHECK(GenerationOfEpoch(membership.held().at(3)) == 6);
}

// Guards against two terms with the same epoch, and so the same sequence and run numbers.
TEST_CASE("each term that a member begins has a higher epoch than the one before") {
  SilenceEvents();
  GroupMembership membership({.group = "g", .member = "m", .topic = "t"});
  StoreReply reply{.status = StoreStatus::kOk};
  reply.generation = 4;
  reply.held = {{.topic = "t", .number = 2}};
  std::uint64_t last = 0;
  for (std::uint64_t term = 0; term < config::kTermsPerGeneration; ++term) {
    membership.OnReply(reply, Milliseconds(0));
    REQUIRE(membership.held().count(2) == 1);
    CHECK(membership.held().at(2) > last);
    CHECK(GenerationOfEpoch(membership.held().at(2)) == 4);
    last = membership.held().at(2);
    membership.OnTermEnded(2, last);
  }
  membership.OnReply(reply, Milliseconds(0));
  CHECK(membership.held().empty());
  reply.generation = 5;
  membership.OnReply(reply, Milliseconds(0));
  CHECK(membership.held().at(2) > last);
}

// Guards against orders of an ended term that the upstreams take for orders of the next one.
TEST_CASE("a term's epoch is above all fencing tokens of the term before") {
  SilenceEvents();
  GroupMembership membership({.group = "g", .member = "m", .topic = "t"});
  StoreReply reply{.status = StoreStatus::kOk};
  reply.generation = 4;
  reply.held = {{.topic = "t", .number = 2}};
  membership.OnReply(reply, Milliseconds(0));
  const std::uint64_t highest_token = membership.held().at(2) + 7;
  membership.OnTermEnded(2, highest_token);
  membership.OnReply(reply, Milliseconds(0));
  CHECK(membership.held().at(2) > highest_token);
}

// Guards against missing changes made between the pages of a full read, and against keeping records
// whose deletion the log no longer holds.
TEST_CASE("a follower reads changes from the first page's end offset") {
  KeyedFollower follower({.partition = {"t", 0}});
  REQUIRE(follower.TakeCall(Milliseconds(0)));
  StoreReply page{.status = StoreStatus::kOk, .end = 10};
  page.records = {{.key = "a", .value = "1"}};
  page.more = true;
  CHECK_FALSE(follower.OnReply(page, Milliseconds(0)));
  REQUIRE(follower.TakeCall(Milliseconds(0)));
  page.end = 12;
  page.records = {{.key = "b", .value = "1"}};
  page.more = false;
  CHECK(follower.OnReply(page, Milliseconds(0)));
  const auto read = follower.TakeCall(Milliseconds(0));
  CHECK(std::get<ReadKeyed>(*read).from == 10);
  follower.OnReply({.status = StoreStatus::kExpired}, Milliseconds(0));
  CHECK(follower.records().size() == 2);
  CHECK(std::holds_alternative<ReadNewest>(*follower.TakeCall(Milliseconds(0))));
  page.records = {{.key = "b", .value = "2"}};
  CHECK(follower.OnReply(page, Milliseconds(0)));
  CHECK(follower.records() == std::map<std::string, std::string>{{"b", "2"}});
}

// Guards against a view that is taken for current because a read of it has just begun or failed.
TEST_CASE("a follower knows since when its records may be outdated") {
  KeyedFollower follower({.partition = {"t", 0}, .wait = Milliseconds(1200)});
  CHECK_FALSE(follower.current_at());
  follower.TakeCall(Milliseconds(10));
  StoreReply reply{.status = StoreStatus::kOk, .end = 4};
  follower.OnReply(reply, Milliseconds(50));
  CHECK(follower.current_at() == Milliseconds(10));
  follower.TakeCall(Milliseconds(50));
  follower.OnReply(reply, Milliseconds(1270));
  CHECK(follower.current_at() == Milliseconds(50));
  follower.TakeCall(Milliseconds(1270));
  follower.OnReply({.status = StoreStatus::kNoAnswer}, Milliseconds(2970));
  CHECK(follower.current_at() == Milliseconds(50));
  follower.TakeCall(Milliseconds(3200));
  reply.end = 6;
  reply.records = {{.key = "a", .value = "1"}};
  follower.OnReply(reply, Milliseconds(3900));
  CHECK(follower.current_at() == Milliseconds(50));
  follower.TakeCall(Milliseconds(3900));
  follower.OnReply(reply, Milliseconds(4100));
  CHECK(follower.current_at() == Milliseconds(3900));
}

// Guards against a log that blocks its process, or that grows without bound under a burst of
// events.
TEST_CASE("the log drops and counts lines that its reader doesn't read") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  const Clock clock;
  JsonLog log({.descriptor = pipe_ends[1],
               .process = "p",
               .lines_per_second = 1000000,
               .max_buffered_bytes = 100000},
              &clock);
  for (int line = 0; line < 20000; ++line) {
    log.Write(Event::kCallAnswered, {{"status", "refused \"quoted\"\n"}});
    log.Flush();
  }
  CHECK(log.dropped() > 10000);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

// Guards against metrics that miss events which the log drops.
TEST_CASE("every event is counted, with its outcome and duration") {
  EventMetrics metrics;
  for (int call = 0; call < 3; ++call) {
    metrics.Observe(Event::kCallAnswered, {{"status", "ok"}, {"took_ms", 7}});
  }
  const std::string text = metrics.Exposition();
  CHECK(text.find("endivewood_events_total{event=\"call-answered\",outcome=\"ok\"} 3") !=
        std::string::npos);
  CHECK(text.find("_bucket{event=\"call-answered\",le=\"5\"} 0") != std::string::npos);
  CHECK(text.find("_bucket{event=\"call-answered\",le=\"10\"} 3") != std::string::npos);
}

}  // namespace
}  // namespace endivewood::testing
