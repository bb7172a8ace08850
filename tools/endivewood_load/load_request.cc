/// @file
/// One request of a load run.
#include "load_request.h"

namespace endivewood::load {
namespace {

constexpr Milliseconds kRetryDelay{100};
constexpr Milliseconds kPollInterval{50};
constexpr int kFirstNotRun = 200;
constexpr int kFirstUnknown = 300;
constexpr int kFirstConfigCode = 400;

/// @returns the result code header, or no value when the reply has none.
std::optional<ResultCode> CodeOf(const HttpReply& reply) {
  const std::string text = reply.Header("Result-Code");
  if (text.empty()) return std::nullopt;
  return static_cast<ResultCode>(std::atoi(text.c_str()));
}

/// @returns whether the same request should be sent again: it was not started, and no entry has
/// replied that it never will be.
bool IsRetryable(ResultCode code) {
  return code == ResultCode::kNotStartedPlatform || code == ResultCode::kNotStarted;
}

Ending EndingOf(const HttpReply& reply, const std::string& text) {
  const auto code = CodeOf(reply);
  if (!code) return Ending::kWrongAnswer;
  const int number = static_cast<int>(*code);
  if (*code == ResultCode::kOk) {
    return reply.body == "done " + text ? Ending::kAnswered : Ending::kWrongAnswer;
  }
  if (number >= kFirstNotRun && number < kFirstUnknown) return Ending::kNotRun;
  if (number >= kFirstUnknown && number < kFirstConfigCode) return Ending::kUnknown;
  return Ending::kFailed;
}

std::string NewIdempotencyKey() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
  return std::to_string(seconds) + "-" + RandomHex128();
}

}  // namespace

const Endpoint& RequestSender::Entry(std::uint64_t number) const {
  return m_config.entries[number % m_config.entries.size()];
}

RequestRecord RequestSender::Send(std::size_t service_index, std::uint64_t number) const {
  const ServiceLoad& load = m_config.workload.services[service_index];
  const std::string text = RandomHex128();
  RequestRecord record{.service_index = service_index};
  if (load.kind == RequestKind::kNonIdempotent) record.key = NewIdempotencyKey();
  while (record.attempts < m_config.max_attempts) {
    const Endpoint& entry = Entry(number + static_cast<std::uint64_t>(record.attempts));
    ++record.attempts;
    const HttpOutcome outcome = Attempt(load, record, text, entry);
    if (outcome.reply) {
      record.last_code = CodeOf(*outcome.reply).value_or(ResultCode::kProtocolError);
      if (record.last_code == ResultCode::kAccepted) {
        record.ending = PollResult(outcome.reply->Header("Location"), text, number);
        return record;
      }
      record.ending = EndingOf(*outcome.reply, text);
      if (!IsRetryable(record.last_code)) return record;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  if (!IsRetryable(record.last_code)) record.ending = Ending::kLost;
  return record;
}

HttpOutcome RequestSender::Attempt(const ServiceLoad& load, const RequestRecord& record,
                                   const std::string& text, const Endpoint& entry) const {
  HttpRequest request{.method = "POST",
                      .path = "/v1/services/" + load.service.str(),
                      .query = "",
                      .headers = {{"Caller-Token", text}},
                      .body = std::to_string(load.work.count()) + " " + text};
  if (!record.key.empty()) request.headers.push_back({"Idempotency-Key", record.key});
  return HttpCall(entry, request, m_config.timeout);
}

Ending RequestSender::PollResult(const std::string& location, const std::string& text,
                                 std::uint64_t number) const {
  const auto end = std::chrono::steady_clock::now() + m_config.result_timeout;
  const HttpRequest request{.method = "GET",
                            .path = location,
                            .query = "",
                            .headers = {{"Caller-Token", text}},
                            .body = ""};
  // Polls the entries in turn: each can return the result, even when the first one has stopped.
  for (std::uint64_t poll = 0; std::chrono::steady_clock::now() < end; ++poll) {
    const HttpOutcome outcome = HttpCall(Entry(number + poll), request, m_config.timeout);
    const auto code = outcome.reply ? CodeOf(*outcome.reply) : std::nullopt;
    // An entry that has just started may not know the handle yet.
    const bool wait = !code || *code == ResultCode::kPending || *code == ResultCode::kUnknownResult;
    if (!wait) return EndingOf(*outcome.reply, text);
    std::this_thread::sleep_for(kPollInterval);
  }
  return Ending::kLost;
}

}  // namespace endivewood::load
