/// @file
/// Interfaces shared by the library's subsystems and its programs that embedders don't need.
#pragma once

#include <endivewood/endivewood.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace endivewood {

/// The name and HTTP status of a result code, as listed in docs/result-codes.md.
struct ResultCodeInfo {
  ResultCode code;
  const char* name;
  int http_status;
};

/// @returns every result code, in numerical order.
const std::vector<ResultCodeInfo>& ResultCodeTable();

/// Fills a buffer with random bytes from the operating system.
void FillRandom(unsigned char* data, std::size_t size);

// HTTP.

/// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// An HTTP request, received or to be sent.
struct HttpRequest {
  std::string method = "GET";
  std::string path;
  std::string query;  ///< Percent-encoded, without the question mark.
  std::vector<HttpHeader> headers;
  std::string body;

  /// @returns the value of a header, or an empty string.
  std::string Header(const std::string& name) const;
  /// @returns how many headers have a name.
  std::size_t CountHeaders(const std::string& name) const;
  /// @returns the decoded value of a query parameter, or `fallback`.
  std::string Parameter(const std::string& name, const std::string& fallback = "") const;
};

/// An HTTP response.
struct HttpReply {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

struct HttpServerOptions {
  Endpoint endpoint;
  unsigned max_threads = 64;
  std::size_t max_body_bytes = 1 << 20;
};

/// An HTTP listener that passes every request to one handler. The handler runs on the server's
/// threads and may block; each blocked request occupies one thread.
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

/// Why a client call got no reply.
enum class CallFailure : std::uint8_t {
  kNotSent,   ///< The connection was refused, so the request did not reach the peer.
  kNoAnswer,  ///< Sent at least in part, so it may have had an effect.
  kTimeout,   ///< As kNoAnswer, when the timeout expired.
  /// Not sent, as another process than the one it is meant for answers at the peer's address.
  kOtherProcess,
};

/// The result of a client call: a reply or a failure.
struct HttpOutcome {
  std::optional<HttpReply> reply;
  CallFailure failure = CallFailure::kNoAnswer;
  std::string detail;
};

/// Sends one request on a new connection and closes the connection. On a reused one, cxxtools would
/// send the request again when the peer has closed it, which can run a non-idempotent request
/// twice.
HttpOutcome HttpCall(const Endpoint& peer, const HttpRequest& request, Milliseconds timeout);

// Log service.

/// A record read from the log service.
struct LogRecord {
  std::uint64_t offset = 0;
  std::int64_t time_ms = 0;  ///< Unix time of the append, from the service.
  std::string payload;

  bool operator==(const LogRecord&) const = default;
};

/// The result of one read of a stream.
struct LogBatch {
  std::uint64_t first_offset = 0;  ///< Offset of the oldest record that has not expired.
  std::uint64_t next_offset = 0;   ///< Offset after the last record of the batch.
  std::vector<LogRecord> records;
};

/// Client of the platform's log service. Thread-safe.
class LogClient {
 public:
  /// @param data_centre sent with every call if valid.
  LogClient(Endpoint platform, Incarnation author, DataCentreName data_centre = {});

  /// Appends a record.
  /// @param reason kPlatformUnreachable when the record was not appended, kAppendUncertain when it
  /// may have been.
  /// @returns the offset of the record.
  std::optional<std::uint64_t> Append(const std::string& stream, const std::string& payload,
                                      Reason* reason) const;

  /// Reads records from an offset, waiting up to `wait` for the first one.
  /// @param reason kPlatformUnreachable, kOffsetExpired or kProtocolError.
  std::optional<LogBatch> Read(const std::string& stream, std::uint64_t from, std::size_t max,
                               Milliseconds wait, Reason* reason) const;

