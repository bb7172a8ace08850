/// @file
/// Choice of the instances that carry orders.
#include "order_carrier.h"

#include <algorithm>

#include "config.h"
#include "events.h"
#include "rendezvous.h"

namespace endivewood {

void CarrierChoice::SetCarriers(const std::vector<CarrierInfo>& carriers) {
  std::map<Endpoint, Carrier> kept;
  for (const CarrierInfo& info : carriers) {
    const auto known = m_carriers.find(info.endpoint);
    Carrier carrier = known == m_carriers.end() ? Carrier{} : known->second;
    carrier.info = info;
    kept.emplace(info.endpoint, std::move(carrier));
  }
  m_carriers = std::move(kept);
  m_assignments.clear();
}

bool CarrierChoice::NeedsCarriers(std::size_t upstreams, const InstanceCapacity& capacity) {
  const auto count = static_cast<std::int64_t>(upstreams);
  const bool processor = capacity.cpu_millicores > 0 &&
                         count * config::kMillicoresPerUpstream > capacity.cpu_millicores;
  const bool link =
      capacity.link_mbps > 0 && count > capacity.link_mbps * config::kUpstreamsPerMbps;
  return processor || link;
}

bool CarrierChoice::IsUsable(const Carrier& carrier, Milliseconds now) {
  return carrier.clock.known() && carrier.avoid_until <= now &&
         now < carrier.answered_at + Milliseconds(config::kCarrierSilenceMs);
}

std::vector<Endpoint> CarrierChoice::TakeProbes(Milliseconds now) {
  std::erase_if(m_bypass_until, [&](const auto& bypass) { return bypass.second <= now; });
  std::erase_if(m_assignments, [&](const auto& each) { return each.second.until <= now; });
  std::vector<Endpoint> due;
  for (auto& [endpoint, carrier] : m_carriers) {
    if (carrier.next_probe > now) continue;
    carrier.next_probe = now + Milliseconds(config::kCarrierProbeMs);
    due.push_back(endpoint);
  }
  return due;
}

std::optional<Endpoint> CarrierChoice::CarrierFor(const UpstreamEntry& upstream, Milliseconds now) {
  const auto bypass = m_bypass_until.find(upstream.id);
  if (bypass != m_bypass_until.end() && bypass->second > now) return std::nullopt;
  const auto assigned = m_assignments.find(upstream.id);
  if (assigned != m_assignments.end() && assigned->second.until > now) {
    const auto carrier = m_carriers.find(assigned->second.carrier);
    if (carrier != m_carriers.end() && IsUsable(carrier->second, now)) return carrier->first;
  }
  auto best = BestFor(upstream, now);
  if (best) {
    m_assignments[upstream.id] = {.carrier = *best,
                                  .until = now + Milliseconds(config::kCarrierAssignmentMs)};
  }
  return best;
}

std::optional<Endpoint> CarrierChoice::BestFor(const UpstreamEntry& upstream,
                                               Milliseconds now) const {
  // Idle carriers before busy ones, and those of the same data centre before the others.
  int best_rank = 0;
  std::vector<std::string> names;
  std::map<std::string, Endpoint> by_name;
  for (const auto& [endpoint, carrier] : m_carriers) {
    if (!IsUsable(carrier, now)) continue;
    const int rank =
        (carrier.info.busy ? 2 : 0) + (carrier.info.data_centre == upstream.data_centre ? 0 : 1);
    if (!names.empty() && rank > best_rank) continue;
    if (rank < best_rank) names.clear();
    best_rank = rank;
    names.push_back(endpoint.str());
    by_name[names.back()] = endpoint;
  }
  if (names.empty()) return std::nullopt;
  return by_name.at(RendezvousRank(upstream.id.str(), names).front());
}

std::int64_t CarrierChoice::ValidUntil(const Endpoint& carrier, Milliseconds now) const {
  const auto found = m_carriers.find(carrier);
  if (found == m_carriers.end()) return 0;
  return found->second.clock.LowerBoundAt(now) + config::kCarryValidMs;
}

void CarrierChoice::OnReply(const Endpoint& carrier, std::int64_t carrier_clock, Milliseconds now) {
  const auto found = m_carriers.find(carrier);
  if (found == m_carriers.end()) return;
  Carrier& state = found->second;
  // A process that started again counts from zero.
  if (carrier_clock < state.clock.LowerBoundAt(now) - config::kMaxCarrierLagMs) {
    state.clock = RemoteClock();
  }
  state.clock.Observe(carrier_clock, now);
  state.answered_at = now;
}

void CarrierChoice::OnNoReply(const Endpoint& carrier, bool sent, Milliseconds now) {
  const auto found = m_carriers.find(carrier);
  if (found == m_carriers.end()) return;
  Carrier& state = found->second;
  if (sent && now < state.answered_at + Milliseconds(config::kLinkTimeoutMs)) return;
  if (state.avoid_until <= now) {
    LogEvent(Event::kCarrierLost, {{"peer", carrier}, {"silent_ms", now - state.answered_at}});
  }
  state.avoid_until = now + Milliseconds(config::kCarrierAvoidMs);
  state.clock = RemoteClock();
}

void CarrierChoice::OnUpstreamSilent(const UpstreamId& upstream, Milliseconds now) {
  m_bypass_until[upstream] = now + Milliseconds(config::kCarrierBypassMs);
}

bool MayCarry(const CarriedOrder& order, Milliseconds carrier_now) {
  const std::int64_t left = order.valid_until - carrier_now.count();
  // A time far ahead was read from the clock of an earlier process at the same address.
  return left >= 0 && left <= config::kCarryValidMs + config::kMaxCarrierLagMs;
}

int CarrierChoice::usable(Milliseconds now) const {
  return static_cast<int>(
      std::count_if(m_carriers.begin(), m_carriers.end(),
                    [&](const auto& carrier) { return IsUsable(carrier.second, now); }));
}

}  // namespace endivewood
