/// @file
/// Latency histograms by class, counters and gauges of a process, and their text format.
#pragma once

#include <endivewood/endivewood.h>

#include <array>
#include <atomic>
#include <memory>
#include <string>

namespace endivewood {

/// Counters. Requests are counted by Metrics::RecordRequest.
enum class Counter : std::uint8_t {
  kRetries = 0,
  kEjections,
  kReadmissions,
  kCheckpoints,
  kDemotions,
  kRecordsAccepted,
  kRecordsRejected,
  kPlatformErrors,
  kMismatchedResponses,
};
inline constexpr std::size_t kCounterCount = 9;

/// Gauges: values that can increase and decrease.
enum class Gauge : std::uint8_t {
  kQueueDepthShort = 0,
  kQueueDepthLong,
  kRequestsInProgress,
  kAppliedOffset,
  kOffsetBehind,
  kUpstreamsReady,
  kUpstreamsEjected,
  kPeersConnected,
};
inline constexpr std::size_t kGaugeCount = 8;

/// The outcome and times of a request that was answered or refused.
struct RequestSample {
  WorkClass work_class = WorkClass::kShort;
  ResultCode code = ResultCode::kOk;
  std::chrono::microseconds waited{0};  ///< From arrival to the grant of a slot or the refusal.
  std::chrono::microseconds total{0};   ///< From arrival to the response.
};

/// The metrics of one process. Thread-safe; recording takes no lock.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void RecordRequest(const RequestSample& sample);
  void Add(Counter counter, std::uint64_t count = 1);
  void Set(Gauge gauge, std::int64_t value);
  /// @param change may be negative.
  void Change(Gauge gauge, std::int64_t change);

  /// @returns a summary. Percentiles are the upper bounds of histogram buckets.
  Stats GetStats() const;

  /// @returns every metric in the Prometheus text format, version 0.0.4.
  std::string Exposition() const;

 private:
  struct Histograms;

  std::unique_ptr<Histograms> m_histograms;
  std::array<std::atomic<std::uint64_t>, kCounterCount> m_counters{};
  std::array<std::atomic<std::int64_t>, kGaugeCount> m_gauges{};
};

}  // namespace endivewood
