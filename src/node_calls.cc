/// @file
/// Encoding of the frames between instances (msgpack).
#include "node_calls.h"

#include <stdexcept>
#include <string_view>

#include "config.h"
#include "job_codec.h"

MSGPACK_ADD_ENUM(endivewood::NodeStatus)
MSGPACK_ADD_ENUM(endivewood::ReleaseState)

// clang-format off
ENDIVEWOOD_CODEC(endivewood::ReleaseTime, v.upstream, v.left)
ENDIVEWOOD_CODEC(endivewood::ServiceDemand, v.upstreams, v.cpu_capacity, v.cpu_running,
                 v.cpu_lasting, v.cpu_waiting, v.cpu_offered, v.min_lasting_upstreams,
                 v.release_order, v.lost)
ENDIVEWOOD_CODEC(endivewood::CallerCredential, v.account, v.key, v.config_version)
ENDIVEWOOD_CODEC(endivewood::SubmitCall, v.spec, v.policy, v.credential)
ENDIVEWOOD_CODEC(endivewood::StatusCall, v.queue, v.service, v.job, v.credential)
ENDIVEWOOD_CODEC(endivewood::CancelCall, v.queue, v.service, v.job, v.credential)
ENDIVEWOOD_CODEC(endivewood::PendingCall, v.queue, v.service, v.credential)
ENDIVEWOOD_CODEC(endivewood::DemandCall, v.service, v.planned_millicores)
ENDIVEWOOD_CODEC(endivewood::ReleaseCall, v.service, v.upstream)
ENDIVEWOOD_CODEC(endivewood::OwnersCall, v.service)
ENDIVEWOOD_CODEC(endivewood::HandoverCall, v.service, v.partition, v.member, v.epoch)
ENDIVEWOOD_CODEC(endivewood::ResourceTotal, v.cpu_millicores, v.memory_mb, v.gpus)
ENDIVEWOOD_CODEC(endivewood::ShareRequest, v.account, v.keep, v.limit, v.running, v.used,
                 v.want, v.next, v.task)
ENDIVEWOOD_CODEC(endivewood::ShareCall, v.service, v.partition, v.epoch, v.sequence, v.requests)
ENDIVEWOOD_CODEC(endivewood::FindJobCall, v.service, v.queue, v.job, v.for_service,
                 v.config_version)
ENDIVEWOOD_CODEC(endivewood::GrantedShare, v.account, v.share, v.contended, v.fair, v.over)
ENDIVEWOOD_CODEC(endivewood::ShareReply, v.sequence, v.shares)
ENDIVEWOOD_CODEC(endivewood::KnownOwner, v.partition, v.endpoint)
ENDIVEWOOD_CODEC(endivewood::RecentOrder, v.instance, v.age)
ENDIVEWOOD_CODEC(endivewood::NodeReply, v.status, v.state, v.pending, v.retry_after, v.demand,
                 v.release, v.reason, v.owners, v.generation, v.recent_orders, v.shares,
                 v.queue_retired)
ENDIVEWOOD_CODEC(endivewood::CarryReply, v.carrier_clock, v.order, v.renew)
// clang-format on

