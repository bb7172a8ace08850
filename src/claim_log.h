/// @file
/// Appends claims in batches, follows the stream `claims` and reports to each request whether it
/// owns its key.
#pragma once

#include <condition_variable>
#include <deque>

#include "claims.h"
#include "endivewood_p.h"

namespace endivewood {

/// The request owns the key and forwards the work; it records the result with this id.
struct ClaimOwned {
  ClaimId id;
};
/// The key has a recorded result.
struct ClaimResolved {
  ResultCode code = ResultCode::kOk;
  std::string body;
};
/// The key belongs to another caller or body.
struct ClaimMismatch {};
/// The key is outside the retention window.
struct ClaimExpired {};
/// The owner of the key stopped without recording a result.
struct ClaimEffectUnknown {};
/// The owner of the key has not finished yet.
struct ClaimInProgress {};
/// This attempt ran nothing and the key remains usable. Other attempts may have run.
struct ClaimNotStarted {
  std::string cause;
};

using ClaimAnswer = std::variant<ClaimOwned, ClaimResolved, ClaimMismatch, ClaimExpired,
                                 ClaimEffectUnknown, ClaimInProgress, ClaimNotStarted>;

/// A request that needs the ownership of a key.
struct ClaimRequest {
  IdempotencyKey key;
  Digest caller;
  Digest body;
  /// How long the request waits for another owner of the key.
  Milliseconds wait{30000};
};

struct ClaimStats {
  std::uint64_t appends = 0;
  std::uint64_t claims = 0;  ///< Claims in these appends.
  std::uint64_t fences = 0;
  std::uint64_t withdrawals = 0;
  std::size_t keys = 0;
};

/// @returns whether an author is to be fenced.
/// @param followed_since log time from which this process has read the stream without a gap.
bool IsFenceDue(const ClaimsFold& fold, const Incarnation& author, Milliseconds followed_since);

/// Limits the rate of appends. Reads no clock: time is passed in.
class AppendBudget {
 public:
  /// @returns 0 when an append was taken from the budget, otherwise the time to wait for one.
  Milliseconds TryTake(Milliseconds now);

 private:
  /// Earliest time of the next append; lies in the past by up to a burst when the budget is unused.
  Milliseconds m_next_append_at{-1000000};
};

/// Makes the claims of one process. Thread-safe; owns two threads.
class ClaimLog {
 public:
  ClaimLog(LogClient client, Clock* clock);
  ~ClaimLog();
  ClaimLog(const ClaimLog&) = delete;
  ClaimLog& operator=(const ClaimLog&) = delete;

  /// Blocks until the request owns its key or is answered without running.
  ClaimAnswer Claim(const ClaimRequest& request);

  /// Records the result of an owned claim. Returns at once; the append is retried until the
  /// platform takes it.
  void Record(const IdempotencyKey& key, const ClaimId& id, ResultCode code,
              const std::string& body);

  /// Fences the process's own incarnation, appends what is queued and stops.
  void Stop();

  ClaimStats Stats() const;

 private:
  struct PendingClaim {
    std::optional<ClaimVerdict> verdict;
    bool not_appended = false;
  };
  using Lock = std::unique_lock<std::mutex>;

  void Follow();
  void ApplyBatch(const LogBatch& batch);
  void RestartAfterGap(std::uint64_t first_offset);
  void DeliverDecision(const ClaimDecision& decision);
  void AppendLoop();
  std::vector<ClaimEvent> TakeBatch();
  bool HeartbeatDue() const;
  void FinishAppend(const std::vector<ClaimEvent>& events, bool appended, const Reason& reason);
  std::optional<ClaimAnswer> KnownAnswer(const ClaimRequest& request) const;
  std::optional<ClaimAnswer> WaitForOwner(const ClaimRequest& request, Milliseconds end,
                                          Lock* lock);
  std::optional<ClaimAnswer> MakeClaim(const ClaimRequest& request, Lock* lock);
  ClaimAnswer AbandonClaim(const ClaimId& id, const IdempotencyKey& key);
  void Enqueue(ClaimEvent event);

  LogClient m_client;
  Clock* m_clock;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::condition_variable m_queued;
  Incarnation m_incarnation;
  ClaimsFold m_fold;
  std::uint64_t m_next = 0;
  bool m_synced = false;
  bool m_connected = false;
  /// Claims recorded before this time may have expired before this process could read them.
  std::optional<Milliseconds> m_history_from;
  /// Log time from which the stream has been read without a gap; max while disconnected.
  Milliseconds m_followed_since = Milliseconds::max();
  std::deque<ClaimEvent> m_queue;
  std::map<ClaimId, PendingClaim> m_pending;
  std::map<ClaimId, IdempotencyKey> m_abandoned;
  std::set<ClaimId> m_unresolved;
  int m_waiting_requests = 0;
  Milliseconds m_last_append{0};
  AppendBudget m_budget;
  ClaimStats m_stats;
  bool m_stopping = false;
  std::thread m_follow_thread;
  std::thread m_append_thread;
};

}  // namespace endivewood
