/// @file
/// Connections between entries.
#include "peers.h"

#include "config.h"
#include "events.h"

namespace endivewood {
namespace {

constexpr int kListenBacklog = 64;

}  // namespace

PeerNode::PeerNode(const ProcessSettings& settings, Incarnation incarnation,
                   FleetFollower* follower, const Clock* clock)
    : m_settings(settings),
      m_incarnation(std::move(incarnation)),
      m_follower(follower),
      m_clock(clock),
      m_membership(settings.peers) {}

PeerNode::~PeerNode() { Stop(); }

void PeerNode::Start(PeerHandlers handlers) {
  m_handlers = std::move(handlers);
  m_server =
      std::make_unique<TcpListener>(m_settings.peer.address, m_settings.peer.port, kListenBacklog);
  m_acceptor = std::thread([this] { AcceptLoop(); });
  m_ticker = std::thread([this] { TickLoop(); });
  for (const PeerSettings& peer : m_settings.peers) {
    m_dialers.emplace_back([this, peer] { DialLoop(peer); });
  }
}

void PeerNode::Stop() {
  {
    std::lock_guard lock(m_mutex);
    if (m_stopping || !m_server) return;
    m_stopping = true;
  }
  m_stop_signal.notify_all();
  for (const auto& connection : Connections(true)) connection->Send(Leave{m_incarnation});
  m_server->Terminate();
  m_acceptor.join();
  m_ticker.join();
  for (const auto& connection : Connections(false)) connection->Shutdown();
  for (std::thread& dialer : m_dialers) dialer.join();
  ReapReaders(true);
}

bool PeerNode::WaitStopping(Milliseconds duration) {
  std::unique_lock lock(m_mutex);
  return m_stop_signal.wait_for(lock, duration, [&] { return m_stopping; });
}

// Connections.

void PeerNode::AcceptLoop() {
  while (true) {
    auto connection = std::make_shared<PeerConnection>(++m_last_link, &m_stats);
    const TcpStatus status = connection->Accept(*m_server);
    if (status == TcpStatus::kClosed) return;
    if (status == TcpStatus::kOk) StartReader(connection);
    // The process has no file descriptor left, or the connection ended before it was accepted.
    const bool failed = status == TcpStatus::kTimeout;
    if (failed && WaitStopping(Milliseconds(config::kPeerReconnectMs))) return;
    ReapReaders(false);
  }
}

void PeerNode::StartReader(const std::shared_ptr<PeerConnection>& connection) {
  auto done = std::make_shared<std::atomic<bool>>(false);
  std::lock_guard lock(m_mutex);
  if (m_stopping) return;
  m_links[connection->id()] = {.connection = connection};
  std::thread thread([this, connection, done] {
    connection->ReadAll(
        [&](const PeerMessage& message) { return HandleRequest(connection->id(), message); });
    EndLink(connection->id());
    *done = true;
  });
  m_readers.push_back({.thread = std::move(thread), .done = std::move(done)});
}

void PeerNode::ReapReaders(bool all) {
  std::vector<Reader> ended;
  {
    std::lock_guard lock(m_mutex);
    for (auto reader = m_readers.begin(); reader != m_readers.end();) {
      if (!all && !*reader->done) {
        ++reader;
        continue;
      }
      ended.push_back(std::move(*reader));
      reader = m_readers.erase(reader);
    }
  }
  for (Reader& reader : ended) reader.thread.join();
}

void PeerNode::DialLoop(const PeerSettings& peer) {
  do {
    auto connection = std::make_shared<PeerConnection>(++m_last_link, &m_stats);
    const TcpStatus status = connection->Connect(peer.endpoint);
    if (status == TcpStatus::kOk) RunLink(connection, peer.name);
    if (status == TcpStatus::kClosed) HandleConnectionRefused(peer.name);
  } while (!WaitStopping(Milliseconds(config::kPeerReconnectMs)));
}

void PeerNode::HandleConnectionRefused(const std::string& peer) {
  std::optional<PeerTransition> transition;
  {
    std::lock_guard lock(m_mutex);
    transition = m_membership.OnConnectionRefused(peer);
  }
  ReportTransition(transition);
}

void PeerNode::RunLink(const std::shared_ptr<PeerConnection>& connection, const std::string& peer) {
  // Hello must be the first frame. No other thread can send before the link is in m_links.
  connection->Send(Hello{.name = m_settings.name,
                         .data_centre = m_settings.data_centre,
                         .incarnation = m_incarnation,
                         .applied = m_follower->View()->next_offset});
  {
    std::lock_guard lock(m_mutex);
    if (m_stopping) return;
    m_links[connection->id()] = {.connection = connection, .peer = peer, .outgoing = true};
  }
  connection->ReadAll(
      [&](const PeerMessage& message) { return HandleReply(connection->id(), message); });
  EndLink(connection->id());
}

void PeerNode::EndLink(std::uint64_t id) {
  std::optional<PeerTransition> transition;
  {
    std::lock_guard lock(m_mutex);
    const Link ended = m_links[id];
    m_links.erase(id);
    bool replaced = ended.outgoing || ended.peer.empty();
    for (const auto& [other_id, other] : m_links) {
      replaced = replaced || (!other.outgoing && other.peer == ended.peer);
    }
    if (!replaced) transition = m_membership.OnDisconnect(ended.peer, ended.incarnation);
  }
  if (m_handlers.on_closed) m_handlers.on_closed(id);
  ReportTransition(transition);
}

void PeerNode::CloseLinksOf(const std::string& peer) {
  std::lock_guard lock(m_mutex);
  for (const auto& [id, link] : m_links) {
    if (link.peer == peer) link.connection->Shutdown();
  }
}

std::vector<std::shared_ptr<PeerConnection>> PeerNode::Connections(bool outgoing_only) const {
  std::lock_guard lock(m_mutex);
  std::vector<std::shared_ptr<PeerConnection>> connections;
  for (const auto& [id, link] : m_links) {
    if (link.outgoing || !outgoing_only) connections.push_back(link.connection);
  }
  return connections;
}

std::uint64_t PeerNode::LinkTo(const std::string& peer) const {
  std::lock_guard lock(m_mutex);
  for (const auto& [id, link] : m_links) {
    if (link.outgoing && link.peer == peer) return id;
  }
  return 0;
}

std::string PeerNode::PeerOf(std::uint64_t link) const {
  std::lock_guard lock(m_mutex);
  const auto found = m_links.find(link);
  return found == m_links.end() ? "" : found->second.peer;
}

bool PeerNode::Send(std::uint64_t link, const PeerMessage& message) {
  std::shared_ptr<PeerConnection> connection;
  {
    std::lock_guard lock(m_mutex);
    const auto found = m_links.find(link);
    if (found == m_links.end()) return false;
    connection = found->second.connection;
  }
  return connection->Send(message);
}

// Messages.

bool PeerNode::HandleHello(std::uint64_t id, const Hello& hello) {
  std::optional<PeerTransition> transition;
  {
    std::lock_guard lock(m_mutex);
    if (m_membership.Find(hello.name) == nullptr) return false;
    Link& link = m_links[id];
    link.peer = hello.name;
    link.incarnation = hello.incarnation;
    link.connection->AcceptLongFrames();
    // A second connection from a peer replaces the first one, whose grants are freed.
    for (const auto& [other_id, other] : m_links) {
      const bool older = other_id != id && !other.outgoing && other.peer == hello.name;
      if (older) other.connection->Shutdown();
    }
    transition =
        m_membership.OnHeartbeat(hello.name, hello.incarnation, hello.applied, m_clock->Now());
  }
  ReportTransition(transition);
  return true;
}

bool PeerNode::HandleRequest(std::uint64_t id, const PeerMessage& message) {
  std::string peer;
  Incarnation incarnation;
  {
    std::lock_guard lock(m_mutex);
    peer = m_links[id].peer;
    incarnation = m_links[id].incarnation;
  }
  if (const auto* hello = std::get_if<Hello>(&message)) return HandleHello(id, *hello);
  if (peer.empty()) return false;
  std::optional<PeerTransition> transition;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    std::lock_guard lock(m_mutex);
    transition = m_membership.OnHeartbeat(peer, incarnation, heartbeat->applied, m_clock->Now());
  } else if (std::holds_alternative<Leave>(message)) {
    std::lock_guard lock(m_mutex);
    transition = m_membership.OnLeave(peer, incarnation);
  } else if (const auto* request = std::get_if<RecordsRequest>(&message)) {
    SendRecords(id, request->from);
  } else if (std::holds_alternative<SnapshotRequest>(message)) {
    Send(id, SnapshotReply{m_follower->State()});
  } else {
    const bool slot_request = std::holds_alternative<Acquire>(message) ||
                              std::holds_alternative<CancelAcquire>(message) ||
                              std::holds_alternative<Release>(message);
    if (!slot_request) return false;
    if (m_handlers.on_slot_message) m_handlers.on_slot_message(id, message);
  }
  ReportTransition(transition);
  return true;
}

