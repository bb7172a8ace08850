/// @file
/// Encodes the records of a job store partition (msgpack).
#include "job_codec.h"

#include "job.h"

namespace endivewood {
namespace {

constexpr char kJobPrefix[] = "j/";
constexpr char kProgressPrefix[] = "p/";
constexpr char kUpstreamPrefix[] = "u/";
constexpr std::size_t kPrefixSize = 2;

}  // namespace
}  // namespace endivewood

// clang-format off
ENDIVEWOOD_CODEC(endivewood::StepProgress, v.done, v.failed)
ENDIVEWOOD_CODEC(endivewood::OccurrenceProgress, v.number, v.complete, v.steps)
ENDIVEWOOD_CODEC(endivewood::JobProgress, v.state, v.occurrences)
ENDIVEWOOD_CODEC(endivewood::JobResult, v.queue, v.state, v.ended, v.account)
ENDIVEWOOD_CODEC(endivewood::JobRecord, v.spec, v.policy, v.accepted)
ENDIVEWOOD_CODEC(endivewood::UpstreamRecord, v.id, v.service, v.endpoint, v.start_time,
                 v.follows_incarnation)
// clang-format on

namespace endivewood {
namespace {

/// First byte of the value under a job's key: a JobRecord or a JobResult follows.
constexpr char kOpenJobTag = 'o';
constexpr char kJobResultTag = 'r';

template <typename T>
JobStoreRecord DecodeAs(const std::string& bytes) {
  auto value = Unpack<T>(bytes);
  if (!value) return std::monostate{};
  return std::move(*value);
}

}  // namespace

std::string JobKey(const JobId& job) { return kJobPrefix + job.str(); }
std::string ProgressKey(const JobId& job) { return kProgressPrefix + job.str(); }
std::string UpstreamKey(const UpstreamId& upstream) { return kUpstreamPrefix + upstream.str(); }

JobId JobIdOfKey(const std::string& key) {
  return JobId(key.size() > kPrefixSize ? key.substr(kPrefixSize) : "");
}

std::string EncodeJobRecord(const JobRecord& record) { return kOpenJobTag + Pack(record); }
std::string EncodeJobResult(const JobResult& result) { return kJobResultTag + Pack(result); }
std::string EncodeProgress(const JobProgress& progress) { return Pack(progress); }
std::string EncodeUpstreamRecord(const UpstreamRecord& record) { return Pack(record); }

JobStoreRecord DecodeJobStoreRecord(const KeyedRecord& record) {
  if (record.value.empty()) return std::monostate{};
  if (record.key.starts_with(kProgressPrefix)) return DecodeAs<JobProgress>(record.value);
  if (record.key.starts_with(kUpstreamPrefix)) return DecodeAs<UpstreamRecord>(record.value);
  if (!record.key.starts_with(kJobPrefix)) return std::monostate{};
  if (record.value.front() == kOpenJobTag) {
    JobStoreRecord decoded = DecodeAs<JobRecord>(record.value.substr(1));
    const auto* const job = std::get_if<JobRecord>(&decoded);
    if (job != nullptr && !IsWithinLimits(job->spec)) return std::monostate{};
    return decoded;
  }
  if (record.value.front() == kJobResultTag) return DecodeAs<JobResult>(record.value.substr(1));
  return std::monostate{};
}

}  // namespace endivewood
