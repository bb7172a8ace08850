/// @file
/// Maintenance waves of the planner, and orders across holders.
#include "maintenance_planner.h"

#include <catch2/catch.hpp>
#include <ctime>

#include "scheduler_simulation.h"

namespace endivewood::testing {
namespace {

/// A simulated machine service and its instances, and schedulers that release instances on request.
class FakeFleet {
 public:
  explicit FakeFleet(int instances) {
    SilenceEvents();
    for (int i = 0; i < instances; ++i) {
      const std::string number = std::to_string(i);
      machines.push_back({.instance = InstanceName("m" + number),
                          .pool = test_service,
                          .state = MachineState::kUp,
                          .upstream = UpstreamId("u" + number),
                          .capacity = {.cpu_millicores = 32000}});
    }
  }

  MaintenanceWave Wave(int max_at_once) const {
    MaintenanceWave wave{.number = 1, .deadline = Milliseconds(20000), .max_at_once = max_at_once};
    for (const MachineEntry& machine : machines) wave.instances.push_back(machine.instance);
    return wave;
  }

  /// Adds instances and returns a wave of them.
  MaintenanceWave WaveOfAdded(std::uint64_t number, int instances) {
    MaintenanceWave wave{
        .number = number, .deadline = Milliseconds(20000), .max_at_once = instances};
    for (int i = 0; i < instances; ++i) {
      const std::string name = "added" + std::to_string(machines.size());
      machines.push_back({.instance = InstanceName(name),
                          .pool = test_service,
                          .state = MachineState::kUp,
                          .upstream = UpstreamId("u-" + name),
                          .capacity = {.cpu_millicores = 32000}});
      wave.instances.push_back(machines.back().instance);
    }
    return wave;
  }

  bool ReportedComplete(std::uint64_t wave) const {
    return std::count(reports.begin(), reports.end(),
                      WaveReport{.number = wave, .complete = true}) > 0;
  }

  /// Advances time by 50 ms, runs the planner once, and answers its calls.
  void Tick(MaintenancePlanner* planner) {
    now += Milliseconds(50);
    for (auto it = maintenance_end.begin(); it != maintenance_end.end();) {
      if (it->second > now) {
        ++it;
        continue;
      }
      machines[it->first].state = MachineState::kUp;
      it = maintenance_end.erase(it);
    }
    planner->Run(now, may_order, orders);
    for (const NodeCall& call : planner->TakeNodeCalls()) {
      const auto* release = std::get_if<ReleaseCall>(&call);
      if (release == nullptr) continue;
      asked.insert(release->upstream);
      // The time runs from the first request for any of them.
      const auto slow = released_from.find(release->upstream);
      if (slow != released_from.end() && !slow_since) slow_since = now;
      const bool early = slow != released_from.end() && now < *slow_since + slow->second;
      planner->OnRelease(release->upstream,
                         releases && !early ? ReleaseState::kReleased : ReleaseState::kBusy, now);
    }
    for (const MachineCall& call : planner->TakeMachineCalls()) Answer(planner, call);
    for (const WaveReport& report : planner->TakeReports()) reports.push_back(report);
    max_down = std::max(max_down, static_cast<int>(maintenance_end.size()));
  }

  std::vector<MachineEntry> machines;
  std::map<std::size_t, Milliseconds> maintenance_end;
  std::vector<WaveReport> reports;
  std::set<InstanceName> maintained;
  std::map<ServiceName, int> moved_to;  ///< Moves by target pool.
  std::set<UpstreamId> asked;           ///< Upstreams whose release was requested.
  bool releases = true;
  /// Upstreams that are released this long after the first request for one of them.
  std::map<UpstreamId, Milliseconds> released_from;
  std::optional<Milliseconds> slow_since;
  bool may_order = true;
  bool machine_service_available = true;
  InstanceOrders orders{Milliseconds(3000)};
  int max_down = 0;
  Milliseconds now{0};

