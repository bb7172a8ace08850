/// @file
/// Registration of services for queues, and the record of each.
#include "queue_services.h"

#include <algorithm>
#include <utility>

#include "codec.h"
#include "config.h"
#include "events.h"

ENDIVEWOOD_CODEC(endivewood::QueueService, v.queue, v.service)

namespace endivewood {
namespace {

/// Not contained in the names of queues and services.
constexpr char kKeySeparator = '\n';

KeyedRecord RecordOf(const QueueService& each) {
  return {.key = each.queue.str() + kKeySeparator + each.service.str(), .value = Pack(each)};
}

}  // namespace

void QueueServices::Register(const QueueService& own) {
  if (m_registered.count(own) == 0) m_wanted.insert(own);
}

void QueueServices::WhenRegistered(const QueueService& own, std::function<void(bool)> done) {
  if (m_registered.count(own) > 0) {
    done(true);
    return;
  }
  Register(own);
  m_waiters.push_back({.own = own, .done = std::move(done)});
}

void QueueServices::Add(const QueueService& other) {
  m_retired.erase(other);
  m_known.insert(other);
}

std::set<ServiceName> QueueServices::OthersOf(const QueueService& own, bool include_retired) const {
  std::set<ServiceName> others;
  // The entries of a queue are in one range of the set.
  for (auto it = m_known.lower_bound({.queue = own.queue, .service = ServiceName()});
       it != m_known.end() && it->queue == own.queue; ++it) {
    if (it->service == own.service) continue;
    if (include_retired || m_retired.count(*it) == 0) others.insert(it->service);
  }
  return others;
}

Milliseconds QueueServices::NextDue() const {
  return m_in_flight || m_wanted.empty() ? Milliseconds::max() : m_retry_at;
}

std::optional<StoreCall> QueueServices::TakeCall(Milliseconds now) {
  if (now < NextDue()) return std::nullopt;
  m_in_flight = true;
  if (m_after_key.empty() && m_topic_read) {
    for (const QueueService& each : m_wanted) {
      if (m_appended.size() == config::kMaxBatchRecords) break;
      if (m_stored.count(each) == 0) m_appended.push_back(each);
    }
  }
  if (!m_appended.empty()) {
    AppendKeyed append{.partition = m_options.partition,
                       .producer = m_options.producer,
                       .epoch = m_options.epoch,
                       .sequence = m_options.epoch * config::kAppendsPerEpoch + m_appends};
    for (const QueueService& each : m_appended) append.records.push_back(RecordOf(each));
    return append;
  }
  if (m_after_key.empty()) {
    m_read_for = m_wanted;
    m_stored_before_read = m_stored;
  }
  return ReadNewest{.partition = m_options.partition, .after_key = m_after_key};
}

void QueueServices::OnReply(const StoreReply& reply, Milliseconds now) {
  m_in_flight = false;
  if (m_appended.empty()) {
    OnRead(reply, now);
  } else {
    OnAppended(reply, now);
  }
}

void QueueServices::OnAppended(const StoreReply& reply, Milliseconds now) {
  const std::uint64_t next = m_options.epoch * config::kAppendsPerEpoch + m_appends + 1;
  const bool repeated =
      reply.status == StoreStatus::kOutOfSequence && reply.expected_sequence == next;
  if (reply.status != StoreStatus::kOk && !repeated) {
    // The append is repeated with the same sequence number and content.
    m_retry_at = now + Milliseconds(config::kStoreRetryMs);
    return;
  }
  ++m_appends;
  m_stored.insert(m_appended.begin(), m_appended.end());
  m_appended.clear();
}

void QueueServices::OnRead(const StoreReply& reply, Milliseconds now) {
  // Without the topic there are no records; the first append creates it.
  const bool no_topic = reply.status == StoreStatus::kInvalid && !m_topic_read;
  const bool next_page_unknown =
      reply.more && (reply.records.empty() || reply.records.back().key == m_after_key);
  if ((reply.status != StoreStatus::kOk && !no_topic) || next_page_unknown) {
    m_retry_at = now + Milliseconds(config::kStoreRetryMs);
    return;
  }
  for (const KeyedRecord& record : reply.records) {
    const auto each = Unpack<QueueService>(record.value);
    if (each) {
      m_known.insert(*each);
      if (m_read_for.count(*each) > 0) m_stored.insert(*each);
    } else {
      LogEvent(Event::kMalformedRecord, {{"key", record.key}, {"cause", "queue-service"}});
    }
  }
  if (reply.more) {
    m_after_key = reply.records.back().key;
    return;
  }
  const bool snapshot = m_after_key.empty();
  m_after_key.clear();
  m_topic_read = true;
  FinishRead(snapshot);
}

/// Registers the services that were stored when the other ones were read, or before.
void QueueServices::FinishRead(bool snapshot) {
  const std::set<QueueService>& stored = snapshot ? m_stored : m_stored_before_read;
  for (const QueueService& each : std::exchange(m_read_for, {})) {
    if (stored.count(each) == 0) continue;
    m_registered.insert(each);
    m_wanted.erase(each);
    LogEvent(Event::kQueueServiceRegistered, {{"queue", each.queue},
                                              {"service", each.service},
                                              {"epoch", m_options.epoch},
                                              {"others", OthersOf(each, true).size()}});
  }
  std::vector<Waiter> ready;
  std::erase_if(m_waiters, [&](Waiter& waiter) {
    const bool registered = m_registered.count(waiter.own) > 0;
    if (registered) ready.push_back(std::move(waiter));
    return registered;
  });
  for (const Waiter& waiter : ready) waiter.done(true);
}

void QueueServices::End() {
  m_wanted.clear();
  const std::deque<Waiter> waiters = std::exchange(m_waiters, {});
  for (const Waiter& waiter : waiters) waiter.done(false);
}

}  // namespace endivewood
