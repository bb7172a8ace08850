/// @file
/// TCP sockets on cxxtools::net. The header of cxxtools::net::TcpSocket doesn't compile as C++20,
/// so this header and its source are C++17 and include no other header of the library.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace endivewood {

/// Result of a socket operation.
enum class TcpStatus : std::uint8_t {
  kOk,
  kTimeout,
  kClosed,  ///< The connection was refused or closed, or failed.
};

/// A listening TCP socket.
class TcpListener {
 public:
  /// Throws when the address can't be used.
  TcpListener(const std::string& address, std::uint16_t port, int backlog);
  ~TcpListener();

  /// Makes a waiting Accept on another thread return kClosed.
  void Terminate();

 private:
  friend class TcpConnection;
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// A TCP connection. One thread may read while another writes.
class TcpConnection {
 public:
  TcpConnection();
  ~TcpConnection();

  /// Accepts the next connection of a listener.
  /// @returns kTimeout when this failed but the listener still works.
  TcpStatus Accept(const TcpListener& listener);

  TcpStatus Connect(const std::string& address, std::uint16_t port, int timeout_ms);

  /// Waits for data. @param got receives the number of bytes read.
  TcpStatus Read(char* data, std::size_t size, std::size_t* got);

  /// Writes as much as possible without waiting. @param sent receives the number of bytes written.
  /// @returns kClosed when the connection is closed.
  TcpStatus WriteSome(const char* data, std::size_t size, std::size_t* sent);

  /// Shuts down both directions; a waiting Read on another thread returns.
  void Shutdown();

 private:
  void ConfigureSocket();

  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace endivewood
