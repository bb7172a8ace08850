/// @file
/// Orders to an upstream whose answers take more than half of an order's timeout.
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <optional>

#include "adapter.h"
#include "async_http.h"

namespace endivewood::testing {
namespace {

const Endpoint upstream_endpoint{.address = "127.0.0.1", .port = 21937};
constexpr std::int64_t kStart = 1796584505000;
constexpr Milliseconds kTimeout{600};
constexpr Milliseconds kAnswerTime{350};

// Guards against starts that are executed but never confirmed, as the query and the start share one
// timeout and the connection is discarded when it ends.
TEST_CASE("a start is confirmed by an upstream whose answers take 350 ms") {
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  Clock clock;
  int starts = 0;
  AsyncHttpListener listener(
      &loop, AsyncHttpListenerOptions{.endpoint = upstream_endpoint},
      [&](const HttpRequest& request, const AsyncHttpListener::Responder& respond) {
        nlohmann::json answer = {{"clock_ms", 1000}, {"born", kStart}};
        answer["running"] = nlohmann::json::array();
        answer["ended"] = nlohmann::json::array();
        if (request.path == "/v1/run-start") ++starts;
        loop.After(kAnswerTime, [respond, body = answer.dump()] {
          respond({.status = 200, .headers = {}, .body = body});
        });
      });
  platform::Adapter adapter(&loop, &clock, platform::PlatformSettings{});
  const PlatformCallbacks callbacks = adapter.Callbacks();
  int confirmed = 0;
  for (std::uint64_t run = 1; run <= 5; ++run) {
    StartOrder order{.upstream = UpstreamId("u"),
                     .task = {.job = JobId("00000000000000aa")},
                     .run = run,
                     .payload = "text",
                     .lease_until = 5000};
    order.target = {.incarnation = 0, .fencing_token = 700, .start_time = kStart};
    callbacks.send_order(upstream_endpoint, 700, order, kTimeout, [&](const OrderReply& reply) {
      if (reply.outcome == OrderOutcome::kDone) ++confirmed;
      loop.After(Milliseconds(500), [&] { loop.Stop(); });
    });
    loop.Run();
  }
  CAPTURE(starts);
  CHECK(confirmed >= 4);
}

}  // namespace
}  // namespace endivewood::testing
