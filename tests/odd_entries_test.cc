/// @file
/// Decoders and followers with the values that another writer may leave: very deeply nested, with
/// numbers too large, with ports out of range, cut, doubled or of other types.
#include <catch2/catch.hpp>
#include <random>

#include "caller_wire.h"
#include "events.h"
#include "fleet_wire.h"
#include "job.h"
#include "json.h"
#include "keyed_follower.h"
#include "machine_wire.h"
#include "node_calls.h"
#include "scheduler_simulation.h"
#include "store_wire.h"
#include "upstream_wire.h"

namespace endivewood::platform::testing {
namespace {

using endivewood::testing::SilenceEvents;

constexpr char kKey[] = "i-1";
constexpr int kDepth = 100000;

/// An entry whose fields are replaced one at a time.
std::string Entry(const std::string& address = "10.0.0.1:8080", const std::string& cpu = "16000",
                  const std::string& born = "1776067874014",
                  const std::string& remaining = "2000") {
  return R"({"service":"s","addr":")" + address +
         R"(","zone":"a","state":"draining","seq":4,"capacity":{"cpu":)" + cpu +
         R"(,"mem_mb":32768},"labels":["k","r1"],"born":)" + born + R"(,"remaining_ms":)" +
         remaining + "}";
}

std::string Nested(int depth) {
  return std::string(static_cast<std::size_t>(depth), '[') +
         std::string(static_cast<std::size_t>(depth), ']');
}

std::string NestedObjects(int depth) {
  std::string text;
  for (int level = 0; level < depth; ++level) text += R"({"a":)";
  return text + "1" + std::string(static_cast<std::size_t>(depth), '}');
}

const std::vector<std::string>& OddNumbers() {
  static const std::vector<std::string> numbers = {"1e400",
                                                   "-1e400",
                                                   "1e300",
                                                   "-1",
                                                   "9223372036854775807",
                                                   "9223372036854775808",
                                                   "18446744073709551616",
                                                   "4294967296",
                                                   "-9223372036854775808",
                                                   std::string(400, '9'),
                                                   "\"16000\"",
                                                   "null",
                                                   "[1]",
                                                   Nested(kDepth)};
  return numbers;
}

/// @returns the text with `value` in the place of each "$".
std::string Filled(const std::string& text, const std::string& value) {
  std::string filled;
  for (const char character : text) {
    if (character == '$') {
      filled += value;
    } else {
      filled += character;
    }
  }
  return filled;
}

HttpOutcome Reply(const std::string& body) {
  return {.reply = HttpReply{.status = 200, .headers = {}, .body = body}};
}

// Guards against orders to an address that no upstream has, or to a wrapped port.
TEST_CASE("an entry with a malformed address or a port out of range names no upstream") {
  REQUIRE(DecodeUpstream(kKey, Entry()));
  for (const char* address :
       {"10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:1099511627776",
        "10.0.0.1:4294967376", "10.0.0.1:80abc", "10.0.0.1:", "10.0.0.1", ":80",
        "executor.example:80", "10.0.0.256:80", "10.0.0.1 :80", "10.0.0.1:80\\r\\nX: y"}) {
    INFO(address);
    CHECK_FALSE(DecodeUpstream(kKey, Entry(address)));
  }
}

// Guards against a capacity, start time or remaining time that overflows in later sums, or that
// makes a running upstream look restarted.
TEST_CASE("an entry with a number out of range or of another type names no upstream") {
  for (const std::string& number : OddNumbers()) {
    INFO(number.substr(0, 30));
    CHECK_FALSE(DecodeUpstream(kKey, Entry("10.0.0.1:80", number)));
    // A number of milliseconds that fits a field can't be told from a real one.
    if (number != "4294967296") {
      CHECK_FALSE(DecodeUpstream(kKey, Entry("10.0.0.1:80", "16000", number)));
      CHECK_FALSE(DecodeUpstream(kKey, Entry("10.0.0.1:80", "16000", "1", number)));
    }
  }
}

// Guards against a key that adds header lines to the orders for its upstream.
TEST_CASE("an entry whose key can't be sent in a header names no upstream") {
  for (const char* key : {"", "i 1", "i\r\nHost: other", "i\x7f", "i\xff"}) {
    INFO(key);
    CHECK_FALSE(DecodeUpstream(key, Entry()));
  }
}

// Guards against a process that ends because nested values exhaust its stack.
TEST_CASE("very deeply nested values are decoded or rejected without harm") {
  const FleetCatalog catalog;
  for (const std::string& text : {Nested(kDepth), NestedObjects(kDepth), Nested(kDepth).substr(1),
                                  std::string(kDepth, '['), std::string(kDepth, '{')}) {
    CHECK_FALSE(DecodeUpstream(kKey, text));
    CHECK_FALSE(DecodeUpstream(kKey, R"({"service":)" + text + "}"));
    CHECK_FALSE(DecodeCatalog(text));
    CHECK_FALSE(DecodeWave(text));
    CHECK(DecodeMachineReply(ListInstances{}, Reply(text)).machines.empty());
    CHECK(DecodeRenewReply(Reply(text)).running.empty());
    CHECK(DecodeStoreReply(ReadNewest{}, Reply(text)).records.empty());
    CHECK_FALSE(DecodeJson(text));
  }
  CHECK(DecodeJson("[[1]]"));
}

// Guards against numbers that become others on the way, differently on each kind of processor.
TEST_CASE("numbers out of range in lists of runs and partitions are left out") {
  for (const std::string& number : OddNumbers()) {
    INFO(number.substr(0, 30));
    const RenewReply runs = DecodeRenewReply(Reply(Filled(
        R"({"clock_ms":5,"running":[["0123456789abcdef.0.0.1",$,"",$]],
            "ended":[[$,"0123456789abcdef.0.0.1",$,"done",""]]})",
        number)));
    if (number != "4294967296") {
      CHECK(runs.running.empty());
      CHECK(runs.ended.empty());
    }
    const StoreReply owners = DecodeStoreReply(
        ListOwners{}, Reply(Filled(R"({"parts":[["t",$,"m",0],["t",3,"m",0]]})", number)));
    // A number that no double holds makes the whole reply unreadable, and the call is repeated.
    const bool unreadable = owners.status == StoreStatus::kNoAnswer;
    CHECK((unreadable || owners.owners.size() == 1));
  }
}

