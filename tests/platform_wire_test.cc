/// @file
/// Tests of the wire decoders with valid and with malformed input.
#include <catch2/catch.hpp>
#include <random>

#include "caller_wire.h"
#include "events.h"
#include "fleet_wire.h"
#include "machine_wire.h"
#include "platform_settings.h"
#include "store_wire.h"
#include "upstream_wire.h"

namespace endivewood::platform::testing {
namespace {

constexpr char kSettings[] = R"(
node = "edge-a-1"
zone = "a"
ip = "127.0.0.1"
port_range = [7060, 7075]
something_new = true
[listen]
front = "127.0.0.1:8624"
ready = "127.0.0.1:8622"
[platform]
addr = "127.0.0.1:8621"
parts = 16
[cloud]
addr = "127.0.0.1:8700"
[bounds]
hold_max_ms = 6000
[limits]
cpu_share = 0.12
cores = 2
link_mbps = 10
)";

constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/a/","service":"s",
        "attempts":2,"stretch":2.2,"slo_ms":2500,"prio":1},{"name":"broken","host":5}],
        "services":[{"name":"s","spare":false},{"name":"off","spare":true}],
        "limits":{"body_bytes":1000}})";

constexpr char kUpstream[] =
    R"({"service":"s","addr":"10.0.0.1:8080","zone":"a","state":"ready","seq":4,
        "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["k","r1"],"born":123})";

HttpOutcome Reply(int status, const std::string& body) {
  return {.reply = HttpReply{.status = status, .headers = {}, .body = body}};
}

HttpRequest Request(const std::string& method, const std::string& path,
                    const std::string& body = "") {
  return {.method = method,
          .path = path,
          .query = "",
          .headers = {{"Host", "h.example:80"}},
          .body = body};
}

// Guards against starting with unusable settings, and against rejecting fields that later versions
// of the platform add.
TEST_CASE("each setting is checked and unknown fields are ignored") {
  std::vector<ConfigError> errors;
  const auto settings = ParsePlatformSettings(kSettings, "node.toml", &errors);
  REQUIRE(settings);
  CHECK(settings->callers == Endpoint{.address = "127.0.0.1", .port = 8624});
  CHECK(settings->max_lease == Milliseconds(6000));
  CHECK(settings->cpu_millicores == 240);
  CHECK(settings->link_mbps == 10);
  std::string broken = kSettings;
  broken.replace(broken.find("\"127.0.0.1:8621\""), 16, "8621");
  CHECK_FALSE(ParsePlatformSettings(broken, "node.toml", &errors));
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].key == "platform.addr");
  CHECK(errors[0].line == 11);
  CHECK(errors[0].expected == "an address as IP:PORT");
  CHECK_FALSE(ParsePlatformSettings("node = ", "node.toml", &errors));
}

// Guards against a 404 for a queue that was added in a version which the instance hasn't read yet.
TEST_CASE("an unknown queue is refused as unavailable while the configuration may be outdated") {
  const auto catalog = DecodeCatalog(kConfig);
  REQUIRE(catalog);
  const HttpRequest request = Request("POST", "/new/0123456789abcdef");
  const auto status = [&](bool current) {
    return std::get<HttpReply>(DecodeCallerRequest(request, &*catalog, current)).status;
  };
  CHECK(status(false) == 503);
  CHECK(status(true) == 404);
  const HttpRequest known = Request("GET", "/a/0123456789abcdef");
  CHECK(std::holds_alternative<NodeCall>(DecodeCallerRequest(known, &*catalog, false)));
}

// Guards against a 404 for a queue whose prefix is longer than that of a known queue.
TEST_CASE("a path below a known queue is refused as unavailable while a longer prefix may exist") {
  const auto catalog = DecodeCatalog(kConfig);
  REQUIRE(catalog);
  const auto status = [&](const HttpRequest& request, bool current) {
    return std::get<HttpReply>(DecodeCallerRequest(request, &*catalog, current)).status;
  };
  const HttpRequest list = Request("GET", "/a/new/");
  CHECK(status(list, false) == 503);
  CHECK(status(list, true) == 404);
  const HttpRequest submission = Request("POST", "/a/new/0123456789abcdef");
  CHECK(status(submission, false) == 503);
  CHECK(status(submission, true) == 404);
}

// Guards against one malformed route making the whole configuration unusable.
TEST_CASE("a malformed route is skipped and the rest of the configuration is used") {
  const auto catalog = DecodeCatalog(kConfig);
  REQUIRE(catalog);
  CHECK(catalog->version == 7);
  REQUIRE(catalog->queues.size() == 1);
  CHECK(catalog->queues[0].policy.attempts == 2);
  CHECK(catalog->Spare()->name == ServiceName("off"));
  CHECK(catalog->limits.body_bytes == 1000);
  CHECK_FALSE(DecodeCatalog("{\"routes\":[]}"));
}

