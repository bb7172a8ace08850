/// @file
/// Reads the fleet stream and appends an operator's records.
#include "fleet_operator.h"

#include <array>
#include <charconv>

#include "config.h"
#include "snapshot.h"

namespace endivewood {
namespace {

/// How long to search the stream for an append whose response was lost. The platform completes or
/// drops an append within its call timeout.
constexpr Milliseconds kResolveTimeout{2 * config::kPlatformTimeoutMs};
constexpr Milliseconds kResolveWait{500};

/// What a record changes. Only records of the same entity conflict with each other.
enum class Entity : std::size_t { kConfig, kPreset, kWave, kOther };

Entity EntityOf(const FleetChange& change) {
  if (std::holds_alternative<ConfigPublished>(change)) return Entity::kConfig;
  if (std::holds_alternative<PresetSwitched>(change)) return Entity::kPreset;
  const bool wave =
      std::holds_alternative<WaveStarted>(change) || std::holds_alternative<WavePaused>(change) ||
      std::holds_alternative<WaveResumed>(change) || std::holds_alternative<WaveFinished>(change);
  return wave ? Entity::kWave : Entity::kOther;
}

/// Describes a change to operators.
struct Describer {
  std::string operator()(const ConfigPublished&) const { return "config-published"; }
  std::string operator()(const PresetSwitched& change) const {
    return "preset-switched " + change.preset.str();
  }
  std::string operator()(const InstanceAdded& change) const {
    return "instance-added " + change.instance.str();
  }
  std::string operator()(const DrainStarted& change) const {
    return "drain-started " + change.instance.str();
  }
  std::string operator()(const RebootStarted& change) const {
    return "reboot-started " + change.instance.str();
  }
  std::string operator()(const InstanceAssigned& change) const {
    return "instance-assigned " + change.instance.str() + " to " + change.pool.str();
  }
  std::string operator()(const InstanceLost& change) const {
    return "instance-lost " + change.instance.str();
  }
  std::string operator()(const InstanceRemoved& change) const {
    return "instance-removed " + change.instance.str();
  }
  std::string operator()(const WaveStarted& change) const {
    return "wave-started " + change.wave.str();
  }
  std::string operator()(const WavePaused& change) const {
    return "wave-paused " + change.wave.str();
  }
  std::string operator()(const WaveResumed& change) const {
    return "wave-resumed " + change.wave.str();
  }
  std::string operator()(const WaveFinished& change) const {
    return "wave-finished " + change.wave.str();
  }
  std::string operator()(const SnapshotTaken& change) const {
    return "snapshot-taken up to " + std::to_string(change.end_offset);
  }
};

}  // namespace

std::string DescribeChange(const FleetChange& change) { return std::visit(Describer(), change); }

FleetOperator::FleetOperator(const Endpoint& platform)
    : m_author(RandomHex128()), m_client(platform, m_author) {}

bool FleetOperator::CatchUp(Milliseconds wait, const RecordHandler& on_record, Reason* reason) {
  while (true) {
    const auto batch = m_client.Read("fleet", m_next, config::kFollowBatch, wait, reason);
    if (!batch && reason->code == ResultCode::kOffsetExpired) {
      if (!StartFromSnapshot(ParseFirstRetained(*reason), reason)) return false;
      continue;
    }
    if (!batch) return false;
    for (const LogRecord& record : batch->records) {
      const DecidedRecord decided{.offset = record.offset,
                                  .time_ms = record.time_ms,
                                  .record = DecodeFleetRecord(record.payload),
                                  .verdict = m_fold.Apply(record.offset, record.payload)};
      if (on_record) on_record(decided);
      if (!decided.record || !decided.verdict.accepted()) continue;
      m_last_accepted[static_cast<std::size_t>(EntityOf(decided.record->change))] = decided;
    }
    m_next = batch->next_offset;
    if (batch->records.empty()) return true;
    wait = Milliseconds(0);
  }
}

bool FleetOperator::StartFromSnapshot(std::uint64_t first_retained, Reason* reason) {
  const auto snapshot = FindFleetState(m_client, first_retained, reason);
  if (!snapshot) return false;
  m_fold = snapshot->fold;
  m_next = m_fold.View()->next_offset;
  return true;
}

Proposal FleetOperator::Propose(const FleetChange& change, std::optional<std::uint64_t> expected) {
  Reason reason;
  Proposal proposal{.status = ExitStatus::kUnreachable};
  const bool caught_up = CatchUp(Milliseconds(0), nullptr, &reason);
  const FleetRecord record{.id = RecordId(RandomHex128()),
                           .author = m_author,
                           .expected_version = expected.value_or(CurrentVersion(change)),
                           .change = change};
  const auto offset = caught_up ? m_client.Append("fleet", EncodeFleetRecord(record), &reason)
                                : std::optional<std::uint64_t>();
  const bool uncertain = caught_up && !offset && reason.code == ResultCode::kAppendUncertain;
  if (!offset && !uncertain) {
    proposal.code = reason.code;
    proposal.detail = reason.text;
    return proposal;
  }
  proposal.resolved_by_reading = uncertain;
  if (AwaitDecision(record.id, &proposal, &reason)) return proposal;
  proposal.status = ExitStatus::kUncertain;
  proposal.code = uncertain ? ResultCode::kAppendUncertain : reason.code;
  proposal.detail = "record " + record.id.str() + " was not found in the stream";
  return proposal;
}

bool FleetOperator::AwaitDecision(const RecordId& id, Proposal* proposal, Reason* reason) {
  bool found = false;
  const auto on_record = [&](const DecidedRecord& decided) {
    // Only the first record with an id takes effect; later ones are rejected as duplicates.
    if (found || !decided.record || decided.record->id != id) return;
    found = true;
    SetOutcome(decided, proposal);
  };
  const auto end = std::chrono::steady_clock::now() + kResolveTimeout;
  while (!found && std::chrono::steady_clock::now() < end) {
    if (!CatchUp(kResolveWait, on_record, reason)) std::this_thread::sleep_for(kResolveWait);
  }
  return found;
}

void FleetOperator::SetOutcome(const DecidedRecord& decided, Proposal* proposal) {
  proposal->status = decided.verdict.accepted() ? ExitStatus::kOk : ExitStatus::kRejected;
  proposal->offset = decided.offset;
  proposal->code = decided.verdict.code;
  proposal->detail = decided.verdict.detail;
  if (decided.verdict.code != ResultCode::kVersionConflict) return;
  const FleetChange& change = decided.record->change;
  proposal->detail += "; expected version " + std::to_string(decided.record->expected_version) +
                      ", lost to version " + std::to_string(CurrentVersion(change));
  const auto conflicting = m_last_accepted.find(static_cast<std::size_t>(EntityOf(change)));
  if (conflicting == m_last_accepted.end()) return;
  proposal->detail += " (" + DescribeChange(conflicting->second.record->change) + " at offset " +
                      std::to_string(conflicting->second.offset) + ")";
}

std::uint64_t FleetOperator::CurrentVersion(const FleetChange& change) const {
  const auto view = m_fold.View();
  if (std::holds_alternative<ConfigPublished>(change)) return view->config_version;
  if (std::holds_alternative<PresetSwitched>(change)) return view->preset_version;
  return view->wave_version;
}

}  // namespace endivewood
