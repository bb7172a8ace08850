/// @file
/// Tests the fold of the stream `work`, and runs and takeovers of long work with separate
/// processes.
#include "long_work.h"

#include "config.h"
#include "entry_fixture.h"

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kBasePort = 24200;
constexpr std::int64_t kStart = 1'800'000'000'000;
const WorkHandle work_handle("handle");

std::string RecordOf(const std::string& author, const WorkEvent& event) {
  return EncodeWorkRecord({.author = Incarnation(author), .event = event});
}

WorkAccepted Accepted() {
  return {.handle = work_handle,
          .service = ServiceName("master"),
          .caller = Digest("caller"),
          .digest = Digest("digest"),
          .key = IdempotencyKey("key"),
          .body = "5 x"};
}

AttemptStarted Attempt(const std::string& task, const std::string& upstream = "up") {
  return {.handle = work_handle, .task = TaskId(task), .upstream = InstanceName(upstream)};
}

// Guards against two entries that run one item, and an author that acts after its fence.
TEST_CASE("an item has one owner at a time") {
  WorkFold fold;
  CHECK(fold.Apply(kStart, RecordOf("a", Accepted())));
  CHECK_FALSE(fold.Apply(kStart, RecordOf("b", Accepted())));
  CHECK_FALSE(fold.Apply(kStart, RecordOf("b", WorkTakenOver{.handle = work_handle})));
  CHECK_FALSE(fold.Apply(kStart, RecordOf("b", Attempt("t0"))));
  CHECK(fold.Apply(kStart, RecordOf("b", IncarnationFenced{.incarnation = Incarnation("a")})));
  CHECK_FALSE(fold.Apply(kStart, RecordOf("a", Attempt("t1"))));
  CHECK(fold.Apply(kStart, RecordOf("b", WorkTakenOver{.handle = work_handle})));
  CHECK_FALSE(fold.Apply(kStart, RecordOf("c", WorkTakenOver{.handle = work_handle})));
  CHECK(fold.Apply(kStart, RecordOf("b", Attempt("t2"))));
  CHECK_FALSE(fold.Apply(kStart, RecordOf("b", Attempt("t3"))));
  CHECK(fold.Apply(kStart, RecordOf("a", WorkFinished{.handle = work_handle, .body = "first"})));
  CHECK_FALSE(
      fold.Apply(kStart, RecordOf("b", WorkFinished{.handle = work_handle, .body = "late"})));
  CHECK(fold.FindKey(IdempotencyKey("key"))->result == "first");
  CHECK(fold.OpenCount() == 0);
}

// Guards against work that is lost to a reader that starts after its first records expired, and
// results that are kept forever.
TEST_CASE("a renewed item restores the whole state") {
  WorkFold old;
  old.Apply(kStart, RecordOf("a", Accepted()));
  old.Apply(kStart, RecordOf("a", Attempt("t1", "one")));
  old.Apply(kStart, RecordOf("a", AttemptEnded{.handle = work_handle,
                                               .task = TaskId("t1"),
                                               .end = AttemptEnd::kFailed}));
  old.Apply(kStart, RecordOf("a", Attempt("t2", "two")));
  old.Apply(kStart, RecordOf("a", AttemptEnded{.handle = work_handle,
                                               .task = TaskId("t2"),
                                               .end = AttemptEnd::kCheckpointed,
                                               .progress_ms = 7}));
  WorkFold fresh;
  const WorkItem item = *old.Find(work_handle);
  CHECK(item.failed_on == std::vector{InstanceName("one")});
  CHECK(item.progress_ms == 7);
  CHECK(fresh.Apply(kStart, RecordOf("a", ItemRenewed{.item = item})));
  CHECK(*fresh.Find(work_handle) == item);
  CHECK(fresh.OpenCount() == 1);
  fresh.Apply(kStart, RecordOf("a", WorkFinished{.handle = work_handle}));
  fresh.Apply(kStart + config::kLongResultRetentionMs + 1, RecordOf("a", std::monostate{}));
  CHECK(fresh.items().empty());
}

/// Deployment with a client for long work.
class LongDeployment : public ServingDeployment {
 public:
  using ServingDeployment::ServingDeployment;

  std::string Accept(int entry, const std::string& service, const std::string& body,
                     const std::string& key = NewKey()) const {
    const HttpOutcome outcome = Post(Callers(1, entry), "/v1/services/" + service, body,
                                     {{"Caller-Token", "caller"}, {"Idempotency-Key", key}});
    REQUIRE(CodeOf(outcome) == CodeNumber(ResultCode::kAccepted));
    return outcome.reply->Header("Location");
  }

  HttpOutcome Result(int entry, const std::string& location,
                     const std::string& method = "GET") const {
    return HttpCall(Callers(1, entry),
                    {.method = method, .path = location, .headers = {{"Caller-Token", "caller"}}},
                    Milliseconds(5000));
  }

  bool IsFinished(int entry, const std::string& location) const {
    const int code = CodeOf(Result(entry, location));
    return code >= 0 && code != CodeNumber(ResultCode::kPending) &&
           code != CodeNumber(ResultCode::kUnknownResult);
  }

  int Runs(int upstream) const {
    const HttpOutcome outcome = Get(Upstream(1, "long", upstream), "/effects");
    return std::atoi(outcome.reply->Header("Runs").c_str());
  }

  /// Waits until the upstreams have started at least this number of runs in all.
  bool WaitForRuns(int runs) const {
    return Eventually([&] {
      int sum = 0;
      for (int index = 1; index <= options().upstreams_per_service; ++index) sum += Runs(index);
      return sum >= runs;
    });
  }

  void Kill(int entry) { FindProcess(EntryName(1, entry)).Signal(SIGKILL); }
};

