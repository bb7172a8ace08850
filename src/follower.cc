/// @file
/// Follows the fleet stream and publishes immutable views.
#include "config.h"
#include "endivewood_p.h"
#include "events.h"
#include "snapshot.h"

namespace endivewood {
FleetFollower::FleetFollower(LogClient client, VerdictHandler on_verdict, FollowerOptions options)
    : m_client(std::move(client)),
      m_on_verdict(std::move(on_verdict)),
      m_options(options),
      m_view(std::make_shared<const FleetView>()),
      m_thread([this] { Run(); }) {}

FleetFollower::~FleetFollower() { Stop(); }

std::shared_ptr<const FleetView> FleetFollower::View() const {
  std::lock_guard lock(m_mutex);
  return m_view;
}

void FleetFollower::Stop() {
  {
    std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  if (m_thread.joinable()) m_thread.join();
}

bool FleetFollower::WaitFor(std::uint64_t offset, Milliseconds limit) const {
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, limit, [&] { return m_view->next_offset > offset || m_stopping; });
  return m_view->next_offset > offset;
}

bool FleetFollower::Pause(Milliseconds duration) {
  std::unique_lock lock(m_mutex);
  return m_changed.wait_for(lock, duration, [&] { return m_stopping.load(); });
}

void FleetFollower::Run() {
  while (!m_stopping) {
    Reason reason;
    const auto batch = m_client.Read("fleet", View()->next_offset, config::kFollowBatch,
                                     Milliseconds(config::kFollowWaitMs), &reason);
    m_connected = batch.has_value() || reason.code == ResultCode::kOffsetExpired;
    if (batch) {
      m_first_retained = batch->first_offset;
      ApplyRecords(batch->records);
    } else if (reason.code == ResultCode::kOffsetExpired) {
      Recover(ParseFirstRetained(reason));
    } else {
      Pause(Milliseconds(config::kFollowRetryMs));
    }
  }
}

void FleetFollower::Recover(std::uint64_t first_retained) {
  m_first_retained = first_retained;
  // A peer's state counts as received when the view includes the last expired record. Nothing has
  // expired if the first retained offset is 0.
  if (first_retained > 0 && WaitFor(first_retained - 1, m_options.peer_state_wait)) return;
  SearchSnapshot(first_retained);
}

void FleetFollower::SearchSnapshot(std::uint64_t first_retained) {
  Reason reason;
  const auto best = FindFleetState(m_client, first_retained, &reason);
  if (!best) {
    Pause(Milliseconds(config::kFollowRetryMs));
    return;
  }
  std::lock_guard lock(m_fold_mutex);
  if (best->fold.View()->next_offset <= m_fold.View()->next_offset) return;
  m_fold = best->fold;
  m_snapshots = best->snapshots;
  LogEvent(Event::kSnapshotRestored, {{"next_offset", m_fold.View()->next_offset}});
  m_buffered.clear();
  m_buffered_bytes = 0;
  Publish();
}

void FleetFollower::ApplyRecords(const std::vector<LogRecord>& records) {
  if (records.empty()) return;
  std::lock_guard lock(m_fold_mutex);
  std::uint64_t next = View()->next_offset;
  for (const LogRecord& record : records) {
    if (record.offset < next) continue;
    if (record.offset > next) break;
    const Verdict verdict = m_fold.Apply(record.offset, record.payload);
    m_snapshots.Update(record, verdict);
    BufferRecord(record);
    if (m_on_verdict) m_on_verdict(record.offset, verdict);
    ++next;
  }
  if (next > View()->next_offset) Publish();
}

FollowerState FleetFollower::State() const {
  std::lock_guard lock(m_fold_mutex);
  return {.state = m_fold.Encode(),
          .newest_snapshot = m_snapshots.newest ? *m_snapshots.newest + 1 : 0,
          .previous_snapshot = m_snapshots.previous ? *m_snapshots.previous + 1 : 0,
          .snapshot_time_ms = m_snapshots.time_ms};
}

bool FleetFollower::RestoreState(const FollowerState& state) {
  std::lock_guard lock(m_fold_mutex);
  if (!m_fold.Restore(state.state)) return false;
  m_snapshots = {.time_ms = state.snapshot_time_ms};
  if (state.newest_snapshot > 0) m_snapshots.newest = state.newest_snapshot - 1;
  if (state.previous_snapshot > 0) m_snapshots.previous = state.previous_snapshot - 1;
  m_buffered.clear();
  m_buffered_bytes = 0;
  Publish();
  return true;
}

std::optional<std::vector<LogRecord>> FleetFollower::BufferedRecords(std::uint64_t from) const {
  std::lock_guard lock(m_fold_mutex);
  if (m_buffered.empty() || from < m_buffered.front().offset) return std::nullopt;
  if (from > m_buffered.back().offset) return std::vector<LogRecord>();
  const auto begin =
      m_buffered.begin() + static_cast<std::ptrdiff_t>(from - m_buffered.front().offset);
  return std::vector<LogRecord>(begin, m_buffered.end());
}

AcceptedSnapshots FleetFollower::Snapshots() const {
  std::lock_guard lock(m_fold_mutex);
  return m_snapshots;
}

void FleetFollower::BufferRecord(const LogRecord& record) {
  m_buffered.push_back(record);
  m_buffered_bytes += record.payload.size();
  while (m_buffered.size() > config::kRelayRecords || m_buffered_bytes > config::kRelayBytes) {
    m_buffered_bytes -= m_buffered.front().payload.size();
    m_buffered.pop_front();
  }
}

void FleetFollower::Publish() {
  auto view = m_fold.View();
  {
    std::lock_guard lock(m_mutex);
    m_view = std::move(view);
  }
  m_changed.notify_all();
}

}  // namespace endivewood
