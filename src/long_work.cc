/// @file
/// Encodes the records of the stream `work` and folds them.
#include "long_work.h"

#include <algorithm>
#include <utility>

#include "codec.h"
#include "config.h"

MSGPACK_ADD_ENUM(endivewood::AttemptEnd)
MSGPACK_ADD_ENUM(endivewood::ResultCode)

// clang-format off
ENDIVEWOOD_CODEC(endivewood::WorkAccepted, v.handle, v.service, v.caller, v.digest, v.key, v.body)
ENDIVEWOOD_CODEC(endivewood::WorkTakenOver, v.handle)
ENDIVEWOOD_CODEC(endivewood::AttemptStarted, v.handle, v.task, v.upstream, v.endpoint)
ENDIVEWOOD_CODEC(endivewood::AttemptEnded, v.handle, v.task, v.end, v.progress_ms)
ENDIVEWOOD_CODEC(endivewood::WorkFinished, v.handle, v.code, v.body)
ENDIVEWOOD_CODEC(endivewood::CancelRequested, v.handle)
ENDIVEWOOD_CODEC(endivewood::WorkItem, v.accepted, v.owner, v.attempt, v.progress_ms,
                 v.failed_on, v.cancel_requested, v.finished, v.code, v.result)
ENDIVEWOOD_CODEC(endivewood::ItemRenewed, v.item)
// clang-format on

namespace endivewood {
namespace {

/// Fences are encoded as the fenced incarnation and heartbeats as nil.
void PackEvent(msgpack::packer<msgpack::sbuffer>* packer, const WorkEvent& event) {
  std::visit(
      [&](const auto& value) {
        using Value = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Value, std::monostate>) {
          packer->pack_nil();
        } else if constexpr (std::is_same_v<Value, IncarnationFenced>) {
          packer->pack(value.incarnation);
        } else {
          packer->pack(value);
        }
      },
      event);
}

template <typename Value>
Value UnpackEvent(const msgpack::object& object) {
  if constexpr (std::is_same_v<Value, std::monostate>) {
    return {};
  } else if constexpr (std::is_same_v<Value, IncarnationFenced>) {
    return {.incarnation = object.as<Incarnation>()};
  } else {
    return object.as<Value>();
  }
}

}  // namespace

std::string EncodeWorkRecord(const WorkRecord& record) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  constexpr std::uint32_t kFields = 3;
  packer.pack_array(kFields);
  packer.pack(record.author);
  packer.pack(record.event.index());
  PackEvent(&packer, record.event);
  return std::string(buffer.data(), buffer.size());
}

std::optional<WorkRecord> DecodeWorkRecord(const std::string& payload) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(payload.data(), payload.size());
    const auto [author, kind, object] =
        handle.get().as<std::tuple<Incarnation, std::size_t, msgpack::object>>();
    const auto unpack = []<typename Value>(const msgpack::object& value) {
      return UnpackEvent<Value>(value);
    };
    auto event = DecodeAlternative<WorkEvent>(kind, object, unpack);
    if (!event) return std::nullopt;
    return WorkRecord{.author = author, .event = std::move(*event)};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// Applies one event; each overload returns whether the event was valid.
struct WorkFold::Applier {
  WorkFold* fold;
  Incarnation author;

  WorkItem* Open(const WorkHandle& handle) const {
    const auto found = fold->m_items.find(handle);
    const bool open = found != fold->m_items.end() && !found->second.finished;
    return open ? &found->second : nullptr;
  }

  /// @returns the open item if the author owns it, or nullptr.
  WorkItem* Own(const WorkHandle& handle) const {
    WorkItem* item = Open(handle);
    return item != nullptr && item->owner == author ? item : nullptr;
  }

  bool operator()(const WorkAccepted& accepted) const {
    if (fold->IsFenced(author) || fold->m_items.contains(accepted.handle)) return false;
    if (accepted.key.valid() && fold->m_by_key.contains(accepted.key)) return false;
    Insert({.accepted = accepted, .owner = author, .recorded = fold->m_log_time});
    return true;
  }

  bool operator()(const WorkTakenOver& takeover) const {
    WorkItem* item = Open(takeover.handle);
    if (item == nullptr || item->owner.valid() || fold->IsFenced(author)) return false;
    item->owner = author;
    return true;
  }

