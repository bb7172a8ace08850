/// @file
/// Sending of orders to upstreams, directly or through carriers, and carrying those of other
/// holders.
#include <utility>

#include "config.h"
#include "events.h"
#include "job_node.h"
#include "member_name.h"

namespace endivewood {
namespace {

constexpr int kPlannerPartition = 0;

const UpstreamId& UpstreamOf(const UpstreamOrder& order) {
  return std::visit([](const auto& each) -> const UpstreamId& { return each.upstream; }, order);
}

std::uint64_t FencingTokenOf(const UpstreamOrder& order) {
  return std::visit([](const auto& each) { return each.target.fencing_token; }, order);
}

/// @returns the time in which the upstream should have answered.
Milliseconds TimeoutOf(const UpstreamOrder& order) {
  const auto* const renew = std::get_if<RenewOrder>(&order);
  if (renew == nullptr) return Milliseconds(config::kOrderTimeoutMs);
  return renew->wait + Milliseconds(config::kRenewTimeoutMs);
}

CarryReply ReplyOf(OrderOutcome outcome) {
  return {.carrier_clock = 0, .order = {.outcome = outcome}, .renew = {.outcome = outcome}};
}

OrderOutcome OutcomeOf(const UpstreamOrder& order, const CarryReply& reply) {
  return std::holds_alternative<RenewOrder>(order) ? reply.renew.outcome : reply.order.outcome;
}

}  // namespace

/// Checked right before an order is sent: the process may have been paused since it was decided.
bool JobNode::MaySend(const UpstreamOrder& order) const {
  const HolderRights rights = RightsAt(m_clock->Now());
  if (std::holds_alternative<StartOrder>(order)) return rights.start;
  const auto* const renew = std::get_if<RenewOrder>(&order);
  return renew == nullptr || !renew->lease_until || rights.extend;
}

void JobNode::SendOrders(const Term& term) {
  JobScheduler& scheduler = term->scheduler();
  for (const UpstreamOrder& order : scheduler.TakeOrders()) {
    const auto session = scheduler.sessions().find(UpstreamOf(order));
    if (session != scheduler.sessions().end()) SendOrder(term, session->second.entry, order);
  }
  SendBatches();
}

void JobNode::SendOrder(const Term& term, const UpstreamEntry& upstream,
                        const UpstreamOrder& order) {
  if (!MaySend(order)) {
    OnOrderReply(term, order, ReplyOf(OrderOutcome::kNotSent));
    return;
  }
  if (m_uses_carriers) {
    if (const auto carrier = m_carriers.CarrierFor(upstream, m_clock->Now())) {
      AddToBatch(term, *carrier, upstream, order);
      return;
    }
  }
  const std::uint64_t token = FencingTokenOf(order);
  if (const auto* renew = std::get_if<RenewOrder>(&order)) {
    m_callbacks.send_renew(upstream.endpoint, token, *renew, TimeoutOf(order),
                           [this, term, order](RenewReply reply) {
                             OnOrderReply(term, order, {.renew = std::move(reply)});
                           });
  } else {
    m_callbacks.send_order(upstream.endpoint, token, order, TimeoutOf(order),
                           [this, term, order](const OrderReply& reply) {
                             OnOrderReply(term, order, {.order = reply, .renew = {}});
                           });
  }
}

void JobNode::OnOrderReply(const Term& term, const UpstreamOrder& order, const CarryReply& reply) {
  const WorkTimes::Scope scope(&m_work, m_clock, WorkPart::kUpstreamReplies);
  const Milliseconds now = m_clock->Now();
  JobScheduler& scheduler = term->scheduler();
  if (const auto* start = std::get_if<StartOrder>(&order)) {
    scheduler.OnStarted(*start, reply.order, now);
  } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
    scheduler.OnStopped(*stop, reply.order, now);
  } else if (const auto* pace = std::get_if<PaceOrder>(&order)) {
    scheduler.OnPaced(*pace, reply.order, now);
  } else if (const auto* renew = std::get_if<RenewOrder>(&order)) {
    scheduler.OnRenewed(*renew, reply.renew, now);
  }
  ScheduleTick(Milliseconds(config::kNodeTickDelayMs));
}