// Guards against a job that no holder can load without running out of memory or overflowing: it
// would end one holder after the other.
TEST_CASE("a job beyond the limits is rejected when it is submitted and when it is loaded") {
  const auto catalog = DecodeCatalog(
      R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","service":"s"}]})");
  REQUIRE(catalog);
  const auto status = [&](const std::string& body) {
    const HttpRequest request{.method = "POST",
                              .path = "/a/0123456789abcdef",
                              .query = "",
                              .headers = {{"Host", "h"}},
                              .body = body};
    const CallerRequest decoded = DecodeCallerRequest(request, &*catalog, true);
    const auto* const reply = std::get_if<HttpReply>(&decoded);
    return reply == nullptr ? 0 : reply->status;
  };
  CHECK(status(R"({"spec":"x","steps":[{"count":2,"cpu":100,"est_ms":50.5}]})") == 0);
  CHECK(status(R"({"steps":[{"count":1,"cpu":2000000000}]})") == 400);
  CHECK(status(R"({"steps":[{"count":1,"cpu":1e300}]})") == 400);
  CHECK(status(R"({"steps":[{"count":1,"cpu":"500"}]})") == 400);
  CHECK(status(R"({"steps":[{"count":4294967297}]})") == 400);
  CHECK(status(R"({"steps":[{"count":1}],"times":2000000000})") == 400);
  CHECK(status(R"({"steps":[{"count":100}],"times":1000})") == 400);
  CHECK(status(R"({"steps":[{"count":1}],"times":3,"interval_ms":-5})") == 400);
  CHECK(status(R"({"steps":[{"count":1}],"times":3,"start_time_ms":1e18})") == 400);
  CHECK(status(R"({"steps":[{"count":1,"depends":[0]}]})") == 400);

  JobRecord record{
      .spec = {.id = JobId("0123456789abcdef"), .steps = {endivewood::testing::Step(1, 100)}}};
  const std::string key = JobKey(record.spec.id);
  const auto loads = [&] {
    const JobStoreRecord loaded =
        DecodeJobStoreRecord({.key = key, .value = EncodeJobRecord(record)});
    return std::holds_alternative<JobRecord>(loaded);
  };
  CHECK(loads());
  record.spec.steps[0].depends = {7};
  CHECK_FALSE(loads());
  record.spec.steps[0].depends = {};
  record.spec.occurrences = 2000000000;
  CHECK_FALSE(loads());
}

