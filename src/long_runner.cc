/// @file
/// Accepts, runs and takes over long work.
#include "long_runner.h"

#include <algorithm>
#include <future>

#include "config.h"

namespace endivewood {
namespace {

constexpr char kStream[] = "work";
constexpr Milliseconds kPollInterval{100};
/// Wait of a runner that has no work. With kPollInterval, ten wake-ups a second of each of 64
/// runners would use up the CPU budget for control.
constexpr Milliseconds kIdlePollInterval{1000};
constexpr Milliseconds kTaskTimeout{2000};
constexpr Milliseconds kQueueWait{10000};
/// Consecutive polls that must not find a task running before it counts as lost.
constexpr int kMaxTaskMisses = 3;

HttpOutcome CallTask(const AttemptStarted& attempt, const std::string& method,
                     const std::string& suffix = "") {
  return HttpCall(attempt.endpoint,
                  {.method = method,
                   .path = "/tasks/" + attempt.task.str() + suffix,
                   .query = "",
                   .headers = {},
                   .body = ""},
                  kTaskTimeout);
}

}  // namespace

LongRunner::LongRunner(LongRunnerOptions options)
    : m_options(std::move(options)),
      m_incarnation(RandomHex128()),
      m_follow_thread([this] { FollowLoop(); }),
      m_housekeeping_thread([this] { HousekeepingLoop(); }) {
  for (int number = 0; number < m_options.runners; ++number) {
    m_runners.emplace_back([this] { RunnerLoop(); });
  }
}

void LongRunner::Stop() {
  if (m_stopping.exchange(true)) return;
  m_changed.notify_all();
  m_housekeeping_thread.join();
  Reason reason;
  if (OpenCount() > 0) Append(IncarnationFenced{.incarnation = m_incarnation}, &reason);
  m_follow_thread.join();
  for (std::thread& runner : m_runners) runner.detach();
}

std::size_t LongRunner::OpenCount() const {
  Lock lock(m_mutex);
  return m_fold.OpenCount();
}

LongAnswer LongRunner::Accept(const ServiceRequest& request, const ServiceConfig& service) {
  const WorkAccepted accepted{.handle = WorkHandle(RandomHex128()),
                              .service = service.name,
                              .caller = DigestOf(request.caller_token),
                              .digest = DigestOf(service.name.str() + "\n" + request.body),
                              .key = IdempotencyKey(service.idempotent ? "" : request.key),
                              .body = request.body};
  Lock lock(m_mutex);
  const auto existing_answer = [&]() -> std::optional<LongAnswer> {
    const WorkItem* item = m_fold.Find(accepted.handle);
    if (item == nullptr && accepted.key.valid()) item = m_fold.FindKey(accepted.key);
    if (item == nullptr) return std::nullopt;
    const bool same =
        item->accepted.caller == accepted.caller && item->accepted.digest == accepted.digest;
    if (!same) return LongAnswer{.code = ResultCode::kKeyReused, .handle = {}};
    return LongAnswer{.code = ResultCode::kAccepted, .handle = item->accepted.handle};
  };
  if (const auto answer = existing_answer()) return *answer;
  if (m_fold.OpenCount() >= config::kMaxUnfinishedLongWork)
    return {.code = ResultCode::kNotStarted};
  lock.unlock();
  Reason reason;
  const bool appended = Append(accepted, &reason);
  if (!appended && reason.code == ResultCode::kPlatformUnreachable) {
    return {.code = ResultCode::kNotStartedPlatform, .handle = {}};
  }
  lock.lock();
  WaitFor(&lock, [&] { return existing_answer().has_value(); });
  // The record may still appear in the stream, so neither "accepted" nor "not started" is certain.
  return existing_answer().value_or(LongAnswer{.code = ResultCode::kAppendUncertain, .handle = {}});
}

std::optional<WorkItem> LongRunner::Find(const WorkHandle& handle, const Digest& caller) const {
  Lock lock(m_mutex);
  const WorkItem* item = m_fold.Find(handle);
  if (item == nullptr || item->accepted.caller != caller) return std::nullopt;
  return *item;
}

ResultCode LongRunner::Cancel(const WorkHandle& handle, const Digest& caller) {
  const auto item = Find(handle, caller);
  if (!item) return ResultCode::kUnknownResult;
  if (item->finished) return item->code;
  Reason reason;
  const bool appended = Append(CancelRequested{.handle = handle}, &reason);
  return appended ? ResultCode::kPending : reason.code;
}

void LongRunner::RequestCheckpoint(const SlotGrant& grant) {
  Lock lock(m_mutex);
  const auto found = m_attempts_by_grant.find(grant.id);
  if (found == m_attempts_by_grant.end() || m_stopping) return;
  const AttemptStarted attempt = found->second;
  std::thread([attempt] { CallTask(attempt, "POST", "/checkpoint"); }).detach();
}

bool LongRunner::Append(const WorkEvent& event, Reason* reason) {
  Incarnation self;
  {
    Lock lock(m_mutex);
    self = m_incarnation;
    m_last_append = m_options.clock->Now();
  }
  const std::string payload = EncodeWorkRecord({.author = self, .event = event});
  return m_options.client.Append(kStream, payload, reason).has_value();
}

bool LongRunner::WaitFor(Lock* lock, const std::function<bool()>& condition) {
  const Milliseconds end = m_options.clock->Now() + Milliseconds(config::kClaimTimeoutMs);
  while (!condition() && !m_stopping && m_options.clock->Now() < end) {
    m_changed.wait_for(*lock, kPollInterval);
  }
  return condition();
}

void LongRunner::AppendUntil(const WorkEvent& event, const std::function<bool()>& settled) {
  while (!m_stopping) {
    Reason reason;
    const bool appended = Append(event, &reason);
    Lock lock(m_mutex);
    if (WaitFor(&lock, settled)) return;
    if (!appended) m_changed.wait_for(lock, Milliseconds(config::kFollowRetryMs));
  }
}

void LongRunner::FollowLoop() {
  Lock lock(m_mutex);
  while (!m_stopping) {
    const std::uint64_t from = m_next;
    lock.unlock();
    Reason reason;
    const auto batch = m_options.client.Read(kStream, from, config::kFollowBatch,
                                             Milliseconds(config::kFollowWaitMs), &reason);
    lock.lock();
    if (!batch) {
      m_followed_since = Milliseconds::max();
      if (reason.code == ResultCode::kOffsetExpired) {
        // Nothing is lost: open work is renewed before its records expire. The gap may contain a
        // fence of this incarnation, so take a new one.
        m_next = std::strtoull(reason.text.c_str(), nullptr, 10);
        m_incarnation = Incarnation(RandomHex128());
      }
      m_changed.wait_for(lock, Milliseconds(config::kFollowRetryMs));
      continue;
    }
    for (const LogRecord& record : batch->records) m_fold.Apply(record.time_ms, record.payload);
    m_next = batch->next_offset;
    if (batch->records.empty()) continue;
    const bool resumed = m_followed_since == Milliseconds::max();
    if (resumed) m_followed_since = Milliseconds(batch->records.back().time_ms);
    if (m_fold.IsFenced(m_incarnation)) m_incarnation = Incarnation(RandomHex128());
    m_changed.notify_all();
  }
}

void LongRunner::HousekeepingLoop() {
  while (!m_stopping) {
    DoHousekeeping();
    Lock lock(m_mutex);
    m_changed.wait_for(lock, Milliseconds(config::kAdoptPollMs));
  }
}

void LongRunner::DoHousekeeping() {
  CancelRunning();
  for (const WorkEvent& event : DueEvents()) {
    Reason reason;
    if (m_stopping || !Append(event, &reason)) return;
  }
}

std::vector<WorkEvent> LongRunner::DueEvents() {
  std::vector<WorkEvent> events;
  Lock lock(m_mutex);
  const Milliseconds since = m_options.clock->Now() - m_last_append;
  const bool heartbeat_due = since >= Milliseconds(config::kAuthorHeartbeatMs);
  if (m_fold.OpenCount() == 0 || !heartbeat_due) return events;
  events.emplace_back(std::monostate{});
  std::set<Incarnation> silent;
  for (const auto& [handle, item] : m_fold.items()) {
    if (item.finished || events.size() > config::kMaxClaimBatch) continue;
    const Milliseconds last = std::max(m_fold.LastHeartbeat(item.owner), m_followed_since);
    const bool owner_silent = m_fold.LogTime() - last > Milliseconds(config::kFenceAfterMs);
    const bool renew_due = item.recorded + Milliseconds(config::kLongRenewMs) < m_fold.LogTime();
    if (!item.owner.valid()) {
      events.emplace_back(WorkTakenOver{.handle = handle});
    } else if (item.owner != m_incarnation && owner_silent) {
      silent.insert(item.owner);
    } else if (item.owner == m_incarnation && renew_due) {
      events.emplace_back(ItemRenewed{.item = item});
    }
  }
  for (const Incarnation& author : silent) {
    events.emplace_back(IncarnationFenced{.incarnation = author});
  }
  return events;
}

void LongRunner::CancelRunning() {
  Lock lock(m_mutex);
  for (const auto& [grant, attempt] : m_attempts_by_grant) {
    const WorkItem* item = m_fold.Find(attempt.handle);
    if (item == nullptr || !item->cancel_requested) continue;
    if (!m_cancelled.insert(attempt.task).second) continue;
    std::thread([attempt = attempt] { CallTask(attempt, "DELETE"); }).detach();
  }
}

void LongRunner::RunnerLoop() {
  while (!m_stopping) {
    const auto item = PickItem();
    if (!item) continue;
    RunItem(*item);
    Lock lock(m_mutex);
    m_running.erase(item->accepted.handle);
    const WorkItem* current = m_fold.Find(item->accepted.handle);
    if (current == nullptr || current->finished) m_tried_upstreams.erase(item->accepted.handle);
  }
}

std::optional<WorkItem> LongRunner::PickItem() {
  Lock lock(m_mutex);
  const Milliseconds now = m_options.clock->Now();
  const WorkItem* chosen = nullptr;
  // New records notify the runners; polling is only needed for delayed items.
  Milliseconds wait = kIdlePollInterval;
  for (const auto& [handle, item] : m_fold.items()) {
    if (item.finished || item.owner != m_incarnation || m_running.contains(handle)) continue;
    wait = kPollInterval;
    if (IsServiceFull(item.accepted.service)) continue;
    const auto delayed = m_retry_at.find(handle);
    if (delayed != m_retry_at.end() && delayed->second > now) continue;
    if (chosen == nullptr || item.recorded < chosen->recorded) chosen = &item;
  }
  if (chosen == nullptr) {
    m_changed.wait_for(lock, wait);
    return std::nullopt;
  }
  m_retry_at.erase(chosen->accepted.handle);
  m_running[chosen->accepted.handle] = chosen->accepted.service;
  return *chosen;
}

bool LongRunner::IsServiceFull(const ServiceName& service) const {
  const auto same = [&](const auto& running) { return running.second == service; };
  const auto count = std::count_if(m_running.begin(), m_running.end(), same);
  return count >= config::kLongRunnersPerService;
}

void LongRunner::RetryLater(const WorkHandle& handle) {
  Lock lock(m_mutex);
  m_tried_upstreams.erase(handle);
  m_retry_at[handle] = m_options.clock->Now() + Milliseconds(config::kLongRetryMs);
}

bool LongRunner::IsCancelRequested(const WorkHandle& handle) const {
  Lock lock(m_mutex);
  const WorkItem* item = m_fold.Find(handle);
  return item != nullptr && item->cancel_requested;
}

bool LongRunner::IsOwn(const WorkHandle& handle) const {
  const WorkItem* item = m_fold.Find(handle);
  return item != nullptr && !item->finished && item->owner == m_incarnation;
}

void LongRunner::RunItem(const WorkItem& item) {
  const WorkHandle& handle = item.accepted.handle;
  const auto view = m_options.view();
  const ServiceConfig* service = view->config.FindService(item.accepted.service);
  if (service == nullptr) return RetryLater(handle);
  if (item.attempt.task.valid()) {
    Lock lock(m_mutex);
    const bool unsent = m_unsent.contains(item.attempt.task);
    lock.unlock();
    if (unsent) return EndAttempt(item.attempt, AttemptEnd::kNotRun, 0);
    return Adopt(item, item.attempt, *service);
  }
  if (item.cancel_requested) {
    const bool ran = item.progress_ms > 0 || !item.failed_on.empty();
    return Finish(handle, ran ? ResultCode::kUnknownEffect : ResultCode::kNotRunCancelled, "");
  }
  if (item.failed_on.size() >= config::kNotRunnableFailures) {
    std::string text = "failed on";
    for (const InstanceName& name : item.failed_on) text += " " + name.str();
    return Finish(handle, ResultCode::kNotRunnable, text);
  }
  RunAttempt(item, *service);
}

std::optional<SlotGrant> LongRunner::AcquireSlot(const WorkItem& item,
                                                 const ServiceConfig& service) {
  std::vector<InstanceName> avoid = item.failed_on;
  {
    Lock lock(m_mutex);
    const std::vector<InstanceName>& tried = m_tried_upstreams[item.accepted.handle];
    avoid.insert(avoid.end(), tried.begin(), tried.end());
  }
  Reason reason;
  return m_options.slots->Acquire({.service = service.name,
                                   .work_class = WorkClass::kLong,
                                   .queue_deadline = kQueueWait,
                                   .avoid = std::move(avoid),
                                   .trial_allowed = service.idempotent},
                                  &reason);
}

void LongRunner::RunAttempt(const WorkItem& item, const ServiceConfig& service) {
  const auto grant = AcquireSlot(item, service);
  if (!grant) return RetryLater(item.accepted.handle);
  const AttemptStarted attempt{.handle = item.accepted.handle,
                               .task = TaskId(RandomHex128()),
                               .upstream = grant->upstream,
                               .endpoint = grant->endpoint};
  if (!RecordAttempt(attempt)) {
    m_options.slots->Release(*grant, SlotOutcome::kCancelled, Milliseconds(0));
    return RetryLater(item.accepted.handle);
  }
  CallUpstream(item, service, *grant, attempt);
}

bool LongRunner::RecordAttempt(const AttemptStarted& attempt) {
  Reason reason;
  Append(attempt, &reason);
  Lock lock(m_mutex);
  const bool recorded = WaitFor(&lock, [&] {
    const WorkItem* item = m_fold.Find(attempt.handle);
    return item != nullptr && item->attempt.task == attempt.task;
  });
  const bool may_send = recorded && !m_stopping && IsOwn(attempt.handle);
  if (!may_send) m_unsent.insert(attempt.task);
  return may_send;
}

void LongRunner::CallUpstream(const WorkItem& item, const ServiceConfig& service,
                              const SlotGrant& grant, const AttemptStarted& attempt) {
  {
    Lock lock(m_mutex);
    m_attempts_by_grant[grant.id] = attempt;
  }
  HttpRequest request{.method = "POST",
                      .path = "/work",
                      .query = "",
                      .headers = {{"Request-Id", attempt.task.str()},
                                  {"Service", service.name.str()},
                                  {"Assignment", std::to_string(grant.assignment)},
                                  {"Resume-From", std::to_string(item.progress_ms)}},
                      .body = item.accepted.body};
  if (item.accepted.key.valid()) {
    request.headers.push_back({"Idempotency-Key", item.accepted.key.str()});
  }
  const Milliseconds started = m_options.clock->Now();
  const HttpOutcome outcome = CallWithProbes(attempt, request, service.run_timeout);
  CallResult result = ClassifyOutcome(outcome, attempt.task.str());
  const bool checkpointed = result.effect == UpstreamEffect::kDone &&
                            outcome.reply->Header("Task-State") == "checkpointed";
  if (checkpointed) result.slot = SlotOutcome::kCheckpointed;
  m_options.slots->Release(grant, result.slot, m_options.clock->Now() - started);
  {
    Lock lock(m_mutex);
    m_attempts_by_grant.erase(grant.id);
    m_cancelled.erase(attempt.task);
  }
  if (result.effect == UpstreamEffect::kNotRun) {
    EndAttempt(attempt, AttemptEnd::kNotRun, 0);
    return HandleNotRun(attempt.handle, grant, result.slot);
  }
  if (result.effect == UpstreamEffect::kDone && RecordTaskOutcome(attempt, *outcome.reply)) return;
  Adopt(item, attempt, service);
}

HttpOutcome LongRunner::CallWithProbes(const AttemptStarted& attempt, const HttpRequest& request,
                                       Milliseconds timeout) const {
  UpstreamClient* upstreams = m_options.upstreams;
  std::packaged_task<HttpOutcome()> call([upstreams, attempt, request, timeout] {
    return upstreams->CallOnce(attempt.endpoint, request, timeout);
  });
  std::future<HttpOutcome> answer = call.get_future();
  std::thread(std::move(call)).detach();
  // The connection is considered silent when the upstream, queried over new connections, reports
  // that the task is unknown or has finished.
  for (int misses = 0; misses < kMaxTaskMisses;) {
    const auto status = answer.wait_for(Milliseconds(config::kLongProbeMs));
    if (status == std::future_status::ready) return answer.get();
    const HttpOutcome poll = CallTask(attempt, "GET");
    const bool runs = poll.reply && poll.reply->Header("Task-State") == "running";
    misses = runs ? 0 : misses + 1;
  }
  return {.reply = std::nullopt, .failure = CallFailure::kTimeout, .detail = "silent connection"};
}

void LongRunner::HandleNotRun(const WorkHandle& handle, const SlotGrant& grant, SlotOutcome slot) {
  if (slot == SlotOutcome::kRefusedBusy) return RetryLater(handle);
  // Another upstream is tried at once, but the same one only after a delay, because each attempt
  // costs two appends.
  Lock lock(m_mutex);
  m_tried_upstreams[handle].push_back(grant.upstream);
}

void LongRunner::Adopt(const WorkItem& item, const AttemptStarted& attempt,
                       const ServiceConfig& service) {
  const Milliseconds end = m_options.clock->Now() + service.run_timeout;
  bool cancelled = false;
  for (int misses = 0; misses < kMaxTaskMisses && m_options.clock->Now() < end && !m_stopping;) {
    if (IsCancelRequested(attempt.handle) && !cancelled) {
      CallTask(attempt, "DELETE");
      cancelled = true;
    }
    const HttpOutcome outcome = CallTask(attempt, "GET");
    const bool found = outcome.reply &&
                       ClassifyOutcome(outcome, attempt.task.str()).effect == UpstreamEffect::kDone;
    if (found && RecordTaskOutcome(attempt, *outcome.reply)) return;
    misses = found ? 0 : misses + 1;
    std::this_thread::sleep_for(Milliseconds(config::kAdoptPollMs));
  }
  if (m_stopping) return;
  if (service.idempotent) return EndAttempt(attempt, AttemptEnd::kFailed, 0);
  Finish(item.accepted.handle, ResultCode::kUnknownEffect, "");
}

bool LongRunner::RecordTaskOutcome(const AttemptStarted& attempt, const HttpReply& reply) {
  const std::string state = reply.Header("Task-State");
  if (state == "running") return false;
  if (state == "checkpointed") {
    EndAttempt(attempt, AttemptEnd::kCheckpointed, std::atoll(reply.Header("Progress").c_str()));
  } else if (state == "cancelled") {
    Finish(attempt.handle, ResultCode::kUnknownEffect, "cancelled while it ran");
  } else {
    Finish(attempt.handle, ResultCode::kOk, reply.body);
  }
  return true;
}

void LongRunner::EndAttempt(const AttemptStarted& attempt, AttemptEnd end,
                            std::int64_t progress_ms) {
  const AttemptEnded ended{
      .handle = attempt.handle, .task = attempt.task, .end = end, .progress_ms = progress_ms};
  AppendUntil(ended, [&] {
    const WorkItem* item = m_fold.Find(attempt.handle);
    return !IsOwn(attempt.handle) || item->attempt.task != attempt.task;
  });
}

void LongRunner::Finish(const WorkHandle& handle, ResultCode code, const std::string& body) {
  AppendUntil(WorkFinished{.handle = handle, .code = code, .body = body}, [&] {
    const WorkItem* item = m_fold.Find(handle);
    return item == nullptr || item->finished;
  });
}

}  // namespace endivewood
