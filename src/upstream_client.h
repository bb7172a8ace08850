/// @file
/// Calls upstreams, with one outstanding request per connection, and interprets their answers.
#pragma once

#include "endivewood_p.h"
#include "slot_allocator.h"

namespace endivewood {

/// What the result of a call proves about the work.
enum class UpstreamEffect : std::uint8_t {
  kDone,    ///< Ran; the answer is complete and belongs to the request.
  kNotRun,  ///< Certainly not run.
  kMayHaveRun,
};

/// The interpretation of one call.
struct CallResult {
  UpstreamEffect effect = UpstreamEffect::kMayHaveRun;
  SlotOutcome slot = SlotOutcome::kFailed;

  bool operator==(const CallResult&) const = default;
};

/// Interprets the outcome of `POST /work`.
/// @param request_id the id that the request carried; an answer with another one is discarded.
CallResult ClassifyOutcome(const HttpOutcome& outcome, const std::string& request_id);

/// Calls upstreams. Thread-safe.
class UpstreamClient {
 public:
  explicit UpstreamClient(const Clock* clock);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Sends a request that may be sent twice, on an idle connection when there is one.
  /// @attention cxxtools sends the request again when the server has closed the idle connection.
  HttpOutcome CallRepeatable(const Endpoint& peer, const HttpRequest& request,
                             Milliseconds timeout);

  /// Sends a request at most once, on a new connection.
  HttpOutcome CallOnce(const Endpoint& peer, const HttpRequest& request, Milliseconds timeout);

 private:
  struct Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;

  ConnectionPtr TakeIdle(const Endpoint& peer);
  void PutIdle(const Endpoint& peer, ConnectionPtr connection);

  const Clock* m_clock;
  std::mutex m_mutex;
  std::map<Endpoint, std::vector<ConnectionPtr>> m_idle;
};

}  // namespace endivewood
