/// @file
/// Processes of a deployment and the roll-out of a record to them.
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
                                                           std::vector<ConfigError>* errors);

/// Status reply of one process.
struct ProcessStatus {
  DeployedProcess process;
  std::optional<DumpSummary> summary;  ///< No value when the process did not reply.
};

/// Queries the dumps of all processes in parallel.
std::vector<ProcessStatus> QueryAll(const std::vector<DeployedProcess>& processes);

/// Progress of rolling out a record.
struct RollOut {
  bool complete = false;             ///< It is active in every data centre.
  std::vector<std::string> silent;   ///< Processes that didn't reply.
  std::vector<std::string> waiting;  ///< Processes that replied and have not applied it.
  std::string progress;              ///< "dc1 2/2, dc2 1/2"
};

/// Evaluates one status query of all processes. The record is active in a data centre when at least
/// one process there replied and every process that replied has applied it.
RollOut EvaluateRollOut(const std::vector<ProcessStatus>& statuses, std::uint64_t offset);

/// Polls until the record is active in every data centre or `limit` has passed; writes progress to
/// standard error.
RollOut WaitUntilActive(const std::vector<DeployedProcess>& processes, std::uint64_t offset,
                        Milliseconds limit);

}  // namespace endivewood
