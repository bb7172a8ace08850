/// @file
/// Property tests of the fleet fold with random interleavings of concurrent authors.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "endivewood_p.h"

namespace endivewood::testing {
namespace {

constexpr int kInstances = 8;
constexpr int kAuthors = 3;
constexpr int kSteps = 120;

std::string Config(const std::array<int, 3>& budgets, bool swapped, int instances) {
  const std::string pools[] = {"a", "b", "spare"};
  std::string yaml = "pools: [{name: a}, {name: b}, {name: spare, spare: true}]\nservices:\n";
  for (int service = 0; service < 3; ++service) {
    // Services 0 and 1 share pool a until a configuration moves service 1 to pool b.
    const bool in_b = service == 2 || (service == 1 && swapped);
    yaml += "  - {name: s" + std::to_string(service) + ", pool: " + (in_b ? "b" : "a") +
            ", min_available: " + std::to_string(budgets[service]) + "}\n";
  }
  yaml +=
      "presets:\n  - {name: day, targets: {a: 4, b: 4}}\n"
      "  - {name: peak, targets: {a: 4, b: 4}}\ninstances:\n";
  for (int index = 0; index < instances; ++index) {
    yaml += "  - {name: i" + std::to_string(index) + ", data_centre: dc1, rack: r" +
            std::to_string(index / 4) + ", pool: " + pools[index % 3] +
            ", address: 127.0.0.1, port: " + std::to_string(1000 + index) + "}\n";
  }
  return yaml;
}

/// An author whose view may be far out of date, as that of a paused process.
class Author {
 public:
  explicit Author(int number) : m_number(number), m_view(std::make_shared<const FleetView>()) {}

  void Refresh(const FleetFold& fold) { m_view = fold.View(); }

  FleetRecord Propose() {
    FleetRecord record{
        .id = RecordId("r" + std::to_string(m_number) + "-" + std::to_string(m_next++)),
        .author = Incarnation("author" + std::to_string(m_number))};
    const InstanceName name("i" + std::to_string(*rc::gen::inRange(0, kInstances + 2)));
    const auto found = m_view->instances.find(name);
    record.expected_version = found == m_view->instances.end() ? 1 : found->second.version;
    const PoolName pools[] = {PoolName("a"), PoolName("b"), PoolName("spare"), PoolName("none")};
    const PoolName pool = pools[*rc::gen::weightedElement<int>({{5, 0}, {5, 1}, {5, 2}, {1, 3}})];
    const WaveName wave("w" + std::to_string(m_view->wave.sequence));
    switch (*rc::gen::inRange(0, 14)) {
      case 0:
        record.expected_version = m_view->config_version;
        record.change = ConfigPublished{.yaml = RandomConfig()};
        break;
      case 1:
        record.expected_version = m_view->preset_version;
        record.change = PresetSwitched{
            .preset = PresetName(*rc::gen::element<std::string>("day", "peak", "none"))};
        break;
      case 2:
        record.expected_version = m_view->removed_version;
        record.change = InstanceAdded{.instance = name, .endpoint = {.address = "a", .port = 1}};
        break;
      case 3:
        record.expected_version = m_view->wave_version;
        record.change =
            WaveStarted{.wave = WaveName("w" + std::to_string(m_view->wave.sequence + 1))};
        break;
      case 4:
        record.expected_version = m_view->wave_version;
        record.change = WavePaused{.wave = wave, .cause = "test", .automatic = true};
        break;
      case 5:
        record.expected_version = m_view->wave_version;
        record.change = WaveFinished{.wave = wave};
        break;
      case 6:
        record.change = InstanceLost{.instance = name};
        break;
      case 7:
        record.change = InstanceRemoved{.instance = name};
        break;
      case 8:
        record.change = DrainStarted{.instance = name,
                                     .reason = DrainReason::kPreset,
                                     .based_on_version = m_view->preset_version};
        break;
      case 9:
      case 10:
        record.change = DrainStarted{.instance = name};
        break;
      case 11:
        record.change = RebootStarted{.instance = name};
        break;
      default:
        record.change = InstanceAssigned{.instance = name, .pool = pool};
    }
    m_sent.push_back(record);
    return record;
  }

  /// @returns an earlier record: a repeated append, or one that a pause of its author delayed.
  FleetRecord Repeat() {
    if (m_sent.empty()) return Propose();
    return m_sent[*rc::gen::inRange<std::size_t>(0, m_sent.size())];
  }

