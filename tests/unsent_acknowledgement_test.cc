/// @file
/// Acknowledgements that are reported as not sent.
#include <catch2/catch.hpp>
#include <functional>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

const UpstreamId upstream("u0");
constexpr std::int64_t kFormerStart = 100;
constexpr std::int64_t kPresentStart = 5000;
constexpr HolderRights kAllRights{
    .extend = true, .start = true, .move = true, .confirmed_at = Milliseconds(1000000)};

/// A scheduler with one upstream, whose orders the test answers.
class AnsweredScheduler {
 public:
  AnsweredScheduler() : scheduler({.partition = 1, .epoch = 1}) {
    SilenceEvents();
    scheduler.FinishRestore(now, Milliseconds{0}, now);
    List(kFormerStart);
  }

  void List(std::int64_t start_time) {
    scheduler.SetUpstreams({{.id = upstream,
                             .service = test_service,
                             .endpoint = {.address = "127.0.0.1", .port = 1},
                             .data_centre = DataCentreName("dc"),
                             .capacity = {.cpu_millicores = 8000, .memory_mb = 16000, .gpus = 0},
                             .labels = {"a", "r1"},
                             .rack = RackName("r1"),
                             .draining = false,
                             .remaining = Milliseconds{0},
                             .start_time = start_time}},
                           now);
  }

  /// Runs the scheduler until `done`, for at most 5 s.
  bool RunUntil(const std::function<bool()>& done) {
    for (int step = 0; step < 500 && !done(); ++step) {
      now += Milliseconds(10);
      scheduler.Run(now, Milliseconds{0}, kAllRights);
      for (const UpstreamOrder& order : scheduler.TakeOrders()) Answer(order);
      if (const auto batch = scheduler.TakeBatch()) scheduler.OnDurable(batch->change);
    }
    return done();
  }

  Milliseconds now{1000};
  JobScheduler scheduler;
  std::function<RenewReply(const RenewOrder&)> renew;
  std::optional<StartOrder> started;

 private:
  void Answer(const UpstreamOrder& order) {
    if (const auto* start = std::get_if<StartOrder>(&order)) {
      started = *start;
      scheduler.OnStarted(*start, {.outcome = OrderOutcome::kDone, .clock = now.count()}, now);
    } else if (const auto* each = std::get_if<RenewOrder>(&order)) {
      scheduler.OnRenewed(*each, renew(*each), now);
    }
  }
};

// Guards against a job that fails for an end that its upstream was never told to have been read.
TEST_CASE(
    "a failure whose acknowledgement wasn't sent before its upstream restarted doesn't count") {
  AnsweredScheduler test;
  const JobId job("00000000000000aa");
  std::vector<EndedRow> ended;
  bool restarted = false;
  test.renew = [&](const RenewOrder& order) -> RenewReply {
    const bool checked = order.lease_until || order.acknowledge_up_to > 0;
    // The check of the incarnation stops the acknowledgement: the upstream has just restarted.
    if (order.acknowledge_up_to > 0) restarted = true;
    if (restarted && checked && order.target.start_time != kPresentStart) {
      return {.outcome = OrderOutcome::kNotSent};
    }
    return {.outcome = OrderOutcome::kDone,
            .clock = test.now.count(),
            .start_time = restarted ? kPresentStart : kFormerStart,
            .running = {},
            .ended = restarted ? std::vector<EndedRow>{} : ended};
  };
  REQUIRE(test.RunUntil([&] { return test.scheduler.sessions().at(upstream).fenced; }));
  test.now = Milliseconds(kPresentStart - 200);
  JobSpec spec{.id = job,
               .queue = QueueName("q"),
               .service = test_service,
               .payload = "text",
               .steps = {Step(1, 1000)}};
  QueuePolicy policy = test_policy;
  policy.attempts = 1;
  test.scheduler.Submit(spec, policy, test.now);
  REQUIRE(test.RunUntil([&] { return test.started.has_value(); }));
  ended = {
      {.number = 1, .task = test.started->task, .run = test.started->run, .end = RunEnd::kFailed}};
  REQUIRE(test.RunUntil([&] { return restarted; }));
  test.started.reset();
  const auto& session = test.scheduler.sessions().at(upstream);
  REQUIRE(test.RunUntil([&] { return session.start_time == kPresentStart; }));
  test.List(kPresentStart);
  CHECK(test.RunUntil([&] { return test.started.has_value(); }));
  CHECK(test.scheduler.StateOf(job) != JobState::kFailed);
}

}  // namespace
}  // namespace endivewood::testing
