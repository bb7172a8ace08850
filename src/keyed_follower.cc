/// @file
/// Full reads and incremental reads of a keyed topic.
#include "keyed_follower.h"

#include <algorithm>
#include <utility>

#include "config.h"

namespace endivewood {

std::optional<StoreCall> KeyedFollower::TakeCall(Milliseconds now) {
  if (m_read || now < m_next) return std::nullopt;
  m_read = Flight{.from = m_offset, .sent_at = now};
  if (m_loading && m_after_key.empty()) m_first_page_sent_at = now;
  if (m_loading) return ReadNewest{.partition = m_options.partition, .after_key = m_after_key};
  return ReadKeyed{.partition = m_options.partition, .from = m_offset, .wait = m_options.wait};
}

Milliseconds KeyedFollower::OverdueAt() const {
  if (!m_read || m_options.max_delay.count() == 0) return Milliseconds::max();
  return std::max(m_read->sent_at + m_options.wait, m_check_sent_at) + m_options.max_delay;
}

std::optional<StoreCall> KeyedFollower::TakeCheck(Milliseconds now) {
  if (m_loading || m_check || now < m_next_check) return std::nullopt;
  if (!m_check_requested && now < OverdueAt()) return std::nullopt;
  m_check_requested = false;
  m_check_sent_at = now;
  m_check = Flight{.from = m_offset, .sent_at = now};
  return ReadKeyed{.partition = m_options.partition, .from = m_offset, .wait = Milliseconds{0}};
}

Milliseconds KeyedFollower::NextDue() const {
  Milliseconds due = m_read ? Milliseconds::max() : m_next;
  if (m_loading || m_check) return due;
  if (m_check_requested) due = std::min(due, m_next_check);
  due = std::min(due, OverdueAt());
  return due;
}

void KeyedFollower::Reload() {
  m_loading = true;
  m_after_key.clear();
  m_first_page_end.reset();
  m_loading_records.clear();
  m_next = Milliseconds{0};
  if (m_read) m_read->obsolete = true;
  if (m_check) m_check->obsolete = true;
}

void KeyedFollower::Restart() {
  Reload();
  m_loaded = false;
  m_records.clear();
  m_current_at.reset();
}

bool KeyedFollower::OnReply(const StoreReply& reply, Milliseconds now) {
  const Flight read = *std::exchange(m_read, std::nullopt);
  m_next = std::max(now, read.sent_at + m_options.min_interval);
  return OnAnswer(read, reply, now, &m_next);
}

bool KeyedFollower::OnCheckReply(const StoreReply& reply, Milliseconds now) {
  const Flight check = *std::exchange(m_check, std::nullopt);
  m_next_check = check.sent_at + Milliseconds(config::kConfigCheckIntervalMs);
  return OnAnswer(check, reply, now, &m_next_check);
}

/// @param next when the next read of this kind is due; set when it has to be later than usual.
bool KeyedFollower::OnAnswer(const Flight& read, const StoreReply& reply, Milliseconds now,
                             Milliseconds* next) {
  if (read.obsolete) return false;
  if (reply.status == StoreStatus::kExpired) {
    Reload();
    return false;
  }
  const Milliseconds retry_at = now + Milliseconds(config::kStoreRetryMs);
  if (reply.status != StoreStatus::kOk) {
    *next = retry_at;
    return false;
  }
  m_log_end = reply.end;
  if (m_loading) return OnPage(reply, now);
  if (reply.end < read.from + reply.records.size()) {
    // The log can't end before what has been read from it.
    Reload();
    m_next = retry_at;
    return false;
  }
  return OnChanges(read, reply);
}

bool KeyedFollower::OnPage(const StoreReply& reply, Milliseconds now) {
  if (reply.more && (reply.records.empty() || reply.records.back().key == m_after_key)) {
    // The next page can't be asked for, and the pages so far aren't all records.
    Reload();
    m_next = now + Milliseconds(config::kStoreRetryMs);
    return false;
  }
  // The pages aren't one consistent snapshot, so changes are read from the first page's end offset.
  if (!m_first_page_end) m_first_page_end = reply.end;
  for (const KeyedRecord& record : reply.records) m_loading_records[record.key] = record.value;
  m_next = now;
  if (reply.more) {
    m_after_key = reply.records.back().key;
    return false;
  }
  m_offset = *m_first_page_end;
  m_loading = false;
  m_current_at = m_first_page_sent_at;
  m_next = now + m_options.min_interval;
  const bool changed = !m_loaded || m_records != m_loading_records;
  m_loaded = true;
  m_records = std::exchange(m_loading_records, {});
  return changed;
}

bool KeyedFollower::OnChanges(const Flight& read, const StoreReply& reply) {
  // A read and a check that were in flight together bring the same records.
  const std::uint64_t known = m_offset - read.from;
  for (std::uint64_t at = known; at < reply.records.size(); ++at) {
    const KeyedRecord& record = reply.records[at];
    if (record.value.empty()) {
      m_records.erase(record.key);
    } else {
      m_records[record.key] = record.value;
    }
  }
  m_offset = std::max(m_offset, read.from + reply.records.size());
  if (m_offset >= reply.end)
    m_current_at = std::max(read.sent_at, m_current_at.value_or(read.sent_at));
  return reply.records.size() > known;
}

}  // namespace endivewood
