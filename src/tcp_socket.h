/// @file
/// TCP on cxxtools::net. The header of cxxtools::net::TcpSocket doesn't compile as C++20, so this
/// interface and its source are C++17 and include no other header of the library.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace endivewood {

/// How a connection attempt or a read ended.
enum class TcpStatus : std::uint8_t {
  kOk,
  kTimeout,
  kClosed,  ///< Refused, ended or broken.
};

/// A listener.
class TcpListener {
 public:
  /// Throws when the address can't be used.
  TcpListener(const std::string& address, std::uint16_t port, int backlog);
  ~TcpListener();

  /// Ends a waiting Accept of another thread with kClosed.
  void Terminate();

 private:
  friend class TcpConnection;
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// A connection. One thread may read while another writes.
class TcpConnection {
 public:
  TcpConnection();
  ~TcpConnection();

  /// Waits for the next connection of a listener.
  /// @returns kTimeout when the attempt failed but the listener still works.
  TcpStatus Accept(const TcpListener& listener);

  TcpStatus Connect(const std::string& address, std::uint16_t port, int timeout_ms);

  /// Waits for bytes. @param got receives their number.
  TcpStatus Read(char* data, std::size_t size, std::size_t* got);

  /// Writes what the socket takes without waiting. @param sent receives the number of bytes.
  /// @returns kClosed when the connection has ended.
  TcpStatus WriteSome(const char* data, std::size_t size, std::size_t* sent);

  /// Ends both directions; a waiting Read of another thread returns.
  void Shutdown();

 private:
  void Prepare();

  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace endivewood
