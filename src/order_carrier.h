/// @file
/// Sending orders to upstreams through other instances. The holder of a large pool decides alone,
/// but its processor and link can't carry a call for each start, end and renewal of hundreds of
/// upstreams: other instances make these calls for it. A carrier keeps no state; fencing tokens,
/// run numbers and leases mean the same whoever makes the call.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "holder_choice.h"
#include "upstream_session.h"

namespace endivewood {

/// An order that another instance is to send.
struct CarriedOrder {
  std::uint64_t id = 0;  ///< Of the reply; unique on one connection.
  Endpoint upstream;
  std::uint64_t fencing_token = 0;
  UpstreamOrder order;
  /// The carrier's clock up to which it may send the order.
  std::int64_t valid_until = 0;
};

/// Orders for one carrier. An empty batch asks for the carrier's clock.
struct CarryBatch {
  std::uint64_t probe_id = 0;  ///< Id of the reply to the batch itself; 0: none is wanted.
  std::vector<CarriedOrder> orders;
};

/// Answer to one order, or to a batch's probe.
struct CarryReply {
  std::int64_t carrier_clock = 0;  ///< Milliseconds.
  OrderReply order;                ///< Answer to a start, stop or pace order.
  RenewReply renew;                ///< Answer to a renew order.
};

/// An instance that can carry orders.
struct CarrierInfo {
  Endpoint endpoint;
  DataCentreName data_centre;
  /// Holds a partition with work of its own; used only if there is no other.
  bool busy = false;

  bool operator==(const CarrierInfo&) const = default;
};

/// Chooses the carrier for each upstream. Does no I/O: replies and the time are passed in.
class CarrierChoice {
 public:
  /// Replaces the instances that can carry. What is known of those that stay is kept.
  void SetCarriers(const std::vector<CarrierInfo>& carriers);

  /// @param upstreams number of upstreams whose orders this instance sends.
  /// @returns whether that is more than it should do by itself.
  static bool NeedsCarriers(std::size_t upstreams, const InstanceCapacity& capacity);

  /// @returns the carriers whose clock must be asked for now. A carrier is used only while its
  /// clock is known, so an instance that stopped answering isn't.
  std::vector<Endpoint> TakeProbes(Milliseconds now);

  /// Chooses a carrier in the upstream's data centre, if there is one, by the upstream's name, so
  /// that its connections are reused.
  /// @returns no value if the holder must send the order itself.
  std::optional<Endpoint> CarrierFor(const UpstreamEntry& upstream, Milliseconds now);

  /// @returns the time by the carrier's clock up to which an order that is decided now may be sent.
  std::int64_t ValidUntil(const Endpoint& carrier, Milliseconds now) const;

  void OnReply(const Endpoint& carrier, std::int64_t carrier_clock, Milliseconds now);
  /// Call when a carrier didn't answer an order. Unless it has answered others meanwhile, it isn't
  /// used for kCarrierAvoidMs.
  /// @param sent whether the order may have reached the carrier.
  void OnNoReply(const Endpoint& carrier, bool sent, Milliseconds now);
  /// Call when a carrier had no answer of an upstream. The holder sends the upstream's orders
  /// itself for kCarrierBypassMs, since its own path may work.
  void OnUpstreamSilent(const UpstreamId& upstream, Milliseconds now);

  /// @returns how many carriers can be used.
  int usable(Milliseconds now) const;
  std::size_t known() const { return m_carriers.size(); }

 private:
  struct Carrier {
    CarrierInfo info;
    RemoteClock clock;
    Milliseconds answered_at{0};
    Milliseconds avoid_until{0};
    Milliseconds next_probe{0};
  };

  struct Assignment {
    Endpoint carrier;
    Milliseconds until{0};
  };

  static bool IsUsable(const Carrier& carrier, Milliseconds now);
  std::optional<Endpoint> BestFor(const UpstreamEntry& upstream, Milliseconds now) const;

  std::map<Endpoint, Carrier> m_carriers;
  std::map<UpstreamId, Milliseconds> m_bypass_until;
  std::map<UpstreamId, Assignment> m_assignments;  ///< Results of BestFor, to be reused.
};

/// @returns whether a carrier may still send an order by its own clock. An order that waited in a
/// paused process, or on the way to it, may be one that its sender has no right to give any more.
bool MayCarry(const CarriedOrder& order, Milliseconds carrier_now);

}  // namespace endivewood
