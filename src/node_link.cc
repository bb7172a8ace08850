/// @file
/// Framed calls between instances, on libevent.
#include "node_link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <stdexcept>
#include <utility>

#include "config.h"
#include "events.h"
#include "guarded.h"
#include "socket_options.h"

namespace endivewood {
namespace {

sockaddr_in AddressOf(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  return address;
}

/// Moves the received bytes to the end of `buffer`.
/// @returns their number.
std::size_t AppendInput(bufferevent* source, std::string* buffer) {
  evbuffer* const input = bufferevent_get_input(source);
  const std::size_t size = evbuffer_get_length(input);
  const std::size_t before = buffer->size();
  buffer->resize(before + size);
  evbuffer_remove(input, buffer->data() + before, size);
  return size;
}

}  // namespace

struct NodeLink::Waiting {
  Callback callback;
  std::uint64_t frames_before = 0;  ///< Answers received on the connection before the call.
  EventLoop::TimerId timer = 0;
};

struct NodeLink::Outgoing {
  NodeLink* link = nullptr;
  Endpoint endpoint;
  bufferevent* stream = nullptr;
  bool connected = false;
  std::uint64_t frames = 0;
  std::string input;
  std::map<std::uint64_t, Waiting> waiting;

  ~Outgoing() {
    if (stream != nullptr) bufferevent_free(stream);
  }
};

struct NodeLink::Incoming {
  NodeLink* link = nullptr;
  bufferevent* stream = nullptr;
  std::string input;

  ~Incoming() {
    if (stream != nullptr) bufferevent_free(stream);
  }
};

NodeLink::NodeLink(EventLoop* loop, const Endpoint& listen, Handler handler)
    : m_loop(loop), m_handler(std::move(handler)) {
  const sockaddr_in address = AddressOf(listen);
  m_listener = evconnlistener_new_bind(
      loop->base(), &NodeLink::OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (m_listener == nullptr) throw std::runtime_error("can't listen on " + listen.str());
}

NodeLink::~NodeLink() { evconnlistener_free(m_listener); }

void NodeLink::OnAccept(evconnlistener*, int fd, sockaddr*, int, void* argument) {
  auto* const link = static_cast<NodeLink*>(argument);
  auto peer = std::make_shared<Incoming>();
  peer->link = link;
  SetTcpNoDelay(fd);
  peer->stream = bufferevent_socket_new(link->m_loop->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      peer->stream,
      [](bufferevent*, void* reference) {
        auto* const readable = static_cast<Incoming*>(reference);
        RunGuarded("peer-call", [&] { readable->link->OnIncomingReadable(readable); });
      },
      nullptr,
      [](bufferevent*, short, void* reference) {
        auto* const closed = static_cast<Incoming*>(reference);
        closed->link->m_incoming.erase(closed);
      },
      peer.get());
  bufferevent_enable(peer->stream, EV_READ | EV_WRITE);
  link->m_incoming.emplace(peer.get(), peer);
}

void NodeLink::OnIncomingReadable(Incoming* peer) {
  m_traffic.received += AppendInput(peer->stream, &peer->input);
  const std::shared_ptr<Incoming> shared_peer = m_incoming.at(peer);
  const std::weak_ptr<Incoming> weak = shared_peer;
  bool malformed = false;
  while (auto frame = TakeNodeFrame(&shared_peer->input, &malformed)) {
    const auto respond = [weak](std::uint64_t id, auto reply) {
      const auto target = weak.lock();
      if (!target) return;
      const std::string bytes = EncodeNodeFrame({.id = id, .body = std::move(reply)});
      target->link->m_traffic.sent += bytes.size();
      bufferevent_write(target->stream, bytes.data(), bytes.size());
    };
    if (auto* const call = std::get_if<NodeCall>(&frame->body)) {
      m_handler(std::move(*call),
                [respond, id = frame->id](NodeReply reply) { respond(id, std::move(reply)); });
    } else if (auto* const batch = std::get_if<CarryBatch>(&frame->body);
               batch != nullptr && m_carry_handler) {
      m_carry_handler(std::move(*batch),
                      [respond](std::uint64_t id, const CarryReply& reply) { respond(id, reply); });
    } else {
      malformed = true;
      break;
    }
  }
  if (!malformed) return;
  LogEvent(Event::kPeerProtocolError, {{"direction", "incoming"}});
  m_incoming.erase(peer);
}

NodeLink::Outgoing* NodeLink::Connect(const Endpoint& peer) {
  std::shared_ptr<Outgoing>& connection = m_outgoing[peer];
  if (connection) return connection.get();
  connection = std::make_shared<Outgoing>();
  connection->link = this;
  connection->endpoint = peer;
  connection->stream = bufferevent_socket_new(m_loop->base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      connection->stream,
      [](bufferevent*, void* reference) {
        auto* const readable = static_cast<Outgoing*>(reference);
        RunGuarded("peer-reply", [&] { readable->link->OnOutgoingReadable(readable); });
      },
      nullptr,
      [](bufferevent*, short what, void* reference) {
        auto* const changed = static_cast<Outgoing*>(reference);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
          changed->connected = true;
          SetTcpNoDelay(bufferevent_getfd(changed->stream));
          return;
        }
        changed->link->Close(changed->endpoint);
      },
      connection.get());
  bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
  const sockaddr_in address = AddressOf(peer);
  bufferevent_socket_connect(connection->stream, reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address));
  return connection.get();
}

