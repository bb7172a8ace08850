/// @file
/// Requests slots from the entry that holds a service's queue.
#include "slot_router.h"

#include <algorithm>
#include <limits>

#include "config.h"
#include "rendezvous.h"

namespace endivewood {
namespace {

constexpr std::uint64_t kLocal = 0;
/// Marks a request whose holder is being chosen; no connection has this id.
constexpr std::uint64_t kRouting = std::numeric_limits<std::uint64_t>::max();

}  // namespace

SlotRouter::SlotRouter(const Clock& clock, PeerNode* peers, SlotRouterOptions options)
    : m_clock(clock),
      m_peers(peers),
      m_options(std::move(options)),
      m_allocator(clock, {.data_centre = peers->data_centre(),
                          .on_checkpoint = [this](const SlotGrant& grant) { Checkpoint(grant); }}) {
}

SlotRouter::~SlotRouter() { Stop(); }

PeerHandlers SlotRouter::Handlers() {
  return {.on_slot_message = [this](std::uint64_t link,
                                    const PeerMessage& message) { OnMessage(link, message); },
          .on_closed = [this](std::uint64_t link) { OnClosed(link); },
          .on_transition = [this](const PeerTransition& change) { OnTransition(change); }};
}

std::string SlotRouter::HolderOf(const ServiceName& service) const {
  return RendezvousRank(service.str(), m_peers->LiveNames(m_peers->data_centre())).front();
}

SlotRouterStats SlotRouter::Stats() const {
  std::lock_guard lock(m_mutex);
  return m_stats;
}

// Requests of this process.

std::optional<SlotGrant> SlotRouter::Acquire(const SlotRequest& request, Reason* reason,
                                             CancelToken* token) {
  /// Shared with the callback, which may still be running when this function returns.
  struct Waiter {
    std::mutex mutex;
    std::condition_variable answered;
    std::optional<SlotResult> result;
  };
  const auto waiter = std::make_shared<Waiter>();
  const std::uint64_t id = Submit(request, [waiter](const SlotResult& result) {
    std::lock_guard lock(waiter->mutex);
    waiter->result = result;
    waiter->answered.notify_all();
  });
  const bool attached = token == nullptr || token->Attach([this, id] { Cancel(id); });
  if (!attached) Cancel(id);
  std::unique_lock lock(waiter->mutex);
  waiter->answered.wait(lock, [&] { return waiter->result.has_value(); });
  lock.unlock();
  if (token != nullptr) token->Detach();
  if (const auto* grant = std::get_if<SlotGrant>(&*waiter->result)) return *grant;
  if (reason != nullptr) *reason = std::get<Reason>(*waiter->result);
  return std::nullopt;
}

std::uint64_t SlotRouter::Submit(const SlotRequest& request, SlotCallback done) {
  std::unique_lock lock(m_mutex);
  const std::uint64_t id = ++m_last_id;
  m_pending[id] = {
      .request = request, .done = std::move(done), .arrived = m_clock.Now(), .link = kRouting};
  lock.unlock();
  Route(id);
  return id;
}

std::uint64_t SlotRouter::ChooseLink(const PendingRequest& pending) const {
  const auto names = m_peers->LiveNames(m_peers->data_centre());
  for (const std::string& name : RendezvousRank(pending.request.service.str(), names)) {
    if (name == m_peers->name()) return kLocal;
    if (std::ranges::count(pending.refused, name) > 0) continue;
    const std::uint64_t link = m_peers->LinkTo(name);
    if (link != 0) return link;
  }
  return kLocal;
}

void SlotRouter::Route(std::uint64_t id) {
  while (true) {
    std::unique_lock lock(m_mutex);
    const auto found = m_pending.find(id);
    if (found == m_pending.end() || found->second.link != kRouting) return;
    PendingRequest& pending = found->second;
    const Milliseconds waited = m_clock.Now() - pending.arrived;
    SlotRequest request = pending.request;
    request.age += waited;
    request.queue_deadline = std::max(Milliseconds(0), request.queue_deadline - waited);
    const std::uint64_t link = ChooseLink(pending);
    pending.link = link;
    ++(link == kLocal ? m_stats.local : m_stats.remote);
    lock.unlock();
    if (link == kLocal) return RouteLocal(id, request);
    if (m_peers->Send(link, endivewood::Acquire{.request = id, .slot = request})) return;
    // The connection ended after it was chosen. Either OnClosed or this loop routes the request
    // again.
    lock.lock();
    const auto again = m_pending.find(id);
    if (again == m_pending.end() || again->second.link != link) return;
    again->second.link = kRouting;
    lock.unlock();
    std::this_thread::yield();
  }
}

void SlotRouter::RouteLocal(std::uint64_t id, const SlotRequest& request) {
  const SlotTicket ticket = m_allocator.Submit(request, [this, id](const SlotResult& result) {
    if (Complete(id, kLocal, result)) return;
    const auto* grant = std::get_if<SlotGrant>(&result);
    if (grant != nullptr) m_allocator.Release(*grant, SlotOutcome::kCancelled, Milliseconds(0));
  });
  std::lock_guard lock(m_mutex);
  const auto found = m_pending.find(id);
  if (found != m_pending.end()) found->second.ticket = ticket;
}

/// Delivers the answer of a queue to the request that waits for it.
/// @returns false when the request was cancelled or sent to another queue.
bool SlotRouter::Complete(std::uint64_t id, std::uint64_t link, const SlotResult& result) {
  SlotCallback done;
  SlotResult answer = result;
  {
    std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(id);
    if (found == m_pending.end() || found->second.link != link) return false;
    done = std::move(found->second.done);
    m_pending.erase(found);
    if (auto* grant = std::get_if<SlotGrant>(&answer)) {
      m_grants[++m_last_id] = {.link = link, .grant = *grant};
      grant->id = m_last_id;
    }
  }
  done(answer);
  return true;
}

void SlotRouter::Cancel(std::uint64_t id) {
  PendingRequest pending;
  {
    std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) return;
    pending = std::move(found->second);
    m_pending.erase(found);
  }
  const bool remote = pending.link != kLocal && pending.link != kRouting;
  if (remote) m_peers->Send(pending.link, CancelAcquire{id});
  if (!remote && pending.ticket.valid()) m_allocator.Cancel(pending.ticket);
  pending.done(Reason{ResultCode::kNotRunCancelled, "cancelled"});
}

