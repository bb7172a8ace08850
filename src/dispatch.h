/// @file
/// Assigns requests to the upstream slots of one data centre. Does no I/O and reads no clock: it
/// receives events and the time, and returns actions.
#pragma once

#include <deque>
#include <set>

#include "config.h"
#include "ejection.h"
#include "run_time.h"
#include "slot_allocator.h"

namespace endivewood {

// Events.

/// A request asks for a slot. Tickets are unique.
struct RequestArrived {
  SlotTicket ticket;
  SlotRequest request;
};

/// A granted request has ended and releases its slot. An unknown or repeated grant is ignored.
struct RequestEnded {
  std::uint64_t grant = 0;
  SlotOutcome outcome = SlotOutcome::kSucceeded;
  Milliseconds run_time{0};
};

/// A waiting request is withdrawn. Has no effect once the request is granted or refused.
struct RequestCancelled {
  SlotTicket ticket;
};

struct ViewChanged {
  std::shared_ptr<const FleetView> view;
};

/// Time has passed: deadlines, demotions and probes that are due are handled.
struct ClockTicked {};

/// The result of a ProbeUpstream action.
struct ProbeAnswered {
  InstanceName instance;
  bool healthy = false;
};

/// Refuses every waiting request.
struct DispatchStopped {};

using DispatchEvent = std::variant<RequestArrived, RequestEnded, RequestCancelled, ViewChanged,
                                   ClockTicked, ProbeAnswered, DispatchStopped>;

// Actions.

/// Grants the request of a ticket. The grant has the ticket's id.
struct GrantSlot {
  SlotTicket ticket;
  SlotGrant grant;

  bool operator==(const GrantSlot&) const = default;
};

/// Refuses the request of a ticket, which was not run.
struct RefuseRequest {
  SlotTicket ticket;
  Reason reason;

  bool operator==(const RefuseRequest&) const = default;
};

/// Asks a long task to checkpoint and release its slot; it resumes later.
struct CheckpointTask {
  SlotGrant grant;

  bool operator==(const CheckpointTask&) const = default;
};

/// Asks for a health check of an ejected upstream.
struct ProbeUpstream {
  InstanceName instance;
  Endpoint endpoint;

  bool operator==(const ProbeUpstream&) const = default;
};

using DispatchAction = std::variant<GrantSlot, RefuseRequest, CheckpointTask, ProbeUpstream>;

struct DispatchOptions {
  DataCentreName data_centre;
  std::size_t queue_limit = config::kQueueLimit;
  Milliseconds short_run_limit{config::kShortRunLimitMs};
  /// Refuses short work on arrival when its estimated wait exceeds the deadline.
  bool refuse_early = true;
  EjectionOptions ejection;
};

/// Current queue lengths, running requests and ejected upstreams of a Dispatcher.
struct DispatchStats {
  std::size_t waiting_short = 0;
  std::size_t waiting_long = 0;
  std::size_t running_short = 0;
  std::size_t running_long = 0;
  std::size_t ejected = 0;

  bool operator==(const DispatchStats&) const = default;
};

/// Decides which request gets which slot. Each ticket is answered exactly once. Services that share
/// a pool share its slots: short work first, the service that holds the fewest slots first among
/// short work, the oldest request first among long work. Not thread-safe.
class Dispatcher {
 public:
  explicit Dispatcher(DispatchOptions options);

  /// @param now must not decrease between calls.
  std::vector<DispatchAction> Handle(const DispatchEvent& event, Milliseconds now);

  DispatchStats Stats() const;

 private:
  /// Position in a queue: the longest queued first, then the lowest ticket.
  struct QueueKey {
    Milliseconds queued_since{0};
    SlotTicket ticket;
    auto operator<=>(const QueueKey&) const = default;
  };

  struct Service;

  struct WaitingRequest {
    SlotRequest request;
    WorkClass work_class = WorkClass::kShort;
    Milliseconds deadline{0};
  };

  using Queue = std::map<QueueKey, WaitingRequest>;

  /// Locates a waiting ticket in the queues.
  struct QueuePosition {
    Service* service = nullptr;
    WorkClass work_class = WorkClass::kShort;
    QueueKey key;
    Milliseconds deadline{0};
  };

  struct Instance {
    InstanceView view;
    bool ready = false;  ///< In this data centre and ready in the current view.
    int in_use = 0;
    Milliseconds paused_until{0};
  };

