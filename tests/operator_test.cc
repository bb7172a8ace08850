/// @file
/// The operators' command line against a running deployment.
#include "dump.h"
#include "json.h"
#include "process_fixture.h"

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kBasePort = 26000;
constexpr int kRejected = 3;
constexpr int kUnreachable = 4;
constexpr int kNotInForce = 6;

/// A deployment with its --deployment file, and what a command wrote to standard output.
class Operated {
 public:
  explicit Operated(const DeploymentOptions& options) : m_deployment(options) {
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
    const int status = m_deployment.Operate(words);
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

void SetFault(Operated* operated, const std::string& query) {
  // A POST through HttpCall reaches the stand-in without its query, so this is a GET.
  const HttpOutcome outcome = HttpCall(operated->deployment().PlatformEndpoint(),
                                       {.path = "/faults", .query = query}, Milliseconds(5000));
  REQUIRE(outcome.reply);
}

// Guards against a --wait that ends before every data centre has the change, or never ends because
// one process is down, and against a process that is missing without being named.
TEST_CASE("a change is waited for in every data centre and silent processes are named") {
  Operated operated({.data_centres = 2, .base_port = kBasePort});
  REQUIRE(operated.Run({"validate", operated.deployment().FleetFile()}) == 0);
  REQUIRE(operated.Run({"--wait", "publish", operated.deployment().FleetFile()}) == 0);
  CHECK(operated.Output()["in_force"].Bool());
  for (int dc = 1; dc <= 2; ++dc) {
    const auto dump =
        DecodeDumpSummary(Get(operated.deployment().Control(dc, 1), "/dump").reply->body);
    REQUIRE(dump);
    CHECK(dump->config_version == 1);
  }
  operated.deployment().ProcessOf("entry-1-2").Signal(SIGKILL);
  REQUIRE(operated.Run({"--wait", "switch", "peak"}) == 0);
  CHECK(operated.Text().find("\"silent\":[\"entry-1-2\"]") != std::string::npos);
  CHECK(operated.Run({"status"}) == kUnreachable);
  CHECK(operated.Text().find("\"preset\":\"peak\"") != std::string::npos);

  operated.deployment().ProcessOf("entry-2-1").Signal(SIGKILL);
  operated.deployment().ProcessOf("entry-2-2").Signal(SIGKILL);
  CHECK(operated.Run({"--wait", "--timeout-ms", "500", "switch", "ordinary"}) == kNotInForce);
  CHECK_FALSE(operated.Output()["in_force"].Bool());
}

// Guards against a racing operator who isn't told what won, and a change that a lost response
// applies twice or reports as failed.
TEST_CASE("races and lost responses are resolved by reading") {
  Operated operated({.data_centres = 1, .base_port = kBasePort + 10});
  REQUIRE(operated.Run({"publish", operated.deployment().FleetFile()}) == 0);
  REQUIRE(operated.Run({"--expect-version", "0", "switch", "peak"}) == 0);
  CHECK(operated.Run({"--expect-version", "0", "switch", "ordinary"}) == kRejected);
  CHECK(operated.Output()["name"].Text() == "version-conflict");
  const std::string detail = operated.Output()["detail"].Text();
  CAPTURE(detail);
  CHECK(detail.find("expected version 0, lost to version 1 (preset-switched peak at offset 1)") !=
        std::string::npos);

  SetFault(&operated, "lose_appends=1");
  CHECK(operated.Run({"switch", "ordinary"}) == 0);
  CHECK(operated.Output()["resolved_by_reading"].Bool());
  REQUIRE(operated.Run({"events"}) == 0);
  const std::string events = operated.Text();
  CHECK(std::count(events.begin(), events.end(), '\n') == 4);
  CHECK(events.find("\"name\":\"version-conflict\"") != std::string::npos);

  SetFault(&operated, "outage=1");
  CHECK(operated.Run({"switch", "peak"}) == kUnreachable);
}

// Guards against a wave that an operator can't stop, and a dump or metrics that can't be read.
TEST_CASE("waves, dumps and metrics are reached from the command line") {
  Operated operated({.data_centres = 1, .base_port = kBasePort + 20});
  REQUIRE(operated.Run({"publish", operated.deployment().FleetFile()}) == 0);
  CHECK(operated.Run({"--wait", "wave", "start", "w1"}) == 0);
  CHECK(operated.Run({"wave", "start", "w2"}) == kRejected);
  CHECK(operated.Run({"wave", "resume", "w1"}) == kRejected);
  CHECK(operated.Run({"wave", "pause", "w1", "storm"}) == 0);
  CHECK(operated.Run({"--wait", "wave", "resume", "w1"}) == 0);
  REQUIRE(operated.Run({"dump", "entry-1-1"}) == 0);
  CHECK(operated.Output()["wave"]["state"].Text() == "running");
  CHECK(operated.Run({"dump", "no-such-process"}) == 2);
  CHECK(operated.Run({"wave", "stop", "w1"}) == 2);
  const HttpOutcome metrics = Get(operated.deployment().Control(1, 1), "/metrics");
  REQUIRE(metrics.reply);
  CHECK(metrics.reply->body.find("endivewood_request_seconds_count") != std::string::npos);
}

}  // namespace
}  // namespace endivewood::testing
