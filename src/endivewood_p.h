/// @file
/// Interfaces that the library's subsystems and programs share but embedders don't need.
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

  bool operator==(const LogRecord&) const = default;
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
  /// @param data_centre sent with every call when it is valid.
  LogClient(Endpoint platform, Incarnation author, DataCentreName data_centre = {});

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
  DataCentreName m_data_centre;
};

/// The state of a follower as a peer takes it over.
struct FollowerState {
  std::string state;                  ///< Encoded by FleetFold::Encode.
  std::uint64_t newest_snapshot = 0;  ///< Offset after the newest accepted snapshot, 0 for none.
  std::uint64_t second_snapshot = 0;  ///< The same of the one before.
  std::int64_t snapshot_time_ms = 0;

  bool operator==(const FollowerState&) const = default;
};

/// The accepted snapshots that a reader knows.
struct SnapshotMarks {
  std::optional<std::uint64_t> newest;  ///< Offset of the newest accepted snapshot record.
  std::optional<std::uint64_t> second;  ///< Offset of the accepted one before.
  /// Unix time of the newest, or of the first record while there is none.
  std::int64_t time_ms = 0;

  void Note(const LogRecord& record, const Verdict& verdict);
  bool operator==(const SnapshotMarks&) const = default;
};

/// Options of a FleetFollower.
struct FollowerOptions {
  /// Time to wait for a peer's state when the next offset has expired.
  Milliseconds peer_state_wait{0};
};

/// Follows the fleet stream on a thread of its own and publishes immutable views. Records also come
/// from peers; both sources go through the same fold in log order, and the view never goes back.
class FleetFollower {
 public:
  using VerdictHandler = std::function<void(std::uint64_t offset, const Verdict&)>;

  FleetFollower(LogClient client, VerdictHandler on_verdict, FollowerOptions options = {});
  ~FleetFollower();
  FleetFollower(const FleetFollower&) = delete;
  FleetFollower& operator=(const FleetFollower&) = delete;

  /// @returns the latest view; never null. Readers hold no lock while they use it.
  std::shared_ptr<const FleetView> View() const;

  /// @returns false while the platform can't be reached.
  bool Connected() const { return m_connected; }

  void Stop();

  /// Waits until the view includes the record at `offset`, for at most `limit`.
  bool WaitFor(std::uint64_t offset, Milliseconds limit) const;

  /// @returns the state for a peer.
  FollowerState State() const;

  /// Takes over the state of a peer when it is newer.
  bool RestoreState(const FollowerState& state);

  /// @returns kept records from an offset on, or no value when the first of them is not kept.
  std::optional<std::vector<LogRecord>> KeptRecords(std::uint64_t from) const;

  /// Applies records of the log or of a peer. Known ones are passed over; a gap ends it.
  void ApplyRecords(const std::vector<LogRecord>& records);

  SnapshotMarks Marks() const;

  /// @returns the oldest offset that the log service retained at the last read.
  std::uint64_t FirstRetained() const { return m_first_retained; }

 private:
  void Run();
  void Recover(std::uint64_t first_retained);
  void SearchSnapshot(std::uint64_t first_retained);
  void Keep(const LogRecord& record);
  void Publish();
  bool Pause(Milliseconds duration);

  LogClient m_client;
  VerdictHandler m_on_verdict;
  FollowerOptions m_options;
  mutable std::mutex m_fold_mutex;  ///< Guards the members up to m_kept_bytes.
  FleetFold m_fold;
  SnapshotMarks m_marks;
  std::deque<LogRecord> m_kept;
  std::size_t m_kept_bytes = 0;
  mutable std::mutex m_mutex;  ///< Guards m_view; taken after m_fold_mutex.
  mutable std::condition_variable m_changed;
  std::shared_ptr<const FleetView> m_view;
  std::atomic<std::uint64_t> m_first_retained{0};
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
