/// @file
/// Tracks which peers are alive by their messages and the time. Reads no clock: time is passed in.
#pragma once

#include <endivewood/endivewood.h>

#include <set>

#include "settings.h"

namespace endivewood {

enum class PeerState : std::uint8_t {
  kUnknown = 0,  ///< Configured; has not sent a message yet.
  kAlive,
  kSuspected,  ///< Silent or disconnected; can't hold a queue.
  kDead,       ///< Silent for longer or not listening; closing its connections frees its grants.
  kLeft,       ///< Stopped gracefully.
};

/// @returns "unknown", "alive", "suspected", "dead" or "left".
const char* PeerStateName(PeerState state);

/// The state of one peer.
struct PeerMember {
  std::string name;
  DataCentreName data_centre;
  PeerState state = PeerState::kUnknown;
  Incarnation incarnation;
  std::uint64_t applied = 0;
  Milliseconds last_heard{0};

  bool operator==(const PeerMember&) const = default;
};

/// A change of a peer's state.
struct PeerTransition {
  std::string name;
  PeerState from = PeerState::kUnknown;
  PeerState to = PeerState::kUnknown;

  bool operator==(const PeerTransition&) const = default;
};

/// The peers as one entry sees them. Used only to choose which peer to ask; correctness never
/// depends on it.
class Membership {
 public:
  explicit Membership(const std::vector<PeerSettings>& peers);

  /// Handles a hello or heartbeat. Ignored for an incarnation that left or was replaced.
  std::optional<PeerTransition> OnHeartbeat(const std::string& name, const Incarnation& incarnation,
                                            std::uint64_t applied, Milliseconds now);

  std::optional<PeerTransition> OnLeave(const std::string& name, const Incarnation& incarnation);

  /// Handles the end of the connection on which this incarnation sent its messages.
  std::optional<PeerTransition> OnDisconnect(const std::string& name,
                                             const Incarnation& incarnation);

  /// Handles a refused connection: no process listens at the peer's address.
  std::optional<PeerTransition> OnConnectionRefused(const std::string& name);

  /// Moves peers that have been silent for too long to kSuspected or kDead.
  std::vector<PeerTransition> Tick(Milliseconds now);

  const PeerMember* Find(const std::string& name) const;
  std::vector<PeerMember> Members() const;
  /// @returns the live peers, only those of a data centre when it is valid.
  std::vector<PeerMember> Alive(const DataCentreName& data_centre = {}) const;

 private:
  std::optional<PeerTransition> SetState(PeerMember* member, PeerState to);

  std::map<std::string, PeerMember> m_members;
  std::set<Incarnation> m_ended_incarnations;  ///< Those that left or were replaced.
};

}  // namespace endivewood
