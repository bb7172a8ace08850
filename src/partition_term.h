/// @file
/// One holder's term for one partition of the job store: claims the partition, loads its records,
/// and then stores the scheduler's changes.
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "handover.h"
#include "job_scheduler.h"
#include "queue_services.h"
#include "store_calls.h"

namespace endivewood {

struct PartitionTermOptions {
  LogPartition partition;
  std::uint64_t epoch = 0;
  Milliseconds lease{4000};
  Milliseconds max_lease{10000};
  Milliseconds drain_notice{2000};
  std::int64_t max_unanswered_bytes = 0;  ///< See SchedulerOptions.
  LogPartition queue_services;            ///< See QueueServicesOptions.
  std::string member;           ///< This process's name in the group; unique per process start.
  Milliseconds min_holder_gap;  ///< Minimum time between two holders' orders to one instance.
  OverloadChoice overload = OverloadChoice::kByConfiguration;  ///< See SchedulerOptions.
};

/// Does no I/O: replies and the time are passed in, calls to make are returned.
class PartitionTerm {
 public:
  enum class State : std::uint8_t { kClaiming = 0, kLoading, kActive, kEnded };

  PartitionTerm(const PartitionTermOptions& options, Milliseconds now);

  State state() const { return m_state; }
  bool active() const { return m_state == State::kActive; }
  const PartitionTermOptions& options() const { return m_options; }
  JobScheduler& scheduler() { return *m_scheduler; }
  const JobScheduler& scheduler() const { return *m_scheduler; }

  QueueServices& queue_services() { return m_queue_services; }
  const QueueServices& queue_services() const { return m_queue_services; }

  /// @returns the handover from earlier holders; only while active.
  Handover& handover() { return *m_handover; }
  /// Shortens the inherited leases once every earlier holder has stopped.
  void ApplyHandover(Milliseconds now);

  /// @returns the call that is due, or no value. At most one call is in flight.
  std::optional<StoreCall> TakeCall(Milliseconds now);
  /// @param unix_offset Unix time minus the clock.
  void OnReply(const StoreReply& reply, Milliseconds now, Milliseconds unix_offset);

  /// Calls `done(true)` once a change is stored, or `done(false)` when the term ends first.
  void WhenDurable(std::uint64_t change, std::function<void(bool)> done);

  /// @returns whether an append has been waiting for longer than config::kStoreDelayedMs.
  bool IsStoreDelayed(Milliseconds now) const;

  /// Ends the term and completes every WhenDurable callback with false.
  void End(const char* cause);

  /// @returns when TakeCall will next return a call if no reply or change arrives before.
  Milliseconds NextDue() const;

 private:
  struct Waiter {
    std::uint64_t change = 0;
    std::function<void(bool)> done;
  };

  void OnAppended(const StoreReply& reply, Milliseconds now);
  void NotifyDurable();

  PartitionTermOptions m_options;
  std::unique_ptr<JobScheduler> m_scheduler;
  QueueServices m_queue_services;
  std::optional<Handover> m_handover;
  bool m_handover_applied = false;
  State m_state = State::kClaiming;
  Milliseconds m_started;
  bool m_in_flight = false;
  Milliseconds m_retry_at{0};
  std::string m_after_key;
  std::optional<DurableBatch> m_batch;
  Milliseconds m_batch_since{0};
  Milliseconds m_last_append{-1000};
  std::uint64_t m_sequence = 0;
  std::deque<Waiter> m_waiters;
};

}  // namespace endivewood
