/// @file
/// Client accounts: decoding, the check of callers' keys, and what callers get while an instance
/// may not know the newest configuration.
#include <catch2/catch.hpp>
#include <msgpack.hpp>

#include "caller_wire.h"
#include "fleet_wire.h"
#include "instance_fixture.h"

namespace endivewood::platform::testing {
namespace {

constexpr char kConfig[] = R"({"version":7,
  "routes":[{"name":"r","host":"h.example","prefix":"/a/","service":"s","public":false},
            {"name":"open","host":"h.example","prefix":"/open/","service":"s","public":true}],
  "services":[{"name":"s"}],
  "tenants":[{"name":"first","api_keys":["key-one","key-two"],"weight":211,
              "max_count":{"cpu":5479368,"mem_mb":18100151,"gpu":0}},
             {"name":"second","api_keys":["key-three",5,"","shared"],"weight":-3},
             {"name":"third","api_keys":["shared"],"max_count":7},
             {"api_keys":["key-four"]}, 12]})";

HttpRequest Request(const std::string& method, const std::string& path,
                    const std::vector<std::string>& authorization) {
  HttpRequest request{.method = method, .path = path, .headers = {{"Host", "h.example"}}};
  for (const std::string& value : authorization) {
    request.headers.push_back({"authorization", value});
  }
  request.body = R"({"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":1,"est_ms":10}]})";
  return request;
}

constexpr char kJobPath[] = "/a/0123456789abcdef";

/// @returns the HTTP status of a request that needs no call; 0 if a call is made.
int StatusOf(const FleetCatalog& catalog, const HttpRequest& request, bool current = true) {
  const CallerRequest decoded = DecodeCallerRequest(request, &catalog, current);
  const auto* const reply = std::get_if<HttpReply>(&decoded);
  return reply == nullptr ? 0 : reply->status;
}

FleetCatalog Catalog() {
  SilenceEvents();
  const auto catalog = DecodeCatalog(kConfig);
  REQUIRE(catalog);
  return *catalog;
}

// Guards against limits cut to the size of one upstream, and against one malformed account, or a
// key of two accounts, taking others out of service.
TEST_CASE("accounts are decoded, and malformed ones are left out") {
  const FleetCatalog catalog = Catalog();
  REQUIRE(catalog.accounts);
  REQUIRE(catalog.accounts->size() == 3);
  const ClientAccount* const first = catalog.FindAccount(AccountName("first"));
  REQUIRE(first != nullptr);
  CHECK(first->weight == 211);
  CHECK(first->limit.cpu_millicores == 5479368);
  CHECK(first->limit.memory_mb == 18100151);
  CHECK(first->limit.gpus == 0);
  CHECK(catalog.FindAccount(AccountName("second"))->weight == 1);
  CHECK(catalog.FindAccount(AccountName("third"))->limit == ResourceTotal{});
  CHECK(catalog.AccountOfKey(KeyDigest::Of("key-two")) == first);
  CHECK(catalog.AccountOfKey(KeyDigest::Of("key-three"))->name == AccountName("second"));
  CHECK(catalog.AccountOfKey(KeyDigest::Of("shared")) == nullptr);
  CHECK(catalog.AccountOfKey(KeyDigest()) == nullptr);
}

// Guards against demanding keys where the configuration has no accounts.
TEST_CASE("without accounts in the configuration no key is asked for") {
  std::string text = kConfig;
  text.replace(text.find("\"tenants\""), 9, "\"others\"");
  const auto catalog = DecodeCatalog(text);
  REQUIRE(catalog);
  CHECK_FALSE(catalog->accounts);
  for (const char* method : {"POST", "GET", "DELETE"}) {
    CHECK(StatusOf(*catalog, Request(method, kJobPath, {})) == 0);
    CHECK(StatusOf(*catalog, Request(method, kJobPath, {"Bearer nonsense"})) == 0);
  }
}