  bool operator()(const AttemptStarted& attempt) const {
    WorkItem* item = Own(attempt.handle);
    if (item == nullptr || item->attempt.task.valid()) return false;
    item->attempt = attempt;
    return true;
  }

  bool operator()(const AttemptEnded& ended) const {
    WorkItem* item = Own(ended.handle);
    if (item == nullptr || item->attempt.task != ended.task) return false;
    if (ended.end == AttemptEnd::kCheckpointed) item->progress_ms = ended.progress_ms;
    if (ended.end == AttemptEnd::kFailed) AddFailedInstance(item);
    item->attempt = {};
    return true;
  }

  /// A complete result is valid whoever records it, so the first one counts.
  bool operator()(const WorkFinished& finished) const {
    WorkItem* item = Open(finished.handle);
    if (item == nullptr) return false;
    item->finished = true;
    item->code = finished.code;
    item->result = finished.body;
    item->accepted.body.clear();
    item->attempt = {};
    item->recorded = fold->m_log_time;
    --fold->m_open;
    return true;
  }

  bool operator()(const CancelRequested& cancel) const {
    WorkItem* item = Open(cancel.handle);
    if (item == nullptr) return false;
    item->cancel_requested = true;
    return true;
  }

  bool operator()(const IncarnationFenced& fence) const {
    fold->m_fences[fence.incarnation] = fold->m_log_time;
    for (auto& [handle, item] : fold->m_items) {
      if (item.owner == fence.incarnation) item.owner = Incarnation();
    }
    return true;
  }

  /// A reader that already has the item only updates its recorded time.
  bool operator()(const ItemRenewed& renewed) const {
    const auto found = fold->m_items.find(renewed.item.accepted.handle);
    if (found == fold->m_items.end()) Insert(renewed.item);
    WorkItem& item = fold->m_items[renewed.item.accepted.handle];
    if (!item.finished) item.recorded = fold->m_log_time;
    if (fold->IsFenced(item.owner)) item.owner = Incarnation();
    return true;
  }

  bool operator()(std::monostate) const { return true; }

 private:
  void Insert(const WorkItem& item) const {
    if (item.accepted.key.valid()) fold->m_by_key[item.accepted.key] = item.accepted.handle;
    if (!item.finished) ++fold->m_open;
    fold->m_items[item.accepted.handle] = item;
  }

  static void AddFailedInstance(WorkItem* item) {
    const InstanceName& upstream = item->attempt.upstream;
    std::vector<InstanceName>& failed = item->failed_on;
    if (std::find(failed.begin(), failed.end(), upstream) == failed.end()) {
      failed.push_back(upstream);
    }
  }
};

bool WorkFold::Apply(std::int64_t time_ms, const std::string& payload) {
  m_log_time = std::max(m_log_time, Milliseconds(time_ms));
  const auto record = DecodeWorkRecord(payload);
  if (!record) return false;
  m_last_heartbeats[record->author] = m_log_time;
  const bool valid = std::visit(Applier{.fold = this, .author = record->author}, record->event);
  Expire();
  return valid;
}

void WorkFold::Expire() {
  const Milliseconds results_from = m_log_time - Milliseconds(config::kLongResultRetentionMs);
  std::erase_if(m_items, [&](const auto& entry) {
    const WorkItem& item = entry.second;
    const bool expired = item.finished && item.recorded < results_from;
    if (expired) m_by_key.erase(item.accepted.key);
    return expired;
  });
  const Milliseconds fences_from = m_log_time - Milliseconds(config::kFenceRetentionMs);
  std::erase_if(m_fences, [&](const auto& item) { return item.second < fences_from; });
  std::erase_if(m_last_heartbeats, [&](const auto& item) { return item.second < results_from; });
}

const WorkItem* WorkFold::Find(const WorkHandle& handle) const {
  const auto found = m_items.find(handle);
  return found == m_items.end() ? nullptr : &found->second;
}

const WorkItem* WorkFold::FindKey(const IdempotencyKey& key) const {
  const auto found = m_by_key.find(key);
  return found == m_by_key.end() ? nullptr : Find(found->second);
}

Milliseconds WorkFold::LastHeartbeat(const Incarnation& incarnation) const {
  const auto found = m_last_heartbeats.find(incarnation);
  return found == m_last_heartbeats.end() ? Milliseconds(0) : found->second;
}

}  // namespace endivewood
