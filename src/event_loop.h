/// @file
/// Single-threaded event loop with timers and signals, on libevent.
#pragma once

#include <endivewood/endivewood.h>

#include <functional>
#include <map>
#include <memory>

struct event_base;
struct event;

namespace endivewood {

/// An exception of a callback is logged and doesn't end the loop.
/// Not thread-safe: a loop and everything that runs on it belong to one thread.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Identifies a timer; 0 is never used.
  using TimerId = std::uint64_t;

  /// Calls `callback` once after `delay`.
  TimerId After(Milliseconds delay, std::function<void()> callback);

  /// Cancels a timer. Does nothing when it has already fired.
  void Cancel(TimerId id);

  /// Calls `callback` on the loop each time the process receives the signal.
  void OnSignal(int number, std::function<void()> callback);

  /// Runs the loop until Stop is called.
  void Run();
  void Stop();

  event_base* base() const { return m_base; }

 private:
  struct Timer;
  static void Fire(int fd, short what, void* timer);
  struct Signal;
  static void Deliver(int fd, short what, void* signal);

  event_base* m_base;
  TimerId m_next_id = 1;
  std::map<TimerId, std::unique_ptr<Timer>> m_timers;
  std::vector<std::unique_ptr<Signal>> m_signals;
};

}  // namespace endivewood
