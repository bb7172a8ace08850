/// @file
/// HTTP client on the event loop.
#include "async_http.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

#include "config.h"

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kPort = 21921;

/// @returns a socket that listens on kPort.
int ListenOnPort() {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kPort);
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  REQUIRE(listen(listener, 1) == 0);
  return listener;
}

/// Accepts one connection and reads until it is closed, without answering.
class SilentServer {
 public:
  SilentServer() : m_listener(ListenOnPort()) {
    m_thread = std::thread([this] { Serve(); });
  }
  ~SilentServer() {
    Join();
    close(m_listener);
  }

  void Join() {
    if (m_thread.joinable()) m_thread.join();
  }

  std::string received;
  int last_error = 0;  ///< Socket error of the connection; 0 after an orderly close.

 private:
  void Serve() {
    const int connection = accept(m_listener, nullptr, nullptr);
    char bytes[4096];
    ssize_t count = 0;
    while ((count = recv(connection, bytes, sizeof(bytes), 0)) > 0) {
      received.append(bytes, static_cast<std::size_t>(count));
    }
    // libevent shuts the connection down before it closes it, so the reset follows the end of
    // stream.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    socklen_t size = sizeof(last_error);
    getsockopt(connection, SOL_SOCKET, SO_ERROR, &last_error, &size);
    close(connection);
  }

  int m_listener;
  std::thread m_thread;
};

// Guards against an order that arrives seconds after it timed out, when a network partition heals:
// after an orderly close the operating system still delivers the bytes, a reset drops them.
TEST_CASE("a call that is given up resets its connection") {
  SilentServer server;
  EventLoop loop;
  AsyncHttpClient client(&loop, {.max_connections = 1});
  std::optional<HttpOutcome> outcome;
  client.Call({.address = "127.0.0.1", .port = kPort},
              {.method = "POST", .path = "/order", .query = "", .headers = {}, .body = "{}"},
              Milliseconds(200), [&](const HttpOutcome& result) {
                outcome = result;
                loop.After(Milliseconds(10), [&] { loop.Stop(); });
              });
  loop.After(Milliseconds(5000), [&] { loop.Stop(); });
  loop.Run();
  server.Join();
  REQUIRE(outcome);
  CHECK_FALSE(outcome->reply);
  CHECK(outcome->failure == CallFailure::kTimeout);
  CHECK(server.received.find("POST /order") == 0);
  CHECK(server.last_error != 0);
}

/// Accepts one connection and answers it piece by piece; then keeps it open until it is closed.
class SlowServer {
 public:
  SlowServer(std::size_t announced, std::size_t pieces, std::size_t piece_size,
             std::chrono::milliseconds gap)
      : m_announced(announced), m_pieces(pieces), m_piece_size(piece_size), m_gap(gap) {
    m_thread = std::thread([this] { Serve(); });
  }
  ~SlowServer() {
    m_thread.join();
    close(m_listener);
  }

 private:
  void Serve() {
    const int connection = accept(m_listener, nullptr, nullptr);
    char bytes[4096];
    recv(connection, bytes, sizeof(bytes), 0);
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(m_announced) + "\r\n\r\n";
    send(connection, head.data(), head.size(), MSG_NOSIGNAL);
    const std::string piece(m_piece_size, 'x');
    for (std::size_t i = 0; i < m_pieces; ++i) {
      std::this_thread::sleep_for(m_gap);
      if (send(connection, piece.data(), piece.size(), MSG_NOSIGNAL) < 0) break;
    }
    while (recv(connection, bytes, sizeof(bytes), 0) > 0) {
    }
    close(connection);
  }

  std::size_t m_announced;
  std::size_t m_pieces;
  std::size_t m_piece_size;
  std::chrono::milliseconds m_gap;
  int m_listener = ListenOnPort();
  std::thread m_thread;
};

struct TimedOutcome {
  std::optional<HttpOutcome> outcome;
  Milliseconds took{0};
};

TimedOutcome GetWithTimeout(Milliseconds timeout) {
  Clock clock;
  EventLoop loop;
  AsyncHttpClient client(&loop, {.max_connections = 1});
  TimedOutcome result;
  client.Call({.address = "127.0.0.1", .port = kPort},
              {.method = "GET", .path = "/large", .query = "", .headers = {}, .body = ""}, timeout,
              [&](const HttpOutcome& outcome) {
                result.outcome = outcome;
                result.took = clock.Now();
                loop.After(Milliseconds(10), [&] { loop.Stop(); });
              });
  loop.After(Milliseconds(10000), [&] { loop.Stop(); });
  loop.Run();
  return result;
}

