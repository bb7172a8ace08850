/// @file
/// Tests of the operators' command line with a running deployment.
#include "dump.h"
#include "json.h"
#include "process_fixture.h"

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kBasePort = 26000;
constexpr int kRejected = 3;
constexpr int kUnreachable = 4;
constexpr int kNotActive = 6;

/// A deployment, its --deployment file, and the standard output of the last command.
class OperatorFixture {
 public:
  explicit OperatorFixture(const DeploymentOptions& options) : m_deployment(options) {
    m_base = m_deployment.FleetFile() + ".";
    std::ofstream file(DeploymentFile());
    file << "processes:\n";
    for (int dc = 1; dc <= options.data_centres; ++dc) {
      for (int entry = 1; entry <= options.entries_per_data_centre; ++entry) {
        file << "  - {name: " << Deployment::EntryName(dc, entry) << ", data_centre: dc" << dc
             << ", control: '" << m_deployment.Control(dc, entry).str() << "'}\n";
      }
    }
  }

  std::string DeploymentFile() const { return m_base + "deployment.yaml"; }
  Deployment& deployment() { return m_deployment; }

  /// Runs a command with JSON output, which `Output` returns afterwards.
  int Run(std::vector<std::string> words) {
    words.insert(words.begin(), {"--output", "json", "--deployment", DeploymentFile()});
    std::ofstream(m_base + "out").close();
    std::fflush(stdout);
    const int saved = dup(STDOUT_FILENO);
    REQUIRE(std::freopen((m_base + "out").c_str(), "w", stdout) != nullptr);
    const int status = m_deployment.RunOperatorCommand(words);
    std::fflush(stdout);
    dup2(saved, STDOUT_FILENO);
    close(saved);
    return status;
  }

  std::string Text() const { return ReadFile(m_base + "out").value_or(""); }
  JsonValue Output() const { return DecodeJson(Text()).value_or(JsonValue()); }

 private:
  Deployment m_deployment;
  std::string m_base;
};

void SetFault(OperatorFixture* fixture, const std::string& query) {
  const HttpOutcome outcome = HttpCall(fixture->deployment().PlatformEndpoint(),
                                       {.path = "/faults", .query = query}, Milliseconds(5000));
  REQUIRE(outcome.reply);
}

// Guards against a --wait that ends before the change is active in every data centre, or never ends
// because one process is down, and against a process that doesn't reply and isn't reported.
TEST_CASE("waiting for a change covers every data centre and reports processes that do not reply") {
  OperatorFixture fixture({.data_centres = 2, .base_port = kBasePort});
  REQUIRE(fixture.Run({"validate", fixture.deployment().FleetFile()}) == 0);
  REQUIRE(fixture.Run({"--wait", "publish", fixture.deployment().FleetFile()}) == 0);
  CHECK(fixture.Output()["in_force"].Bool());
  for (int dc = 1; dc <= 2; ++dc) {
    const auto dump =
        DecodeDumpSummary(Get(fixture.deployment().Control(dc, 1), "/dump").reply->body);
    REQUIRE(dump);
    CHECK(dump->config_version == 1);
  }
  fixture.deployment().FindProcess("entry-1-2").Signal(SIGKILL);
  REQUIRE(fixture.Run({"--wait", "switch", "peak"}) == 0);
  CHECK(fixture.Text().find("\"silent\":[\"entry-1-2\"]") != std::string::npos);
  CHECK(fixture.Run({"status"}) == kUnreachable);
  CHECK(fixture.Text().find("\"preset\":\"peak\"") != std::string::npos);

  fixture.deployment().FindProcess("entry-2-1").Signal(SIGKILL);
  fixture.deployment().FindProcess("entry-2-2").Signal(SIGKILL);
  CHECK(fixture.Run({"--wait", "--timeout-ms", "500", "switch", "ordinary"}) == kNotActive);
  CHECK_FALSE(fixture.Output()["in_force"].Bool());
}

// Guards against a version conflict that doesn't report the conflicting change, and against a
// change that is applied twice or reported as failed because the response was lost.
TEST_CASE("version conflicts and lost responses are resolved by reading the stream") {
  OperatorFixture fixture({.data_centres = 1, .base_port = kBasePort + 10});
  REQUIRE(fixture.Run({"publish", fixture.deployment().FleetFile()}) == 0);
  REQUIRE(fixture.Run({"--expect-version", "0", "switch", "peak"}) == 0);
  CHECK(fixture.Run({"--expect-version", "0", "switch", "ordinary"}) == kRejected);
  CHECK(fixture.Output()["name"].Text() == "version-conflict");
  const std::string detail = fixture.Output()["detail"].Text();
  CAPTURE(detail);
  CHECK(detail.find("expected version 0, lost to version 1 (preset-switched peak at offset 1)") !=
        std::string::npos);

  SetFault(&fixture, "lose_appends=1");
  CHECK(fixture.Run({"switch", "ordinary"}) == 0);
  CHECK(fixture.Output()["resolved_by_reading"].Bool());
  REQUIRE(fixture.Run({"events"}) == 0);
  const std::string events = fixture.Text();
  CHECK(std::count(events.begin(), events.end(), '\n') == 4);
  CHECK(events.find("\"name\":\"version-conflict\"") != std::string::npos);

  SetFault(&fixture, "outage=1");
  CHECK(fixture.Run({"switch", "peak"}) == kUnreachable);
}

// Guards against a wave that an operator can't pause, and against an unreadable dump or metrics
// page.
TEST_CASE("operators can control waves and read dumps and metrics") {
  OperatorFixture fixture({.data_centres = 1, .base_port = kBasePort + 20});
  REQUIRE(fixture.Run({"publish", fixture.deployment().FleetFile()}) == 0);
  CHECK(fixture.Run({"--wait", "wave", "start", "w1"}) == 0);
  CHECK(fixture.Run({"wave", "start", "w2"}) == kRejected);
  CHECK(fixture.Run({"wave", "resume", "w1"}) == kRejected);
  CHECK(fixture.Run({"wave", "pause", "w1", "storm"}) == 0);
  CHECK(fixture.Run({"--wait", "wave", "resume", "w1"}) == 0);
  REQUIRE(fixture.Run({"dump", "entry-1-1"}) == 0);
  CHECK(fixture.Output()["wave"]["state"].Text() == "running");
  CHECK(fixture.Run({"dump", "no-such-process"}) == 2);
  CHECK(fixture.Run({"wave", "stop", "w1"}) == 2);
  const HttpOutcome metrics = Get(fixture.deployment().Control(1, 1), "/metrics");
  REQUIRE(metrics.reply);
  CHECK(metrics.reply->body.find("endivewood_request_seconds_count") != std::string::npos);
}

}  // namespace
}  // namespace endivewood::testing
