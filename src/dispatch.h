/// @file
/// Pure queue and slot decisions of one data centre: events in, actions out, time passed in.
#pragma once

#include <deque>
#include <set>

#include "config.h"
#include "ejection.h"
#include "run_time.h"
#include "slot_allocator.h"

namespace endivewood {

// ---------------------------------------------------------------------------------------------
// Events

/// A request asks for a slot. Tickets are unique.
struct RequestArrived {
  SlotTicket ticket;
  SlotRequest request;
};

/// A granted request gives its slot back. An unknown or repeated grant is ignored.
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

/// Lets deadlines, demotions and probes take effect.
struct ClockTicked {};

/// Answers ProbeUpstream.
struct ProbeAnswered {
  InstanceName instance;
  bool healthy = false;
};

/// Refuses every waiting request.
struct DispatchStopped {};

using DispatchEvent = std::variant<RequestArrived, RequestEnded, RequestCancelled, ViewChanged,
                                   ClockTicked, ProbeAnswered, DispatchStopped>;

// ---------------------------------------------------------------------------------------------
// Actions

/// Answers a ticket. The id of the grant is that of the ticket.
struct GrantSlot {
  SlotTicket ticket;
  SlotGrant grant;

  bool operator==(const GrantSlot&) const = default;
};

/// Answers a ticket: the request was not run.
struct RefuseRequest {
  SlotTicket ticket;
  Reason reason;

  bool operator==(const RefuseRequest&) const = default;
};

/// Asks for the slot of a long task, which resumes later.
struct CheckpointTask {
  SlotGrant grant;

  bool operator==(const CheckpointTask&) const = default;
};

/// Asks whether an ejected upstream answers.
struct ProbeUpstream {
  InstanceName instance;
  Endpoint endpoint;

  bool operator==(const ProbeUpstream&) const = default;
};

using DispatchAction = std::variant<GrantSlot, RefuseRequest, CheckpointTask, ProbeUpstream>;

// ---------------------------------------------------------------------------------------------
// Dispatcher

/// Options of a Dispatcher.
struct DispatchOptions {
  DataCentreName data_centre;
  std::size_t queue_limit = config::kQueueLimit;
  Milliseconds short_run_limit{config::kShortRunLimitMs};
  /// Refuses short work on arrival when its estimated wait exceeds the deadline.
  bool refuse_early = true;
  EjectionOptions ejection;
};

/// Numbers of a Dispatcher at one moment.
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

  /// @param now must not go back.
  std::vector<DispatchAction> Handle(const DispatchEvent& event, Milliseconds now);

  DispatchStats Stats() const;

 private:
  /// Position in a queue: earlier places first, then earlier tickets.
  struct QueueKey {
    Milliseconds place{0};
    SlotTicket ticket;
    auto operator<=>(const QueueKey&) const = default;
  };

  struct Service;

  struct Waiting {
    SlotRequest request;
    WorkClass work_class = WorkClass::kShort;
    Milliseconds deadline{0};
  };

  using Queue = std::map<QueueKey, Waiting>;

  /// Where a ticket waits.
  struct Position {
    Service* service = nullptr;
    WorkClass work_class = WorkClass::kShort;
    QueueKey key;
    Milliseconds deadline{0};
  };

  struct Instance {
    InstanceView view;
    bool ready = false;  ///< In this data centre and ready in the present view.
    int in_use = 0;
    Milliseconds paused_until{0};
  };

  struct Pool {
    std::vector<Instance*> instances;
    std::vector<Service*> services;
    EjectionDetector ejection;
    ArrivalRate short_arrivals;
    std::optional<Average> short_run_ms;  ///< No value until a short run was observed.
    bool serves_short = false;            ///< A service of the pool is declared short.
    Average checkpoint_ms{config::kCheckpointGuessMs, config::kRunTimeWindow};
    std::set<QueueKey> running_long;  ///< Tasks that have not been asked for a checkpoint.
    std::map<QueueKey, Milliseconds> checkpoints;  ///< Tasks that were asked, and when.
  };

  struct Service {
    ServiceName name;
    Pool* pool = nullptr;
    Queue short_queue;
    Queue long_queue;
    int short_in_use = 0;
    ClassEstimate declared_short{WorkClass::kShort};
    ClassEstimate declared_long{WorkClass::kLong};
    std::optional<Average> short_run_ms;  ///< No value until a short run was observed.
  };

  struct Running {
    SlotGrant grant;
    SlotRequest request;
    Service* service = nullptr;
    Pool* pool = nullptr;
    QueueKey key;
    WorkClass work_class = WorkClass::kShort;
    bool demoted = false;
    Milliseconds started{0};
  };

  /// One call of Handle.
  struct Turn {
    Milliseconds now{0};
    std::vector<DispatchAction> actions;
  };

  void On(const RequestArrived& event, Turn* turn);
  void On(const RequestEnded& event, Turn* turn);
  void On(const RequestCancelled& event, Turn* turn);
  void On(const ViewChanged& event, Turn* turn);
  void On(const ClockTicked& event, Turn* turn);
  void On(const ProbeAnswered& event, Turn* turn);
  void On(const DispatchStopped& event, Turn* turn);

  std::optional<Reason> RefusalOnArrival(const Service& service, const SlotRequest& request,
                                         WorkClass work_class, Milliseconds now) const;
  static std::optional<Reason> RefusalOfPlace(const Service& service, const SlotRequest& request);
  void Enqueue(Service* service, SlotTicket ticket, Waiting waiting, Milliseconds now);
  static void Refuse(SlotTicket ticket, Reason reason, Turn* turn);
  Pool* RemoveWaiting(SlotTicket ticket);
  void RefuseWaiting(SlotTicket ticket, Reason reason, Turn* turn);
  void RefuseQueue(const Queue* queue, const Reason& reason, Turn* turn);
  void RefuseExpired(Turn* turn);
  void DemoteLongRuns(Turn* turn);
  void ObserveRun(const Running& running, const RequestEnded& event) const;
  void FreeSlot(const Running& running, const RequestEnded& event, Milliseconds now);
  static void ReclaimUnansweredCheckpoints(Pool* pool, Milliseconds now);
  void ApplyInstances(const FleetView& view);
  void ApplyServices(const FleetView& view, Turn* turn);
  void RefuseWithoutUpstream(Turn* turn);

  void Decide(Pool* pool, Turn* turn);
  void GrantShort(Pool* pool, Turn* turn);
  void GrantLong(Pool* pool, Turn* turn);
  bool GrantFirst(Service* service, Queue* queue, Turn* turn);
  void Grant(Service* service, Queue* queue, Queue::iterator item, Instance* instance, Turn* turn);
  void RequestCheckpoints(Pool* pool, Turn* turn);
  void RequestProbes(Pool* pool, Turn* turn);

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
  std::map<SlotTicket, Position> m_waiting;
  std::set<std::pair<Milliseconds, SlotTicket>> m_deadlines;
  std::map<std::uint64_t, Running> m_running;
  /// Short runs by the time at which they outrun their class.
  std::set<std::pair<Milliseconds, std::uint64_t>> m_demotions;
};

}  // namespace endivewood
