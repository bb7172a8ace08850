/// @file
/// Numbered log events. The table in events.cc defines their names and levels; docs/events.md
/// describes them for operators.
#pragma once

#include <endivewood/endivewood.h>

#include <concepts>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace endivewood {

/// Severity of an event, from the most detailed to the most severe.
enum class EventLevel : std::uint8_t { kDebug = 0, kInfo, kWarning, kError };

/// @returns "debug", "info", "warning" or "error".
const char* EventLevelName(EventLevel level);

/// @returns the level of a name, or no value.
std::optional<EventLevel> ParseEventLevel(const std::string& name);

/// The events. Numbers are never reused, because operators' alerts refer to them.
enum class Event : int {
  // The process.
  kProcessStarted = 100,
  kProcessStopping = 101,
  kProcessStopped = 102,
  kSettingsInvalid = 103,
  kListenerFailed = 104,
  kDumpRequested = 105,
  // The platform and the streams.
  kPlatformLost = 200,
  kPlatformRestored = 201,
  kOffsetExpired = 202,
  kAppendResolved = 203,
  kAppendFailed = 204,
  kMalformedRecord = 205,
  kSnapshotTaken = 206,
  kSnapshotRestored = 207,
  kInstanceListStale = 208,
  kTopicReadInconsistent = 209,
  kConfigOutdated = 210,
  // Fleet records.
  kRecordAccepted = 300,
  kRecordRejected = 301,
  kConfigInForce = 302,
  kPresetInForce = 303,
  kInstanceMoved = 304,
  kWaveStarted = 305,
  kWavePaused = 306,
  kWaveResumed = 307,
  kWaveFinished = 308,
  kChangeProposed = 309,
  kPlannerWaiting = 310,
  kBudgetExhausted = 311,
  kInstanceLost = 312,
  kRebootFailed = 313,
  // Requests.
  kRequestAnswered = 400,
  kRequestRefused = 401,
  kRequestFailed = 402,
  kRequestRetried = 403,
  kRequestUnknown = 404,
  kRequestCancelled = 405,
  kKeyClaimed = 406,
  kKeyFenced = 407,
  kLongAccepted = 408,
  kLongTakenOver = 409,
  kLongFinished = 410,
  kLongCheckpointed = 411,
  kLongResumed = 412,
  kRequestDemoted = 413,
  kJobStopped = 414,
  kRetryBudgetSpent = 415,
  // Upstreams.
  kUpstreamEjected = 500,
  kUpstreamReadmitted = 501,
  kEjectionCapped = 502,
  kUpstreamSilent = 503,
  kUpstreamMismatch = 504,
  kUpstreamRefused = 505,
  // Peers and queues.
  kPeerConnected = 600,
  kPeerLost = 601,
  kPeerLeft = 602,
  kPeerProtocolError = 603,
  kQueueHolderChanged = 604,
  kGrantsReleased = 605,
  kRecordsRelayed = 606,
  // Jobs.
  kJobAccepted = 700,
  kJobRefused = 701,
  kJobEnded = 702,
  kTaskStarted = 703,
  kTaskEnded = 704,
  kTaskDropped = 705,
  kTaskAdopted = 706,
  kTaskMoved = 707,
  kTaskPaced = 708,
  kOrderFailed = 709,
  kUpstreamFenced = 710,
  kUpstreamUnreachable = 711,
  kUpstreamLeaseEnded = 712,
  kUpstreamRestarted = 713,
  kUpstreamDraining = 714,
  kUpstreamForgotten = 715,
  kUpstreamAvoided = 716,
  kInheritedSettled = 717,
  kHandoverSettled = 718,
  kHandoverIgnored = 719,
  kTaskUnplaced = 720,
  kMoveHeld = 721,
  kRoomHeld = 722,
  kTokensExhausted = 723,
  kTaskWaitsForLimit = 730,
  kLimitLowered = 731,
  kAccountSurplus = 740,
  kTaskCopied = 750,
  kCopyWon = 751,
  kDurationLearned = 752,
  // Partitions of the job store, and the calls of callers.
  kPartitionClaimed = 800,
  kPartitionLoaded = 801,
  kPartitionLost = 802,
  kBatchStored = 803,
  kBatchDelayed = 804,
  kMembershipChanged = 805,
  kCallAnswered = 806,
  kCallForwardFailed = 807,
  kStoreReplyUnreadable = 808,
  kSettingsReloaded = 809,
  kLinesDropped = 810,
  kEpochsExhausted = 811,
  kStoreCallFailed = 812,
  kProcessDelayed = 813,
  kLinkBusy = 814,
  kRequestUnroutable = 815,
  kCallbackFailed = 816,
  kCarriersChanged = 817,
  kCarrierLost = 818,
  kCarryRefused = 819,
  kCallerRejected = 820,
  kShareGranted = 824,
  kShareCallFailed = 825,
  kQueueServiceRegistered = 826,
  kJobFoundElsewhere = 827,
  kJobLookupFailed = 828,
  // Machines of the platform.
  kMaintenanceOrdered = 900,
  kMoveOrdered = 901,
  kMachineOrderFailed = 902,
  kWaveProgress = 903,
  kPoolNeed = 904,
  kPeakBegan = 905,
  kPeakEnded = 906,
  kPoolSize = 907,
  kMoveCancelled = 908,
  kMachineListFailed = 909,
};

