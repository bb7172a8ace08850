/// @file
/// Table, formatting and dispatch of log events.
#include "events.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace endivewood {
namespace {

const std::vector<EventInfo>& Table() {
  static const std::vector<EventInfo> table = {
      {Event::kProcessStarted, "process-started", EventLevel::kInfo},
      {Event::kProcessStopping, "process-stopping", EventLevel::kInfo},
      {Event::kProcessStopped, "process-stopped", EventLevel::kInfo},
      {Event::kSettingsInvalid, "settings-invalid", EventLevel::kError},
      {Event::kListenerFailed, "listener-failed", EventLevel::kError},
      {Event::kDumpRequested, "dump-requested", EventLevel::kDebug},
      {Event::kPlatformLost, "platform-lost", EventLevel::kWarning},
      {Event::kPlatformRestored, "platform-restored", EventLevel::kInfo},
      {Event::kOffsetExpired, "offset-expired", EventLevel::kWarning},
      {Event::kAppendResolved, "append-resolved", EventLevel::kInfo},
      {Event::kAppendFailed, "append-failed", EventLevel::kWarning},
      {Event::kMalformedRecord, "malformed-record", EventLevel::kWarning},
      {Event::kSnapshotTaken, "snapshot-taken", EventLevel::kInfo},
      {Event::kSnapshotRestored, "snapshot-restored", EventLevel::kInfo},
      {Event::kInstanceListStale, "instance-list-stale", EventLevel::kWarning},
      {Event::kTopicReadInconsistent, "topic-read-inconsistent", EventLevel::kWarning},
      {Event::kConfigOutdated, "config-outdated", EventLevel::kWarning},
      {Event::kRecordAccepted, "record-accepted", EventLevel::kDebug},
      {Event::kRecordRejected, "record-rejected", EventLevel::kInfo},
      {Event::kConfigInForce, "config-in-force", EventLevel::kInfo},
      {Event::kPresetInForce, "preset-in-force", EventLevel::kInfo},
      {Event::kInstanceMoved, "instance-moved", EventLevel::kInfo},
      {Event::kWaveStarted, "wave-started", EventLevel::kInfo},
      {Event::kWavePaused, "wave-paused", EventLevel::kWarning},
      {Event::kWaveResumed, "wave-resumed", EventLevel::kInfo},
      {Event::kWaveFinished, "wave-finished", EventLevel::kInfo},
      {Event::kChangeProposed, "change-proposed", EventLevel::kInfo},
      {Event::kPlannerWaiting, "planner-waiting", EventLevel::kDebug},
      {Event::kBudgetExhausted, "budget-exhausted", EventLevel::kWarning},
      {Event::kInstanceLost, "instance-lost", EventLevel::kWarning},
      {Event::kRebootFailed, "reboot-failed", EventLevel::kWarning},
      {Event::kRequestAnswered, "request-answered", EventLevel::kDebug},
      {Event::kRequestRefused, "request-refused", EventLevel::kDebug},
      {Event::kRequestFailed, "request-failed", EventLevel::kDebug},
      {Event::kRequestRetried, "request-retried", EventLevel::kDebug},
      {Event::kRequestUnknown, "request-unknown", EventLevel::kWarning},
      {Event::kRequestCancelled, "request-cancelled", EventLevel::kDebug},
      {Event::kKeyClaimed, "key-claimed", EventLevel::kDebug},
      {Event::kKeyFenced, "key-fenced", EventLevel::kWarning},
      {Event::kLongAccepted, "long-accepted", EventLevel::kDebug},
      {Event::kLongTakenOver, "long-taken-over", EventLevel::kWarning},
      {Event::kLongFinished, "long-finished", EventLevel::kDebug},
      {Event::kLongCheckpointed, "long-checkpointed", EventLevel::kDebug},
      {Event::kLongResumed, "long-resumed", EventLevel::kDebug},
      {Event::kRequestDemoted, "request-demoted", EventLevel::kDebug},
      {Event::kJobStopped, "job-stopped", EventLevel::kWarning},
      {Event::kRetryBudgetSpent, "retry-budget-spent", EventLevel::kWarning},
      {Event::kUpstreamEjected, "upstream-ejected", EventLevel::kWarning},
      {Event::kUpstreamReadmitted, "upstream-readmitted", EventLevel::kInfo},
      {Event::kEjectionCapped, "ejection-capped", EventLevel::kWarning},
      {Event::kUpstreamSilent, "upstream-silent", EventLevel::kWarning},
      {Event::kUpstreamMismatch, "upstream-mismatch", EventLevel::kError},
      {Event::kUpstreamRefused, "upstream-refused", EventLevel::kDebug},
      {Event::kPeerConnected, "peer-connected", EventLevel::kInfo},
      {Event::kPeerLost, "peer-lost", EventLevel::kWarning},
      {Event::kPeerLeft, "peer-left", EventLevel::kInfo},
      {Event::kPeerProtocolError, "peer-protocol-error", EventLevel::kWarning},
      {Event::kQueueHolderChanged, "queue-holder-changed", EventLevel::kInfo},
      {Event::kGrantsReleased, "grants-released", EventLevel::kDebug},
      {Event::kRecordsRelayed, "records-relayed", EventLevel::kDebug},
      {Event::kJobAccepted, "job-accepted", EventLevel::kInfo},
      {Event::kJobRefused, "job-refused", EventLevel::kInfo},
      {Event::kJobEnded, "job-ended", EventLevel::kInfo},
      {Event::kTaskStarted, "task-started", EventLevel::kInfo},
      {Event::kTaskEnded, "task-ended", EventLevel::kInfo},
      {Event::kTaskDropped, "task-dropped", EventLevel::kWarning},
      {Event::kTaskAdopted, "task-adopted", EventLevel::kInfo},
      {Event::kTaskMoved, "task-moved", EventLevel::kInfo},
      {Event::kTaskPaced, "task-paced", EventLevel::kInfo},
      {Event::kOrderFailed, "order-failed", EventLevel::kWarning},
      {Event::kUpstreamFenced, "upstream-fenced", EventLevel::kInfo},
      {Event::kUpstreamUnreachable, "upstream-unreachable", EventLevel::kWarning},
      {Event::kUpstreamLeaseEnded, "upstream-lease-ended", EventLevel::kWarning},
      {Event::kUpstreamRestarted, "upstream-restarted", EventLevel::kWarning},
      {Event::kUpstreamDraining, "upstream-draining", EventLevel::kInfo},
      {Event::kUpstreamForgotten, "upstream-forgotten", EventLevel::kInfo},
      {Event::kUpstreamAvoided, "upstream-avoided", EventLevel::kWarning},
      {Event::kInheritedSettled, "inherited-settled", EventLevel::kInfo},
      {Event::kHandoverSettled, "handover-settled", EventLevel::kInfo},
      {Event::kHandoverIgnored, "handover-ignored", EventLevel::kInfo},
      {Event::kTaskUnplaced, "task-unplaced", EventLevel::kWarning},
      {Event::kMoveHeld, "move-held", EventLevel::kInfo},
      {Event::kRoomHeld, "room-held", EventLevel::kInfo},
      {Event::kTokensExhausted, "tokens-exhausted", EventLevel::kWarning},
      {Event::kTaskWaitsForLimit, "task-waits-for-limit", EventLevel::kInfo},
      {Event::kLimitLowered, "limit-lowered", EventLevel::kInfo},
      {Event::kAccountSurplus, "account-surplus", EventLevel::kInfo},
      {Event::kTaskCopied, "task-copied", EventLevel::kInfo},
      {Event::kCopyWon, "copy-won", EventLevel::kInfo},
      {Event::kDurationLearned, "duration-learned", EventLevel::kInfo},
      {Event::kPartitionClaimed, "partition-claimed", EventLevel::kInfo},
      {Event::kPartitionLoaded, "partition-loaded", EventLevel::kInfo},
      {Event::kPartitionLost, "partition-lost", EventLevel::kWarning},
      {Event::kBatchStored, "batch-stored", EventLevel::kInfo},
      {Event::kBatchDelayed, "batch-delayed", EventLevel::kWarning},
      {Event::kMembershipChanged, "membership-changed", EventLevel::kInfo},
      {Event::kCallAnswered, "call-answered", EventLevel::kInfo},
      {Event::kCallForwardFailed, "call-forward-failed", EventLevel::kWarning},
      {Event::kStoreReplyUnreadable, "store-answer-unreadable", EventLevel::kWarning},
      {Event::kSettingsReloaded, "settings-reloaded", EventLevel::kInfo},
      {Event::kLinesDropped, "lines-dropped", EventLevel::kWarning},
      {Event::kEpochsExhausted, "epochs-exhausted", EventLevel::kWarning},
      {Event::kStoreCallFailed, "store-call-failed", EventLevel::kWarning},
      {Event::kProcessDelayed, "process-delayed", EventLevel::kWarning},
      {Event::kLinkBusy, "link-busy", EventLevel::kWarning},
      {Event::kRequestUnroutable, "request-unroutable", EventLevel::kInfo},
      {Event::kCallbackFailed, "callback-failed", EventLevel::kError},
      {Event::kCarriersChanged, "carriers-changed", EventLevel::kInfo},
      {Event::kCarrierLost, "carrier-lost", EventLevel::kWarning},
      {Event::kCarryRefused, "carry-refused", EventLevel::kWarning},
      {Event::kCallerRejected, "caller-rejected", EventLevel::kInfo},
      {Event::kShareGranted, "share-granted", EventLevel::kInfo},
      {Event::kShareCallFailed, "share-call-failed", EventLevel::kWarning},
      {Event::kQueueServiceRegistered, "queue-service-registered", EventLevel::kInfo},
      {Event::kJobFoundElsewhere, "job-found-elsewhere", EventLevel::kInfo},
      {Event::kJobLookupFailed, "job-lookup-failed", EventLevel::kWarning},
      {Event::kMaintenanceOrdered, "maintenance-ordered", EventLevel::kInfo},
      {Event::kMoveOrdered, "move-ordered", EventLevel::kInfo},
      {Event::kMachineOrderFailed, "machine-order-failed", EventLevel::kWarning},
      {Event::kWaveProgress, "wave-progress", EventLevel::kInfo},
      {Event::kPoolNeed, "pool-need", EventLevel::kInfo},
      {Event::kPeakBegan, "peak-began", EventLevel::kInfo},
      {Event::kPeakEnded, "peak-ended", EventLevel::kInfo},
      {Event::kPoolSize, "pool-size", EventLevel::kInfo},
      {Event::kMoveCancelled, "move-cancelled", EventLevel::kInfo},
      {Event::kMachineListFailed, "machine-list-failed", EventLevel::kWarning},
  };
  return table;
}

bool NeedsQuotes(const std::string& value) {
  const auto plain = [](unsigned char character) {
    return character > ' ' && character != '"' && character != '\\' && character != 0x7f;
  };
  return value.empty() || !std::all_of(value.begin(), value.end(), plain);
}

std::string Escape(const std::string& value) {
  std::string text;
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte == '"' || byte == '\\') text += '\\';
    if (byte >= ' ' && byte != 0x7f) {
      text += character;
      continue;
    }
    std::array<char, 8> code{};
    std::snprintf(code.data(), code.size(), "\\u%04x", byte);
    text += code.data();
  }
  return text;
}