void SlotRouter::Release(const SlotGrant& grant, SlotOutcome outcome, Milliseconds run_time) {
  RoutedGrant routed;
  {
    std::lock_guard lock(m_mutex);
    const auto found = m_grants.find(grant.id);
    if (found == m_grants.end()) return;
    routed = std::move(found->second);
    m_grants.erase(found);
  }
  if (routed.link == kLocal) return m_allocator.Release(routed.grant, outcome, run_time);
  // If the connection is lost, the peer has already released the grant.
  m_peers->Send(routed.link, endivewood::Release{routed.grant.id, outcome, run_time});
}

void SlotRouter::Stop() {
  m_allocator.Stop();
  std::vector<std::uint64_t> waiting;
  {
    std::lock_guard lock(m_mutex);
    for (const auto& [id, pending] : m_pending) waiting.push_back(id);
  }
  for (const std::uint64_t id : waiting) Cancel(id);
}

/// Chooses another holder for the requests that wait for an answer on a connection.
void SlotRouter::Reroute(std::uint64_t link, bool withdraw) {
  if (link == kLocal) return;
  std::vector<std::uint64_t> moved;
  {
    std::lock_guard lock(m_mutex);
    for (auto& [id, pending] : m_pending) {
      if (pending.link != link) continue;
      pending.link = kRouting;
      moved.push_back(id);
    }
    m_stats.rerouted += moved.size();
  }
  for (const std::uint64_t id : moved) {
    if (withdraw) m_peers->Send(link, CancelAcquire{id});
    Route(id);
  }
}

// Requests and connections of peers.

void SlotRouter::OnMessage(std::uint64_t link, const PeerMessage& message) {
  if (const auto* acquire = std::get_if<endivewood::Acquire>(&message)) OnAcquire(link, *acquire);
  if (const auto* grant = std::get_if<Grant>(&message)) OnGrant(link, *grant);
  if (const auto* refuse = std::get_if<Refuse>(&message)) OnRefuse(link, *refuse);
  if (const auto* cancel = std::get_if<CancelAcquire>(&message)) {
    OnCancel({.link = link, .request = cancel->request});
  }
  if (const auto* release = std::get_if<endivewood::Release>(&message)) OnRelease(link, *release);
  if (const auto* request = std::get_if<CheckpointRequest>(&message)) {
    OnCheckpoint(link, request->grant);
  }
}

void SlotRouter::OnTransition(const PeerTransition& transition) {
  if (transition.to == PeerState::kAlive) return;
  Reroute(m_peers->LinkTo(transition.name), true);
}

void SlotRouter::OnClosed(std::uint64_t link) {
  Reroute(link, false);
  std::vector<SlotTicket> waiting;
  std::vector<SlotGrant> freed;
  {
    std::lock_guard lock(m_mutex);
    std::erase_if(m_peer_requests, [&](const auto& item) {
      if (item.first.link != link) return false;
      waiting.push_back(item.second);
      return true;
    });
    std::erase_if(m_peer_grants, [&](const auto& item) {
      if (item.second.link != link) return false;
      freed.push_back(item.second.grant);
      return true;
    });
    m_stats.freed += freed.size();
  }
  // A ticket that is still invalid belongs to a Submit that has not returned. ReplyToPeer won't
  // find its request any more and releases the grant.
  for (const SlotTicket& ticket : waiting) m_allocator.Cancel(ticket);
  for (const SlotGrant& grant : freed) {
    m_allocator.Release(grant, SlotOutcome::kCancelled, Milliseconds(0));
  }
}