std::uint64_t NodeLink::Await(Outgoing* connection, Milliseconds timeout, Callback callback) {
  const std::uint64_t id = m_next_id++;
  Waiting waiting{.callback = std::move(callback), .frames_before = connection->frames, .timer = 0};
  waiting.timer = m_loop->After(
      timeout, [this, peer = connection->endpoint, id, timeout] { Expire(peer, id, timeout); });
  connection->waiting.emplace(id, std::move(waiting));
  return id;
}

void NodeLink::Write(Outgoing* connection, const NodeFrame& frame) {
  const std::string bytes = EncodeNodeFrame(frame);
  m_traffic.sent += bytes.size();
  bufferevent_write(connection->stream, bytes.data(), bytes.size());
}

void NodeLink::Call(const Endpoint& peer, const NodeCall& call, Milliseconds timeout,
                    Callback callback) {
  Outgoing* const connection = Connect(peer);
  const std::uint64_t id = Await(connection, timeout, std::move(callback));
  Write(connection, {.id = id, .body = call});
}

void NodeLink::Carry(const Endpoint& carrier, std::vector<CarryItem> items) {
  Outgoing* const connection = Connect(carrier);
  CarryBatch batch;
  for (CarryItem& item : items) {
    item.order.id = Await(connection, item.timeout, std::move(item.done));
    batch.orders.push_back(std::move(item.order));
    if (batch.orders.size() < config::kMaxCarriedOrders) continue;
    Write(connection, {.id = 0, .body = std::exchange(batch, {})});
  }
  if (!batch.orders.empty()) Write(connection, {.id = 0, .body = std::move(batch)});
}

void NodeLink::Probe(const Endpoint& carrier, Milliseconds timeout, Callback done) {
  Outgoing* const connection = Connect(carrier);
  const std::uint64_t id = Await(connection, timeout, std::move(done));
  Write(connection, {.id = 0, .body = CarryBatch{.probe_id = id, .orders = {}}});
}

void NodeLink::Expire(const Endpoint& peer, std::uint64_t id, Milliseconds timeout) {
  const auto found = m_outgoing.find(peer);
  if (found == m_outgoing.end()) return;
  Outgoing& target = *found->second;
  const auto call = target.waiting.find(id);
  if (call == target.waiting.end()) return;
  const bool silent = target.frames == call->second.frames_before &&
                      timeout >= Milliseconds(config::kLinkTimeoutMs);
  // The connection is also closed when it isn't established, because its buffered bytes could still
  // be sent after the call has timed out.
  if (silent || !target.connected) {
    // Ends all calls on the connection, which may be dead; the next call opens a new one.
    LogEvent(Event::kPeerLost, {{"peer", peer}, {"cause", "timeout"}, {"waited_ms", timeout}});
    Close(peer);
    return;
  }
  const Waiting expired = std::move(call->second);
  target.waiting.erase(call);
  expired.callback({.reply = std::nullopt, .carried = std::nullopt, .sent = target.connected});
}

void NodeLink::OnOutgoingReadable(Outgoing* peer) {
  m_traffic.received += AppendInput(peer->stream, &peer->input);
  const std::shared_ptr<Outgoing> shared_peer = m_outgoing.at(peer->endpoint);
  bool malformed = false;
  while (auto frame = TakeNodeFrame(&shared_peer->input, &malformed)) {
    auto* const reply = std::get_if<NodeReply>(&frame->body);
    auto* const carried = std::get_if<CarryReply>(&frame->body);
    malformed = reply == nullptr && carried == nullptr;
    if (malformed) break;
    ++shared_peer->frames;
    const auto found = shared_peer->waiting.find(frame->id);
    if (found == shared_peer->waiting.end()) continue;
    const Waiting waiting = std::move(found->second);
    shared_peer->waiting.erase(found);
    m_loop->Cancel(waiting.timer);
    NodeOutcome outcome{.reply = std::nullopt, .carried = std::nullopt, .sent = true};
    if (reply != nullptr) outcome.reply = std::move(*reply);
    if (carried != nullptr) outcome.carried = std::move(*carried);
    waiting.callback(outcome);
  }
  if (!malformed) return;
  LogEvent(Event::kPeerProtocolError, {{"direction", "outgoing"}});
  Close(shared_peer->endpoint);
}

void NodeLink::Close(const Endpoint& peer) {
  const auto found = m_outgoing.find(peer);
  if (found == m_outgoing.end()) return;
  const std::shared_ptr<Outgoing> closed_peer = std::move(found->second);
  m_outgoing.erase(found);
  bufferevent_setcb(closed_peer->stream, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(closed_peer->stream, EV_READ | EV_WRITE);
  const bool sent = closed_peer->connected;
  const int fd = bufferevent_getfd(closed_peer->stream);
  if (fd >= 0) ResetOnClose(fd);
  auto waiting =
      std::make_shared<std::map<std::uint64_t, Waiting>>(std::move(closed_peer->waiting));
  for (const auto& [id, each] : *waiting) m_loop->Cancel(each.timer);
  // The callbacks run from the loop because they may start new calls. The stream is freed there
  // too: it must not be freed inside its own callback.
  m_loop->After(Milliseconds{0}, [closed_peer, waiting, sent] {
    for (const auto& [id, each] : *waiting) {
      each.callback({.reply = std::nullopt, .carried = std::nullopt, .sent = sent});
    }
  });
}

}  // namespace endivewood
