/// @file
/// HTTP client on the event loop.
#include "async_http.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kPort = 21921;

/// Accepts one connection and reads until it is closed, without answering.
class SilentServer {
 public:
  SilentServer() : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kPort);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(listen(m_listener, 1) == 0);
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

}  // namespace
}  // namespace endivewood::testing
