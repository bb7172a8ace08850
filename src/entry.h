/// @file
/// The request path of an entry instance.
#pragma once

#include "claim_log.h"
#include "endivewood_p.h"
#include "forward.h"
#include "long_runner.h"
#include "metrics.h"
#include "request_check.h"
#include "settings.h"
#include "slot_router.h"
#include "snapshot_author.h"

namespace endivewood {

/// Limits the requests in progress, in total and per service. Thread-safe.
class RequestLimiter {
 public:
  /// @returns false when a limit is reached or the limiter is closed.
  bool Enter(const ServiceName& service);
  void Leave(const ServiceName& service);

  /// Refuses every further request.
  void Close();
  bool closed() const { return m_closed; }
  int in_progress() const { return m_total; }

 private:
  std::mutex m_mutex;
  std::atomic<bool> m_closed{false};
  std::atomic<int> m_total{0};
  std::map<ServiceName, int> m_by_service;
};

/// An entry process: serves callers and operators over HTTP and follows the fleet stream.
class Entry {
 public:
  explicit Entry(const ProcessSettings& settings);

  /// Stops taking requests and answers those in progress.
  /// @param limit longest time to wait for the requests in progress.
  /// @param abort_wait ends the wait early when it becomes true.
  /// @returns the number of requests that were not answered.
  /// @attention Afterwards the process must exit without destroying the entry: threads that run
  /// long work still wait for upstreams.
  int Stop(Milliseconds limit, const std::atomic<bool>& abort_wait);

 private:
  HttpReply HandleCaller(const HttpRequest& request);
  HttpReply HandleService(const HttpRequest& request);
  HttpReply Serve(const ServiceRequest& request, const ServiceConfig& service);
  HttpReply HandleControl(const HttpRequest& request);
  std::vector<DumpValue> DumpValues() const;
  void UpdateGauges();
  HttpReply HandleResult(const HttpRequest& request);
  HttpReply AcceptLong(const ServiceRequest& request, const ServiceConfig& service);
  HttpReply RunClaimed(const ServiceRequest& request, const ServiceConfig& service);
  WorkOutcome Run(const ServiceRequest& request, const ServiceConfig& service);
  void FollowView();
  /// @returns the view that requests are checked against; the queue has already received it.
  std::shared_ptr<const FleetView> View() const;

  ProcessSettings m_settings;
  Incarnation m_incarnation;
  Clock m_clock;
  Metrics m_metrics;
  std::atomic<bool> m_stopping{false};
  mutable std::mutex m_view_mutex;
  std::shared_ptr<const FleetView> m_view = std::make_shared<const FleetView>();
  FleetFollower m_follower;
  PeerNode m_peers;
  SnapshotAuthor m_snapshots;
  ClaimLog m_claims;
  SlotRouter m_slots;
  UpstreamClient m_upstreams;
  Forwarder m_forwarder;
  LongRunner m_long;
  RequestLimiter m_limiter;
  std::thread m_view_thread;
  HttpServer m_caller_server;
  HttpServer m_control_server;
};

}  // namespace endivewood