// Guards against long work that is lost or run twice when every entry is killed.
TEST_CASE("long work completes after every entry was killed") {
  LongDeployment deployment({.data_centres = 1, .base_port = kBasePort});
  const std::string key = NewKey();
  const std::string charge = deployment.Accept(1, "master", "4000 charge", key);
  const std::string render = deployment.Accept(2, "render", "9000 render");
  REQUIRE(deployment.WaitForRuns(2));
  deployment.Kill(1);
  deployment.Kill(2);
  deployment.RestartEntry(1, 2);
  REQUIRE(Eventually([&] { return deployment.IsFinished(2, charge); }, Milliseconds(30000)));
  REQUIRE(Eventually([&] { return deployment.IsFinished(2, render); }, Milliseconds(30000)));
  CHECK(deployment.Result(2, charge).reply->body == "done charge");
  CHECK(deployment.Result(2, render).reply->body == "done render");
  CHECK(deployment.Runs(1) == 2);
  CHECK(deployment.Accept(2, "master", "4000 charge", key) == charge);
}

// Guards against non-idempotent work that is run again after its upstream was killed, and
// idempotent work that is not.
TEST_CASE("work whose task is lost runs again only when it is idempotent") {
  LongDeployment deployment(
      {.data_centres = 1, .upstreams_per_service = 2, .base_port = kBasePort + 10});
  const std::string charge = deployment.Accept(1, "master", "20000 charge");
  REQUIRE(deployment.WaitForRuns(1));
  const int first = deployment.Runs(1) == 1 ? 1 : 2;
  const std::string render = deployment.Accept(1, "render", "500 render");
  REQUIRE(Eventually([&] { return deployment.IsFinished(2, render); }));
  deployment.FindProcess("long-1-" + std::to_string(first)).Signal(SIGKILL);
  REQUIRE(Eventually([&] { return deployment.IsFinished(1, charge); }, Milliseconds(20000)));
  CHECK(CodeOf(deployment.Result(1, charge)) == CodeNumber(ResultCode::kUnknownEffect));
  const std::string other = deployment.Accept(2, "render", "10 again");
  REQUIRE(Eventually([&] { return deployment.IsFinished(1, other); }, Milliseconds(20000)));
  CHECK(deployment.Result(2, other).reply->body == "done again");
}

// Guards against a job that fails on every instance and is retried forever.
TEST_CASE("a job that fails on several instances ends as not runnable") {
  LongDeployment deployment(
      {.data_centres = 1, .upstreams_per_service = 4, .base_port = kBasePort + 20});
  for (int index = 1; index <= 4; ++index) {
    SetFaults(deployment.Upstream(1, "long", index), "fail=1");
  }
  const std::string render = deployment.Accept(1, "render", "10 x");
  REQUIRE(Eventually([&] { return deployment.IsFinished(2, render); }, Milliseconds(30000)));
  CHECK(CodeOf(deployment.Result(2, render)) == CodeNumber(ResultCode::kNotRunnable));
}

// Guards against cancelled work that keeps running, and cancelled work that is reported as not run.
TEST_CASE("cancelled work stops on its upstream") {
  LongDeployment deployment({.data_centres = 1, .base_port = kBasePort + 30});
  const std::string charge = deployment.Accept(1, "master", "25000 charge");
  REQUIRE(deployment.WaitForRuns(1));
  CHECK(CodeOf(deployment.Result(2, charge, "DELETE")) == CodeNumber(ResultCode::kPending));
  REQUIRE(Eventually([&] { return deployment.IsFinished(2, charge); }));
  CHECK(CodeOf(deployment.Result(1, charge)) == CodeNumber(ResultCode::kUnknownEffect));
}

// Guards against a silent connection that delays long work until the run timeout of 30 s, and
// non-idempotent work that is sent again because its connection went silent.
TEST_CASE("long work on a silent connection doesn't wait for its run timeout") {
  LongDeployment deployment(
      {.data_centres = 1, .upstreams_per_service = 2, .base_port = kBasePort + 50});
  for (const char* service : {"render", "master"}) {
    SetFaults(deployment.Upstream(1, "long", 1), "silent=1");
    const bool both_silent = std::string(service) == "master";
    SetFaults(deployment.Upstream(1, "long", 2), both_silent ? "silent=1" : "silent=0");
    const std::string location = deployment.Accept(1, service, "10 x");
    REQUIRE(Eventually([&] { return deployment.IsFinished(2, location); }, Milliseconds(20000)));
    const ResultCode code = both_silent ? ResultCode::kUnknownEffect : ResultCode::kOk;
    CHECK(CodeOf(deployment.Result(2, location)) == CodeNumber(code));
    CHECK(deployment.Runs(1) + deployment.Runs(2) == 1);
    SetFaults(deployment.Upstream(1, "long", 1), "silent=0");
    SetFaults(deployment.Upstream(1, "long", 2), "silent=0");
  }
}

// Guards against long work that a graceful stop of its entry interrupts, or that no other entry
// takes over until the entry is fenced as silent.
TEST_CASE("a stopping entry hands over its long work") {
  LongDeployment deployment({.data_centres = 1, .base_port = kBasePort + 40});
  const std::string charge = deployment.Accept(1, "master", "3000 charge");
  REQUIRE(deployment.WaitForRuns(1));
  Process& stopped = deployment.FindProcess(Deployment::EntryName(1, 1));
  stopped.Signal(SIGTERM);
  CHECK(stopped.Wait() == 0);
  REQUIRE(Eventually([&] { return deployment.IsFinished(2, charge); }));
  CHECK(deployment.Result(2, charge).reply->body == "done charge");
  CHECK(deployment.Runs(1) == 1);
}

}  // namespace
}  // namespace endivewood::testing
