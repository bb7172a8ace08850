/// @file
/// Runs one request on an upstream: acquires a slot, calls the upstream, and retries where that
/// can't run non-idempotent work twice.
#pragma once

#include "retry.h"
#include "slot_router.h"
#include "upstream_client.h"

namespace endivewood {

/// Work for an upstream.
struct WorkRequest {
  ServiceConfig service;
  std::string key;  ///< Idempotency key; sent to the upstream when not empty.
  Milliseconds queue_deadline{2000};
  std::string body;
};

/// How the work ended. A not-run code means that no call can have run the work.
struct WorkOutcome {
  ResultCode code = ResultCode::kOk;
  std::string body;
  std::chrono::microseconds waited{0};  ///< Time in queues.
  int retries = 0;
};

/// Runs requests. Thread-safe.
class Forwarder {
 public:
  /// The arguments must outlive the forwarder.
  Forwarder(SlotRouter* slots, UpstreamClient* client, const Clock* clock);

  /// Blocks until the work is done, refused or failed.
  WorkOutcome Run(const WorkRequest& work);

 private:
  class AttemptHistory;

  CallResult CallUpstream(const WorkRequest& work, const SlotGrant& grant, std::string* answer);
  std::optional<SlotGrant> AcquireSlot(const WorkRequest& work, Milliseconds started,
                                       const AttemptHistory& history, WorkOutcome* outcome);
  /// Takes a retry from the budget of a service, if there is one.
  bool SpendRetry(const ServiceName& service);

  SlotRouter* m_slots;
  UpstreamClient* m_client;
  const Clock* m_clock;
  std::mutex m_mutex;
  std::map<ServiceName, RetryBudget> m_budgets;
};

}  // namespace endivewood
