/// @file
/// Requests that outlive their call: held up by the network, by a full peer, or by a process that
/// is paused or killed.
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "async_http.h"

namespace endivewood::testing {
namespace {

constexpr Milliseconds kTimeout{600};
constexpr Milliseconds kPause{2000};
/// A peer that doesn't read leaves most of this in the sender's kernel.
constexpr std::size_t kHeldUpBytes = 200000;

HttpRequest Order(std::size_t size) {
  return {.method = "POST",
          .path = "/order",
          .query = "",
          .headers = {},
          .body = std::string(size, 'x')};
}

sockaddr_in AddressOf(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  return address;
}

/// A peer that accepts and reads only when it is told to.
class Peer {
 public:
  Peer() : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const int small = 4096;
    setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    // Any free port.
    const sockaddr_in address = AddressOf(0);
    REQUIRE(bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(listen(m_listener, 0) == 0);
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size) == 0);
    m_port = ntohs(bound.sin_port);
  }
  ~Peer() {
    if (m_connection >= 0) close(m_connection);
    if (m_filler >= 0) close(m_filler);
    close(m_listener);
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  Endpoint endpoint() const { return {.address = "127.0.0.1", .port = m_port}; }

  /// Fills the queue of new connections, so that the next one isn't established.
  void RefuseConnections() {
    m_filler = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = AddressOf(m_port);
    REQUIRE(connect(m_filler, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  }

  /// Makes room in the queue. A connection attempt is repeated within a second.
  void AllowConnections() { close(accept(m_listener, nullptr, nullptr)); }

  bool Accept(Milliseconds limit) {
    if (!Readable(m_listener, limit)) return false;
    m_connection = accept(m_listener, nullptr, nullptr);
    return m_connection >= 0;
  }

  /// @returns the bytes that arrive until the connection ends, or for a second.
  std::string ReadAll() {
    std::string received;
    char bytes[65536];
    while (m_connection >= 0 && Readable(m_connection, Milliseconds(1000))) {
      const ssize_t count = recv(m_connection, bytes, sizeof(bytes), 0);
      if (count <= 0) break;
      received.append(bytes, static_cast<std::size_t>(count));
    }
    return received;
  }

  /// Discards what has arrived.
  void DropReceived() {
    char bytes[4096];
    while (recv(m_connection, bytes, sizeof(bytes), MSG_DONTWAIT) > 0) {
    }
  }

  /// Answers one request that has a small body.
  void AnswerOne() {
    char bytes[4096];
    recv(m_connection, bytes, sizeof(bytes), 0);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    send(m_connection, answer.data(), answer.size(), MSG_NOSIGNAL);
  }

 private:
  static bool Readable(int socket, Milliseconds limit) {
    pollfd state{socket, POLLIN, 0};
    return poll(&state, 1, static_cast<int>(limit.count())) == 1;
  }

  int m_listener;
  std::uint16_t m_port = 0;
  int m_filler = -1;
  int m_connection = -1;
};

/// Stands for a process that is stopped: its timers are due when it continues.
void PauseLoop() { std::this_thread::sleep_for(kPause); }

struct Sender {
  Sender(const Peer& receiver, const Clock* clock)
      : peer(receiver.endpoint()), client(&loop, {.max_connections = 1, .clock = clock}) {}

  void Call(std::size_t size, Milliseconds timeout) {
    client.Call(peer, Order(size), timeout, [this](HttpOutcome result) {
      outcome = std::move(result);
      loop.After(Milliseconds(10), [this] { loop.Stop(); });
    });
  }

  void RunLoop() {
    loop.After(Milliseconds(8000), [this] { loop.Stop(); });
    loop.Run();
  }

  const Endpoint peer;
  EventLoop loop;
  AsyncHttpClient client;
  std::optional<HttpOutcome> outcome;
};

// Guards against an order that is sent when a suspended machine wakes up, because its connection
// was still being established: timers don't count the time of a suspension.
TEST_CASE("a call whose connection is established after its timeout isn't sent") {
  Peer peer;
  peer.RefuseConnections();
  Clock clock;
  Sender sender(peer, &clock);
  sender.Call(10, Milliseconds(3000));
  sender.loop.After(Milliseconds(100), [&] { clock.Advance(Milliseconds(5000)); });
  bool connected = false;
  std::string received;
  std::thread reader([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    peer.AllowConnections();
    connected = peer.Accept(Milliseconds(4000));
    received = peer.ReadAll();
  });
  sender.RunLoop();
  reader.join();
  REQUIRE(sender.outcome);
  CHECK_FALSE(sender.outcome->reply);
  CHECK(sender.outcome->failure == CallFailure::kNotSent);
  CHECK(connected);
  CHECK(received == "");
}

// Guards against the same after a stopped process continues.
TEST_CASE("a call whose connection was established during a pause isn't sent after its timeout") {
  Peer peer;
  peer.RefuseConnections();
  Clock clock;
  Sender sender(peer, &clock);
  sender.Call(10, kTimeout);
  sender.loop.After(Milliseconds(50), [] { PauseLoop(); });
  std::string received;
  std::thread reader([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    peer.AllowConnections();
    if (peer.Accept(Milliseconds(4000))) received = peer.ReadAll();
  });
  sender.RunLoop();
  reader.join();
  REQUIRE(sender.outcome);
  CHECK_FALSE(sender.outcome->reply);
  CHECK(received == "");
}

// Guards against an order that waits in the process for an established connection to be writable.
TEST_CASE("a call on an open connection isn't sent after a pause that begins with it") {
  Peer peer;
  Clock clock;
  Sender sender(peer, &clock);
  std::atomic<bool> paused = false;
  std::string received_late;
  std::thread reader([&] {
    if (!peer.Accept(Milliseconds(1000))) return;
    peer.AnswerOne();
    while (!paused) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::this_thread::sleep_for(kTimeout / 2);
    peer.DropReceived();
    std::this_thread::sleep_for(kPause - kTimeout / 2);
    received_late = peer.ReadAll();
  });
  sender.client.Call(peer.endpoint(), Order(10), kTimeout, [&](const HttpOutcome&) {
    sender.loop.After(Milliseconds(10), [&] {
      sender.Call(10, kTimeout);
      paused = true;
      PauseLoop();
    });
  });
  sender.RunLoop();
  reader.join();
  REQUIRE(sender.outcome);
  CHECK_FALSE(sender.outcome->reply);
  CHECK(received_late == "");
}

// Guards against an order that the kernel still delivers for a stopped process, which can't reset
// the connection.
TEST_CASE("a request that the peer doesn't take is dropped while its sender is paused") {
  Peer peer;
  Clock clock;
  Sender sender(peer, &clock);
  sender.Call(kHeldUpBytes, kTimeout);
  sender.loop.After(Milliseconds(100), [] { PauseLoop(); });
  std::string received;
  std::thread reader([&] {
    if (!peer.Accept(Milliseconds(1000))) return;
    std::this_thread::sleep_for(kTimeout * 2);
    received = peer.ReadAll();
  });
  sender.RunLoop();
  reader.join();
  CHECK(received.size() < kHeldUpBytes);
}

// Guards against an order that the kernel still delivers after its sender was killed: closing the
// sockets of a killed process leaves their unsent bytes to be sent.
TEST_CASE("a request that the peer doesn't take is dropped when its sender is killed") {
  Peer peer;
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    Clock clock;
    Sender sender(peer, &clock);
    sender.Call(kHeldUpBytes, Milliseconds(5000));
    sender.RunLoop();
    _exit(0);
  }
  CHECK(peer.Accept(Milliseconds(2000)));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  REQUIRE(kill(child, SIGKILL) == 0);
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  CHECK(peer.ReadAll().size() < kHeldUpBytes);
}

}  // namespace
}  // namespace endivewood::testing