 private:
  static std::string RandomConfig() {
    std::array<int, 3> budgets{};
    for (int& budget : budgets) budget = *rc::gen::inRange(0, 4);
    // One draw a statement: the order in which arguments are evaluated differs between machines.
    const bool swapped = *rc::gen::arbitrary<bool>();
    return Config(budgets, swapped, *rc::gen::inRange(6, kInstances + 1));
  }

  int m_number;
  int m_next = 0;
  std::shared_ptr<const FleetView> m_view;
  std::vector<FleetRecord> m_sent;
};

/// Counts ready instances independently of the counters of the library.
int CountReady(const FleetView& view, const PoolName& pool) {
  int count = 0;
  for (const auto& [name, instance] : view.instances) {
    if (instance.pool == pool && instance.state == InstanceState::kReady) ++count;
  }
  return count;
}

/// Checks that a planned change leaves a service below its budget only if it was below it before,
/// with no fewer ready instances and no higher budget than before.
void CheckBudgets(const FleetView& before, const FleetView& after) {
  for (const ServiceConfig& service : after.config.services) {
    const int ready = CountReady(after, service.pool);
    if (ready >= service.min_available) continue;
    const ServiceConfig* old = before.config.FindService(service.name);
    RC_ASSERT(old != nullptr);
    RC_ASSERT(service.min_available <= old->min_available);
    RC_ASSERT(ready >= CountReady(before, old->pool));
  }
}

/// Checks that versions only grow, that presets and pools in use exist, that a changed instance has
/// the next version, and that a rejected record changes only the offset.
void CheckVersions(const FleetView& before, const FleetView& after, const Verdict& verdict) {
  RC_ASSERT(after.config_version >= before.config_version);
  RC_ASSERT(after.preset_version >= before.preset_version);
  if (after.config_version > 0) {
    RC_ASSERT(after.config.FindPreset(after.preset) != nullptr);
  }
  for (const auto& [name, instance] : after.instances) {
    RC_ASSERT(after.config.FindPool(instance.pool) != nullptr);
    const auto old = before.instances.find(name);
    if (old == before.instances.end()) {
      RC_ASSERT(instance.version > before.removed_version);
    } else {
      const bool changed = !(old->second == instance);
      RC_ASSERT(instance.version == old->second.version + (changed ? 1 : 0));
    }
  }
  if (verdict.accepted()) return;
  FleetView unchanged = before;
  unchanged.next_offset = after.next_offset;
  RC_ASSERT(unchanged == after);
}

// Guards against planned changes that breach a budget, instances in an unknown pool, outdated
// records of paused authors that take effect, and rejected records that change the view.
TEST_CASE("invariants hold for any order of concurrent, repeated and late records") {
  const bool passed = rc::check([] {
    FleetFold fold;
    FleetFold batched;  // Applies the same records; its view is read only at the end.
    const FleetRecord first{.id = RecordId("first"),
                            .change = ConfigPublished{.yaml = Config({1, 2, 1}, false, 6)}};
    REQUIRE(fold.Apply(0, EncodeFleetRecord(first)).accepted());
    batched.Apply(0, EncodeFleetRecord(first));
    std::vector<Author> authors;
    authors.reserve(kAuthors);
    for (int number = 0; number < kAuthors; ++number) authors.emplace_back(number);
    std::set<RecordId> seen;
    auto before = fold.View();
    for (int step = 1; step <= kSteps; ++step) {
      Author& author = authors[*rc::gen::inRange(0, kAuthors)];
      if (*rc::gen::inRange(0, 4) != 0) author.Refresh(fold);
      const FleetRecord record = *rc::gen::inRange(0, 6) == 0 ? author.Repeat() : author.Propose();
      const std::string payload = EncodeFleetRecord(record);
      const Verdict verdict = fold.Apply(step, payload);
      RC_ASSERT(batched.Apply(step, payload) == verdict);
      const bool repeated = !seen.insert(record.id).second;
      RC_ASSERT(!repeated || verdict.code == ResultCode::kDuplicateRecord);
      const auto after = fold.View();
      const bool unplanned = std::holds_alternative<InstanceLost>(record.change);
      if (!unplanned) CheckBudgets(*before, *after);
      CheckVersions(*before, *after, verdict);
      before = after;
    }
    RC_ASSERT(*batched.View() == *before);
  });
  CHECK(passed);
}

/// Applies changes one after another to a fold.
class FoldHarness {
 public:
  Verdict Apply(FleetChange change, std::uint64_t expected) {
    const FleetRecord record{.id = RecordId("r" + std::to_string(m_offset)),
                             .expected_version = expected,
                             .change = std::move(change)};
    return m_fold.Apply(m_offset++, EncodeFleetRecord(record));
  }

  std::uint64_t VersionOf(const std::string& name) {
    return m_fold.View()->instances.at(InstanceName(name)).version;
  }

