/// @file
/// Time that an instance spends on each part of its work, to explain why a task ran late.
#pragma once

#include <endivewood/endivewood.h>

#include <array>
#include <vector>

#include "events.h"

namespace endivewood {

enum class WorkPart : std::uint8_t {
  kConfiguration = 0,  ///< Decoding and applying the operators' records.
  kRegistry,           ///< Decoding and applying the upstreams' registry.
  kScheduling,         ///< Running the schedulers, and sending their orders.
  kUpstreamReplies,    ///< Handling the upstreams' answers.
  kPlanning,           ///< Running the maintenance planner, and sending its calls.
  kCalls,              ///< Answering calls as the holder of a partition.
};

inline constexpr std::size_t kWorkParts = 6;

/// Sums the time of each part until the next report.
class WorkTimes {
 public:
  /// Adds the time until its destruction to a part.
  class Scope {
   public:
    Scope(WorkTimes* times, const Clock* clock, WorkPart part)
        : m_times(times), m_clock(clock), m_part(part), m_started(clock->Now()) {}
    ~Scope() { m_times->m_spent[static_cast<std::size_t>(m_part)] += m_clock->Now() - m_started; }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    WorkTimes* m_times;
    const Clock* m_clock;
    WorkPart m_part;
    Milliseconds m_started;
  };

  /// @returns one event field per part, in milliseconds, and starts anew.
  std::vector<EventField> TakeFields();

 private:
  std::array<Milliseconds, kWorkParts> m_spent{};
};

}  // namespace endivewood
