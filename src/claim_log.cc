/// @file
/// Appends claims in batches and answers the requests that made them.
#include "claim_log.h"

#include <algorithm>

#include "config.h"

namespace endivewood {
namespace {

constexpr char kStream[] = "claims";
constexpr Milliseconds kPollInterval{50};

std::size_t SizeOf(const ClaimEvent& event) {
  constexpr std::size_t kFixedBytes = 200;
  const auto* result = std::get_if<ResultRecorded>(&event);
  return kFixedBytes + (result == nullptr ? 0 : result->body.size());
}

}  // namespace

bool IsFenceDue(const ClaimsFold& fold, const Incarnation& author, Milliseconds followed_since) {
  const Milliseconds last = std::max(fold.LastHeartbeat(author), followed_since);
  return fold.LogTime() - last > Milliseconds(config::kFenceAfterMs);
}

Milliseconds AppendBudget::TryTake(Milliseconds now) {
  constexpr Milliseconds kInterval{1000 / config::kClaimAppendsPerSecond};
  constexpr Milliseconds kBurst = kInterval * (config::kClaimAppendBurst - 1);
  m_next_append_at = std::max(m_next_append_at, now - kBurst);
  if (m_next_append_at > now) return m_next_append_at - now;
  m_next_append_at += kInterval;
  return Milliseconds(0);
}

ClaimLog::ClaimLog(LogClient client, Clock* clock)
    : m_client(std::move(client)),
      m_clock(clock),
      m_incarnation(RandomHex128()),
      m_follow_thread([this] { Follow(); }),
      m_append_thread([this] { AppendLoop(); }) {}

ClaimLog::~ClaimLog() { Stop(); }

void ClaimLog::Stop() {
  {
    Lock lock(m_mutex);
    if (!m_stopping) Enqueue(IncarnationFenced{.incarnation = m_incarnation});
    m_stopping = true;
    m_queued.notify_all();
    m_changed.notify_all();
  }
  if (m_append_thread.joinable()) m_append_thread.join();
  if (m_follow_thread.joinable()) m_follow_thread.join();
}

ClaimStats ClaimLog::Stats() const {
  Lock lock(m_mutex);
  ClaimStats stats = m_stats;
  stats.keys = m_fold.KeyCount();
  return stats;
}

// Requests.

ClaimAnswer ClaimLog::Claim(const ClaimRequest& request) {
  if (!IsWithinRetention(request.key, m_clock->UnixTime())) return ClaimExpired{};
  Lock lock(m_mutex);
  const Milliseconds end = m_clock->Now() + request.wait;
  while (!m_stopping) {
    if (auto known = KnownAnswer(request)) return *known;
    const KeyView* key = m_fold.Find(request.key);
    const bool held = key != nullptr && key->state == KeyState::kClaimed;
    auto answer = held ? WaitForOwner(request, end, &lock) : MakeClaim(request, &lock);
    if (answer) return *answer;
  }
  return ClaimNotStarted{.cause = "the entry is stopping"};
}

std::optional<ClaimAnswer> ClaimLog::KnownAnswer(const ClaimRequest& request) const {
  const KeyView* key = m_fold.Find(request.key);
  if (key == nullptr) return std::nullopt;
  if (key->caller != request.caller || key->body != request.body) return ClaimMismatch{};
  if (key->state == KeyState::kUnknown) return ClaimEffectUnknown{};
  if (key->state != KeyState::kResolved) return std::nullopt;
  if (key->result_dropped) return ClaimEffectUnknown{};
  return ClaimResolved{.code = key->code, .body = key->result};
}

std::optional<ClaimAnswer> ClaimLog::WaitForOwner(const ClaimRequest& request, Milliseconds end,
                                                  Lock* lock) {
  ++m_waiting_requests;
  Incarnation fenced;
  std::optional<ClaimAnswer> answer;
  while (!m_stopping && !answer) {
    const KeyView* key = m_fold.Find(request.key);
    if (key == nullptr || key->state != KeyState::kClaimed) break;
    const Incarnation author = key->author;
    if (author != m_incarnation && author != fenced &&
        IsFenceDue(m_fold, author, m_followed_since)) {
      fenced = author;
      ++m_stats.fences;
      Enqueue(IncarnationFenced{.incarnation = author});
    }
    if (m_clock->Now() >= end) answer = ClaimInProgress{};
    m_queued.notify_one();
    m_changed.wait_for(*lock, kPollInterval);
  }
  --m_waiting_requests;
  return answer;
}

std::optional<ClaimAnswer> ClaimLog::MakeClaim(const ClaimRequest& request, Lock* lock) {
  if (!m_synced || !m_connected) return ClaimNotStarted{.cause = "platform unreachable"};
  if (m_fold.KeyCount() + m_pending.size() >= config::kMaxClaimKeys) {
    return ClaimNotStarted{.cause = "too many keys within the retention window"};
  }
  // An earlier claim of this key may have expired before this process could read it.
  const Milliseconds earliest = *KeyTime(request.key) - Milliseconds(config::kClaimClockSkewMs);
  if (m_history_from && earliest < *m_history_from) {
    return ClaimNotStarted{.cause = "the key is older than the claims that this entry has read"};
  }
  const ClaimId id(RandomHex128());
  m_pending[id] = {};
  Enqueue(ClaimMade{.id = id, .key = request.key, .caller = request.caller, .body = request.body});
  const Milliseconds end = m_clock->Now() + Milliseconds(config::kClaimTimeoutMs);
  const auto decided = [&] {
    const PendingClaim& pending = m_pending[id];
    return pending.verdict || pending.not_appended || m_stopping;
  };
  while (!decided() && m_clock->Now() < end) m_changed.wait_for(*lock, kPollInterval);
  const PendingClaim pending = m_pending[id];
  m_pending.erase(id);
  if (!pending.verdict) return AbandonClaim(id, request.key);
  switch (*pending.verdict) {
    case ClaimVerdict::kOwned:
      m_unresolved.insert(id);
      return ClaimOwned{.id = id};
    case ClaimVerdict::kMismatch:
      return ClaimMismatch{};
    case ClaimVerdict::kVoidExpired:
      return ClaimExpired{};
    case ClaimVerdict::kAlreadyClaimed:
    case ClaimVerdict::kVoidFenced:
      return std::nullopt;
  }
  return std::nullopt;
}

ClaimAnswer ClaimLog::AbandonClaim(const ClaimId& id, const IdempotencyKey& key) {
  const auto is_claim = [&](const ClaimEvent& event) {
    const auto* claim = std::get_if<ClaimMade>(&event);
    return claim != nullptr && claim->id == id;
  };
  // A claim that was sent may still reach the log; it is then withdrawn.
  const bool never_sent = std::erase_if(m_queue, is_claim) > 0;
  if (!never_sent) m_abandoned[id] = key;
  const Milliseconds now = m_clock->UnixTime() - Milliseconds(config::kClaimClockSkewMs);
  std::erase_if(m_abandoned,
                [&](const auto& item) { return !IsWithinRetention(item.second, now); });
  return ClaimNotStarted{.cause = "the claim was not confirmed in time"};
}

void ClaimLog::Record(const IdempotencyKey& key, const ClaimId& id, ResultCode code,
                      const std::string& body) {
  Lock lock(m_mutex);
  const bool retained = body.size() <= config::kMaxRecordedResultBytes;
  m_unresolved.erase(id);
  Enqueue(ResultRecorded{.id = id,
                         .key = key,
                         .code = retained ? code : ResultCode::kUnknownEffect,
                         .body = retained ? body : "the result was too large to be recorded"});
}

void ClaimLog::Enqueue(ClaimEvent event) {
  m_queue.push_back(std::move(event));
  m_queued.notify_one();
}

// Appends.

bool ClaimLog::HeartbeatDue() const {
  const bool needs_heartbeat = m_waiting_requests > 0 || !m_unresolved.empty();
  return needs_heartbeat &&
         m_clock->Now() - m_last_append >= Milliseconds(config::kAuthorHeartbeatMs);
}

std::vector<ClaimEvent> ClaimLog::TakeBatch() {
  std::vector<ClaimEvent> events;
  std::size_t bytes = 0;
  while (!m_queue.empty() && events.size() < config::kMaxClaimBatch) {
    bytes += SizeOf(m_queue.front());
    if (!events.empty() && bytes > config::kMaxClaimBatchBytes) break;
    events.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
  }
  return events;
}

void ClaimLog::AppendLoop() {
  Lock lock(m_mutex);
  Milliseconds stop_by = Milliseconds::max();
  while (true) {
    const auto due = [&] { return !m_queue.empty() || HeartbeatDue(); };
    if (m_stopping && stop_by == Milliseconds::max()) {
      stop_by = m_clock->Now() + Milliseconds(config::kPlatformTimeoutMs);
    }
    if (m_stopping && (m_queue.empty() || m_clock->Now() > stop_by)) return;
    if (!due()) m_queued.wait_for(lock, kPollInterval);
    if (!due()) continue;
    const Milliseconds pause = m_budget.TryTake(m_clock->Now());
    if (pause > Milliseconds(0)) {
      m_queued.wait_for(lock, pause);
      continue;
    }
    const ClaimBatch batch{.author = m_incarnation, .events = TakeBatch()};
    m_last_append = m_clock->Now();
    lock.unlock();
    Reason reason;
    const bool appended = m_client.Append(kStream, EncodeClaimBatch(batch), &reason).has_value();
    lock.lock();
    FinishAppend(batch.events, appended, reason);
    if (!appended) m_queued.wait_for(lock, Milliseconds(config::kFollowRetryMs));
  }
}

void ClaimLog::FinishAppend(const std::vector<ClaimEvent>& events, bool appended,
                            const Reason& reason) {
  ++m_stats.appends;
  std::deque<ClaimEvent> retries;
  for (const ClaimEvent& event : events) {
    const auto* claim = std::get_if<ClaimMade>(&event);
    if (claim != nullptr) ++m_stats.claims;
    if (appended) continue;
    // Results, withdrawals and fences are idempotent and are appended again. A claim is not: if
    // only the answer was lost, the follower finds the claim in the log by its id.
    if (claim == nullptr) retries.push_back(event);
    if (claim == nullptr || reason.code != ResultCode::kPlatformUnreachable) continue;
    const auto pending = m_pending.find(claim->id);
    if (pending != m_pending.end()) pending->second.not_appended = true;
    m_abandoned.erase(claim->id);
  }
  m_queue.insert(m_queue.begin(), retries.begin(), retries.end());
  m_changed.notify_all();
}

// Following.

void ClaimLog::Follow() {
  Lock lock(m_mutex);
  while (!m_stopping) {
    const std::uint64_t from = m_next;
    // No claim can be made before the first answer, so it must not wait for a record.
    const Milliseconds wait(m_synced ? config::kFollowWaitMs : 0);
    lock.unlock();
    Reason reason;
    const auto batch = m_client.Read(kStream, from, config::kFollowBatch, wait, &reason);
    lock.lock();
    m_connected = batch.has_value();
    if (batch) {
      ApplyBatch(*batch);
    } else if (reason.code == ResultCode::kOffsetExpired) {
      RestartAfterGap(std::strtoull(reason.text.c_str(), nullptr, 10));
    } else {
      // Heartbeats of other entries are missed while the stream can't be read.
      m_followed_since = Milliseconds::max();
      m_changed.wait_for(lock, Milliseconds(config::kFollowRetryMs));
    }
  }
}

void ClaimLog::ApplyBatch(const LogBatch& batch) {
  for (const LogRecord& record : batch.records) {
    if (!m_synced && m_next > 0 && !m_history_from) m_history_from = Milliseconds(record.time_ms);
    const auto decisions = m_fold.Apply(record.time_ms, record.payload);
    for (const ClaimDecision& decision : decisions) DeliverDecision(decision);
  }
  if (!m_synced && m_next > 0 && !m_history_from) m_history_from = m_clock->UnixTime();
  m_next = batch.next_offset;
  m_synced = true;
  const bool resumed = m_followed_since == Milliseconds::max() && !batch.records.empty();
  if (resumed) m_followed_since = Milliseconds(batch.records.back().time_ms);
  if (m_fold.IsFenced(m_incarnation)) m_incarnation = Incarnation(RandomHex128());
  if (!batch.records.empty()) m_changed.notify_all();
}

void ClaimLog::RestartAfterGap(std::uint64_t first_offset) {
  // This incarnation may have been fenced within the gap, so it makes no further claims.
  m_fold = ClaimsFold();
  m_incarnation = Incarnation(RandomHex128());
  m_next = first_offset;
  m_synced = false;
  m_history_from.reset();
  for (auto& [id, pending] : m_pending) pending.not_appended = true;
  m_changed.notify_all();
}

void ClaimLog::DeliverDecision(const ClaimDecision& decision) {
  const auto pending = m_pending.find(decision.id);
  if (pending != m_pending.end()) pending->second.verdict = decision.verdict;
  const auto abandoned = m_abandoned.find(decision.id);
  if (abandoned == m_abandoned.end()) return;
  if (decision.verdict == ClaimVerdict::kOwned) {
    ++m_stats.withdrawals;
    Enqueue(ClaimWithdrawn{.id = decision.id, .key = decision.key});
  }
  m_abandoned.erase(abandoned);
}

}  // namespace endivewood
