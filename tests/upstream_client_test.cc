/// @file
/// Tests of upstream calls over connections that fail.
#include "upstream_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kPort = 24400;

/// A server that closes each connection instead of answering: on the first request, or on the
/// second when it answers the first. Uses plain sockets because cxxtools' socket header doesn't
/// compile as C++20.
class ClosingServer {
 public:
  ClosingServer(std::uint16_t port, int connections, bool answers_first)
      : m_listener(socket(AF_INET, SOCK_STREAM, 0)), m_answers_first(answers_first) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(listen(m_listener, connections) == 0);
    for (int number = 0; number < connections; ++number) {
      m_threads.emplace_back([this] { ServeConnection(); });
    }
  }
  ~ClosingServer() {
    shutdown(m_listener, SHUT_RDWR);
    for (std::thread& thread : m_threads) thread.join();
    close(m_listener);
  }

  int requests() const { return m_requests; }

 private:
  void ServeConnection() {
    const int connection = accept(m_listener, nullptr, nullptr);
    if (connection < 0) return;
    if (ReadRequest(connection) && m_answers_first) {
      const std::string answer =
          "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\nConnection: Keep-Alive\r\n\r\n"
          "ok";
      send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
      ReadRequest(connection);
    }
    close(connection);
  }

  bool ReadRequest(int connection) {
    std::string text;
    while (text.find("\r\n\r\nbody") == std::string::npos) {
      char byte = 0;
      if (recv(connection, &byte, 1, 0) <= 0) return false;
      text += byte;
    }
    ++m_requests;
    return true;
  }

  int m_listener;
  bool m_answers_first;
  std::atomic<int> m_requests{0};
  std::vector<std::thread> m_threads;
};

const HttpRequest work_request{
    .method = "POST", .path = "/work", .query = "", .headers = {}, .body = "body"};
constexpr Milliseconds kTimeout{5000};

// Guards against the resending of cxxtools on an idle connection that the server closed: a request
// that must run at most once doesn't use an idle connection, even when there is one.
TEST_CASE("a request that must run at most once is sent once") {
  const Clock clock;
  ClosingServer server(kPort, 2, true);
  UpstreamClient client(&clock);
  const Endpoint peer{.address = "127.0.0.1", .port = kPort};
  REQUIRE(client.CallRepeatable(peer, work_request, kTimeout).reply);
  REQUIRE(client.CallOnce(peer, work_request, kTimeout).reply);
  CHECK(server.requests() == 2);
}

// Guards against "not run" for a request that was sent before its connection was closed.
TEST_CASE("a closed connection leaves the effect unknown") {
  const Clock clock;
  ClosingServer server(kPort + 1, 1, false);
  UpstreamClient client(&clock);
  const Endpoint peer{.address = "127.0.0.1", .port = kPort + 1};
  const HttpOutcome outcome = client.CallOnce(peer, work_request, kTimeout);
  CHECK(ClassifyOutcome(outcome, "r").effect == UpstreamEffect::kMayHaveRun);
  CHECK(server.requests() == 1);
}

// Guards against accepting an answer that is incomplete or belongs to another request, and against
// "not run" without a refusal by the upstream.
TEST_CASE("an answer is classified only by what it proves") {
  const auto effect = [](int status, std::vector<HttpHeader> headers) {
    const HttpReply reply{.status = status, .headers = std::move(headers), .body = "ok"};
    return ClassifyOutcome({.reply = reply}, "r").effect;
  };
  const HttpHeader own{"Request-Id", "r"};
  const HttpHeader length{"Content-Length", "2"};
  CHECK(effect(200, {own, length}) == UpstreamEffect::kDone);
  CHECK(effect(200, {own}) == UpstreamEffect::kMayHaveRun);
  CHECK(effect(200, {own, {"Content-Length", "3"}}) == UpstreamEffect::kMayHaveRun);
  CHECK(effect(200, {{"Request-Id", "s"}, length}) == UpstreamEffect::kMayHaveRun);
  CHECK(effect(500, {own, length}) == UpstreamEffect::kMayHaveRun);
  CHECK(effect(503, {length}) == UpstreamEffect::kMayHaveRun);
  CHECK(effect(503, {{"Not-Run", "busy"}}) == UpstreamEffect::kNotRun);
  CHECK(effect(503, {{"Not-Run", "draining"}}) == UpstreamEffect::kNotRun);
  CHECK(effect(409, {}) == UpstreamEffect::kNotRun);
  CHECK(ClassifyOutcome({.failure = CallFailure::kNotSent}, "r").effect == UpstreamEffect::kNotRun);
  CHECK(ClassifyOutcome({.failure = CallFailure::kTimeout}, "r").slot == SlotOutcome::kTimeout);
}

}  // namespace
}  // namespace endivewood::testing