  struct Pool {
    std::vector<Instance*> instances;
    std::vector<Service*> services;
    EjectionDetector ejection;
    ArrivalRate short_arrivals;
    std::optional<MovingAverage> short_run_ms;  ///< No value until a short run was observed.
    bool serves_short = false;                  ///< A service of the pool is declared short.
    MovingAverage checkpoint_ms{config::kInitialCheckpointMs, config::kRunTimeWindow};
    std::set<QueueKey> running_long;  ///< Long tasks that were not asked to checkpoint.
    std::map<QueueKey, Milliseconds> checkpoints;  ///< Tasks that were asked, with the time.
  };

  struct Service {
    ServiceName name;
    Pool* pool = nullptr;
    Queue short_queue;
    Queue long_queue;
    int short_in_use = 0;
    ClassEstimate declared_short{WorkClass::kShort};
    ClassEstimate declared_long{WorkClass::kLong};
    std::optional<MovingAverage> short_run_ms;  ///< No value until a short run was observed.
  };

  struct RunningRequest {
    SlotGrant grant;
    SlotRequest request;
    Service* service = nullptr;
    Pool* pool = nullptr;
    QueueKey key;
    WorkClass work_class = WorkClass::kShort;
    bool demoted = false;
    Milliseconds started{0};
  };

  /// The time and the actions of one call of Handle.
  struct EventContext {
    Milliseconds now{0};
    std::vector<DispatchAction> actions;
  };

  void On(const RequestArrived& event, EventContext* context);
  void On(const RequestEnded& event, EventContext* context);
  void On(const RequestCancelled& event, EventContext* context);
  void On(const ViewChanged& event, EventContext* context);
  void On(const ClockTicked& event, EventContext* context);
  void On(const ProbeAnswered& event, EventContext* context);
  void On(const DispatchStopped& event, EventContext* context);

  std::optional<Reason> RefusalOnArrival(const Service& service, const SlotRequest& request,
                                         WorkClass work_class, Milliseconds now) const;
  static std::optional<Reason> RefusalByEstimatedWait(const Service& service,
                                                      const SlotRequest& request);
  void Enqueue(Service* service, SlotTicket ticket, WaitingRequest waiting, Milliseconds now);
  static void Refuse(SlotTicket ticket, Reason reason, EventContext* context);
  Pool* RemoveWaiting(SlotTicket ticket);
  void RefuseWaiting(SlotTicket ticket, Reason reason, EventContext* context);
  void RefuseQueue(const Queue* queue, const Reason& reason, EventContext* context);
  void RefuseExpired(EventContext* context);
  void DemoteLongRuns(EventContext* context);
  void ObserveRun(const RunningRequest& running, const RequestEnded& event) const;
  void ReleaseSlot(const RunningRequest& running, const RequestEnded& event, Milliseconds now);
  static void ReclaimUnansweredCheckpoints(Pool* pool, Milliseconds now);
  void ApplyInstances(const FleetView& view);
  void ApplyServices(const FleetView& view, EventContext* context);
  void RefuseWithoutUpstream(EventContext* context);

  void SchedulePool(Pool* pool, EventContext* context);
  void GrantShort(Pool* pool, EventContext* context);
  void GrantLong(Pool* pool, EventContext* context);
  bool GrantFirst(Service* service, Queue* queue, EventContext* context);
  void Grant(Service* service, Queue* queue, Queue::iterator item, Instance* instance,
             EventContext* context);
  void RequestCheckpoints(Pool* pool, EventContext* context);
  void RequestProbes(Pool* pool, EventContext* context);

  static int FreeSlots(const Pool& pool, const Instance& instance, bool trial, Milliseconds now);
  static int HealthySlots(const Pool& pool, bool free_only, Milliseconds now);
  static bool HasFreeSlot(const Pool& pool, Milliseconds now);
  static int ReservedSlots(const Pool& pool, Milliseconds now);
  static Instance* PickInstance(const Pool& pool, const SlotRequest& request, Milliseconds now);

  DispatchOptions m_options;
  bool m_stopped = false;
  std::map<InstanceName, Instance> m_instances;
  std::map<PoolName, Pool> m_pools;
  std::map<ServiceName, Service> m_services;
  std::map<SlotTicket, QueuePosition> m_waiting;
  std::set<std::pair<Milliseconds, SlotTicket>> m_deadlines;
  std::map<std::uint64_t, RunningRequest> m_running;
  /// Running short requests by the time at which they are demoted to long work.
  std::set<std::pair<Milliseconds, std::uint64_t>> m_demotions;
};

}  // namespace endivewood
