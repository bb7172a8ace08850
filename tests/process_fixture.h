/// @file
/// Starts the programs on loopback addresses for process-level tests and stops them afterwards.
#pragma once

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "endivewood_p.h"
#include "eventually.h"

extern char** environ;

namespace endivewood::testing {

/// A child process, killed when the object goes out of scope.
class Process {
 public:
  Process(const std::string& program, std::vector<std::string> arguments) {
    const std::string path = std::string(BINARY_DIR) + "/bin/" + program;
    std::vector<char*> argv = {const_cast<char*>(path.c_str())};
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    REQUIRE(posix_spawn(&m_pid, path.c_str(), nullptr, nullptr, argv.data(), environ) == 0);
  }
  Process(Process&& other) noexcept : m_pid(std::exchange(other.m_pid, 0)) {}
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    if (m_pid == 0) return;
    Signal(SIGCONT);
    Signal(SIGKILL);
    Wait();
  }

  void Signal(int number) const { kill(m_pid, number); }

  /// @returns the exit status, or -1 when the process was ended by a signal.
  int Wait() {
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t m_pid = 0;
};

/// Runs a program until it exits.
/// @returns its exit status.
inline int Run(const std::string& program, std::vector<std::string> arguments) {
  return Process(program, std::move(arguments)).Wait();
}

inline HttpOutcome Get(const Endpoint& peer, const std::string& path) {
  return HttpCall(peer, {.method = "GET", .path = path}, Milliseconds(5000));
}

inline HttpOutcome Post(const Endpoint& peer, const std::string& path, const std::string& body,
                        std::vector<HttpHeader> headers = {}) {
  return HttpCall(peer,
                  {.method = "POST", .path = path, .headers = std::move(headers), .body = body},
                  Milliseconds(10000));
}

/// Size of a test deployment.
struct DeploymentOptions {
  int data_centres = 3;
  int entries_per_data_centre = 2;
  int upstreams_per_service = 1;     ///< In each data centre.
  int planners_per_data_centre = 0;  ///< On the first entry instances.
  int spares_per_data_centre = 0;
  int min_available = 0;        ///< Availability budget of each service.
  int peak_gain = 0;            ///< Instances that the preset "peak" adds to pool quick.
  std::uint16_t base_port = 0;  ///< Tests run in parallel, so each uses a port range of its own.
};

/// A deployment of stand-ins and daemons. Data centre N uses the addresses 127.0.N.x.
class Deployment {
 public:
  explicit Deployment(const DeploymentOptions& options) : m_options(options) {
    m_folder = std::filesystem::temp_directory_path() /
               ("endivewood-" + std::to_string(getpid()) + "-" + std::to_string(options.base_port));
    std::filesystem::create_directories(m_folder);
    StartPlatform();
    for (int dc = 1; dc <= options.data_centres; ++dc) StartUpstreams(dc);
    for (int dc = 1; dc <= options.data_centres; ++dc) StartEntries(dc);
    WriteFleetConfig();
    for (int dc = 1; dc <= options.data_centres; ++dc) {
      for (int planner = 1; planner <= options.planners_per_data_centre; ++planner) {
        StartPlanner(dc, planner);
      }
    }
  }
  ~Deployment() {
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
  }

  Endpoint PlatformEndpoint() const { return At("127.0.0.1", 0); }
  Endpoint Callers(int dc, int entry) const { return At(EntryAddress(dc, entry), 1); }
  Endpoint Control(int dc, int entry) const { return At(EntryAddress(dc, entry), 2); }
  Endpoint Upstream(int dc, const std::string& pool, int index) const {
    const int pool_number = pool == "quick" ? 0 : pool == "long" ? 1 : 2;
    const int host = 100 + pool_number * 20 + index;
    return At("127.0." + std::to_string(dc) + "." + std::to_string(host), 0);
  }
  std::string FleetFile() const { return (m_folder / "fleet.yaml").string(); }
  std::string SettingsFile(int dc, int entry) const {
    return (m_folder / (EntryName(dc, entry) + ".yaml")).string();
  }
  const DeploymentOptions& options() const { return m_options; }

  /// Runs the operators' command line.
  /// @returns its exit status.
  int RunOperatorCommand(std::vector<std::string> words) {
    words.insert(words.begin(), {"--platform", PlatformEndpoint().str()});
    return Run("endivewood", words);
  }

  Process& FindProcess(const std::string& name) { return m_processes.at(name); }

  /// Restarts an entry that a test has ended.
  void RestartEntry(int dc, int entry) {
    const std::string name = EntryName(dc, entry);
    m_processes.erase(name);
    Start(name, "endivewood-entry", {"--config", SettingsFile(dc, entry)}, Control(dc, entry));
  }

  Endpoint PlannerControl(int dc, int planner) const { return At(EntryAddress(dc, planner), 4); }

  /// Starts a planner, or restarts one that a test has ended.
  void StartPlanner(int dc, int planner) {
    const std::string name = PlannerName(dc, planner);
    m_processes.erase(name);
    Start(name, "endivewood-planner", {"--config", SettingsFile(dc, planner)},
          PlannerControl(dc, planner));
  }

  static std::string PlannerName(int dc, int planner) {
    return "planner-" + std::to_string(dc) + "-" + std::to_string(planner);
  }

  static std::string EntryName(int dc, int entry) {
    return "entry-" + std::to_string(dc) + "-" + std::to_string(entry);
  }

