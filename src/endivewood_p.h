/// @file
/// Interfaces that the library's subsystems and programs share but embedders don't need.
#pragma once

#include <endivewood/endivewood.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace endivewood {

/// A row of docs/result-codes.md.
struct ResultCodeInfo {
  ResultCode code;
  const char* name;
  int http_status;
};

/// @returns every result code, in numerical order.
const std::vector<ResultCodeInfo>& ResultCodeTable();

/// Fills a buffer with random bytes from the operating system.
void FillRandom(unsigned char* data, std::size_t size);

// ---------------------------------------------------------------------------------------------
// HTTP

/// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// A request as a handler or a client sees it.
struct HttpRequest {
  std::string method = "GET";
  std::string path;
  std::string query;  ///< Without the question mark, still encoded.
  std::vector<HttpHeader> headers;
  std::string body;

  /// @returns the value of a header, or an empty string.
  std::string Header(const std::string& name) const;
  /// @returns the decoded value of a query parameter, or `fallback`.
  std::string Parameter(const std::string& name, const std::string& fallback = "") const;
};

/// An answer.
struct HttpReply {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

/// Options of a listener.
struct HttpServerOptions {
  Endpoint endpoint;
  unsigned max_threads = 64;
  std::size_t max_body_bytes = 1 << 20;
};

/// A listener that passes every request to one handler. The handler runs on the server's threads
/// and may block; each blocked request holds one thread.
class HttpServer {
 public:
  HttpServer(const HttpServerOptions& options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Closes the listener after the requests in progress have been answered.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// What a client call learned when it got no answer.
enum class CallFailure : std::uint8_t {
  kNotSent,   ///< The connection was refused: the request surely did not reach the peer.
  kNoAnswer,  ///< Sent or partly sent: the effect is not known.
  kTimeout,   ///< As kNoAnswer, after the timeout.
};

/// The result of a client call: a reply or a failure.
struct HttpOutcome {
  std::optional<HttpReply> reply;
  CallFailure failure = CallFailure::kNoAnswer;
  std::string detail;
};

/// Sends one request on a new connection and closes it.
/// @attention A new connection is used because cxxtools sends a request again when a reused
/// connection turns out to be closed, which would run a non-idempotent request twice.
HttpOutcome HttpCall(const Endpoint& peer, const HttpRequest& request, Milliseconds timeout);

// ---------------------------------------------------------------------------------------------
// Log service

/// A record as the log service returns it.
struct LogRecord {
  std::uint64_t offset = 0;
  std::int64_t time_ms = 0;  ///< Unix time of the append, from the service.
  std::string payload;
};

/// One read of a stream.
struct LogBatch {
  std::uint64_t first_offset = 0;  ///< Oldest record that has not expired.
  std::uint64_t next_offset = 0;   ///< Offset after the last record of the batch.
  std::vector<LogRecord> records;
};

/// Client of the platform's log service. Thread-safe.
class LogClient {
 public:
  LogClient(Endpoint platform, Incarnation author);

  /// Appends a record.
  /// @param reason kPlatformUnreachable when the record was surely not appended, kAppendUncertain
  /// when it may have been.
  /// @returns the offset.
  std::optional<std::uint64_t> Append(const std::string& stream, const std::string& payload,
                                      Reason* reason) const;

  /// Reads records from an offset, waiting up to `wait` for the first one.
  /// @param reason kPlatformUnreachable, kOffsetExpired or kProtocolError.
  std::optional<LogBatch> Read(const std::string& stream, std::uint64_t from, std::size_t max,
                               Milliseconds wait, Reason* reason) const;

 private:
  Endpoint m_platform;
  Incarnation m_author;
};

/// Follows the fleet stream on a thread of its own and publishes immutable views.
class FleetFollower {
 public:
  using VerdictHandler = std::function<void(std::uint64_t offset, const Verdict&)>;

  FleetFollower(LogClient client, VerdictHandler on_verdict);
  ~FleetFollower();
  FleetFollower(const FleetFollower&) = delete;
  FleetFollower& operator=(const FleetFollower&) = delete;

  /// @returns the latest view; never null. Readers hold no lock while they use it.
  std::shared_ptr<const FleetView> View() const;

  /// @returns false while the platform can't be reached.
  bool Connected() const { return m_connected; }

  void Stop();

 private:
  void Run();
  void ApplyBatch(const LogBatch& batch);

  LogClient m_client;
  VerdictHandler m_on_verdict;
  FleetFold m_fold;
  std::uint64_t m_next = 0;
  mutable std::mutex m_mutex;
  std::shared_ptr<const FleetView> m_view;
  std::atomic<bool> m_connected{false};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

// ---------------------------------------------------------------------------------------------
// Process helpers

/// Blocks the signals that end a process; call it before any thread starts.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

/// Reads a whole file.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace endivewood
