/// @file
/// Orders that reach another incarnation of an upstream than the one for which they are meant.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "adapter.h"
#include "async_http.h"

namespace endivewood::testing {
namespace {

const Endpoint upstream_endpoint{.address = "127.0.0.1", .port = 21941};
constexpr std::int64_t kFormerStart = 1796584500000;
constexpr std::int64_t kPresentStart = 1796584505000;
constexpr std::uint64_t kToken = 700;
constexpr Milliseconds kTimeout{600};
/// After the last order of a test, so that an order that shouldn't be sent could arrive.
constexpr Milliseconds kSettleTime{100};

/// Upstream that carries out every order, and states its start time where the platform's page says.
class StandInUpstream {
 public:
  StandInUpstream(EventLoop* loop, std::int64_t start_time) : m_loop(loop) { Begin(start_time); }

  /// Ends the present incarnation with its connections, and begins another one at its address.
  void Begin(std::int64_t start_time) {
    m_listener.reset();
    m_start_time = start_time;
    m_listener = std::make_unique<AsyncHttpListener>(
        m_loop, AsyncHttpListenerOptions{.endpoint = upstream_endpoint},
        [this](const HttpRequest& request, const AsyncHttpListener::Responder& respond) {
          respond(Answer(request));
        });
  }

  int starts = 0;
  int renewals = 0;
  int extensions = 0;        ///< Renewals that set a lease end.
  int acknowledgements = 0;  ///< Renewals that acknowledge ended runs.
  int status_of_renewals = 200;
  bool closes_after_renewals = false;

 private:
  HttpReply Answer(const HttpRequest& request) {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    nlohmann::json answer = {{"clock_ms", 1000}};
    if (request.path == "/v1/run-start") ++starts;
    if (request.path == "/v1/hold") {
      ++renewals;
      if (body.contains("until_ms")) ++extensions;
      if (body.value("ack_cursor", 0) > 0) ++acknowledgements;
      answer["born"] = m_start_time;
      answer["running"] = nlohmann::json::array();
      answer["ended"] = nlohmann::json::array();
      HttpReply reply{.status = status_of_renewals, .headers = {}, .body = answer.dump()};
      if (closes_after_renewals) reply.headers.push_back({"Connection", "close"});
      return reply;
    }
    return {.status = 200, .headers = {}, .body = answer.dump()};
  }

  EventLoop* m_loop;
  std::int64_t m_start_time = 0;
  std::unique_ptr<AsyncHttpListener> m_listener;
};

class SentOrders {
 public:
  explicit SentOrders(std::int64_t present_start = kPresentStart)
      : m_upstream(&m_loop, present_start),
        m_adapter(&m_loop, &m_clock, platform::PlatformSettings{}),
        m_callbacks(m_adapter.Callbacks()) {}

  StandInUpstream& upstream() { return m_upstream; }

  OrderOutcome Start(std::int64_t meant_for) {
    StartOrder order{.upstream = UpstreamId("u"),
                     .task = {.job = JobId("00000000000000aa")},
                     .run = 1,
                     .payload = "text",
                     .lease_until = 5000};
    order.target = TargetOf(meant_for);
    return Send(order);
  }

  OrderOutcome Stop(std::int64_t meant_for) {
    StopOrder order{
        .upstream = UpstreamId("u"), .task = {.job = JobId("00000000000000aa")}, .run = 1};
    order.target = TargetOf(meant_for);
    return Send(order);
  }

  RenewReply Renew(RenewOrder order, std::int64_t meant_for) {
    order.upstream = UpstreamId("u");
    order.target = TargetOf(meant_for);
    std::optional<RenewReply> reply;
    m_callbacks.send_renew(upstream_endpoint, kToken, order, kTimeout, [&](RenewReply result) {
      reply = std::move(result);
      m_loop.After(kSettleTime, [this] { m_loop.Stop(); });
    });
    m_loop.Run();
    return reply.value_or(RenewReply{});
  }

 private:
  static OrderTarget TargetOf(std::int64_t start_time) {
    return {.incarnation = 0, .fencing_token = kToken, .start_time = start_time};
  }