std::string Mutated(std::string text, std::mt19937* random) {
  const auto below = [&](std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(*random);
  };
  for (std::size_t edit = 0; edit <= below(4); ++edit) {
    if (text.empty()) return text;
    const std::size_t at = below(text.size());
    switch (below(6)) {
      case 0:
        text.resize(at);
        break;
      case 1:
        text[at] = static_cast<char>(below(256));
        break;
      case 2:
        text.insert(at, text.substr(at));
        break;
      case 3:
        text.insert(at, Nested(static_cast<int>(below(2000))));
        break;
      case 4: {
        const std::size_t digit = text.find_first_of("0123456789", at);
        if (digit == std::string::npos) break;
        std::size_t end = digit;
        while (end < text.size() && std::isdigit(static_cast<unsigned char>(text[end])) != 0) ++end;
        text.replace(digit, end - digit, OddNumbers()[below(OddNumbers().size() - 1)]);
        break;
      }
      default:
        text.erase(at, 1 + below(8));
        break;
    }
  }
  return text;
}

// Each decoder gets thousands of variations of a valid message. Whatever they contain, it returns.
// `make fuzz` runs this under the sanitizers with other seeds.
TEST_CASE("no variation of a valid message ends the process") {
  SilenceEvents();
  const char* const seed_text = std::getenv("FUZZ_SEED");
  const char* const rounds_text = std::getenv("FUZZ_ROUNDS");
  std::mt19937 random(seed_text == nullptr ? 20261205U
                                           : static_cast<std::uint32_t>(std::atoll(seed_text)));
  const int rounds = rounds_text == nullptr ? 3000 : std::atoi(rounds_text);
  const std::string config =
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","service":"s","attempts":2,
          "stretch":2.2,"slo_ms":2500,"advice":{"decide_ms":5,"each_ms":1,"valid_ms":900}}],
          "services":[{"name":"s","spare":false}],"limits":{"body_bytes":1000,"idle_ms":5}})";
  const auto catalog = DecodeCatalog(config);
  REQUIRE(catalog);
  const std::string job =
      R"({"spec":"x","times":3,"interval_ms":500,"start_time_ms":1776067874014,"steps":[{"count":2,
          "cpu":100,"mem_mb":20,"est_ms":50},{"count":1,"depends":[0],"may_miss":1}]})";
  const std::string runs =
      R"({"clock_ms":482113,"born":5,"running":[["0123456789abcdef.0.1.17",2,"00",41,7]],
          "ended":[[58,"0123456789abcdef.0.1.9",1,"done",""]]})";
  const std::string newest =
      R"({"items":[{"key":"i-1","value":"eyJhIjoxfQ==","offset":3}],"has_more":true,"end":9})";
  const std::string read("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\0\0\0\0\x06\x03i-1{}", 26);
  const std::string machines =
      R"({"machines":[{"machine":"m","pool":"s","state":"up","capacity":{"cpu":1},"id":"i"}]})";
  const std::string frame = EncodeNodeFrame(
      {.id = 7,
       .body = NodeCall(SubmitCall{.spec = {.id = JobId("0123456789abcdef"),
                                            .steps = {endivewood::testing::Step(1, 9)}}})});
  const std::string reply_frame = EncodeNodeFrame(
      {.id = 8, .body = NodeReply{.owners = {{.partition = 1, .endpoint = {"127.0.0.1", 1}}}}});
  for (int round = 0; round < rounds; ++round) {
    // One draw a statement: the order in which arguments are evaluated differs between machines.
    const std::string key = Mutated(kKey, &random);
    DecodeUpstream(key, Mutated(Entry(), &random));
    DecodeCatalog(Mutated(config, &random));
    DecodeWave(Mutated(R"({"wave":3,"machines":["m"],"deadline_s":40,"max_count":2})", &random));
    DecodeRenewReply(Reply(Mutated(runs, &random)));
    DecodeOrderReply(Reply(Mutated(runs, &random)));
    DecodeMachineReply(ListInstances{}, Reply(Mutated(machines, &random)));
    DecodeStoreReply(ReadNewest{}, Reply(Mutated(newest, &random)));
    DecodeStoreReply(ReadKeyed{}, Reply(Mutated(read, &random)));
    DecodeStoreReply(JoinGroup{},
                     Reply(Mutated(R"({"generation":3,"parts":[["t",1,0]]})", &random)));
    DecodeStoreReply(ListOwners{}, Reply(Mutated(R"({"parts":[["t",1,"m",0]]})", &random)));
    const HttpRequest request{.method = "POST",
                              .path = Mutated("/a/0123456789abcdef", &random),
                              .query = "",
                              .headers = {{"Host", "h"}, {"Deadline-Ms", Mutated("3000", &random)}},
                              .body = Mutated(job, &random)};
    CallerTimeout(request);
    const CallerRequest decoded = DecodeCallerRequest(request, &*catalog, true);
    if (const auto* call = std::get_if<NodeCall>(&decoded)) {
      if (const auto* submit = std::get_if<SubmitCall>(call)) {
        Job scheduled({.spec = submit->spec, .policy = submit->policy}, Milliseconds{0});
        scheduled.CreateDueOccurrences(Milliseconds(86400000), Milliseconds{0});
        CHECK(scheduled.RemainingWork() >= 0);
      }
    }
    for (const std::string* whole : {&frame, &reply_frame}) {
      std::string buffer = Mutated(*whole, &random);
      bool malformed = false;
      while (TakeNodeFrame(&buffer, &malformed) && !malformed) {
      }
    }
    DecodeJobStoreRecord(
        {.key = "j/0123456789abcdef",
         .value = Mutated(EncodeJobRecord({.spec = {.id = JobId("a")}}), &random)});
    DecodeJobStoreRecord(
        {.key = "u/i-1",
         .value = Mutated(EncodeUpstreamRecord({.id = UpstreamId("i-1")}), &random)});
    DecodeJson(Mutated(R"({"a":[1,-2,3.5,"x",true,null]})", &random));
  }
}

