/// @file
/// Stand-in for the platform: log service, instance list and worker control, with fault switches.
#include <tclap/CmdLine.h>

#include <condition_variable>
#include <deque>
#include <iostream>

#include "codec.h"
#include "endivewood_p.h"
#include "instance_directory.h"

namespace endivewood {
namespace {

constexpr unsigned kThreads = 200;
constexpr std::size_t kMaxRecordBytes = 4 << 20;

/// Switches that a test sets over HTTP while the stand-in runs.
struct Faults {
  bool outage = false;              ///< Every call is refused with 503.
  int slow_ms = 0;                  ///< Delay before each reply.
  int lose_appends = 0;             ///< Appends that take effect and are answered with 500.
  int list_lag_ms = 0;              ///< Age of the instance list.
  int lose_orders = 0;              ///< Orders that reach the worker and are answered with 500.
  std::string refused_data_centre;  ///< Calls that name it in Data-Centre are refused with 503.

  bool Refuses(const HttpRequest& request) const {
    if (outage) return true;
    return !refused_data_centre.empty() && request.Header("Data-Centre") == refused_data_centre;
  }
};

/// An append-only stream whose oldest records can be made to expire.
class Stream {
 public:
  std::uint64_t Append(std::string payload) {
    const std::uint64_t offset = Next();
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto time_ms = std::chrono::duration_cast<Milliseconds>(now).count();
    m_records.push_back({.offset = offset, .time_ms = time_ms, .payload = std::move(payload)});
    return offset;
  }

  void Expire(std::uint64_t below) {
    while (!m_records.empty() && m_records.front().offset < below) m_records.pop_front();
    m_first = std::max(m_first, below);
  }

  std::uint64_t First() const { return m_first; }
  std::uint64_t Next() const { return m_records.empty() ? m_first : m_records.back().offset + 1; }

  std::vector<std::tuple<std::uint64_t, std::int64_t, std::string>> Read(std::uint64_t from,
                                                                         std::size_t max) const {
    std::vector<std::tuple<std::uint64_t, std::int64_t, std::string>> rows;
    for (std::size_t index = from - m_first; index < m_records.size() && rows.size() < max;
         ++index) {
      const LogRecord& record = m_records[index];
      rows.emplace_back(record.offset, record.time_ms, record.payload);
    }
    return rows;
  }

 private:
  std::deque<LogRecord> m_records;
  std::uint64_t m_first = 0;
};

/// The stand-in's state and its HTTP interface.
class Platform {
 public:
  HttpReply Handle(const HttpRequest& request) {
    if (request.path == "/faults") return SetFaults(request);
    {
      std::unique_lock lock(m_mutex);
      const int slow_ms = m_faults.slow_ms;
      if (m_faults.Refuses(request)) return {.status = 503, .headers = {}, .body = ""};
      lock.unlock();
      if (slow_ms > 0) std::this_thread::sleep_for(Milliseconds(slow_ms));
    }
    if (request.path == "/instances") return Instances(request);
    if (request.path.starts_with("/workers/")) return Worker(request);
    const std::string log_prefix = "/log/";
    if (!request.path.starts_with(log_prefix)) return {.status = 404, .headers = {}, .body = ""};
    const std::string stream = request.path.substr(log_prefix.size());
    return request.method == "POST" ? Append(stream, request) : Read(stream, request);
  }

 private:
  HttpReply SetFaults(const HttpRequest& request) {
    std::lock_guard lock(m_mutex);
    m_faults.outage = request.Parameter("outage", m_faults.outage ? "1" : "0") == "1";
    m_faults.slow_ms = std::stoi(request.Parameter("slow_ms", std::to_string(m_faults.slow_ms)));
    m_faults.lose_appends =
        std::stoi(request.Parameter("lose_appends", std::to_string(m_faults.lose_appends)));
    m_faults.list_lag_ms =
        std::stoi(request.Parameter("list_lag_ms", std::to_string(m_faults.list_lag_ms)));
    m_faults.lose_orders =
        std::stoi(request.Parameter("lose_orders", std::to_string(m_faults.lose_orders)));
    m_faults.refused_data_centre =
        request.Parameter("refuse_data_centre", m_faults.refused_data_centre);
    m_appended.notify_all();
    const std::string expire = request.Parameter("expire_below");
    if (!expire.empty())
      m_streams[request.Parameter("stream", "fleet")].Expire(std::stoull(expire));
    return {};
  }

  HttpReply Instances(const HttpRequest& request) {
    if (request.method == "POST") return m_directory.Register(request);
    std::unique_lock lock(m_mutex);
    const Milliseconds lag(m_faults.list_lag_ms);
    lock.unlock();
    return m_directory.List(lag);
  }

  HttpReply Worker(const HttpRequest& request) {
    HttpReply reply = m_directory.Worker(request);
    std::lock_guard lock(m_mutex);
    if (request.method != "POST" || m_faults.lose_orders == 0) return reply;
    --m_faults.lose_orders;
    return {.status = 500, .headers = {}, .body = "answer lost"};
  }

  HttpReply Append(const std::string& stream, const HttpRequest& request) {
    std::unique_lock lock(m_mutex);
    const std::uint64_t offset = m_streams[stream].Append(request.body);
    m_appended.notify_all();
    if (m_faults.lose_appends > 0) {
      --m_faults.lose_appends;
      return {.status = 500, .headers = {}, .body = "answer lost"};
    }
    return {.status = 200, .headers = {}, .body = std::to_string(offset)};
  }

  HttpReply Read(const std::string& stream, const HttpRequest& request) {
    const std::uint64_t from = std::stoull(request.Parameter("from", "0"));
    const std::size_t max = std::stoull(request.Parameter("max", "100"));
    const Milliseconds wait(std::stoll(request.Parameter("wait_ms", "0")));
    std::unique_lock lock(m_mutex);
    Stream& records = m_streams[stream];
    m_appended.wait_for(lock, wait,
                        [&] { return records.Next() > from || m_faults.Refuses(request); });
    if (m_faults.Refuses(request)) return {.status = 503, .headers = {}, .body = ""};
    const std::string first = std::to_string(records.First());
    if (from < records.First()) {
      return {.status = 410, .headers = {{"First-Offset", first}}, .body = ""};
    }
    const auto rows = records.Read(from, max);
    return {.status = 200,
            .headers = {{"First-Offset", first},
                        {"Next-Offset", std::to_string(from + rows.size())},
                        {"Content-Type", "application/msgpack"}},
            .body = Pack(rows)};
  }

  std::mutex m_mutex;
  std::condition_variable m_appended;
  std::map<std::string, Stream> m_streams;
  InstanceDirectory m_directory;
  Faults m_faults;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for the platform", ' ', kVersion);
  TCLAP::ValueArg<std::string> address("", "address", "IP address", false, "127.0.0.1", "IP",
                                       command);
  TCLAP::ValueArg<int> port("", "port", "TCP port", true, 0, "PORT", command);
  command.parse(argc, argv);
  BlockStopSignals();
  Platform platform;
  HttpServer server({.endpoint = {.address = address.getValue(),
                                  .port = static_cast<std::uint16_t>(port.getValue())},
                     .max_threads = kThreads,
                     .max_body_bytes = kMaxRecordBytes},
                    [&](const HttpRequest& request) { return platform.Handle(request); });
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) { return endivewood::Main(argc, argv); }
