/// @file
/// Thread-safe front of the slot decisions of one data centre.
#include "slot_allocator.h"

#include <algorithm>
#include <condition_variable>
#include <list>

#include "config.h"

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

namespace {

/// A request in the queue.
struct WaitingRequest {
  SlotTicket ticket;
  SlotRequest request;
  Milliseconds place{0};     ///< Arrival time; earlier requests are served first.
  Milliseconds deadline{0};  ///< Time of the refusal.
  SlotCallback done;
};

/// An answer that is delivered once the lock is released.
struct Answer {
  SlotCallback done;
  SlotResult result;
};

bool ServedBefore(const WaitingRequest& left, const WaitingRequest& right) {
  if (left.request.work_class != right.request.work_class) {
    return left.request.work_class == WorkClass::kShort;
  }
  return left.place < right.place;
}

void Deliver(const std::vector<Answer>& answers) {
  for (const Answer& answer : answers) answer.done(answer.result);
}

}  // namespace

struct SlotAllocator::Impl {
  Impl(const Clock& clock_source, SlotAllocatorOptions allocator_options)
      : clock(clock_source), options(std::move(allocator_options)) {}

  const InstanceView* FreeInstance(const SlotRequest& request) const {
    const InstanceView* best = nullptr;
    int best_free = 0;
    for (const InstanceView* instance : view->ReadyInstances(request.service)) {
      if (instance->data_centre != options.data_centre) continue;
      const auto used = in_use.find(instance->name);
      const int free = instance->slots - (used == in_use.end() ? 0 : used->second);
      if (free <= best_free) continue;
      if (std::ranges::count(request.avoid, instance->name) > 0) continue;
      best = instance;
      best_free = free;
    }
    return best;
  }

  /// Grants as many slots as possible and refuses what has passed its deadline.
  std::vector<Answer> Decide() {
    std::vector<Answer> answers;
    const Milliseconds now = clock.Now();
    for (auto item = waiting.begin(); item != waiting.end();) {
      const InstanceView* instance = FreeInstance(item->request);
      if (instance != nullptr) {
        answers.push_back({std::move(item->done), Grant(*instance)});
      } else if (now >= item->deadline) {
        ++stats.refused;
        answers.push_back({std::move(item->done),
                           Reason{ResultCode::kNotRunDeadline, "no slot within the deadline"}});
      } else {
        ++item;
        continue;
      }
      item = waiting.erase(item);
    }
    return answers;
  }

  SlotGrant Grant(const InstanceView& instance) {
    SlotGrant grant{.id = ++last_id,
                    .upstream = instance.name,
                    .endpoint = instance.endpoint,
                    .assignment = instance.assignment};
    ++in_use[instance.name];
    ++stats.granted;
    grants[grant.id] = instance.name;
    return grant;
  }

  void Enqueue(WaitingRequest item) {
    const auto before = [&](const WaitingRequest& other) { return ServedBefore(item, other); };
    waiting.insert(std::ranges::find_if(waiting, before), std::move(item));
  }

  std::size_t QueueLength(const SlotRequest& request) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(waiting, [&](const WaitingRequest& other) {
          return other.request.service == request.service &&
                 other.request.work_class == request.work_class;
        }));
  }

  const Clock& clock;
  const SlotAllocatorOptions options;
  mutable std::mutex mutex;
  std::condition_variable stop_signal;
  bool stopping = false;
  std::shared_ptr<const FleetView> view = std::make_shared<FleetView>();
  std::uint64_t last_id = 0;
  std::list<WaitingRequest> waiting;
  std::map<std::uint64_t, InstanceName> grants;
  std::map<InstanceName, int> in_use;
  SlotAllocatorStats stats;
  std::thread ticker;
};

SlotAllocator::SlotAllocator(const Clock& clock, SlotAllocatorOptions options)
    : m_impl(std::make_unique<Impl>(clock, std::move(options))) {
  m_impl->ticker = std::thread([this] {
    std::unique_lock lock(m_impl->mutex);
    while (!m_impl->stopping) {
      m_impl->stop_signal.wait_for(lock, Milliseconds(config::kDispatchTickMs));
      const std::vector<Answer> answers = m_impl->Decide();
      lock.unlock();
      Deliver(answers);
      lock.lock();
    }
  });
}

SlotAllocator::~SlotAllocator() {
  Stop();
  m_impl->ticker.join();
}

