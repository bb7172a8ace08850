/// @file
/// Thread-safe wrapper around the Dispatcher of one data centre.
#include "slot_allocator.h"

#include <condition_variable>

#include "config.h"
#include "dispatch.h"

namespace endivewood {

void CancelToken::Cancel() {
  std::function<void()> action;
  {
    std::lock_guard lock(m_mutex);
    m_cancelled = true;
    action = std::move(m_action);
    m_action = nullptr;
  }
  if (action) action();
}

bool CancelToken::Attach(std::function<void()> action) {
  std::lock_guard lock(m_mutex);
  if (m_cancelled) return false;
  m_action = std::move(action);
  return true;
}

void CancelToken::Detach() {
  std::lock_guard lock(m_mutex);
  m_action = nullptr;
}

struct SlotAllocator::Impl {
  /// A callback and its result; it is called after the lock is released.
  struct Answer {
    SlotCallback done;
    SlotResult result;
  };

  /// Calls to make after the lock is released.
  struct Outbox {
    std::vector<Answer> answers;
    std::vector<SlotGrant> checkpoints;
    std::vector<ProbeUpstream> probes;
  };

  Impl(const Clock& clock_source, SlotAllocatorOptions allocator_options)
      : clock(clock_source),
        options(std::move(allocator_options)),
        dispatcher({.data_centre = options.data_centre}) {}

  /// Passes an event to the dispatcher and performs its actions.
  /// @attention the caller must not hold the mutex.
  void Handle(const DispatchEvent& event) {
    Outbox outbox;
    {
      std::lock_guard lock(mutex);
      Collect(event, &outbox);
    }
    Deliver(outbox);
  }

  void Collect(const DispatchEvent& event, Outbox* outbox) {
    for (DispatchAction& action : dispatcher.Handle(event, clock.Now())) {
      std::visit([&](auto& typed) { AddAction(&typed, outbox); }, action);
    }
  }

  void AddAction(GrantSlot* action, Outbox* outbox) {
    ++stats.granted;
    outbox->answers.push_back({TakeCallback(action->ticket), std::move(action->grant)});
  }

  void AddAction(RefuseRequest* action, Outbox* outbox) {
    const bool cancelled = action->reason.code == ResultCode::kNotRunCancelled;
    ++(cancelled ? stats.cancelled : stats.refused);
    outbox->answers.push_back({TakeCallback(action->ticket), std::move(action->reason)});
  }

  void AddAction(CheckpointTask* action, Outbox* outbox) {
    ++stats.checkpoints;
    outbox->checkpoints.push_back(std::move(action->grant));
  }

  static void AddAction(ProbeUpstream* action, Outbox* outbox) {
    outbox->probes.push_back(std::move(*action));
  }

  SlotCallback TakeCallback(SlotTicket ticket) {
    const auto found = callbacks.find(ticket);
    SlotCallback done = std::move(found->second);
    callbacks.erase(found);
    return done;
  }

  void Deliver(const Outbox& outbox) {
    for (const Answer& answer : outbox.answers) answer.done(answer.result);
    for (const SlotGrant& grant : outbox.checkpoints) {
      if (options.on_checkpoint) options.on_checkpoint(grant);
    }
    for (const ProbeUpstream& probe : outbox.probes) {
      if (options.on_probe) {
        options.on_probe(probe.instance, probe.endpoint);
      } else {
        Handle(ProbeAnswered{.instance = probe.instance, .healthy = true});
      }
    }
  }

  void TickUntilStopped() {
    std::unique_lock lock(mutex);
    while (!stopping) {
      // Without waiting requests there are no deadlines to check.
      const std::int64_t tick_ms =
          callbacks.empty() ? config::kDispatchIdleTickMs : config::kDispatchTickMs;
      tick_signal.wait_for(lock, Milliseconds(tick_ms));
      Outbox outbox;
      Collect(ClockTicked{}, &outbox);
      lock.unlock();
      Deliver(outbox);
      lock.lock();
    }
  }