namespace endivewood {
namespace {

constexpr std::size_t kLengthBytes = 4;
/// Frame kind of a reply. A call's kind is the index of its alternative in NodeCall.
constexpr int kReplyKind = 100;
constexpr int kCarryBatchKind = 101;
constexpr int kCarryReplyKind = 102;

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Packs a batch: the probe, the payloads, and each order with the position of its payload.
void PackBatch(const CarryBatch& batch, Packer* packer) {
  std::map<std::string_view, int> positions;
  std::vector<std::string_view> payloads;
  const auto payload_of = [](const CarriedOrder& each) -> std::string_view {
    const auto* const start = std::get_if<StartOrder>(&each.order);
    return start == nullptr ? std::string_view() : std::string_view(start->payload);
  };
  for (const CarriedOrder& each : batch.orders) {
    const std::string_view payload = payload_of(each);
    if (positions.emplace(payload, static_cast<int>(payloads.size())).second) {
      payloads.push_back(payload);
    }
  }
  packer->pack_array(3);
  packer->pack(batch.probe_id);
  packer->pack_array(static_cast<std::uint32_t>(payloads.size()));
  for (const std::string_view payload : payloads) packer->pack(payload);
  packer->pack_array(static_cast<std::uint32_t>(batch.orders.size()));
  for (const CarriedOrder& each : batch.orders) {
    packer->pack_array(8);
    packer->pack(each.id);
    packer->pack(each.upstream);
    packer->pack(each.fencing_token);
    packer->pack(each.valid_until);
    packer->pack(positions.at(payload_of(each)));
    packer->pack(static_cast<int>(each.order.index()));
    std::visit([&](const auto& order) { packer->pack(order); }, each.order);
    packer->pack(std::visit([](const auto& order) { return order.target.start_time; }, each.order));
  }
}

/// @throws std::exception if the object isn't a batch.
CarryBatch UnpackBatch(const msgpack::object& object) {
  const auto parts = object.as<std::vector<msgpack::object>>();
  CarryBatch batch{.probe_id = parts.at(0).as<std::uint64_t>(), .orders = {}};
  const auto payloads = parts.at(1).as<std::vector<std::string>>();
  for (const auto& packed : parts.at(2).as<std::vector<msgpack::object>>()) {
    const auto fields = packed.as<std::vector<msgpack::object>>();
    auto order = DecodeAlternative<UpstreamOrder>(fields.at(5).as<std::size_t>(), fields.at(6));
    if (!order) throw std::invalid_argument("unknown kind of order");
    if (auto* start = std::get_if<StartOrder>(&*order)) {
      start->payload = payloads.at(fields.at(4).as<std::size_t>());
    }
    // Earlier builds don't name the incarnation.
    constexpr std::size_t kStartTimeField = 7;
    if (fields.size() > kStartTimeField) {
      const auto start_time = fields[kStartTimeField].as<std::int64_t>();
      std::visit([&](auto& each) { each.target.start_time = start_time; }, *order);
    }
    batch.orders.push_back({.id = fields.at(0).as<std::uint64_t>(),
                            .upstream = fields.at(1).as<Endpoint>(),
                            .fencing_token = fields.at(2).as<std::uint64_t>(),
                            .order = std::move(*order),
                            .valid_until = fields.at(3).as<std::int64_t>()});
  }
  return batch;
}

/// Packs the kind of a frame's body, and the body.
class BodyPacker {
 public:
  explicit BodyPacker(Packer* packer) : m_packer(packer) {}

  void operator()(const NodeCall& call) const {
    m_packer->pack(static_cast<int>(call.index()));
    std::visit([&](const auto& each) { m_packer->pack(each); }, call);
  }
  void operator()(const NodeReply& reply) const {
    m_packer->pack(kReplyKind);
    m_packer->pack(reply);
  }
  void operator()(const CarryBatch& batch) const {
    m_packer->pack(kCarryBatchKind);
    PackBatch(batch, m_packer);
  }
  void operator()(const CarryReply& reply) const {
    m_packer->pack(kCarryReplyKind);
    m_packer->pack(reply);
  }

 private:
  Packer* m_packer;
};

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
  constexpr const char* kNames[] = {"submit",  "status", "cancel",   "pending", "demand",
                                    "release", "owners", "handover", "share",   "find-job"};
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
    case NodeStatus::kUnauthorized:
      return "unauthorized";
    case NodeStatus::kForbidden:
      return "forbidden";
  }
  return "uncertain";
}

std::string EncodeNodeFrame(const NodeFrame& frame) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(3);
  packer.pack(frame.id);
  std::visit(BodyPacker(&packer), frame.body);
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
    if (kind == kCarryBatchKind) {
      frame.body = UnpackBatch(parts.at(2));
      return frame;
    }
    if (kind == kCarryReplyKind) {
      frame.body = parts.at(2).as<CarryReply>();
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
