/// @file
/// Simulates the machines of a fleet with their planner, and a scheduler for each of the services.
/// Invariants of planned moves and of lasting tasks are checked at every step.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "config.h"
#include "maintenance_planner.h"
#include "scheduler_simulation.h"

namespace endivewood::testing {

/// The pool of the machines that are off.
inline const ServiceName spare_pool("spare");

/// A lasting task as the simulated world sees it.
struct LastingTask {
  enum class Away : std::uint8_t { kNever = 0, kStopOrder, kMachineOrder, kRackDark, kOther };

  TaskKey key;
  ServiceName service;
  const StepSpec* step = nullptr;
  FakeUpstream* host = nullptr;  ///< Where it runs, or nullptr.
  Away cause = Away::kNever;     ///< Why it doesn't run.
  Milliseconds away_since{0};
  Milliseconds room_since{0};  ///< Since when its service has had room for it.
  bool reported = false;       ///< Its absence has been counted as a violation.
  // State of its service when its last run ended, and what has happened since.
  int fitting_when_stopped = 0;  ///< Upstreams with room for it.
  int steps_without_calm = 0;    ///< Steps shortly after a change of a rack.
  int steps_without_room = 0;    ///< Calm steps without room for it twice over.
  int short_starts_before = 0;
  int lasting_starts_before = 0;
  int fitting_steps = 0;  ///< Steps in which some upstream had room for it.
  std::string unplaced;   ///< The scheduler's last report.
};

inline const char* AwayName(LastingTask::Away cause) {
  switch (cause) {
    case LastingTask::Away::kNever:
      return "never started";
    case LastingTask::Away::kStopOrder:
      return "stopped by its scheduler";
    case LastingTask::Away::kMachineOrder:
      return "ended by a machine order";
    case LastingTask::Away::kRackDark:
      return "rack dark";
    case LastingTask::Away::kOther:
      return "other end";
  }
  return "";
}

/// Counts of one simulated run.
struct FleetFigures {
  std::vector<Milliseconds> absences;  ///< Of lasting tasks that had run before.
  std::string longest_absence;         ///< Describes the longest one.
  int moves = 0;
  int maintenances = 0;
  int jobs = 0;
  int refused = 0;
  int done = 0;
  int waves_complete = 0;
  int waves = 0;
};

class FleetSimulation {
 public:
  struct Options {
    unsigned seed = 1;
    int machines = 48;
    int service_machines = 12;  ///< Initial size of each service's pool; the others are spare.
    int lasting_tasks = 24;     ///< Of each service.
    /// State that the machine list gives a machine of a dark rack.
    MachineState state_when_dark = MachineState::kUp;
    bool short_load = true;
    bool waves = true;
    bool dark_racks = true;
    bool slow_stops = true;
    /// Receives one line for each event that explains a decision on lasting tasks and pools.
    std::function<void(const std::string&)> trace;
  };

  explicit FleetSimulation(Options options)
      : m_options(std::move(options)),
        m_random(m_options.seed),
        m_planner({.holder = "h", .fencing_token = 1}, {}) {
    FleetCatalog catalog{.version = 1};
    for (const std::string& name : {std::string("s1"), std::string("s2")}) {
      const ServiceName service(name);
      m_services.push_back(Service{.name = service});
      m_services.back().simulation = std::make_unique<SchedulerSimulation>(
          SchedulerSimulation::Options{.upstreams = 0,
                                       .capacity = kMachineCapacity,
                                       .seed = m_options.seed,
                                       .service = service,
                                       .registry_interval = kRegistryInterval,
                                       .run_for_estimate = true,
                                       .run_when_due = true});
      catalog.services.push_back({.name = service});
    }
    catalog.services.push_back({.name = spare_pool, .spare = true});
    now = m_services.front().simulation->now;
    m_start = now;
    SetEventSink(
        {.enabled = {}, .write = [this](Event event, const std::vector<EventField>& fields) {
           OnEvent(event, fields);
         }});
    AddMachines();
    m_planner.SetCatalog(catalog);
    for (Service& service : m_services) AddLastingJobs(&service);
    PlanTroubles();
  }
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;
  ~FleetSimulation() { SilenceEvents(); }