std::string FormatField(const char* name, const std::string& value) {
  const std::string text = NeedsQuotes(value) ? "\"" + Escape(value) + "\"" : value;
  return std::string(" ") + name + "=" + text;
}

/// The current sink. The default writes events of level info and above to standard error.
EventSink& Sink() {
  // Never destroyed: threads may log while static objects are being destroyed.
  static auto* const sink =
      new EventSink{.enabled = [](EventLevel level) { return level >= EventLevel::kInfo; },
                    .write =
                        [](Event event, const std::vector<EventField>& fields) {
                          const std::string line = FormatEvent(event, {}, fields) + "\n";
                          std::fputs(line.c_str(), stderr);
                        }};
  return *sink;
}

}  // namespace

const char* EventLevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "unlisted";
}

std::optional<EventLevel> ParseEventLevel(const std::string& name) {
  for (const EventLevel level :
       {EventLevel::kDebug, EventLevel::kInfo, EventLevel::kWarning, EventLevel::kError}) {
    if (name == EventLevelName(level)) return level;
  }
  return std::nullopt;
}

const std::vector<EventInfo>& EventTable() { return Table(); }

const EventInfo& EventInfoOf(Event event) {
  const std::vector<EventInfo>& table = Table();
  const auto before = [](const EventInfo& info, Event wanted) { return info.event < wanted; };
  return *std::lower_bound(table.begin(), table.end(), event, before);
}

void SetEventSink(EventSink sink) { Sink() = std::move(sink); }

bool IsEventEnabled(Event event) {
  return !Sink().enabled || Sink().enabled(EventInfoOf(event).level);
}

void LogEvent(Event event, const std::vector<EventField>& fields) {
  if (IsEventEnabled(event)) Sink().write(event, fields);
}

std::string FormatEvent(Event event, const EventLogOptions& options,
                        const std::vector<EventField>& fields) {
  std::string line = std::to_string(static_cast<int>(event)) + " " + EventInfoOf(event).name;
  line += FormatField("dc", options.data_centre.str());
  line += FormatField("process", options.process);
  for (const EventField& field : fields) line += FormatField(field.name, field.value);
  return line;
}

}  // namespace endivewood
