/// @file
/// Metrics of a process.
#include "metrics.h"

#include <catch2/catch.hpp>
#include <thread>

namespace endivewood::testing {
namespace {

using std::chrono::microseconds;

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

// Guards against counts that are lost when threads record concurrently.
TEST_CASE("concurrently recorded requests are all counted") {
  Metrics metrics;
  constexpr std::uint64_t kThreads = 8;
  constexpr std::uint64_t kRecords = 5000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&] {
      for (std::uint64_t record = 0; record < kRecords; ++record) {
        metrics.RecordRequest({.waited = microseconds(500), .total = microseconds(20000)});
        metrics.Add(Counter::kRetries);
        metrics.Change(Gauge::kRequestsInProgress, record % 2 == 0 ? 1 : -1);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const Stats stats = metrics.GetStats();
  CHECK(stats.short_work.requests == kThreads * kRecords);
  CHECK(stats.retries == kThreads * kRecords);
  CHECK(stats.requests_in_progress == 0);
  CHECK(HasLine(metrics.Exposition(), "endivewood_request_seconds_count{class=\"short\"} 40000"));
}

// Guards against percentiles of the wrong class or bucket, and refusals counted as failures.
TEST_CASE("statistics are separate for each class and outcome") {
  Metrics metrics;
  for (int record = 0; record < 99; ++record) {
    metrics.RecordRequest({.waited = microseconds(900), .total = microseconds(9000)});
  }
  metrics.RecordRequest({.code = ResultCode::kNotRunOverload, .total = microseconds(5000000)});
  metrics.RecordRequest({.work_class = WorkClass::kLong,
                         .code = ResultCode::kUpstreamFailed,
                         .total = std::chrono::hours(1)});
  const Stats stats = metrics.GetStats();
  CHECK(stats.short_work.requests == 100);
  CHECK(stats.short_work.not_run == 1);
  CHECK(stats.short_work.failed == 0);
  CHECK(stats.long_work.failed == 1);
  // The upper bound of a bucket is at most 47% above the value.
  CHECK(stats.short_work.latency_p99_ms >= 9);
  CHECK(stats.short_work.latency_p99_ms <= 9 * 1.47);
  CHECK(stats.long_work.latency_p50_ms == Approx(1000000));
}

// Guards against buckets that aren't cumulative, which monitoring would misread without an error.
TEST_CASE("metrics are exposed in the Prometheus text format") {
  Metrics metrics;
  metrics.RecordRequest({.total = microseconds(1)});
  metrics.RecordRequest({.total = microseconds(1200)});
  metrics.RecordRequest({.total = std::chrono::hours(1)});
  metrics.Set(Gauge::kOffsetBehind, 12);
  const std::string text = metrics.Exposition();
  CHECK(HasLine(text, "# TYPE endivewood_request_seconds histogram"));
  CHECK(HasLine(text, "endivewood_requests_total{class=\"short\",code=\"ok\"} 3"));
  CHECK(HasLine(text, "endivewood_request_seconds_bucket{class=\"short\",le=\"0.0001\"} 1"));
  CHECK(HasLine(text, "endivewood_request_seconds_bucket{class=\"short\",le=\"0.001\"} 1"));
  CHECK(HasLine(text, "endivewood_request_seconds_bucket{class=\"short\",le=\"0.01\"} 2"));
  CHECK(HasLine(text, "endivewood_request_seconds_bucket{class=\"short\",le=\"1000\"} 2"));
  CHECK(HasLine(text, "endivewood_request_seconds_bucket{class=\"short\",le=\"+Inf\"} 3"));
  CHECK(HasLine(text, "endivewood_offset_behind 12"));
}

// Guards against counts that are lost under contention. Prints the cost of a call.
TEST_CASE("cost of a RecordRequest call", "[cost]") {
  Metrics metrics;
  constexpr int kRecords = 200000;
  for (const int count : {1, 4}) {
    std::vector<std::thread> threads;
    threads.reserve(count);
    const auto start = std::chrono::steady_clock::now();
    for (int thread = 0; thread < count; ++thread) {
      threads.emplace_back([&] {
        for (int record = 0; record < kRecords; ++record) {
          metrics.RecordRequest(
              {.waited = microseconds(record % 1000), .total = microseconds(record % 100000)});
        }
      });
    }
    for (std::thread& thread : threads) thread.join();
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    WARN(count << " threads: " << elapsed.count() / kRecords << " ns a call");
  }
  CHECK(metrics.GetStats().short_work.requests == std::uint64_t{5} * kRecords);
}

}  // namespace
}  // namespace endivewood::testing