  const Clock& clock;
  const SlotAllocatorOptions options;
  mutable std::mutex mutex;
  std::condition_variable tick_signal;
  bool stopping = false;
  Dispatcher dispatcher;
  std::uint64_t last_ticket = 0;
  std::map<SlotTicket, SlotCallback> callbacks;
  SlotAllocatorStats stats;
  std::thread ticker;
};

SlotAllocator::SlotAllocator(const Clock& clock, SlotAllocatorOptions options)
    : m_impl(std::make_unique<Impl>(clock, std::move(options))) {
  m_impl->ticker = std::thread([impl = m_impl.get()] { impl->TickUntilStopped(); });
}

SlotAllocator::~SlotAllocator() {
  Stop();
  m_impl->ticker.join();
}

void SlotAllocator::Stop() {
  {
    std::lock_guard lock(m_impl->mutex);
    m_impl->stopping = true;
  }
  m_impl->tick_signal.notify_all();
  m_impl->Handle(DispatchStopped{});
}

void SlotAllocator::SetView(std::shared_ptr<const FleetView> view) {
  m_impl->Handle(ViewChanged{.view = std::move(view)});
}

SlotTicket SlotAllocator::Submit(const SlotRequest& request, SlotCallback done) {
  Impl::Outbox outbox;
  SlotTicket ticket;
  {
    std::lock_guard lock(m_impl->mutex);
    ticket.id = ++m_impl->last_ticket;
    m_impl->callbacks[ticket] = std::move(done);
    m_impl->Collect(RequestArrived{.ticket = ticket, .request = request}, &outbox);
    if (m_impl->callbacks.contains(ticket)) m_impl->tick_signal.notify_all();
  }
  m_impl->Deliver(outbox);
  return ticket;
}

bool SlotAllocator::Cancel(SlotTicket ticket) {
  Impl::Outbox outbox;
  {
    std::lock_guard lock(m_impl->mutex);
    if (!m_impl->callbacks.contains(ticket)) return false;
    m_impl->Collect(RequestCancelled{.ticket = ticket}, &outbox);
  }
  m_impl->Deliver(outbox);
  return true;
}

std::optional<SlotGrant> SlotAllocator::Acquire(const SlotRequest& request, Reason* reason,
                                                CancelToken* token) {
  /// Shared with the callback, which may still be running when this function returns.
  struct Waiter {
    std::mutex mutex;
    std::condition_variable answered;
    std::optional<SlotResult> result;
  };
  const auto waiter = std::make_shared<Waiter>();
  const SlotTicket ticket = Submit(request, [waiter](const SlotResult& result) {
    std::lock_guard lock(waiter->mutex);
    waiter->result = result;
    waiter->answered.notify_all();
  });
  const bool attached = token == nullptr || token->Attach([this, ticket] { Cancel(ticket); });
  if (!attached) Cancel(ticket);
  std::unique_lock lock(waiter->mutex);
  waiter->answered.wait(lock, [&] { return waiter->result.has_value(); });
  lock.unlock();
  if (token != nullptr) token->Detach();
  if (const auto* grant = std::get_if<SlotGrant>(&*waiter->result)) return *grant;
  if (reason != nullptr) *reason = std::get<Reason>(*waiter->result);
  return std::nullopt;
}

void SlotAllocator::Release(const SlotGrant& grant, SlotOutcome outcome, Milliseconds run_time) {
  m_impl->Handle(RequestEnded{.grant = grant.id, .outcome = outcome, .run_time = run_time});
}

void SlotAllocator::AnswerProbe(const InstanceName& instance, bool healthy) {
  m_impl->Handle(ProbeAnswered{.instance = instance, .healthy = healthy});
}

SlotAllocatorStats SlotAllocator::Stats() const {
  std::lock_guard lock(m_impl->mutex);
  const DispatchStats dispatch = m_impl->dispatcher.Stats();
  SlotAllocatorStats stats = m_impl->stats;
  stats.waiting_short = dispatch.waiting_short;
  stats.waiting_long = dispatch.waiting_long;
  stats.in_use = dispatch.running_short + dispatch.running_long;
  stats.ejected = dispatch.ejected;
  return stats;
}

}  // namespace endivewood
