/// @file
/// The request path of an entry instance.
#pragma once

#include "endivewood_p.h"
#include "metrics.h"
#include "settings.h"

namespace endivewood {

/// An entry process: caller listener, control listener and fleet follower.
class Entry {
 public:
  explicit Entry(const ProcessSettings& settings);

  /// Stops taking connections and answers the requests in progress.
  void Stop();

 private:
  HttpReply HandleCaller(const HttpRequest& request);
  HttpReply HandleControl(const HttpRequest& request);
  HttpReply HandleResult(const HttpRequest& request);
  HttpReply AcceptLong(const HttpRequest& request, const ServiceConfig& service);
  HttpReply Forward(const HttpRequest& request, const ServiceConfig& service);

  /// A long request that callers ask for by its handle.
  struct LongRequest {
    std::string caller_token;
    std::optional<HttpReply> reply;
  };

  ProcessSettings m_settings;
  Incarnation m_incarnation;
  Metrics m_metrics;
  FleetFollower m_follower;
  std::atomic<std::uint64_t> m_next_upstream{0};
  std::mutex m_mutex;
  std::map<std::string, LongRequest> m_long_requests;
  std::vector<std::thread> m_long_threads;
  HttpServer m_caller_server;
  HttpServer m_control_server;
};

}  // namespace endivewood