// Guards against a follower that stops, or reloads for ever, because of one record.
TEST_CASE("one odd record among a thousand doesn't stop the follower of a topic") {
  KeyedFollower follower(
      {.partition = {"t", 0}, .wait = Milliseconds{0}, .min_interval = Milliseconds(10)});
  constexpr int kRecords = 1000;
  constexpr int kRecordsWithoutKey = 2;
  std::string body(16, '\0');
  body[6] = static_cast<char>((kRecords + kRecordsWithoutKey) >> 8);
  body[7] = static_cast<char>((kRecords + kRecordsWithoutKey) & 0xff);
  const auto append = [&](const std::string& content) {
    const auto size = static_cast<std::uint32_t>(content.size());
    for (int shift = 24; shift >= 0; shift -= 8) body += static_cast<char>(size >> shift & 0xff);
    body += content;
  };
  constexpr int kOdd = 500;
  for (int number = 0; number < kRecords; ++number) {
    const std::string key = "i-" + std::to_string(number);
    const std::string value = number == kOdd ? Nested(kDepth) : Entry();
    std::string content(1, static_cast<char>(key.size()));
    content += key;
    content += value;
    append(content);
  }
  append("");                      // No key length.
  append(std::string("\xff", 1));  // A key that is longer than the record.
  Milliseconds now(1000);
  REQUIRE(follower.TakeCall(now));
  follower.OnReply({.status = StoreStatus::kOk}, now);
  now += Milliseconds(20);
  REQUIRE(follower.TakeCall(now));
  follower.OnReply(DecodeStoreReply(ReadKeyed{}, Reply(body)), now);
  int decoded = 0;
  for (const auto& [key, value] : follower.records()) {
    if (DecodeUpstream(key, value)) ++decoded;
  }
  CHECK(decoded == kRecords - 1);
  now += Milliseconds(20);
  const auto next = follower.TakeCall(now);
  REQUIRE(next);
  const auto* const read = std::get_if<ReadKeyed>(&*next);
  REQUIRE(read != nullptr);
  CHECK(read->from == kRecords + 2);
}

}  // namespace
}  // namespace endivewood::platform::testing