  OrderOutcome Send(const UpstreamOrder& order) {
    std::optional<OrderReply> reply;
    m_callbacks.send_order(upstream_endpoint, kToken, order, kTimeout,
                           [&](const OrderReply& result) {
                             reply = result;
                             m_loop.After(kSettleTime, [this] { m_loop.Stop(); });
                           });
    m_loop.Run();
    return reply ? reply->outcome : OrderOutcome::kNoAnswer;
  }

  EventLoop m_loop;
  Clock m_clock;
  StandInUpstream m_upstream;
  platform::Adapter m_adapter;
  PlatformCallbacks m_callbacks;
};

// Guards against a run, and a lease by the former clock, of which the holder doesn't know.
TEST_CASE("a start isn't sent to another incarnation than the one it is meant for") {
  SentOrders test;
  CHECK(test.Start(kFormerStart) == OrderOutcome::kOtherIncarnation);
  CHECK(test.upstream().starts == 0);
  CHECK(test.Start(kPresentStart) == OrderOutcome::kDone);
  CHECK(test.upstream().starts == 1);
}

// Guards against a start over a connection whose incarnation is known to be a later one.
TEST_CASE("a start isn't sent over a connection to a later incarnation") {
  SentOrders test;
  REQUIRE(test.Renew({}, kPresentStart).start_time == kPresentStart);
  CHECK(test.Start(kFormerStart) == OrderOutcome::kOtherIncarnation);
  CHECK(test.upstream().starts == 0);
}

// Guards against a lease by the former clock.
TEST_CASE("a lease extension isn't sent to another incarnation than the one it is meant for") {
  SentOrders test;
  CHECK(test.Renew({.lease_until = 9000}, kFormerStart).outcome == OrderOutcome::kOtherIncarnation);
  CHECK(test.upstream().extensions == 0);
}

// Guards against ended runs that the next incarnation forgets before it has listed them.
TEST_CASE("an acknowledgement isn't sent to another incarnation than the one it is meant for") {
  SentOrders test;
  CHECK(test.Renew({.acknowledge_up_to = 57}, kFormerStart).outcome ==
        OrderOutcome::kOtherIncarnation);
  CHECK(test.upstream().acknowledgements == 0);
}

// Guards against orders over connections that were made to the former incarnation.
TEST_CASE("orders for the former incarnation are no longer sent after a restart") {
  SentOrders test(kFormerStart);
  REQUIRE(test.Start(kFormerStart) == OrderOutcome::kDone);
  test.upstream().Begin(kPresentStart);
  CHECK(test.Start(kFormerStart) != OrderOutcome::kDone);
  CHECK(test.Start(kFormerStart) != OrderOutcome::kDone);
  CHECK(test.upstream().starts == 1);
  CHECK(test.Start(kPresentStart) == OrderOutcome::kDone);
}

// Guards against a call that is charged for at each order.
TEST_CASE("an incarnation is queried once a connection") {
  SentOrders test;
  REQUIRE(test.Start(kPresentStart) == OrderOutcome::kDone);
  REQUIRE(test.Start(kPresentStart) == OrderOutcome::kDone);
  CHECK(test.upstream().renewals == 1);
  CHECK(test.upstream().starts == 2);
}

// Guards against a query after a run list, or for an order that does no harm anywhere.
TEST_CASE("an incarnation isn't queried without need") {
  SentOrders test;
  CHECK(test.Stop(kPresentStart) == OrderOutcome::kDone);
  CHECK(test.upstream().renewals == 0);
  CHECK(test.Renew({}, kPresentStart).outcome == OrderOutcome::kDone);
  CHECK(test.Start(kPresentStart) == OrderOutcome::kDone);
  CHECK(test.upstream().renewals == 1);
}

// Guards against an order that is given up without the reason that the upstream has stated.
TEST_CASE("an order fails with the refusal of its query") {
  SentOrders test;
  test.upstream().status_of_renewals = 421;
  CHECK(test.Start(kPresentStart) == OrderOutcome::kWrongIncarnation);
  CHECK(test.upstream().starts == 0);
}

// Guards against a start over a connection that is made after the answer to the query.
TEST_CASE("a start isn't sent if its connection is closed after the query") {
  SentOrders test;
  test.upstream().closes_after_renewals = true;
  CHECK(test.Start(kPresentStart) == OrderOutcome::kOtherIncarnation);
  CHECK(test.upstream().starts == 0);
}

}  // namespace
}  // namespace endivewood::testing
