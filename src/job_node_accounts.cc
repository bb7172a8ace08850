/// @file
/// Shares of the accounts' limits: the ledger on the holder of partition 0, and the calls to it.
#include "config_accounts.h"
#include "events.h"
#include "job_node.h"

namespace endivewood {
namespace {

constexpr int kLedgerPartition = 0;

}  // namespace

void JobNode::UpdateLedger() {
  const auto found = m_terms.find(kLedgerPartition);
  const bool held = found != m_terms.end() && found->second->active();
  if (!held || found->second != m_ledger_term) {
    m_ledger.reset();
    m_ledger_term.reset();
  }
  if (!held || m_ledger || !m_catalog) return;
  m_ledger_term = found->second;
  m_ledger = std::make_unique<AccountLedger>(m_ledger_term->scheduler().metadata());
  m_ledger->SetAccounts(m_catalog->accounts);
}

void JobNode::AnswerShare(const ShareCall& call, const Answer& answer) {
  UpdateLedger();
  if (!m_ledger) {
    answer({.status = NodeStatus::kNotHolder});
    return;
  }
  auto result = m_ledger->Handle(call, m_clock->Now());
  if (!result) {
    answer({.status = NodeStatus::kRefused});
    return;
  }
  std::uint64_t change = 0;
  for (const KeyedRecord& record : m_ledger->TakeRecords()) {
    change = m_ledger_term->scheduler().PutMetadata(record.key, record.value, result->after_store);
  }
  NodeReply reply{.status = NodeStatus::kOk};
  reply.shares = std::move(result->reply);
  if (!result->after_store) {
    answer(std::move(reply));
    return;
  }
  m_ledger_term->WhenDurable(change, [answer, reply = std::move(reply)](bool stored) {
    answer(stored ? reply : NodeReply{.status = NodeStatus::kUncertain});
  });
  ScheduleTick(Milliseconds{0});
}

void JobNode::SendShareCall(const Term& term, Milliseconds now) {
  const auto call = term->scheduler().TakeShareCall(now);
  if (!call) return;
  const std::uint64_t sequence = call->sequence;
  if (m_terms.count(kLedgerPartition) > 0) {
    AnswerShare(*call, [this, term, sequence](const NodeReply& reply) {
      OnShareReply(term, sequence, reply, "local");
    });
    return;
  }
  const auto owner = m_owners.find(kLedgerPartition);
  if (owner == m_owners.end() || owner->second == m_options.peer_endpoint) {
    m_owners_refresh_requested = true;
    OnShareReply(term, sequence, std::nullopt, "no-holder");
    return;
  }
  m_link->Call(owner->second, *call, Milliseconds(config::kShareCallTimeoutMs),
               [this, term, sequence](const NodeOutcome& outcome) {
                 OnShareReply(term, sequence, outcome.reply,
                              outcome.sent ? "no-answer" : "unreachable");
               });
}

void JobNode::OnShareReply(const Term& term, std::uint64_t sequence,
                           const std::optional<NodeReply>& reply, const char* cause) {
  if (!term->active()) return;
  const Milliseconds now = m_clock->Now();
  if (reply && reply->status == NodeStatus::kOk) {
    term->scheduler().OnShareReply(reply->shares, now);
  } else {
    term->scheduler().OnShareCallFailed(sequence, now);
    const bool other_holder = reply && reply->status == NodeStatus::kNotHolder;
    if (!reply || other_holder) m_owners_refresh_requested = true;
    if (now - m_share_failure_reported >= Milliseconds(config::kLimitReportMs)) {
      m_share_failure_reported = now;
      LogEvent(Event::kShareCallFailed, {{"partition", term->options().partition.number},
                                         {"sequence", sequence},
                                         {"cause", reply ? NodeStatusName(reply->status) : cause}});
    }
  }
  ScheduleTick(Milliseconds{0});
}

}  // namespace endivewood
