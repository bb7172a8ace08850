/// @file
/// HTTP client and server on libevent.
#include "async_http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "config.h"
#include "guarded.h"
#include "socket_options.h"

namespace endivewood {
namespace {

/// libevent's own timeout in seconds; every call has a shorter one.
constexpr int kLibeventTimeoutS = 60;

evhttp_cmd_type CommandOf(const std::string& method) {
  if (method == "POST") return EVHTTP_REQ_POST;
  if (method == "PUT") return EVHTTP_REQ_PUT;
  if (method == "DELETE") return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

const char* MethodOf(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_GET:
      return "GET";
    default:
      return "OTHER";
  }
}

/// Runs `change` on a connection's output, whose front bufferevent protects from other writers.
template <typename Change>
void ChangeFront(evbuffer* output, Change change) {
  constexpr int kAtFront = 1;
  evbuffer_unfreeze(output, kAtFront);
  change();
  evbuffer_freeze(output, kAtFront);
}

std::string TakeBody(evbuffer* buffer) {
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

/// @returns the size of a message; `first_line` is that of its request or status line.
std::size_t SizeOf(std::size_t first_line, const std::vector<HttpHeader>& headers,
                   const std::string& body) {
  constexpr std::size_t kSeparators = 4;
  std::size_t size = first_line + body.size() + kSeparators;
  for (const HttpHeader& header : headers) {
    size += header.name.size() + header.value.size() + kSeparators;
  }
  return size;
}

std::vector<HttpHeader> CopyHeaders(evkeyvalq* headers) {
  std::vector<HttpHeader> copied;
  for (evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
    copied.push_back({header->key, header->value});
  }
  return copied;
}

}  // namespace

struct AsyncHttpClient::Pending {
  HttpRequest request;
  Callback callback;
  PeerProcess process;
  Milliseconds timeout{0};
  Milliseconds called_at{0};  ///< By AsyncHttpClientOptions::clock.
  EventLoop::TimerId timer = 0;
  int timeouts = 0;          ///< Expired timeouts, including those after which it went on.
  std::size_t unsent = 0;    ///< Bytes of the request in the output buffer at the last timeout.
  std::size_t received = 0;  ///< Bytes of the answer in the input buffer at the last timeout.
};

struct AsyncHttpClient::Connection {
  AsyncHttpClient* client = nullptr;
  Peer* peer = nullptr;
  evhttp_connection* handle = nullptr;
  evhttp_request* request = nullptr;
  std::unique_ptr<Pending> pending;
  std::int64_t identity = 0;     ///< Of its process, see PeerProcess; 0: not known.
  bool querying = false;         ///< The request is the query for the identity.
  bool connecting = false;       ///< The request waits for the connection to be established.
  bool discards_output = false;  ///< It was established after the call's timeout.
  Milliseconds unacknowledged_limit{0};  ///< See SetUnacknowledgedLimit.
};

struct AsyncHttpClient::Peer {
  Endpoint endpoint;
  std::vector<std::unique_ptr<Connection>> connections;
  std::deque<std::unique_ptr<Pending>> waiting;
};

AsyncHttpClient::AsyncHttpClient(EventLoop* loop, const AsyncHttpClientOptions& options)
    : m_loop(loop), m_options(options) {}

AsyncHttpClient::~AsyncHttpClient() {
  for (auto& [endpoint, peer] : m_peers) {
    for (auto& connection : peer->connections) evhttp_connection_free(connection->handle);
  }
}

void AsyncHttpClient::Call(const Endpoint& peer, HttpRequest request, Milliseconds timeout,
                           Callback callback, PeerProcess process) {
  auto& entry = m_peers[peer];
  if (!entry) {
    entry = std::make_unique<Peer>();
    entry->endpoint = peer;
  }
  Peer* const target = entry.get();
  auto pending = std::make_unique<Pending>();
  pending->request = std::move(request);
  pending->callback = std::move(callback);
  pending->process = std::move(process);
  pending->timeout = timeout;
  if (m_options.clock != nullptr) pending->called_at = m_options.clock->Now();
  Pending* const raw = pending.get();
  pending->timer = m_loop->After(timeout, [this, target, raw] { Expire(target, raw); });
  target->waiting.push_back(std::move(pending));
  Dispatch(target);
}

void AsyncHttpClient::Expire(Peer* peer, Pending* pending) {
  pending->timer = 0;
  for (const auto& connection : peer->connections) {
    if (connection->pending.get() != pending) continue;
    if (MakesProgress(connection.get())) {
      pending->timer =
          m_loop->After(pending->timeout, [this, peer, pending] { Expire(peer, pending); });
      return;
    }
    const CallFailure failure =
        connection->querying ? CallFailure::kNotSent : CallFailure::kTimeout;
    Finish(connection.get(), {.reply = std::nullopt, .failure = failure, .detail = "timeout"});
    return;
  }
  const auto waiting = std::find_if(peer->waiting.begin(), peer->waiting.end(),
                                    [&](const auto& each) { return each.get() == pending; });
  if (waiting == peer->waiting.end()) return;
  const std::unique_ptr<Pending> expired = std::move(*waiting);
  peer->waiting.erase(waiting);
  expired->callback(
      {.reply = std::nullopt, .failure = CallFailure::kNotSent, .detail = "no connection free"});
}

bool AsyncHttpClient::IsOverdue(const Pending& pending) const {
  return m_options.clock != nullptr && m_options.clock->Now() > pending.called_at + pending.timeout;
}

void AsyncHttpClient::FailUnsent(std::unique_ptr<Pending> pending, const char* detail) {
  if (pending->timer != 0) m_loop->Cancel(pending->timer);
  // From the loop, because the callback may start new calls.
  m_loop->After(Milliseconds{0}, [failed = std::shared_ptr<Pending>(std::move(pending)), detail] {
    failed->callback({.reply = std::nullopt, .failure = CallFailure::kNotSent, .detail = detail});
  });
}

/// @returns whether part of the request has left, or part of the answer has arrived, since the last
/// timeout. A repeated call would transfer the same bytes again.
bool AsyncHttpClient::MakesProgress(Connection* connection) {
  Pending& pending = *connection->pending;
  bufferevent* const stream = evhttp_connection_get_bufferevent(connection->handle);
  const std::size_t unsent = evbuffer_get_length(bufferevent_get_output(stream));
  const std::size_t received = evbuffer_get_length(bufferevent_get_input(stream));
  // With the whole request sent and nothing received, nothing shows that the peer is there.
  const bool sending = unsent > 0 && unsent < pending.unsent;
  const bool receiving = received > pending.received;
  pending.unsent = unsent;
  pending.received = received;
  return (sending || receiving) && ++pending.timeouts < config::kMaxTransferTimeouts;
}

AsyncHttpClient::Connection* AsyncHttpClient::Connect(Peer* peer) {
  auto connection = std::make_unique<Connection>();
  connection->client = this;
  connection->peer = peer;
  connection->handle = evhttp_connection_base_new(
      m_loop->base(), nullptr, peer->endpoint.address.c_str(), peer->endpoint.port);
  evhttp_connection_set_timeout(connection->handle, kLibeventTimeoutS);
  bufferevent* const stream = evhttp_connection_get_bufferevent(connection->handle);
  evbuffer_add_cb(bufferevent_get_output(stream), &AsyncHttpClient::OnOutput, connection.get());
  peer->connections.push_back(std::move(connection));
  ++m_connections_opened;
  return peer->connections.back().get();
}

std::int64_t AsyncHttpClient::IdentityOf(const Connection& connection) {
  const bool connected =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection.handle)) >= 0;
  return connected ? connection.identity : 0;
}

