/// @file
/// Processes of a deployment and the roll-out of a record to them.
#include "deployment.h"

#include <future>
#include <iostream>
#include <set>

#include "settings.h"
#include "yaml_reader.h"

namespace endivewood {
namespace {

constexpr Milliseconds kQueryTimeout{1000};
constexpr Milliseconds kPollInterval{100};

ProcessStatus QueryStatus(const DeployedProcess& process) {
  const HttpOutcome outcome =
      HttpCall(process.control, {.method = "GET", .path = "/dump"}, kQueryTimeout);
  const bool answered = outcome.reply && outcome.reply->status == 200;
  return {.process = process,
          .summary = answered ? DecodeDumpSummary(outcome.reply->body) : std::nullopt};
}

/// Counts of the processes of one data centre.
struct ProcessCounts {
  int processes = 0;
  int applied = 0;
  int waiting = 0;
};

}  // namespace

std::optional<std::vector<DeployedProcess>> LoadDeployment(const std::string& file,
                                                           std::vector<ConfigError>* errors) {
  const std::size_t errors_before = errors->size();
  YamlReader reader(file, errors);
  const auto text = ReadFile(file);
  if (!text) {
    errors->push_back({.code = ResultCode::kFileUnreadable,
                       .file = file,
                       .key = "document",
                       .found = "no readable file",
                       .expected = "a deployment file"});
    return std::nullopt;
  }
  const YAML::Node root = reader.Load(*text);
  if (errors->size() != errors_before) return std::nullopt;
  reader.CheckKeys(root, {"processes"});
  std::vector<DeployedProcess> processes;
  std::set<std::string> names;
  for (const YAML::Node& node : reader.Sequence(root, "processes", true)) {
    reader.CheckKeys(node, {"name", "data_centre", "control"});
    const std::string address = reader.String(node, "control");
    const auto control = ParseEndpoint(address);
    if (!control && !address.empty()) {
      reader.AddError(node["control"], ResultCode::kWrongType, "control", address, "ADDRESS:PORT");
    }
    processes.push_back({.name = reader.String(node, "name"),
                         .data_centre = DataCentreName(reader.String(node, "data_centre")),
                         .control = control.value_or(Endpoint{})});
    if (!names.insert(processes.back().name).second) {
      reader.AddError(node["name"], ResultCode::kDuplicateName, "name", processes.back().name,
                      "a name that is used once");
    }
  }
  if (errors->size() != errors_before) return std::nullopt;
  return processes;
}

std::vector<ProcessStatus> QueryAll(const std::vector<DeployedProcess>& processes) {
  std::vector<std::future<ProcessStatus>> calls;
  calls.reserve(processes.size());
  for (const DeployedProcess& process : processes) {
    calls.push_back(std::async(std::launch::async, QueryStatus, process));
  }
  std::vector<ProcessStatus> statuses;
  statuses.reserve(calls.size());
  for (auto& call : calls) statuses.push_back(call.get());
  return statuses;
}

RollOut EvaluateRollOut(const std::vector<ProcessStatus>& statuses, std::uint64_t offset) {
  RollOut roll_out{.complete = !statuses.empty()};
  std::map<DataCentreName, ProcessCounts> counts;
  for (const ProcessStatus& status : statuses) {
    ProcessCounts& process_counts = counts[status.process.data_centre];
    ++process_counts.processes;
    if (!status.summary) {
      roll_out.silent.push_back(status.process.name);
    } else if (status.summary->next_offset > offset) {
      ++process_counts.applied;
    } else {
      ++process_counts.waiting;
      roll_out.waiting.push_back(status.process.name);
    }
  }
  for (const auto& [data_centre, process_counts] : counts) {
    if (process_counts.applied == 0 || process_counts.waiting > 0) roll_out.complete = false;
    if (!roll_out.progress.empty()) roll_out.progress += ", ";
    roll_out.progress += data_centre.str() + " " + std::to_string(process_counts.applied) + "/" +
                         std::to_string(process_counts.processes);
  }
  return roll_out;
}

RollOut WaitUntilActive(const std::vector<DeployedProcess>& processes, std::uint64_t offset,
                        Milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  std::string last_printed;
  while (true) {
    RollOut roll_out = EvaluateRollOut(QueryAll(processes), offset);
    if (roll_out.progress != last_printed) std::cerr << "in force: " << roll_out.progress << "\n";
    last_printed = roll_out.progress;
    if (roll_out.complete || std::chrono::steady_clock::now() >= end) return roll_out;
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace endivewood
