/// @file
/// Client of the platform's log service.
#include <charconv>

#include "codec.h"
#include "config.h"
#include "endivewood_p.h"

namespace endivewood {
namespace {

constexpr Milliseconds kTimeout{config::kPlatformTimeoutMs};

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

/// Decodes a read reply, whose body is a list of [offset, time_ms, payload].
std::optional<LogBatch> DecodeBatch(const HttpReply& reply) {
  const auto first = ParseNumber(reply.Header("First-Offset"));
  const auto next = ParseNumber(reply.Header("Next-Offset"));
  using Row = std::tuple<std::uint64_t, std::int64_t, std::string>;
  auto rows = Unpack<std::vector<Row>>(reply.body);
  if (!first || !next || !rows) return std::nullopt;
  LogBatch batch{.first_offset = *first, .next_offset = *next, .records = {}};
  for (auto& [offset, time_ms, payload] : *rows) {
    batch.records.push_back({.offset = offset, .time_ms = time_ms, .payload = std::move(payload)});
  }
  return batch;
}

}  // namespace

LogClient::LogClient(Endpoint platform, Incarnation author, DataCentreName data_centre)
    : m_platform(std::move(platform)),
      m_author(std::move(author)),
      m_data_centre(std::move(data_centre)) {}

std::optional<std::uint64_t> LogClient::Append(const std::string& stream,
                                               const std::string& payload, Reason* reason) const {
  const HttpRequest request{
      .method = "POST",
      .path = "/log/" + stream,
      .query = "",
      .headers = {{"Author", m_author.str()}, {"Data-Centre", m_data_centre.str()}},
      .body = payload};
  const HttpOutcome outcome = HttpCall(m_platform, request, kTimeout);
  if (!outcome.reply) {
    const bool not_sent = outcome.failure == CallFailure::kNotSent;
    *reason = {.code = not_sent ? ResultCode::kPlatformUnreachable : ResultCode::kAppendUncertain,
               .text = outcome.detail};
    return std::nullopt;
  }
  if (outcome.reply->status == HttpStatusOf(ResultCode::kPlatformUnreachable)) {
    *reason = {.code = ResultCode::kPlatformUnreachable, .text = "log service reports an outage"};
    return std::nullopt;
  }
  const auto offset = ParseNumber(outcome.reply->body);
  if (outcome.reply->status != 200 || !offset) {
    *reason = {.code = ResultCode::kAppendUncertain, .text = "unexpected reply to an append"};
    return std::nullopt;
  }
  return offset;
}

std::optional<LogBatch> LogClient::Read(const std::string& stream, std::uint64_t from,
                                        std::size_t max, Milliseconds wait, Reason* reason) const {
  const HttpRequest request{.method = "GET",
                            .path = "/log/" + stream,
                            .query = "from=" + std::to_string(from) +
                                     "&max=" + std::to_string(max) +
                                     "&wait_ms=" + std::to_string(wait.count()),
                            .headers = {{"Data-Centre", m_data_centre.str()}},
                            .body = ""};
  const HttpOutcome outcome = HttpCall(m_platform, request, wait + kTimeout);
  if (!outcome.reply) {
    *reason = {.code = ResultCode::kPlatformUnreachable, .text = outcome.detail};
    return std::nullopt;
  }
  if (outcome.reply->status == HttpStatusOf(ResultCode::kOffsetExpired)) {
    *reason = {.code = ResultCode::kOffsetExpired, .text = outcome.reply->Header("First-Offset")};
    return std::nullopt;
  }
  if (outcome.reply->status != 200) {
    *reason = {.code = ResultCode::kPlatformUnreachable, .text = "log service reports an outage"};
    return std::nullopt;
  }
  auto batch = DecodeBatch(*outcome.reply);
  if (!batch) *reason = {.code = ResultCode::kProtocolError, .text = "malformed record batch"};
  return batch;
}

}  // namespace endivewood