// Guards against a call without a key, or with a key that no configuration ever held.
TEST_CASE("calls need a key of an account, except for public queues") {
  const FleetCatalog catalog = Catalog();
  for (const char* method : {"POST", "GET", "DELETE"}) {
    CHECK(StatusOf(catalog, Request(method, kJobPath, {"Bearer key-one"})) == 0);
    CHECK(StatusOf(catalog, Request(method, kJobPath, {})) == 401);
    CHECK(StatusOf(catalog, Request(method, kJobPath, {"Bearer key-five"})) == 401);
    CHECK(StatusOf(catalog, Request(method, "/open/0123456789abcdef", {})) == 0);
    CHECK(StatusOf(catalog, Request(method, "/open/0123456789abcdef", {"Bearer x"})) == 0);
    CHECK(StatusOf(catalog, Request(method, "/none/0123456789abcdef", {})) == 404);
  }
  CHECK(StatusOf(catalog, Request("GET", "/a/", {"Bearer key-one"})) == 0);
  CHECK(StatusOf(catalog, Request("GET", "/a/", {})) == 401);
}

// Guards against odd headers that are accepted, or that cost more than an answer.
TEST_CASE("malformed authorization headers are answered 401") {
  const FleetCatalog catalog = Catalog();
  const std::vector<std::vector<std::string>> malformed = {{"key-one"},
                                                           {"Basic key-one"},
                                                           {"Bearer"},
                                                           {"Bearer "},
                                                           {"Bearer key-one key-two"},
                                                           {"Bearer key-one\x01"},
                                                           {"Bearer " + std::string(65536, 'k')},
                                                           {"Bearer key-one", "Bearer key-one"},
                                                           {"Bearer key-one", "Bearer key-five"},
                                                           {""}};
  for (const auto& headers : malformed) {
    CHECK(StatusOf(catalog, Request("POST", kJobPath, headers)) == 401);
  }
  CHECK(StatusOf(catalog, Request("POST", kJobPath, {"bearer   key-one  "})) == 0);
}

// Guards against a 401 for a key, or a queue that has become public, of a version that the instance
// hasn't read.
TEST_CASE("an unknown key is refused as unavailable while the configuration may be outdated") {
  const FleetCatalog catalog = Catalog();
  CHECK(StatusOf(catalog, Request("POST", kJobPath, {"Bearer key-five"}), false) == 503);
  CHECK(StatusOf(catalog, Request("POST", kJobPath, {}), false) == 503);
  CHECK(StatusOf(catalog, Request("POST", kJobPath, {"Bearer key-one"}), false) == 0);
}

// Guards against jobs of one account under the name of another.
TEST_CASE("a submission names the account of its key") {
  const FleetCatalog catalog = Catalog();
  const CallerRequest decoded =
      DecodeCallerRequest(Request("POST", kJobPath, {"Bearer key-two"}), &catalog, true);
  const auto& call = std::get<SubmitCall>(std::get<NodeCall>(decoded));
  CHECK(call.spec.account == AccountName("first"));
  CHECK(call.credential.account == AccountName("first"));
  CHECK(call.credential.config_version == 7);
  NodeFrame frame{.id = 3, .body = NodeCall(call)};
  std::string bytes = EncodeNodeFrame(frame);
  CHECK(bytes.find("key-two") == std::string::npos);
  bool malformed = false;
  const auto read = TakeNodeFrame(&bytes, &malformed);
  REQUIRE(read);
  CHECK(std::get<SubmitCall>(std::get<NodeCall>(read->body)).credential == call.credential);
}

// Guards against a withdrawn key that an outdated instance accepts, and against a holder that
// refuses a new key which it hasn't read yet.
TEST_CASE("a holder with a newer configuration refuses withdrawn keys") {
  const FleetCatalog catalog = Catalog();
  CallerCredential credential{
      .account = AccountName("first"), .key = KeyDigest::Of("withdrawn"), .config_version = 6};
  const auto verdict = [&](const char* queue) {
    return VerifyCredential(&catalog, QueueName(queue), credential);
  };
  CHECK(verdict("r") == CredentialVerdict::kWithdrawn);
  CHECK(verdict("open") == CredentialVerdict::kAccepted);
  CHECK(verdict("removed") == CredentialVerdict::kAccepted);
  credential.config_version = 8;
  CHECK(verdict("r") == CredentialVerdict::kAccepted);
  credential = {.account = AccountName("first"), .key = KeyDigest::Of("key-one")};
  CHECK(verdict("r") == CredentialVerdict::kAccepted);
  credential = {.config_version = 6};
  CHECK(verdict("r") == CredentialVerdict::kSenderOutdated);
  CHECK(VerifyCredential(nullptr, QueueName("r"), credential) == CredentialVerdict::kAccepted);
}

