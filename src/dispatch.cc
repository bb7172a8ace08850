/// @file
/// Assigns requests to the upstream slots of one data centre.
#include "dispatch.h"

#include <algorithm>
#include <cmath>

namespace endivewood {
namespace {

/// Upper bound of a queue deadline, so that adding "never" to the time doesn't overflow.
constexpr Milliseconds kMaxQueueDeadline = std::chrono::hours(24 * 365);

/// Standard deviations above the mean up to which idle slots cover the short demand expected after
/// one checkpoint time. 2.33 covers 99 % of the time, which the p99 wait needs; the rest allows for
/// checkpoints that take longer than their mean. At 2.5 the p99 wait is 5 ms, at 3.0 it is 0.
constexpr double kReserveDeviations = 3.0;

/// Long work leaves at least one of this many slots of a pool free, for the first short arrivals of
/// a peak.
constexpr int kSlotsPerReserved = 8;

bool Contains(const std::vector<InstanceName>& names, const InstanceName& name) {
  return std::ranges::find(names, name) != names.end();
}

}  // namespace

Dispatcher::Dispatcher(DispatchOptions options) : m_options(std::move(options)) {}

std::vector<DispatchAction> Dispatcher::Handle(const DispatchEvent& event, Milliseconds now) {
  EventContext context{.now = now};
  RefuseExpired(&context);
  DemoteLongRuns(&context);
  std::visit([&](const auto& typed) { On(typed, &context); }, event);
  return std::move(context.actions);
}

DispatchStats Dispatcher::Stats() const {
  DispatchStats stats;
  for (const auto& [name, service] : m_services) {
    stats.waiting_short += service.short_queue.size();
    stats.waiting_long += service.long_queue.size();
  }
  for (const auto& [id, running] : m_running) {
    ++(running.work_class == WorkClass::kShort ? stats.running_short : stats.running_long);
  }
  for (const auto& [name, pool] : m_pools) stats.ejected += pool.ejection.EjectedCount();
  return stats;
}

// Arrival and refusal.

void Dispatcher::On(const RequestArrived& event, EventContext* context) {
  const auto found = m_services.find(event.request.service);
  if (m_stopped) return Refuse(event.ticket, {ResultCode::kNotRunStopping, "stopping"}, context);
  if (found == m_services.end() || found->second.pool == nullptr) {
    return Refuse(event.ticket, {ResultCode::kUnknownService, event.request.service.str()},
                  context);
  }
  Service& service = found->second;
  const bool declared_short = event.request.work_class == WorkClass::kShort;
  const WorkClass work_class =
      (declared_short ? service.declared_short : service.declared_long).value();
  if (work_class == WorkClass::kShort) service.pool->short_arrivals.OnArrival(context->now);
  if (auto reason = RefusalOnArrival(service, event.request, work_class, context->now)) {
    return Refuse(event.ticket, std::move(*reason), context);
  }
  const Milliseconds wait = std::min(event.request.queue_deadline, kMaxQueueDeadline);
  Enqueue(&service, event.ticket,
          {.request = event.request, .work_class = work_class, .deadline = context->now + wait},
          context->now);
  SchedulePool(service.pool, context);
}

void Dispatcher::Enqueue(Service* service, SlotTicket ticket, WaitingRequest waiting,
                         Milliseconds now) {
  const WorkClass work_class = waiting.work_class;
  const QueueKey key{.queued_since = now - waiting.request.age, .ticket = ticket};
  m_waiting[ticket] = {
      .service = service, .work_class = work_class, .key = key, .deadline = waiting.deadline};
  m_deadlines.insert({waiting.deadline, ticket});
  Queue& queue = work_class == WorkClass::kShort ? service->short_queue : service->long_queue;
  queue.emplace(key, std::move(waiting));
}

std::optional<Reason> Dispatcher::RefusalOnArrival(const Service& service,
                                                   const SlotRequest& request, WorkClass work_class,
                                                   Milliseconds now) const {
  const Pool& pool = *service.pool;
  const bool is_short = work_class == WorkClass::kShort;
  // Long work waits until an upstream is ready; the caller of short work may try elsewhere.
  if (pool.instances.empty() && is_short) {
    return Reason{ResultCode::kNotRunNoUpstream, "no ready upstream in this data centre"};
  }
  if (IsNotRunnable(request.avoid, pool.instances.size())) {
    return Reason{ResultCode::kNotRunnable,
                  "the request failed on " + std::to_string(request.avoid.size()) + " upstreams"};
  }
  if (request.age > Milliseconds(0)) return std::nullopt;
  const std::size_t length = (is_short ? service.short_queue : service.long_queue).size();
  if (length >= m_options.queue_limit) {
    return Reason{ResultCode::kNotRunOverload, "the queue is full"};
  }
  const bool starts_now = length == 0 && HasFreeSlot(pool, now);
  if (!is_short || starts_now || !m_options.refuse_early) return std::nullopt;
  return RefusalByEstimatedWait(service, request);
}

std::optional<Reason> Dispatcher::RefusalByEstimatedWait(const Service& service,
                                                         const SlotRequest& request) {
  if (!service.short_run_ms) return std::nullopt;
  const auto competes = [&](const Service* other) {
    return other == &service || !other->short_queue.empty();
  };
  const auto sharing = std::ranges::count_if(service.pool->services, competes);
  const int slots = std::max(1, HealthySlots(*service.pool, false, Milliseconds(0)));
  const double slots_share = static_cast<double>(slots) / static_cast<double>(sharing);
  const double ahead = static_cast<double>(service.short_queue.size()) + 1.0;
  const Milliseconds wait(
      static_cast<std::int64_t>(ahead * service.short_run_ms->value() / slots_share));
  if (wait <= request.queue_deadline) return std::nullopt;
  return Reason{ResultCode::kNotRunDeadline,
                "the estimated wait of " + std::to_string(wait.count()) +
                    " ms exceeds the deadline of " +
                    std::to_string(request.queue_deadline.count()) + " ms"};
}

void Dispatcher::Refuse(SlotTicket ticket, Reason reason, EventContext* context) {
  context->actions.push_back(RefuseRequest{.ticket = ticket, .reason = std::move(reason)});
}

Dispatcher::Pool* Dispatcher::RemoveWaiting(SlotTicket ticket) {
  const auto found = m_waiting.find(ticket);
  if (found == m_waiting.end()) return nullptr;
  const QueuePosition& position = found->second;
  Service& service = *position.service;
  Pool* pool = service.pool;
  const bool is_short = position.work_class == WorkClass::kShort;
  (is_short ? service.short_queue : service.long_queue).erase(position.key);
  m_deadlines.erase({position.deadline, ticket});
  m_waiting.erase(found);
  return pool;
}

void Dispatcher::RefuseWaiting(SlotTicket ticket, Reason reason, EventContext* context) {
  if (RemoveWaiting(ticket) != nullptr) Refuse(ticket, std::move(reason), context);
}

void Dispatcher::RefuseQueue(const Queue* queue, const Reason& reason, EventContext* context) {
  while (!queue->empty()) RefuseWaiting(queue->begin()->first.ticket, reason, context);
}

void Dispatcher::RefuseExpired(EventContext* context) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= context->now) {
    RefuseWaiting(m_deadlines.begin()->second,
                  {ResultCode::kNotRunDeadline, "no slot became free within the deadline"},
                  context);
  }
}

