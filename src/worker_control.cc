/// @file
/// Client of the platform's instance list and worker control.
#include "worker_control.h"

#include "codec.h"
#include "config.h"

MSGPACK_ADD_ENUM(endivewood::WorkerState)
MSGPACK_ADD_ENUM(endivewood::ListedState)
// clang-format off
ENDIVEWOOD_CODEC(endivewood::WorkerStatus, v.state, v.assignment, v.rebooted, v.busy)
ENDIVEWOOD_CODEC(endivewood::ListedInstance, v.name, v.data_centre, v.rack, v.endpoint, v.slots, v.state)
// clang-format on

namespace endivewood {
namespace {

constexpr Milliseconds kTimeout{config::kPlatformTimeoutMs};
constexpr int kOkStatus = 200;

}  // namespace

std::string EncodeInstanceList(const std::vector<ListedInstance>& instances) {
  return Pack(instances);
}

std::optional<std::vector<ListedInstance>> DecodeInstanceList(const std::string& bytes) {
  return Unpack<std::vector<ListedInstance>>(bytes);
}

std::string EncodeWorkerStatus(const WorkerStatus& status) { return Pack(status); }

std::optional<WorkerStatus> DecodeWorkerStatus(const std::string& bytes) {
  return Unpack<WorkerStatus>(bytes);
}

std::optional<std::vector<ListedInstance>> WorkerControl::List(Reason* reason) const {
  const HttpOutcome outcome = HttpCall(m_platform, {.path = "/instances"}, kTimeout);
  if (!outcome.reply || outcome.reply->status != kOkStatus) {
    *reason = {.code = ResultCode::kPlatformUnreachable, .text = outcome.detail};
    return std::nullopt;
  }
  auto list = DecodeInstanceList(outcome.reply->body);
  if (!list) *reason = {.code = ResultCode::kProtocolError, .text = "malformed instance list"};
  return list;
}

std::optional<WorkerReport> WorkerControl::QueryStatus(const InstanceName& instance,
                                                       Reason* reason) const {
  const HttpOutcome outcome =
      HttpCall(m_platform, {.path = "/workers/" + instance.str()}, kTimeout);
  const int unavailable = HttpStatusOf(ResultCode::kPlatformUnreachable);
  if (!outcome.reply || outcome.reply->status == unavailable) {
    *reason = {.code = ResultCode::kPlatformUnreachable, .text = outcome.detail};
    return std::nullopt;
  }
  if (outcome.reply->status != kOkStatus) return WorkerReport{};
  return WorkerReport{.status = DecodeWorkerStatus(outcome.reply->body)};
}

bool WorkerControl::Order(const CommandWorker& command) const {
  const std::string path =
      "/workers/" + command.instance.str() + "/" + WorkerOrderName(command.order);
  const HttpOutcome outcome = HttpCall(
      m_platform,
      {.method = "POST", .path = path, .query = "assignment=" + std::to_string(command.assignment)},
      kTimeout);
  return outcome.reply && outcome.reply->status == kOkStatus;
}

}  // namespace endivewood
