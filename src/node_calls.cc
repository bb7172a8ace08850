/// @file
/// Encoding of the frames between instances (msgpack).
#include "node_calls.h"

#include "config.h"
#include "job_codec.h"

MSGPACK_ADD_ENUM(endivewood::NodeStatus)
MSGPACK_ADD_ENUM(endivewood::ReleaseState)

// clang-format off
ENDIVEWOOD_CODEC(endivewood::ReleaseTime, v.upstream, v.left)
ENDIVEWOOD_CODEC(endivewood::ServiceDemand, v.upstreams, v.cpu_capacity, v.cpu_running,
                 v.cpu_lasting, v.cpu_waiting, v.cpu_offered, v.min_lasting_upstreams,
                 v.release_order, v.lost)
ENDIVEWOOD_CODEC(endivewood::SubmitCall, v.spec, v.policy)
ENDIVEWOOD_CODEC(endivewood::StatusCall, v.queue, v.service, v.job)
ENDIVEWOOD_CODEC(endivewood::CancelCall, v.queue, v.service, v.job)
ENDIVEWOOD_CODEC(endivewood::PendingCall, v.queue, v.service)
ENDIVEWOOD_CODEC(endivewood::DemandCall, v.service, v.planned_millicores)
ENDIVEWOOD_CODEC(endivewood::ReleaseCall, v.service, v.upstream)
ENDIVEWOOD_CODEC(endivewood::OwnersCall, v.service)
ENDIVEWOOD_CODEC(endivewood::HandoverCall, v.service, v.partition, v.member, v.epoch)
ENDIVEWOOD_CODEC(endivewood::KnownOwner, v.partition, v.endpoint)
ENDIVEWOOD_CODEC(endivewood::RecentOrder, v.instance, v.age)
ENDIVEWOOD_CODEC(endivewood::NodeReply, v.status, v.state, v.pending, v.retry_after, v.demand,
                 v.release, v.reason, v.owners, v.generation, v.recent_orders)
// clang-format on

namespace endivewood {
namespace {

constexpr std::size_t kLengthBytes = 4;
/// Frame kind of a reply. A call's kind is the index of its alternative in NodeCall.
constexpr int kReplyKind = 100;

}  // namespace

const ServiceName& ServiceOf(const NodeCall& call) {
  return std::visit(
      [](const auto& each) -> const ServiceName& {
        if constexpr (requires { each.spec; }) {
          return each.spec.service;
        } else {
          return each.service;
        }
      },
      call);
}

std::string RequestIdOf(const NodeCall& call) {
  return std::visit(
      [](const auto& each) -> std::string {
        if constexpr (requires { each.spec; }) {
          return each.spec.id.str();
        } else if constexpr (requires { each.job; }) {
          return each.job.str();
        } else {
          return "";
        }
      },
      call);
}

const char* CallName(const NodeCall& call) {
  constexpr const char* kNames[] = {"submit", "status",  "cancel", "pending",
                                    "demand", "release", "owners", "handover"};
  static_assert(std::size(kNames) == std::variant_size_v<NodeCall>);
  return kNames[call.index()];
}

const char* NodeStatusName(NodeStatus status) {
  switch (status) {
    case NodeStatus::kOk:
      return "ok";
    case NodeStatus::kUnknownJob:
      return "unknown-job";
    case NodeStatus::kRefused:
      return "refused";
    case NodeStatus::kUnavailable:
      return "unavailable";
    case NodeStatus::kNotHolder:
      return "not-holder";
    case NodeStatus::kUncertain:
      return "uncertain";
  }
  return "uncertain";
}

std::string EncodeNodeFrame(const NodeFrame& frame) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(3);
  packer.pack(frame.id);
  if (const auto* reply = std::get_if<NodeReply>(&frame.body)) {
    packer.pack(kReplyKind);
    packer.pack(*reply);
  } else {
    const auto& call = std::get<NodeCall>(frame.body);
    packer.pack(static_cast<int>(call.index()));
    std::visit([&](const auto& each) { packer.pack(each); }, call);
  }
  const auto size = static_cast<std::uint32_t>(buffer.size());
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>(size >> shift & 0xff);
  bytes.append(buffer.data(), buffer.size());
  return bytes;
}

std::optional<NodeFrame> TakeNodeFrame(std::string* buffer, bool* malformed) {
  if (buffer->size() < kLengthBytes) return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    size = size << 8 | static_cast<unsigned char>((*buffer)[i]);
  }
  *malformed = size > config::kMaxFrameBytes;
  if (*malformed || buffer->size() < kLengthBytes + size) return std::nullopt;
  const std::string payload = buffer->substr(kLengthBytes, size);
  buffer->erase(0, kLengthBytes + size);
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(payload.data(), payload.size(), offset);
    const auto parts = handle.get().as<std::vector<msgpack::object>>();
    NodeFrame frame;
    frame.id = parts.at(0).as<std::uint64_t>();
    const int kind = parts.at(1).as<int>();
    if (kind == kReplyKind) {
      frame.body = parts.at(2).as<NodeReply>();
      return frame;
    }
    auto call = DecodeAlternative<NodeCall>(static_cast<std::size_t>(kind), parts.at(2));
    *malformed = !call;
    if (!call) return std::nullopt;
    frame.body = std::move(*call);
    return frame;
  } catch (const std::exception&) {
    *malformed = true;
    return std::nullopt;
  }
}

}  // namespace endivewood