void Dispatcher::On(const RequestCancelled& event, EventContext* context) {
  // A cancellation frees no slot, so nothing has to be scheduled.
  RefuseWaiting(event.ticket, {ResultCode::kNotRunCancelled, "cancelled while waiting"}, context);
}

void Dispatcher::On(const DispatchStopped&, EventContext* context) {
  m_stopped = true;
  for (auto& [name, service] : m_services) {
    RefuseQueue(&service.short_queue, {ResultCode::kNotRunStopping, "stopping"}, context);
    RefuseQueue(&service.long_queue, {ResultCode::kNotRunStopping, "stopping"}, context);
  }
}

// End of a grant.

void Dispatcher::On(const RequestEnded& event, EventContext* context) {
  const auto found = m_running.find(event.grant);
  if (found == m_running.end()) return;
  const RunningRequest running = std::move(found->second);
  m_running.erase(found);
  ReleaseSlot(running, event, context->now);
  ObserveRun(running, event);
  running.pool->ejection.OnOutcome(running.grant.upstream, event.outcome, running.request.avoid,
                                   context->now);
  SchedulePool(running.pool, context);
}

void Dispatcher::ReleaseSlot(const RunningRequest& running, const RequestEnded& event,
                             Milliseconds now) {
  m_demotions.erase({running.started + m_options.short_run_limit, event.grant});
  if (running.work_class == WorkClass::kShort) --running.service->short_in_use;
  Pool& pool = *running.pool;
  pool.running_long.erase(running.key);
  const auto requested = pool.checkpoints.find(running.key);
  if (requested != pool.checkpoints.end()) {
    const auto took_ms = static_cast<double>((now - requested->second).count());
    if (event.outcome == SlotOutcome::kCheckpointed) pool.checkpoint_ms.Observe(took_ms);
    pool.checkpoints.erase(requested);
  }
  const auto found = m_instances.find(running.grant.upstream);
  if (found == m_instances.end()) return;
  Instance& instance = found->second;
  --instance.in_use;
  if (event.outcome == SlotOutcome::kRefusedBusy) {
    instance.paused_until = now + Milliseconds(config::kBusyPauseMs);
  }
  if (event.outcome == SlotOutcome::kRefusedDraining || event.outcome == SlotOutcome::kNotReached) {
    instance.paused_until = now + Milliseconds(config::kUnavailablePauseMs);
  }
}

