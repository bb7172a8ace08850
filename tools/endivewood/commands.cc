/// @file
/// Commands of the operators' command line.
#include "commands.h"

#include <iomanip>
#include <iostream>

#include "chart.h"
#include "json.h"

namespace endivewood {
namespace {

constexpr int kColumnWidth = 18;

ExitStatus Usage(const std::string& expected) {
  std::cerr << "expected: endivewood [OPTIONS] " << expected << "\n";
  return ExitStatus::kInvalid;
}

ExitStatus Unreachable(const Reason& reason) {
  std::cerr << static_cast<int>(reason.code) << " " << ResultCodeName(reason.code) << ": "
            << reason.text << "\n";
  return ExitStatus::kUnreachable;
}

void PrintRow(const std::vector<std::string>& cells) {
  for (const std::string& cell : cells) std::cout << std::left << std::setw(kColumnWidth) << cell;
  std::cout << std::endl;
}

JsonValue::Array ToArray(const std::vector<std::string>& texts) {
  return JsonValue::Array(texts.begin(), texts.end());
}

std::string Joined(const std::vector<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts) joined += (joined.empty() ? "" : " ") + text;
  return joined;
}

void PrintProposal(const OperatorOptions& options, const Proposal& proposal,
                   const std::optional<RollOut>& roll_out) {
  const bool accepted = proposal.status == ExitStatus::kOk;
  if (options.output == OutputFormat::kJson) {
    JsonValue::Object object = {{"accepted", accepted},
                                {"offset", proposal.offset},
                                {"code", static_cast<int>(proposal.code)},
                                {"name", ResultCodeName(proposal.code)},
                                {"detail", proposal.detail},
                                {"resolved_by_reading", proposal.resolved_by_reading}};
    if (roll_out) {
      object.push_back({"in_force", roll_out->complete});
      object.push_back({"silent", ToArray(roll_out->silent)});
      object.push_back({"waiting", ToArray(roll_out->waiting)});
    }
    std::cout << EncodeJson(object) << "\n";
    return;
  }
  if (proposal.resolved_by_reading) std::cerr << "the response was lost; resolved by reading\n";
  if (accepted) {
    std::cout << "accepted at offset " << proposal.offset << "\n";
  } else {
    const bool rejected = proposal.status == ExitStatus::kRejected;
    std::cout << (rejected ? "rejected: " : "failed: ") << static_cast<int>(proposal.code) << " "
              << ResultCodeName(proposal.code) << ": " << proposal.detail << "\n";
  }
  if (!roll_out) return;
  std::cout << (roll_out->complete ? "in force in every data centre: " : "not in force: ")
            << roll_out->progress << "\n";
  if (!roll_out->silent.empty()) {
    std::cout << "no answer from: " << Joined(roll_out->silent) << "\n";
  }
  if (!roll_out->waiting.empty()) {
    std::cout << "not applied by: " << Joined(roll_out->waiting) << "\n";
  }
}

ExitStatus Propose(const OperatorOptions& options, const FleetChange& change) {
  if (!options.platform) return Usage("--platform IP:PORT COMMAND");
  if (options.wait && options.deployment.empty()) return Usage("--deployment FILE --wait COMMAND");
  FleetOperator fleet_operator(*options.platform);
  const Proposal proposal = fleet_operator.Propose(change, options.expected_version);
  std::optional<RollOut> roll_out;
  if (proposal.status == ExitStatus::kOk && options.wait) {
    roll_out = WaitUntilActive(options.deployment, proposal.offset, options.wait_limit);
  }
  PrintProposal(options, proposal, roll_out);
  if (roll_out && !roll_out->complete) return ExitStatus::kNotActive;
  return proposal.status;
}

/// Reads and checks a fleet configuration; prints its errors.
std::optional<std::string> CheckedConfig(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    std::cerr << file << ": " << static_cast<int>(ResultCode::kFileUnreadable) << " "
              << ResultCodeName(ResultCode::kFileUnreadable) << "\n";
    return std::nullopt;
  }
  std::vector<ConfigError> errors;
  const auto config = ParseFleetConfig(*text, file, &errors);
  for (const ConfigError& error : errors) std::cerr << error.str() << "\n";
  return config ? text : std::nullopt;
}

ExitStatus Validate(const std::string& file) {
  if (!CheckedConfig(file)) return ExitStatus::kInvalid;
  std::cout << file << " is valid\n";
  return ExitStatus::kOk;
}

ExitStatus Publish(const OperatorOptions& options, const std::string& file) {
  const auto text = CheckedConfig(file);
  if (!text) return ExitStatus::kInvalid;
  return Propose(options, ConfigPublished{.yaml = *text});
}

ExitStatus Wave(const OperatorOptions& options, const std::vector<std::string>& words) {
  const char* usage = "wave start NAME [POOL] | wave pause NAME [CAUSE] | wave resume NAME";
  const bool name_only = words.size() == 3;
  const bool has_argument = words.size() == 4;
  if (!name_only && !has_argument) return Usage(usage);
  const WaveName wave(words[2]);
  const std::string argument = has_argument ? words[3] : "";
  if (words[1] == "start") {
    return Propose(options, WaveStarted{.wave = wave, .pool = PoolName(argument)});
  }
  if (words[1] == "pause") {
    return Propose(options,
                   WavePaused{.wave = wave, .cause = has_argument ? argument : "operator"});
  }
  if (words[1] == "resume" && name_only) return Propose(options, WaveResumed{.wave = wave});
  return Usage(usage);
}

