/// @file
/// Commands of the operators' command line.
#pragma once

#include "deployment.h"
#include "fleet_operator.h"

namespace endivewood {

enum class OutputFormat : std::uint8_t { kTable, kJson };

/// Options of the command line.
struct OperatorOptions {
  std::optional<Endpoint> platform;
  std::vector<DeployedProcess> deployment;
  OutputFormat output = OutputFormat::kTable;
  bool wait = false;
  bool follow = false;
  Milliseconds wait_limit{30000};
  std::uint64_t from_offset = 0;
  std::optional<std::uint64_t> expected_version;
};

/// Runs one command.
/// @param words the command, followed by its arguments.
ExitStatus RunCommand(const OperatorOptions& options, const std::vector<std::string>& words);

}  // namespace endivewood
