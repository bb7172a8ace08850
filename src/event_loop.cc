/// @file
/// Timers and signals on libevent.
#include "event_loop.h"

#include <event2/event.h>

#include <stdexcept>

#include "guarded.h"

namespace endivewood {

struct EventLoop::Timer {
  EventLoop* loop = nullptr;
  TimerId id = 0;
  std::function<void()> callback;
  event* handle = nullptr;

  ~Timer() {
    if (handle != nullptr) event_free(handle);
  }
};

struct EventLoop::Signal {
  std::function<void()> callback;
  event* handle = nullptr;

  ~Signal() {
    if (handle != nullptr) event_free(handle);
  }
};

EventLoop::EventLoop() : m_base(event_base_new()) {
  if (m_base == nullptr) throw std::runtime_error("the event loop can't be created");
}

EventLoop::~EventLoop() {
  m_timers.clear();
  m_signals.clear();
  event_base_free(m_base);
}

void EventLoop::Fire(int, short, void* timer) {
  auto* const fired = static_cast<Timer*>(timer);
  EventLoop* const loop = fired->loop;
  const auto found = loop->m_timers.find(fired->id);
  // Keeps the timer alive while its callback runs.
  const std::unique_ptr<Timer> owned_timer = std::move(found->second);
  loop->m_timers.erase(found);
  RunGuarded("timer", owned_timer->callback);
}

EventLoop::TimerId EventLoop::After(Milliseconds delay, std::function<void()> callback) {
  auto timer = std::make_unique<Timer>();
  timer->loop = this;
  timer->id = m_next_id++;
  timer->callback = std::move(callback);
  timer->handle = evtimer_new(m_base, &EventLoop::Fire, timer.get());
  const std::int64_t wait = std::max<std::int64_t>(0, delay.count());
  const timeval interval{.tv_sec = wait / 1000, .tv_usec = (wait % 1000) * 1000};
  evtimer_add(timer->handle, &interval);
  const TimerId id = timer->id;
  m_timers.emplace(id, std::move(timer));
  return id;
}

void EventLoop::Cancel(TimerId id) { m_timers.erase(id); }

void EventLoop::Deliver(int, short, void* signal) {
  RunGuarded("signal", static_cast<Signal*>(signal)->callback);
}

void EventLoop::OnSignal(int number, std::function<void()> callback) {
  auto signal = std::make_unique<Signal>();
  signal->callback = std::move(callback);
  signal->handle = evsignal_new(m_base, number, &EventLoop::Deliver, signal.get());
  evsignal_add(signal->handle, nullptr);
  m_signals.push_back(std::move(signal));
}

void EventLoop::Run() { event_base_dispatch(m_base); }

void EventLoop::Stop() { event_base_loopbreak(m_base); }

}  // namespace endivewood
