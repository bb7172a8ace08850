/// @file
/// Tests of the request path through running processes, with injected faults.
#include <future>

#include "entry_fixture.h"

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kBasePort = 24000;

std::uint16_t Port(int number) { return static_cast<std::uint16_t>(kBasePort + number * 10); }

// Guards against invalid requests that run.
TEST_CASE("each kind of invalid request gets its own code and runs nothing") {
  ServingDeployment deployment({.data_centres = 1, .base_port = Port(0)});
  const Endpoint entry = deployment.Callers(1, 1);
  struct Row {
    std::string path;
    std::vector<HttpHeader> headers;
    std::size_t body_bytes;
    ResultCode code;
  };
  const HttpHeader token{"Caller-Token", "t"};
  const HttpHeader key{"Idempotency-Key", NewKey()};
  const std::string charge = "/v1/services/charge";
  const std::string old_key = "1000000000-" + RandomHex128();
  const std::vector<Row> rows = {
      {"/v1/other", {}, 3, ResultCode::kMalformedRequest},
      {"/v1/services/none", {}, 3, ResultCode::kUnknownService},
      {"/v1/services/quick", {}, (1 << 20) + 1, ResultCode::kBodyTooLarge},
      {"/v1/services/quick", {{"Deadline-Ms", "soon"}}, 3, ResultCode::kInvalidHeader},
      {"/v1/services/quick", {{"Deadline-Ms", "0"}}, 3, ResultCode::kInvalidHeader},
      {"/v1/services/quick",
       {{"Caller-Token", std::string(257, 'a')}},
       3,
       ResultCode::kInvalidHeader},
      {"/v1/services/render", {}, 3, ResultCode::kMissingCallerToken},
      {charge, {key}, 3, ResultCode::kMissingCallerToken},
      {charge, {token}, 3, ResultCode::kMissingKey},
      {charge, {token, {"Idempotency-Key", "12345"}}, 3, ResultCode::kInvalidHeader},
      {charge, {token, {"Idempotency-Key", old_key}}, 3, ResultCode::kKeyExpired},
      {"/v1/results/none", {token}, 3, ResultCode::kMalformedRequest},
  };
  for (const Row& row : rows) {
    const HttpOutcome outcome =
        Post(entry, row.path, std::string(row.body_bytes, '0'), row.headers);
    INFO(row.path << " expects " << ResultCodeName(row.code));
    REQUIRE(outcome.reply);
    CHECK(CodeOf(outcome) == CodeNumber(row.code));
    CHECK(outcome.reply->status == HttpStatusOf(row.code));
  }
  CHECK(deployment.Effects().empty());
}

// Guards against a key that runs twice, answers another caller, or gets different answers from
// different entries.
TEST_CASE("a key runs once whichever entries receive it") {
  ServingDeployment deployment(
      {.data_centres = 1, .entries_per_data_centre = 3, .base_port = Port(1)});
  const std::string key = NewKey();
  std::vector<std::future<HttpOutcome>> same;
  same.reserve(12);
  for (int number = 0; number < 12; ++number) {
    same.push_back(std::async(std::launch::async, [&, number] {
      return Charge(deployment.Callers(1, 1 + number % 3), key, "100 sum");
    }));
  }
  for (auto& answer : same) {
    const HttpOutcome outcome = answer.get();
    CHECK(CodeOf(outcome) == 0);
    CHECK(outcome.reply->body == "done sum");
  }
  const int reused = CodeNumber(ResultCode::kKeyReused);
  CHECK(CodeOf(Charge(deployment.Callers(1, 2), key, "100 other")) == reused);
  CHECK(CodeOf(Charge(deployment.Callers(1, 3), key, "100 sum", "another caller")) == reused);
  CHECK(deployment.Effects() == std::map<std::string, int>{{key, 1}});
}

// Guards against a second run, or a caller that waits forever, when an entry that owns keys is
// killed.
TEST_CASE("keys of a killed entry are never run again") {
  ServingDeployment deployment({.data_centres = 1, .base_port = Port(2)});
  std::vector<std::string> keys(6);
  for (std::string& key : keys) key = NewKey();
  std::vector<std::future<HttpOutcome>> unanswered;
  unanswered.reserve(keys.size());
  for (const std::string& key : keys) {
    unanswered.push_back(std::async(std::launch::async, [&deployment, key] {
      return Charge(deployment.Callers(1, 1), key, "1500 sum");
    }));
  }
  REQUIRE(Eventually([&] { return deployment.Effects().size() == keys.size(); }));
  deployment.FindProcess(Deployment::EntryName(1, 1)).Signal(SIGKILL);
  for (auto& answer : unanswered) CHECK_FALSE(answer.get().reply);
  for (const std::string& key : keys) {
    const HttpOutcome retried = Charge(deployment.Callers(1, 2), key, "1500 sum");
    CHECK(CodeOf(retried) == CodeNumber(ResultCode::kUnknownEffect));
  }
  for (const auto& [key, count] : deployment.Effects()) CHECK(count == 1);
}

