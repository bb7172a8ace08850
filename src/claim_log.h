/// @file
/// Appends claims in batches, follows the stream `claims` and tells each request where it stands.
#pragma once

#include <condition_variable>
#include <deque>

#include "claims.h"
#include "endivewood_p.h"

namespace endivewood {

/// The request owns the key and forwards the work; it reports the outcome with this id.
struct ClaimOwned {
  ClaimId id;
};
/// The key has a recorded outcome.
struct ClaimResolved {
  ResultCode code = ResultCode::kOk;
  std::string body;
};
/// The key belongs to another caller or body.
struct ClaimRefused {};
/// The key is outside the retention window.
struct ClaimExpired {};
/// The owner of the key stopped without a recorded outcome.
struct ClaimUnknown {};
/// The owner of the key has not finished yet.
struct ClaimInProgress {};
/// This attempt started nothing and the key remains usable. Says nothing about other attempts.
struct ClaimNotStarted {
  std::string cause;
};

using ClaimAnswer = std::variant<ClaimOwned, ClaimResolved, ClaimRefused, ClaimExpired,
                                 ClaimUnknown, ClaimInProgress, ClaimNotStarted>;

/// A request for a key.
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
/// @param watched_from log time from which this process has followed the author without a gap.
bool IsFenceDue(const ClaimsFold& fold, const Incarnation& author, Milliseconds watched_from);

/// Limits the rate of appends. Pure: time is passed in.
class AppendBudget {
 public:
  /// @returns how long the next append has to wait; 0 takes one append from the budget.
  Milliseconds Take(Milliseconds now);

 private:
  /// The time up to which the budget is spent.
  Milliseconds m_spent_until{-1000000};
};

/// The claims of one process. Thread-safe; owns two threads.
class ClaimLog {
 public:
  ClaimLog(LogClient client, Clock* clock);
  ~ClaimLog();
  ClaimLog(const ClaimLog&) = delete;
  ClaimLog& operator=(const ClaimLog&) = delete;

  /// Blocks until the position of the request is known.
  ClaimAnswer Claim(const ClaimRequest& request);

  /// Records the outcome of an owned claim. Returns at once; the record is appended as soon as the
  /// platform takes it.
  void Record(const IdempotencyKey& key, const ClaimId& id, ResultCode code,
              const std::string& body);

  /// Appends what is queued, fences its own incarnation and stops.
  void Stop();

  ClaimStats Stats() const;

 private:
  struct Pending {
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
  bool SignOfLifeDue() const;
  void FinishAppend(const std::vector<ClaimEvent>& events, bool appended, const Reason& reason);
  std::optional<ClaimAnswer> KnownAnswer(const ClaimRequest& request) const;
  std::optional<ClaimAnswer> WaitForOwner(const ClaimRequest& request, Milliseconds end,
                                          Lock* lock);
  std::optional<ClaimAnswer> MakeClaim(const ClaimRequest& request, Lock* lock);
  ClaimAnswer GiveUp(const ClaimId& id, const IdempotencyKey& key);
  void Enqueue(ClaimEvent event);

  LogClient m_client;
  Clock* m_clock;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::condition_variable m_queued;
  Incarnation m_self;
  ClaimsFold m_fold;
  std::uint64_t m_next = 0;
  bool m_synced = false;
  bool m_connected = false;
  /// Claims recorded before this time may have expired unread.
  std::optional<Milliseconds> m_history_from;
  /// Log time from which every record has been read without a break; max while disconnected.
  Milliseconds m_watched_from = Milliseconds::max();
  std::deque<ClaimEvent> m_queue;
  std::map<ClaimId, Pending> m_pending;
  std::map<ClaimId, IdempotencyKey> m_given_up;
  std::set<ClaimId> m_open;
  int m_waiting = 0;
  Milliseconds m_last_append{0};
  AppendBudget m_budget;
  ClaimStats m_stats;
  bool m_stopping = false;
  std::thread m_follow_thread;
  std::thread m_append_thread;
};

}  // namespace endivewood
