/// @file
/// endivewood-speed: compares request rate and latency through an entry with those of direct
/// requests to an upstream, in one run.
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <iomanip>
#include <iostream>

#include "endivewood_p.h"

namespace endivewood {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;
constexpr double kRequestTimeoutMs = 10000.0;
constexpr int kRounds = 3;

/// Destination of the requests of one measurement.
struct Target {
  const char* name;
  Endpoint endpoint;
  std::string path;
};

/// Measurements of one round.
struct Sample {
  double rate_per_s = 0;
  double median_us = 0;
  double p99_us = 0;
  int errors = 0;
};

/// Sends requests one after another on one connection until the end of the round.
class Sender {
 public:
  Sender(const Target& target, std::chrono::steady_clock::time_point end)
      : m_client(target.endpoint.address, target.endpoint.port),
        m_request(target.path),
        m_end(end) {
    m_request.method("POST");
    m_request.setHeader("Request-Id", "speed");
    m_request.setHeader("Assignment", "1");
    m_request.body() << "0 speed";
  }

  void Run() {
    while (std::chrono::steady_clock::now() < m_end) SendOne();
  }

  const std::vector<double>& latencies_us() const { return m_latencies_us; }
  int errors() const { return m_errors; }

 private:
  void SendOne() {
    const auto started = std::chrono::steady_clock::now();
    try {
      m_client.execute(m_request, cxxtools::Milliseconds(kRequestTimeoutMs));
      const auto& reply = m_client.readBody();
      if (reply.httpReturnCode() != 200 || reply.body() != "done speed") ++m_errors;
    } catch (const std::exception&) {
      ++m_errors;
      m_client.close();
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - started;
    m_latencies_us.push_back(elapsed.count());
  }

  cxxtools::http::Client m_client;
  cxxtools::http::Request m_request;
  std::chrono::steady_clock::time_point m_end;
  std::vector<double> m_latencies_us;
  int m_errors = 0;
};

Sample MeasureRound(const Target& target, int connections, std::chrono::seconds duration) {
  const auto started = std::chrono::steady_clock::now();
  std::vector<std::unique_ptr<Sender>> senders;
  senders.reserve(static_cast<std::size_t>(connections));
  for (int index = 0; index < connections; ++index) {
    senders.push_back(std::make_unique<Sender>(target, started + duration));
  }
  std::vector<std::thread> threads;
  threads.reserve(senders.size());
  for (const auto& sender : senders) threads.emplace_back([&sender] { sender->Run(); });
  for (std::thread& thread : threads) thread.join();
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started;
  std::vector<double> latencies;
  Sample sample;
  for (const auto& sender : senders) {
    latencies.insert(latencies.end(), sender->latencies_us().begin(), sender->latencies_us().end());
    sample.errors += sender->errors();
  }
  std::sort(latencies.begin(), latencies.end());
  sample.rate_per_s = static_cast<double>(latencies.size()) / elapsed.count();
  sample.median_us = latencies[latencies.size() / 2];
  sample.p99_us = latencies[latencies.size() * 99 / 100];
  return sample;
}

/// Measures both targets in alternating rounds, so that other load disturbs both alike, and keeps
/// each target's round with the highest rate.
std::vector<Sample> Measure(const std::vector<Target>& targets, int connections,
                            std::chrono::seconds duration) {
  std::vector<Sample> best(targets.size());
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t index = 0; index < targets.size(); ++index) {
      const Sample sample = MeasureRound(targets[index], connections, duration);
      if (sample.rate_per_s > best[index].rate_per_s) best[index] = sample;
    }
  }
  return best;
}

void Print(const std::vector<Target>& targets, const std::vector<Sample>& samples,
           int connections) {
  std::cout << std::fixed << std::setprecision(3);
  for (std::size_t index = 0; index < targets.size(); ++index) {
    const Sample& sample = samples[index];
    std::cout << targets[index].name << "," << connections << "," << sample.rate_per_s << ","
              << sample.median_us / kMicrosecondsPerMillisecond << ","
              << sample.p99_us / kMicrosecondsPerMillisecond << "," << sample.errors << "\n";
  }
  std::cout << "rate ratio," << connections << "," << samples[1].rate_per_s / samples[0].rate_per_s
            << "\nadded median ms," << connections << ","
            << (samples[1].median_us - samples[0].median_us) / kMicrosecondsPerMillisecond << "\n";
}

Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {.address = text.substr(0, colon),
          .port = static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Request rate and latency through an entry", ' ', kVersion);
  TCLAP::ValueArg<std::string> entry("", "entry", "caller listener", true, "", "IP:PORT", command);
  TCLAP::ValueArg<std::string> upstream("", "upstream", "upstream of the service", true, "",
                                        "IP:PORT", command);
  TCLAP::ValueArg<std::string> service("", "service", "short, idempotent service", true, "", "NAME",
                                       command);
  TCLAP::ValueArg<int> connections("", "connections", "connections", false, 32, "N", command);
  TCLAP::ValueArg<int> seconds("", "seconds", "length of a round", false, 2, "S", command);
  command.parse(argc, argv);
  const std::vector<Target> targets = {
      {"direct", ParseEndpoint(upstream.getValue()), "/work"},
      {"entry", ParseEndpoint(entry.getValue()), "/v1/services/" + service.getValue()}};
  std::cout << "path,connections,requests/s,median ms,p99 ms,errors\n";
  for (int count : {1, connections.getValue()}) {
    const auto samples = Measure(targets, count, std::chrono::seconds(seconds.getValue()));
    Print(targets, samples, count);
  }
  return 0;
}

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) { return endivewood::Main(argc, argv); }