// Shows that the count of effects detects a second run: without a claim, the same retry after the
// same kill runs the work twice.
TEST_CASE("forwarding without a claim runs the work of a killed entry twice") {
  ServingDeployment deployment({.data_centres = 1, .base_port = Port(3)});
  const std::string key = NewKey();
  const auto unclaimed = [&](int entry) {
    return Post(deployment.Callers(1, entry), "/v1/services/quick", "1500 sum",
                {{"Idempotency-Key", key}});
  };
  auto unanswered = std::async(std::launch::async, [&] { return unclaimed(1); });
  REQUIRE(Eventually([&] { return deployment.Effects().size() == 1; }));
  deployment.FindProcess(Deployment::EntryName(1, 1)).Signal(SIGKILL);
  CHECK_FALSE(unanswered.get().reply);
  CHECK(CodeOf(unclaimed(2)) == 0);
  CHECK(deployment.Effects().at(key) == 2);
}

// Guards against an entry that is paused, is fenced meanwhile, and then runs a key a second time.
TEST_CASE("a paused and fenced entry runs its claims at most once") {
  ServingDeployment deployment({.data_centres = 1, .base_port = Port(4)});
  SetFaults(deployment.PlatformEndpoint(), "slow_ms=300");
  std::vector<std::string> keys(4);
  for (std::string& key : keys) key = NewKey();
  std::vector<std::future<HttpOutcome>> first;
  first.reserve(keys.size());
  const Process& paused = deployment.FindProcess(Deployment::EntryName(1, 1));
  for (const std::string& key : keys) {
    first.push_back(std::async(std::launch::async, [&deployment, key] {
      return Charge(deployment.Callers(1, 1), key, "50 sum");
    }));
    // The pauses fall before, between and after the append, the read and the call.
    std::this_thread::sleep_for(Milliseconds(150));
  }
  paused.Signal(SIGSTOP);
  SetFaults(deployment.PlatformEndpoint(), "slow_ms=0");
  std::map<std::string, int> answers;
  for (const std::string& key : keys) {
    answers[key] = CodeOf(Charge(deployment.Callers(1, 2), key, "50 sum"));
  }
  paused.Signal(SIGCONT);
  for (auto& answer : first) answer.get();
  const auto effects = deployment.Effects();
  for (const auto& [key, count] : effects) CHECK(count == 1);
  for (const auto& [key, code] : answers) {
    CHECK((code == 0 || code == CodeNumber(ResultCode::kUnknownEffect)));
    if (code == 0) CHECK(effects.contains(key));
    // The entry that was fenced gives the same answer for a key that it does not own.
    const int again = CodeOf(Charge(deployment.Callers(1, 1), key, "50 sum"));
    CHECK((again == 0 || again == CodeNumber(ResultCode::kUnknownEffect)));
  }
}

// Guards against idempotent work that fails when the platform is down, and against a run without a
// claim or a later run of a request that was answered "not started".
TEST_CASE("during a platform outage only idempotent work runs") {
  ServingDeployment deployment({.data_centres = 1, .base_port = Port(5)});
  SetFaults(deployment.PlatformEndpoint(), "outage=1");
  const std::string key = NewKey();
  CHECK(CodeOf(Charge(deployment.Callers(1, 1), key, "0 sum")) ==
        CodeNumber(ResultCode::kNotStartedPlatform));
  CHECK(CodeOf(deployment.Quick(1)) == 0);
  CHECK(deployment.Effects().empty());
  SetFaults(deployment.PlatformEndpoint(), "outage=0");
  REQUIRE(Eventually([&] { return CodeOf(Charge(deployment.Callers(1, 2), key, "0 sum")) == 0; }));
  CHECK(deployment.Effects() == std::map<std::string, int>{{key, 1}});
}

// Guards against a wrong result when the answer to an append is lost: the request runs once, or
// after the entry abandoned the claim it doesn't run and the same key can be used again.
TEST_CASE("a lost append answer neither loses nor doubles a request") {
  ServingDeployment deployment({.data_centres = 1, .base_port = Port(6)});
  SetFaults(deployment.PlatformEndpoint(), "lose_appends=2");
  const std::string key = NewKey();
  CHECK(CodeOf(Charge(deployment.Callers(1, 1), key, "0 sum")) == 0);
  CHECK(deployment.Effects().at(key) == 1);

  // Every answer comes after the claim's timeout, so the entry abandons the claim.
  SetFaults(deployment.PlatformEndpoint(), "slow_ms=4000");
  const std::string given_up = NewKey();
  CHECK(CodeOf(Charge(deployment.Callers(1, 1), given_up, "0 sum")) ==
        CodeNumber(ResultCode::kNotStartedPlatform));
  SetFaults(deployment.PlatformEndpoint(), "slow_ms=0");
  REQUIRE(
      Eventually([&] { return CodeOf(Charge(deployment.Callers(1, 2), given_up, "0 sum")) == 0; }));
  CHECK(deployment.Effects().at(given_up) == 1);
}

