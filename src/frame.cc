/// @file
/// Encoding of peer messages.
#include "frame.h"

#include <utility>

#include "codec.h"
#include "config.h"

MSGPACK_ADD_ENUM(endivewood::SlotOutcome)
MSGPACK_ADD_ENUM(endivewood::ResultCode)

// clang-format off
ENDIVEWOOD_CODEC(endivewood::LogRecord, v.offset, v.time_ms, v.payload)
ENDIVEWOOD_CODEC(endivewood::FollowerState, v.state, v.newest_snapshot, v.previous_snapshot,
                 v.snapshot_time_ms)
ENDIVEWOOD_CODEC(endivewood::SlotRequest, v.service, v.work_class, v.queue_deadline, v.avoid, v.age)
ENDIVEWOOD_CODEC(endivewood::SlotGrant, v.id, v.upstream, v.endpoint, v.assignment)
ENDIVEWOOD_CODEC(endivewood::Reason, v.code, v.text)
ENDIVEWOOD_CODEC(endivewood::Hello, v.name, v.data_centre, v.incarnation, v.applied)
ENDIVEWOOD_CODEC(endivewood::Heartbeat, v.incarnation, v.data_centre, v.applied)
ENDIVEWOOD_CODEC(endivewood::Leave, v.incarnation)
ENDIVEWOOD_CODEC(endivewood::SnapshotRequest, v.newer_than)
ENDIVEWOOD_CODEC(endivewood::SnapshotReply, v.state)
ENDIVEWOOD_CODEC(endivewood::RecordsRequest, v.from)
ENDIVEWOOD_CODEC(endivewood::Records, v.records)
ENDIVEWOOD_CODEC(endivewood::Acquire, v.request, v.slot)
ENDIVEWOOD_CODEC(endivewood::Grant, v.request, v.grant)
ENDIVEWOOD_CODEC(endivewood::Refuse, v.request, v.reason)
ENDIVEWOOD_CODEC(endivewood::CancelAcquire, v.request)
ENDIVEWOOD_CODEC(endivewood::Release, v.grant, v.outcome, v.run_time)
ENDIVEWOOD_CODEC(endivewood::CheckpointRequest, v.grant)
// clang-format on

namespace endivewood {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kByteBits = 8;
constexpr std::uint32_t kFields = 2;

/// Limits every msgpack length to the size of the frame. A header may announce more elements than
/// the frame has bytes, and unpacking would allocate them.
msgpack::unpack_limit UnpackLimit(std::size_t size) {
  constexpr std::size_t kDepth = 16;
  return {size, size, size, size, size, kDepth};
}

/// Rejects decoded values that no correct sender writes.
struct MessageValidator {
  bool operator()(const Hello& message) const {
    return !message.name.empty() && message.data_centre.valid() && message.incarnation.valid();
  }
  bool operator()(const Heartbeat& message) const { return message.incarnation.valid(); }
  bool operator()(const Leave& message) const { return message.incarnation.valid(); }
  bool operator()(const Records& message) const {
    for (std::size_t index = 1; index < message.records.size(); ++index) {
      if (message.records[index].offset != message.records[index - 1].offset + 1) return false;
    }
    return true;
  }
  bool operator()(const Acquire& message) const {
    return message.slot.work_class <= WorkClass::kLong && message.slot.service.valid() &&
           message.slot.queue_deadline >= Milliseconds(0) && message.slot.age >= Milliseconds(0);
  }
  bool operator()(const Grant& message) const { return message.grant.valid(); }
  bool operator()(const Refuse& message) const { return message.reason.code != ResultCode::kOk; }
  bool operator()(const Release& message) const {
    return message.outcome <= SlotOutcome::kCancelled && message.run_time >= Milliseconds(0);
  }
  template <typename Other>
  bool operator()(const Other&) const {
    return true;
  }
};

std::optional<PeerMessage> DecodeMessage(const char* data, std::size_t size) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(data, size, offset, nullptr, nullptr, UnpackLimit(size));
    if (offset != size) return std::nullopt;
    if (handle.get().type != msgpack::type::ARRAY) return std::nullopt;
    if (handle.get().via.array.size != kFields) return std::nullopt;
    const auto [kind, object] = handle.get().as<std::tuple<std::size_t, msgpack::object>>();
    auto message = DecodeAlternative<PeerMessage>(kind, object);
    if (!message || !std::visit(MessageValidator(), *message)) return std::nullopt;
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeFrame(const PeerMessage& message) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFields);
  packer.pack(message.index());
  std::visit([&](const auto& fields) { packer.pack(fields); }, message);
  std::string frame;
  for (std::size_t byte = kLengthBytes; byte-- > 0;) {
    frame += static_cast<char>(buffer.size() >> (byte * kByteBits));
  }
  return frame.append(buffer.data(), buffer.size());
}

void FrameDecoder::Feed(const char* data, std::size_t size) {
  if (!m_malformed) m_buffer.append(data, size);
}

std::optional<PeerMessage> FrameDecoder::Next() {
  if (m_malformed || m_buffer.size() < kLengthBytes) return std::nullopt;
  std::size_t length = 0;
  for (std::size_t byte = 0; byte < kLengthBytes; ++byte) {
    length = (length << kByteBits) | static_cast<unsigned char>(m_buffer[byte]);
  }
  if (length > m_limit) {
    m_malformed = true;
    return std::nullopt;
  }
  if (m_buffer.size() < kLengthBytes + length) return std::nullopt;
  auto message = DecodeMessage(m_buffer.data() + kLengthBytes, length);
  m_malformed = !message;
  m_buffer.erase(0, kLengthBytes + length);
  return message;
}

}  // namespace endivewood
