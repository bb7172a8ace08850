/// @file
/// The public interface of endivewood: types, fleet configuration, fleet records and the fold that
/// turns the fleet stream into an immutable view. Programs that embed the library include this
/// file.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace endivewood {

/// Version of the library and of the programs built from it.
inline constexpr char kVersion[] = "0.1.0";

using Milliseconds = std::chrono::milliseconds;

/// Numeric result of a request or operation. docs/result-codes.md lists each with its HTTP status.
enum class ResultCode : int {
  kOk = 0,
  kAccepted = 1,
  kPending = 2,
  // Requests that are invalid and must be changed by the caller.
  kUnknownService = 100,
  kMalformedRequest = 101,
  kBodyTooLarge = 102,
  kMissingKey = 103,
  kKeyReused = 104,
  kKeyExpired = 105,
  kUnknownResult = 106,
  kMissingCallerToken = 107,
  kInvalidHeader = 108,
  // Requests that were not run.
  kNotRunOverload = 200,
  kNotRunDeadline = 201,
  kNotRunNoUpstream = 202,
  kNotRunStopping = 203,
  kNotStartedPlatform = 204,
  kNotRunCancelled = 205,
  /// This attempt did not start the work; the idempotency key can be used again.
  kNotStarted = 207,
  // Requests whose effect is not known.
  kUnknownEffect = 300,
  kUpstreamFailed = 301,
  kUpstreamTimeout = 302,
  kNotRunnable = 303,  ///< Failed on several instances, so it may have had an effect.
  // Settings and fleet configuration.
  kFileUnreadable = 400,
  kInvalidYaml = 401,
  kUnknownKey = 402,
  kWrongType = 403,
  kOutOfRange = 404,
  kMissingValue = 405,
  kDuplicateName = 406,
  kUnknownReference = 407,
  kBudgetUnsatisfiable = 408,
  kInvalidChart = 409,
  // Fleet records.
  kVersionConflict = 500,
  kUnknownInstance = 501,
  kInvalidTransition = 502,
  kBudgetBreach = 503,
  kDuplicateRecord = 504,
  kUnknownPreset = 505,
  kWaveActive = 506,
  kInvalidRecord = 507,
  // The platform.
  kPlatformUnreachable = 600,
  kAppendUncertain = 601,
  kOffsetExpired = 602,
  kProtocolError = 603,
};

/// @returns the name of a code as listed in docs/result-codes.md.
const char* ResultCodeName(ResultCode code);

/// @returns the HTTP status that a caller receives with this code.
int HttpStatusOf(ResultCode code);

/// Error code and message of an operation that returned no value.
struct Reason {
  ResultCode code = ResultCode::kOk;
  std::string text;

  bool operator==(const Reason&) const = default;
};

/// Monotonic and wall-clock time. Every decision that depends on time reads this clock, so that
/// tests can pause and advance it. Thread-safe.
class Clock {
 public:
  /// @returns monotonic time in milliseconds since the clock's creation.
  Milliseconds Now() const;

  /// @returns wall-clock time in milliseconds since the Unix epoch; advances with Now().
  Milliseconds UnixTime() const;

  /// Stops the clock at the current time.
  void Pause();

  /// Restarts a paused clock from the time at which it was paused.
  void Resume();

  /// Moves the clock forward, paused or not.
  /// @param duration must not be negative.
  void Advance(Milliseconds duration);

 private:
  /// Time since boot, including time suspended: a lease keeps running while its holder is
  /// suspended.
  static std::chrono::nanoseconds ReadTimer();
  Milliseconds RealElapsed() const;

  mutable std::mutex m_mutex;
  std::chrono::nanoseconds m_started = ReadTimer();
  Milliseconds m_unix_start =
      std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  Milliseconds m_offset{0};
  std::optional<Milliseconds> m_paused_at;
};

/// A string with a type tag, so that names of different kinds are different types. The default
/// value is empty and invalid.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : m_value(std::move(value)) {}

  const std::string& str() const { return m_value; }
  bool valid() const { return !m_value.empty(); }
  auto operator<=>(const Name&) const = default;

 private:
  std::string m_value;
};

using InstanceName = Name<struct InstanceTag>;
using PoolName = Name<struct PoolTag>;
using ServiceName = Name<struct ServiceTag>;
using PresetName = Name<struct PresetTag>;
using DataCentreName = Name<struct DataCentreTag>;
using RackName = Name<struct RackTag>;
using WaveName = Name<struct WaveTag>;
/// One run of one process; a restarted process has a new incarnation.
using Incarnation = Name<struct IncarnationTag>;
/// 32 hexadecimal digits that identify a record of the log.
using RecordId = Name<struct RecordIdTag>;