// Guards against answers that belong to another request, are truncated or lost, and against
// "not run" for work that ran.
TEST_CASE("wrong answers of upstreams reach no caller") {
  ServingDeployment deployment(
      {.data_centres = 1, .upstreams_per_service = 2, .base_port = Port(7)});
  for (const char* fault : {"wrong_ids=1", "short_answers=1", "lost_answers=1"}) {
    INFO(fault);
    SetFaults(deployment.Upstream(1, "quick", 1), fault);
    SetFaults(deployment.Upstream(1, "quick", 2), fault);
    const std::string key = NewKey();
    CHECK(CodeOf(Charge(deployment.Callers(1, 1), key, "0 sum")) ==
          CodeNumber(ResultCode::kUnknownEffect));
    CHECK(CodeOf(Charge(deployment.Callers(1, 2), key, "0 sum")) ==
          CodeNumber(ResultCode::kUnknownEffect));
    CHECK(deployment.Effects().at(key) == 1);
    // An upstream may still have its fault; it applies to one answer.
    for (int number = 0; number < 4; ++number) {
      const std::string text = "text" + std::to_string(number);
      const HttpOutcome quick = deployment.Quick(1, "0 " + text);
      REQUIRE(quick.reply);
      const bool own = quick.reply->body == "done " + text;
      CHECK((own || CodeOf(quick) >= CodeNumber(ResultCode::kUnknownEffect)));
    }
  }
}

// Guards against "not run" for work that ran, and against refusals before the retries are used up.
TEST_CASE("a request that gets no slot is answered as not run and has no effect") {
  ServingDeployment deployment({.data_centres = 1, .base_port = Port(8)});
  std::vector<std::future<HttpOutcome>> load;
  std::vector<std::string> keys(24);
  load.reserve(keys.size());
  for (std::string& key : keys) {
    key = NewKey();
    load.push_back(std::async(std::launch::async, [&deployment, key] {
      return Charge(deployment.Callers(1, 1), key, "1500 sum");
    }));
  }
  int not_run = 0;
  std::map<std::string, int> codes;
  for (std::size_t i = 0; i < keys.size(); ++i) codes[keys[i]] = CodeOf(load[i].get());
  const auto effects = deployment.Effects();
  for (const auto& [key, code] : codes) {
    if (IsNotRun(code)) ++not_run;
    CHECK((code == 0 || IsNotRun(code)));
    CHECK(effects.contains(key) == (code == 0));
    CHECK(CodeOf(Charge(deployment.Callers(1, 2), key, "1500 sum")) == code);
  }
  CHECK(not_run > 0);
  CHECK(deployment.Effects() == effects);
}

// Guards against planned stops that drop requests, and an exit code that hides dropped requests.
TEST_CASE("a stopping entry answers the requests in progress") {
  ServingDeployment deployment({.data_centres = 1, .base_port = Port(9)});
  const auto start = [&](int entry, const std::string& body) {
    return std::async(std::launch::async, [&deployment, entry, body] {
      return Charge(deployment.Callers(1, entry), NewKey(), body);
    });
  };
  auto finishing = start(1, "1000 sum");
  REQUIRE(Eventually([&] { return deployment.Effects().size() == 1; }));
  Process& stopped = deployment.FindProcess(Deployment::EntryName(1, 1));
  stopped.Signal(SIGTERM);
  CHECK(CodeOf(finishing.get()) == 0);
  CHECK(stopped.Wait() == 0);

  auto unanswered = start(2, "5000 sum");
  REQUIRE(Eventually([&] { return deployment.Effects().size() == 2; }));
  Process& killed = deployment.FindProcess(Deployment::EntryName(1, 2));
  killed.Signal(SIGTERM);
  // A signal that is still pending would merge with the second one.
  const int stopping = CodeNumber(ResultCode::kNotRunStopping);
  REQUIRE(Eventually([&] { return CodeOf(Get(deployment.Control(1, 2), "/health")) == stopping; }));
  killed.Signal(SIGTERM);
  CHECK_FALSE(unanswered.get().reply);
  CHECK(killed.Wait() == 3);
}

}  // namespace
}  // namespace endivewood::testing