 private:
  Endpoint At(const std::string& address, int port_offset) const {
    return {.address = address,
            .port = static_cast<std::uint16_t>(m_options.base_port + port_offset)};
  }

  static std::string EntryAddress(int dc, int entry) {
    return "127.0." + std::to_string(dc) + "." + std::to_string(entry);
  }

  void Start(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments, const Endpoint& ready) {
    m_processes.emplace(name, Process(program, arguments));
    REQUIRE(Eventually([&] { return Get(ready, "/health").reply.has_value(); }));
  }

  void StartPlatform() {
    const Endpoint endpoint = PlatformEndpoint();
    Start("platform", "platform",
          {"--address", endpoint.address, "--port", std::to_string(endpoint.port)}, endpoint);
  }

  void StartUpstreams(int dc) {
    for (const char* pool : {"quick", "long", "spare"}) {
      for (int index = 1; index <= InstancesOf(pool); ++index) {
        const Endpoint endpoint = Upstream(dc, pool, index);
        Start(UpstreamName(dc, pool, index), "upstream",
              {"--address", endpoint.address, "--port", std::to_string(endpoint.port)}, endpoint);
        if (m_options.planners_per_data_centre > 0) Register(dc, pool, index);
      }
    }
  }

  int InstancesOf(const std::string& pool) const {
    return pool == "spare" ? m_options.spares_per_data_centre : m_options.upstreams_per_service;
  }

  /// Registers an upstream with the platform, which then controls it as a worker.
  void Register(int dc, const std::string& pool, int index) {
    const Endpoint endpoint = Upstream(dc, pool, index);
    const std::string query = "name=" + UpstreamName(dc, pool, index) + "&data_centre=dc" +
                              std::to_string(dc) + "&rack=r" + std::to_string(dc) + "-" +
                              std::to_string(index) + "&address=" + endpoint.address +
                              "&port=" + std::to_string(endpoint.port);
    const HttpRequest request{.method = "POST", .path = "/instances", .query = query};
    REQUIRE(HttpCall(PlatformEndpoint(), request, Milliseconds(5000)).reply);
  }

  void StartEntries(int dc) {
    for (int entry = 1; entry <= m_options.entries_per_data_centre; ++entry) {
      WriteSettings(dc, entry);
      Start(EntryName(dc, entry), "endivewood-entry", {"--config", SettingsFile(dc, entry)},
            Control(dc, entry));
    }
  }

  static std::string UpstreamName(int dc, const std::string& pool, int index) {
    return pool + "-" + std::to_string(dc) + "-" + std::to_string(index);
  }

  void WriteSettings(int dc, int entry) {
    std::ofstream file(SettingsFile(dc, entry));
    file << "name: " << EntryName(dc, entry) << "\ndata_centre: dc" << dc
         << "\ncallers: " << Callers(dc, entry).str() << "\ncontrol: " << Control(dc, entry).str()
         << "\npeer: " << At(EntryAddress(dc, entry), 3).str()
         << "\nplatform: " << PlatformEndpoint().str() << "\nplanner: {control: \""
         << PlannerControl(dc, entry).str() << "\", hold_ms: 500, loss_confirm_ms: 3000}"
         << "\npeers:\n";
    for (int other_dc = 1; other_dc <= m_options.data_centres; ++other_dc) {
      for (int other = 1; other <= m_options.entries_per_data_centre; ++other) {
        if (other_dc == dc && other == entry) continue;
        file << "  - {name: " << EntryName(other_dc, other) << ", data_centre: dc" << other_dc
             << ", address: " << At(EntryAddress(other_dc, other), 3).str() << "}\n";
      }
    }
  }

  void WriteFleetConfig() {
    const int per_pool = m_options.data_centres * m_options.upstreams_per_service;
    const int peak = per_pool + m_options.peak_gain;
    const std::string budget = ", min_available: " + std::to_string(m_options.min_available);
    std::ofstream file(FleetFile());
    file << "pools:\n  - {name: quick}\n  - {name: long}\n  - {name: spare, spare: true}\n"
         << "services:\n  - {name: quick, pool: quick, class: short" << budget << "}\n"
         << "  - {name: charge, pool: quick, class: short, idempotent: false}\n"
         << "  - {name: render, pool: long, class: long" << budget << "}\n"
         << "  - {name: master, pool: long, class: long, idempotent: false}\n"
         << "presets:\n  - {name: ordinary, targets: {quick: " << per_pool << ", long: " << per_pool
         << "}}\n"
         << "  - {name: peak, targets: {quick: " << peak << ", long: " << per_pool << "}}\n"
         << "instances:\n";
    for (int dc = 1; dc <= m_options.data_centres; ++dc) {
      for (const char* pool : {"quick", "long", "spare"}) {
        for (int index = 1; index <= InstancesOf(pool); ++index) {
          const Endpoint endpoint = Upstream(dc, pool, index);
          file << "  - {name: " << UpstreamName(dc, pool, index) << ", data_centre: dc" << dc
               << ", rack: r" << dc << "-" << index << ", pool: " << pool
               << ", address: " << endpoint.address << ", port: " << endpoint.port << "}\n";
        }
      }
    }
  }

  DeploymentOptions m_options;
  std::filesystem::path m_folder;
  std::map<std::string, Process> m_processes;
};

}  // namespace endivewood::testing