AsyncHttpClient::Connection* AsyncHttpClient::ConnectionFor(Peer* peer, const Pending& pending) {
  const std::int64_t identity = pending.process.identity;
  Connection* idle = nullptr;
  std::vector<Connection*> of_other_processes;
  for (const auto& connection : peer->connections) {
    if (connection->pending != nullptr) continue;
    const std::int64_t known = IdentityOf(*connection);
    if (identity != 0 && known == identity) return connection.get();
    if (identity != 0 && known != 0) {
      of_other_processes.push_back(connection.get());
    } else {
      idle = connection.get();
    }
  }
  if (idle != nullptr) return idle;
  // Their processes may have ended without a reset.
  for (Connection* const connection : of_other_processes) Discard(connection);
  return peer->connections.size() < m_options.max_connections ? Connect(peer) : nullptr;
}

void AsyncHttpClient::Dispatch(Peer* peer) {
  while (!peer->waiting.empty()) {
    if (IsOverdue(*peer->waiting.front())) {
      FailUnsent(std::move(peer->waiting.front()), "sent too late");
      peer->waiting.pop_front();
      continue;
    }
    Connection* const connection = ConnectionFor(peer, *peer->waiting.front());
    if (connection == nullptr) return;
    std::unique_ptr<Pending> next = std::move(peer->waiting.front());
    peer->waiting.pop_front();
    Send(connection, std::move(next));
  }
}

