/// @file
/// Clock, based on CLOCK_BOOTTIME.
#include <endivewood/endivewood.h>
#include <time.h>

namespace endivewood {

std::chrono::nanoseconds Clock::ReadTimer() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

Milliseconds Clock::RealElapsed() const {
  return std::chrono::duration_cast<Milliseconds>(ReadTimer() - m_started);
}

Milliseconds Clock::Now() const {
  std::lock_guard lock(m_mutex);
  return m_offset + m_paused_at.value_or(RealElapsed());
}

Milliseconds Clock::UnixTime() const { return m_unix_start + Now(); }

void Clock::Pause() {
  std::lock_guard lock(m_mutex);
  if (!m_paused_at) m_paused_at = RealElapsed();
}

void Clock::Resume() {
  std::lock_guard lock(m_mutex);
  if (!m_paused_at) return;
  m_offset -= RealElapsed() - *m_paused_at;
  m_paused_at.reset();
}

void Clock::Advance(Milliseconds duration) {
  std::lock_guard lock(m_mutex);
  m_offset += duration;
}

}  // namespace endivewood