void JobNode::AddToBatch(const Term& term, const Endpoint& carrier, const UpstreamEntry& upstream,
                         const UpstreamOrder& order) {
  const auto done = [this, term, order, carrier](const NodeOutcome& outcome) {
    const Milliseconds now = m_clock->Now();
    CarryReply reply = ReplyOf(outcome.sent ? OrderOutcome::kNoAnswer : OrderOutcome::kNotSent);
    if (outcome.carried) {
      reply = *outcome.carried;
      m_carriers.OnReply(carrier, reply.carrier_clock, now);
    } else {
      m_carriers.OnNoReply(carrier, outcome.sent, now);
    }
    const OrderOutcome result = OutcomeOf(order, reply);
    if (result == OrderOutcome::kNoAnswer || result == OrderOutcome::kNotSent) {
      m_carriers.OnUpstreamSilent(UpstreamOf(order), now);
    }
    OnOrderReply(term, order, reply);
  };
  m_batches[carrier].push_back(
      {.order = {.upstream = upstream.endpoint,
                 .fencing_token = FencingTokenOf(order),
                 .order = order,
                 .valid_until = m_carriers.ValidUntil(carrier, m_clock->Now())},
       .timeout = TimeoutOf(order) + Milliseconds(config::kCarryMarginMs),
       .done = done});
}

void JobNode::SendBatches() {
  for (auto& [carrier, items] : std::exchange(m_batches, {})) {
    m_link->Carry(carrier, std::move(items));
  }
}

void JobNode::SetCarriers(const std::vector<PartitionOwner>& owners) {
  std::set<int> busy = {kPlannerPartition};
  if (m_catalog) {
    for (const CatalogService& service : m_catalog->services) {
      busy.insert(PartitionOf(service.name, m_options.partitions));
    }
  }
  std::map<Endpoint, CarrierInfo> carriers;
  for (const PartitionOwner& owner : owners) {
    const auto endpoint = EndpointOfMember(owner.member);
    if (!endpoint || *endpoint == m_options.peer_endpoint) continue;
    if (owner.partition.topic != m_options.names.job_topic) continue;
    CarrierInfo& info = carriers[*endpoint];
    info.endpoint = *endpoint;
    info.data_centre = DataCentreOfMember(owner.member);
    info.busy = info.busy || busy.count(owner.partition.number) > 0;
  }
  std::vector<CarrierInfo> list;
  list.reserve(carriers.size());
  for (const auto& [endpoint, info] : carriers) list.push_back(info);
  m_carriers.SetCarriers(list);
}

void JobNode::UpdateCarriers(Milliseconds now) {
  std::size_t upstreams = 0;
  for (const auto& [partition, term] : m_terms) {
    if (term->active()) upstreams += term->scheduler().sessions().size();
  }
  const bool needed = CarrierChoice::NeedsCarriers(upstreams, m_options.capacity);
  if (needed != m_uses_carriers) {
    LogEvent(Event::kCarriersChanged,
             {{"in_use", needed}, {"upstreams", upstreams}, {"known", m_carriers.known()}});
  }
  m_uses_carriers = needed;
  if (!needed) return;
  for (const Endpoint& carrier : m_carriers.TakeProbes(now)) {
    m_link->Probe(carrier, Milliseconds(config::kLinkTimeoutMs),
                  [this, carrier](const NodeOutcome& outcome) {
                    const Milliseconds answered = m_clock->Now();
                    if (outcome.carried) {
                      m_carriers.OnReply(carrier, outcome.carried->carrier_clock, answered);
                    } else {
                      m_carriers.OnNoReply(carrier, outcome.sent, answered);
                    }
                  });
  }
}

void JobNode::CarryOrders(const CarryBatch& batch, const NodeLink::CarryResponder& respond) {
  const std::int64_t clock = m_clock->Now().count();
  if (batch.probe_id != 0) respond(batch.probe_id, {.carrier_clock = clock});
  const bool too_many = batch.orders.size() > config::kMaxCarriedOrders;
  std::size_t refused = 0;
  for (const CarriedOrder& order : batch.orders) {
    if (!too_many && MayCarry(order, m_clock->Now())) {
      CarryOrder(order, respond);
      continue;
    }
    ++refused;
    CarryReply reply = ReplyOf(OrderOutcome::kNotSent);
    reply.carrier_clock = clock;
    respond(order.id, reply);
  }
  if (refused == 0) return;
  LogEvent(Event::kCarryRefused, {{"orders", batch.orders.size()},
                                  {"refused", refused},
                                  {"cause", too_many ? "too-many" : "late"}});
}

void JobNode::CarryOrder(const CarriedOrder& order, const NodeLink::CarryResponder& respond) {
  const auto clock = [this] { return m_clock->Now().count(); };
  if (const auto* renew = std::get_if<RenewOrder>(&order.order)) {
    m_callbacks.send_renew(order.upstream, order.fencing_token, *renew, TimeoutOf(order.order),
                           [clock, respond, id = order.id](RenewReply reply) {
                             respond(id, {.carrier_clock = clock(), .renew = std::move(reply)});
                           });
  } else {
    m_callbacks.send_order(order.upstream, order.fencing_token, order.order, TimeoutOf(order.order),
                           [clock, respond, id = order.id](const OrderReply& reply) {
                             respond(id, {.carrier_clock = clock(), .order = reply, .renew = {}});
                           });
  }
}

}  // namespace endivewood