void AsyncHttpClient::Send(Connection* connection, std::unique_ptr<Pending> pending) {
  connection->identity = IdentityOf(*connection);
  connection->querying = pending->process.identity != 0 && connection->identity == 0;
  connection->pending = std::move(pending);
  const Pending& call = *connection->pending;
  Transmit(connection, connection->querying ? call.process.query() : call.request);
}

void AsyncHttpClient::Transmit(Connection* connection, const HttpRequest& message) {
  evhttp_request* const request = evhttp_request_new(&AsyncHttpClient::OnReply, connection);
  evkeyvalq* const headers = evhttp_request_get_output_headers(request);
  if (message.Header("Host").empty()) {
    evhttp_add_header(headers, "Host", connection->peer->endpoint.str().c_str());
  }
  for (const HttpHeader& header : message.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request), message.body.data(), message.body.size());
  const std::string target =
      message.query.empty() ? message.path : message.path + "?" + message.query;
  m_traffic.sent += SizeOf(target.size(), message.headers, message.body);
  connection->request = request;
  // The output buffer stays empty until the connection is established.
  connection->pending->unsent = message.body.size();
  connection->pending->received = 0;
  // An idle connection that the peer has closed is established anew.
  bufferevent* const stream = evhttp_connection_get_bufferevent(connection->handle);
  connection->connecting = bufferevent_getfd(stream) < 0;
  const evhttp_cmd_type command = CommandOf(message.method);
  if (evhttp_make_request(connection->handle, request, command, target.c_str()) == 0) {
    ConfigureSocket(connection);
    if (!connection->connecting) WriteNow(connection);
    return;
  }
  // On failure libevent has freed the request, or won't call back for it.
  connection->request = nullptr;
  FinishLater(connection, CallFailure::kNotSent, "connection failed");
}

/// Bounds how long the operating system sends a request when this process can't reset the
/// connection any more, because it is paused or was killed.
void AsyncHttpClient::ConfigureSocket(Connection* connection) {
  const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection->handle));
  if (fd < 0) return;
  if (connection->connecting) ResetOnClose(fd);
  const Milliseconds limit = connection->pending->timeout;
  if (!connection->connecting && connection->unacknowledged_limit == limit) return;
  connection->unacknowledged_limit = limit;
  SetUnacknowledgedLimit(fd, limit);
}

/// Writes the request at once. In the loop's next pass it would be written after a pause of the
/// process, if one begins before.
void AsyncHttpClient::WriteNow(Connection* connection) {
  bufferevent* const stream = evhttp_connection_get_bufferevent(connection->handle);
  evbuffer* const output = bufferevent_get_output(stream);
  // On an error the loop's write fails too, and ends the call.
  ChangeFront(output, [&] { evbuffer_write(output, bufferevent_getfd(stream)); });
}

