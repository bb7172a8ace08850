/// @file
/// Which peers are alive, from what was heard of them and the time. Pure: time is passed in.
#pragma once

#include <endivewood/endivewood.h>

#include <set>

#include "settings.h"

namespace endivewood {

enum class PeerState : std::uint8_t {
  kUnknown = 0,  ///< Configured, never heard.
  kAlive,
  kSuspected,  ///< Silent or disconnected; holds no queue.
  kDead,       ///< Silent for so long that its connections are closed, which frees its grants.
  kLeft,       ///< Stopped gracefully.
};

/// @returns "unknown", "alive", "suspected", "dead" or "left".
const char* PeerStateName(PeerState state);

/// What is known about one peer.
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

/// The membership that one entry sees. Advisory: it decides whom to ask, never what is true.
class Membership {
 public:
  explicit Membership(const std::vector<PeerSettings>& peers);

  /// A hello or heartbeat. Ignored for an incarnation that left or was replaced.
  std::optional<PeerTransition> Heard(const std::string& name, const Incarnation& incarnation,
                                      std::uint64_t applied, Milliseconds now);

  std::optional<PeerTransition> Left(const std::string& name, const Incarnation& incarnation);

  /// The connection over which this incarnation was heard has ended.
  std::optional<PeerTransition> Disconnected(const std::string& name,
                                             const Incarnation& incarnation);

  /// The peer's address refuses connections: no process listens there.
  std::optional<PeerTransition> Refused(const std::string& name);

  /// Suspects and gives up peers that have been silent for too long.
  std::vector<PeerTransition> Tick(Milliseconds now);

  const PeerMember* Find(const std::string& name) const;
  std::vector<PeerMember> Members() const;
  /// @returns the live peers, of one data centre when it is valid.
  std::vector<PeerMember> Alive(const DataCentreName& data_centre = {}) const;

 private:
  std::optional<PeerTransition> Move(PeerMember* member, PeerState to);

  std::map<std::string, PeerMember> m_members;
  std::set<Incarnation> m_ended;
};

}  // namespace endivewood