void SlotAllocator::Stop() {
  std::vector<Answer> answers;
  {
    std::lock_guard lock(m_impl->mutex);
    m_impl->stopping = true;
    for (WaitingRequest& item : m_impl->waiting) {
      answers.push_back({std::move(item.done), Reason{ResultCode::kNotRunStopping, "stopping"}});
    }
    m_impl->stats.refused += m_impl->waiting.size();
    m_impl->waiting.clear();
  }
  m_impl->stop_signal.notify_all();
  Deliver(answers);
}

void SlotAllocator::SetView(std::shared_ptr<const FleetView> view) {
  std::vector<Answer> answers;
  {
    std::lock_guard lock(m_impl->mutex);
    m_impl->view = std::move(view);
    answers = m_impl->Decide();
  }
  Deliver(answers);
}

SlotTicket SlotAllocator::Submit(const SlotRequest& request, SlotCallback done) {
  std::vector<Answer> answers;
  SlotTicket ticket;
  {
    std::lock_guard lock(m_impl->mutex);
    ticket.id = ++m_impl->last_id;
    const Milliseconds now = m_impl->clock.Now();
    std::optional<Reason> refusal;
    if (m_impl->stopping) refusal = Reason{ResultCode::kNotRunStopping, "stopping"};
    const bool full = m_impl->QueueLength(request) >= config::kQueueLimit;
    if (full && request.age == Milliseconds(0)) {
      refusal = Reason{ResultCode::kNotRunOverload, "the queue is full"};
    }
    if (m_impl->view->config.FindService(request.service) == nullptr) {
      refusal = Reason{ResultCode::kUnknownService, request.service.str()};
    }
    if (refusal) {
      ++m_impl->stats.refused;
      answers.push_back({std::move(done), *refusal});
    } else {
      m_impl->Enqueue({.ticket = ticket,
                       .request = request,
                       .place = now - request.age,
                       .deadline = now + request.queue_deadline,
                       .done = std::move(done)});
      answers = m_impl->Decide();
    }
  }
  Deliver(answers);
  return ticket;
}

bool SlotAllocator::Cancel(SlotTicket ticket) {
  std::vector<Answer> answers;
  {
    std::lock_guard lock(m_impl->mutex);
    const auto item = std::ranges::find(m_impl->waiting, ticket, &WaitingRequest::ticket);
    if (item == m_impl->waiting.end()) return false;
    answers.push_back({std::move(item->done), Reason{ResultCode::kNotRunCancelled, "cancelled"}});
    m_impl->waiting.erase(item);
    ++m_impl->stats.cancelled;
  }
  Deliver(answers);
  return true;
}

std::optional<SlotGrant> SlotAllocator::Acquire(const SlotRequest& request, Reason* reason,
                                                CancelToken* token) {
  /// Shared with the callback, which may still return when this function has returned.
  struct Rendezvous {
    std::mutex mutex;
    std::condition_variable answered;
    std::optional<SlotResult> result;
  };
  const auto rendezvous = std::make_shared<Rendezvous>();
  const SlotTicket ticket = Submit(request, [rendezvous](const SlotResult& result) {
    std::lock_guard lock(rendezvous->mutex);
    rendezvous->result = result;
    rendezvous->answered.notify_all();
  });
  const bool attached = token == nullptr || token->Attach([this, ticket] { Cancel(ticket); });
  if (!attached) Cancel(ticket);
  std::unique_lock lock(rendezvous->mutex);
  rendezvous->answered.wait(lock, [&] { return rendezvous->result.has_value(); });
  lock.unlock();
  if (token != nullptr) token->Detach();
  if (const auto* grant = std::get_if<SlotGrant>(&*rendezvous->result)) return *grant;
  if (reason != nullptr) *reason = std::get<Reason>(*rendezvous->result);
  return std::nullopt;
}

void SlotAllocator::Release(const SlotGrant& grant, SlotOutcome, Milliseconds) {
  std::vector<Answer> answers;
  {
    std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->grants.find(grant.id);
    if (found == m_impl->grants.end()) return;
    --m_impl->in_use[found->second];
    m_impl->grants.erase(found);
    answers = m_impl->Decide();
  }
  Deliver(answers);
}

SlotAllocatorStats SlotAllocator::Stats() const {
  std::lock_guard lock(m_impl->mutex);
  SlotAllocatorStats stats = m_impl->stats;
  for (const WaitingRequest& item : m_impl->waiting) {
    const bool is_short = item.request.work_class == WorkClass::kShort;
    ++(is_short ? stats.waiting_short : stats.waiting_long);
  }
  stats.in_use = m_impl->grants.size();
  return stats;
}

}  // namespace endivewood
