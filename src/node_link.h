/// @file
/// Request-reply calls between instances of the system, over TCP on one event loop.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "async_http.h"
#include "event_loop.h"
#include "node_calls.h"

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace endivewood {

/// How a call to another instance ended.
struct NodeOutcome {
  std::optional<NodeReply> reply;
  std::optional<CarryReply> carried;  ///< Instead of `reply`, for an order or a probe.
  bool sent = false;                  ///< The call may have reached the peer.
};

/// Keeps one connection to each called peer, and passes calls from peers to a handler.
class NodeLink {
 public:
  using Callback = std::function<void(const NodeOutcome&)>;
  using Responder = std::function<void(NodeReply)>;
  using Handler = std::function<void(NodeCall, Responder)>;
  /// Called once with the id of each order, and of the probe if one is wanted.
  using CarryResponder = std::function<void(std::uint64_t id, const CarryReply&)>;
  using CarryHandler = std::function<void(CarryBatch, const CarryResponder&)>;

  /// An order for a carrier; the link sets its id.
  struct CarryItem {
    CarriedOrder order;
    Milliseconds timeout{0};
    Callback done;
  };

  /// @throws std::runtime_error when the listening address can't be bound.
  NodeLink(EventLoop* loop, const Endpoint& listen, Handler handler);
  ~NodeLink();
  NodeLink(const NodeLink&) = delete;
  NodeLink& operator=(const NodeLink&) = delete;

  /// Calls a peer. The callback runs exactly once, after this has returned. A connection that
  /// brings no answer at all during a call that times out is replaced, unless the timeout is
  /// shorter than config::kLinkTimeoutMs.
  void Call(const Endpoint& peer, const NodeCall& call, Milliseconds timeout, Callback callback);

  /// Sends orders to a carrier in as few frames as possible. Each callback runs exactly once, as
  /// for Call.
  void Carry(const Endpoint& carrier, std::vector<CarryItem> items);
  /// Asks a carrier for its clock.
  void Probe(const Endpoint& carrier, Milliseconds timeout, Callback done);
  /// Sets the handler of orders that peers want carried.
  void OnCarry(CarryHandler handler) { m_carry_handler = std::move(handler); }

  /// @returns the bytes of all frames, of calls to peers and of their calls.
  const Traffic& traffic() const { return m_traffic; }

 private:
  struct Outgoing;
  struct Incoming;
  struct Waiting;

  static void OnAccept(evconnlistener* listener, int fd, sockaddr* address, int size, void* link);
  void OnOutgoingReadable(Outgoing* peer);
  void OnIncomingReadable(Incoming* peer);
  Outgoing* Connect(const Endpoint& peer);
  std::uint64_t Await(Outgoing* connection, Milliseconds timeout, Callback callback);
  void Write(Outgoing* connection, const NodeFrame& frame);
  void Expire(const Endpoint& peer, std::uint64_t id, Milliseconds timeout);
  void Close(const Endpoint& peer);

  EventLoop* m_loop;
  Handler m_handler;
  CarryHandler m_carry_handler;
  evconnlistener* m_listener = nullptr;
  std::map<Endpoint, std::shared_ptr<Outgoing>> m_outgoing;
  std::map<Incoming*, std::shared_ptr<Incoming>> m_incoming;
  std::uint64_t m_next_id = 1;
  Traffic m_traffic;
};

}  // namespace endivewood