// Guards against a 401 for a key that a newer configuration gives to another account: the key is
// valid, and the sender will know it soon.
TEST_CASE("a holder doesn't answer 401 for a key that has moved to another account") {
  const FleetCatalog catalog = Catalog();
  const CallerCredential credential{
      .account = AccountName("first"), .key = KeyDigest::Of("key-three"), .config_version = 6};
  CHECK(VerifyCredential(&catalog, QueueName("r"), credential) ==
        CredentialVerdict::kSenderOutdated);
}

// Guards against a caller that reads or cancels another account's job.
TEST_CASE("jobs are shown to callers of their own account only") {
  const AccountName first("first");
  const AccountName second("second");
  const QueueName queue("q");
  const QueueName open("open");
  CHECK(MayAccess({.queue = queue, .account = first}, queue, first));
  CHECK(MayAccess({.queue = queue, .account = first}, QueueName("r"), first));
  CHECK_FALSE(MayAccess({.queue = queue, .account = first}, queue, second));
  CHECK(MayAccess({.queue = open, .account = {}}, open, second));
  // A queue that has become public.
  CHECK(MayAccess({.queue = queue, .account = first}, queue, AccountName()));
}

// Guards against reading and cancelling any account's jobs through a public queue, without a key.
TEST_CASE("callers of a public queue see the jobs of that queue only") {
  const JobOrigin job{.queue = QueueName("q"), .account = AccountName("first")};
  CHECK_FALSE(MayAccess(job, QueueName("open"), AccountName()));
}

/// @returns the statuses of requests that are sent one after the other to the holder of all
/// partitions.
std::vector<int> StatusesOf(std::uint16_t port, const std::vector<HttpRequest>& requests) {
  InstanceFixture fixture(port, &DecodeCatalog);
  fixture.log.holds = true;
  fixture.log.Publish(kConfig);
  std::vector<int> statuses;
  std::function<void()> send = [&] {
    if (statuses.size() == requests.size()) {
      fixture.loop.Stop();
      return;
    }
    HttpRequest request = requests[statuses.size()];
    if (request.method != "POST") request.body.clear();
    std::erase_if(request.headers, [](const HttpHeader& header) { return header.name == "Host"; });
    fixture.Send(request, [&](int status) {
      statuses.push_back(status);
      send();
    });
  };
  fixture.At(Milliseconds(1500), send);
  fixture.loop.Run();
  return statuses;
}

// Guards against answers about a job to a caller who isn't of its account, over HTTP and as stored.
TEST_CASE("a holder answers 403 to callers of another account and of a public queue") {
  const std::string open = "/open/0123456789abcdef";
  CHECK(
      StatusesOf(21980, {Request("POST", kJobPath, {"Bearer key-one"}),
                         Request("GET", kJobPath, {"Bearer key-two"}),
                         Request("GET", kJobPath, {"Bearer key-three"}),
                         Request("DELETE", kJobPath, {"Bearer key-three"}),
                         Request("POST", kJobPath, {"Bearer key-three"}), Request("GET", open, {}),
                         Request("DELETE", open, {}), Request("GET", kJobPath, {"Bearer key-one"}),
                         Request("DELETE", kJobPath, {"Bearer key-one"}),
                         Request("GET", kJobPath, {"Bearer key-three"})}) ==
      std::vector<int>{200, 200, 403, 403, 403, 403, 403, 200, 200, 403});
}

/// @returns msgpack bytes of an array without its last elements.
std::string WithoutLast(const std::string& bytes, std::size_t count) {
  const auto object = msgpack::unpack(bytes.data(), bytes.size());
  auto elements = object.get().as<std::vector<msgpack::object>>();
  elements.resize(elements.size() - count);
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, elements);
  return {buffer.data(), buffer.size()};
}

// Guards against results of an earlier build, which name no account, that can't be read.
TEST_CASE("results of earlier builds have no account") {
  const JobResult result{.queue = QueueName("q"), .account = AccountName("a")};
  const std::string bytes = EncodeJobResult(result);  // A tag of one byte, then an array.
  const KeyedRecord ended{.key = JobKey(JobId("j")),
                          .value = bytes.substr(0, 1) + WithoutLast(bytes.substr(1), 1)};
  const auto decoded = std::get<JobResult>(DecodeJobStoreRecord(ended));
  CHECK(decoded.queue == QueueName("q"));
  CHECK_FALSE(decoded.account.valid());
}

