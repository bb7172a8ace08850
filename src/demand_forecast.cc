/// @file
/// Forecasts peaks of services that peak in turn.
#include "demand_forecast.h"

#include <algorithm>
#include <sstream>

#include "config.h"
#include "events.h"

namespace endivewood {

void DemandForecast::SetConfiguredCapacity(const ServiceName& service, std::int64_t millicores) {
  m_peaks[service].configured_millicores = millicores;
}

void DemandForecast::BeginPeak(const ServiceName& service, ServicePeak* peak, std::int64_t offered,
                               Milliseconds now) {
  const auto expected = NextOnsetOf(service);
  peak->in_peak = true;
  peak->highest = 0;
  m_changed = true;
  // The previous planner may have recorded the onset of the same peak.
  const bool known = !m_onsets.empty() && m_onsets.back().service == service;
  if (!known) m_onsets.push_back({.service = service, .at = now});
  if (m_onsets.size() > config::kMaxPastPeaks) m_onsets.erase(m_onsets.begin());
  LogEvent(Event::kPeakBegan, {{"service", service},
                               {"offered_millicores", offered},
                               {"expected_millicores", ExpectedPeak(*peak)},
                               {"foreseen", expected.has_value()},
                               {"late_by_ms", expected ? now - *expected : Milliseconds{0}}});
}

void DemandForecast::Observe(const ServiceName& service, std::int64_t offered_millicores,
                             Milliseconds now) {
  ServicePeak& peak = m_peaks[service];
  if (peak.configured_millicores <= 0) return;
  const double onset = m_options.onset_ratio * static_cast<double>(peak.configured_millicores);
  if (static_cast<double>(offered_millicores) >= onset) {
    if (!peak.in_peak) BeginPeak(service, &peak, offered_millicores, now);
    peak.last_above = now;
  }
  if (!peak.in_peak) return;
  peak.highest = std::max(peak.highest, offered_millicores);
  if (now - peak.last_above < m_options.quiet_period) return;
  peak.in_peak = false;
  peak.last_peak = std::min(
      peak.highest, static_cast<std::int64_t>(m_options.max_peak_ratio *
                                              static_cast<double>(peak.configured_millicores)));
  m_changed = true;
  LogEvent(Event::kPeakEnded, {{"service", service}, {"highest_millicores", peak.highest}});
}

std::optional<std::string> DemandForecast::TakeChanges(Milliseconds unix_offset) {
  if (!m_changed) return std::nullopt;
  m_changed = false;
  std::ostringstream learned;
  for (const auto& [service, peak] : m_peaks) {
    if (peak.last_peak > 0) learned << "level " << service.str() << " " << peak.last_peak << "\n";
  }
  for (const Onset& onset : m_onsets) {
    learned << "onset " << onset.service.str() << " " << (onset.at + unix_offset).count() << "\n";
  }
  return learned.str();
}

void DemandForecast::Restore(const std::string& learned, Milliseconds unix_offset) {
  std::istringstream lines(learned);
  std::string kind;
  std::string service;
  std::int64_t value = 0;
  while (lines >> kind >> service >> value) {
    if (kind == "level") m_peaks[ServiceName(service)].last_peak = value;
    if (kind == "onset") {
      m_onsets.push_back(
          {.service = ServiceName(service), .at = Milliseconds(value) - unix_offset});
    }
  }
}

std::int64_t DemandForecast::ExpectedPeak(const ServicePeak& peak) const {
  if (peak.last_peak > 0) return peak.last_peak;
  return static_cast<std::int64_t>(m_options.first_peak_ratio *
                                   static_cast<double>(peak.configured_millicores));
}

std::optional<Milliseconds> DemandForecast::NextOnsetOf(const ServiceName& service) const {
  if (m_onsets.empty()) return std::nullopt;
  const Onset& latest = m_onsets.back();
  for (std::size_t i = m_onsets.size() - 1; i > 0; --i) {
    if (m_onsets[i].service != service) continue;
    const Onset& before = m_onsets[i - 1];
    // A forecast exists only while the last peak is of the service that preceded it last time.
    if (before.service != latest.service || service == latest.service) return std::nullopt;
    return latest.at + (m_onsets[i].at - before.at);
  }
  return std::nullopt;
}

std::int64_t DemandForecast::ExpectedAt(const ServiceName& service, Milliseconds now) const {
  const auto found = m_peaks.find(service);
  if (found == m_peaks.end()) return 0;
  const ServicePeak& peak = found->second;
  if (peak.in_peak) return ExpectedPeak(peak);
  const auto next = NextOnsetOf(service);
  if (!next || now < *next - m_options.lead_time || now > *next + m_options.grace_period) return 0;
  return ExpectedPeak(peak);
}

}  // namespace endivewood
