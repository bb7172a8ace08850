/// @file
/// endivewood: the operators' command line.
#include <tclap/CmdLine.h>

#include <iostream>

#include "endivewood_p.h"
#include "snapshot.h"

namespace endivewood {
namespace {

constexpr int kExitInvalid = 2;
constexpr int kExitRejected = 3;
constexpr int kExitUnreachable = 4;
constexpr std::size_t kReadBatch = 512;

/// Appends a record and reads the stream until the fold has decided about it.
class Operator {
 public:
  explicit Operator(const Endpoint& platform)
      : m_author(RandomHex128()), m_client(platform, m_author) {}

  int Propose(const FleetChange& change) {
    Reason reason;
    if (!CatchUp(&reason)) return Report(reason);
    const FleetRecord record{.id = RecordId(RandomHex128()),
                             .author = m_author,
                             .expected_version = ExpectedVersion(change),
                             .change = change};
    const auto offset = m_client.Append("fleet", EncodeFleetRecord(record), &reason);
    if (!offset && reason.code != ResultCode::kAppendUncertain) return Report(reason);
    if (!CatchUp(&reason)) return Report(reason);
    for (const Verdict& verdict : m_verdicts) {
      if (verdict.id != record.id) continue;
      std::cout << (verdict.accepted() ? "accepted" : "rejected: ") << verdict.detail << "\n";
      return verdict.accepted() ? 0 : kExitRejected;
    }
    return Report({.code = ResultCode::kPlatformUnreachable, .text = "record not found"});
  }

 private:
  static int Report(const Reason& reason) {
    std::cerr << static_cast<int>(reason.code) << " " << ResultCodeName(reason.code) << ": "
              << reason.text << "\n";
    return kExitUnreachable;
  }

  bool BeginAtSnapshot(Reason* reason) {
    const auto state = FindFleetState(m_client, FirstRetainedOf(*reason), reason);
    if (!state) return false;
    m_fold = state->fold;
    m_next = m_fold.View()->next_offset;
    return true;
  }

  bool CatchUp(Reason* reason) {
    while (true) {
      const auto batch = m_client.Read("fleet", m_next, kReadBatch, Milliseconds(0), reason);
      const bool expired = !batch && reason->code == ResultCode::kOffsetExpired;
      if (expired && BeginAtSnapshot(reason)) continue;
      if (!batch) return false;
      for (const LogRecord& record : batch->records) {
        m_verdicts.push_back(m_fold.Apply(record.offset, record.payload));
      }
      m_next = batch->next_offset;
      if (batch->records.empty()) return true;
    }
  }

  std::uint64_t ExpectedVersion(const FleetChange& change) const {
    const auto view = m_fold.View();
    if (std::holds_alternative<ConfigPublished>(change)) return view->config_version;
    if (std::holds_alternative<PresetSwitched>(change)) return view->preset_version;
    return view->wave_version;
  }

  Incarnation m_author;
  LogClient m_client;
  FleetFold m_fold;
  std::uint64_t m_next = 0;
  std::vector<Verdict> m_verdicts;
};

int Publish(Operator* fleet_operator, const std::string& file) {
  const auto text = ReadFile(file);
  std::vector<ConfigFault> faults;
  const auto config = ParseFleetConfig(text.value_or(""), file, &faults);
  for (const ConfigFault& fault : faults) std::cerr << fault.str() << "\n";
  if (!config) return kExitInvalid;
  return fleet_operator->Propose(ConfigPublished{.yaml = *text});
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Operators' command line of endivewood", ' ', kVersion);
  TCLAP::ValueArg<std::string> platform("", "platform", "platform address", true, "", "IP:PORT",
                                        command);
  TCLAP::UnlabeledMultiArg<std::string> words("command", "publish FILE | switch PRESET", true,
                                              "WORD", command);
  command.parse(argc, argv);
  const std::string text = platform.getValue();
  const std::size_t colon = text.rfind(':');
  const Endpoint endpoint{.address = text.substr(0, colon),
                          .port = static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
  Operator fleet_operator(endpoint);
  const auto& arguments = words.getValue();
  if (arguments.size() == 2 && arguments[0] == "publish") {
    return Publish(&fleet_operator, arguments[1]);
  }
  if (arguments.size() == 2 && arguments[0] == "switch") {
    return fleet_operator.Propose(PresetSwitched{.preset = PresetName(arguments[1])});
  }
  std::cerr << "unknown command\n";
  return kExitInvalid;
}

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) { return endivewood::Main(argc, argv); }