void PeerNode::SendRecords(std::uint64_t id, std::uint64_t from) {
  auto records = m_follower->BufferedRecords(from);
  if (records) {
    Send(id, Records{std::move(*records)});
  } else {
    Send(id, SnapshotReply{m_follower->State()});
  }
}

bool PeerNode::HandleReply(std::uint64_t id, const PeerMessage& message) {
  if (const auto* records = std::get_if<Records>(&message)) {
    ++m_stats.relayed;
    m_follower->ApplyRecords(records->records);
    return true;
  }
  if (const auto* reply = std::get_if<SnapshotReply>(&message)) {
    if (m_follower->RestoreState(reply->state)) ++m_stats.states_restored;
    return true;
  }
  const bool slot_reply = std::holds_alternative<Grant>(message) ||
                          std::holds_alternative<Refuse>(message) ||
                          std::holds_alternative<CheckpointRequest>(message);
  if (slot_reply && m_handlers.on_slot_message) m_handlers.on_slot_message(id, message);
  return slot_reply;
}

// Periodic work.

void PeerNode::TickLoop() {
  std::uint64_t announced = 0;
  Milliseconds last_heartbeat = m_clock->Now();
  while (!WaitStopping(Milliseconds(config::kPeerTickMs))) {
    const std::uint64_t applied = m_follower->View()->next_offset;
    const Milliseconds now = m_clock->Now();
    const bool due =
        applied != announced || now - last_heartbeat >= Milliseconds(config::kHeartbeatMs);
    Tick(due);
    RequestRecords();
    if (!due) continue;
    announced = applied;
    last_heartbeat = now;
  }
}

