/// @file
/// Connections between entries: membership, relay of fleet records and states, slot messages.
#pragma once

#include "dump.h"
#include "membership.h"
#include "peer_connection.h"
#include "relay.h"

namespace endivewood {

/// Handlers for messages and events that the slot router needs. Called on threads of the node with
/// no lock held; they must not block.
struct PeerHandlers {
  /// Called with a slot message and the connection on which it arrived.
  std::function<void(std::uint64_t link, const PeerMessage&)> on_slot_message;
  std::function<void(std::uint64_t link)> on_closed;
  std::function<void(const PeerTransition&)> on_transition;
};

/// The peer protocol of one entry. Each entry connects to every configured peer. It sends its
/// heartbeats and requests on the connections that it opened, and answers on those that it
/// accepted. The requests and grants of a process thus end with its connections.
///
/// Other classes refer to a connection by its id (`link`), which is never 0 and never reused.
class PeerNode {
 public:
  /// @param follower and clock must outlive the node.
  PeerNode(const ProcessSettings& settings, Incarnation incarnation, FleetFollower* follower,
           const Clock* clock);
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  /// Sets the handlers, then opens the listener and the connections.
  void Start(PeerHandlers handlers = {});

  /// Sends Leave to the peers and closes the connections.
  void Stop();

  /// @returns the connection that this entry opened to a peer, 0 when there is none.
  std::uint64_t LinkTo(const std::string& peer) const;

  /// @returns the peer of a connection, empty when it has ended.
  std::string PeerOf(std::uint64_t link) const;

  /// @returns false when the connection has ended.
  bool Send(std::uint64_t link, const PeerMessage& message);

  /// @returns the names of this entry and its live peers, only those of a data centre when it is
  /// valid.
  std::vector<std::string> LiveNames(const DataCentreName& data_centre = {}) const;

  std::vector<PeerMember> Members() const;
  /// @returns the state of each peer, as a PeerState number, and the counters.
  std::vector<DumpValue> DumpValues() const;
  const PeerStats& stats() const { return m_stats; }
  const std::string& name() const { return m_settings.name; }
  const DataCentreName& data_centre() const { return m_settings.data_centre; }

 private:
  struct Link {
    std::shared_ptr<PeerConnection> connection;
    std::string peer;         ///< Empty until an accepted connection has sent its hello.
    Incarnation incarnation;  ///< Valid on accepted connections only.
    bool outgoing = false;    ///< Opened by this entry.
  };
  struct Reader {
    std::thread thread;
    std::shared_ptr<std::atomic<bool>> done;
  };

  void AcceptLoop();
  void DialLoop(const PeerSettings& peer);
  void HandleConnectionRefused(const std::string& peer);
  void TickLoop();
  void Tick(bool heartbeat_due);
  void RequestRecords();
  void StartReader(const std::shared_ptr<PeerConnection>& connection);
  void RunLink(const std::shared_ptr<PeerConnection>& connection, const std::string& peer);
  void EndLink(std::uint64_t id);
  bool HandleRequest(std::uint64_t id, const PeerMessage& message);
  bool HandleReply(std::uint64_t id, const PeerMessage& message);
  bool HandleHello(std::uint64_t id, const Hello& hello);
  void SendRecords(std::uint64_t id, std::uint64_t from);
  void ReportTransition(const std::optional<PeerTransition>& transition);
  void CloseLinksOf(const std::string& peer);
  std::vector<std::shared_ptr<PeerConnection>> Connections(bool outgoing_only) const;
  void ReapReaders(bool all);
  bool WaitStopping(Milliseconds duration);

  const ProcessSettings m_settings;
  const Incarnation m_incarnation;
  FleetFollower* m_follower;
  const Clock* m_clock;
  PeerHandlers m_handlers;
  PeerStats m_stats;
  mutable std::mutex m_mutex;
  std::condition_variable m_stop_signal;
  bool m_stopping = false;
  Membership m_membership;
  std::map<std::uint64_t, Link> m_links;
  std::vector<Reader> m_readers;
  std::atomic<std::uint64_t> m_last_link{0};
  RelayPeerSelector m_relay_selector;  ///< Used by the tick thread only.
  std::unique_ptr<TcpListener> m_server;
  std::thread m_acceptor;
  std::thread m_ticker;
  std::vector<std::thread> m_dialers;
};

}  // namespace endivewood
