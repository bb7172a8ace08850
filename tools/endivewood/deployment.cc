/// @file
/// The processes of a deployment, and waiting until a record is in force in all of them.
#include "deployment.h"

#include <future>
#include <iostream>
#include <set>

#include "settings.h"
#include "yaml_reader.h"

namespace endivewood {
namespace {

constexpr Milliseconds kAskTimeout{1000};
constexpr Milliseconds kPollInterval{100};

ProcessStatus Ask(const DeployedProcess& process) {
  const HttpOutcome outcome =
      HttpCall(process.control, {.method = "GET", .path = "/dump"}, kAskTimeout);
  const bool answered = outcome.reply && outcome.reply->status == 200;
  return {.process = process,
          .summary = answered ? DecodeDumpSummary(outcome.reply->body) : std::nullopt};
}

/// Answers of one data centre.
struct Count {
  int processes = 0;
  int applied = 0;
  int waiting = 0;
};

}  // namespace

std::optional<std::vector<DeployedProcess>> LoadDeployment(const std::string& file,
                                                           std::vector<ConfigFault>* faults) {
  const std::size_t faults_before = faults->size();
  YamlReader reader(file, faults);
  const auto text = ReadFile(file);
  if (!text) {
    faults->push_back({.code = ResultCode::kFileUnreadable,
                       .file = file,
                       .key = "document",
                       .found = "no readable file",
                       .expected = "a deployment file"});
    return std::nullopt;
  }
  const YAML::Node root = reader.Load(*text);
  if (faults->size() != faults_before) return std::nullopt;
  reader.CheckKeys(root, {"processes"});
  std::vector<DeployedProcess> processes;
  std::set<std::string> names;
  for (const YAML::Node& node : reader.Sequence(root, "processes", true)) {
    reader.CheckKeys(node, {"name", "data_centre", "control"});
    const std::string address = reader.String(node, "control");
    const auto control = ParseEndpoint(address);
    if (!control && !address.empty()) {
      reader.Fault(node["control"], ResultCode::kWrongType, "control", address, "ADDRESS:PORT");
    }
    processes.push_back({.name = reader.String(node, "name"),
                         .data_centre = DataCentreName(reader.String(node, "data_centre")),
                         .control = control.value_or(Endpoint{})});
    if (!names.insert(processes.back().name).second) {
      reader.Fault(node["name"], ResultCode::kDuplicateName, "name", processes.back().name,
                   "a name that is used once");
    }
  }
  if (faults->size() != faults_before) return std::nullopt;
  return processes;
}

std::vector<ProcessStatus> AskAll(const std::vector<DeployedProcess>& processes) {
  std::vector<std::future<ProcessStatus>> calls;
  calls.reserve(processes.size());
  for (const DeployedProcess& process : processes) {
    calls.push_back(std::async(std::launch::async, Ask, process));
  }
  std::vector<ProcessStatus> statuses;
  statuses.reserve(calls.size());
  for (auto& call : calls) statuses.push_back(call.get());
  return statuses;
}

RollOut JudgeRollOut(const std::vector<ProcessStatus>& statuses, std::uint64_t offset) {
  RollOut roll_out{.complete = !statuses.empty()};
  std::map<DataCentreName, Count> counts;
  for (const ProcessStatus& status : statuses) {
    Count& count = counts[status.process.data_centre];
    ++count.processes;
    if (!status.summary) {
      roll_out.silent.push_back(status.process.name);
    } else if (status.summary->next_offset > offset) {
      ++count.applied;
    } else {
      ++count.waiting;
      roll_out.waiting.push_back(status.process.name);
    }
  }
  for (const auto& [data_centre, count] : counts) {
    if (count.applied == 0 || count.waiting > 0) roll_out.complete = false;
    if (!roll_out.progress.empty()) roll_out.progress += ", ";
    roll_out.progress += data_centre.str() + " " + std::to_string(count.applied) + "/" +
                         std::to_string(count.processes);
  }
  return roll_out;
}

RollOut WaitInForce(const std::vector<DeployedProcess>& processes, std::uint64_t offset,
                    Milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  std::string shown;
  while (true) {
    RollOut roll_out = JudgeRollOut(AskAll(processes), offset);
    if (roll_out.progress != shown) std::cerr << "in force: " << roll_out.progress << "\n";
    shown = roll_out.progress;
    if (roll_out.complete || std::chrono::steady_clock::now() >= end) return roll_out;
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace endivewood
