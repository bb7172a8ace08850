/// @file
/// Periodic work of a node: membership, partition terms, topic followers, orders and the planner.
#include "job_node.h"

#include <algorithm>

#include "config.h"
#include "endivewood_p.h"
#include "events.h"
#include "guarded.h"
#include "member_name.h"

namespace endivewood {
namespace {

constexpr int kPlannerPartition = 0;

}  // namespace

JobNode::JobNode(EventLoop* loop, const Clock* clock, JobNodeOptions options,
                 PlatformCallbacks callbacks)
    : m_loop(loop),
      m_clock(clock),
      m_options(std::move(options)),
      m_callbacks(std::move(callbacks)),
      m_membership(NewMembershipOptions()),
      m_operators({.partition = m_options.names.operators,
                   .wait = Milliseconds(config::kConfigWaitMs),
                   .min_interval = Milliseconds(config::kForwardRetryMs),
                   .max_delay = Milliseconds(config::kConfigReadDelayMs)}),
      m_registry({.partition = m_options.names.registry,
                  .wait = Milliseconds{0},
                  .min_interval = Milliseconds(config::kRegistryIntervalMs)}),
      m_instance_orders(m_options.min_holder_gap) {}

GroupMembershipOptions JobNode::NewMembershipOptions() const {
  return {.group = m_options.names.group,
          .member = NewMemberName(m_options.peer_endpoint, HoldingCapacity(m_options.capacity),
                                  m_options.data_centre),
          .topic = m_options.names.job_topic,
          .ttl = Milliseconds(config::kMemberTtlMs),
          .join_interval = Milliseconds(config::kJoinIntervalMs)};
}

void JobNode::Start() {
  m_started = m_clock->Now();
  m_last_store_answer = m_started;
  m_link = std::make_unique<NodeLink>(m_loop, m_options.peer_endpoint,
                                      [this](const NodeCall& call, NodeLink::Responder respond) {
                                        AnswerLocally(call, std::move(respond));
                                      });
  m_link->OnCarry([this](const CarryBatch& batch, const NodeLink::CarryResponder& respond) {
    CarryOrders(batch, respond);
  });
  ScheduleTick(Milliseconds{0});
}

/// A caller's request that waits until the catalog is known to be the newest.
struct JobNode::Confirmation {
  Milliseconds since{0};
  std::function<void(bool)> done;
};

void JobNode::ConfirmCatalog(Milliseconds timeout, std::function<void(bool)> done) {
  if (m_catalog == nullptr || m_store_unreachable) {
    done(false);
    return;
  }
  auto confirmation = std::make_shared<Confirmation>();
  confirmation->since = m_clock->Now();
  confirmation->done = std::move(done);
  m_confirmations.push_back(confirmation);
  m_loop->After(timeout, [this, confirmation] {
    if (std::erase(m_confirmations, confirmation) > 0) confirmation->done(false);
  });
  m_operators.RequestCheck();
  ScheduleTick(Milliseconds{0});
}

void JobNode::FinishConfirmations() {
  if (m_confirmations.empty()) return;
  const auto current_at = m_operators.current_at();
  std::vector<std::shared_ptr<Confirmation>> finished;
  std::erase_if(m_confirmations, [&](const std::shared_ptr<Confirmation>& each) {
    const bool confirmed = current_at && *current_at >= each->since;
    if (confirmed) finished.push_back(each);
    return confirmed;
  });
  if (!m_confirmations.empty()) m_operators.RequestCheck();
  for (const auto& each : finished) {
    // The timer keeps the confirmation, but need not keep the request.
    const auto done = std::exchange(each->done, {});
    RunGuarded("confirmation", [&] { done(m_newest_config_applied); });
  }
}

JobNode::CatalogReadState JobNode::catalog_read_state() const {
  const auto current_at = m_operators.current_at();
  return {.age = current_at ? m_clock->Now() - *current_at : Milliseconds(-1),
          .offset = m_operators.offset(),
          .log_end = m_operators.log_end()};
}

bool JobNode::IsCatalogRecent(Milliseconds age) const {
  const auto current_at = m_operators.current_at();
  return m_newest_config_applied && current_at && m_clock->Now() - *current_at <= age;
}

void JobNode::OnCatalog(std::function<void(const FleetCatalog&)> callback) {
  m_catalog_callbacks.push_back(std::move(callback));
}

bool JobNode::IsReady() const {
  const Milliseconds silence = m_clock->Now() - m_last_store_answer;
  return m_catalog != nullptr && !m_stopping &&
         silence < Milliseconds(config::kReadyStoreTimeoutMs);
}

void JobNode::BeginStop() {
  m_stopping = true;
  LeaveMembership();
  ScheduleTick(Milliseconds(config::kForwardRetryMs));
}

/// Ends all terms and leaves the group. A late execution of the call doesn't affect a later
/// membership, which has a name of its own.
void JobNode::LeaveMembership() {
  for (auto& [partition, term] : m_terms) term->End("leaving the group");
  m_terms.clear();
  m_planner.reset();
  const GroupMembershipOptions& group = m_membership.options();
  CallStore(LeaveGroup{.group = group.group, .member = group.member},
            Milliseconds(config::kStoreTimeoutMs), [](const StoreReply& reply) {
              LogEvent(Event::kMembershipChanged,
                       {{"cause", "leave"}, {"status", StoreStatusName(reply.status)}});
            });
  m_member = false;
  m_membership = GroupMembership(NewMembershipOptions());
  m_owners_refresh_requested = true;
}

Milliseconds JobNode::UnixOffset() const { return m_clock->UnixTime() - m_clock->Now(); }

HolderRights JobNode::RightsAt(Milliseconds now) const {
  const auto confirmed = m_membership.confirmed_at();
  if (!confirmed)
    return {.extend = false, .start = false, .move = false, .confirmed_at = Milliseconds{0}};
  return {.extend = now < *confirmed + Milliseconds(config::kLeadershipGraceMs),
          .start = m_membership.IsConfirmed(now),
          .move = now < *confirmed + Milliseconds(config::kMaxMoveConfirmationAgeMs),
          .confirmed_at = *confirmed};
}

void JobNode::ScheduleTick(Milliseconds delay) {
  const Milliseconds at = m_clock->Now() + delay;
  if (m_tick_timer != 0 && m_tick_at <= at) return;
  if (m_tick_timer != 0) m_loop->Cancel(m_tick_timer);
  m_tick_at = at;
  m_tick_timer = m_loop->After(delay, [this] {
    m_tick_timer = 0;
    const bool done = RunGuarded("tick", [this] { Tick(); });
    if (!done) ScheduleTick(Milliseconds(config::kRenewRetryMs));
  });
}

/// Logs that a tick began late or took long, with the work done since the previous report.
/// @param delay name of the field that states the delay.
void JobNode::ReportDelay(const char* delay, Milliseconds time) {
  std::vector<EventField> fields = m_work.TakeFields();
  if (time < Milliseconds(config::kReportedDelayMs)) return;
  fields.insert(fields.begin(), {delay, time});
  LogEvent(Event::kProcessDelayed, fields);
}

void JobNode::Tick() {
  const Milliseconds now = m_clock->Now();
  ReportDelay("late_ms", now - m_tick_at);
  PollFollowers(now);
  UpdateMembership(now);
  RefreshOwners(now);
  AskPeersForOwners(now);
  UpdateCarriers(now);
  RunTerms(now);
  UpdateLedger();
  RunPlanner(now);
  Milliseconds next = now + Milliseconds(config::kStandbyOwnersIntervalMs);
  next = std::min(next, m_operators.NextDue());
  if (m_member) next = std::min(next, m_membership.NextDue());
  const Milliseconds join_at = m_started + JoinDelay(HoldingCapacity(m_options.capacity));
  if (join_at > now) next = std::min(next, join_at);
  if (!m_terms.empty()) next = std::min(next, m_registry.NextDue());
  for (const auto& [partition, term] : m_terms) {
    next = std::min({next, term->NextDue(), term->queue_services().NextDue()});
    if (term->active()) next = std::min(next, term->scheduler().NextDue(now));
  }
  if (m_planner) next = std::min(next, m_planner->NextDue());
  if (m_uses_carriers) next = std::min(next, now + Milliseconds(config::kCarrierProbeMs));
  if (now - m_last_store_answer > Milliseconds(config::kStoreUnreachableMs)) {
    next = std::min(next, now + Milliseconds(config::kAskPeersIntervalMs));
  }
  // The next tick isn't late, however long this one took.
  ReportDelay("took_ms", m_clock->Now() - now);
  // The minimum delay lets one tick handle events that arrive within a few milliseconds.
  const Milliseconds min_delay(config::kNodeTickDelayMs);
  ScheduleTick(std::max(min_delay, next - now));
}

void JobNode::CallStore(const StoreCall& call, Milliseconds timeout, StoreCallback callback) {
  const auto on_reply = [this, name = StoreCallName(call), sent_at = m_clock->Now(),
                         callback = std::move(callback)](StoreReply reply) {
    const Milliseconds now = m_clock->Now();
    const bool answered =
        reply.status != StoreStatus::kNoAnswer && reply.status != StoreStatus::kRefused;
    if (!answered) {
      LogEvent(
          Event::kStoreCallFailed,
          {{"call", name}, {"status", StoreStatusName(reply.status)}, {"took_ms", now - sent_at}});
    }
    if (answered) {
      if (m_store_unreachable)
        LogEvent(Event::kPlatformRestored, {{"silent_ms", now - m_last_store_answer}});
      m_store_unreachable = false;
      m_last_store_answer = now;
    } else if (!m_store_unreachable &&
               now - m_last_store_answer > Milliseconds(config::kStoreTimeoutMs)) {
      m_store_unreachable = true;
      LogEvent(Event::kPlatformLost, {{"silent_ms", now - m_last_store_answer},
                                      {"status", StoreStatusName(reply.status)}});
    }
    callback(std::move(reply));
  };
  m_callbacks.call_store(call, timeout, on_reply);
}

void JobNode::PollFollowers(Milliseconds now) {
  if (const auto call = m_operators.TakeCall(now)) {
    const Milliseconds timeout(config::kConfigWaitMs + config::kStoreTimeoutMs / 2);
    CallStore(*call, timeout, [this, sent_at = now](const StoreReply& reply) {
      OnOperatorRecords(reply, sent_at, m_operators.OnReply(reply, m_clock->Now()));
    });
  }
  if (const auto check = m_operators.TakeCheck(now)) {
    CallStore(*check, Milliseconds(config::kStoreTimeoutMs),
              [this, sent_at = now](const StoreReply& reply) {
                OnOperatorRecords(reply, sent_at, m_operators.OnCheckReply(reply, m_clock->Now()));
              });
  }
  if (m_terms.empty()) return;
  if (const auto call = m_registry.TakeCall(now)) {
    CallStore(*call, Milliseconds(config::kStoreTimeoutMs), [this](const StoreReply& reply) {
      const WorkTimes::Scope scope(&m_work, m_clock, WorkPart::kRegistry);
      if (m_registry.OnReply(reply, m_clock->Now())) ApplyRegistry();
      ScheduleTick(Milliseconds(config::kNodeTickDelayMs));
    });
  }
}

void JobNode::OnOperatorRecords(const StoreReply& reply, Milliseconds sent_at, bool changed) {
  const WorkTimes::Scope scope(&m_work, m_clock, WorkPart::kConfiguration);
  const bool unread = m_operators.log_end() != m_operators.offset();
  if (reply.status == StoreStatus::kOk && reply.records.empty() && unread) {
    LogEvent(Event::kTopicReadInconsistent, {{"topic", m_options.names.operators.topic},
                                             {"offset", m_operators.offset()},
                                             {"log_end", m_operators.log_end()},
                                             {"took_ms", m_clock->Now() - sent_at}});
  }
  if (changed) ApplyOperatorRecords();
  FinishConfirmations();
  ScheduleTick(Milliseconds{0});
}

/// @returns the holding capacities of the other members that hold partitions.
std::vector<int> JobNode::OtherHolders() const {
  std::vector<int> others;
  for (const auto& [member, capacity] : *m_holder_capacities) {
    if (member != m_membership.options().member) others.push_back(capacity);
  }
  return others;
}

void JobNode::UpdateMembership(Milliseconds now) {
  if (m_stopping) return;
  const int own = HoldingCapacity(m_options.capacity);
  const bool may_decide = m_holder_capacities && now >= m_started + JoinDelay(own);
  const bool hold = may_decide ? ShouldHold(own, OtherHolders(), m_member) : m_member;
  if (hold != m_member) {
    LogEvent(Event::kMembershipChanged, {{"cause", hold ? "holding" : "standby"},
                                         {"capacity", own},
                                         {"holders", m_holder_capacities->size()},
                                         {"held", m_membership.held().size()}});
    if (!hold) LeaveMembership();
    m_member = hold;
  }
  if (!m_member) return;
  JoinGroupIfDue(now);
  EndLostTerms();
  BeginNewTerms(now);
}

void JobNode::JoinGroupIfDue(Milliseconds now) {
  const auto call = m_membership.TakeCall(now);
  if (!call) return;
  CallStore(*call, Milliseconds(config::kStoreTimeoutMs),
            [this, member = call->member](const StoreReply& reply) {
              if (m_stopping || member != m_membership.options().member) return;
              const std::uint64_t before = m_membership.generation();
              m_membership.OnReply(reply, m_clock->Now());
              if (m_membership.generation() != before) {
                LogEvent(Event::kMembershipChanged, {{"cause", "join"},
                                                     {"generation", m_membership.generation()},
                                                     {"held", m_membership.held().size()}});
                m_owners_refresh_requested = true;
              }
              ScheduleTick(Milliseconds{0});
            });
}

void JobNode::EndLostTerms() {
  for (auto it = m_terms.begin(); it != m_terms.end();) {
    const auto held = m_membership.held().find(it->first);
    const bool still_held = held != m_membership.held().end();
    if (!still_held) it->second->End("dealt to another member");
    if (it->second->state() == PartitionTerm::State::kEnded) {
      m_membership.OnTermEnded(it->first, it->second->scheduler().highest_fencing_token());
      if (it->first == kPlannerPartition) m_planner.reset();
      it = m_terms.erase(it);
      continue;
    }
    ++it;
  }
}

void JobNode::BeginNewTerms(Milliseconds now) {
  for (const auto& [partition, epoch] : m_membership.held()) {
    if (m_terms.count(partition) > 0) continue;
    const PartitionTermOptions options{
        .partition = {.topic = m_options.names.job_topic, .number = partition},
        .epoch = epoch,
        .lease = m_options.lease,
        .max_lease = m_options.max_lease,
        .drain_notice = m_options.drain_notice,
        .max_unanswered_bytes = StartWindowBytes(m_options.capacity),
        .queue_services = m_options.names.queue_services,
        .member = m_membership.options().member,
        .min_holder_gap = m_options.min_holder_gap,
        .overload = m_options.overload};
    if (m_terms.empty()) m_registry.Restart();
    m_terms.emplace(partition, std::make_shared<PartitionTerm>(options, now));
  }
}

std::set<ServiceName> JobNode::ServicesOf(int partition) const {
  std::set<ServiceName> services;
  if (!m_catalog) return services;
  for (const CatalogService& service : m_catalog->services) {
    if (PartitionOf(service.name, m_options.partitions) == partition) services.insert(service.name);
  }
  return services;
}

void JobNode::RunTerms(Milliseconds now) {
  const WorkTimes::Scope scope(&m_work, m_clock, WorkPart::kScheduling);
  for (const auto& each : std::map(m_terms)) {
    const Term& term = each.second;
    const bool done = RunGuarded("term", [&] { RunTerm(term.get(), now); });
    // What the scheduler holds may be incomplete now; the next term loads what is stored.
    if (!done) term->End("unexpected error");
  }
}

void JobNode::RunTerm(PartitionTerm* raw, Milliseconds now) {
  const std::shared_ptr<PartitionTerm> term = m_terms.at(raw->options().partition.number);
  if (term->active()) {
    RunHandover(term, now);
    JobScheduler& scheduler = term->scheduler();
    if (scheduler.NextDue(now) <= now) scheduler.Run(now, UnixOffset(), RightsAt(now));
    SendOrders(term);
    SendShareCall(term, now);
    if (scheduler.fenced_out()) term->End("an upstream has seen a newer fencing token");
  }
  RunQueueServices(term, now);
  const auto call = term->TakeCall(now);
  if (!call) return;
  CallStore(*call, Milliseconds(config::kStoreTimeoutMs), [this, term](const StoreReply& reply) {
    const bool was_active = term->active();
    term->OnReply(reply, m_clock->Now(), UnixOffset());
    if (!was_active && term->active()) {
      UpdateUpstreams(term.get(), m_clock->Now());
      // Jobs of earlier builds, whose services weren't registered.
      for (const QueueService& each : term->scheduler().QueueServicesInUse()) {
        term->queue_services().Register(each);
      }
    }
    ScheduleTick(Milliseconds{0});
  });
}

void JobNode::RunHandover(const std::shared_ptr<PartitionTerm>& term, Milliseconds now) {
  for (const std::string& member : term->handover().TakeMembersToAsk(now)) {
    const auto endpoint = EndpointOfMember(member);
    if (!endpoint) continue;
    const HandoverCall call{.service = {},
                            .partition = term->options().partition.number,
                            .member = member,
                            .epoch = term->options().epoch};
    const auto on_reply = [this, term, member](const NodeReply& reply) {
      if (reply.status != NodeStatus::kOk) return;
      term->handover().OnStopped(member);
      m_instance_orders.Merge(reply.recent_orders, m_clock->Now());
      ScheduleTick(Milliseconds{0});
    };
    if (*endpoint == m_options.peer_endpoint) {
      AnswerHandover(call, on_reply);
      continue;
    }
    m_link->Call(*endpoint, call, Milliseconds(config::kLinkTimeoutMs),
                 [on_reply](const NodeOutcome& outcome) {
                   if (outcome.reply) on_reply(*outcome.reply);
                 });
  }
  term->ApplyHandover(now);
}

void JobNode::ApplyOperatorRecords() {
  std::vector<MaintenanceWave> waves;
  m_newest_config_applied = false;
  for (const auto& [key, value] : m_operators.records()) {
    if (key == m_options.names.config_key) {
      auto catalog = m_callbacks.decode_catalog(value);
      if (!catalog) {
        LogEvent(Event::kMalformedRecord, {{"key", key}});
        continue;
      }
      m_newest_config_applied = !m_catalog || catalog->version >= m_catalog->version;
      if (!m_newest_config_applied) {
        // An older version never replaces the active one.
        LogEvent(Event::kConfigOutdated,
                 {{"version", catalog->version}, {"active_version", m_catalog->version}});
      }
      if (m_catalog && catalog->version <= m_catalog->version) continue;
      m_catalog = std::make_shared<const FleetCatalog>(std::move(*catalog));
      LogEvent(Event::kConfigInForce, {{"version", m_catalog->version},
                                       {"queues", m_catalog->queues.size()},
                                       {"services", m_catalog->services.size()}});
      for (const auto& callback : m_catalog_callbacks) callback(*m_catalog);
      for (auto& [partition, term] : m_terms) term->queue_services().ForgetRetired();
      if (m_planner) m_planner->SetCatalog(*m_catalog);
      if (m_ledger) m_ledger->SetAccounts(m_catalog->accounts);
      ApplyRegistry();
    } else if (key.starts_with(m_options.names.wave_prefix)) {
      auto wave = m_callbacks.decode_wave(value);
      if (wave) waves.push_back(std::move(*wave));
      if (!wave) LogEvent(Event::kMalformedRecord, {{"key", key}});
    }
  }
  if (m_planner) m_planner->SetWaves(waves, m_clock->Now());
}

void JobNode::ApplyRegistry() {
  const std::map<std::string, std::string>& records = m_registry.records();
  std::erase_if(m_registry_entries,
                [&](const auto& entry) { return records.count(entry.first) == 0; });
  for (const auto& [key, value] : records) {
    const auto [position, added] = m_registry_entries.try_emplace(key);
    RegistryEntry& entry = position->second;
    if (!added && entry.record == value) continue;
    entry.record = value;
    entry.upstream = m_callbacks.decode_upstream(key, value);
    if (!entry.upstream) LogEvent(Event::kMalformedRecord, {{"key", key}, {"cause", "registry"}});
  }
  for (auto& [partition, term] : m_terms) {
    if (term->active()) UpdateUpstreams(term.get(), m_clock->Now());
  }
}

void JobNode::UpdateUpstreams(PartitionTerm* term, Milliseconds now) {
  if (!m_catalog) return;
  term->scheduler().SetAccounts(m_catalog->accounts);
  if (!m_registry.loaded()) return;
  const std::set<ServiceName> services = ServicesOf(term->options().partition.number);
  std::vector<UpstreamEntry> entries;
  for (const auto& [key, entry] : m_registry_entries) {
    if (!entry.upstream || services.count(entry.upstream->service) == 0) continue;
    entries.push_back(*entry.upstream);
  }
  term->scheduler().SetUpstreams(entries, now);
}

void JobNode::RunPlanner(Milliseconds now) {
  const WorkTimes::Scope scope(&m_work, m_clock, WorkPart::kPlanning);
  const auto term = m_terms.find(kPlannerPartition);
  if (term == m_terms.end() || !term->second->active() || !m_catalog) return;
  if (!m_planner) {
    MaintenancePlannerOptions options = m_options.planner;
    options.holder = m_options.name;
    options.unix_offset = UnixOffset();
    options.fencing_token = term->second->options().epoch;
    m_planner = std::make_unique<MaintenancePlanner>(options, term->second->scheduler().metadata());
    m_planner->SetCatalog(*m_catalog);
    ApplyOperatorRecords();
  }
  const bool may_order = m_membership.IsConfirmed(now) && term->second->handover().settled(now);
  if (m_planner->NextDue() <= now) m_planner->Run(now, may_order, m_instance_orders);
  SendPlannerCalls();
}

void JobNode::SendMachineCall(const MachineCall& call) {
  const auto term = m_terms.at(kPlannerPartition);
  const auto on_reply = [this, call, term](const MachineReply& reply) {
    const WorkTimes::Scope scope(&m_work, m_clock, WorkPart::kPlanning);
    if (!m_planner || !term->active()) return;
    m_planner->OnMachines(call, reply, m_clock->Now());
    ScheduleTick(Milliseconds{0});
  };
  const auto instance = InstanceOf(call);
  // Checked right before the order is sent: the process may have been paused since it was decided.
  if (instance && !m_membership.IsConfirmed(m_clock->Now())) {
    on_reply({.status = MachineStatus::kRefused});
    return;
  }
  if (instance) m_instance_orders.Record(*instance, m_clock->Now());
  m_callbacks.call_machines(call, Milliseconds(config::kStoreTimeoutMs), on_reply);
}

void JobNode::SendPlannerCalls() {
  const auto term = m_terms.at(kPlannerPartition);
  for (const PlannerRecord& record : m_planner->TakeRecords()) {
    term->scheduler().PutMetadata(record.key, record.value);
  }
  for (const MachineCall& call : m_planner->TakeMachineCalls()) SendMachineCall(call);
  for (const NodeCall& call : m_planner->TakeNodeCalls()) {
    Handle(call, Milliseconds(config::kStoreTimeoutMs), [this, call](const NodeReply& reply) {
      if (!m_planner || reply.status != NodeStatus::kOk) return;
      const Milliseconds now = m_clock->Now();
      if (const auto* demand = std::get_if<DemandCall>(&call)) {
        m_planner->OnDemand(demand->service, reply.demand, now);
      } else if (const auto* release = std::get_if<ReleaseCall>(&call)) {
        m_planner->OnRelease(release->upstream, reply.release, now);
        ScheduleTick(Milliseconds{0});
      }
    });
  }
  for (const WaveReport& report : m_planner->TakeReports()) {
    const AppendKeyed append{
        .partition = m_options.names.status,
        .producer = "",
        .records = {{.key = m_options.names.wave_prefix + std::to_string(report.number),
                     .value = m_callbacks.encode_wave_report(report)}}};
    CallStore(append, Milliseconds(config::kStoreTimeoutMs),
              [this, report](const StoreReply& reply) {
                if (reply.status == StoreStatus::kOk || !m_planner) return;
                m_planner->RequeueReport(report);
              });
  }
}

}  // namespace endivewood
