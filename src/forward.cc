/// @file
/// Runs one request on an upstream.
#include "forward.h"

#include "config.h"

namespace endivewood {

/// The results of the calls made for one request; decides whether it may be called again.
class Forwarder::AttemptHistory {
 public:
  explicit AttemptHistory(bool idempotent) : m_idempotent(idempotent) {}

  /// @returns whether the request may be called again.
  bool MayCallAgain(const CallResult& result, const InstanceName& upstream) {
    if (result.effect == UpstreamEffect::kNotRun) {
      return ++m_refused < config::kMaxRefusedCalls;
    }
    m_may_have_run = true;
    m_timed_out = result.slot == SlotOutcome::kTimeout;
    m_failed_on.push_back(upstream);
    return m_idempotent && ++m_failed < config::kMaxFailedCalls;
  }

  /// @returns the code for a request that ends without an answer.
  ResultCode FinalCode(ResultCode not_run) const {
    if (!m_may_have_run) return not_run;
    if (!m_idempotent) return ResultCode::kUnknownEffect;
    return m_timed_out ? ResultCode::kUpstreamTimeout : ResultCode::kUpstreamFailed;
  }

  const std::vector<InstanceName>& failed_on() const { return m_failed_on; }

 private:
  bool m_idempotent;
  bool m_may_have_run = false;
  bool m_timed_out = false;
  int m_refused = 0;
  int m_failed = 0;
  std::vector<InstanceName> m_failed_on;
};

Forwarder::Forwarder(SlotRouter* slots, UpstreamClient* client, const Clock* clock)
    : m_slots(slots), m_client(client), m_clock(clock) {}

WorkOutcome Forwarder::Run(const WorkRequest& work) {
  const Milliseconds started = m_clock->Now();
  AttemptHistory history(work.service.idempotent);
  WorkOutcome outcome;
  {
    std::lock_guard lock(m_mutex);
    m_budgets[work.service.name].OnRequest();
  }
  while (true) {
    const auto grant = AcquireSlot(work, started, history, &outcome);
    if (!grant) return outcome;
    const CallResult result = CallUpstream(work, *grant, &outcome.body);
    outcome.code = ResultCode::kOk;
    if (result.effect == UpstreamEffect::kDone) return outcome;
    const bool may_call_again = history.MayCallAgain(result, grant->upstream);
    outcome.code = history.FinalCode(ResultCode::kNotRunOverload);
    const bool failed = result.effect == UpstreamEffect::kMayHaveRun;
    if (!may_call_again || (failed && !SpendRetry(work.service.name))) return outcome;
    ++outcome.retries;
  }
}

std::optional<SlotGrant> Forwarder::AcquireSlot(const WorkRequest& work, Milliseconds started,
                                                const AttemptHistory& history,
                                                WorkOutcome* outcome) {
  const Milliseconds age = m_clock->Now() - started;
  if (age >= work.queue_deadline) {
    outcome->code = history.FinalCode(ResultCode::kNotRunDeadline);
    return std::nullopt;
  }
  Reason reason;
  const auto wait_started = std::chrono::steady_clock::now();
  auto grant = m_slots->Acquire({.service = work.service.name,
                                 .work_class = work.service.work_class,
                                 .queue_deadline = work.queue_deadline - age,
                                 .avoid = history.failed_on(),
                                 .age = age,
                                 .trial_allowed = work.service.idempotent},
                                &reason);
  outcome->waited += std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - wait_started);
  if (!grant) outcome->code = history.FinalCode(reason.code);
  return grant;
}

CallResult Forwarder::CallUpstream(const WorkRequest& work, const SlotGrant& grant,
                                   std::string* answer) {
  // Each call has its own id, so that a late answer to an earlier call is not accepted.
  const std::string request_id = RandomHex128();
  HttpRequest request{.method = "POST",
                      .path = "/work",
                      .query = "",
                      .headers = {{"Request-Id", request_id},
                                  {"Service", work.service.name.str()},
                                  {"Assignment", std::to_string(grant.assignment)}},
                      .body = work.body};
  if (!work.key.empty()) request.headers.push_back({"Idempotency-Key", work.key});
  const Milliseconds started = m_clock->Now();
  const Milliseconds timeout = work.service.run_timeout;
  HttpOutcome outcome = work.service.idempotent
                            ? m_client->CallRepeatable(grant.endpoint, request, timeout)
                            : m_client->CallOnce(grant.endpoint, request, timeout);
  const CallResult result = ClassifyOutcome(outcome, request_id);
  m_slots->Release(grant, result.slot, m_clock->Now() - started);
  if (result.effect == UpstreamEffect::kDone) *answer = std::move(outcome.reply->body);
  return result;
}

bool Forwarder::SpendRetry(const ServiceName& service) {
  std::lock_guard lock(m_mutex);
  return m_budgets[service].TryRetry();
}

}  // namespace endivewood
