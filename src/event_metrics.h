/// @file
/// Counters and duration histograms of a process, derived from its events.
#pragma once

#include <boost/histogram.hpp>
#include <map>
#include <string>

#include "events.h"

namespace endivewood {

/// Counts events by name and outcome and builds histograms of their durations by name.
/// Not thread-safe.
class EventMetrics {
 public:
  void Observe(Event event, const std::vector<EventField>& fields);

  /// @returns every metric in the Prometheus text format, version 0.0.4.
  std::string Exposition() const;

 private:
  struct CounterKey {
    Event event;
    std::string outcome;

    auto operator<=>(const CounterKey&) const = default;
  };
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis{0.0, 1.0}));
  struct Durations {
    Histogram histogram;
    double sum_ms = 0;
    std::uint64_t count = 0;
  };

  std::map<CounterKey, std::uint64_t> m_counters;
  std::map<Event, Durations> m_durations;
};

}  // namespace endivewood
