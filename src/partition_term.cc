/// @file
/// Claiming, loading and storing of one partition.
#include "partition_term.h"

#include <algorithm>
#include <utility>

#include "config.h"
#include "events.h"

namespace endivewood {
namespace {

/// All holders write under one producer name, so that a higher epoch fences earlier holders.
constexpr char kProducer[] = "scheduler";

}  // namespace

PartitionTerm::PartitionTerm(const PartitionTermOptions& options, Milliseconds now)
    : m_options(options),
      m_scheduler(std::make_unique<JobScheduler>(
          SchedulerOptions{.partition = options.partition.number,
                           .epoch = options.epoch,
                           .lease = options.lease,
                           .max_lease = options.max_lease,
                           .drain_notice = options.drain_notice,
                           .max_unanswered_bytes = options.max_unanswered_bytes,
                           .overload = options.overload})),
      m_queue_services({.partition = options.queue_services,
                        .producer = kProducer + std::to_string(options.partition.number),
                        .epoch = options.epoch}),
      m_started(now),
      m_sequence(options.epoch * config::kAppendsPerEpoch) {}

std::optional<StoreCall> PartitionTerm::TakeCall(Milliseconds now) {
  if (m_in_flight || now < NextDue()) return std::nullopt;
  switch (m_state) {
    case State::kClaiming:
      m_in_flight = true;
      return ClaimEpoch{
          .partition = m_options.partition, .producer = kProducer, .epoch = m_options.epoch};
    case State::kLoading:
      m_in_flight = true;
      return ReadNewest{.partition = m_options.partition, .after_key = m_after_key};
    case State::kActive: {
      if (!m_batch) {
        m_batch = m_scheduler->TakeBatch();
        m_batch_since = now;
      }
      if (!m_batch) return std::nullopt;
      m_in_flight = true;
      m_last_append = now;
      return AppendKeyed{.partition = m_options.partition,
                         .producer = kProducer,
                         .epoch = m_options.epoch,
                         .sequence = m_sequence,
                         .records = m_batch->records};
    }
    case State::kEnded:
      break;
  }
  return std::nullopt;
}

Milliseconds PartitionTerm::NextDue() const {
  if (m_in_flight || m_state == State::kEnded) return Milliseconds::max();
  if (m_state != State::kActive || m_batch) return m_retry_at;
  if (!m_scheduler->has_changes()) return Milliseconds::max();
  const std::int64_t spacing = m_scheduler->has_urgent_changes() ? config::kUrgentAppendIntervalMs
                                                                 : config::kAppendIntervalMs;
  return std::max(m_retry_at, m_last_append + Milliseconds(spacing));
}

void PartitionTerm::OnReply(const StoreReply& reply, Milliseconds now, Milliseconds unix_offset) {
  m_in_flight = false;
  if (m_state == State::kEnded) return;
  if (reply.status == StoreStatus::kFenced) {
    End("fenced");
    return;
  }
  if (m_state == State::kActive) {
    OnAppended(reply, now);
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    m_retry_at = now + Milliseconds(config::kStoreRetryMs);
    return;
  }
  if (m_state == State::kClaiming) {
    m_state = State::kLoading;
    LogEvent(Event::kPartitionClaimed, {{"partition", m_options.partition.number},
                                        {"epoch", m_options.epoch},
                                        {"took_ms", now - m_started}});
    return;
  }
  if (reply.more && (reply.records.empty() || reply.records.back().key == m_after_key)) {
    // The next page can't be asked for, and jobs would be missing without it.
    m_retry_at = now + Milliseconds(config::kStoreRetryMs);
    return;
  }
  for (const KeyedRecord& record : reply.records) m_scheduler->Restore(record);
  if (reply.more) {
    m_after_key = reply.records.back().key;
    return;
  }
  const Milliseconds inherited =
      now + Milliseconds(config::kLeadershipGraceMs) + LongestTimeOf(m_options.lease);
  m_scheduler->FinishRestore(now, unix_offset, inherited);
  m_state = State::kActive;
  const auto holder_record = m_scheduler->metadata().find(kHolderRecordKey);
  m_handover.emplace(HandoverOptions{.member = m_options.member,
                                     .partition = m_options.partition.number,
                                     .max_wait = Milliseconds(config::kLeadershipGraceMs)},
                     holder_record == m_scheduler->metadata().end() ? "" : holder_record->second,
                     now);
  m_scheduler->PutMetadata(kHolderRecordKey, m_handover->HolderRecord());
  LogEvent(Event::kPartitionLoaded, {{"partition", m_options.partition.number},
                                     {"epoch", m_options.epoch},
                                     {"jobs", m_scheduler->jobs().size()},
                                     {"results", m_scheduler->results()},
                                     {"upstreams", m_scheduler->sessions().size()},
                                     {"took_ms", now - m_started}});
}

void PartitionTerm::ApplyHandover(Milliseconds now) {
  if (m_handover_applied || !m_handover || !m_handover->settled(now)) return;
  m_handover_applied = true;
  m_scheduler->ShortenInheritedLeases(now + LongestTimeOf(m_options.lease));
  m_scheduler->PutMetadata(kHolderRecordKey, m_options.member);
  LogEvent(Event::kHandoverSettled, {{"partition", m_options.partition.number},
                                     {"epoch", m_options.epoch},
                                     {"took_ms", now - m_started}});
}

void PartitionTerm::OnAppended(const StoreReply& reply, Milliseconds now) {
  const bool repeated =
      reply.status == StoreStatus::kOutOfSequence && reply.expected_sequence == m_sequence + 1;
  if (reply.status == StoreStatus::kOk || repeated) {
    ++m_sequence;
    const std::uint64_t change = m_batch->change;
    LogEvent(Event::kBatchStored, {{"partition", m_options.partition.number},
                                   {"change", change},
                                   {"records", m_batch->records.size()},
                                   {"took_ms", now - m_batch_since}});
    m_batch.reset();
    m_scheduler->OnDurable(change);
    NotifyDurable();
    return;
  }
  if (reply.status == StoreStatus::kOutOfSequence) {
    End("out-of-sequence");
    return;
  }
  LogEvent(Event::kBatchDelayed, {{"partition", m_options.partition.number},
                                  {"change", m_batch->change},
                                  {"status", StoreStatusName(reply.status)},
                                  {"waiting_ms", now - m_batch_since}});
  m_retry_at = now + Milliseconds(config::kStoreRetryMs);
}

void PartitionTerm::WhenDurable(std::uint64_t change, std::function<void(bool)> done) {
  if (m_state == State::kEnded) {
    done(false);
    return;
  }
  if (change <= m_scheduler->durable()) {
    done(true);
    return;
  }
  m_waiters.push_back({.change = change, .done = std::move(done)});
}

void PartitionTerm::NotifyDurable() {
  std::vector<Waiter> ready;
  for (auto it = m_waiters.begin(); it != m_waiters.end();) {
    if (it->change > m_scheduler->durable()) {
      ++it;
      continue;
    }
    ready.push_back(std::move(*it));
    it = m_waiters.erase(it);
  }
  for (const Waiter& waiter : ready) waiter.done(true);
}

bool PartitionTerm::IsStoreDelayed(Milliseconds now) const {
  return m_batch && now - m_batch_since > Milliseconds(config::kStoreDelayedMs);
}

void PartitionTerm::End(const char* cause) {
  if (m_state == State::kEnded) return;
  m_state = State::kEnded;
  LogEvent(
      Event::kPartitionLost,
      {{"partition", m_options.partition.number}, {"epoch", m_options.epoch}, {"cause", cause}});
  const std::deque<Waiter> waiters = std::exchange(m_waiters, {});
  for (const Waiter& waiter : waiters) waiter.done(false);
  m_queue_services.End();
}

}  // namespace endivewood
