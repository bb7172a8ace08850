/// @file
/// Appends snapshots to the fleet stream.
#include "snapshot_author.h"

#include "config.h"
#include "events.h"

namespace endivewood {

SnapshotAuthor::SnapshotAuthor(LogClient client, Incarnation incarnation,
                               const FleetFollower* follower, const PeerNode* peers,
                               const Clock* clock)
    : m_client(std::move(client)),
      m_incarnation(std::move(incarnation)),
      m_follower(follower),
      m_peers(peers),
      m_clock(clock),
      m_thread([this] { Run(); }) {}

SnapshotAuthor::~SnapshotAuthor() { Stop(); }

void SnapshotAuthor::Stop() {
  {
    std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_stop_signal.notify_all();
  if (m_thread.joinable()) m_thread.join();
}

void SnapshotAuthor::Run() {
  std::unique_lock lock(m_mutex);
  const Milliseconds period(config::kSnapshotCheckMs);
  while (!m_stop_signal.wait_for(lock, period, [&] { return m_stopping; })) {
    lock.unlock();
    AppendWhenDue();
    lock.lock();
  }
}

void SnapshotAuthor::AppendWhenDue() {
  if (!m_follower->Connected()) return;
  const SnapshotInputs inputs{.next_offset = m_follower->View()->next_offset,
                              .first_retained = m_follower->FirstRetained(),
                              .snapshots = m_follower->Snapshots(),
                              .unix_time = m_clock->UnixTime()};
  const bool append =
      m_schedule.Decide(inputs, m_peers->name(), m_peers->LiveNames(), m_clock->Now());
  if (!append) return;
  const std::string state = m_follower->State().state;
  FleetFold fold;
  if (!fold.Restore(state)) return;
  const FleetRecord record{
      .id = RecordId(RandomHex128()),
      .author = m_incarnation,
      .change = SnapshotTaken{.end_offset = fold.View()->next_offset, .state = state}};
  // When the answer is lost, nothing has to find out whether the append succeeded: the schedule
  // decides again from what the stream contains.
  Reason reason;
  const auto offset = m_client.Append("fleet", EncodeFleetRecord(record), &reason);
  if (offset) LogEvent(Event::kSnapshotTaken, {{"offset", *offset}, {"bytes", state.size()}});
}

}  // namespace endivewood
