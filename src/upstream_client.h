/// @file
/// Calls to upstreams: one outstanding request per connection, and what an answer proves.
#pragma once

#include "endivewood_p.h"
#include "slot_allocator.h"

namespace endivewood {

/// What one call to an upstream proves about the work.
enum class UpstreamEffect : std::uint8_t {
  kDone,    ///< Run; the answer is complete and belongs to the request.
  kNotRun,  ///< Certainly not run.
  kMayHaveRun,
};

/// The interpretation of one call.
struct UpstreamReading {
  UpstreamEffect effect = UpstreamEffect::kMayHaveRun;
  SlotOutcome slot = SlotOutcome::kFailed;

  bool operator==(const UpstreamReading&) const = default;
};

/// Interprets the outcome of `POST /work`.
/// @param request_id the id that the request carried; an answer with another one is discarded.
UpstreamReading ReadOutcome(const HttpOutcome& outcome, const std::string& request_id);

/// Calls upstreams. Thread-safe.
class UpstreamClient {
 public:
  explicit UpstreamClient(const Clock* clock);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Sends a request that may be sent twice, on a kept connection when there is one.
  /// @attention cxxtools sends the request again when a kept connection turns out closed.
  HttpOutcome CallRepeatable(const Endpoint& peer, const HttpRequest& request,
                             Milliseconds timeout);

  /// Sends a request at most once, on a connection of its own.
  HttpOutcome CallOnce(const Endpoint& peer, const HttpRequest& request, Milliseconds timeout);

 private:
  struct Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;

  ConnectionPtr TakeIdle(const Endpoint& peer);
  void Keep(const Endpoint& peer, ConnectionPtr connection);

  const Clock* m_clock;
  std::mutex m_mutex;
  std::map<Endpoint, std::vector<ConnectionPtr>> m_idle;
};

}  // namespace endivewood
