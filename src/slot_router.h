/// @file
/// Requests slots from the entry that holds a service's queue: this process or a peer.
#pragma once

#include "peers.h"

namespace endivewood {

struct SlotRouterOptions {
  /// Called with grants of this router; must not block.
  CheckpointHandler on_checkpoint = nullptr;
};

struct SlotRouterStats {
  std::uint64_t local = 0;     ///< Requests sent to this process's own queue.
  std::uint64_t remote = 0;    ///< Requests sent to a peer.
  std::uint64_t rerouted = 0;  ///< Requests that went to another holder while they waited.
  std::uint64_t served = 0;    ///< Requests received from peers.
  std::uint64_t freed = 0;     ///< Grants to peers whose connection was lost.

  bool operator==(const SlotRouterStats&) const = default;
};

/// Acquires slots like SlotAllocator, from any entry. Each service has one queue in the data
/// centre, held by the live entry that rendezvous hashing ranks first. While membership changes,
/// two entries may both hold the queue and grant one slot twice; the upstream's own limit then
/// refuses one of the requests, which is not run. Thread-safe.
class SlotRouter {
 public:
  /// @param peers must be stopped before the router is destroyed.
  SlotRouter(const Clock& clock, PeerNode* peers, SlotRouterOptions options = {});
  ~SlotRouter();
  SlotRouter(const SlotRouter&) = delete;
  SlotRouter& operator=(const SlotRouter&) = delete;

  /// @returns the handlers with which the peer node has to be started.
  PeerHandlers Handlers();

  void SetView(std::shared_ptr<const FleetView> view) { m_allocator.SetView(std::move(view)); }

  /// Blocks until the request is granted or refused, with the same reasons as SlotAllocator.
  std::optional<SlotGrant> Acquire(const SlotRequest& request, Reason* reason,
                                   CancelToken* token = nullptr);

  /// Releases a slot. A grant that was already released is ignored.
  void Release(const SlotGrant& grant, SlotOutcome outcome, Milliseconds run_time);

  /// Refuses the waiting requests of this process and of peers and every later one.
  void Stop();

  /// @returns the name of the entry that holds the queue of a service.
  std::string HolderOf(const ServiceName& service) const;

  SlotRouterStats Stats() const;
  SlotAllocatorStats AllocatorStats() const { return m_allocator.Stats(); }

 private:
  /// A request of this process that was not answered yet.
  struct PendingRequest {
    SlotRequest request;
    SlotCallback done;
    Milliseconds arrived{0};
    std::uint64_t link = 0;
    SlotTicket ticket;                 ///< In the local queue.
    std::vector<std::string> refused;  ///< Holders that stop or don't know the service yet.
  };
  /// A grant and the connection on which it is released.
  struct RoutedGrant {
    std::uint64_t link = 0;  ///< kLocal, or the connection to the peer.
    SlotGrant grant;         ///< With the id that the queue's holder gave it.
  };
  /// Identifies a request of a peer that was not answered yet.
  struct PeerRequestKey {
    std::uint64_t link = 0;
    std::uint64_t request = 0;
    auto operator<=>(const PeerRequestKey&) const = default;
  };

  std::uint64_t Submit(const SlotRequest& request, SlotCallback done);
  void Cancel(std::uint64_t id);
  void Route(std::uint64_t id);
  void RouteLocal(std::uint64_t id, const SlotRequest& request);
  std::uint64_t ChooseLink(const PendingRequest& pending) const;
  void Reroute(std::uint64_t link, bool withdraw);
  bool Complete(std::uint64_t id, std::uint64_t link, const SlotResult& result);

  void OnMessage(std::uint64_t link, const PeerMessage& message);
  void OnClosed(std::uint64_t link);
  void OnTransition(const PeerTransition& transition);
  void OnAcquire(std::uint64_t link, const struct Acquire& message);
  void OnGrant(std::uint64_t link, const Grant& message);
  void OnRefuse(std::uint64_t link, const Refuse& message);
  void OnCancel(const PeerRequestKey& key);
  void OnRelease(std::uint64_t link, const struct Release& message);
  void OnCheckpoint(std::uint64_t link, std::uint64_t grant);
  void ReplyToPeer(const PeerRequestKey& key, const SlotResult& result);
  void Checkpoint(const SlotGrant& grant);

  const Clock& m_clock;
  PeerNode* m_peers;
  SlotRouterOptions m_options;
  mutable std::mutex m_mutex;  ///< Never held while the allocator or a callback is called.
  std::uint64_t m_last_id = 0;
  std::map<std::uint64_t, PendingRequest> m_pending;
  std::map<std::uint64_t, RoutedGrant> m_grants;  ///< Grants to this process by the router's id.
  std::map<PeerRequestKey, SlotTicket> m_peer_requests;
  std::map<std::uint64_t, RoutedGrant> m_peer_grants;  ///< Grants to peers by the allocator's id.
  SlotRouterStats m_stats;
  SlotAllocator m_allocator;
};

}  // namespace endivewood