/// The name and level of an event.
struct EventInfo {
  Event event;
  const char* name;
  EventLevel level;
};

/// @returns every event, in numerical order.
const std::vector<EventInfo>& EventTable();

/// @returns the row of an event.
const EventInfo& EventInfoOf(Event event);

/// A named value of an event.
struct EventField {
  EventField(const char* field, std::string text) : name(field), value(std::move(text)) {}
  EventField(const char* field, const char* text) : name(field), value(text) {}
  EventField(const char* field, bool flag) : name(field), value(flag ? "true" : "false") {}
  EventField(const char* field, std::integral auto number)
      : name(field), value(std::to_string(number)) {}
  EventField(const char* field, Milliseconds duration)
      : name(field), value(std::to_string(duration.count())) {}
  EventField(const char* field, ResultCode code) : name(field), value(ResultCodeName(code)) {}
  EventField(const char* field, const Endpoint& endpoint) : name(field), value(endpoint.str()) {}
  template <typename Tag>
  EventField(const char* field, const Name<Tag>& typed) : name(field), value(typed.str()) {}

  const char* name;
  std::string value;
};

/// @returns the field that carries the request id in every event about a request.
inline EventField RequestField(std::string request_id) {
  return {"request", std::move(request_id)};
}

/// Options of the event log of a process.
struct EventLogOptions {
  std::string process;
  DataCentreName data_centre;
  EventLevel level = EventLevel::kInfo;
  std::string file;  ///< Empty: standard error.
};

/// Configures the log. Until then, events of level info and above go to standard error.
/// @attention Call it before other threads log.
/// @param reason kFileUnreadable when the file can't be opened for writing; the log then goes to
/// standard error.
bool ConfigureEventLog(const EventLogOptions& options, Reason* reason);

/// The destination of events. Without `enabled`, every event is written.
struct EventSink {
  std::function<bool(EventLevel)> enabled;
  std::function<void(Event, const std::vector<EventField>&)> write;
};

/// Replaces the destination of events. @attention Call it before other threads log.
void SetEventSink(EventSink sink);

/// @returns whether an event would be written, so that callers can avoid computing costly fields.
bool IsEventEnabled(Event event);

/// Sends an event to the sink if it is enabled. After ConfigureEventLog, this writes one line: time
/// (UTC), level, number, name, data centre, process and fields. Thread-safe.
void LogEvent(Event event, const std::vector<EventField>& fields = {});

/// @returns the part of the line from the number on. Values that contain spaces, quotes or control
/// characters are quoted and escaped, so that text of a caller can't forge another event.
std::string FormatEvent(Event event, const EventLogOptions& options,
                        const std::vector<EventField>& fields);

}  // namespace endivewood
