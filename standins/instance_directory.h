/// @file
/// Instance list and worker control of the platform stand-in.
#pragma once

#include "worker_control.h"

namespace endivewood {

/// Registers instances, lists them as of an earlier time and forwards orders to their workers.
class InstanceDirectory {
 public:
  /// POST /instances?name=&data_centre=&rack=&address=&port=&slots=&state=live|leaving|gone
  HttpReply Register(const HttpRequest& request) {
    ListedInstance entry{
        .name = InstanceName(request.Parameter("name")),
        .data_centre = DataCentreName(request.Parameter("data_centre")),
        .rack = RackName(request.Parameter("rack")),
        .endpoint = {.address = request.Parameter("address"),
                     .port = static_cast<std::uint16_t>(std::stoi(request.Parameter("port", "0")))},
        .slots = std::stoi(request.Parameter("slots", "8"))};
    const std::string state = request.Parameter("state", "live");
    if (state == "leaving") entry.state = ListedState::kLeaving;
    std::lock_guard lock(m_mutex);
    if (state == "gone") {
      m_instances.erase(entry.name);
    } else {
      m_instances[entry.name] = entry;
    }
    m_history.push_back({.time = std::chrono::steady_clock::now(), .instances = m_instances});
    return {};
  }

  /// @returns the list as it was `lag` ago.
  HttpReply List(Milliseconds lag) {
    std::lock_guard lock(m_mutex);
    const auto time = std::chrono::steady_clock::now() - lag;
    std::vector<ListedInstance> listed;
    for (auto listing = m_history.rbegin(); listing != m_history.rend(); ++listing) {
      if (listing->time > time) continue;
      for (const auto& [name, instance] : listing->instances) listed.push_back(instance);
      break;
    }
    return {.status = 200, .body = EncodeInstanceList(listed)};
  }

  /// GET /workers/{instance}, POST /workers/{instance}/{order}
  HttpReply Worker(const HttpRequest& request) {
    const std::string rest = request.path.substr(sizeof("/workers/") - 1);
    const std::size_t slash = rest.find('/');
    Endpoint endpoint;
    {
      std::lock_guard lock(m_mutex);
      const auto found = m_instances.find(InstanceName(rest.substr(0, slash)));
      if (found == m_instances.end()) return {.status = 404};
      endpoint = found->second.endpoint;
    }
    HttpRequest forwarded{.method = request.method, .path = "/status", .query = request.query};
    if (slash != std::string::npos) forwarded.path = "/control/" + rest.substr(slash + 1);
    HttpOutcome outcome = HttpCall(endpoint, forwarded, kWorkerTimeout);
    return outcome.reply ? std::move(*outcome.reply) : HttpReply{.status = 502};
  }

 private:
  static constexpr Milliseconds kWorkerTimeout{500};

  struct HistoryEntry {
    std::chrono::steady_clock::time_point time;
    std::map<InstanceName, ListedInstance> instances;
  };

  std::mutex m_mutex;
  std::map<InstanceName, ListedInstance> m_instances;
  std::vector<HistoryEntry> m_history;
};

}  // namespace endivewood
