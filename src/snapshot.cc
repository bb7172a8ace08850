/// @file
/// Snapshots of the fleet fold, encoded as [format version, view, recent record ids].
#include "snapshot.h"

#include <algorithm>
#include <charconv>

#include "codec.h"
#include "config.h"
#include "rendezvous.h"

// clang-format off
ENDIVEWOOD_CODEC(endivewood::ServiceConfig, v.name, v.pool, v.work_class, v.idempotent,
                 v.min_available, v.queue_deadline, v.run_timeout)
ENDIVEWOOD_CODEC(endivewood::PoolConfig, v.name, v.spare)
ENDIVEWOOD_CODEC(endivewood::PoolTarget, v.pool, v.instances)
ENDIVEWOOD_CODEC(endivewood::PresetConfig, v.name, v.targets)
ENDIVEWOOD_CODEC(endivewood::InstanceConfig, v.name, v.data_centre, v.rack, v.pool, v.endpoint,
                 v.slots)
ENDIVEWOOD_CODEC(endivewood::FleetConfig, v.services, v.pools, v.presets, v.instances)
ENDIVEWOOD_CODEC(endivewood::InstanceView, v.name, v.data_centre, v.rack, v.endpoint, v.slots,
                 v.pool, v.state, v.version, v.assignment, v.maintained_in)
ENDIVEWOOD_CODEC(endivewood::WaveView, v.name, v.pool, v.state, v.sequence, v.pause_cause,
                 v.automatic_pause)
ENDIVEWOOD_CODEC(endivewood::FleetView, v.next_offset, v.config_version, v.preset_version,
                 v.wave_version, v.config, v.preset, v.wave, v.removed_version, v.instances)
// clang-format on

namespace endivewood {
namespace {

constexpr std::uint32_t kFormatVersion = 1;
constexpr std::size_t kIdBytes = 16;
constexpr char kHexDigits[] = "0123456789abcdef";

using StateFields = std::tuple<std::uint32_t, FleetView, std::vector<std::string>>;

// A member that is missing in a codec above would be lost at every restart from a snapshot. These
// bindings fail to compile when a member is added, as a reminder to extend the codec.
[[maybe_unused]] void CheckMemberCounts(const FleetView& view, const InstanceView& instance,
                                        const WaveView& wave, const ServiceConfig& service,
                                        const InstanceConfig& configured,
                                        const FleetConfig& config) {
  [[maybe_unused]] const auto& [v1, v2, v3, v4, v5, v6, v7, v8, v9] = view;
  [[maybe_unused]] const auto& [i1, i2, i3, i4, i5, i6, i7, i8, i9, i10] = instance;
  [[maybe_unused]] const auto& [w1, w2, w3, w4, w5, w6] = wave;
  [[maybe_unused]] const auto& [s1, s2, s3, s4, s5, s6, s7] = service;
  [[maybe_unused]] const auto& [n1, n2, n3, n4, n5, n6] = configured;
  [[maybe_unused]] const auto& [c1, c2, c3, c4] = config;
}

/// Encodes 32 hexadecimal digits as 16 bytes, since record ids make up most of a state.
std::string PackId(const std::string& id) {
  if (id.size() != 2 * kIdBytes) return id;
  if (id.find_first_not_of(kHexDigits) != std::string::npos) return id;
  std::string bytes;
  for (std::size_t index = 0; index < id.size(); index += 2) {
    bytes += static_cast<char>(std::stoi(id.substr(index, 2), nullptr, 16));
  }
  return bytes;
}

std::string UnpackId(const std::string& bytes) {
  if (bytes.size() != kIdBytes) return bytes;
  std::string id;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    id += kHexDigits[value / kIdBytes];
    id += kHexDigits[value % kIdBytes];
  }
  return id;
}

bool IsValid(const FleetView& view) {
  if (view.wave.state > WaveState::kFinished) return false;
  for (const ServiceConfig& service : view.config.services) {
    if (service.work_class > WorkClass::kLong) return false;
  }
  for (const auto& [name, instance] : view.instances) {
    if (instance.name != name || instance.state > InstanceState::kLost) return false;
  }
  return true;
}

}  // namespace

std::string FleetFold::Encode() const {
  std::vector<std::string> ids;
  for (const RecordId& id : m_recent_ids.InOrder()) ids.push_back(PackId(id.str()));
  return Pack(std::make_tuple(kFormatVersion, std::cref(m_view).get(), ids));
}

bool FleetFold::Restore(const std::string& state) {
  auto fields = Unpack<StateFields>(state);
  if (!fields) return false;
  auto& [format, view, ids] = *fields;
  if (format != kFormatVersion || view.next_offset <= m_view.next_offset || !IsValid(view))
    return false;
  if (ids.size() > config::kRecentRecordIds) return false;
  m_view = std::move(view);
  std::vector<RecordId> record_ids;
  for (const std::string& id : ids) record_ids.emplace_back(UnpackId(id));
  m_recent_ids.Assign(record_ids);
  m_counted_offset.reset();
  return true;
}