  void Run(Milliseconds duration) {
    const Milliseconds end = now + duration;
    while (now < end) Step();
    for (const LastingTask& task : m_lasting) {
      if (task.host == nullptr) RecordAbsence(task);
    }
    for (const Service& service : m_services) {
      const std::vector<Violation>& found = service.simulation->violations;
      violations.insert(violations.end(), found.begin(), found.end());
    }
  }

  Milliseconds now{0};
  FleetFigures figures;
  std::vector<Violation> violations;

 private:
  struct Machine {
    MachineEntry entry;  ///< As the list shows it, apart from its delay.
    RackName rack;
    FakeUpstream* upstream = nullptr;
    bool dark = false;
    std::optional<Milliseconds> back_at;  ///< Its next upstream starts then.
  };
  struct Service {
    ServiceName name;
    std::unique_ptr<SchedulerSimulation> simulation;
    double valley_cores = 0;
    double peak_cores = 0;
    double wide_share = 0;  ///< Share of jobs of many small tasks.
    Milliseconds next_job{0};
    int short_starts = 0;
    int lasting_starts = 0;
    std::string pool_size;  ///< The planner's last report.
  };

  static constexpr Capacity kMachineCapacity{.cpu_millicores = 32000, .memory_mb = 64000};
  static constexpr Milliseconds kStep{10};
  static constexpr Milliseconds kRegistryInterval{300};
  static constexpr Milliseconds kMoveTime{1500};
  static constexpr Milliseconds kMaintenanceTime{2000};
  static constexpr Milliseconds kRegistryDelay{300};
  /// Three heartbeats of 1.5 s, the first of which may be due.
  static constexpr Milliseconds kMinRegistryExpiry{3000};
  static constexpr Milliseconds kMaxRegistryExpiry{4500};
  static constexpr Milliseconds kListInterval{1000};  ///< Maximum age of the machine list.
  static constexpr Milliseconds kCallTime{10};
  static constexpr Milliseconds kLoadStart{5000};
  static constexpr Milliseconds kTurn{10000};
  static constexpr Milliseconds kTroubleEnd{70000};
  static constexpr Milliseconds kWaveDeadline{26000};
  // Limits of the invariants.
  static constexpr Milliseconds kAbsenceNotice{5000};
  static constexpr Milliseconds kAbsenceLimit{6000};
  static constexpr Milliseconds kRoomTime{3000};
  static constexpr Milliseconds kCalmTime{7000};

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }
  int UniformInt(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(m_random);
  }
  Milliseconds UniformTime(Milliseconds low, Milliseconds high) {
    return Milliseconds(UniformInt(static_cast<int>(low.count()), static_cast<int>(high.count())));
  }
  void After(Milliseconds delay, std::function<void()> action) {
    m_actions.emplace(now + delay, std::move(action));
  }

  Service* FindService(const ServiceName& name) {
    for (Service& service : m_services) {
      if (service.name == name) return &service;
    }
    return nullptr;
  }

  // Set-up.

