/// @file
/// TCP sockets on cxxtools::net. Built as C++17, see tcp_socket.h.
#include "tcp_socket.h"

#include <cxxtools/ioerror.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace endivewood {
namespace {

/// Timeout of a read, which the caller repeats, and of a write that blocks although poll() reported
/// the socket as writable.
constexpr double kSocketTimeoutMs = 1000;

}  // namespace

struct TcpListener::Impl {
  Impl(const std::string& address, std::uint16_t port, int backlog)
      : server(address, port, backlog) {}
  cxxtools::net::TcpServer server;
};

struct TcpConnection::Impl {
  cxxtools::net::TcpSocket socket;
};

TcpListener::TcpListener(const std::string& address, std::uint16_t port, int backlog)
    : m_impl(std::make_unique<Impl>(address, port, backlog)) {}

TcpListener::~TcpListener() = default;

void TcpListener::Terminate() { m_impl->server.terminateAccept(); }

TcpConnection::TcpConnection() : m_impl(std::make_unique<Impl>()) {}

TcpConnection::~TcpConnection() = default;

TcpStatus TcpConnection::Accept(const TcpListener& listener) {
  try {
    m_impl->socket.accept(listener.m_impl->server);
    ConfigureSocket();
    return TcpStatus::kOk;
  } catch (const cxxtools::net::AcceptTerminated&) {
    return TcpStatus::kClosed;
  } catch (const std::exception&) {
    return TcpStatus::kTimeout;
  }
}

TcpStatus TcpConnection::Connect(const std::string& address, std::uint16_t port, int timeout_ms) {
  try {
    m_impl->socket.setTimeout(cxxtools::Milliseconds(static_cast<double>(timeout_ms)));
    m_impl->socket.connect(address, port);
    ConfigureSocket();
    return TcpStatus::kOk;
  } catch (const cxxtools::IOTimeout&) {
    return TcpStatus::kTimeout;
  } catch (const std::exception&) {
    return TcpStatus::kClosed;
  }
}

void TcpConnection::ConfigureSocket() {
  m_impl->socket.setTimeout(cxxtools::Milliseconds(kSocketTimeoutMs));
  // A grant must be sent without waiting for the acknowledgement of an earlier frame.
  const int enabled = 1;
  ::setsockopt(m_impl->socket.getFd(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

TcpStatus TcpConnection::Read(char* data, std::size_t size, std::size_t* got) {
  *got = 0;
  try {
    *got = m_impl->socket.read(data, size);
    return *got == 0 ? TcpStatus::kClosed : TcpStatus::kOk;
  } catch (const cxxtools::IOTimeout&) {
    return TcpStatus::kTimeout;
  } catch (const std::exception&) {
    return TcpStatus::kClosed;
  }
}

TcpStatus TcpConnection::WriteSome(const char* data, std::size_t size, std::size_t* sent) {
  *sent = 0;
  pollfd state{m_impl->socket.getFd(), POLLOUT, 0};
  const bool writable = ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
  if (!writable) return TcpStatus::kOk;
  try {
    *sent = m_impl->socket.write(data, size);
    return TcpStatus::kOk;
  } catch (const std::exception&) {
    return TcpStatus::kClosed;
  }
}

void TcpConnection::Shutdown() { ::shutdown(m_impl->socket.getFd(), SHUT_RDWR); }

}  // namespace endivewood
