/// @file
/// Tracks which peers are alive.
#include "membership.h"

#include "config.h"

namespace endivewood {

const char* PeerStateName(PeerState state) {
  switch (state) {
    case PeerState::kUnknown:
      return "unknown";
    case PeerState::kAlive:
      return "alive";
    case PeerState::kSuspected:
      return "suspected";
    case PeerState::kDead:
      return "dead";
    case PeerState::kLeft:
      return "left";
  }
  return "unlisted";
}

Membership::Membership(const std::vector<PeerSettings>& peers) {
  for (const PeerSettings& peer : peers) {
    m_members[peer.name] = {.name = peer.name, .data_centre = peer.data_centre};
  }
}

std::optional<PeerTransition> Membership::OnHeartbeat(const std::string& name,
                                                      const Incarnation& incarnation,
                                                      std::uint64_t applied, Milliseconds now) {
  const auto found = m_members.find(name);
  if (found == m_members.end() || m_ended_incarnations.contains(incarnation)) return std::nullopt;
  PeerMember& member = found->second;
  if (member.incarnation != incarnation) {
    if (member.incarnation.valid()) m_ended_incarnations.insert(member.incarnation);
    member.incarnation = incarnation;
    member.applied = 0;
  }
  member.applied = std::max(member.applied, applied);
  member.last_heard = now;
  return SetState(&member, PeerState::kAlive);
}

std::optional<PeerTransition> Membership::OnLeave(const std::string& name,
                                                  const Incarnation& incarnation) {
  const auto found = m_members.find(name);
  if (found == m_members.end() || found->second.incarnation != incarnation) return std::nullopt;
  m_ended_incarnations.insert(incarnation);
  return SetState(&found->second, PeerState::kLeft);
}

std::optional<PeerTransition> Membership::OnDisconnect(const std::string& name,
                                                       const Incarnation& incarnation) {
  const auto found = m_members.find(name);
  if (found == m_members.end() || found->second.incarnation != incarnation) return std::nullopt;
  if (found->second.state != PeerState::kAlive) return std::nullopt;
  return SetState(&found->second, PeerState::kSuspected);
}

std::optional<PeerTransition> Membership::OnConnectionRefused(const std::string& name) {
  const auto found = m_members.find(name);
  if (found == m_members.end() || found->second.state != PeerState::kSuspected) return std::nullopt;
  return SetState(&found->second, PeerState::kDead);
}

std::vector<PeerTransition> Membership::Tick(Milliseconds now) {
  std::vector<PeerTransition> transitions;
  for (auto& [name, member] : m_members) {
    const Milliseconds silence = now - member.last_heard;
    std::optional<PeerTransition> transition;
    if (member.state == PeerState::kAlive && silence >= Milliseconds(config::kPeerSuspectMs)) {
      transition = SetState(&member, PeerState::kSuspected);
    }
    if (member.state == PeerState::kSuspected && silence >= Milliseconds(config::kPeerTimeoutMs)) {
      transition = SetState(&member, PeerState::kDead);
    }
    if (transition) transitions.push_back(*transition);
  }
  return transitions;
}

const PeerMember* Membership::Find(const std::string& name) const {
  const auto found = m_members.find(name);
  return found == m_members.end() ? nullptr : &found->second;
}

std::vector<PeerMember> Membership::Members() const {
  std::vector<PeerMember> members;
  for (const auto& [name, member] : m_members) members.push_back(member);
  return members;
}

std::vector<PeerMember> Membership::Alive(const DataCentreName& data_centre) const {
  std::vector<PeerMember> alive;
  for (const auto& [name, member] : m_members) {
    if (member.state != PeerState::kAlive) continue;
    if (!data_centre.valid() || member.data_centre == data_centre) alive.push_back(member);
  }
  return alive;
}

std::optional<PeerTransition> Membership::SetState(PeerMember* member, PeerState to) {
  if (member->state == to) return std::nullopt;
  PeerTransition transition{.name = member->name, .from = member->state, .to = to};
  member->state = to;
  return transition;
}

}  // namespace endivewood
