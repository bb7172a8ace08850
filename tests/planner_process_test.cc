/// @file
/// Tests moves and waves with separate processes for planners, workers, platform and entries.
#include "process_fixture.h"

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kBasePort = 23000;
constexpr int kBudget = 2;
constexpr Milliseconds kLimit{30000};

DeploymentOptions Options(int case_number) {
  return {.data_centres = 2,
          .entries_per_data_centre = 2,
          .upstreams_per_service = 2,
          .planners_per_data_centre = 2,
          .spares_per_data_centre = 1,
          .min_available = kBudget,
          .peak_gain = 2,
          .base_port = static_cast<std::uint16_t>(kBasePort + case_number * 10)};
}

/// Folds the fleet stream and counts budget breaches after each record.
class Observer {
 public:
  explicit Observer(const Deployment& deployment)
      : m_client(deployment.PlatformEndpoint(), Incarnation("observer")) {}

  const FleetView& Read() {
    Reason reason;
    while (const auto batch = m_client.Read("fleet", m_next, 500, Milliseconds(0), &reason)) {
      if (batch->records.empty()) break;
      for (const LogRecord& record : batch->records) Apply(record);
      m_next = batch->next_offset;
    }
    return *m_view;
  }

  int breaches() const { return m_breaches; }

  bool IsSettled(int quick) {
    const FleetView& view = Read();
    for (const auto& [name, instance] : view.instances) {
      if (instance.state != InstanceState::kReady) return false;
    }
    return view.ReadyCount(PoolName("quick")) == quick;
  }

  /// @returns the state of the wave and of each instance, for the message of a failed check.
  std::string Describe() {
    const FleetView& view = Read();
    std::string text = "wave state " + std::to_string(static_cast<int>(view.wave.state)) + " " +
                       view.wave.pause_cause + "\n";
    for (const auto& [name, instance] : view.instances) {
      text += name.str() + " " + InstanceStateName(instance.state) + " " + instance.pool.str() +
              " assignment " + std::to_string(instance.assignment) + "\n";
    }
    return text;
  }

  /// Appends a record as an operator.
  void Append(const FleetChange& change, std::uint64_t expected) {
    Reason reason;
    const FleetRecord record{.id = RecordId(RandomHex128()),
                             .author = Incarnation("operator"),
                             .expected_version = expected,
                             .change = change};
    REQUIRE(m_client.Append("fleet", EncodeFleetRecord(record), &reason));
  }

  void StartWave() { Append(WaveStarted{.wave = WaveName("wave")}, Read().wave_version); }

  bool IsWaveFinished() {
    const FleetView& view = Read();
    return view.wave.sequence == 1 && view.wave.state == WaveState::kFinished;
  }

 private:
  void Apply(const LogRecord& record) {
    m_fold.Apply(record.offset, record.payload);
    m_view = m_fold.View();
    for (const ServiceConfig& service : m_view->config.services) {
      if (m_view->ReadyCount(service.pool) < service.min_available) ++m_breaches;
    }
  }

  LogClient m_client;
  FleetFold m_fold;
  std::shared_ptr<const FleetView> m_view = std::make_shared<const FleetView>();
  std::uint64_t m_next = 0;
  int m_breaches = 0;
};

/// Sends short requests through every entry until it is stopped and counts the results.
class LoadGenerator {
 public:
  explicit LoadGenerator(const Deployment& deployment) {
    for (int dc = 1; dc <= 2; ++dc) {
      for (int entry = 1; entry <= 2; ++entry) {
        const Endpoint callers = deployment.Callers(dc, entry);
        m_threads.emplace_back([this, callers] { Send(callers); });
      }
    }
  }
  ~LoadGenerator() { Stop(); }

  void Stop() {
    m_stopping = true;
    for (std::thread& thread : m_threads) {
      if (thread.joinable()) thread.join();
    }
  }

  int answered() const { return m_answered; }
  int failed() const { return m_failed; }

 private:
  void Send(const Endpoint& callers) {
    for (int number = 0; !m_stopping; ++number) {
      const std::string text = "t" + std::to_string(number);
      const HttpOutcome outcome = Post(callers, "/v1/services/quick", "60 " + text);
      // 503 means that the request was not run, which is not a failure.
      if (outcome.reply && outcome.reply->status == 503) {
        std::this_thread::sleep_for(Milliseconds(20));
        continue;
      }
      const bool complete =
          outcome.reply && outcome.reply->status == 200 && outcome.reply->body == "done " + text;
      ++(complete ? m_answered : m_failed);
    }
  }

