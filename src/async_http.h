/// @file
/// Asynchronous HTTP/1.1 client and server on one event loop, on libevent.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "endivewood_p.h"
#include "event_loop.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp;
struct evhttp_request;

namespace endivewood {

/// Bytes of messages, without the overhead of TCP and IP.
struct Traffic {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

struct AsyncHttpClientOptions {
  /// Maximum number of connections to one peer; further calls wait for a free one.
  std::size_t max_connections = 4;
  /// Time after which an idle connection is closed.
  Milliseconds idle_timeout{30000};
  /// Counts suspended time, unlike the loop's timers. With it, a call isn't sent after its timeout,
  /// even if the process was paused while the call waited for its connection.
  const Clock* clock = nullptr;
};

/// Restricts a call to one process at the peer's address, which may have been replaced by another
/// one without the caller's knowledge. A connection never changes its process.
struct PeerProcess {
  /// Names the process; 0: any process may get the call.
  std::int64_t identity = 0;
  /// Creates a request without effect that is sent first on a connection whose process isn't known.
  /// If it is rejected, the rejection is the call's reply.
  std::function<HttpRequest()> query;
  /// @returns the identity that a reply states; 0: none.
  std::function<std::int64_t(const HttpReply&)> identity_of;
};

/// HTTP client that keeps connections to its peers open and reuses them.
class AsyncHttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;

  AsyncHttpClient(EventLoop* loop, const AsyncHttpClientOptions& options);
  ~AsyncHttpClient();

  /// Sends one request. The callback runs exactly once, after this has returned. A call fails with
  /// a timeout, and its connection is closed, once it has made no progress for `timeout`, or at the
  /// latest after kMaxTransferTimeouts times as long. A late answer is therefore never taken for
  /// the answer to another call, and a large one isn't cut while it arrives. A request that the
  /// peer's host hasn't acknowledged within `timeout`, or when this process ends, is dropped.
  /// @param process a call that is meant for another process than the one that answers at the
  /// peer's address fails with kOtherProcess.
  void Call(const Endpoint& peer, HttpRequest request, Milliseconds timeout, Callback callback,
            PeerProcess process = {});

  /// Closes connections to peers that have not been called for the idle timeout.
  void CloseIdle(Milliseconds now);

  std::uint64_t connections_opened() const { return m_connections_opened; }
  const Traffic& traffic() const { return m_traffic; }

 private:
  struct Connection;
  struct Pending;
  struct Peer;

  void Expire(Peer* peer, Pending* pending);
  bool IsOverdue(const Pending& pending) const;
  void FailUnsent(std::unique_ptr<Pending> pending, const char* detail);
  static bool MakesProgress(Connection* connection);
  void Dispatch(Peer* peer);
  Connection* Connect(Peer* peer);
  /// @returns the identity of the connection's process; 0: not known, or not connected.
  static std::int64_t IdentityOf(const Connection& connection);
  /// @returns an idle or new connection that may carry the call, or nullptr.
  Connection* ConnectionFor(Peer* peer, const Pending& pending);
  void Send(Connection* connection, std::unique_ptr<Pending> pending);
  void Transmit(Connection* connection, const HttpRequest& message);
  /// Gives the call the whole timeout for its answer, after that to the query.
  void RestartTimeout(Connection* connection);
  /// Notes the identity that the reply states. After a query, sends the call if it is meant for
  /// that process.
  /// @returns whether the reply is that of the call.
  bool HandleIdentity(Connection* connection, const HttpReply& reply);
  static void ConfigureSocket(Connection* connection);
  static void WriteNow(Connection* connection);
  /// Finishes the connection's call from the loop, unless it has ended by then. A connection must
  /// not be freed inside its own callback.
  void FinishLater(Connection* connection, CallFailure failure, const char* detail);
  void Finish(Connection* connection, HttpOutcome outcome);
  void Discard(Connection* connection);
  static void OnReply(evhttp_request* request, void* connection);
  static void OnOutput(evbuffer* output, const evbuffer_cb_info* change, void* connection);

  EventLoop* m_loop;
  AsyncHttpClientOptions m_options;
  std::map<Endpoint, std::unique_ptr<Peer>> m_peers;
  std::uint64_t m_connections_opened = 0;
  Traffic m_traffic;
};

struct AsyncHttpListenerOptions {
  Endpoint endpoint;
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 262144;
  Milliseconds idle_timeout{15000};
};

/// HTTP server that passes each request to a handler, which may answer at any later time.
class AsyncHttpListener {
 public:
  using Responder = std::function<void(const HttpReply&)>;
  using Handler = std::function<void(HttpRequest, Responder)>;

  /// @throws std::runtime_error when the address can't be bound.
  AsyncHttpListener(EventLoop* loop, const AsyncHttpListenerOptions& options, Handler handler);
  ~AsyncHttpListener();
  AsyncHttpListener(const AsyncHttpListener&) = delete;
  AsyncHttpListener& operator=(const AsyncHttpListener&) = delete;

  /// Applies new limits to requests that arrive from now on.
  void SetLimits(const AsyncHttpListenerOptions& options);

  /// Makes every answer from now on close its connection.
  void CloseAfterReplies() { m_closing = true; }

  /// @returns the number of complete requests that have not been answered.
  std::size_t in_progress() const { return m_in_progress; }

 private:
  struct Exchange;
  static void OnRequest(evhttp_request* request, void* listener);
  void Answer(const std::shared_ptr<Exchange>& exchange, const HttpReply& reply);

  evhttp* m_http;
  Handler m_handler;
  bool m_closing = false;
  std::size_t m_in_progress = 0;
};

}  // namespace endivewood
