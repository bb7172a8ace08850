/// @file
/// Calls upstreams and interprets their answers.
#include "upstream_client.h"

#include <cxxtools/http/client.h>

#include "config.h"
#include "http_convert.h"

namespace endivewood {

struct UpstreamClient::Connection {
  cxxtools::http::Client client;
  Milliseconds idle_since{0};
};

CallResult ClassifyOutcome(const HttpOutcome& outcome, const std::string& request_id) {
  if (!outcome.reply) {
    switch (outcome.failure) {
      case CallFailure::kNotSent:
      case CallFailure::kOtherProcess:
        return {.effect = UpstreamEffect::kNotRun, .slot = SlotOutcome::kNotReached};
      case CallFailure::kTimeout:
        return {.effect = UpstreamEffect::kMayHaveRun, .slot = SlotOutcome::kTimeout};
      case CallFailure::kNoAnswer:
        return {.effect = UpstreamEffect::kMayHaveRun, .slot = SlotOutcome::kFailed};
    }
  }
  const HttpReply& reply = *outcome.reply;
  const std::string not_run = reply.Header("Not-Run");
  if (reply.status == 503 && not_run == "busy") {
    return {.effect = UpstreamEffect::kNotRun, .slot = SlotOutcome::kRefusedBusy};
  }
  if (reply.status == 409 || (reply.status == 503 && not_run == "draining")) {
    return {.effect = UpstreamEffect::kNotRun, .slot = SlotOutcome::kRefusedDraining};
  }
  // Without a Content-Length, a truncated answer looks like a complete one.
  const bool complete = reply.Header("Content-Length") == std::to_string(reply.body.size());
  const bool own = reply.Header("Request-Id") == request_id;
  if (reply.status == 200 && complete && own) {
    return {.effect = UpstreamEffect::kDone, .slot = SlotOutcome::kSucceeded};
  }
  return {};
}

UpstreamClient::UpstreamClient(const Clock* clock) : m_clock(clock) {}

UpstreamClient::~UpstreamClient() = default;

HttpOutcome UpstreamClient::CallOnce(const Endpoint& peer, const HttpRequest& request,
                                     Milliseconds timeout) {
  return HttpCall(peer, request, timeout);
}

HttpOutcome UpstreamClient::CallRepeatable(const Endpoint& peer, const HttpRequest& request,
                                           Milliseconds timeout) {
  ConnectionPtr connection = TakeIdle(peer);
  if (!connection) {
    connection = std::make_unique<Connection>();
    try {
      connection->client.connect(peer.address, peer.port);
    } catch (const std::exception& error) {
      return {.reply = std::nullopt, .failure = CallFailure::kNotSent, .detail = error.what()};
    }
  }
  HttpOutcome outcome = ExecuteOn(&connection->client, ConvertRequest(request, true), timeout);
  // A connection without an answer isn't reused: a late answer would go to the next request.
  const bool closes = outcome.reply && outcome.reply->Header("Connection") == "close";
  if (outcome.reply && !closes) PutIdle(peer, std::move(connection));
  return outcome;
}

UpstreamClient::ConnectionPtr UpstreamClient::TakeIdle(const Endpoint& peer) {
  const Milliseconds oldest = m_clock->Now() - Milliseconds(config::kUpstreamIdleMs);
  std::lock_guard lock(m_mutex);
  std::vector<ConnectionPtr>& idle = m_idle[peer];
  std::erase_if(idle, [&](const ConnectionPtr& item) { return item->idle_since < oldest; });
  if (idle.empty()) return nullptr;
  ConnectionPtr taken = std::move(idle.back());
  idle.pop_back();
  return taken;
}

void UpstreamClient::PutIdle(const Endpoint& peer, ConnectionPtr connection) {
  connection->idle_since = m_clock->Now();
  std::lock_guard lock(m_mutex);
  std::vector<ConnectionPtr>& idle = m_idle[peer];
  if (idle.size() < config::kUpstreamIdleConnections) idle.push_back(std::move(connection));
}

}  // namespace endivewood