// Guards against a job that forgets its account when its holder changes, or when it has ended.
TEST_CASE("a job's account is stored with it, and with its result") {
  const JobRecord record{
      .spec = {.id = JobId("j"), .steps = {{.count = 1}}, .account = AccountName("a")}};
  const KeyedRecord stored{.key = JobKey(JobId("j")), .value = EncodeJobRecord(record)};
  CHECK(std::get<JobRecord>(DecodeJobStoreRecord(stored)).spec.account == AccountName("a"));
  const JobResult result{.queue = QueueName("q"), .account = AccountName("a")};
  const KeyedRecord ended{.key = JobKey(JobId("j")), .value = EncodeJobResult(result)};
  CHECK(std::get<JobResult>(DecodeJobStoreRecord(ended)).account == AccountName("a"));
}

// Guards against calls of an earlier build, which name no credential, that can't be read, or that
// are answered without the check of a key.
TEST_CASE("calls of earlier builds are answered only where no key is needed") {
  constexpr int kPendingKind = 3;
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, std::make_tuple(7, kPendingKind, std::make_tuple("r", "s")));
  std::string bytes = {'\0', '\0', '\0', static_cast<char>(buffer.size())};
  bytes.append(buffer.data(), buffer.size());
  bool malformed = false;
  const auto frame = TakeNodeFrame(&bytes, &malformed);
  REQUIRE(frame);
  const auto& call = std::get<PendingCall>(std::get<NodeCall>(frame->body));
  CHECK(call.queue == QueueName("r"));
  const FleetCatalog catalog = Catalog();
  CHECK(VerifyCredential(&catalog, call.queue, call.credential) ==
        CredentialVerdict::kSenderOutdated);
  CHECK(VerifyCredential(&catalog, QueueName("open"), call.credential) ==
        CredentialVerdict::kAccepted);
}

/// A configuration that lists the keys in its text, "VERSION KEY KEY ...", for one account.
std::optional<FleetCatalog> DecodeKeys(const std::string& value) {
  if (value == "unreadable") return std::nullopt;
  std::istringstream words(value);
  FleetCatalog catalog{.queues = {{.name = QueueName("q"),
                                   .host = "h.example",
                                   .prefix = "/q/",
                                   .service = ServiceName("s")}},
                       .services = {{.name = ServiceName("s")}}};
  words >> catalog.version;
  ClientAccount account{.name = AccountName("a"), .keys = {}};
  for (std::string key; words >> key;) account.keys.push_back(KeyDigest::Of(key));
  catalog.accounts = {account};
  return catalog;
}

const std::vector<HttpHeader> new_key_headers = {{"Authorization", "Bearer new-key"}};
constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;
constexpr Milliseconds kLoaded{300};
constexpr Milliseconds kShortBound{2000};
constexpr Milliseconds kOutdated{2600};  ///< Beyond that bound.

// Guards against a 401 for a key that was added before the request.
TEST_CASE("an unknown key is looked up in the newest configuration before a 401") {
  InstanceFixture fixture(21962, &DecodeKeys);
  fixture.At(kLoaded, [&] {
    fixture.log.reads = Reads::kWaitsMissChanges;
    fixture.log.Publish("2 new-key");
    fixture.Ask("q", new_key_headers);
  });
  fixture.loop.Run();
  CHECK(fixture.status != 0);
  CHECK(fixture.status != kUnauthorized);
  CHECK(fixture.node->catalog()->version == 2);
}

// Guards against waiting for an answer that is certain.
TEST_CASE("a key that no account has is answered 401 at once") {
  InstanceFixture fixture(21965, &DecodeKeys);
  fixture.At(kLoaded, [&] { fixture.Ask("q", new_key_headers); });
  fixture.loop.Run();
  CHECK(fixture.status == kUnauthorized);
  CHECK(fixture.took < Milliseconds(500));
}

// Guards against a 401 by an instance that can't know the newest keys.
TEST_CASE("an unknown key isn't answered 401 while the store doesn't answer") {
  InstanceFixture fixture(21968, &DecodeKeys);
  fixture.At(kLoaded, [&] { fixture.log.reads = Reads::kSilent; });
  fixture.At(kOutdated, [&] { fixture.Ask("q", new_key_headers); });
  fixture.loop.Run();
  CHECK(fixture.status == kUnavailable);
}

