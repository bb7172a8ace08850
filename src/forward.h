/// @file
/// Runs one request on an upstream: slot, call, and retries where nothing can run twice.
#pragma once

#include "retry.h"
#include "slot_router.h"
#include "upstream_client.h"

namespace endivewood {

/// Work for an upstream.
struct WorkRequest {
  ServiceConfig service;
  std::string key;  ///< Passed on to the upstream when not empty.
  Milliseconds queue_deadline{2000};
  std::string body;
};

/// How the work ended. A not-run code is given only when no call may have run the work.
struct WorkOutcome {
  ResultCode code = ResultCode::kOk;
  std::string body;
  std::chrono::microseconds waited{0};  ///< For slots.
  int retries = 0;
};

/// Runs requests. Thread-safe.
class Forwarder {
 public:
  /// @param slots where grants come from.
  Forwarder(SlotRouter* slots, UpstreamClient* client, const Clock* clock);

  /// Blocks until the work is done, refused or failed.
  WorkOutcome Run(const WorkRequest& work);

 private:
  class Attempts;

  UpstreamReading CallUpstream(const WorkRequest& work, const SlotGrant& grant,
                               std::string* answer);
  std::optional<SlotGrant> AcquireSlot(const WorkRequest& work, Milliseconds started,
                                       const Attempts& attempts, WorkOutcome* outcome);
  bool MayRetry(const ServiceName& service);

  SlotRouter* m_slots;
  UpstreamClient* m_client;
  const Clock* m_clock;
  std::mutex m_mutex;
  std::map<ServiceName, RetryBudget> m_budgets;
};

}  // namespace endivewood