/// libevent writes a request to the output once the connection is established.
void AsyncHttpClient::OnOutput(evbuffer* output, const evbuffer_cb_info* change, void* argument) {
  auto* const connection = static_cast<Connection*>(argument);
  if (change->n_added == 0 || connection->pending == nullptr) return;
  if (std::exchange(connection->connecting, false) &&
      connection->client->IsOverdue(*connection->pending)) {
    connection->discards_output = true;
    connection->client->FinishLater(connection, CallFailure::kNotSent, "connected too late");
  }
  if (!connection->discards_output) return;
  ChangeFront(output, [&] { evbuffer_drain(output, evbuffer_get_length(output)); });
}

void AsyncHttpClient::FinishLater(Connection* connection, CallFailure failure, const char* detail) {
  m_loop->After(Milliseconds{0}, [this, peer = connection->peer, connection,
                                  raw = connection->pending.get(), failure, detail] {
    const bool alive = std::any_of(peer->connections.begin(), peer->connections.end(),
                                   [&](const auto& each) { return each.get() == connection; });
    if (!alive || connection->pending.get() != raw) return;
    Finish(connection, {.reply = std::nullopt, .failure = failure, .detail = detail});
  });
}

void AsyncHttpClient::OnReply(evhttp_request* request, void* argument) {
  auto* const connection = static_cast<Connection*>(argument);
  if (connection->pending == nullptr) return;
  connection->request = nullptr;
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
    const CallFailure failure =
        connection->querying ? CallFailure::kNotSent : CallFailure::kNoAnswer;
    connection->client->FinishLater(connection, failure, "connection closed");
    return;
  }
  HttpReply reply{.status = evhttp_request_get_response_code(request),
                  .headers = CopyHeaders(evhttp_request_get_input_headers(request)),
                  .body = TakeBody(evhttp_request_get_input_buffer(request))};
  connection->client->m_traffic.received += SizeOf(0, reply.headers, reply.body);
  RunGuarded("http-reply", [&] {
    if (!connection->client->HandleIdentity(connection, reply)) return;
    connection->client->Finish(
        connection, {.reply = std::move(reply), .failure = CallFailure::kNoAnswer, .detail = ""});
  });
}

/// Otherwise a peer whose answers take over half of the timeout would execute calls that never get
/// their answers, since each of them would begin with a query again.
void AsyncHttpClient::RestartTimeout(Connection* connection) {
  Pending* const pending = connection->pending.get();
  if (pending->timer != 0) m_loop->Cancel(pending->timer);
  pending->timer = m_loop->After(
      pending->timeout, [this, peer = connection->peer, pending] { Expire(peer, pending); });
}

bool AsyncHttpClient::HandleIdentity(Connection* connection, const HttpReply& reply) {
  constexpr int kOk = 200;
  const Pending& call = *connection->pending;
  if (connection->identity == 0 && call.process.identity_of) {
    connection->identity = call.process.identity_of(reply);
  }
  if (!std::exchange(connection->querying, false) || reply.status != kOk) return true;
  // The reply may also have closed the connection.
  if (IdentityOf(*connection) != call.process.identity) {
    FinishLater(connection, CallFailure::kOtherProcess, "another process answers");
  } else if (IsOverdue(call)) {
    FinishLater(connection, CallFailure::kNotSent, "sent too late");
  } else {
    RestartTimeout(connection);
    Transmit(connection, call.request);
  }
  return false;
}

void AsyncHttpClient::Finish(Connection* connection, HttpOutcome outcome) {
  const std::unique_ptr<Pending> pending = std::move(connection->pending);
  Peer* const peer = connection->peer;
  if (pending->timer != 0) m_loop->Cancel(pending->timer);
  if (!outcome.reply) Discard(connection);
  Dispatch(peer);
  pending->callback(std::move(outcome));
}

void AsyncHttpClient::Discard(Connection* connection) {
  auto& connections = connection->peer->connections;
  const auto found = std::find_if(connections.begin(), connections.end(),
                                  [&](const auto& each) { return each.get() == connection; });
  const std::unique_ptr<Connection> discarded = std::move(*found);
  connections.erase(found);
  const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(discarded->handle));
  if (fd >= 0) ResetOnClose(fd);
  if (discarded->request != nullptr) evhttp_cancel_request(discarded->request);
  evhttp_connection_free(discarded->handle);
}

