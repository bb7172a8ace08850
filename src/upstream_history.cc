/// @file
/// Recent failures, slowness and interruptions of an upstream.
#include "upstream_history.h"

#include <algorithm>
#include <cmath>

#include "config_stragglers.h"

namespace endivewood {
namespace {

double MedianOf(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double LogOf(Milliseconds time) {
  return std::log(static_cast<double>(std::max<std::int64_t>(1, time.count())));
}

}  // namespace

void UpstreamHistory::DecayedSum::Add(double term, Milliseconds now) {
  m_sum = At(now) + term;
  m_at = now;
}

double UpstreamHistory::DecayedSum::At(Milliseconds now) const {
  const auto age = static_cast<double>(std::max<std::int64_t>(0, (now - m_at).count()));
  return m_sum * std::exp2(-age / static_cast<double>(config::kHistoryHalfLifeMs));
}

void UpstreamHistory::NoteEnd(bool failed, Milliseconds now) {
  m_ends.Add(1, now);
  if (failed) m_failures.Add(1, now);
}

void UpstreamHistory::NoteDuration(Milliseconds duration, Milliseconds expected, Milliseconds now) {
  const double log_ratio = LogOf(duration) - LogOf(expected);
  m_durations.Add(1, now);
  m_log_ratios.Add(std::clamp(log_ratio, -config::kMaxRunSlowness, config::kMaxRunSlowness), now);
}

void UpstreamHistory::NoteReturn(Milliseconds now) {
  m_doubtful_until = now + Milliseconds(config::kReturnDoubtMs);
}

double UpstreamHistory::FailedShare(Milliseconds now) const {
  return m_failures.At(now) / (m_ends.At(now) + config::kHistoryPriorRuns);
}

double UpstreamHistory::Slowness(Milliseconds now) const {
  return m_log_ratios.At(now) / (m_durations.At(now) + config::kHistoryPriorRuns);
}

bool UpstreamHistory::IsClean(Milliseconds now) const {
  return now >= m_doubtful_until && FailedShare(now) <= config::kDoubtfulFailedShare &&
         Slowness(now) <= config::kDoubtfulSlowness;
}

Standing UpstreamHistory::StandingAt(const PoolNorm& norm, Milliseconds now) const {
  const double failed = FailedShare(now) - norm.failed_share;
  const double slowness = Slowness(now) - norm.slowness;
  if (failed > config::kBadFailedShare || slowness > config::kBadSlowness) return Standing::kBad;
  const bool doubtful = now < m_doubtful_until || failed > config::kDoubtfulFailedShare ||
                        slowness > config::kDoubtfulSlowness;
  return doubtful ? Standing::kDoubtful : Standing::kGood;
}

PoolNorm NormOf(const std::vector<const UpstreamHistory*>& upstreams, Milliseconds now) {
  std::vector<double> failed;
  std::vector<double> slowness;
  for (const UpstreamHistory* const upstream : upstreams) {
    failed.push_back(upstream->FailedShare(now));
    slowness.push_back(upstream->Slowness(now));
  }
  // A pool of sound upstreams that are faster than expected isn't a reason to call one slow.
  return {.failed_share = MedianOf(std::move(failed)),
          .slowness = std::max(0.0, MedianOf(std::move(slowness)))};
}

}  // namespace endivewood