/// @returns a random 128-bit value as 32 hexadecimal digits, from the operating system's generator.
std::string RandomHex128();

/// An IP address and port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  bool valid() const { return port != 0; }
  std::string str() const { return address + ":" + std::to_string(port); }
  auto operator<=>(const Endpoint&) const = default;
};

// Fleet configuration.

/// Scheduling class of a request.
enum class WorkClass : std::uint8_t { kShort = 0, kLong = 1 };

/// A service and its availability budget.
struct ServiceConfig {
  ServiceName name;
  PoolName pool;
  WorkClass work_class = WorkClass::kShort;
  bool idempotent = true;
  /// Planned changes keep at least this many instances of the service ready.
  int min_available = 0;
  /// A request that can't start within this time is refused.
  Milliseconds queue_deadline{2000};
  /// An upstream that has not answered after this time counts as failed.
  Milliseconds run_timeout{30000};

  bool operator==(const ServiceConfig&) const = default;
};

/// A group of instances. Instances of a spare pool serve no requests and replace other instances.
struct PoolConfig {
  PoolName name;
  bool spare = false;

  bool operator==(const PoolConfig&) const = default;
};

/// The number of instances that a preset assigns to a pool.
struct PoolTarget {
  PoolName pool;
  int instances = 0;

  bool operator==(const PoolTarget&) const = default;
};

/// A named distribution of instances over pools. The remaining instances belong to the spare pool.
struct PresetConfig {
  PresetName name;
  std::vector<PoolTarget> targets;

  bool operator==(const PresetConfig&) const = default;
};

/// An instance that the configuration adds. `pool` is its initial pool; afterwards the instance is
/// moved by fleet records only, not by a later configuration.
struct InstanceConfig {
  InstanceName name;
  DataCentreName data_centre;
  RackName rack;
  PoolName pool;
  Endpoint endpoint;
  int slots = 8;

  bool operator==(const InstanceConfig&) const = default;
};

/// A validated fleet configuration.
struct FleetConfig {
  std::vector<ServiceConfig> services;
  std::vector<PoolConfig> pools;
  std::vector<PresetConfig> presets;
  std::vector<InstanceConfig> instances;

  const ServiceConfig* FindService(const ServiceName& name) const;
  const PoolConfig* FindPool(const PoolName& name) const;
  const PresetConfig* FindPreset(const PresetName& name) const;
  /// @returns the spare pool, or nullptr when none is configured.
  const PoolConfig* SparePool() const;

  bool operator==(const FleetConfig&) const = default;
};

/// An error in a settings or configuration file.
struct ConfigError {
  ResultCode code = ResultCode::kOk;
  std::string file;
  int line = 0;  ///< 1-based; 0 when the error has no line.
  std::string key;
  std::string found;
  std::string expected;

  /// @returns "file:line: code name: key: found X, expected Y".
  std::string str() const;
  bool operator==(const ConfigError&) const = default;
};

/// Parses and checks a fleet configuration.
/// @param text YAML.
/// @param file name used in errors.
/// @param errors receives every error found.
/// @returns the configuration, or no value when there is any error.
std::optional<FleetConfig> ParseFleetConfig(const std::string& text, const std::string& file,
                                            std::vector<ConfigError>* errors);

// Fleet records.

/// Publishes a configuration. Expected version: `FleetView::config_version`. Rejected when it would
/// put a service below its availability budget or contains no preset. Instances that the active
/// configuration already lists are not added again, so that publishing doesn't restore removed
/// instances. The first configuration activates its first preset.
struct ConfigPublished {
  std::string yaml;

  bool operator==(const ConfigPublished&) const = default;
};

/// Activates a preset. Expected version: `FleetView::preset_version`.
struct PresetSwitched {
  PresetName preset;

  bool operator==(const PresetSwitched&) const = default;
};

/// Adds an instance to the spare pool. Expected version: `FleetView::removed_version`, so that a
/// delayed record doesn't restore an instance that was removed after the record was written.
struct InstanceAdded {
  InstanceName instance;
  DataCentreName data_centre;
  RackName rack;
  Endpoint endpoint;
  int slots = 8;

  bool operator==(const InstanceAdded&) const = default;
};

/// Why an instance is drained.
enum class DrainReason : std::uint8_t {
  kOperator = 0,  ///< Requested by an operator, or the instance is leaving.
  kPreset,        ///< A move towards the active preset.
  kWave,          ///< Maintenance.
};

