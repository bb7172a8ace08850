/// @file
/// The services that have taken jobs of a queue. A version of the configuration may send a queue to
/// another service, whose jobs are kept in another partition: whoever is asked for a job, or to
/// accept one, has to look in the partitions of all of them.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>

#include "store_calls.h"

namespace endivewood {

struct QueueServicesOptions {
  LogPartition partition;  ///< Topic with one record for each QueueService.
  std::string producer;    ///< Of this holder's appends; names the partition that it holds.
  std::uint64_t epoch = 0;
};

/// What the holder of one partition knows of the services of queues. Does no I/O: replies and the
/// time are passed in, calls to make are returned.
///
/// A holder registers itself in the store before it accepts the first job of a queue, and reads the
/// other services after that. Of two holders that begin at the same time, at least one sees the
/// other. It asks that one before it accepts a job, which thereby learns of the asker, see Add.
class QueueServices {
 public:
  explicit QueueServices(QueueServicesOptions options) : m_options(std::move(options)) {}

  /// Requests that the service be registered for the queue.
  void Register(const QueueService& own);
  /// As above. Calls `done(true)` once the service is registered for the queue and all services
  /// that were registered before are known, at once if they are; `done(false)` when the term ends
  /// first.
  void WhenRegistered(const QueueService& own, std::function<void(bool)> done);

  /// Call when another holder asks for a job of the queue.
  void Add(const QueueService& other);

  /// Call when another holder has no jobs of the queue, and doesn't accept any by a configuration
  /// that is no older than this holder's.
  void Retire(const QueueService& other) { m_retired.insert(other); }
  /// Call with each new version of the configuration, by which a retired service may be in use
  /// again.
  void ForgetRetired() { m_retired.clear(); }

  /// @param include_retired whether to include services that had retired, see Retire.
  /// @returns the other services that may have jobs of the queue. Complete once the service is
  /// registered.
  std::set<ServiceName> OthersOf(const QueueService& own, bool include_retired) const;

  /// @returns the call that is due, or no value. At most one is in flight.
  std::optional<StoreCall> TakeCall(Milliseconds now);
  void OnReply(const StoreReply& reply, Milliseconds now);
  /// @returns when TakeCall will next return a call if no reply or request arrives before.
  Milliseconds NextDue() const;

  /// Completes every WhenRegistered callback with false.
  void End();

  const std::set<QueueService>& known() const { return m_known; }
  const std::set<QueueService>& registered() const { return m_registered; }

 private:
  struct Waiter {
    QueueService own;
    std::function<void(bool)> done;
  };

  void OnAppended(const StoreReply& reply, Milliseconds now);
  void OnRead(const StoreReply& reply, Milliseconds now);
  /// @param snapshot whether the read had one page; pages are not read at one moment.
  void FinishRead(bool snapshot);

  QueueServicesOptions m_options;
  std::set<QueueService> m_known;  ///< As stored when last read, and learned since.
  std::set<QueueService> m_retired;
  std::set<QueueService> m_registered;
  std::set<QueueService> m_stored;    ///< This holder's that are known to be stored.
  std::set<QueueService> m_wanted;    ///< To be registered.
  std::set<QueueService> m_read_for;  ///< Wanted when the read in progress began.
  std::set<QueueService> m_stored_before_read;
  std::vector<QueueService> m_appended;  ///< Contents of the append in flight.
  std::string m_after_key;  ///< Last key of the page before, in a read of several pages.
  bool m_in_flight = false;
  bool m_topic_read = false;  ///< The topic has been read in full at least once.
  std::uint64_t m_appends = 0;
  Milliseconds m_retry_at{0};
  std::deque<Waiter> m_waiters;
};

}  // namespace endivewood
