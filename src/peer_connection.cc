/// @file
/// One TCP connection between two entries.
#include "peer_connection.h"

#include <array>

#include "config.h"

namespace endivewood {
namespace {

constexpr std::size_t kChunkBytes = 65536;

}  // namespace

PeerConnection::PeerConnection(std::uint64_t id, PeerStats* stats)
    : m_id(id), m_stats(stats), m_decoder(config::kMaxHelloBytes) {}

TcpStatus PeerConnection::Connect(const Endpoint& peer) {
  AcceptLongFrames();
  return m_socket.Connect(peer.address, peer.port, config::kPeerConnectMs);
}

void PeerConnection::AcceptLongFrames() { m_decoder.SetLimit(config::kMaxFrameBytes); }

bool PeerConnection::Send(const PeerMessage& message) {
  const std::string frame = EncodeFrame(message);
  std::lock_guard lock(m_mutex);
  if (m_closed) return false;
  m_backlog += frame;
  FlushLocked();
  if (m_backlog.size() > config::kMaxPeerBacklogBytes) {
    ++m_stats->overflowed;
    CloseLocked();
  }
  return !m_closed;
}

void PeerConnection::Flush() {
  std::lock_guard lock(m_mutex);
  if (!m_closed) FlushLocked();
}

void PeerConnection::FlushLocked() {
  std::size_t sent = 1;
  while (!m_backlog.empty() && sent > 0) {
    const std::size_t size = std::min(m_backlog.size(), kChunkBytes);
    if (m_socket.WriteSome(m_backlog.data(), size, &sent) == TcpStatus::kClosed) {
      CloseLocked();
      return;
    }
    m_stats->bytes_sent += sent;
    m_backlog.erase(0, sent);
  }
}

void PeerConnection::CloseLocked() {
  if (!m_closed) m_socket.Shutdown();
  m_closed = true;
}

void PeerConnection::Shutdown() {
  std::lock_guard lock(m_mutex);
  CloseLocked();
}

void PeerConnection::ReadAll(const std::function<bool(const PeerMessage&)>& handler) {
  std::array<char, kChunkBytes> chunk;
  bool open = true;
  while (open) {
    std::size_t got = 0;
    const TcpStatus status = m_socket.Read(chunk.data(), chunk.size(), &got);
    if (status == TcpStatus::kTimeout) continue;
    if (status == TcpStatus::kClosed) break;
    m_stats->bytes_received += got;
    m_decoder.Feed(chunk.data(), got);
    std::optional<PeerMessage> message;
    while (open && (message = m_decoder.Next())) open = handler(*message);
    if (m_decoder.malformed() || !open) ++m_stats->malformed;
    open = open && !m_decoder.malformed();
  }
  Shutdown();
}

}  // namespace endivewood