// Guards against taking an entry of another program for an upstream.
TEST_CASE("only complete entries with a known state are decoded as upstreams") {
  const auto entry = DecodeUpstream("i-1", kUpstream);
  REQUIRE(entry);
  CHECK(entry->rack == RackName("r1"));
  CHECK(entry->start_time == 123);
  for (const std::string& other :
       {std::string("{}"), std::string("\xff\xfe"), std::string("[1]"),
        std::string(R"({"service":"s","addr":"10.0.0.1","state":"ready"})"),
        std::string(
            R"({"service":"s","addr":"10.0.0.1:80","state":"asleep","capacity":{"cpu":1}})"),
        std::string(
            R"({"service":3,"addr":"10.0.0.1:80","state":"ready","capacity":{"cpu":1}})")}) {
    CHECK_FALSE(DecodeUpstream("i-1", other));
  }
}

// Guards against wrong status codes: a caller gets 404 only when no such queue is configured.
TEST_CASE("callers' requests are routed, checked and answered") {
  const auto catalog = DecodeCatalog(kConfig);
  const auto status_of = [&](const HttpRequest& request, const FleetCatalog* known) {
    const CallerRequest decoded = DecodeCallerRequest(request, known, true);
    const auto* answer = std::get_if<HttpReply>(&decoded);
    return answer == nullptr ? 0 : answer->status;
  };
  const std::string path = "/a/0123456789abcdef";
  const std::string job = R"({"spec":"x","steps":[{"count":1},{"count":2,"depends":[0]}]})";
  CHECK(status_of(Request("POST", path, job), nullptr) == 503);
  CHECK(status_of(Request("POST", path, job), &*catalog) == 0);
  CHECK(status_of(Request("GET", "/a/"), &*catalog) == 0);
  CHECK(status_of(Request("GET", "/b/"), &*catalog) == 404);
  CHECK(status_of(Request("POST", path, "{}"), &*catalog) == 400);
  CHECK(status_of(Request("POST", path, R"({"steps":[{"count":1,"depends":[0]}]})"), &*catalog) ==
        400);
  CHECK(status_of(Request("POST", path, R"({"steps":[{"count":-1}]})"), &*catalog) == 400);
  const NodeCall submit = SubmitCall{};
  const auto reply = [&](NodeStatus status) {
    NodeReply node{.status = status};
    node.retry_after = Milliseconds(1200);
    return EncodeCallerReply(submit, node);
  };
  CHECK(reply(NodeStatus::kRefused).status == 429);
  CHECK(reply(NodeStatus::kRefused).Header("Retry-After") == "2");
  CHECK(reply(NodeStatus::kUnavailable).status == 503);
  // A request that may have taken effect must not be answered as refused.
  CHECK(reply(NodeStatus::kUncertain).status == 504);
}

// Guards against taking an unanswered order for one without effect.
TEST_CASE("replies of upstreams and of the store are decoded to distinct outcomes") {
  CHECK(DecodeOrderReply(Reply(409, R"({"clock_ms":5,"reason":"old"})")).outcome ==
        OrderOutcome::kStaleRun);
  CHECK(DecodeOrderReply(Reply(421, "{}")).outcome == OrderOutcome::kWrongIncarnation);
  CHECK(DecodeOrderReply({}).outcome == OrderOutcome::kNoAnswer);
  const auto list = DecodeRenewReply(
      Reply(200, R"({"clock_ms":9,"born":3,"running":[["a.0.1.2",4,"c",40,7],["bad"]],
              "ended":[[1,"a.0.1.3",2,"done",""],[2,"a.0.1",2,"done",""]]})"));
  REQUIRE(list.running.size() == 1);
  CHECK(list.running[0].task.index == 2);
  CHECK(list.running[0].usage == 7);
  REQUIRE(list.ended.size() == 1);
  CHECK(list.ended[0].end == RunEnd::kDone);
  const StoreCall append = AppendKeyed{};
  CHECK(DecodeStoreReply(append, Reply(503, "{}")).status == StoreStatus::kRefused);
  CHECK(DecodeStoreReply(append, {}).status == StoreStatus::kNoAnswer);
  CHECK(DecodeStoreReply(append, Reply(409, R"({"reason":"fenced"})")).status ==
        StoreStatus::kFenced);
}

// Guards against a full list of ended runs that is taken for a complete one, also when a row of it
// can't be read.
TEST_CASE("a full list of ended runs says that more may follow") {
  const auto list_of = [](int rows) {
    std::string ended = R"([1,"a.0.1",2,"done",""])";
    for (int row = 2; row <= rows; ++row) {
      ended += ",[" + std::to_string(row) + R"(,"a.0.1.3",2,"done",""])";
    }
    return DecodeRenewReply(Reply(200, R"({"clock_ms":9,"born":3,"ended":[)" + ended + "]}"));
  };
  CHECK(list_of(500).ended.size() == 499);
  CHECK(list_of(500).more_ended);
  CHECK_FALSE(list_of(499).more_ended);
  CHECK_FALSE(DecodeRenewReply(Reply(200, R"({"clock_ms":9,"born":3})")).more_ended);
}

