/// @file
/// Sizes of a queue's jobs, and how often jobs of each size are accepted.
#include "size_classes.h"

#include <algorithm>
#include <cmath>

#include "config_overload.h"

namespace endivewood {

void SizeClasses::RecordArrival(std::int64_t work, Milliseconds now) {
  Decay(now);
  m_latest.push_back(work);
  m_sorted.insert(std::upper_bound(m_sorted.begin(), m_sorted.end(), work), work);
  m_sum += static_cast<double>(work);
  if (m_latest.size() > config::kSizeSamples) {
    const std::int64_t oldest = m_latest.front();
    m_latest.pop_front();
    m_sorted.erase(std::lower_bound(m_sorted.begin(), m_sorted.end(), oldest));
    m_sum -= static_cast<double>(oldest);
  }
  ++m_counts[ClassOf(work)].arrived;
}

void SizeClasses::RecordAccepted(std::int64_t work, Milliseconds now) {
  Decay(now);
  ++m_counts[ClassOf(work)].accepted;
}

double SizeClasses::mean_work() const {
  return m_latest.empty() ? 0 : m_sum / static_cast<double>(m_latest.size());
}

double SizeClasses::RelativeSize(std::int64_t work) const {
  const double mean = mean_work();
  return mean <= 0 ? 1 : static_cast<double>(work) / mean;
}

bool SizeClasses::IsUnderserved(std::int64_t work) const {
  const Class size = ClassOf(work);
  if (size == kOther) return false;
  Counts all;
  for (const Counts& each : m_counts) {
    all.arrived += each.arrived;
    all.accepted += each.accepted;
  }
  const Counts& own = m_counts[size];
  return own.accepted * all.arrived < config::kMinClassShare * all.accepted * own.arrived;
}

SizeClasses::Class SizeClasses::ClassOf(std::int64_t work) const {
  if (m_sorted.size() < config::kMinSizeSamples) return kOther;
  const auto larger = static_cast<double>(m_sorted.end() -
                                          std::lower_bound(m_sorted.begin(), m_sorted.end(), work));
  const double share = larger / static_cast<double>(m_sorted.size());
  if (share <= config::kLargestShare) return kLargest;
  return share <= config::kLargestShare + config::kLargeShare ? kLarge : kOther;
}

void SizeClasses::Decay(Milliseconds now) {
  const auto elapsed = static_cast<double>(std::max(now - m_decayed_at, Milliseconds{0}).count());
  const double factor = std::exp(-elapsed / static_cast<double>(config::kClassDecayMs));
  for (Counts& counts : m_counts) {
    counts.arrived *= factor;
    counts.accepted *= factor;
  }
  m_decayed_at = std::max(m_decayed_at, now);
}

}  // namespace endivewood