void PeerNode::Tick(bool heartbeat_due) {
  std::vector<PeerTransition> transitions;
  {
    std::lock_guard lock(m_mutex);
    transitions = m_membership.Tick(m_clock->Now());
  }
  for (const PeerTransition& transition : transitions) ReportTransition(transition);
  const Heartbeat heartbeat{.incarnation = m_incarnation,
                            .data_centre = m_settings.data_centre,
                            .applied = m_follower->View()->next_offset};
  for (const auto& connection : Connections(false)) connection->Flush();
  if (!heartbeat_due) return;
  for (const auto& connection : Connections(true)) connection->Send(heartbeat);
}

void PeerNode::RequestRecords() {
  RelayInputs inputs{.next_offset = m_follower->View()->next_offset,
                     .connected = m_follower->Connected(),
                     .data_centre = m_settings.data_centre,
                     .now = m_clock->Now()};
  {
    std::lock_guard lock(m_mutex);
    inputs.alive = m_membership.Alive();
  }
  const auto peer = m_relay_selector.SelectPeer(inputs);
  if (peer) Send(LinkTo(*peer), RecordsRequest{.from = inputs.next_offset});
}

void PeerNode::ReportTransition(const std::optional<PeerTransition>& transition) {
  if (!transition) return;
  const Event event = transition->to == PeerState::kAlive  ? Event::kPeerConnected
                      : transition->to == PeerState::kLeft ? Event::kPeerLeft
                                                           : Event::kPeerLost;
  LogEvent(event, {{"peer", transition->name}, {"state", PeerStateName(transition->to)}});
  if (transition->to == PeerState::kDead) CloseLinksOf(transition->name);
  if (m_handlers.on_transition) m_handlers.on_transition(*transition);
}

std::vector<std::string> PeerNode::LiveNames(const DataCentreName& data_centre) const {
  std::lock_guard lock(m_mutex);
  std::vector<std::string> names = {m_settings.name};
  for (const PeerMember& member : m_membership.Alive(data_centre)) names.push_back(member.name);
  return names;
}

std::vector<DumpValue> PeerNode::DumpValues() const {
  std::vector<DumpValue> values;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    values.push_back({.name = name, .value = static_cast<std::int64_t>(value)});
  };
  for (const PeerMember& member : Members()) {
    add("peer " + member.name, static_cast<std::uint64_t>(member.state));
  }
  add("peer bytes sent", m_stats.bytes_sent);
  add("peer bytes received", m_stats.bytes_received);
  add("peer connections malformed", m_stats.malformed);
  add("peer connections overflowed", m_stats.overflowed);
  add("record batches from peers", m_stats.relayed);
  add("states from peers", m_stats.states_restored);
  return values;
}

std::vector<PeerMember> PeerNode::Members() const {
  std::lock_guard lock(m_mutex);
  return m_membership.Members();
}

}  // namespace endivewood