void Dispatcher::ObserveRun(const RunningRequest& running, const RequestEnded& event) const {
  Service& service = *running.service;
  const bool succeeded = event.outcome == SlotOutcome::kSucceeded;
  if (running.work_class == WorkClass::kShort && succeeded) {
    const double run_ms = std::max(1.0, static_cast<double>(event.run_time.count()));
    if (!service.short_run_ms) service.short_run_ms.emplace(run_ms, config::kRunTimeWindow);
    service.short_run_ms->Observe(run_ms);
    std::optional<MovingAverage>& pool_run_ms = running.pool->short_run_ms;
    if (!pool_run_ms) pool_run_ms.emplace(run_ms, config::kRunTimeWindow);
    pool_run_ms->Observe(run_ms);
  }
  if (running.demoted) return;
  const bool declared_short = running.request.work_class == WorkClass::kShort;
  ClassEstimate& estimate = declared_short ? service.declared_short : service.declared_long;
  const bool is_long = event.run_time >= m_options.short_run_limit;
  // The remainder of resumed work may be brief, so only a run from the start counts as short.
  const bool is_short = !is_long && succeeded && running.request.age == Milliseconds(0);
  if (is_long) estimate.Observe(WorkClass::kLong);
  if (is_short) estimate.Observe(WorkClass::kShort);
}

void Dispatcher::DemoteLongRuns(EventContext* context) {
  while (!m_demotions.empty() && m_demotions.begin()->first <= context->now) {
    const std::uint64_t id = m_demotions.begin()->second;
    m_demotions.erase(m_demotions.begin());
    RunningRequest& running = m_running.at(id);
    running.work_class = WorkClass::kLong;
    running.demoted = true;
    --running.service->short_in_use;
    running.pool->running_long.insert(running.key);
    const bool declared_short = running.request.work_class == WorkClass::kShort;
    Service& service = *running.service;
    (declared_short ? service.declared_short : service.declared_long).Observe(WorkClass::kLong);
  }
}

// Fleet view, clock and probes.

void Dispatcher::On(const ViewChanged& event, EventContext* context) {
  ApplyInstances(*event.view);
  ApplyServices(*event.view, context);
  RefuseWithoutUpstream(context);
  for (auto& [name, pool] : m_pools) SchedulePool(&pool, context);
}

void Dispatcher::ApplyInstances(const FleetView& view) {
  for (auto& [name, pool] : m_pools) pool.instances.clear();
  for (auto& [name, instance] : m_instances) instance.ready = false;
  for (const auto& [name, present] : view.instances) {
    if (present.data_centre != m_options.data_centre) continue;
    Instance& instance = m_instances[name];
    if (instance.view.version != present.version) instance.paused_until = Milliseconds(0);
    instance.view = present;
    instance.ready = present.state == InstanceState::kReady;
    if (instance.ready) m_pools[present.pool].instances.push_back(&instance);
  }
  std::erase_if(m_instances,
                [](const auto& item) { return !item.second.ready && item.second.in_use == 0; });
  for (auto& [name, pool] : m_pools) {
    std::vector<InstanceName> members;
    members.reserve(pool.instances.size());
    for (const Instance* instance : pool.instances) members.push_back(instance->view.name);
    pool.ejection.SetMembers(members);
  }
}

void Dispatcher::ApplyServices(const FleetView& view, EventContext* context) {
  for (auto& [name, pool] : m_pools) {
    pool.services.clear();
    pool.serves_short = false;
  }
  for (auto& [name, service] : m_services) service.pool = nullptr;
  for (const ServiceConfig& config : view.config.services) {
    Service& service = m_services[config.name];
    service.name = config.name;
    service.pool = &m_pools[config.pool];
    service.pool->services.push_back(&service);
    if (config.work_class == WorkClass::kShort) service.pool->serves_short = true;
  }
  for (auto& [name, service] : m_services) {
    if (service.pool != nullptr) continue;
    RefuseQueue(&service.short_queue, {ResultCode::kUnknownService, name.str()}, context);
    RefuseQueue(&service.long_queue, {ResultCode::kUnknownService, name.str()}, context);
  }
}