  FleetFold& fold() { return m_fold; }

 private:
  FleetFold m_fold;
  std::uint64_t m_offset = 0;
};

// Guards against published configurations that breach a budget; the check of drains doesn't cover
// them.
TEST_CASE("a configuration can't breach a budget by raising it or by moving a service") {
  FoldHarness harness;
  // Pools a and b have three ready instances each; the loss of i1 leaves two in b.
  REQUIRE(harness.Apply(ConfigPublished{.yaml = Config({2, 3, 1}, false, 8)}, 0).accepted());
  const auto publish = [&](const std::array<int, 3>& budgets, bool swapped) {
    const std::uint64_t version = harness.fold().View()->config_version;
    return harness.Apply(ConfigPublished{.yaml = Config(budgets, swapped, 8)}, version).code;
  };
  CHECK(publish({4, 3, 1}, false) == ResultCode::kBudgetBreach);
  CHECK(harness.Apply(InstanceLost{.instance = InstanceName("i1")}, 1).accepted());
  CHECK(publish({2, 3, 1}, true) == ResultCode::kBudgetBreach);
  CHECK(publish({2, 2, 3}, false) == ResultCode::kBudgetBreach);
  CHECK(publish({2, 2, 1}, true) == ResultCode::kOk);
}

// Guards against a drain that is accepted because a draining instance was lost.
TEST_CASE("an instance lost while it drains still counts as missing") {
  FoldHarness harness;
  REQUIRE(harness.Apply(ConfigPublished{.yaml = Config({2, 2, 1}, false, 8)}, 0).accepted());
  CHECK(harness.Apply(DrainStarted{.instance = InstanceName("i0")}, 1).accepted());
  CHECK(harness.Apply(InstanceLost{.instance = InstanceName("i0")}, 2).accepted());
  CHECK(harness.Apply(DrainStarted{.instance = InstanceName("i3")}, 1).code ==
        ResultCode::kBudgetBreach);
}

// Guards against a configuration or a late record that restores a removed instance, which would
// count as ready capacity.
TEST_CASE("a removed instance doesn't come back by a configuration or a late record") {
  FoldHarness harness;
  REQUIRE(harness.Apply(ConfigPublished{.yaml = Config({0, 0, 0}, false, 8)}, 0).accepted());
  CHECK(harness.Apply(InstanceLost{.instance = InstanceName("i0")}, 1).accepted());
  CHECK(harness.Apply(InstanceRemoved{.instance = InstanceName("i0")}, 2).accepted());
  CHECK(harness.Apply(ConfigPublished{.yaml = Config({0, 0, 0}, false, 8)}, 1).accepted());
  CHECK(harness.fold().View()->instances.size() == 7);
  const InstanceAdded added{.instance = InstanceName("i0")};
  CHECK(harness.Apply(added, 0).code == ResultCode::kVersionConflict);
  CHECK(harness.Apply(added, harness.fold().View()->removed_version).accepted());
  CHECK(harness.Apply(DrainStarted{.instance = InstanceName("i0")}, 1).code ==
        ResultCode::kVersionConflict);
  CHECK(harness.VersionOf("i0") == 3);
}

// Guards against planners that act on a preset that is no longer active, and planners of two data
// centres that each move an instance where one move is enough.
TEST_CASE("drains and assignments are rejected when the state that they rely on has changed") {
  FoldHarness harness;
  REQUIRE(harness.Apply(ConfigPublished{.yaml = Config({0, 0, 0}, false, 8)}, 0).accepted());
  CHECK(harness.Apply(PresetSwitched{.preset = PresetName("peak")}, 0).accepted());
  DrainStarted drain{
      .instance = InstanceName("i0"), .reason = DrainReason::kPreset, .based_on_version = 0};
  CHECK(harness.Apply(drain, 1).code == ResultCode::kVersionConflict);
  drain.based_on_version = 1;
  drain.min_ready_remaining = 3;
  CHECK(harness.Apply(drain, 1).code == ResultCode::kVersionConflict);
  drain.min_ready_remaining = 2;
  CHECK(harness.Apply(drain, 1).accepted());
  CHECK(harness.Apply(RebootStarted{.instance = InstanceName("i0")}, 2).accepted());
  InstanceAssigned assigned{.instance = InstanceName("i0"), .pool = PoolName("b"), .limit = 3};
  CHECK(harness.Apply(assigned, 3).code == ResultCode::kVersionConflict);
  assigned.limit = 4;
  CHECK(harness.Apply(assigned, 3).accepted());
}

}  // namespace
}  // namespace endivewood::testing
