/// @file
/// The request path of an entry instance.
#include "entry.h"

#include "config.h"
#include "dump.h"

namespace endivewood {
namespace {

constexpr char kServicePrefix[] = "/v1/services/";
constexpr char kResultPrefix[] = "/v1/results/";
constexpr unsigned kControlThreads = 16;

HttpReply Answer(ResultCode code, std::string body = "") {
  if (body.empty()) body = ResultCodeName(code);
  return {.status = HttpStatusOf(code),
          .headers = {{"Result-Code", std::to_string(static_cast<int>(code))}},
          .body = std::move(body)};
}

}  // namespace

Entry::Entry(const ProcessSettings& settings)
    : m_settings(settings),
      m_incarnation(RandomHex128()),
      m_follower(LogClient(settings.platform, m_incarnation), nullptr),
      m_caller_server({.endpoint = settings.callers,
                       .max_threads = config::kMaxHttpThreads,
                       .max_body_bytes = config::kMaxBodyBytes},
                      [this](const HttpRequest& request) { return HandleCaller(request); }),
      m_control_server({.endpoint = settings.control, .max_threads = kControlThreads},
                       [this](const HttpRequest& request) { return HandleControl(request); }) {}

void Entry::Stop() {
  m_caller_server.Stop();
  m_control_server.Stop();
  m_follower.Stop();
  for (std::thread& thread : m_long_threads) thread.join();
}

HttpReply Entry::HandleCaller(const HttpRequest& request) {
  if (request.path.starts_with(kResultPrefix)) return HandleResult(request);
  if (!request.path.starts_with(kServicePrefix)) return Answer(ResultCode::kMalformedRequest);
  const ServiceName name(request.path.substr(sizeof(kServicePrefix) - 1));
  const auto view = m_follower.View();
  const ServiceConfig* service = view->config.FindService(name);
  if (service == nullptr) return Answer(ResultCode::kUnknownService);
  if (service->work_class == WorkClass::kLong) return AcceptLong(request, *service);
  return Forward(request, *service);
}

HttpReply Entry::HandleResult(const HttpRequest& request) {
  const std::string handle = request.path.substr(sizeof(kResultPrefix) - 1);
  std::lock_guard lock(m_mutex);
  const auto found = m_long_requests.find(handle);
  const bool own = found != m_long_requests.end() &&
                   found->second.caller_token == request.Header("Caller-Token");
  if (!own) return Answer(ResultCode::kUnknownResult);
  return found->second.reply ? *found->second.reply : Answer(ResultCode::kPending);
}

HttpReply Entry::AcceptLong(const HttpRequest& request, const ServiceConfig& service) {
  const std::string token = request.Header("Caller-Token");
  if (token.empty()) return Answer(ResultCode::kMissingCallerToken);
  const std::string handle = RandomHex128();
  std::lock_guard lock(m_mutex);
  m_long_requests[handle] = {.caller_token = token, .reply = std::nullopt};
  m_long_threads.emplace_back([this, request, service, handle] {
    HttpReply reply = Forward(request, service);
    std::lock_guard result_lock(m_mutex);
    m_long_requests[handle].reply = std::move(reply);
  });
  HttpReply accepted = Answer(ResultCode::kAccepted);
  accepted.headers.push_back({"Location", kResultPrefix + handle});
  return accepted;
}

HttpReply Entry::Forward(const HttpRequest& request, const ServiceConfig& service) {
  const auto view = m_follower.View();
  std::vector<const InstanceView*> upstreams;
  for (const InstanceView* instance : view->ReadyInstances(service.name)) {
    if (instance->data_centre == m_settings.data_centre) upstreams.push_back(instance);
  }
  if (upstreams.empty()) return Answer(ResultCode::kNotRunNoUpstream);
  const std::string request_id = RandomHex128();
  const InstanceView* upstream = upstreams[m_next_upstream++ % upstreams.size()];
  HttpRequest work{.method = "POST",
                   .path = "/work",
                   .query = "",
                   .headers = {{"Request-Id", request_id},
                               {"Service", service.name.str()},
                               {"Assignment", std::to_string(upstream->assignment)}},
                   .body = request.body};
  const std::string key = request.Header("Idempotency-Key");
  if (!key.empty()) work.headers.push_back({"Idempotency-Key", key});
  const HttpOutcome outcome = HttpCall(upstream->endpoint, work, service.run_timeout);
  if (!outcome.reply) return Answer(ResultCode::kUpstreamFailed);
  if (outcome.reply->status == 503) return Answer(ResultCode::kNotRunOverload);
  if (outcome.reply->status != 200 || outcome.reply->Header("Request-Id") != request_id) {
    return Answer(ResultCode::kUpstreamFailed);
  }
  HttpReply reply = Answer(ResultCode::kOk, outcome.reply->body);
  reply.headers.push_back({"Request-Id", request_id});
  return reply;
}

HttpReply Entry::HandleControl(const HttpRequest& request) {
  return AnswerControl(request, {.settings = m_settings,
                                 .incarnation = m_incarnation,
                                 .follower = m_follower,
                                 .metrics = m_metrics});
}

}  // namespace endivewood