// Guards against records that are altered on the way to the store and back.
TEST_CASE("binary keyed records are encoded and decoded unchanged") {
  const std::string value("\x00\xff\x7f value", 9);
  const HttpRequest sent = EncodeStoreCall(
      AppendKeyed{.partition = {"t", 1}, .records = {{.key = "k", .value = value}}});
  const std::string body = std::string(16, '\0') + sent.body;
  const StoreReply read = DecodeStoreReply(ReadKeyed{}, Reply(200, body));
  REQUIRE(read.records.size() == 1);
  CHECK(read.records[0] == KeyedRecord{.key = "k", .value = value});
  const StoreReply newest = DecodeStoreReply(
      ReadNewest{}, Reply(200, R"({"items":[{"key":"a","value":"AP9/IHY="}],"end":3})"));
  REQUIRE(newest.records.size() == 1);
  CHECK(newest.records[0].value == std::string("\x00\xff\x7f v", 5));
}

// Guards against an answer without a readable list, or with an unreadable token, that counts as a
// complete list: every instance that it lacks would count as gone.
TEST_CASE("a list of instances is accepted only if it can be read in full") {
  const MachineReply complete = DecodeMachineReply(
      ListInstances{},
      Reply(200, R"({"machines":[{"machine":"m","pool":"p","state":"up"}],"next_token":null})"));
  CHECK(complete.status == MachineStatus::kOk);
  CHECK(complete.machines.size() == 1);
  CHECK(DecodeMachineReply(ListInstances{}, Reply(200, R"({"machines":[]})")).status ==
        MachineStatus::kOk);
  for (const char* body : {"", "{", "{}", "[]", R"({"machines":{}})", R"({"machines":null})",
                           R"({"machines":[{"machine":"m"}],"next_token":7})"}) {
    CHECK(DecodeMachineReply(ListInstances{}, Reply(200, body)).status == MachineStatus::kInvalid);
  }
}

// Guards against malformed input that ends the process.
TEST_CASE("mutated input does not crash a decoder") {
  SetEventSink({.enabled = [](EventLevel) { return false; },
                .write = [](Event, const std::vector<EventField>&) {}});
  const auto catalog = DecodeCatalog(kConfig);
  const std::vector<std::string> seeds = {
      kConfig,
      kUpstream,
      R"({"wave":1,"machines":["m"],"deadline_s":20,"max_count":1})",
      R"({"spec":"x","steps":[{"count":4,"cpu":500,"depends":[]}],"times":3})",
      R"({"clock_ms":1,"running":[["a.0.0.0",1,"",5,5]],"ended":[[1,"a.0.0.0",1,"done",""]]})",
      R"({"machines":[{"machine":"m","capacity":{"cpu":1}}],"next_token":null})"};
  std::mt19937 random(20261204);
  for (int iteration = 0; iteration < 20000; ++iteration) {
    std::string text = seeds[random() % seeds.size()];
    for (int change = 0; change < 1 + static_cast<int>(random() % 4); ++change) {
      const std::size_t at = random() % text.size();
      if (random() % 3 == 0) {
        text.erase(at, 1 + random() % 8);
      } else {
        text[at] = static_cast<char>(random() % 256);
      }
      if (text.empty()) text = "x";
    }
    DecodeCatalog(text);
    DecodeUpstream("i", text);
    DecodeWave(text);
    DecodeRenewReply(Reply(200, text));
    DecodeOrderReply(Reply(409, text));
    DecodeMachineReply(ListInstances{}, Reply(200, text));
    DecodeStoreReply(ReadKeyed{}, Reply(200, text));
    DecodeStoreReply(ReadNewest{}, Reply(200, text));
    DecodeStoreReply(JoinGroup{}, Reply(200, text));
    DecodeCallerRequest(Request("POST", "/a/0123456789abcdef", text), &*catalog, true);
    bool malformed = false;
    std::string frame = text;
    TakeNodeFrame(&frame, &malformed);
  }
  SUCCEED();
}

// Guards against taking a partition for empty because its page was truncated or corrupted.
TEST_CASE("an unreadable reply of the store counts as no answer") {
  SetEventSink({.enabled = [](EventLevel) { return false; },
                .write = [](Event, const std::vector<EventField>&) {}});
  const auto decode = [](const StoreCall& call, const std::string& body) {
    HttpOutcome outcome;
    outcome.reply = HttpReply{.status = 200, .headers = {}, .body = body};
    return DecodeStoreReply(call, outcome).status;
  };
  const ReadNewest read{.partition = {.topic = "keyed.jobs", .number = 1}, .after_key = ""};
  CHECK(decode(read, R"({"items":[],"has_more":false,"end":0})") == StoreStatus::kOk);
  CHECK(decode(read, "") == StoreStatus::kNoAnswer);
  CHECK(decode(read, R"({"items":[{"key":)") == StoreStatus::kNoAnswer);
  CHECK(decode(read, R"({"end":6})") == StoreStatus::kNoAnswer);
  const JoinGroup join{.group = "g", .member = "m", .topic = "t"};
  CHECK(decode(join, "[]") == StoreStatus::kNoAnswer);
  CHECK(decode(join, R"({"generation":3,"parts":[]})") == StoreStatus::kOk);
}

}  // namespace
}  // namespace endivewood::platform::testing
