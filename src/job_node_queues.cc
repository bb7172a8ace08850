/// @file
/// Calls about jobs that the holder of their queue's partition doesn't have: a version of the
/// configuration may have sent the queue to another service since they were accepted.
#include <algorithm>

#include "config.h"
#include "events.h"
#include "job_node.h"

namespace endivewood {
namespace {

/// @returns the queue and the service of a caller's call; no value for a call between instances.
std::optional<QueueService> QueueServiceOf(const NodeCall& call) {
  return std::visit(
      [](const auto& each) -> std::optional<QueueService> {
        if constexpr (requires { each.spec; }) {
          return QueueService{.queue = each.spec.queue, .service = each.spec.service};
        } else if constexpr (requires { each.credential; }) {
          return QueueService{.queue = each.queue, .service = each.service};
        } else {
          return std::nullopt;
        }
      },
      call);
}

std::uint64_t ConfigVersionOf(const NodeCall& call) {
  return std::visit(
      [](const auto& each) -> std::uint64_t {
        if constexpr (requires { each.credential; }) {
          return each.credential.config_version;
        } else {
          return 0;
        }
      },
      call);
}

/// @returns the call for another service.
NodeCall ForService(NodeCall call, const ServiceName& service) {
  std::visit(
      [&](auto& each) {
        if constexpr (requires { each.spec; }) {
          each.spec.service = service;
        } else {
          each.service = service;
        }
      },
      call);
  return call;
}

}  // namespace

/// A caller's call that waits for the answers of other services' holders.
struct JobNode::Lookup {
  Term term;
  NodeCall call;
  QueueService own;
  JobId job;  ///< Invalid if the call is about the whole queue.
  Answer answer;
  Milliseconds started{0};
  std::size_t unanswered = 0;
  std::optional<ServiceName> found;  ///< Whose holder has the job.
  std::uint64_t pending = 0;         ///< Sum of the other holders' answers.
  /// Another holder was told that the job isn't here, and may have accepted it since it was asked.
  bool outdated = false;
  bool finished = false;
};

void JobNode::RunQueueServices(const Term& term, Milliseconds now) {
  const auto call = term->queue_services().TakeCall(now);
  if (!call) return;
  CallStore(*call, Milliseconds(config::kStoreTimeoutMs), [this, term](const StoreReply& reply) {
    term->queue_services().OnReply(reply, m_clock->Now());
    ScheduleTick(Milliseconds{0});
  });
}

bool JobNode::NeedsLookup(const NodeCall& call, const JobScheduler& scheduler) {
  if (!QueueServiceOf(call)) return false;
  return std::holds_alternative<PendingCall>(call) || !scheduler.StateOf(JobId(RequestIdOf(call)));
}

void JobNode::BeginLookup(const Term& term, const NodeCall& call, Answer answer) {
  auto lookup = std::make_shared<Lookup>();
  lookup->term = term;
  lookup->call = call;
  lookup->own = *QueueServiceOf(call);
  lookup->job = JobId(RequestIdOf(call));
  lookup->answer = std::move(answer);
  lookup->started = m_clock->Now();
  if (std::holds_alternative<SubmitCall>(call)) {
    if (auto refusal = RefusalOfNewJob(term, lookup->started)) {
      lookup->answer(std::move(*refusal));
      return;
    }
    if (ForwardSubmit(*lookup)) return;
  }
  m_lookups.emplace(lookup->job, lookup);
  m_loop->After(Milliseconds(config::kJobLookupTimeoutMs), [this, lookup] {
    if (!lookup->finished) FailLookup(lookup, "timeout");
  });
  term->queue_services().WhenRegistered(lookup->own, [this, lookup](bool registered) {
    if (lookup->finished) return;
    if (registered) {
      AskOtherServices(lookup);
    } else {
      FailLookup(lookup, "term-ended");
    }
  });
  if (!lookup->finished) ScheduleTick(Milliseconds{0});
}

/// Passes a submission on to the service to which a configuration newer than the sender's sends the
/// queue. @returns whether it did.
bool JobNode::ForwardSubmit(const Lookup& lookup) {
  auto submit = std::get<SubmitCall>(lookup.call);
  if (!m_catalog || m_catalog->version <= submit.credential.config_version) return false;
  const Queue* const queue = m_catalog->QueueOfName(lookup.own.queue);
  if (queue == nullptr || !queue->service.valid()) return false;
  if (queue->service == lookup.own.service) return false;
  submit.spec.service = queue->service;
  submit.policy = queue->policy;
  submit.credential.config_version = m_catalog->version;
  LogEvent(Event::kJobFoundElsewhere, {RequestField(lookup.job.str()),
                                       {"queue", lookup.own.queue},
                                       {"service", lookup.own.service},
                                       {"other", queue->service},
                                       {"cause", "newer-configuration"},
                                       {"config_version", m_catalog->version}});
  Handle(submit, Milliseconds(config::kForwardTimeoutMs), lookup.answer);
  return true;
}

void JobNode::AskOtherServices(const std::shared_ptr<Lookup>& lookup) {
  const std::uint64_t version = m_catalog ? m_catalog->version : 0;
  // By a newer configuration than this holder's, a retired service may be in use again.
  const bool include_retired = ConfigVersionOf(lookup->call) > version;
  std::set<ServiceName> others =
      lookup->term->queue_services().OthersOf(lookup->own, include_retired);
  const int partition = lookup->term->options().partition.number;
  std::erase_if(others, [&](const ServiceName& other) {
    return PartitionOf(other, m_options.partitions) == partition;
  });
  lookup->outdated = false;
  lookup->pending = 0;
  lookup->unanswered = others.size();
  if (others.empty()) {
    FinishLookup(lookup);
    return;
  }
  for (const ServiceName& other : others) {
    const FindJobCall find{.service = other,
                           .queue = lookup->own.queue,
                           .job = lookup->job,
                           .for_service = lookup->own.service,
                           .config_version = version};
    Handle(find, Milliseconds(config::kJobLookupTimeoutMs),
           [this, lookup, other](const NodeReply& reply) { OnFindReply(lookup, other, reply); });
  }
}

void JobNode::OnFindReply(const std::shared_ptr<Lookup>& lookup, const ServiceName& other,
                          const NodeReply& reply) {
  if (lookup->finished) return;
  if (reply.status != NodeStatus::kOk && reply.status != NodeStatus::kUnknownJob) {
    FailLookup(lookup, NodeStatusName(reply.status));
    return;
  }
  lookup->pending += reply.pending;
  if (reply.queue_retired) {
    lookup->term->queue_services().Retire({.queue = lookup->own.queue, .service = other});
  }
  if (reply.status == NodeStatus::kOk) lookup->found = other;
  if (--lookup->unanswered == 0 || lookup->found) FinishLookup(lookup);
}

void JobNode::EndLookup(const std::shared_ptr<Lookup>& lookup) {
  lookup->finished = true;
  const auto [begin, end] = m_lookups.equal_range(lookup->job);
  const auto position =
      std::find_if(begin, end, [&](const auto& entry) { return entry.second == lookup; });
  if (position != end) m_lookups.erase(position);
}

void JobNode::FinishLookup(const std::shared_ptr<Lookup>& lookup) {
  if (lookup->found) {
    EndLookup(lookup);
    LogEvent(Event::kJobFoundElsewhere, {RequestField(lookup->job.str()),
                                         {"queue", lookup->own.queue},
                                         {"service", lookup->own.service},
                                         {"other", *lookup->found},
                                         {"cause", "has-the-job"},
                                         {"call", CallName(lookup->call)}});
    Handle(ForService(lookup->call, *lookup->found), Milliseconds(config::kForwardTimeoutMs),
           lookup->answer);
    return;
  }
  if (lookup->outdated) {
    AskOtherServices(lookup);
    return;
  }
  EndLookup(lookup);
  if (!lookup->term->active()) {
    lookup->answer({.status = NodeStatus::kNotHolder});
    return;
  }
  if (std::holds_alternative<PendingCall>(lookup->call)) {
    NodeReply reply{.status = NodeStatus::kOk};
    reply.pending = lookup->pending + lookup->term->scheduler().Pending(lookup->own.queue);
    lookup->answer(std::move(reply));
    return;
  }
  AnswerFromScheduler(lookup->term, lookup->call, lookup->answer);
}

/// Answers that nothing was done: a submission is refused, another call is repeated until its
/// deadline.
void JobNode::FailLookup(const std::shared_ptr<Lookup>& lookup, const char* cause) {
  EndLookup(lookup);
  LogEvent(Event::kJobLookupFailed, {RequestField(lookup->job.str()),
                                     {"call", CallName(lookup->call)},
                                     {"queue", lookup->own.queue},
                                     {"service", lookup->own.service},
                                     {"cause", cause},
                                     {"unanswered", lookup->unanswered},
                                     {"took_ms", m_clock->Now() - lookup->started}});
  NodeReply reply{.status = NodeStatus::kNotHolder};
  if (std::holds_alternative<SubmitCall>(lookup->call)) {
    reply.status = NodeStatus::kUnavailable;
    reply.retry_after = Milliseconds(config::kFailoverRetryMs);
    reply.reason = "job-lookup";
  }
  lookup->answer(std::move(reply));
}

NodeReply JobNode::AnswerFindJob(const Term& term, const FindJobCall& call) {
  const Milliseconds now = m_clock->Now();
  // Only a confirmed holder knows that a job doesn't exist; otherwise a newer holder may have it.
  if (!m_membership.IsConfirmed(now)) return {.status = NodeStatus::kNotHolder};
  JobScheduler& scheduler = term->scheduler();
  term->queue_services().Add({.queue = call.queue, .service = call.for_service});
  NodeReply reply{.status = NodeStatus::kUnknownJob};
  if (!call.job.valid()) {
    reply.pending = scheduler.Pending(call.queue);
    return reply;
  }
  if (scheduler.StateOf(call.job)) {
    reply.status = NodeStatus::kOk;
    return reply;
  }
  // Both holders may be about to accept the job. The one with the lower partition goes first.
  const int own = term->options().partition.number;
  const bool goes_first = own < PartitionOf(call.for_service, m_options.partitions);
  const auto [begin, end] = m_lookups.equal_range(call.job);
  for (auto it = begin; it != end; ++it) {
    Lookup& lookup = *it->second;
    if (lookup.term != term || !std::holds_alternative<SubmitCall>(lookup.call)) continue;
    if (goes_first) return {.status = NodeStatus::kNotHolder};
    lookup.outdated = true;
  }
  const Queue* const queue = m_catalog && m_catalog->version >= call.config_version
                                 ? m_catalog->QueueOfName(call.queue)
                                 : nullptr;
  const bool elsewhere =
      queue != nullptr && queue->service.valid() && queue->service != call.service;
  reply.queue_retired = elsewhere && !scheduler.HasJobsOf(call.queue, now);
  return reply;
}

}  // namespace endivewood