void SlotRouter::OnAcquire(std::uint64_t link, const struct Acquire& message) {
  const PeerRequestKey key{.link = link, .request = message.request};
  {
    std::unique_lock lock(m_mutex);
    const auto same_link = [&](const auto& item) { return item.first.link == link; };
    const auto waiting = std::ranges::count_if(m_peer_requests, same_link);
    if (static_cast<std::size_t>(waiting) >= config::kMaxRemoteAcquires) {
      lock.unlock();
      m_peers->Send(link,
                    Refuse{message.request, {ResultCode::kNotRunOverload, "the queue is full"}});
      return;
    }
    if (!m_peer_requests.emplace(key, SlotTicket{}).second) return;
    ++m_stats.served;
  }
  const SlotTicket ticket = m_allocator.Submit(
      message.slot, [this, key](const SlotResult& result) { ReplyToPeer(key, result); });
  std::lock_guard lock(m_mutex);
  const auto found = m_peer_requests.find(key);
  if (found != m_peer_requests.end()) found->second = ticket;
}

void SlotRouter::ReplyToPeer(const PeerRequestKey& key, const SlotResult& result) {
  const auto* grant = std::get_if<SlotGrant>(&result);
  bool waits = false;
  {
    std::lock_guard lock(m_mutex);
    waits = m_peer_requests.erase(key) > 0;
    if (waits && grant != nullptr) m_peer_grants[grant->id] = {.link = key.link, .grant = *grant};
  }
  if (!waits) {
    if (grant != nullptr) m_allocator.Release(*grant, SlotOutcome::kCancelled, Milliseconds(0));
    return;
  }
  if (grant != nullptr) {
    m_peers->Send(key.link, Grant{key.request, *grant});
  } else {
    m_peers->Send(key.link, Refuse{key.request, std::get<Reason>(result)});
  }
}

void SlotRouter::OnCancel(const PeerRequestKey& key) {
  SlotTicket ticket;
  {
    std::lock_guard lock(m_mutex);
    const auto found = m_peer_requests.find(key);
    if (found == m_peer_requests.end()) return;
    ticket = found->second;
    m_peer_requests.erase(found);
  }
  m_allocator.Cancel(ticket);
}

void SlotRouter::OnRelease(std::uint64_t link, const struct Release& message) {
  SlotGrant grant;
  {
    std::lock_guard lock(m_mutex);
    const auto found = m_peer_grants.find(message.grant);
    if (found == m_peer_grants.end() || found->second.link != link) return;
    grant = found->second.grant;
    m_peer_grants.erase(found);
  }
  m_allocator.Release(grant, message.outcome, message.run_time);
}

void SlotRouter::OnGrant(std::uint64_t link, const Grant& message) {
  if (Complete(message.request, link, message.grant)) return;
  // The request was cancelled or went to another holder.
  m_peers->Send(link, endivewood::Release{message.grant.id, SlotOutcome::kCancelled});
}

void SlotRouter::OnRefuse(std::uint64_t link, const Refuse& message) {
  const bool elsewhere = message.reason.code == ResultCode::kNotRunStopping ||
                         message.reason.code == ResultCode::kUnknownService;
  if (!elsewhere) {
    Complete(message.request, link, message.reason);
    return;
  }
  const std::string holder = m_peers->PeerOf(link);
  {
    std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(message.request);
    if (found == m_pending.end() || found->second.link != link) return;
    found->second.refused.push_back(holder);
    found->second.link = kRouting;
    ++m_stats.rerouted;
  }
  Route(message.request);
}

void SlotRouter::OnCheckpoint(std::uint64_t link, std::uint64_t grant) {
  SlotGrant own;
  {
    std::lock_guard lock(m_mutex);
    const auto found = std::ranges::find_if(m_grants, [&](const auto& item) {
      return item.second.link == link && item.second.grant.id == grant;
    });
    if (found == m_grants.end()) return;
    own = found->second.grant;
    own.id = found->first;
  }
  if (m_options.on_checkpoint) m_options.on_checkpoint(own);
}

void SlotRouter::Checkpoint(const SlotGrant& grant) {
  std::uint64_t link = kLocal;
  {
    std::lock_guard lock(m_mutex);
    const auto found = m_peer_grants.find(grant.id);
    if (found != m_peer_grants.end()) link = found->second.link;
  }
  if (link == kLocal) return OnCheckpoint(kLocal, grant.id);
  m_peers->Send(link, CheckpointRequest{grant.id});
}

}  // namespace endivewood