 private:
  void Answer(MaintenancePlanner* planner, const MachineCall& call) {
    if (!machine_service_available) {
      planner->OnMachines(call, {.status = MachineStatus::kRefused}, now);
      return;
    }
    MachineReply reply{.status = MachineStatus::kOk, .machines = machines, .next_page = ""};
    if (const auto* maintain = std::get_if<MaintainInstance>(&call)) {
      for (std::size_t i = 0; i < machines.size(); ++i) {
        if (machines[i].instance != maintain->instance) continue;
        machines[i].state = MachineState::kMaintenance;
        maintenance_end[i] = now + Milliseconds(2000);
        maintained.insert(maintain->instance);
      }
    }
    if (const auto* move = std::get_if<MoveInstance>(&call)) {
      for (MachineEntry& machine : machines) {
        if (machine.instance != move->instance) continue;
        machine.pool = move->pool;
        ++moved_to[move->pool];
      }
    }
    planner->OnMachines(call, reply, now);
  }
};

MaintenancePlannerOptions Options() {
  return {.holder = "h", .fencing_token = 3, .move_instances = false};
}

FleetCatalog Catalog() { return {.version = 1, .services = {{.name = test_service}}}; }

// Guards against taking down more instances than the operators allow, and against reporting a wave
// complete before every instance has been maintained.
TEST_CASE("a wave observes its limit and is complete after the last instance") {
  FakeFleet fleet(8);
  MaintenancePlanner planner(Options(), {});
  planner.SetCatalog(Catalog());
  planner.SetWaves({fleet.Wave(2)}, fleet.now);
  while (fleet.now < Milliseconds(60000) &&
         (fleet.reports.empty() || !fleet.reports.back().complete)) {
    fleet.Tick(&planner);
  }
  CHECK(fleet.maintained.size() == 8);
  CHECK(fleet.max_down == 2);
  REQUIRE(fleet.reports.size() == 2);
  CHECK_FALSE(fleet.reports[0].complete);
  CHECK(fleet.reports[1].complete);
}

// Guards against a wave that is reported as complete from a list that was read before it, so that
// instances which had joined meanwhile never get their maintenance.
TEST_CASE(
    "a wave of instances that joined while the machine service was unavailable is carried out") {
  FakeFleet fleet(4);
  MaintenancePlanner planner(Options(), {});
  planner.SetCatalog(Catalog());
  planner.SetWaves({fleet.Wave(4)}, fleet.now);
  while (fleet.now < Milliseconds(10000)) fleet.Tick(&planner);
  REQUIRE(fleet.ReportedComplete(1));
  fleet.machine_service_available = false;
  const MaintenanceWave added = fleet.WaveOfAdded(2, 2);
  planner.SetWaves({added}, fleet.now);
  while (fleet.now < Milliseconds(15000)) fleet.Tick(&planner);
  CHECK_FALSE(fleet.ReportedComplete(2));
  fleet.machine_service_available = true;
  while (fleet.now < Milliseconds(25000)) fleet.Tick(&planner);
  CHECK(fleet.maintained.size() == 6);
  CHECK(fleet.ReportedComplete(2));
}

// Guards against a wave that is reported as complete from a list whose first page was requested
// before it and answered after it.
TEST_CASE("a list that was requested before a wave doesn't show that its instances have left") {
  FakeFleet fleet(1);
  const std::vector<MachineEntry> before = fleet.machines;
  MaintenancePlannerOptions options = Options();
  options.move_instances = true;
  MaintenancePlanner planner(options, {});
  planner.SetCatalog(Catalog());
  planner.Run(fleet.now, true, fleet.orders);
  const std::vector<MachineCall> calls = planner.TakeMachineCalls();
  REQUIRE(calls.size() == 1);
  planner.SetWaves({fleet.WaveOfAdded(2, 1)}, fleet.now);
  const MachineReply first_page{
      .status = MachineStatus::kOk, .machines = before, .next_page = "next"};
  planner.OnMachines(calls[0], first_page, fleet.now);
  const std::vector<MachineCall> next = planner.TakeMachineCalls();
  REQUIRE(next.size() == 1);
  planner.OnMachines(next[0], {.status = MachineStatus::kOk, .machines = {}, .next_page = ""},
                     fleet.now);
  planner.Run(fleet.now, true, fleet.orders);
  for (const WaveReport& report : planner.TakeReports()) CHECK_FALSE(report.complete);
  while (fleet.now < Milliseconds(10000)) fleet.Tick(&planner);
  CHECK(fleet.maintained == std::set<InstanceName>{InstanceName("added1")});
  CHECK(fleet.ReportedComplete(2));
}

// Guards against a wave that stays incomplete for instances that no longer exist.
TEST_CASE("a wave of instances that have left is complete") {
  FakeFleet fleet(3);
  const MaintenanceWave wave = fleet.Wave(3);
  fleet.machines.pop_back();
  MaintenancePlanner planner(Options(), {});
  planner.SetCatalog(Catalog());
  planner.SetWaves({wave}, fleet.now);
  while (fleet.now < Milliseconds(10000)) fleet.Tick(&planner);
  CHECK(fleet.maintained.size() == 2);
  CHECK(fleet.ReportedComplete(1));
}

// Guards against taking down an instance that still runs tasks.
TEST_CASE("an instance that its scheduler hasn't released stays up") {
  FakeFleet fleet(2);
  fleet.releases = false;
  MaintenancePlanner planner(Options(), {});
  planner.SetCatalog(Catalog());
  planner.SetWaves({fleet.Wave(2)}, fleet.now);
  while (fleet.now < Milliseconds(30000)) fleet.Tick(&planner);
  CHECK(fleet.maintained.empty());
}

// Guards against orders from a planner that may have been replaced.
TEST_CASE("a planner without a confirmed membership gives no orders") {
  FakeFleet fleet(2);
  fleet.may_order = false;
  MaintenancePlanner planner(Options(), {});
  planner.SetCatalog(Catalog());
  planner.SetWaves({fleet.Wave(2)}, fleet.now);
  while (fleet.now < Milliseconds(10000)) fleet.Tick(&planner);
  CHECK(fleet.maintained.empty());
}

// Guards against maintaining every instance again after each change of the planner.
TEST_CASE("a new planner skips instances that the stored records show as maintained") {
  FakeFleet fleet(3);
  MaintenancePlanner planner(Options(), {{"w/1/m0", "1"}, {"w/1/m2", "1"}});
  planner.SetCatalog(Catalog());
  planner.SetWaves({fleet.Wave(3)}, fleet.now);
  while (fleet.now < Milliseconds(10000)) fleet.Tick(&planner);
  CHECK(fleet.maintained == std::set<InstanceName>{InstanceName("m1")});
}

// Guards against a wave that misses its deadline because instances are released one at a time.
TEST_CASE("a wave with little time left takes several instances at once, busy ones included") {
  FakeFleet fleet(20);
  MaintenancePlanner planner(Options(), {});
  planner.SetCatalog(Catalog());
  ServiceDemand demand{.upstreams = 20, .cpu_running = 640000};
  for (const MachineEntry& machine : fleet.machines) {
    demand.release_order.push_back({.upstream = machine.upstream, .left = Milliseconds(1000)});
  }
  planner.OnDemand(test_service, demand, fleet.now);
  planner.SetWaves({fleet.Wave(8)}, fleet.now);
  while (fleet.now < Milliseconds(20000)) fleet.Tick(&planner);
  CHECK(fleet.maintained.size() == 20);
  CHECK(fleet.max_down <= 8);
}

// Guards against a new planner that takes a wave for overdue, and so releases instances during a
// peak of demand.
TEST_CASE("a new planner uses the stored time at which a wave was first seen") {
  FakeFleet fleet(4);
  MaintenancePlannerOptions options = Options();
  options.unix_offset = Milliseconds(1000000);
  MaintenancePlanner first(options, {});
  first.SetCatalog(Catalog());
  first.SetWaves({fleet.Wave(4)}, Milliseconds(5000));
  const std::vector<PlannerRecord> records = first.TakeRecords();
  REQUIRE(records.size() == 1);
  CHECK(records[0] == PlannerRecord{.key = "w/seen/1", .value = "1005000"});
  MaintenancePlanner second(options, {{records[0].key, records[0].value}});
  second.SetWaves({fleet.Wave(4)}, Milliseconds(9000));
  CHECK(second.TakeRecords().empty());
}

// Guards against a wave that is late because it ends with the instances that take longest: the
// tasks of a lasting step leave theirs one after another.
TEST_CASE("a wave doesn't leave the instances that take longest to release for its end") {
  constexpr int kInstances = 24;
  constexpr int kSlow = 8;
  FakeFleet fleet(kInstances);
  // The slow ones are released one at a time, 1.5 s apart.
  for (int slow = 0; slow < kSlow; ++slow) {
    fleet.released_from[UpstreamId("u" + std::to_string(slow))] = Milliseconds(1500 * (slow + 1));
  }
  MaintenancePlannerOptions options = Options();
  options.move_instances = true;
  MaintenancePlanner planner(options, {});
  planner.SetCatalog(Catalog());
  ServiceDemand demand{.upstreams = kInstances, .cpu_capacity = std::int64_t{kInstances} * 32000};
  for (int number = 0; number < kInstances; ++number) {
    const Milliseconds left(number < kSlow ? config::kMoveTimeoutMs : 500 + number);
    demand.release_order.push_back(
        {.upstream = UpstreamId("u" + std::to_string(number)), .left = left});
  }
  MaintenanceWave wave = fleet.Wave(6);
  wave.deadline = Milliseconds(16000);
  planner.SetWaves({wave}, fleet.now);
  while (fleet.now < Milliseconds(16000)) {
    planner.OnDemand(test_service, demand, fleet.now);
    fleet.Tick(&planner);
  }
  CHECK(fleet.maintained.size() == kInstances);
}

/// Plays a wave over half of a pool of 120 and, a second later, the peak of another pool.
/// @param left time in which each instance could be released.
/// @returns how many instances outside the wave are asked to be released for the peak.
std::size_t AskedForPeak(Milliseconds left) {
  constexpr int kInstances = 120;
  FakeFleet fleet(kInstances);
  fleet.releases = false;
  const ServiceName peak("peak");
  MaintenancePlannerOptions options = Options();
  options.move_instances = true;
  MaintenancePlanner planner(options, {});
  planner.SetCatalog(
      {.version = 1, .services = {{.name = test_service}, {.name = peak, .spare = false}}});
  MaintenanceWave wave = fleet.Wave(60);
  wave.instances.resize(60);
  planner.SetWaves({wave}, fleet.now);
  ServiceDemand idle{.upstreams = kInstances};
  // The instances outside the wave come first.
  for (auto machine = fleet.machines.rbegin(); machine != fleet.machines.rend(); ++machine) {
    idle.release_order.push_back({.upstream = machine->upstream, .left = left});
  }
  std::size_t asked_for_moves = 0;
  while (fleet.now < Milliseconds(3000)) {
    planner.OnDemand(test_service, idle, fleet.now);
    // The peak begins once the wave has requested its releases.
    const bool begun = fleet.now > Milliseconds(1000);
    planner.OnDemand(peak, {.cpu_waiting = begun ? std::int64_t{60} * 32000 : 0}, fleet.now);
    fleet.Tick(&planner);
  }
  for (int i = 60; i < kInstances; ++i) {
    asked_for_moves += fleet.asked.count(UpstreamId("u" + std::to_string(i)));
  }
  return asked_for_moves;
}

// Guards against a pool that gets no instances for a peak while a large wave is in progress, and
// against one that gets them a few at a time although their pool needs none of them.
TEST_CASE("the releases of a wave don't hold up moves out of its pool") {
  CHECK(AskedForPeak(Milliseconds(1000)) == 60);
}

// Guards against lasting tasks that leave many instances at once and find no room.
TEST_CASE("instances with lasting tasks are released for moves a part of the pool at a time") {
  CHECK(AskedForPeak(Milliseconds(config::kMoveTimeoutMs)) == 120 / config::kReleasePoolDivisor);
}

// Guards against a planner whose tick grows with the square of the fleet and occupies a small
// instance, on which everything else then runs late.
TEST_CASE("a tick with a wave and a peak in a fleet of 349 stays within 2% of a core") {
  constexpr int kInstances = 349;
  constexpr int kTicks = 100;
  constexpr double kAllowedShare = 0.02;
  FakeFleet fleet(kInstances);
  fleet.releases = false;
  const ServiceName peak("peak");
  MaintenancePlannerOptions options = Options();
  options.move_instances = true;
  MaintenancePlanner planner(options, {});
  planner.SetCatalog({.version = 1, .services = {{.name = test_service}, {.name = peak}}});
  MaintenanceWave wave = fleet.Wave(70);
  wave.instances.resize(172);
  planner.SetWaves({wave}, fleet.now);
  ServiceDemand busy{.upstreams = kInstances};
  for (const MachineEntry& machine : fleet.machines) {
    busy.release_order.push_back({.upstream = machine.upstream, .left = Milliseconds(1000)});
  }
  fleet.Tick(&planner);
  const std::clock_t began = std::clock();
  for (int tick = 0; tick < kTicks; ++tick) {
    planner.OnDemand(test_service, busy, fleet.now);
    planner.OnDemand(peak, {.cpu_waiting = std::int64_t{200} * 32000}, fleet.now);
    planner.Run(fleet.now, true, fleet.orders);
    planner.TakeNodeCalls();
    fleet.now += Milliseconds(config::kMaintenancePlannerTickMs);
  }
  const double seconds = static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC;
  const double share = 1000 * seconds / (kTicks * config::kMaintenancePlannerTickMs);
  CHECK(share < kAllowedShare);
}

// Guards against a pool that gets no replacement for a dark rack, so that lasting tasks find no
// room.
TEST_CASE("a pool gets replacements for instances that its scheduler can't use") {
  constexpr int kInstances = 6;
  constexpr int kDark = 2;
  FakeFleet fleet(kInstances + 4);
  const ServiceName spare("spare");
  for (int i = kInstances; i < kInstances + 4; ++i) fleet.machines[i].pool = spare;
  MaintenancePlannerOptions options = Options();
  options.move_instances = true;
  MaintenancePlanner planner(options, {});
  planner.SetCatalog(
      {.version = 1, .services = {{.name = test_service}, {.name = spare, .spare = true}}});
  while (fleet.now < Milliseconds(8000)) {
    const bool dark = fleet.now > Milliseconds(3000);
    // The scheduler forgets upstreams that don't answer when their leases have ended.
    const bool forgotten = fleet.now > Milliseconds(6000);
    ServiceDemand demand{.upstreams = dark ? kInstances - kDark : kInstances,
                         .min_lasting_upstreams = kInstances};
    for (int i = 0; i < demand.upstreams; ++i) {
      demand.release_order.push_back({.upstream = fleet.machines[i].upstream});
    }
    for (int i = demand.upstreams; i < kInstances && !forgotten; ++i) {
      demand.lost.push_back(fleet.machines[i].upstream);
    }
    planner.OnDemand(test_service, demand, fleet.now);
    fleet.Tick(&planner);
    if (!dark) CHECK(fleet.moved_to.count(test_service) == 0);
  }
  CHECK(fleet.moved_to[test_service] == kDark);
}

// Guards against moves out of a pool that go on although its lasting tasks need the instances.
TEST_CASE("moves out of a pool are cancelled when the pool comes to need the instances") {
  constexpr int kInstances = 10;
  FakeFleet fleet(kInstances);
  fleet.releases = false;
  const ServiceName spare("spare");
  MaintenancePlannerOptions options = Options();
  options.move_instances = true;
  MaintenancePlanner planner(options, {});
  planner.SetCatalog(
      {.version = 1, .services = {{.name = test_service}, {.name = spare, .spare = true}}});
  std::size_t asked_before = 0;
  while (fleet.now < Milliseconds(8000)) {
    const bool needed = fleet.now > Milliseconds(6000);
    ServiceDemand demand{.upstreams = kInstances, .min_lasting_upstreams = needed ? kInstances : 4};
    for (const MachineEntry& machine : fleet.machines) {
      demand.release_order.push_back({.upstream = machine.upstream, .left = Milliseconds(500)});
    }
    planner.OnDemand(test_service, demand, fleet.now);
    if (fleet.now == Milliseconds(7000)) {
      asked_before = fleet.asked.size();
      fleet.asked.clear();
      fleet.releases = true;
    }
    fleet.Tick(&planner);
  }
  CHECK(asked_before == 5);
  CHECK(fleet.asked.empty());
  CHECK(fleet.moved_to.empty());
}

// Guards against a pool that lacks room for lasting tasks while several of its instances are in
// maintenance.
TEST_CASE("a pool gets replacements for instances in maintenance") {
  constexpr int kInstances = 6;
  FakeFleet fleet(kInstances + 4);
  const ServiceName spare("spare");
  for (int i = kInstances; i < kInstances + 4; ++i) fleet.machines[i].pool = spare;
  for (int i = 0; i < 3; ++i) fleet.machines[i].state = MachineState::kMaintenance;
  MaintenancePlannerOptions options = Options();
  options.move_instances = true;
  MaintenancePlanner planner(options, {});
  planner.SetCatalog(
      {.version = 1, .services = {{.name = test_service}, {.name = spare, .spare = true}}});
  while (fleet.now < Milliseconds(1000)) {
    planner.OnDemand(test_service,
                     {.upstreams = kInstances - 3, .min_lasting_upstreams = kInstances}, fleet.now);
    fleet.Tick(&planner);
  }
  CHECK(fleet.moved_to[test_service] == 3);
}

// Guards against a pool that waits for an instance of the spare pool that hasn't arrived there,
// while another pool could give one.
TEST_CASE("instances on their way to the spare pool aren't counted as spare") {
  FakeFleet fleet(8);
  const ServiceName other("other");
  const ServiceName spare("spare");
  for (int i = 2; i < 6; ++i) fleet.machines[i].pool = other;
  for (int i = 6; i < 8; ++i) {
    fleet.machines[i].pool = spare;
    fleet.machines[i].state = MachineState::kMoving;
  }
  MaintenancePlannerOptions options = Options();
  options.move_instances = true;
  MaintenancePlanner planner(options, {});
  planner.SetCatalog(
      {.version = 1,
       .services = {{.name = test_service}, {.name = other}, {.name = spare, .spare = true}}});
  while (fleet.now < Milliseconds(3000)) {
    planner.OnDemand(test_service, {.upstreams = 2, .min_lasting_upstreams = 4}, fleet.now);
    planner.OnDemand(other, {.upstreams = 4, .min_lasting_upstreams = 2}, fleet.now);
    fleet.Tick(&planner);
  }
  CHECK(fleet.moved_to[test_service] == 2);
}

// Guards against two holders that order one instance within the platform's minimum gap, and against
// a new holder that waits for instances which the previous one didn't order.
TEST_CASE("only an instance that another holder ordered recently waits") {
  FakeFleet fleet(3);
  fleet.orders.Merge({{.instance = InstanceName("m1"), .age = Milliseconds(1000)}}, fleet.now);
  MaintenancePlanner planner(Options(), {});
  planner.SetCatalog(Catalog());
  planner.SetWaves({fleet.Wave(3)}, fleet.now);
  while (fleet.now < Milliseconds(1900)) fleet.Tick(&planner);
  CHECK(fleet.maintained == std::set<InstanceName>{InstanceName("m0"), InstanceName("m2")});
  while (fleet.now < Milliseconds(4000)) fleet.Tick(&planner);
  CHECK(fleet.maintained.size() == 3);
}

// Guards against a third holder that doesn't learn of the first holder's orders.
TEST_CASE("recent orders are passed on from holder to holder") {
  const InstanceName instance("m1");
  InstanceOrders first(Milliseconds(3000));
  first.Record(instance, Milliseconds(0));
  CHECK(first.MayOrder(instance, Milliseconds(100)));
  InstanceOrders second(Milliseconds(3000));
  second.Merge(first.RecentAt(Milliseconds(1000)), Milliseconds(1000));
  InstanceOrders third(Milliseconds(3000));
  third.Merge(second.RecentAt(Milliseconds(2000)), Milliseconds(2000));
  CHECK_FALSE(third.MayOrder(instance, Milliseconds(2999)));
  CHECK(third.MayOrder(instance, Milliseconds(3000)));
}

}  // namespace
}  // namespace endivewood::testing