void Dispatcher::RefuseWithoutUpstream(EventContext* context) {
  for (auto& [name, service] : m_services) {
    if (service.pool == nullptr || !service.pool->instances.empty()) continue;
    RefuseQueue(&service.short_queue,
                {ResultCode::kNotRunNoUpstream, "no ready upstream in this data centre"}, context);
  }
}

void Dispatcher::On(const ClockTicked&, EventContext* context) {
  for (auto& [name, pool] : m_pools) SchedulePool(&pool, context);
}

void Dispatcher::On(const ProbeAnswered& event, EventContext* context) {
  const auto found = m_instances.find(event.instance);
  if (found == m_instances.end() || !found->second.ready) return;
  Pool& pool = m_pools[found->second.view.pool];
  pool.ejection.OnProbe(event.instance, event.healthy, context->now);
  SchedulePool(&pool, context);
}

void Dispatcher::RequestProbes(Pool* pool, EventContext* context) {
  for (const InstanceName& name : pool->ejection.DueProbes(context->now)) {
    const Endpoint endpoint = m_instances.at(name).view.endpoint;
    context->actions.push_back(ProbeUpstream{.instance = name, .endpoint = endpoint});
  }
}

// Slots.

int Dispatcher::FreeSlots(const Pool& pool, const Instance& instance, bool trial,
                          Milliseconds now) {
  if (now < instance.paused_until) return 0;
  const UpstreamHealth health = pool.ejection.Health(instance.view.name);
  if (health == UpstreamHealth::kEjected) return 0;
  if (health == UpstreamHealth::kTrial) return trial && instance.in_use == 0 ? 1 : 0;
  return std::max(0, instance.view.slots - instance.in_use);
}

int Dispatcher::HealthySlots(const Pool& pool, bool free_only, Milliseconds now) {
  int slots = 0;
  for (const Instance* instance : pool.instances) {
    if (pool.ejection.Health(instance->view.name) != UpstreamHealth::kHealthy) continue;
    slots += free_only ? FreeSlots(pool, *instance, false, now) : instance->view.slots;
  }
  return slots;
}

bool Dispatcher::HasFreeSlot(const Pool& pool, Milliseconds now) {
  return std::ranges::any_of(pool.instances, [&](const Instance* instance) {
    return FreeSlots(pool, *instance, true, now) > 0;
  });
}

int Dispatcher::ReservedSlots(const Pool& pool, Milliseconds now) {
  if (!pool.serves_short) return 0;
  int in_use = 0;
  for (const Service* service : pool.services) in_use += service->short_in_use;
  const ShortDemand demand{.arrivals_per_ms = pool.short_arrivals.PerMillisecond(now),
                           .run_ms = pool.short_run_ms ? pool.short_run_ms->value() : 0.0,
                           .in_use = static_cast<double>(in_use)};
  const double growth = DemandGrowth(demand, pool.checkpoint_ms.value(), kReserveDeviations);
  const int slots = HealthySlots(pool, false, now);
  const int min_reserved = std::max(1, slots / kSlotsPerReserved);
  // Leaves one slot for long work, so that it also runs on the smallest idle pool.
  return std::min(slots - 1, std::max(min_reserved, static_cast<int>(std::ceil(growth))));
}

Dispatcher::Instance* Dispatcher::PickInstance(const Pool& pool, const SlotRequest& request,
                                               Milliseconds now) {
  const auto avoided = [&](const Instance* instance) {
    return Contains(request.avoid, instance->view.name);
  };
  const bool all_avoided = std::ranges::all_of(pool.instances, avoided);
  Instance* best = nullptr;
  int most_free = 0;
  for (Instance* instance : pool.instances) {
    const int free = FreeSlots(pool, *instance, request.trial_allowed, now);
    if (free <= most_free) continue;
    if (avoided(instance) && !all_avoided) continue;
    best = instance;
    most_free = free;
  }
  return best;
}

void Dispatcher::SchedulePool(Pool* pool, EventContext* context) {
  ReclaimUnansweredCheckpoints(pool, context->now);
  if (!m_stopped) {
    GrantShort(pool, context);
    GrantLong(pool, context);
    RequestCheckpoints(pool, context);
  }
  RequestProbes(pool, context);
}

