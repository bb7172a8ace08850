/// @file
/// Metrics, based on Boost.Histogram.
#include "metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <sstream>
#include <vector>

#include "config.h"
#include "endivewood_p.h"

namespace endivewood {
namespace {

namespace bh = boost::histogram;

constexpr std::size_t kClassCount = 2;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMillisecondsPerSecond = 1e3;

// The histogram range starts at 0.1 ms, a third of the target for added latency, and ends at 1000
// s, which masterclass renderings stay below. With six buckets per decade, each is 47% wide.
constexpr double kMinSeconds = 1e-4;
constexpr double kMaxSeconds = 1e3;
constexpr unsigned kBucketCount = 42;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;

/// A histogram of seconds, with the sum, which the text format requires.
class LatencyHistogram {
 public:
  LatencyHistogram()
      : m_histogram(
            bh::make_histogram_with(Storage(), Axis(kBucketCount, kMinSeconds, kMaxSeconds))) {}

  void Record(std::chrono::microseconds duration) {
    const auto microseconds = static_cast<double>(std::max<std::int64_t>(duration.count(), 1));
    m_histogram(microseconds / kMicrosecondsPerSecond);
    m_sum_us += static_cast<std::uint64_t>(microseconds);
  }

  /// @returns the cumulative counts of the buckets, starting with the underflow bucket; the last
  /// one is the total.
  std::vector<std::uint64_t> CumulativeCounts() const {
    std::vector<std::uint64_t> counts;
    std::uint64_t total = 0;
    for (int index = -1; index <= m_histogram.axis().size(); ++index) {
      total += m_histogram.at(index);
      counts.push_back(total);
    }
    return counts;
  }

  double UpperBoundSeconds(std::size_t bucket) const {
    return m_histogram.axis().value(static_cast<double>(bucket));
  }

  /// @returns the upper bound of the bucket that holds the quantile, in milliseconds.
  double QuantileMs(double quantile) const {
    const auto counts = CumulativeCounts();
    if (counts.back() == 0) return 0;
    const double target_count = quantile * static_cast<double>(counts.back());
    const auto found = std::find_if(counts.begin(), counts.end(), [&](std::uint64_t count) {
      return static_cast<double>(count) >= target_count;
    });
    const auto bucket = std::min<std::size_t>(found - counts.begin(), kBucketCount);
    return UpperBoundSeconds(bucket) * kMillisecondsPerSecond;
  }

  double SumSeconds() const { return static_cast<double>(m_sum_us) / kMicrosecondsPerSecond; }

 private:
  decltype(bh::make_histogram_with(Storage(),
                                   Axis(kBucketCount, kMinSeconds, kMaxSeconds))) m_histogram;
  std::atomic<std::uint64_t> m_sum_us{0};
};

constexpr std::array<const char*, kClassCount> kClassNames = {"short", "long"};

constexpr std::array<const char*, kCounterCount> kCounterNames = {
    "retries",          "ejections",        "readmissions",    "checkpoints",         "demotions",
    "records_accepted", "records_rejected", "platform_errors", "mismatched_responses"};

constexpr std::array<const char*, kGaugeCount> kGaugeNames = {
    "queue_depth_short", "queue_depth_long", "requests_in_progress", "applied_offset",
    "offset_behind",     "upstreams_ready",  "upstreams_ejected",    "peers_connected"};

/// Index from a result code's number to its row in ResultCodeTable().
class ResultCodeRows {
 public:
  ResultCodeRows() {
    const auto& table = ResultCodeTable();
    m_rows.resize(static_cast<std::size_t>(table.back().code) + 1);
    for (std::size_t row = 0; row < table.size(); ++row) {
      m_rows[static_cast<std::size_t>(table[row].code)] = row;
    }
  }

  std::size_t RowOf(ResultCode code) const { return m_rows[static_cast<std::size_t>(code)]; }

 private:
  std::vector<std::size_t> m_rows;
};

void WriteType(std::ostream& out, const std::string& name, const char* type) {
  out << "# TYPE endivewood_" << name << " " << type << "\n";
}

void WriteHistogram(std::ostream& out, const std::string& name, const char* work_class,
                    const LatencyHistogram& latency) {
  const std::string labels = std::string("{class=\"") + work_class + "\"";
  const auto counts = latency.CumulativeCounts();
  for (std::size_t bucket = 0; bucket <= kBucketCount; ++bucket) {
    out << "endivewood_" << name << "_bucket" << labels << ",le=\""
        << latency.UpperBoundSeconds(bucket) << "\"} " << counts[bucket] << "\n";
  }
  out << "endivewood_" << name << "_bucket" << labels << ",le=\"+Inf\"} " << counts.back() << "\n"
      << "endivewood_" << name << "_sum" << labels << "} " << latency.SumSeconds() << "\n"
      << "endivewood_" << name << "_count" << labels << "} " << counts.back() << "\n";
}

}  // namespace

struct Metrics::Histograms {
  struct ClassHistograms {
    LatencyHistogram wait;
    LatencyHistogram total;
    std::vector<std::atomic<std::uint64_t>> by_code =
        std::vector<std::atomic<std::uint64_t>>(ResultCodeTable().size());

