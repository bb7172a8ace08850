/// @file
/// Runs the planner's ticks and executes its actions.
#include "planner_process.h"

#include "config.h"
#include "dump.h"

namespace endivewood {
namespace {

constexpr char kHeartbeatStream[] = "planners";
constexpr unsigned kControlThreads = 8;

bool IsDue(const std::optional<Milliseconds>& last, Milliseconds now, std::int64_t period_ms) {
  return !last || now - *last >= Milliseconds(period_ms);
}

PlannerOptions OptionsOf(const ProcessSettings& settings) {
  return {.data_centre = settings.data_centre,
          .hold = Milliseconds(settings.planner.hold_ms),
          .loss_confirm = Milliseconds(settings.planner.loss_confirm_ms),
          .reboot_limit = Milliseconds(settings.planner.reboot_limit_ms)};
}

}  // namespace

PlannerProcess::PlannerProcess(const ProcessSettings& settings)
    : m_settings(settings),
      m_self{.data_centre = settings.data_centre, .incarnation = Incarnation(RandomHex128())},
      m_log(settings.platform, m_self.incarnation),
      m_workers(settings.platform),
      m_planner(OptionsOf(settings)),
      m_follower(LogClient(settings.platform, m_self.incarnation),
                 [this](std::uint64_t, const Verdict& verdict) {
                   std::lock_guard lock(m_mutex);
                   if (m_unresolved.erase(verdict.id) == 0) return;
                   ++(verdict.accepted() ? m_accepted : m_rejected);
                 }),
      m_control_server({.endpoint = settings.planner.control, .max_threads = kControlThreads},
                       [this](const HttpRequest& request) { return HandleControl(request); }),
      m_thread([this] { Run(); }) {}

void PlannerProcess::Stop() {
  m_stopping = true;
  if (!m_thread.joinable()) return;
  m_thread.join();
  m_self.leaving = true;
  Reason reason;
  m_log.Append(kHeartbeatStream, EncodePlannerHeartbeat(m_self), &reason);
  m_control_server.Stop();
  m_follower.Stop();
}

void PlannerProcess::Run() {
  while (!m_stopping) {
    Tick();
    std::this_thread::sleep_for(Milliseconds(config::kPlannerTickMs));
  }
}

void PlannerProcess::Tick() {
  SendHeartbeat();
  ReadHeartbeats();
  m_current = IsCurrent();
  m_leads = m_current && m_membership.LeadsDataCentre(m_self);
  const auto view = m_follower.View();
  m_reports.clear();
  if (m_leads) {
    ReadInstanceList();
    if (!QueryWorkers(*view)) m_current = false;
  }
  const PlannerInput input{.view = view,
                           .listed = m_listed,
                           .workers = m_reports,
                           .now = m_clock.Now(),
                           .current = m_current,
                           .leads_data_centre = m_leads,
                           .leads_wave = m_membership.LeadsWave(m_self)};
  Execute(m_planner.Plan(input));
}

void PlannerProcess::SendHeartbeat() {
  const Milliseconds now = m_clock.Now();
  if (!IsDue(m_heartbeat_sent, now, config::kPlannerHeartbeatMs)) return;
  m_heartbeat_sent = now;
  Reason reason;
  m_log.Append(kHeartbeatStream, EncodePlannerHeartbeat(m_self), &reason);
}

void PlannerProcess::ReadHeartbeats() {
  while (!m_stopping) {
    Reason reason;
    const auto batch = m_log.Read(kHeartbeatStream, m_next_heartbeat, config::kFollowBatch,
                                  Milliseconds(0), &reason);
    if (!batch) {
      const bool expired = reason.code == ResultCode::kOffsetExpired;
      if (expired) m_next_heartbeat = std::strtoull(reason.text.c_str(), nullptr, 10);
      return;
    }
    for (const LogRecord& record : batch->records) {
      const auto heartbeat = DecodePlannerHeartbeat(record.payload);
      if (!heartbeat) continue;
      m_membership.Apply(Milliseconds(record.time_ms), *heartbeat);
      if (heartbeat->incarnation == m_self.incarnation) m_heartbeat_seen = m_clock.Now();
    }
    m_next_heartbeat = batch->next_offset;
    if (batch->records.size() < config::kFollowBatch) return;
  }
}

bool PlannerProcess::IsCurrent() const {
  if (!m_follower.Connected() || !m_heartbeat_seen) return false;
  return m_clock.Now() - *m_heartbeat_seen < Milliseconds(config::kPlannerTimeoutMs);
}

void PlannerProcess::ReadInstanceList() {
  const Milliseconds now = m_clock.Now();
  if (!IsDue(m_list_read, now, config::kInstanceListMs)) return;
  m_list_read = now;
  Reason reason;
  if (auto list = m_workers.List(&reason)) m_listed = std::move(*list);
}

bool PlannerProcess::NeedsQuery(const InstanceView& instance) {
  if (instance.data_centre != m_settings.data_centre) return false;
  const auto query = m_queries.find(instance.name);
  if (query == m_queries.end()) return true;
  const Milliseconds age = m_clock.Now() - query->second.time;
  if (!query->second.report.status) return age >= Milliseconds(config::kWorkerRetryMs);
  const bool settled = instance.state == InstanceState::kReady;
  return !settled || age >= Milliseconds(config::kWorkerPollMs);
}

bool PlannerProcess::QueryWorkers(const FleetView& view) {
  for (const auto& [name, instance] : view.instances) {
    if (!NeedsQuery(instance)) continue;
    Reason reason;
    const auto report = m_workers.QueryStatus(name, &reason);
    if (!report) return false;
    m_queries[name] = {.time = m_clock.Now(), .report = *report};
    m_reports[name] = *report;
  }
  std::erase_if(m_queries, [&](const auto& item) { return !view.instances.contains(item.first); });
  return true;
}

void PlannerProcess::Execute(const std::vector<PlannerAction>& actions) {
  std::optional<std::uint64_t> last;
  for (const PlannerAction& action : actions) {
    if (m_stopping) return;
    if (const auto* command = std::get_if<CommandWorker>(&action)) {
      ++m_orders;
      m_workers.Order(*command);
      continue;
    }
    const auto& proposal = std::get<ProposeChange>(action);
    const FleetRecord record{.id = RecordId(RandomHex128()),
                             .author = m_self.incarnation,
                             .expected_version = proposal.expected_version,
                             .change = proposal.change};
    {
      std::lock_guard lock(m_mutex);
      m_unresolved.insert(record.id);
    }
    Reason reason;
    const auto offset = m_log.Append("fleet", EncodeFleetRecord(record), &reason);
    // The next tick plans from the accepted records. A lost record is proposed again; if it was
    // appended although the reply was lost, the repeated proposal has a version conflict.
    if (!offset) break;
    last = offset;
  }
  if (last) WaitForOffset(*last);
}

void PlannerProcess::WaitForOffset(std::uint64_t offset) const {
  constexpr int kAttempts = 100;
  constexpr Milliseconds kPause{5};
  for (int attempt = 0; attempt < kAttempts && !m_stopping; ++attempt) {
    if (m_follower.View()->next_offset > offset) return;
    std::this_thread::sleep_for(kPause);
  }
}

HttpReply PlannerProcess::HandleControl(const HttpRequest& request) const {
  const auto number = [](auto value) { return static_cast<std::int64_t>(value); };
  return AnswerControl(request, {.settings = m_settings,
                                 .incarnation = m_self.incarnation,
                                 .follower = m_follower,
                                 .view = m_follower.View(),
                                 .metrics = m_metrics,
                                 .subsystems = {{"leads", number(m_leads.load())},
                                                {"current", number(m_current.load())},
                                                {"proposals_accepted", number(m_accepted.load())},
                                                {"proposals_rejected", number(m_rejected.load())},
                                                {"worker_orders", number(m_orders.load())}}});
}

}  // namespace endivewood