/// One request and its connection.
struct AsyncHttpListener::Exchange {
  AsyncHttpListener* listener = nullptr;
  evhttp_request* request = nullptr;  ///< nullptr once answered or once the connection is closed.
};

AsyncHttpListener::AsyncHttpListener(EventLoop* loop, const AsyncHttpListenerOptions& options,
                                     Handler handler)
    : m_http(evhttp_new(loop->base())), m_handler(std::move(handler)) {
  evhttp_set_gencb(m_http, &AsyncHttpListener::OnRequest, this);
  evhttp_set_default_content_type(m_http, "application/json");
  evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
  SetLimits(options);
  if (evhttp_bind_socket(m_http, options.endpoint.address.c_str(), options.endpoint.port) != 0) {
    evhttp_free(m_http);
    throw std::runtime_error("can't listen on " + options.endpoint.str());
  }
}

AsyncHttpListener::~AsyncHttpListener() { evhttp_free(m_http); }

void AsyncHttpListener::SetLimits(const AsyncHttpListenerOptions& options) {
  evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(options.max_header_bytes));
  evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(options.max_body_bytes));
  const timeval idle{.tv_sec = options.idle_timeout.count() / 1000, .tv_usec = 0};
  evhttp_set_timeout_tv(m_http, &idle);
}

void AsyncHttpListener::OnRequest(evhttp_request* request, void* argument) {
  auto* const listener = static_cast<AsyncHttpListener*>(argument);
  auto exchange = std::make_shared<Exchange>();
  exchange->listener = listener;
  exchange->request = request;
  ++listener->m_in_progress;
  // A connection carries one request at a time, so closing it ends this exchange.
  auto* const watched = new std::weak_ptr<Exchange>(exchange);
  evhttp_connection_set_closecb(
      evhttp_request_get_connection(request),
      [](evhttp_connection*, void* reference) {
        const std::unique_ptr<std::weak_ptr<Exchange>> owned(
            static_cast<std::weak_ptr<Exchange>*>(reference));
        const auto closed = owned->lock();
        if (!closed || closed->request == nullptr) return;
        closed->request = nullptr;
        --closed->listener->m_in_progress;
      },
      watched);
  const evhttp_uri* const uri = evhttp_request_get_evhttp_uri(request);
  const char* const path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  const char* const query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
  HttpRequest message{.method = MethodOf(evhttp_request_get_command(request)),
                      .path = path == nullptr ? "" : path,
                      .query = query == nullptr ? "" : query,
                      .headers = CopyHeaders(evhttp_request_get_input_headers(request)),
                      .body = TakeBody(evhttp_request_get_input_buffer(request))};
  const auto respond = [listener, exchange, watched](const HttpReply& reply) {
    if (exchange->request == nullptr) return;
    evhttp_connection_set_closecb(evhttp_request_get_connection(exchange->request), nullptr,
                                  nullptr);
    delete watched;
    listener->Answer(exchange, reply);
  };
  const bool handled =
      RunGuarded("http-request", [&] { listener->m_handler(std::move(message), respond); });
  // The handler may have acted before it failed, so the answer must not say that it hasn't.
  constexpr int kOutcomeUnknown = 504;
  if (!handled) respond({.status = kOutcomeUnknown, .headers = {}, .body = "{}"});
}

void AsyncHttpListener::Answer(const std::shared_ptr<Exchange>& exchange, const HttpReply& reply) {
  evhttp_request* const request = std::exchange(exchange->request, nullptr);
  --m_in_progress;
  evkeyvalq* const headers = evhttp_request_get_output_headers(request);
  for (const HttpHeader& header : reply.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  if (m_closing) evhttp_add_header(headers, "Connection", "close");
  evbuffer* const body = evbuffer_new();
  evbuffer_add(body, reply.body.data(), reply.body.size());
  evhttp_send_reply(request, reply.status, nullptr, body);
  evbuffer_free(body);
}

}  // namespace endivewood
