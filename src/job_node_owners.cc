/// @file
/// Which instance holds each partition, as known from the group's member list or from peers.
#include <iterator>

#include "config.h"
#include "job_node.h"
#include "member_name.h"

namespace endivewood {

void JobNode::RefreshOwners(Milliseconds now) {
  const Milliseconds interval(m_member ? config::kOwnersIntervalMs
                                       : config::kStandbyOwnersIntervalMs);
  const bool due = m_owners_refresh_requested
                       ? m_owners_requested_at + Milliseconds(config::kForwardRetryMs) <= now
                       : m_owners_requested_at + interval <= now;
  if (!due || m_owners_in_flight) return;
  m_owners_in_flight = true;
  m_owners_refresh_requested = false;
  m_owners_requested_at = now;
  CallStore(ListOwners{.group = m_options.names.group}, Milliseconds(config::kStoreTimeoutMs),
            [this](const StoreReply& reply) {
              m_owners_in_flight = false;
              OnOwners(reply);
              ScheduleTick(Milliseconds{0});
            });
}

void JobNode::OnOwners(const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    // Without a first list the instance can't decide whether to join.
    if (!m_holder_capacities) m_owners_refresh_requested = true;
    return;
  }
  std::map<int, Endpoint> owners;
  std::map<std::string, int> capacities;
  for (const PartitionOwner& owner : reply.owners) {
    if (owner.partition.topic != m_options.names.job_topic) continue;
    const auto endpoint = EndpointOfMember(owner.member);
    if (!endpoint) continue;
    owners[owner.partition.number] = *endpoint;
    capacities[owner.member] = CapacityOfMember(owner.member);
  }
  m_holder_capacities = std::move(capacities);
  SetCarriers(reply.owners);
  SetOwners(std::move(owners), m_membership.generation());
}

void JobNode::AskPeersForOwners(Milliseconds now) {
  const bool store_silent = now - m_last_store_answer > Milliseconds(config::kStoreUnreachableMs);
  if (!store_silent || m_owners.empty()) return;
  if (now - m_peers_asked_at < Milliseconds(config::kAskPeersIntervalMs)) return;
  m_peers_asked_at = now;
  std::set<Endpoint> peers;
  for (const auto& [partition, endpoint] : m_owners) {
    if (endpoint != m_options.peer_endpoint) peers.insert(endpoint);
  }
  if (peers.empty()) return;
  const auto peer =
      std::next(peers.begin(), static_cast<std::ptrdiff_t>(m_next_peer++ % peers.size()));
  m_link->Call(*peer, OwnersCall{}, Milliseconds(config::kLinkTimeoutMs),
               [this](const NodeOutcome& outcome) {
                 if (!outcome.reply || outcome.reply->generation <= m_owners_generation) return;
                 std::map<int, Endpoint> owners;
                 for (const KnownOwner& owner : outcome.reply->owners) {
                   owners[owner.partition] = owner.endpoint;
                 }
                 SetOwners(std::move(owners), outcome.reply->generation);
                 ScheduleTick(Milliseconds{0});
               });
}

void JobNode::SetOwners(std::map<int, Endpoint> owners, std::uint64_t generation) {
  m_owners = std::move(owners);
  m_owners_generation = generation;
  for (auto& [partition, term] : m_terms) {
    const auto owner = m_owners.find(partition);
    const bool other = owner != m_owners.end() && owner->second != m_options.peer_endpoint;
    // A holder that can't reach the store learns from its peers that the partition was reassigned.
    if (other && generation > GenerationOfEpoch(term->options().epoch) &&
        !m_membership.IsConfirmed(m_clock->Now())) {
      term->End("another holder is known to a peer");
    }
  }
}

}  // namespace endivewood
