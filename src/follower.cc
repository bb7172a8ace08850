/// @file
/// Follows the fleet stream and publishes immutable views.
#include "config.h"
#include "endivewood_p.h"

namespace endivewood {

FleetFollower::FleetFollower(LogClient client, VerdictHandler on_verdict)
    : m_client(std::move(client)),
      m_on_verdict(std::move(on_verdict)),
      m_view(std::make_shared<const FleetView>()),
      m_thread([this] { Run(); }) {}

FleetFollower::~FleetFollower() { Stop(); }

std::shared_ptr<const FleetView> FleetFollower::View() const {
  std::lock_guard lock(m_mutex);
  return m_view;
}

void FleetFollower::Stop() {
  m_stopping = true;
  if (m_thread.joinable()) m_thread.join();
}

void FleetFollower::Run() {
  while (!m_stopping) {
    Reason reason;
    const auto batch = m_client.Read("fleet", m_next, config::kFollowBatch,
                                     Milliseconds(config::kFollowWaitMs), &reason);
    m_connected = batch.has_value();
    if (batch) {
      ApplyBatch(*batch);
    } else {
      std::this_thread::sleep_for(Milliseconds(config::kFollowRetryMs));
    }
  }
}

void FleetFollower::ApplyBatch(const LogBatch& batch) {
  if (batch.records.empty()) return;
  for (const LogRecord& record : batch.records) {
    const Verdict verdict = m_fold.Apply(record.offset, record.payload);
    if (m_on_verdict) m_on_verdict(record.offset, verdict);
  }
  m_next = batch.next_offset;
  auto view = m_fold.View();
  std::lock_guard lock(m_mutex);
  m_view = std::move(view);
}

}  // namespace endivewood