    ClassStats Summary() const {
      ClassStats stats{.wait_p50_ms = wait.QuantileMs(0.5),
                       .wait_p99_ms = wait.QuantileMs(0.99),
                       .latency_p50_ms = total.QuantileMs(0.5),
                       .latency_p99_ms = total.QuantileMs(0.99)};
      for (std::size_t row = 0; row < by_code.size(); ++row) {
        const int category = static_cast<int>(ResultCodeTable()[row].code) / 100;
        stats.requests += by_code[row];
        if (category == 2) stats.not_run += by_code[row];
        if (category == 3) stats.failed += by_code[row];
      }
      return stats;
    }
  };

  ResultCodeRows code_rows;
  std::array<ClassHistograms, kClassCount> classes;
};

Metrics::Metrics() : m_histograms(std::make_unique<Histograms>()) {}

Metrics::~Metrics() = default;

void Metrics::RecordRequest(const RequestSample& sample) {
  auto& histograms = m_histograms->classes[static_cast<std::size_t>(sample.work_class)];
  histograms.wait.Record(sample.waited);
  histograms.total.Record(sample.total);
  histograms.by_code[m_histograms->code_rows.RowOf(sample.code)].fetch_add(
      1, std::memory_order_relaxed);
}

void Metrics::Add(Counter counter, std::uint64_t count) {
  m_counters[static_cast<std::size_t>(counter)].fetch_add(count, std::memory_order_relaxed);
}

void Metrics::Set(Gauge gauge, std::int64_t value) {
  m_gauges[static_cast<std::size_t>(gauge)] = value;
}

void Metrics::Change(Gauge gauge, std::int64_t change) {
  m_gauges[static_cast<std::size_t>(gauge)].fetch_add(change, std::memory_order_relaxed);
}

Stats Metrics::GetStats() const {
  const auto counter = [&](Counter name) -> std::uint64_t {
    return m_counters[static_cast<std::size_t>(name)];
  };
  const auto gauge = [&](Gauge name) -> std::int64_t {
    return m_gauges[static_cast<std::size_t>(name)];
  };
  return {.short_work = m_histograms->classes[0].Summary(),
          .long_work = m_histograms->classes[1].Summary(),
          .retries = counter(Counter::kRetries),
          .ejections = counter(Counter::kEjections),
          .checkpoints = counter(Counter::kCheckpoints),
          .queue_depth = gauge(Gauge::kQueueDepthShort) + gauge(Gauge::kQueueDepthLong),
          .requests_in_progress = gauge(Gauge::kRequestsInProgress),
          .offset_behind = gauge(Gauge::kOffsetBehind)};
}

std::string Metrics::Exposition() const {
  std::ostringstream out;
  WriteType(out, "requests_total", "counter");
  for (std::size_t index = 0; index < kClassCount; ++index) {
    const auto& by_code = m_histograms->classes[index].by_code;
    for (std::size_t row = 0; row < by_code.size(); ++row) {
      if (by_code[row] == 0) continue;
      out << "endivewood_requests_total{class=\"" << kClassNames[index] << "\",code=\""
          << ResultCodeTable()[row].name << "\"} " << by_code[row] << "\n";
    }
  }
  WriteType(out, "request_seconds", "histogram");
  for (std::size_t index = 0; index < kClassCount; ++index) {
    WriteHistogram(out, "request_seconds", kClassNames[index], m_histograms->classes[index].total);
  }
  WriteType(out, "wait_seconds", "histogram");
  for (std::size_t index = 0; index < kClassCount; ++index) {
    WriteHistogram(out, "wait_seconds", kClassNames[index], m_histograms->classes[index].wait);
  }
  for (std::size_t index = 0; index < kCounterCount; ++index) {
    const std::string name = std::string(kCounterNames[index]) + "_total";
    WriteType(out, name, "counter");
    out << "endivewood_" << name << " " << m_counters[index] << "\n";
  }
  for (std::size_t index = 0; index < kGaugeCount; ++index) {
    WriteType(out, kGaugeNames[index], "gauge");
    out << "endivewood_" << kGaugeNames[index] << " " << m_gauges[index] << "\n";
  }
  return out.str();
}

Caps GetCaps() {
  return {.version = kVersion,
          .max_body_bytes = config::kMaxBodyBytes,
          .max_header_bytes = config::kMaxHeaderBytes,
          .max_http_threads = config::kMaxHttpThreads,
          .recent_record_ids = config::kRecentRecordIds,
          .platform_timeout = Milliseconds(config::kPlatformTimeoutMs)};
}

}  // namespace endivewood
