/// @file
/// One TCP connection between two entries.
#pragma once

#include "frame.h"
#include "tcp_socket.h"

namespace endivewood {

/// Counters of all connections of a process.
struct PeerStats {
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> malformed{0};   ///< Connections closed because of malformed input.
  std::atomic<std::uint64_t> overflowed{0};  ///< Connections closed because the peer didn't read.
  std::atomic<std::uint64_t> relayed{0};     ///< Batches of records received from peers.
  std::atomic<std::uint64_t> states_restored{0};  ///< Fleet states restored from peers.
};

/// A connection with one reading thread and any number of senders.
class PeerConnection {
 public:
  PeerConnection(std::uint64_t id, PeerStats* stats);

  /// Waits for the next connection of a listener. Its first frame, a hello, has a lower size limit.
  TcpStatus Accept(const TcpListener& listener) { return m_socket.Accept(listener); }

  /// Connects to a peer within kPeerConnectMs.
  TcpStatus Connect(const Endpoint& peer);

  std::uint64_t id() const { return m_id; }

  /// Sends a message, or buffers it until the socket can take it. Never blocks.
  /// @returns false when the connection has ended.
  bool Send(const PeerMessage& message);

  /// Sends as much of the buffered data as the socket takes.
  void Flush();

  /// Ends the connection; the reading thread then returns from ReadAll.
  void Shutdown();

  /// Reads until the connection ends or the handler returns false. Called by one thread.
  void ReadAll(const std::function<bool(const PeerMessage&)>& handler);

  /// Raises the size limit of received frames once the sender is known.
  void AcceptLongFrames();

 private:
  void FlushLocked();
  void CloseLocked();

  const std::uint64_t m_id;
  PeerStats* m_stats;
  TcpConnection m_socket;
  FrameDecoder m_decoder;
  std::mutex m_mutex;
  std::string m_backlog;
  bool m_closed = false;
};

}  // namespace endivewood
