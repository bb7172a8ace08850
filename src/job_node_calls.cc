/// @file
/// Handling of calls from callers and other instances: forwarding, and answers as a holder.
#include <algorithm>

#include "config.h"
#include "events.h"
#include "job_node.h"

namespace endivewood {

/// A call that is being sent to the holder of its partition.
struct JobNode::Forwarding {
  NodeCall call;
  Answer answer;
  int partition = 0;
  Milliseconds started{0};
  Milliseconds deadline{0};
  int attempts = 0;
  bool uncertain = false;  ///< An earlier attempt may have been executed.
  bool in_flight = false;  ///< An attempt has no answer yet.
  bool answered = false;
};

void JobNode::Handle(const NodeCall& call, Milliseconds timeout, Answer answer) {
  auto forwarding = std::make_shared<Forwarding>();
  forwarding->call = call;
  forwarding->answer = std::move(answer);
  forwarding->partition = PartitionOf(ServiceOf(call), m_options.partitions);
  forwarding->started = m_clock->Now();
  forwarding->deadline = forwarding->started + timeout;
  m_loop->After(timeout, [this, forwarding] {
    if (forwarding->answered) return;
    // An attempt without an answer may still be executed after the deadline.
    const bool unknown = forwarding->uncertain || forwarding->in_flight;
    NodeReply reply{.status = unknown ? NodeStatus::kUncertain : NodeStatus::kUnavailable};
    reply.reason = "deadline";
    Finish(forwarding, std::move(reply));
  });
  Attempt(forwarding);
}

void JobNode::Finish(const std::shared_ptr<Forwarding>& forwarding, NodeReply reply) {
  if (forwarding->answered) return;
  forwarding->answered = true;
  const bool planner = std::holds_alternative<DemandCall>(forwarding->call) ||
                       std::holds_alternative<ReleaseCall>(forwarding->call);
  if (!planner) {
    LogEvent(Event::kCallAnswered, {RequestField(RequestIdOf(forwarding->call)),
                                    {"call", CallName(forwarding->call)},
                                    {"service", ServiceOf(forwarding->call)},
                                    {"status", NodeStatusName(reply.status)},
                                    {"reason", reply.reason},
                                    {"tries", forwarding->attempts},
                                    {"took_ms", m_clock->Now() - forwarding->started},
                                    {"config_version", m_catalog ? m_catalog->version : 0},
                                    {"generation", m_membership.generation()}});
  }
  forwarding->answer(std::move(reply));
}

void JobNode::RetryOrFail(const std::shared_ptr<Forwarding>& forwarding, const char* cause) {
  const Milliseconds now = m_clock->Now();
  m_owners_refresh_requested = true;
  ScheduleTick(Milliseconds{0});
  LogEvent(Event::kCallForwardFailed, {RequestField(RequestIdOf(forwarding->call)),
                                       {"call", CallName(forwarding->call)},
                                       {"partition", forwarding->partition},
                                       {"tries", forwarding->attempts},
                                       {"cause", cause}});
  const bool submit = std::holds_alternative<SubmitCall>(forwarding->call);
  const bool may_retry = now - forwarding->started < Milliseconds(config::kHolderWaitMs);
  if (submit && !forwarding->uncertain && !may_retry) {
    NodeReply reply{.status = NodeStatus::kUnavailable};
    reply.retry_after = Milliseconds(config::kFailoverRetryMs);
    reply.reason = cause;
    Finish(forwarding, std::move(reply));
    return;
  }
  m_loop->After(Milliseconds(config::kForwardRetryMs), [this, forwarding] {
    if (!forwarding->answered) Attempt(forwarding);
  });
}

void JobNode::Attempt(const std::shared_ptr<Forwarding>& forwarding) {
  ++forwarding->attempts;
  const auto on_reply = [this, forwarding](const NodeReply& reply) {
    if (forwarding->answered) return;
    forwarding->in_flight = false;
    if (reply.status == NodeStatus::kNotHolder) {
      RetryOrFail(forwarding, "not-holder");
      return;
    }
    if (reply.status == NodeStatus::kUncertain) {
      forwarding->uncertain = true;
      RetryOrFail(forwarding, "uncertain");
      return;
    }
    const bool rejected =
        reply.status == NodeStatus::kRefused || reply.status == NodeStatus::kUnavailable ||
        reply.status == NodeStatus::kUnauthorized || reply.status == NodeStatus::kForbidden;
    if (rejected && forwarding->uncertain) {
      // An earlier attempt may have been stored, so the refusal may not hold.
      RetryOrFail(forwarding, "refused-after-uncertain");
      return;
    }
    Finish(forwarding, reply);
  };
  if (m_terms.count(forwarding->partition) > 0) {
    forwarding->in_flight = true;
    AnswerLocally(forwarding->call, on_reply);
    return;
  }
  const auto owner = m_owners.find(forwarding->partition);
  if (owner == m_owners.end() || owner->second == m_options.peer_endpoint) {
    RetryOrFail(forwarding, "no-holder");
    return;
  }
  const Milliseconds left = forwarding->deadline - m_clock->Now();
  const Milliseconds timeout =
      std::max(Milliseconds{1}, std::min(left, Milliseconds(config::kForwardTimeoutMs)));
  forwarding->in_flight = true;
  m_link->Call(owner->second, forwarding->call, timeout,
               [this, forwarding, on_reply](const NodeOutcome& outcome) {
                 if (outcome.reply) {
                   on_reply(*outcome.reply);
                   return;
                 }
                 if (forwarding->answered) return;
                 forwarding->in_flight = false;
                 forwarding->uncertain = forwarding->uncertain || outcome.sent;
                 RetryOrFail(forwarding, outcome.sent ? "no-answer" : "unreachable");
               });
}

void JobNode::AnswerHandover(const HandoverCall& call, const Answer& answer) {
  NodeReply reply{.status = NodeStatus::kOk};
  // A different member name belongs to an earlier incarnation of this process, which has exited, or
  // to an earlier membership, whose terms have ended.
  if (call.member == m_membership.options().member) {
    const auto term = m_terms.find(call.partition);
    if (term != m_terms.end() && term->second->options().epoch >= call.epoch) {
      // The request was delayed in transit: its sender has been replaced by this term.
      LogEvent(Event::kHandoverIgnored, {{"partition", call.partition},
                                         {"epoch", term->second->options().epoch},
                                         {"asked_by_epoch", call.epoch}});
      answer({.status = NodeStatus::kUnavailable});
      return;
    }
    if (term != m_terms.end()) term->second->End("handed over");
  }
  reply.recent_orders = m_instance_orders.RecentAt(m_clock->Now());
  ScheduleTick(Milliseconds{0});
  answer(std::move(reply));
}

NodeReply JobNode::CheckCaller(const NodeCall& call, const JobScheduler& scheduler) const {
  return std::visit(
      [&](const auto& each) -> NodeReply {
        if constexpr (requires { each.credential; }) {
          QueueName queue;
          std::optional<JobOrigin> job;
          if constexpr (requires { each.spec; }) {
            queue = each.spec.queue;
            job = scheduler.OriginOf(each.spec.id);
          } else {
            queue = each.queue;
          }
          if constexpr (requires { each.job; }) job = scheduler.OriginOf(each.job);
          switch (VerifyCredential(m_catalog.get(), queue, each.credential)) {
            case CredentialVerdict::kAccepted:
              break;
            case CredentialVerdict::kWithdrawn:
              return {.status = NodeStatus::kUnauthorized, .reason = "withdrawn-key"};
            case CredentialVerdict::kSenderOutdated:
              return {.status = NodeStatus::kUnavailable,
                      .retry_after = Milliseconds(config::kFailoverRetryMs),
                      .reason = "sender-outdated"};
          }
          if (!job || MayAccess(*job, queue, each.credential.account)) {
            return {.status = NodeStatus::kOk};
          }
          return {.status = NodeStatus::kForbidden, .reason = "job-of-another-account"};
        } else {
          return {.status = NodeStatus::kOk};
        }
      },
      call);
}

void JobNode::AnswerLocally(const NodeCall& call, Answer answer) {
  const WorkTimes::Scope scope(&m_work, m_clock, WorkPart::kCalls);
  if (const auto* handover = std::get_if<HandoverCall>(&call)) {
    AnswerHandover(*handover, answer);
    return;
  }
  if (const auto* share = std::get_if<ShareCall>(&call)) {
    AnswerShare(*share, answer);
    return;
  }
  if (std::holds_alternative<OwnersCall>(call)) {
    NodeReply known{.status = NodeStatus::kOk};
    for (const auto& [owned, endpoint] : m_owners) {
      known.owners.push_back({.partition = owned, .endpoint = endpoint});
    }
    known.generation = m_owners_generation;
    answer(std::move(known));
    return;
  }
  const int partition = PartitionOf(ServiceOf(call), m_options.partitions);
  const auto found = m_terms.find(partition);
  if (found == m_terms.end() || !found->second->active()) {
    answer({.status = NodeStatus::kNotHolder});
    return;
  }
  const std::shared_ptr<PartitionTerm> term = found->second;
  const JobScheduler& scheduler = term->scheduler();
  NodeReply reply = CheckCaller(call, scheduler);
  if (reply.status != NodeStatus::kOk) {
    answer(std::move(reply));
    return;
  }
  if (const auto* find = std::get_if<FindJobCall>(&call)) {
    answer(AnswerFindJob(term, *find));
    return;
  }
  if (NeedsLookup(call, scheduler)) {
    BeginLookup(term, call, std::move(answer));
    return;
  }
  AnswerFromScheduler(term, call, std::move(answer));
}

void JobNode::AnswerFromScheduler(const Term& term, const NodeCall& call, Answer answer) {
  JobScheduler& scheduler = term->scheduler();
  const Milliseconds now = m_clock->Now();
  NodeReply reply{.status = NodeStatus::kOk};
  if (const auto* submit = std::get_if<SubmitCall>(&call)) {
    AnswerSubmit(term, *submit, std::move(answer));
    return;
  }
  if (const auto* cancel = std::get_if<CancelCall>(&call)) {
    AnswerCancel(term, *cancel, std::move(answer));
    return;
  }
  if (const auto* status = std::get_if<StatusCall>(&call)) {
    const auto state = scheduler.StateOf(status->job);
    if (state) reply.state = *state;
    // Only a confirmed holder knows that a job doesn't exist; otherwise a newer holder may have it.
    if (!state) {
      reply.status =
          m_membership.IsConfirmed(now) ? NodeStatus::kUnknownJob : NodeStatus::kNotHolder;
    }
  } else if (const auto* demand = std::get_if<DemandCall>(&call)) {
    scheduler.SetPlannedCapacity(demand->service, demand->planned_millicores, now);
    reply.demand = scheduler.Demand(demand->service, now);
  } else if (const auto* release = std::get_if<ReleaseCall>(&call)) {
    // A release is kept in memory only, so a holder that is about to be replaced doesn't grant one.
    if (RightsAt(now).move) {
      reply.release = scheduler.Release(release->upstream, now);
    } else {
      reply.status = NodeStatus::kUnavailable;
    }
    ScheduleTick(Milliseconds{0});
  }
  answer(std::move(reply));
}

/// @returns the refusal of a job that couldn't be stored in time; no value if it can be.
std::optional<NodeReply> JobNode::RefusalOfNewJob(const Term& term, Milliseconds now) const {
  if (!term->IsStoreDelayed(now) && m_membership.IsConfirmed(now)) return std::nullopt;
  NodeReply reply{.status = NodeStatus::kUnavailable};
  reply.retry_after = Milliseconds(config::kFailoverRetryMs);
  reply.reason = "store-delayed";
  return reply;
}

void JobNode::AnswerSubmit(const std::shared_ptr<PartitionTerm>& term, const SubmitCall& call,
                           Answer answer) {
  const Milliseconds now = m_clock->Now();
  const bool known = term->scheduler().StateOf(call.spec.id).has_value();
  if (auto refusal = RefusalOfNewJob(term, now); !known && refusal) {
    answer(std::move(*refusal));
    return;
  }
  const SubmitResult result = term->scheduler().Submit(call.spec, call.policy, now);
  if (result.kind == SubmitResult::Kind::kRefused) {
    NodeReply reply{.status = NodeStatus::kRefused};
    reply.retry_after = result.retry_after;
    reply.reason = result.reason;
    answer(std::move(reply));
    return;
  }
  term->WhenDurable(result.change, [answer = std::move(answer)](bool stored) {
    answer({.status = stored ? NodeStatus::kOk : NodeStatus::kUncertain});
  });
  ScheduleTick(Milliseconds{0});
}

void JobNode::AnswerCancel(const std::shared_ptr<PartitionTerm>& term, const CancelCall& call,
                           Answer answer) {
  const CancelResult change = term->scheduler().Cancel(call.job, m_clock->Now());
  if (!change) {
    const bool sure = m_membership.IsConfirmed(m_clock->Now());
    answer({.status = sure ? NodeStatus::kUnknownJob : NodeStatus::kNotHolder});
    return;
  }
  term->WhenDurable(*change, [answer = std::move(answer)](bool stored) {
    answer({.status = stored ? NodeStatus::kOk : NodeStatus::kUncertain});
  });
  ScheduleTick(Milliseconds{0});
}

}  // namespace endivewood
