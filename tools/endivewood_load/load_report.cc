/// @file
/// Report of a load run.
#include "load_report.h"

#include <array>
#include <boost/histogram.hpp>
#include <iomanip>
#include <map>
#include <sstream>

namespace endivewood::load {
namespace {

constexpr int kLatencyBins = 400;
constexpr double kLowestLatencyMs = 1.0;
constexpr double kHighestLatencyMs = 100000.0;
constexpr Milliseconds kEffectsTimeout{5000};

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram = decltype(boost::histogram::make_histogram(
    LogAxis(kLatencyBins, kLowestLatencyMs, kHighestLatencyMs)));

/// @returns the upper edge in milliseconds of the bin that holds the given share of the values.
double Percentile(const LatencyHistogram& histogram, double share) {
  const double total = boost::histogram::algorithm::sum(histogram);
  double seen = histogram.at(-1);
  if (seen >= share * total) return kLowestLatencyMs;
  for (int bin = 0; bin < kLatencyBins; ++bin) {
    seen += histogram.at(bin);
    if (seen >= share * total) return histogram.axis().bin(bin).upper();
  }
  return kHighestLatencyMs;
}

/// Counts and latencies of one service.
struct ServiceSummary {
  std::array<int, 6> endings{};
  int requests = 0;
  int retried = 0;
  LatencyHistogram latencies =
      boost::histogram::make_histogram(LogAxis(kLatencyBins, kLowestLatencyMs, kHighestLatencyMs));

  int Count(Ending ending) const { return endings[static_cast<std::size_t>(ending)]; }
};

ServiceSummary Summarise(const std::vector<RequestRecord>& records, std::size_t service_index) {
  ServiceSummary summary;
  for (const RequestRecord& record : records) {
    if (record.service_index != service_index) continue;
    ++summary.requests;
    ++summary.endings[static_cast<std::size_t>(record.ending)];
    if (record.attempts > 1) ++summary.retried;
    if (record.ending != Ending::kAnswered) continue;
    summary.latencies(static_cast<double>(record.latency.count()));
  }
  return summary;
}

void PrintRow(const std::string& service, const ServiceSummary& summary, bool csv,
              std::ostream* out) {
  const char* separator = csv ? "," : "  ";
  const auto field = [&](const auto& value, int width) {
    if (!csv) *out << std::setw(width);
    *out << value << separator;
  };
  field(service, 18);
  field(summary.requests, 8);
  field(summary.Count(Ending::kAnswered), 8);
  field(summary.Count(Ending::kNotRun), 7);
  field(summary.Count(Ending::kUnknown), 7);
  field(summary.Count(Ending::kFailed), 6);
  field(summary.Count(Ending::kLost), 5);
  field(summary.Count(Ending::kWrongAnswer), 5);
  field(summary.retried, 7);
  *out << std::fixed << std::setprecision(1);
  for (double share : {0.5, 0.9, 0.99}) field(Percentile(summary.latencies, share), 8);
  *out << "\n";
}

void CountEffectViolations(const RequestRecord& record, int count, Violations* violations) {
  if (count > 1) ++violations->duplicate_effects;
  if (record.ending == Ending::kAnswered && count == 0) ++violations->missing_effects;
  if (record.ending == Ending::kNotRun && count > 0) ++violations->effects_of_not_run;
}

}  // namespace

std::optional<std::vector<Effect>> CollectEffects(const std::vector<Endpoint>& upstreams) {
  std::map<std::string, int> counts;
  for (const Endpoint& upstream : upstreams) {
    const HttpOutcome outcome = HttpCall(upstream, {.path = "/effects"}, kEffectsTimeout);
    if (!outcome.reply) return std::nullopt;
    std::istringstream lines(outcome.reply->body);
    std::string key;
    int count = 0;
    while (lines >> key >> count) counts[key] += count;
  }
  std::vector<Effect> effects;
  effects.reserve(counts.size());
  for (const auto& [key, count] : counts) effects.push_back({.key = key, .count = count});
  return effects;
}

Violations CheckRecords(const std::vector<RequestRecord>& records,
                        const std::optional<std::vector<Effect>>& effects) {
  Violations violations;
  std::map<std::string, int> counts;
  for (const Effect& effect : effects.value_or(std::vector<Effect>{})) {
    counts[effect.key] = effect.count;
  }
  for (const RequestRecord& record : records) {
    if (record.ending == Ending::kWrongAnswer) ++violations.wrong_answers;
    if (record.ending == Ending::kLost) ++violations.lost;
    if (effects && !record.key.empty()) {
      CountEffectViolations(record, counts[record.key], &violations);
    }
  }
  return violations;
}

void PrintReport(const LoadConfig& config, const std::vector<RequestRecord>& records,
                 const Violations& violations, bool csv, std::ostream* out) {
  *out << (csv ? "service,requests,answered,not_run,unknown,failed,lost,wrong,retried,p50_ms,"
                 "p90_ms,p99_ms,\n"
               : "           service  requests  answered  not run  unknown  failed   lost  wrong  "
                 "retried    p50 ms    p90 ms    p99 ms\n");
  for (std::size_t index = 0; index < config.workload.services.size(); ++index) {
    PrintRow(config.workload.services[index].service.str(), Summarise(records, index), csv, out);
  }
  *out << "violations: " << violations.wrong_answers << " wrong answers, " << violations.lost
       << " lost, " << violations.duplicate_effects << " doubled effects, "
       << violations.missing_effects << " missing effects, " << violations.effects_of_not_run
       << " effects of requests that were not run\n";
}

}  // namespace endivewood::load