// Guards against a large configuration that an instance never reads, because each read is cut
// before the transfer is complete and begins anew.
TEST_CASE("an answer that takes longer than the timeout is read while bytes arrive") {
  const SlowServer server(60000, 6, 10000, std::chrono::milliseconds(100));
  const TimedOutcome result = GetWithTimeout(Milliseconds(250));
  REQUIRE(result.outcome);
  REQUIRE(result.outcome->reply);
  CHECK(result.outcome->reply->body.size() == 60000);
}

// Guards against a connection that goes silent in the middle of an answer and is waited for.
TEST_CASE("an answer that stops in the middle fails one timeout after its last bytes") {
  const SlowServer server(60000, 3, 10000, std::chrono::milliseconds(100));
  const TimedOutcome result = GetWithTimeout(Milliseconds(250));
  REQUIRE(result.outcome);
  CHECK_FALSE(result.outcome->reply);
  CHECK(result.outcome->failure == CallFailure::kTimeout);
  CHECK(result.took >= Milliseconds(500));
  CHECK(result.took < Milliseconds(1000));
}

// Guards against a peer that sends a few bytes now and then and occupies a connection for good.
TEST_CASE("an answer is given up after config::kMaxTransferTimeouts timeouts") {
  const SlowServer server(60000, 100, 10, std::chrono::milliseconds(40));
  const TimedOutcome result = GetWithTimeout(Milliseconds(100));
  REQUIRE(result.outcome);
  CHECK_FALSE(result.outcome->reply);
  CHECK(result.took > Milliseconds(100 * (config::kMaxTransferTimeouts - 1)));
  CHECK(result.took < Milliseconds(100 * (config::kMaxTransferTimeouts + 4)));
}

// Guards against an order that waits for a connection while the process is paused, and is sent
// afterwards, when its sender may have lost the right to give it.
TEST_CASE("a call that waited for a connection isn't sent after its timeout") {
  EventLoop loop;
  Clock clock;
  std::vector<std::string> served;
  AsyncHttpListener listener(&loop, {.endpoint = {.address = "127.0.0.1", .port = 21922}},
                             [&](const HttpRequest& request, const auto& respond) {
                               served.push_back(request.path);
                               // The process is paused before the first answer arrives.
                               clock.Advance(Milliseconds(5000));
                               respond({.status = 200, .headers = {}, .body = "{}"});
                             });
  AsyncHttpClient client(&loop, {.max_connections = 1, .clock = &clock});
  const Endpoint peer{.address = "127.0.0.1", .port = 21922};
  std::optional<HttpOutcome> second;
  client.Call(peer, {.method = "GET", .path = "/first"}, Milliseconds(600),
              [](const HttpOutcome&) {});
  client.Call(peer, {.method = "GET", .path = "/second"}, Milliseconds(600),
              [&](HttpOutcome outcome) {
                second = std::move(outcome);
                loop.Stop();
              });
  loop.After(Milliseconds(2000), [&] { loop.Stop(); });
  loop.Run();
  CHECK(served == std::vector<std::string>{"/first"});
  REQUIRE(second);
  CHECK_FALSE(second->reply);
  CHECK(second->failure == CallFailure::kNotSent);
}

// Guards against a request whose handler fails ending the process, or being answered as not run.
TEST_CASE("a request whose handler throws is answered as of unknown outcome") {
  EventLoop loop;
  AsyncHttpListener listener(
      &loop, {.endpoint = {.address = "127.0.0.1", .port = 21922}},
      [](const HttpRequest&, const auto&) { throw std::runtime_error("unexpected"); });
  AsyncHttpClient client(&loop, {.max_connections = 1});
  std::optional<HttpOutcome> outcome;
  client.Call({.address = "127.0.0.1", .port = 21922}, {.method = "GET", .path = "/"},
              Milliseconds(600), [&](HttpOutcome answered) {
                outcome = std::move(answered);
                loop.Stop();
              });
  loop.After(Milliseconds(2000), [&] { loop.Stop(); });
  loop.Run();
  REQUIRE(outcome);
  REQUIRE(outcome->reply);
  CHECK(outcome->reply->status == 504);
}

}  // namespace
}  // namespace endivewood::testing