JsonValue StatusJson(const ProcessStatus& status) {
  JsonValue::Object object = {{"data_centre", status.process.data_centre.str()},
                              {"process", status.process.name},
                              {"answered", status.summary.has_value()}};
  if (!status.summary) return object;
  object.push_back({"connected", status.summary->connected});
  object.push_back({"next_offset", status.summary->next_offset});
  object.push_back({"config_version", status.summary->config_version});
  object.push_back({"preset", status.summary->preset});
  object.push_back({"preset_version", status.summary->preset_version});
  object.push_back({"wave_version", status.summary->wave_version});
  return object;
}

void PrintStatusTable(const std::vector<ProcessStatus>& statuses) {
  PrintRow({"DATA CENTRE", "PROCESS", "STATE", "OFFSET", "CONFIG", "PRESET"});
  for (const ProcessStatus& status : statuses) {
    const std::string data_centre = status.process.data_centre.str();
    if (!status.summary) {
      PrintRow({data_centre, status.process.name, "no answer"});
      continue;
    }
    PrintRow({data_centre, status.process.name,
              status.summary->connected ? "connected" : "no platform",
              std::to_string(status.summary->next_offset),
              std::to_string(status.summary->config_version), status.summary->preset});
  }
}

ExitStatus Status(const OperatorOptions& options) {
  if (options.deployment.empty()) return Usage("--deployment FILE status");
  auto statuses = QueryAll(options.deployment);
  std::stable_sort(statuses.begin(), statuses.end(), [](const auto& left, const auto& right) {
    return left.process.data_centre < right.process.data_centre;
  });
  if (options.output == OutputFormat::kTable) {
    PrintStatusTable(statuses);
  } else {
    JsonValue::Array rows;
    for (const ProcessStatus& status : statuses) rows.push_back(StatusJson(status));
    std::cout << EncodeJson(rows) << "\n";
  }
  const bool all = std::all_of(statuses.begin(), statuses.end(),
                               [](const ProcessStatus& status) { return status.summary; });
  return all ? ExitStatus::kOk : ExitStatus::kUnreachable;
}

ExitStatus Dump(const OperatorOptions& options, const std::string& name) {
  for (const DeployedProcess& process : options.deployment) {
    if (process.name != name) continue;
    const HttpOutcome outcome =
        HttpCall(process.control, {.method = "GET", .path = "/dump"}, options.wait_limit);
    if (!outcome.reply) {
      return Unreachable({.code = ResultCode::kProtocolError, .text = outcome.detail});
    }
    std::cout << outcome.reply->body << "\n";
    return ExitStatus::kOk;
  }
  std::cerr << "the deployment has no process " << name << "\n";
  return ExitStatus::kInvalid;
}

void PrintEvent(OutputFormat output, const DecidedRecord& decided) {
  const std::string change =
      decided.record ? DescribeChange(decided.record->change) : "not a fleet record";
  const std::string author = decided.record ? decided.record->author.str() : "";
  const char* verdict = ResultCodeName(decided.verdict.code);
  if (output == OutputFormat::kTable) {
    std::cout << decided.offset << "  " << decided.time_ms << "  "
              << (decided.verdict.accepted() ? "accepted" : verdict) << "  " << change << "  "
              << decided.verdict.detail << std::endl;
    return;
  }
  std::cout << EncodeJson(JsonValue::Object{{"offset", decided.offset},
                                            {"time_ms", decided.time_ms},
                                            {"change", change},
                                            {"author", author},
                                            {"accepted", decided.verdict.accepted()},
                                            {"code", static_cast<int>(decided.verdict.code)},
                                            {"name", verdict},
                                            {"detail", decided.verdict.detail}})
            << std::endl;
}

ExitStatus Events(const OperatorOptions& options) {
  if (!options.platform) return Usage("--platform IP:PORT events");
  FleetOperator fleet_operator(*options.platform);
  const auto print = [&](const DecidedRecord& decided) {
    if (decided.offset >= options.from_offset) PrintEvent(options.output, decided);
  };
  constexpr Milliseconds kFollowWait{1000};
  Reason reason;
  do {
    const Milliseconds wait = options.follow ? kFollowWait : Milliseconds(0);
    if (fleet_operator.CatchUp(wait, print, &reason)) continue;
    if (!options.follow) return Unreachable(reason);
    // With --follow, the command keeps running through an outage.
    Unreachable(reason);
    std::this_thread::sleep_for(kFollowWait);
  } while (options.follow);
  return ExitStatus::kOk;
}

}  // namespace

ExitStatus RunCommand(const OperatorOptions& options, const std::vector<std::string>& words) {
  const std::string& command = words[0];
  if (command == "validate" && words.size() == 2) return Validate(words[1]);
  if (command == "publish" && words.size() == 2) return Publish(options, words[1]);
  if (command == "switch" && words.size() == 2) {
    return Propose(options, PresetSwitched{.preset = PresetName(words[1])});
  }
  if (command == "wave") return Wave(options, words);
  if (command == "status" && words.size() == 1) return Status(options);
  if (command == "dump" && words.size() == 2) return Dump(options, words[1]);
  if (command == "events" && words.size() == 1) return Events(options);
  return Usage(
      "validate FILE | publish FILE | switch PRESET | wave start|pause|resume NAME | status | "
      "dump PROCESS | events");
}

}  // namespace endivewood