 private:
  Endpoint m_platform;
  Incarnation m_author;
  DataCentreName m_data_centre;
};

/// The state of a follower, as sent to a peer that restores it.
struct FollowerState {
  std::string state;                    ///< Encoded by FleetFold::Encode.
  std::uint64_t newest_snapshot = 0;    ///< Offset after the newest accepted snapshot, 0 for none.
  std::uint64_t previous_snapshot = 0;  ///< The same for the accepted snapshot before it.
  std::int64_t snapshot_time_ms = 0;    ///< `AcceptedSnapshots::time_ms`.

  bool operator==(const FollowerState&) const = default;
};

/// The two newest accepted snapshots that a reader has seen.
struct AcceptedSnapshots {
  std::optional<std::uint64_t> newest;    ///< Offset of the newest accepted snapshot record.
  std::optional<std::uint64_t> previous;  ///< Offset of the accepted snapshot record before it.
  /// Unix time of the newest snapshot record, or of the first record while there is none.
  std::int64_t time_ms = 0;

  /// Updates the members after the fold has applied a record.
  void Update(const LogRecord& record, const Verdict& verdict);
  bool operator==(const AcceptedSnapshots&) const = default;
};

struct FollowerOptions {
  /// Maximum wait for a peer's state when the next offset to read has expired.
  Milliseconds peer_state_wait{0};
};

/// Reads the fleet stream on a separate thread and publishes immutable views. Records are also
/// received from peers; both sources are applied to one fold in log order, so a view is never
/// replaced by an older one.
class FleetFollower {
 public:
  using VerdictHandler = std::function<void(std::uint64_t offset, const Verdict&)>;

  FleetFollower(LogClient client, VerdictHandler on_verdict, FollowerOptions options = {});
  ~FleetFollower();
  FleetFollower(const FleetFollower&) = delete;
  FleetFollower& operator=(const FleetFollower&) = delete;

  /// @returns the latest view; never null. Using it takes no lock.
  std::shared_ptr<const FleetView> View() const;

  /// @returns false while the platform can't be reached.
  bool Connected() const { return m_connected; }

  void Stop();

  /// Waits until the view includes the record at `offset`, but no longer than `limit`.
  bool WaitFor(std::uint64_t offset, Milliseconds limit) const;

  /// @returns the state to send to a peer.
  FollowerState State() const;

  /// Replaces the state with that of a peer if that is newer.
  bool RestoreState(const FollowerState& state);

  /// @returns the buffered records from an offset on, or no value when the buffer begins later.
  std::optional<std::vector<LogRecord>> BufferedRecords(std::uint64_t from) const;

  /// Applies records from the log or from a peer. Skips those applied before and stops at a gap.
  void ApplyRecords(const std::vector<LogRecord>& records);

  AcceptedSnapshots Snapshots() const;

  /// @returns the oldest offset that the log service retained when it was last read.
  std::uint64_t FirstRetained() const { return m_first_retained; }

 private:
  void Run();
  void Recover(std::uint64_t first_retained);
  void SearchSnapshot(std::uint64_t first_retained);
  void BufferRecord(const LogRecord& record);
  void Publish();
  bool Pause(Milliseconds duration);

  LogClient m_client;
  VerdictHandler m_on_verdict;
  FollowerOptions m_options;
  mutable std::mutex m_fold_mutex;  ///< Guards the members up to m_buffered_bytes.
  FleetFold m_fold;
  AcceptedSnapshots m_snapshots;
  std::deque<LogRecord> m_buffered;
  std::size_t m_buffered_bytes = 0;
  mutable std::mutex m_mutex;  ///< Guards m_view; taken after m_fold_mutex.
  mutable std::condition_variable m_changed;
  std::shared_ptr<const FleetView> m_view;
  std::atomic<std::uint64_t> m_first_retained{0};
  std::atomic<bool> m_connected{false};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

// Signals and files.

/// Blocks SIGTERM and SIGINT for WaitForStopSignal and ignores SIGPIPE. Call it before any thread
/// starts.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

/// Reads a whole file. @returns no value when it can't be opened.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace endivewood