Verdict FleetFold::CheckSnapshot(std::uint64_t offset, const SnapshotTaken& snapshot) const {
  if (snapshot.end_offset != offset || m_view.next_offset != offset) {
    return {.code = ResultCode::kVersionConflict,
            .detail = "other records lie between the covered state and the snapshot record"};
  }
  if (snapshot.state == Encode()) return {};
  return {.code = ResultCode::kInvalidRecord,
          .detail = "the snapshot differs from the state of the fold"};
}

void AcceptedSnapshots::Update(const LogRecord& record, const Verdict& verdict) {
  if (time_ms == 0) time_ms = record.time_ms;
  if (!verdict.accepted()) return;
  const auto decoded = DecodeFleetRecord(record.payload);
  if (!decoded || !std::holds_alternative<SnapshotTaken>(decoded->change)) return;
  previous = newest;
  newest = record.offset;
  time_ms = record.time_ms;
}

void SnapshotSearch::Feed(const LogRecord& record) {
  const auto decoded = DecodeFleetRecord(record.payload);
  const auto* snapshot = decoded ? std::get_if<SnapshotTaken>(&decoded->change) : nullptr;
  const bool usable = snapshot != nullptr && snapshot->end_offset == record.offset;
  bool matched = false;
  for (Candidate& candidate : m_candidates) {
    const Verdict verdict = candidate.fold.Apply(record.offset, record.payload);
    candidate.snapshots.Update(record, verdict);
    if (!usable || !verdict.accepted()) continue;
    ++candidate.support;
    matched = true;
  }
  if (!usable || matched) return;
  Candidate candidate{.support = 1};
  if (!candidate.fold.Restore(snapshot->state)) return;
  const Verdict verdict = candidate.fold.Apply(record.offset, record.payload);
  candidate.snapshots.Update(record, verdict);
  if (verdict.accepted()) m_candidates.push_back(std::move(candidate));
}

const SnapshotSearch::Candidate* SnapshotSearch::Best() const {
  const auto less = [](const Candidate& a, const Candidate& b) { return a.support < b.support; };
  const auto best = std::max_element(m_candidates.begin(), m_candidates.end(), less);
  return best == m_candidates.end() ? nullptr : &*best;
}

std::uint64_t ParseFirstRetained(const Reason& expired) {
  std::uint64_t offset = 0;
  std::from_chars(expired.text.data(), expired.text.data() + expired.text.size(), offset);
  return offset;
}

std::optional<SnapshotSearch::Candidate> FindFleetState(const LogClient& log,
                                                        std::uint64_t first_retained,
                                                        Reason* reason) {
  SnapshotSearch search;
  std::uint64_t next = first_retained;
  while (true) {
    const auto batch = log.Read("fleet", next, config::kFollowBatch, Milliseconds(0), reason);
    if (!batch) return std::nullopt;
    if (batch->records.empty()) break;
    for (const LogRecord& record : batch->records) search.Feed(record);
    next = batch->next_offset;
  }
  if (search.Best() != nullptr) return *search.Best();
  *reason = {.code = ResultCode::kOffsetExpired, .text = "the log service retains no snapshot"};
  return std::nullopt;
}

bool SnapshotDue(const SnapshotInputs& inputs) {
  if (inputs.next_offset == 0) return false;
  const AcceptedSnapshots& snapshots = inputs.snapshots;
  const std::uint64_t first_uncovered =
      snapshots.newest ? *snapshots.newest + 1 : inputs.first_retained;
  if (inputs.next_offset >= first_uncovered + config::kSnapshotIntervalRecords) return true;
  const bool two_retained = snapshots.previous && *snapshots.previous >= inputs.first_retained;
  if (inputs.first_retained > 0 && !two_retained) return true;
  return inputs.unix_time - Milliseconds(snapshots.time_ms) >=
         Milliseconds(config::kSnapshotMaxAgeMs);
}

bool SnapshotSchedule::Decide(const SnapshotInputs& inputs, const std::string& self,
                              const std::vector<std::string>& live, Milliseconds now) {
  if (!SnapshotDue(inputs)) {
    m_due_since.reset();
    return false;
  }
  if (!m_due_since) m_due_since = now;
  const auto ranked = RendezvousRank("snapshot", live);
  const auto rank = std::find(ranked.begin(), ranked.end(), self) - ranked.begin();
  const Milliseconds wait(config::kSnapshotRankMs * rank);
  if (now - *m_due_since < wait) return false;
  const bool attempted_recently =
      m_last_attempt && now - *m_last_attempt < Milliseconds(config::kSnapshotRetryMs);
  if (attempted_recently) return false;
  m_last_attempt = now;
  return true;
}

}  // namespace endivewood