void Dispatcher::GrantShort(Pool* pool, EventContext* context) {
  std::vector<Service*> services;
  for (Service* service : pool->services) {
    if (!service->short_queue.empty()) services.push_back(service);
  }
  while (!services.empty() && HasFreeSlot(*pool, context->now)) {
    const auto least = std::ranges::min_element(services, {}, &Service::short_in_use);
    Service* service = *least;
    const bool granted = GrantFirst(service, &service->short_queue, context);
    if (!granted || service->short_queue.empty()) services.erase(least);
  }
}

void Dispatcher::GrantLong(Pool* pool, EventContext* context) {
  std::vector<Service*> services;
  for (Service* service : pool->services) {
    if (!service->long_queue.empty()) services.push_back(service);
  }
  if (services.empty()) return;
  const int reserve = ReservedSlots(*pool, context->now);
  // Hysteresis: without the margin every arrival would checkpoint a task and every end would resume
  // one. Half of the reserve causes half as many checkpoints as a quarter of it, for a seventh less
  // progress of long work.
  const int margin = std::max(1, reserve / 2);
  const int kept_free = std::min(reserve + margin, HealthySlots(*pool, false, context->now) - 1);
  while (!services.empty() && HealthySlots(*pool, true, context->now) > kept_free) {
    const auto oldest = std::ranges::min_element(
        services, {}, [](const Service* service) { return service->long_queue.begin()->first; });
    Service* service = *oldest;
    const bool granted = GrantFirst(service, &service->long_queue, context);
    if (!granted || service->long_queue.empty()) services.erase(oldest);
  }
}

bool Dispatcher::GrantFirst(Service* service, Queue* queue, EventContext* context) {
  for (auto item = queue->begin(); item != queue->end(); ++item) {
    Instance* instance = PickInstance(*service->pool, item->second.request, context->now);
    if (instance == nullptr) continue;
    Grant(service, queue, item, instance, context);
    return true;
  }
  return false;
}

void Dispatcher::Grant(Service* service, Queue* queue, Queue::iterator item, Instance* instance,
                       EventContext* context) {
  const QueueKey key = item->first;
  WaitingRequest& waiting = item->second;
  const SlotGrant grant{.id = key.ticket.id,
                        .upstream = instance->view.name,
                        .endpoint = instance->view.endpoint,
                        .assignment = instance->view.assignment,
                        .work_class = waiting.work_class};
  ++instance->in_use;
  if (waiting.work_class == WorkClass::kShort) {
    ++service->short_in_use;
    m_demotions.insert({context->now + m_options.short_run_limit, grant.id});
  } else {
    service->pool->running_long.insert(key);
  }
  m_running[grant.id] = {.grant = grant,
                         .request = std::move(waiting.request),
                         .service = service,
                         .pool = service->pool,
                         .key = key,
                         .work_class = waiting.work_class,
                         .started = context->now};
  context->actions.push_back(GrantSlot{.ticket = key.ticket, .grant = grant});
  m_deadlines.erase({waiting.deadline, key.ticket});
  m_waiting.erase(key.ticket);
  queue->erase(item);
}

void Dispatcher::RequestCheckpoints(Pool* pool, EventContext* context) {
  if (pool->running_long.empty()) return;
  std::size_t waiting = 0;
  for (const Service* service : pool->services) waiting += service->short_queue.size();
  const int reserve = ReservedSlots(*pool, context->now);
  const int free = HealthySlots(*pool, true, context->now);
  int needed = static_cast<int>(waiting) + reserve - free;
  needed -= static_cast<int>(pool->checkpoints.size());
  // The youngest tasks are checkpointed first, so that the oldest ones complete.
  for (; needed > 0 && !pool->running_long.empty(); --needed) {
    const QueueKey key = *pool->running_long.rbegin();
    pool->running_long.erase(key);
    pool->checkpoints[key] = context->now;
    context->actions.push_back(CheckpointTask{.grant = m_running.at(key.ticket.id).grant});
  }
}

void Dispatcher::ReclaimUnansweredCheckpoints(Pool* pool, Milliseconds now) {
  const auto unanswered = [&](const auto& item) {
    return now - item.second >= Milliseconds(config::kCheckpointTimeoutMs);
  };
  for (const auto& item : pool->checkpoints) {
    if (unanswered(item)) pool->running_long.insert(item.first);
  }
  std::erase_if(pool->checkpoints, unanswered);
}

}  // namespace endivewood