// Guards against a withdrawn key that is accepted by an instance whose reads missed its withdrawal.
TEST_CASE("keys are checked against the newest configuration when the known one may be outdated") {
  InstanceFixture fixture(21971, &DecodeKeys, [](PlatformSettings* settings) {
    settings->config_bound = Milliseconds(1);
  });
  fixture.At(kLoaded, [&] { fixture.log.Publish("2 new-key"); });
  fixture.At(2 * kLoaded, [&] {
    fixture.log.reads = Reads::kWaitsMissChanges;
    fixture.log.Publish("3 other-key");
    fixture.Ask("q", new_key_headers);
  });
  fixture.loop.Run();
  CHECK(fixture.status == kUnauthorized);
}

/// @returns the answer to a known key, 4.6 s after `change`; 0 if the call was accepted.
int AskKnownKey(std::uint16_t port, bool strict, Milliseconds bound,
                const std::function<void(ConfigLog*)>& change) {
  InstanceFixture fixture(port, &DecodeKeys, [&](PlatformSettings* settings) {
    settings->config_bound = bound;
    settings->strict_revocation = strict;
  });
  std::string reason;
  fixture.At(kLoaded, [&] { fixture.log.Publish("2 new-key"); });
  fixture.At(2 * kLoaded, [&] { change(&fixture.log); });
  std::vector<std::string> rejected;
  SetEventSink({.enabled = [](EventLevel) { return true; },
                .write =
                    [&](Event event, const std::vector<EventField>& fields) {
                      for (const EventField& field : fields) rejected.push_back(field.value);
                      if (event == Event::kCallAnswered) reason = "forwarded";
                    }});
  fixture.At(2 * kOutdated, [&] { fixture.Ask("q", new_key_headers); });
  fixture.loop.Run();
  SilenceEvents();
  for (const std::string& value : rejected) CHECK(value.find("new-key") == std::string::npos);
  CHECK(fixture.node->Dump().find("new-key") == std::string::npos);
  return reason == "forwarded" ? 0 : fixture.status;
}

// Guards against an instance that serves nobody, or that accepts withdrawn keys against its
// settings, while the store is away. Also checks that keys don't appear in logs and dumps.
TEST_CASE("the last known keys hold without the store, unless revocation is strict") {
  const auto change = [](ConfigLog* log) { log->reads = Reads::kSilent; };
  CHECK(AskKnownKey(21974, false, kShortBound, change) == 0);
  CHECK(AskKnownKey(21977, true, kShortBound, change) == kUnavailable);
}

// Guards against strict revocation that takes a configuration for the newest although a newer one,
// which may withdraw the key, can't be decoded.
TEST_CASE("strict revocation refuses keys while the newest configuration is unreadable") {
  const auto change = [](ConfigLog* log) { log->Publish("unreadable"); };
  constexpr Milliseconds kLongBound{10000};  // Reads are answered far more often.
  CHECK(AskKnownKey(21983, false, kLongBound, change) == 0);
  CHECK(AskKnownKey(21986, true, kLongBound, change) == kUnavailable);
}

// Guards against an instance that runs out of memory because callers with unknown keys send large
// requests while the store doesn't answer.
TEST_CASE("requests that wait for the newest configuration hold a bounded amount of memory") {
  constexpr int kRequests = 100;
  constexpr std::size_t kBodyBytes = 250000;
  constexpr Milliseconds kAtOnce{700};  // The others wait for kConfigCheckTimeoutMs.
  InstanceFixture fixture(21989, &DecodeKeys);
  int at_once = 0;
  int answered = 0;
  fixture.At(kLoaded, [&] {
    fixture.log.reads = Reads::kSilent;
    const Milliseconds sent_at = fixture.clock.Now();
    for (int number = 0; number < kRequests; ++number) {
      HttpRequest request{
          .method = "POST", .path = "/q/0123456789abcdef", .headers = new_key_headers};
      request.body = std::string(kBodyBytes, 'x');
      fixture.Send(request, [&, sent_at](int status) {
        CHECK(status == kUnavailable);
        if (fixture.clock.Now() - sent_at < kAtOnce) ++at_once;
        if (++answered == kRequests) fixture.loop.Stop();
      });
    }
  });
  fixture.loop.Run();
  CHECK(answered == kRequests);
  const int held = static_cast<int>(config::kMaxWaitingRequestBytes / kBodyBytes);
  CHECK(at_once >= kRequests - held);
  CHECK(at_once < kRequests);
}

}  // namespace
}  // namespace endivewood::platform::testing
