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

HttpReply Reply(ResultCode code, std::string body = "") {
  if (body.empty() && code != ResultCode::kOk) body = ResultCodeName(code);
  return {.status = HttpStatusOf(code),
          .headers = {{"Result-Code", std::to_string(static_cast<int>(code))}},
          .body = std::move(body)};
}

HttpReply Reply(const WorkOutcome& outcome) { return Reply(outcome.code, outcome.body); }

/// Maps the answer about an idempotency key to the reply to its request.
struct ClaimAnswerToReply {
  HttpReply operator()(const ClaimOwned&) const { return Reply(ResultCode::kUnknownEffect); }
  HttpReply operator()(const ClaimResolved& known) const { return Reply(known.code, known.body); }
  HttpReply operator()(const ClaimMismatch&) const { return Reply(ResultCode::kKeyReused); }
  HttpReply operator()(const ClaimExpired&) const { return Reply(ResultCode::kKeyExpired); }
  HttpReply operator()(const ClaimEffectUnknown&) const {
    return Reply(ResultCode::kUnknownEffect);
  }
  HttpReply operator()(const ClaimInProgress&) const { return Reply(ResultCode::kPending); }
  HttpReply operator()(const ClaimNotStarted& attempt) const {
    return Reply(ResultCode::kNotStartedPlatform,
                 "not started, retry with the same key: " + attempt.cause);
  }
};

}  // namespace

bool RequestLimiter::Enter(const ServiceName& service) {
  std::lock_guard lock(m_mutex);
  int& service_count = m_by_service[service];
  const bool full =
      m_total >= config::kMaxRequestsInProgress || service_count >= config::kMaxRequestsPerService;
  if (full || m_closed) return false;
  ++service_count;
  ++m_total;
  return true;
}

void RequestLimiter::Leave(const ServiceName& service) {
  std::lock_guard lock(m_mutex);
  const auto service_count = m_by_service.find(service);
  if (--service_count->second == 0) m_by_service.erase(service_count);
  --m_total;
}

void RequestLimiter::Close() {
  std::lock_guard lock(m_mutex);
  m_closed = true;
}

Entry::Entry(const ProcessSettings& settings)
    : m_settings(settings),
      m_incarnation(RandomHex128()),
      m_follower(LogClient(settings.platform, m_incarnation, settings.data_centre), nullptr,
                 {.peer_state_wait = Milliseconds(config::kPeerStateWaitMs)}),
      m_peers(settings, m_incarnation, &m_follower, &m_clock),
      m_snapshots(LogClient(settings.platform, m_incarnation, settings.data_centre), m_incarnation,
                  &m_follower, &m_peers, &m_clock),
      m_claims(LogClient(settings.platform, m_incarnation, settings.data_centre), &m_clock),
      m_slots(
          m_clock, &m_peers,
          {.on_checkpoint = [this](const SlotGrant& grant) { m_long.RequestCheckpoint(grant); }}),
      m_upstreams(&m_clock),
      m_forwarder(&m_slots, &m_upstreams, &m_clock),
      m_long({.client = LogClient(settings.platform, m_incarnation, settings.data_centre),
              .slots = &m_slots,
              .upstreams = &m_upstreams,
              .clock = &m_clock,
              .view = [this] { return View(); },
              .runners = config::kLongRunners}),
      m_view_thread([this] { FollowView(); }),
      m_caller_server({.endpoint = settings.callers,
                       .max_threads = config::kMaxHttpThreads,
                       .max_body_bytes = config::kMaxBodyBytes},
                      [this](const HttpRequest& request) { return HandleCaller(request); }),
      m_control_server({.endpoint = settings.control, .max_threads = kControlThreads},
                       [this](const HttpRequest& request) { return HandleControl(request); }) {
  m_peers.Start(m_slots.Handlers());
}

