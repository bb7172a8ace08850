/// @file
/// Appends snapshots to the fleet stream on a separate thread.
#pragma once

#include "peers.h"
#include "snapshot.h"

namespace endivewood {

/// Checks SnapshotSchedule periodically and appends the follower's state when it is this entry's
/// turn. The objects passed to the constructor must outlive it.
class SnapshotAuthor {
 public:
  SnapshotAuthor(LogClient client, Incarnation incarnation, const FleetFollower* follower,
                 const PeerNode* peers, const Clock* clock);
  ~SnapshotAuthor();
  SnapshotAuthor(const SnapshotAuthor&) = delete;
  SnapshotAuthor& operator=(const SnapshotAuthor&) = delete;

  void Stop();

 private:
  void Run();
  void AppendWhenDue();

  LogClient m_client;
  Incarnation m_incarnation;
  const FleetFollower* m_follower;
  const PeerNode* m_peers;
  const Clock* m_clock;
  SnapshotSchedule m_schedule;
  std::mutex m_mutex;
  std::condition_variable m_stop_signal;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace endivewood
