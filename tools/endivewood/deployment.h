/// @file
/// The processes of a deployment, and waiting until a record is in force in all of them.
#pragma once

#include "dump.h"
#include "endivewood_p.h"

namespace endivewood {

/// A process with a control listener.
struct DeployedProcess {
  std::string name;
  DataCentreName data_centre;
  Endpoint control;

  bool operator==(const DeployedProcess&) const = default;
};

/// Parses a deployment file: `processes`, each with `name`, `data_centre` and `control`.
std::optional<std::vector<DeployedProcess>> LoadDeployment(const std::string& file,
                                                           std::vector<ConfigFault>* faults);

/// What one process answered.
struct ProcessStatus {
  DeployedProcess process;
  std::optional<DumpSummary> summary;  ///< No value when the process did not answer.
};

/// Asks all processes at the same time for their dumps.
std::vector<ProcessStatus> AskAll(const std::vector<DeployedProcess>& processes);

/// How far a record is in force.
struct RollOut {
  bool complete = false;             ///< Every data centre has it in force.
  std::vector<std::string> silent;   ///< Processes that didn't answer.
  std::vector<std::string> waiting;  ///< Processes that answered and have not applied it.
  std::string progress;              ///< "dc1 2/2, dc2 1/2"
};

/// Judges one round of answers. A data centre has the record in force when at least one of its
/// processes answered and every one that answered has applied the record.
RollOut JudgeRollOut(const std::vector<ProcessStatus>& statuses, std::uint64_t offset);

/// Polls until the record is in force everywhere or `limit` has passed; writes progress to standard
/// error.
RollOut WaitInForce(const std::vector<DeployedProcess>& processes, std::uint64_t offset,
                    Milliseconds limit);

}  // namespace endivewood