int Entry::Stop(Milliseconds limit, const std::atomic<bool>& abort_wait) {
  m_limiter.Close();
  const Milliseconds end = m_clock.Now() + limit;
  while (m_limiter.in_progress() > 0 && m_clock.Now() < end && !abort_wait) {
    std::this_thread::sleep_for(Milliseconds(config::kViewPollMs));
  }
  const int unanswered = m_limiter.in_progress();
  if (unanswered > 0) return unanswered;
  m_caller_server.Stop();
  m_long.Stop();
  m_claims.Stop();
  m_slots.Stop();
  m_stopping = true;
  if (m_view_thread.joinable()) m_view_thread.join();
  m_control_server.Stop();
  m_snapshots.Stop();
  m_peers.Stop();
  m_follower.Stop();
  return 0;
}

void Entry::FollowView() {
  std::shared_ptr<const FleetView> current;
  while (!m_stopping) {
    auto view = m_follower.View();
    if (view != current) {
      // The queue gets a new version before callers and operators can see it.
      m_slots.SetView(view);
      std::lock_guard lock(m_view_mutex);
      m_view = view;
    }
    current = std::move(view);
    std::this_thread::sleep_for(Milliseconds(config::kViewPollMs));
  }
}

std::shared_ptr<const FleetView> Entry::View() const {
  std::lock_guard lock(m_view_mutex);
  return m_view;
}

HttpReply Entry::HandleCaller(const HttpRequest& request) {
  const std::string request_id = RandomHex128();
  HttpReply reply =
      request.path.starts_with(kResultPrefix) ? HandleResult(request) : HandleService(request);
  reply.headers.push_back({"Request-Id", request_id});
  // Makes the caller reconnect, so that its next request reaches an entry that isn't stopping.
  if (m_limiter.closed()) reply.headers.push_back({"Connection", "close"});
  return reply;
}

HttpReply Entry::HandleService(const HttpRequest& request) {
  if (!request.path.starts_with(kServicePrefix)) return Reply(ResultCode::kMalformedRequest);
  const ServiceName name(request.path.substr(sizeof(kServicePrefix) - 1));
  const auto view = View();
  const ServiceConfig* service = view->config.FindService(name);
  if (service == nullptr) return Reply(ResultCode::kUnknownService);
  Reason reason;
  const auto checked = CheckServiceRequest(request, *service, m_clock.UnixTime(), &reason);
  if (!checked) return Reply(reason.code, reason.text);
  if (!m_limiter.Enter(name)) {
    if (!service->idempotent) return Reply(ResultCode::kNotStarted);
    return Reply(m_limiter.closed() ? ResultCode::kNotRunStopping : ResultCode::kNotRunOverload);
  }
  HttpReply reply = Serve(*checked, *service);
  m_limiter.Leave(name);
  return reply;
}

HttpReply Entry::Serve(const ServiceRequest& request, const ServiceConfig& service) {
  if (service.work_class == WorkClass::kLong) return AcceptLong(request, service);
  return service.idempotent ? Reply(Run(request, service)) : RunClaimed(request, service);
}

HttpReply Entry::RunClaimed(const ServiceRequest& request, const ServiceConfig& service) {
  const IdempotencyKey key(request.key);
  const ClaimAnswer answer =
      m_claims.Claim({.key = key,
                      .caller = DigestOf(request.caller_token),
                      .body = DigestOf(service.name.str() + "\n" + request.body),
                      .wait = service.queue_deadline + service.run_timeout});
  const auto* owned = std::get_if<ClaimOwned>(&answer);
  if (owned == nullptr) return std::visit(ClaimAnswerToReply(), answer);
  const WorkOutcome outcome = Run(request, service);
  m_claims.Record(key, owned->id, outcome.code, outcome.body);
  return Reply(outcome);
}

WorkOutcome Entry::Run(const ServiceRequest& request, const ServiceConfig& service) {
  const auto arrived = std::chrono::steady_clock::now();
  WorkOutcome outcome = m_forwarder.Run({.service = service,
                                         .key = request.key,
                                         .queue_deadline = request.queue_deadline,
                                         .body = request.body});
  // The service is configured; a queue that doesn't know it has not yet applied that configuration.
  if (outcome.code == ResultCode::kUnknownService) outcome.code = ResultCode::kNotRunNoUpstream;
  const auto total = std::chrono::steady_clock::now() - arrived;
  m_metrics.RecordRequest({.work_class = service.work_class,
                           .code = outcome.code,
                           .waited = outcome.waited,
                           .total = std::chrono::duration_cast<std::chrono::microseconds>(total)});
  m_metrics.Add(Counter::kRetries, static_cast<std::uint64_t>(outcome.retries));
  return outcome;
}