/// Starts draining an instance. Expected version: `InstanceView::version`. Rejected when it would
/// breach an availability budget, or when the preset or wave that it was decided for has changed.
struct DrainStarted {
  InstanceName instance;
  DrainReason reason = DrainReason::kOperator;
  /// Version of the preset or the wave that the drain was decided for; ignored for kOperator.
  std::uint64_t based_on_version = 0;
  /// Rejected when fewer ready instances than this would remain in the pool. Prevents the planners
  /// of two data centres from moving an instance each when the pool has only one to spare.
  int min_ready_remaining = 0;

  bool operator==(const DrainStarted&) const = default;
};

/// Records that a drained instance reboots. Expected version: `InstanceView::version`.
struct RebootStarted {
  InstanceName instance;

  bool operator==(const RebootStarted&) const = default;
};

/// Returns a rebooted or lost instance to service, in the same or another pool. This also holds for
/// an instance that was lost from a pool with an availability budget.
/// Expected version: `InstanceView::version`.
struct InstanceAssigned {
  InstanceName instance;
  PoolName pool;
  /// Rejected when the pool already has this many ready instances; 0 means no limit.
  int limit = 0;

  bool operator==(const InstanceAssigned&) const = default;
};

/// Records an unplanned loss. Expected version: `InstanceView::version`.
struct InstanceLost {
  InstanceName instance;

  bool operator==(const InstanceLost&) const = default;
};

/// Removes a lost instance that will not return. Expected version: `InstanceView::version`.
struct InstanceRemoved {
  InstanceName instance;

  bool operator==(const InstanceRemoved&) const = default;
};

/// Starts a maintenance wave, which reboots the instances of one pool or of all pools. Expected
/// version of this and the other wave records: `FleetView::wave_version`.
struct WaveStarted {
  WaveName wave;
  PoolName pool;  ///< Every pool when invalid.

  bool operator==(const WaveStarted&) const = default;
};

struct WavePaused {
  WaveName wave;
  std::string cause;
  bool automatic = false;  ///< Paused by a planner, which also resumes it.

  bool operator==(const WavePaused&) const = default;
};

struct WaveResumed {
  WaveName wave;

  bool operator==(const WaveResumed&) const = default;
};

/// Ends a wave. A running wave ends when every instance that is not lost has been maintained; a
/// paused wave may be ended at any time, which abandons it.
struct WaveFinished {
  WaveName wave;

  bool operator==(const WaveFinished&) const = default;
};

/// The complete state of the fold up to `end_offset`, so that older records may expire.
struct SnapshotTaken {
  std::uint64_t end_offset = 0;  ///< Every record with an offset below this one is included.
  std::string state;             ///< Encoded by FleetFold::Encode.

  bool operator==(const SnapshotTaken&) const = default;
};

using FleetChange = std::variant<ConfigPublished, PresetSwitched, InstanceAdded, DrainStarted,
                                 RebootStarted, InstanceAssigned, InstanceLost, InstanceRemoved,
                                 WaveStarted, WavePaused, WaveResumed, WaveFinished, SnapshotTaken>;

/// A change with the fields that are common to all fleet records.
struct FleetRecord {
  RecordId id;
  Incarnation author;
  std::uint64_t expected_version = 0;
  FleetChange change;

  bool operator==(const FleetRecord&) const = default;
};

/// @returns the record as the payload of a log record (msgpack).
std::string EncodeFleetRecord(const FleetRecord& record);

/// @returns the record, or no value when the payload is not a fleet record.
std::optional<FleetRecord> DecodeFleetRecord(const std::string& payload);

// Fleet view.

/// State of an instance; the transitions are in charts/instance.yaml.
enum class InstanceState : std::uint8_t { kReady = 0, kDraining, kRebooting, kLost };

/// @returns "ready", "draining", "rebooting" or "lost".
const char* InstanceStateName(InstanceState state);

/// State of one instance in a fleet view.
struct InstanceView {
  InstanceName name;
  DataCentreName data_centre;
  RackName rack;
  Endpoint endpoint;
  int slots = 8;
  PoolName pool;
  InstanceState state = InstanceState::kReady;
  std::uint64_t version = 0;     ///< Incremented by each record about this instance.
  std::uint64_t assignment = 0;  ///< Incremented by each assignment and sent with requests.
  /// Sequence number of the latest wave when the instance last rebooted or joined.
  std::uint64_t maintained_in = 0;

  bool operator==(const InstanceView&) const = default;
};

enum class WaveState : std::uint8_t { kRunning = 0, kPaused, kFinished };

/// The latest maintenance wave.
struct WaveView {
  WaveName name;
  PoolName pool;
  WaveState state = WaveState::kFinished;
  std::uint64_t sequence = 0;
  std::string pause_cause;
  bool automatic_pause = false;

  bool operator==(const WaveView&) const = default;
};

