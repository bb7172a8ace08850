/// @file
/// Full reads and incremental reads of a keyed topic.
#include "keyed_follower.h"

#include <algorithm>
#include <utility>

#include "config.h"

namespace endivewood {

std::optional<StoreCall> KeyedFollower::TakeCall(Milliseconds now) {
  if (m_in_flight || now < m_next) return std::nullopt;
  m_in_flight = true;
  m_obsolete = false;
  m_sent_at = now;
  if (m_loading && m_after_key.empty()) m_first_page_sent_at = now;
  if (m_loading) return ReadNewest{.partition = m_options.partition, .after_key = m_after_key};
  return ReadKeyed{.partition = m_options.partition, .from = m_offset, .wait = m_options.wait};
}

void KeyedFollower::Reload() {
  m_loading = true;
  m_after_key.clear();
  m_first_page_end.reset();
  m_loading_records.clear();
  m_next = Milliseconds{0};
  m_obsolete = m_in_flight;
}

void KeyedFollower::Restart() {
  Reload();
  m_loaded = false;
  m_records.clear();
  m_current_at.reset();
}

bool KeyedFollower::OnReply(const StoreReply& reply, Milliseconds now) {
  m_in_flight = false;
  if (m_obsolete) return false;
  if (reply.status == StoreStatus::kExpired) {
    Reload();
    return false;
  }
  if (reply.status != StoreStatus::kOk) {
    m_next = now + Milliseconds(config::kStoreRetryMs);
    return false;
  }
  m_log_end = reply.end;
  if (m_loading) return OnPage(reply, now);
  if (reply.end < m_offset + reply.records.size()) {
    // The log can't end before what has been read from it.
    Reload();
    m_next = now + Milliseconds(config::kStoreRetryMs);
    return false;
  }
  return OnChanges(reply, now);
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

bool KeyedFollower::OnChanges(const StoreReply& reply, Milliseconds now) {
  m_offset += reply.records.size();
  for (const KeyedRecord& record : reply.records) {
    if (record.value.empty()) {
      m_records.erase(record.key);
    } else {
      m_records[record.key] = record.value;
    }
  }
  if (m_offset >= reply.end) m_current_at = m_sent_at;
  m_next = std::max(now, m_sent_at + m_options.min_interval);
  return !reply.records.empty();
}

}  // namespace endivewood