HttpReply Entry::HandleResult(const HttpRequest& request) {
  const WorkHandle handle(request.path.substr(sizeof(kResultPrefix) - 1));
  const Digest caller = DigestOf(request.Header("Caller-Token"));
  if (request.method == "DELETE") return Reply(m_long.Cancel(handle, caller));
  if (request.method != "GET") return Reply(ResultCode::kMalformedRequest);
  const auto item = m_long.Find(handle, caller);
  if (!item) return Reply(ResultCode::kUnknownResult);
  return item->finished ? Reply(item->code, item->result) : Reply(ResultCode::kPending);
}

HttpReply Entry::AcceptLong(const ServiceRequest& request, const ServiceConfig& service) {
  const LongAnswer answer = m_long.Accept(request, service);
  HttpReply reply = Reply(answer.code);
  if (answer.handle.valid()) {
    reply.headers.push_back({"Location", kResultPrefix + answer.handle.str()});
  }
  return reply;
}

HttpReply Entry::HandleControl(const HttpRequest& request) {
  if (request.path == "/health" && m_limiter.closed()) return Reply(ResultCode::kNotRunStopping);
  UpdateGauges();
  return AnswerControl(request, {.settings = m_settings,
                                 .incarnation = m_incarnation,
                                 .follower = m_follower,
                                 .view = View(),
                                 .metrics = m_metrics,
                                 .subsystems = DumpValues()});
}

void Entry::UpdateGauges() {
  const SlotAllocatorStats slots = m_slots.AllocatorStats();
  const auto view = View();
  std::uint64_t newest = view->next_offset;
  int connected = 0;
  for (const PeerMember& member : m_peers.Members()) {
    newest = std::max(newest, member.applied);
    if (member.state == PeerState::kAlive) ++connected;
  }
  const auto is_ready = [&](const auto& item) {
    return item.second.data_centre == m_settings.data_centre &&
           item.second.state == InstanceState::kReady;
  };
  const auto ready = std::count_if(view->instances.begin(), view->instances.end(), is_ready);
  m_metrics.Set(Gauge::kQueueDepthShort, static_cast<std::int64_t>(slots.waiting_short));
  m_metrics.Set(Gauge::kQueueDepthLong, static_cast<std::int64_t>(slots.waiting_long));
  m_metrics.Set(Gauge::kRequestsInProgress, m_limiter.in_progress());
  m_metrics.Set(Gauge::kAppliedOffset, static_cast<std::int64_t>(view->next_offset));
  m_metrics.Set(Gauge::kOffsetBehind, static_cast<std::int64_t>(newest - view->next_offset));
  m_metrics.Set(Gauge::kUpstreamsReady, ready);
  m_metrics.Set(Gauge::kPeersConnected, connected);
}

std::vector<DumpValue> Entry::DumpValues() const {
  const ClaimStats claims = m_claims.Stats();
  const SlotAllocatorStats slots = m_slots.AllocatorStats();
  const auto number = [](auto value) { return static_cast<std::int64_t>(value); };
  std::vector<DumpValue> values = {{"requests", m_limiter.in_progress()},
                                   {"claim_appends", number(claims.appends)},
                                   {"claims", number(claims.claims)},
                                   {"long_open", number(m_long.OpenCount())},
                                   {"claim_keys", number(claims.keys)},
                                   {"fences", number(claims.fences)},
                                   {"withdrawals", number(claims.withdrawals)},
                                   {"slots_waiting_short", number(slots.waiting_short)},
                                   {"slots_waiting_long", number(slots.waiting_long)},
                                   {"slots_in_use", number(slots.in_use)}};
  const std::vector<DumpValue> peers = m_peers.DumpValues();
  values.insert(values.end(), peers.begin(), peers.end());
  return values;
}

}  // namespace endivewood