  std::atomic<bool> m_stopping{false};
  std::atomic<int> m_answered{0};
  std::atomic<int> m_failed{0};
  std::vector<std::thread> m_threads;
};

void SetFault(const Deployment& deployment, const std::string& query) {
  const HttpRequest request{.method = "POST", .path = "/faults", .query = query};
  REQUIRE(HttpCall(deployment.PlatformEndpoint(), request, Milliseconds(5000)).reply);
}

void Publish(Deployment* deployment, Observer* observer) {
  REQUIRE(deployment->RunOperatorCommand({"publish", deployment->FleetFile()}) == 0);
  REQUIRE(Eventually([&] { return observer->IsSettled(4); }));
  for (int dc = 1; dc <= 2; ++dc) {
    for (int entry = 1; entry <= 2; ++entry) {
      const auto serves = [&] {
        const HttpOutcome outcome =
            Post(deployment->Callers(dc, entry), "/v1/services/quick", "0 ");
        return outcome.reply && outcome.reply->status == 200;
      };
      REQUIRE(Eventually(serves));
    }
  }
}

// Guards against moves that interrupt requests, are not needed or breach a budget.
TEST_CASE("a preset switch moves only the required instances and fails no request") {
  Deployment deployment(Options(0));
  Observer observer(deployment);
  Publish(&deployment, &observer);
  LoadGenerator generator(deployment);
  REQUIRE(deployment.RunOperatorCommand({"switch", "peak"}) == 0);
  CHECK(Eventually([&] { return observer.IsSettled(6); }, kLimit));
  generator.Stop();
  CHECK(generator.failed() == 0);
  CHECK(generator.answered() > 0);
  CHECK(observer.breaches() == 0);
  int moved = 0;
  for (const auto& [name, instance] : observer.Read().instances) {
    if (instance.assignment > 1) ++moved;
  }
  CHECK(moved == 2);
}

// Guards against a wave that depends on one planner, maintains an instance twice after a planner's
// pause, or interrupts requests.
TEST_CASE("a wave finishes although planners are killed and paused during it") {
  Deployment deployment(Options(1));
  Observer observer(deployment);
  Publish(&deployment, &observer);
  LoadGenerator generator(deployment);
  observer.StartWave();
  deployment.FindProcess(Deployment::PlannerName(1, 1)).Signal(SIGKILL);
  deployment.FindProcess(Deployment::PlannerName(2, 1)).Signal(SIGSTOP);
  CHECK(Eventually([&] { return observer.IsWaveFinished(); }, kLimit));
  deployment.FindProcess(Deployment::PlannerName(2, 1)).Signal(SIGCONT);
  deployment.StartPlanner(1, 1);
  CHECK(Eventually([&] { return observer.IsSettled(4); }, kLimit));
  generator.Stop();
  CHECK(generator.failed() == 0);
  CHECK(observer.breaches() == 0);
  for (const auto& [name, instance] : observer.Read().instances) CHECK(instance.assignment == 2);
}

// Guards against a wave that stops with the platform, and orders and records that take effect
// twice because their replies were lost.
TEST_CASE("a wave finishes despite a platform outage and lost replies") {
  Deployment deployment(Options(2));
  Observer observer(deployment);
  Publish(&deployment, &observer);
  observer.StartWave();
  SetFault(deployment, "lose_appends=4&lose_orders=4&list_lag_ms=30000");
  const auto started = [&] {
    for (const auto& [name, instance] : observer.Read().instances) {
      if (instance.state != InstanceState::kReady) return true;
    }
    return false;
  };
  REQUIRE(Eventually(started, kLimit));
  SetFault(deployment, "outage=1");
  std::this_thread::sleep_for(Milliseconds(4000));
  SetFault(deployment, "outage=0");
  const bool finished =
      Eventually([&] { return observer.IsWaveFinished() && observer.IsSettled(4); }, kLimit);
  INFO(observer.Describe() << Get(deployment.PlannerControl(1, 1), "/dump").reply->body
                           << Get(deployment.PlannerControl(1, 2), "/dump").reply->body
                           << Get(deployment.PlannerControl(2, 1), "/dump").reply->body
                           << Get(deployment.PlannerControl(2, 2), "/dump").reply->body);
  CHECK(finished);
  CHECK(observer.breaches() == 0);
  for (const auto& [name, instance] : observer.Read().instances) CHECK(instance.assignment == 2);
}

}  // namespace
}  // namespace endivewood::testing