  void AddMachines() {
    int rack = 0;
    int left_in_rack = 0;
    for (int i = 0; i < m_options.machines; ++i) {
      if (left_in_rack-- == 0) {
        ++rack;
        left_in_rack = UniformInt(4, 20) - 1;
      }
      Machine machine{.entry = {.instance = InstanceName("m" + std::to_string(i)),
                                .pool = spare_pool,
                                .capacity = kMachineCapacity},
                      .rack = RackName("r" + std::to_string(rack))};
      m_machines.push_back(machine);
    }
    // Pools aren't aligned with racks.
    std::vector<std::size_t> order(m_machines.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::shuffle(order.begin(), order.end(), m_random);
    std::size_t next = 0;
    for (const Service& service : m_services) {
      for (int i = 0; i < m_options.service_machines; ++i) {
        Machine& machine = m_machines[order[next++]];
        machine.entry.pool = service.name;
        StartUpstream(&machine);
      }
    }
    RefreshList();
  }

  StepSpec MakeStep(int count, int cpu_millicores, int memory_mb, Milliseconds estimate) const {
    StepSpec step;
    step.count = count;
    step.cpu_millicores = cpu_millicores;
    step.memory_mb = memory_mb;
    step.estimate = estimate;
    return step;
  }

  void AddLastingJobs(Service* service) {
    int left = m_options.lasting_tasks;
    for (int number = 0; left > 0; ++number) {
      const int count = std::min(left, UniformInt(2, 6));
      left -= count;
      const double memory = std::lognormal_distribution<double>(std::log(12500.0), 0.6)(m_random);
      StepSpec step =
          MakeStep(count, UniformInt(4000, 7000),
                   static_cast<int>(std::clamp(memory, 2000.0, 46000.0)), Milliseconds(500));
      step.lasting = true;
      step.max_per_upstream = UniformInt(2, 4);
      step.max_unavailable = 2;
      SchedulerSimulation& simulation = *service->simulation;
      const std::string id = service->name.str() + "-lasting" + std::to_string(number);
      simulation.Submit(simulation.Spec(id, {step}), test_policy);
      for (int index = 0; index < count; ++index) {
        m_lasting.push_back({.key = Key(id, 0, index),
                             .service = service->name,
                             .step = &simulation.specs.at(JobId(id)).steps[0],
                             .away_since = now,
                             .room_since = now});
      }
    }
  }

  void PlanTroubles() {
    for (Service& service : m_services) {
      service.valley_cores = m_options.service_machines * kMachineCapacity.cpu_millicores / 1000.0;
      service.peak_cores = service.valley_cores * Uniform(1.5, 3.5);
      service.wide_share = Uniform(0.3, 0.9);
      service.next_job = m_start + kLoadStart;
    }
    m_turn_offset = UniformTime(Milliseconds(0), 2 * kTurn);
    if (m_options.waves) {
      for (Milliseconds at = UniformTime(Milliseconds(8000), Milliseconds(25000)); at < kTroubleEnd;
           at += UniformTime(Milliseconds(28000), Milliseconds(45000))) {
        After(at, [this] { BeginWave(); });
      }
    }
    if (m_options.dark_racks) {
      for (int i = UniformInt(0, 2); i > 0; --i) {
        After(UniformTime(Milliseconds(8000), kTroubleEnd), [this] { DarkenRack(); });
      }
    }
    m_slow_stop_share = m_options.slow_stops ? Uniform(0, 0.1) : 0;
  }

  // Machines.

  void StartUpstream(Machine* machine) {
    Service* const service = FindService(machine->entry.pool);
    machine->entry.upstream = UpstreamId();
    machine->upstream = nullptr;
    if (service == nullptr) return;
    const UpstreamId id("u" + std::to_string(++m_upstreams));
    machine->upstream = &service->simulation->AddUpstream(id, machine->rack, now.count());
    machine->upstream->listed_from =
        m_upstreams > 2 * m_options.service_machines ? now + kRegistryDelay : Milliseconds(0);
    if (Uniform(0, 1) < m_slow_stop_share) {
      machine->upstream->stop_time = UniformTime(Milliseconds(300), Milliseconds(2500));
    }
    machine->entry.upstream = id;
  }

  /// Ends everything on a machine.
  void EndUpstream(Machine* machine, LastingTask::Away cause, Milliseconds listed_for) {
    FakeUpstream* const upstream = machine->upstream;
    machine->upstream = nullptr;
    if (upstream == nullptr) return;
    for (LastingTask& task : m_lasting) {
      if (task.host == upstream) OnTaskEnded(&task, cause);
    }
    upstream->running.clear();
    upstream->ended.clear();
    upstream->alive = false;
    upstream->reachable = false;
    upstream->listed_until = now + listed_for;
  }

  Machine* FindMachine(const InstanceName& instance) {
    for (Machine& machine : m_machines) {
      if (machine.entry.instance == instance) return &machine;
    }
    return nullptr;
  }

  MachineStatus Move(const MoveInstance& order) {
    Machine* const machine = FindMachine(order.instance);
    if (machine->dark || machine->entry.state != MachineState::kUp) return MachineStatus::kBusy;
    if (machine->entry.pool == order.pool) return MachineStatus::kOk;
    ++figures.moves;
    EndUpstream(machine, LastingTask::Away::kMachineOrder, kRegistryDelay);
    machine->entry.pool = order.pool;
    machine->entry.state = MachineState::kMoving;
    machine->entry.upstream = UpstreamId();
    machine->back_at = now + kMoveTime;
    return MachineStatus::kOk;
  }

  MachineStatus Maintain(const MaintainInstance& order) {
    Machine* const machine = FindMachine(order.instance);
    if (machine->dark || machine->entry.state != MachineState::kUp) return MachineStatus::kBusy;
    ++figures.maintenances;
    EndUpstream(machine, LastingTask::Away::kMachineOrder, kRegistryDelay);
    machine->entry.state = MachineState::kMaintenance;
    machine->entry.upstream = UpstreamId();
    machine->back_at = now + kMaintenanceTime;
    return MachineStatus::kOk;
  }

  void RunMachines() {
    for (Machine& machine : m_machines) {
      if (!machine.back_at || *machine.back_at > now) continue;
      machine.back_at.reset();
      if (machine.dark) m_last_rack_change = now;
      machine.dark = false;
      machine.entry.state = MachineState::kUp;
      StartUpstream(&machine);
    }
    if ((now - m_start).count() % kListInterval.count() == 0) RefreshList();
  }

  void RefreshList() {
    m_list.clear();
    for (const Machine& machine : m_machines) m_list.push_back(machine.entry);
  }

  // Troubles.

  void BeginWave() {
    MaintenanceWave wave{.number = m_waves.size() + 1,
                         .deadline = kWaveDeadline,
                         .max_at_once = std::max(1, m_options.machines / 7)};
    const double share = Uniform(0.2, 0.6);
    for (const Machine& machine : m_machines) {
      if (Uniform(0, 1) < share) wave.instances.push_back(machine.entry.instance);
    }
    m_waves.push_back(wave);
    ++figures.waves;
    Trace("wave of " + std::to_string(wave.instances.size()) + " machines");
    m_planner.SetWaves(m_waves, now);
  }

  void DarkenRack() {
    const RackName rack = m_machines[UniformInt(0, m_options.machines - 1)].rack;
    int machines = 0;
    for (Machine& machine : m_machines) {
      if (machine.rack != rack || machine.entry.state != MachineState::kUp) continue;
      if (machine.upstream == nullptr) continue;
      ++machines;
      EndUpstream(&machine, LastingTask::Away::kRackDark,
                  UniformTime(kMinRegistryExpiry, kMaxRegistryExpiry));
      machine.dark = true;
      machine.entry.state = m_options.state_when_dark;
      machine.back_at = now + UniformTime(Milliseconds(5000), Milliseconds(10000));
    }
    if (machines > 0) m_last_rack_change = now;
    Trace("rack " + rack.str() + " dark: " + std::to_string(machines) + " upstreams");
  }

  // Short work.

  void SubmitShortWork() {
    if (!m_options.short_load) return;
    for (std::size_t i = 0; i < m_services.size(); ++i) {
      Service& service = m_services[i];
      if (service.next_job > now) continue;
      const bool in_turn =
          static_cast<std::size_t>((now - m_start + m_turn_offset) / kTurn) % m_services.size() ==
          i;
      const StepSpec step = Uniform(0, 1) < service.wide_share
                                ? MakeStep(8, 4000, 4200, Milliseconds(700))
                                : MakeStep(2, 8800, 16000, Milliseconds(1800));
      const double core_ms =
          step.count * step.cpu_millicores * static_cast<double>(step.estimate.count()) / 1000.0;
      const double cores = service.peak_cores * (in_turn ? 1.0 : 0.05);
      const double gap = std::exponential_distribution<double>(cores / core_ms)(m_random);
      // At the end of a turn, the rate changes without a long gap.
      service.next_job = now + std::min(Milliseconds(static_cast<int>(gap)), Milliseconds(3000));
      const std::string id = service.name.str() + "-short" + std::to_string(++figures.jobs);
      SubmitShort(&service, service.simulation->Spec(id, {step}), now + Milliseconds(3000));
    }
  }

  void SubmitShort(Service* service, const JobSpec& spec, Milliseconds retry_until) {
    const SubmitResult result = service->simulation->Submit(spec, test_policy);
    if (result.kind == SubmitResult::Kind::kStored) return;
    if (now + result.retry_after > retry_until) {
      ++figures.refused;
      return;
    }
    After(result.retry_after,
          [this, service, spec, retry_until] { SubmitShort(service, spec, retry_until); });
  }

  // The planner.

  void RunPlanner() {
    if (m_planner.NextDue() > now) return;
    m_planner.Run(now, true, m_orders);
    for (const NodeCall& call : m_planner.TakeNodeCalls()) Answer(call);
    for (const MachineCall& call : m_planner.TakeMachineCalls()) {
      MachineReply reply{.status = MachineStatus::kOk};
      if (std::holds_alternative<ListInstances>(call)) {
        reply.machines = m_list;
      } else if (const auto* move = std::get_if<MoveInstance>(&call)) {
        reply.status = Move(*move);
      } else {
        reply.status = Maintain(std::get<MaintainInstance>(call));
      }
      After(kCallTime, [this, call, reply] { m_planner.OnMachines(call, reply, now); });
    }
    for (const WaveReport& report : m_planner.TakeReports()) {
      if (report.complete) ++figures.waves_complete;
    }
    m_planner.TakeRecords();
  }

  void Answer(const NodeCall& call) {
    if (const auto* demand = std::get_if<DemandCall>(&call)) {
      After(kCallTime, [this, demand = *demand] {
        JobScheduler& scheduler = *FindService(demand.service)->simulation->holder;
        scheduler.SetPlannedCapacity(demand.service, demand.planned_millicores, now);
        m_planner.OnDemand(demand.service, scheduler.Demand(demand.service, now), now);
      });
    } else if (const auto* release = std::get_if<ReleaseCall>(&call)) {
      After(kCallTime, [this, release = *release] {
        JobScheduler& scheduler = *FindService(release.service)->simulation->holder;
        const ReleaseState state = scheduler.Release(release.upstream, now);
        m_planner.OnRelease(release.upstream, state, now);
      });
    }
  }

  // Time.

  void Step() {
    now += kStep;
    RunMachines();
    while (!m_actions.empty() && m_actions.begin()->first <= now) {
      const std::function<void()> action = std::move(m_actions.begin()->second);
      m_actions.erase(m_actions.begin());
      action();
    }
    SubmitShortWork();
    RunPlanner();
    for (Service& service : m_services) service.simulation->Run(kStep);
    CheckLastingTasks();
  }

  // Invariants.

  static bool HasRoom(const Capacity& free, const StepSpec& step, int times) {
    return free.cpu_millicores >= times * step.cpu_millicores &&
           free.memory_mb >= times * step.memory_mb;
  }

  static Capacity FreeOf(const FakeUpstream& upstream) {
    const Capacity used = upstream.Used();
    return {.cpu_millicores = upstream.entry.capacity.cpu_millicores - used.cpu_millicores,
            .memory_mb = upstream.entry.capacity.memory_mb - used.memory_mb};
  }

  /// Calls `visit` for each upstream of a service that is up.
  template <typename Visit>
  void VisitUpstreams(const ServiceName& service, Visit visit) const {
    for (const Machine& machine : m_machines) {
      const FakeUpstream* const upstream = machine.upstream;
      if (upstream == nullptr || machine.entry.pool != service) continue;
      if (upstream->IsListed(now)) visit(*upstream);
    }
  }

  int CountFitting(const LastingTask& task) const {
    int fitting = 0;
    VisitUpstreams(task.service, [&](const FakeUpstream& upstream) {
      int same_step = 0;
      for (const auto& [key, run] : upstream.running) {
        if (key.job == task.key.job) ++same_step;
      }
      const bool fits = HasRoom(FreeOf(upstream), *task.step, 1);
      if (fits && same_step < task.step->max_per_upstream) ++fitting;
    });
    return fitting;
  }

  void OnTaskEnded(LastingTask* task, LastingTask::Away cause) {
    const Service& service = *FindService(task->service);
    task->host = nullptr;
    task->cause = cause;
    task->away_since = now;
    task->room_since = now;
    task->reported = false;
    task->fitting_when_stopped = CountFitting(*task);
    task->short_starts_before = service.short_starts;
    task->lasting_starts_before = service.lasting_starts;
    task->fitting_steps = 0;
    task->steps_without_calm = 0;
    task->steps_without_room = 0;
    task->unplaced.clear();
    if (cause == LastingTask::Away::kStopOrder || cause == LastingTask::Away::kMachineOrder) {
      CheckUnavailable(*task);
    }
  }

  /// An order has ended a run: few enough others of its step may be away.
  void CheckUnavailable(const LastingTask& ended) {
    int unavailable = 1;
    for (const LastingTask& task : m_lasting) {
      if (task.key.job != ended.key.job || task.key == ended.key || task.host != nullptr) continue;
      const bool by_order = task.cause == LastingTask::Away::kStopOrder ||
                            task.cause == LastingTask::Away::kMachineOrder;
      if (by_order || now - task.away_since > kAbsenceNotice) ++unavailable;
    }
    if (unavailable > std::max(1, ended.step->max_unavailable)) {
      violations.push_back({"unavailable: " + ended.key.str() + " is number " +
                                std::to_string(unavailable) + ", " + AwayName(ended.cause),
                            now});
    }
  }

  LastingTask::Away CauseOf(const LastingTask& task) const {
    for (auto row = task.host->ended.rbegin(); row != task.host->ended.rend(); ++row) {
      if (row->task == task.key && row->end == RunEnd::kStopped)
        return LastingTask::Away::kStopOrder;
    }
    return LastingTask::Away::kOther;
  }

  void RecordAbsence(const LastingTask& task) {
    if (task.cause == LastingTask::Away::kNever) return;
    const Milliseconds duration = now - task.away_since;
    const bool longest = std::all_of(figures.absences.begin(), figures.absences.end(),
                                     [&](Milliseconds other) { return other < duration; });
    if (longest) figures.longest_absence = Describe(task);
    figures.absences.push_back(duration);
  }

  void FindHost(LastingTask* task) {
    for (const Machine& machine : m_machines) {
      if (machine.upstream == nullptr || machine.entry.pool != task->service) continue;
      if (machine.upstream->running.count(task->key) == 0) continue;
      RecordAbsence(*task);
      task->host = machine.upstream;
      return;
    }
  }

  void CheckLastingTasks() {
    for (LastingTask& task : m_lasting) {
      if (task.host != nullptr && task.host->running.count(task.key) == 0) {
        OnTaskEnded(&task, CauseOf(task));
      }
      if (task.host == nullptr) FindHost(&task);
      if (task.host == nullptr) CheckAbsence(&task);
    }
  }

  struct Room {
    Capacity free;
    int upstreams = 0;
  };

  /// Free capacity of all upstreams of a service that are up.
  Room RoomOf(const ServiceName& service) const {
    Room room;
    VisitUpstreams(service, [&](const FakeUpstream& upstream) {
      const Capacity free = FreeOf(upstream);
      room.free.cpu_millicores += free.cpu_millicores;
      room.free.memory_mb += free.memory_mb;
      ++room.upstreams;
    });
    return room;
  }

  /// Explains an absence until now.
  std::string Describe(const LastingTask& task) {
    const Service& service = *FindService(task.service);
    const Room room = RoomOf(task.service);
    std::ostringstream what;
    what << task.key.str() << ", " << AwayName(task.cause) << " at "
         << (task.away_since - m_start).count() << " ms, for " << (now - task.away_since).count()
         << " ms; needs " << task.step->cpu_millicores << " millicores and " << task.step->memory_mb
         << " MB; " << room.upstreams << " upstreams up with " << room.free.cpu_millicores
         << " millicores and " << room.free.memory_mb << " MB free; " << task.fitting_when_stopped
         << " had room when it ended, " << task.fitting_steps * kStep.count()
         << " ms with room on one since, " << task.steps_without_calm * kStep.count()
         << " ms near a change of a rack, " << task.steps_without_room * kStep.count()
         << " ms without room twice over; starts since: "
         << service.short_starts - task.short_starts_before << " short, "
         << service.lasting_starts - task.lasting_starts_before
         << " lasting; scheduler: " << task.unplaced << "; planner: " << service.pool_size;
    return what.str();
  }

  void CheckAbsence(LastingTask* task) {
    const Capacity free = RoomOf(task->service).free;
    if (CountFitting(*task) > 0) ++task->fitting_steps;
    const bool calm = !m_last_rack_change || *m_last_rack_change + kCalmTime <= now;
    const bool room = HasRoom(free, *task->step, 2);
    if (!calm) ++task->steps_without_calm;
    if (calm && !room) ++task->steps_without_room;
    if (!calm || !room) task->room_since = now;
    if (now - task->away_since <= kAbsenceLimit || now - task->room_since < kRoomTime) return;
    if (task->reported) return;
    task->reported = true;
    const bool never = task->cause == LastingTask::Away::kNever;
    const std::string what = (never ? "not started: " : "away: ") + Describe(*task);
    violations.push_back({what, now});
    Trace(what);
  }

  // Events.

  void Trace(const std::string& text) {
    if (m_options.trace) m_options.trace(std::to_string((now - m_start).count()) + " " + text);
  }

  void OnEvent(Event event, const std::vector<EventField>& fields) {
    const auto value = [&](const std::string& name) -> std::string {
      for (const EventField& field : fields) {
        if (field.name == name) return field.value;
      }
      return "";
    };
    const auto text = [&] {
      std::string line = EventInfoOf(event).name;
      for (const EventField& field : fields)
        line += std::string(" ") + field.name + "=" + field.value;
      return line;
    };
    if (event == Event::kTaskStarted) {
      const std::string task = value("task");
      for (Service& service : m_services) {
        if (!task.starts_with(service.name.str() + "-")) continue;
        const bool lasting = task.find("lasting") != std::string::npos;
        ++(lasting ? service.lasting_starts : service.short_starts);
        if (lasting) Trace(text());
      }
      return;
    }
    if (event == Event::kTaskUnplaced) {
      for (LastingTask& task : m_lasting) {
        if (task.key.str() == value("task")) task.unplaced = text();
      }
    } else if (event == Event::kPoolSize) {
      Service* const service = FindService(ServiceName(value("service")));
      if (service != nullptr) service->pool_size = text();
    } else if (event == Event::kJobEnded) {
      ++figures.done;
      return;
    } else if (event != Event::kMoveHeld && event != Event::kPoolNeed &&
               event != Event::kMoveOrdered && event != Event::kMaintenanceOrdered &&
               event != Event::kTaskMoved && event != Event::kWaveProgress &&
               event != Event::kUpstreamLeaseEnded) {
      return;
    }
    if (m_options.trace) Trace(text());
  }

  Options m_options;
  std::mt19937 m_random;
  MaintenancePlanner m_planner;
  InstanceOrders m_orders{Milliseconds(3000)};
  Milliseconds m_start{0};
  std::vector<Service> m_services;
  std::vector<Machine> m_machines;
  std::vector<MachineEntry> m_list;  ///< As the machine service lists them.
  std::vector<MaintenanceWave> m_waves;
  std::vector<LastingTask> m_lasting;
  std::multimap<Milliseconds, std::function<void()>> m_actions;
  std::optional<Milliseconds> m_last_rack_change;
  Milliseconds m_turn_offset{0};
  double m_slow_stop_share = 0;
  int m_upstreams = 0;
};

}  // namespace endivewood::testing