/// An immutable state of the fleet. Views with the same `next_offset` are equal in all processes.
struct FleetView {
  std::uint64_t next_offset = 0;  ///< Offset of the first record that is not included.
  std::uint64_t config_version = 0;
  std::uint64_t preset_version = 0;
  std::uint64_t wave_version = 0;
  FleetConfig config;
  PresetName preset;
  WaveView wave;
  /// The highest version of any removed instance. New instances start above it, so that a delayed
  /// record about a removed instance never matches a new one of the same name.
  std::uint64_t removed_version = 0;
  std::map<InstanceName, InstanceView> instances;

  /// @returns the instances of the service's pool that are ready.
  std::vector<const InstanceView*> ReadyInstances(const ServiceName& service) const;
  /// @returns the number of ready instances of a pool.
  int ReadyCount(const PoolName& pool) const;
  /// @returns the largest min_available of the services that run in the pool.
  int RequiredAvailable(const PoolName& pool) const;
  /// @returns whether the latest wave still has to reboot this instance.
  bool AwaitsMaintenance(const InstanceView& instance) const;

  bool operator==(const FleetView&) const = default;
};

/// Whether the fold accepted a record, and if not, why.
struct Verdict {
  RecordId id;
  ResultCode code = ResultCode::kOk;
  std::string detail;

  bool accepted() const { return code == ResultCode::kOk; }
  bool operator==(const Verdict&) const = default;
};

/// The ids of the latest records, in log order.
class RecentRecordIds {
 public:
  /// Adds an id and drops the oldest one above the limit.
  /// @returns false when the id is already known.
  bool Insert(const RecordId& id);

  /// @returns the ids, oldest first; a snapshot contains them.
  const std::deque<RecordId>& InOrder() const { return m_order; }

  /// Replaces the ids with those of a snapshot.
  void Assign(const std::vector<RecordId>& ids);

 private:
  std::deque<RecordId> m_order;
  std::set<RecordId> m_known;  ///< Index of the ids: searching 4096 for each record is too slow.
};

/// Builds the fleet state from the records of the fleet stream. Deterministic: the same records
/// give the same view and verdicts. Not thread-safe; the views it hands out are immutable and may
/// be shared.
class FleetFold {
 public:
  /// Applies the record at `offset`. Offsets must not decrease; after a gap, restore a newer state
  /// first. A snapshot record is accepted only when no other record lies between it and the state
  /// that it covers, and when that state equals the state of this fold. It never changes the view.
  Verdict Apply(std::uint64_t offset, const std::string& payload);

  /// @returns the current view. It is a copy of the state, so call this once per batch.
  std::shared_ptr<const FleetView> View() const;

  /// @returns the encoded state for a snapshot or for a peer.
  std::string Encode() const;

  /// Replaces the state with an encoded one if that is newer.
  /// @returns false when the state is malformed or not newer.
  bool Restore(const std::string& state);

 private:
  Verdict CheckSnapshot(std::uint64_t offset, const SnapshotTaken& snapshot) const;

  FleetView m_view;
  RecentRecordIds m_recent_ids;  ///< Detects repeated appends.
  /// Ready instances of each pool as of `m_counted_offset`; recounted after Restore.
  std::map<PoolName, int> m_ready_counts;
  std::optional<std::uint64_t> m_counted_offset;
};

// Statistics and limits.

/// Requests of one class.
struct ClassStats {
  std::uint64_t requests = 0;
  std::uint64_t not_run = 0;  ///< Refused with a code from 200 to 299.
  std::uint64_t failed = 0;   ///< Answered with a code from 300 to 399.
  double wait_p50_ms = 0;
  double wait_p99_ms = 0;
  double latency_p50_ms = 0;
  double latency_p99_ms = 0;

  bool operator==(const ClassStats&) const = default;
};

/// Statistics of a process since it started.
struct Stats {
  ClassStats short_work;
  ClassStats long_work;
  std::uint64_t retries = 0;
  std::uint64_t ejections = 0;
  std::uint64_t checkpoints = 0;
  std::int64_t queue_depth = 0;
  std::int64_t requests_in_progress = 0;
  std::int64_t offset_behind = 0;  ///< Records of the fleet stream that are not applied yet.

  bool operator==(const Stats&) const = default;
};

/// The limits that this build was compiled with.
struct Caps {
  std::string version;
  std::size_t max_body_bytes = 0;
  std::size_t max_header_bytes = 0;
  unsigned max_http_threads = 0;
  std::size_t recent_record_ids = 0;
  Milliseconds platform_timeout{0};

  bool operator==(const Caps&) const = default;
};

/// @returns the limits of this build.
Caps GetCaps();

}  // namespace endivewood
