/// @file
/// Measures decisions that do no I/O. Each section prints a table and the same figures as CSV.
#include <tclap/CmdLine.h>

#include <cstdio>
#include <iostream>

#include "load_model.h"

namespace endivewood {
namespace {

/// Target: the p99 wait of short work with long work is at most this multiple of that without.
constexpr double kMaxHolRatio = 1.25;
/// Waits below the resolution of the clock count as one millisecond, so that the ratio of two
/// waits of zero is 1.
constexpr double kClockResolutionMs = 1.0;
constexpr double kMedian = 0.5;
constexpr std::uint64_t kSeed = 20261204;

/// A deployment to measure, with its upstreams in each data centre.
struct BenchDeployment {
  const char* name;
  std::vector<LoadModel> data_centres;
};

std::vector<BenchDeployment> Deployments() {
  // 8 to 12 upstreams of each service, spread over the data centres.
  const LoadModel lesson{
      .short_run_ms = 80.0, .long_run_ms = 30000.0, .short_deadline = Milliseconds(1000)};
  const LoadModel returns{
      .short_run_ms = 50.0, .long_run_ms = 10000.0, .short_deadline = Milliseconds(2000)};
  BenchDeployment leuven{.name = "leuven", .data_centres = {4, lesson}};
  leuven.data_centres[0].upstreams = {2, 2, 2, 2, 3};
  leuven.data_centres[1].upstreams = {2, 2, 2, 3, 2};
  leuven.data_centres[2].upstreams = {2, 2, 3, 2, 2};
  leuven.data_centres[3].upstreams = {2, 2, 2, 2, 2};
  BenchDeployment sahel{.name = "sahel", .data_centres = {3, returns}};
  sahel.data_centres[0].upstreams = {3, 3, 3, 3, 3};
  sahel.data_centres[1].upstreams = {3, 3, 2, 3, 3};
  sahel.data_centres[2].upstreams = {2, 3, 3, 3, 2};
  return {leuven, sahel};
}

const char* PolicyName(Policy policy) {
  switch (policy) {
    case Policy::kDefault:
      return "ours";
    case Policy::kFifo:
      return "fifo";
    case Policy::kSplit:
      return "split";
    case Policy::kNoCheckpoint:
      return "no-checkpoint";
  }
  return "unlisted";
}

/// One row: a policy under one load, without and with long work.
struct HolRow {
  std::string deployment;
  const char* load = "";
  Policy policy = Policy::kDefault;
  std::size_t windows = 0;
  double p99_without = 0.0;  ///< Of the window with the largest ratio.
  double p99_with = 0.0;
  double ratio = 0.0;  ///< Largest of all windows.
  double p50_without = 0.0;
  double p50_with = 0.0;
  double refused_without = 0.0;
  double refused_with = 0.0;
  double long_share = 0.0;  ///< Progress of long work in the slot time that short work left.
  std::size_t long_completed = 0;
  std::size_t long_submitted = 0;
  std::size_t long_refused = 0;
  std::size_t checkpoints = 0;
};

void AddWindow(const ShortWindow& without, const ShortWindow& with, HolRow* row) {
  const double base = std::max(without.P99(), kClockResolutionMs);
  const double ratio = std::max(with.P99(), kClockResolutionMs) / base;
  ++row->windows;
  if (ratio <= row->ratio) return;
  row->ratio = ratio;
  row->p99_without = without.P99();
  row->p99_with = with.P99();
  row->p50_without = without.Percentile(kMedian);
  row->p50_with = with.Percentile(kMedian);
}

double RefusedShare(const std::vector<LoadResult>& results) {
  std::size_t refused = 0;
  std::size_t requests = 0;
  for (const LoadResult& result : results) {
    for (const ShortWindow& window : result.windows) {
      refused += window.refused;
      requests += window.requests();
    }
  }
  return static_cast<double>(refused) / static_cast<double>(std::max<std::size_t>(1, requests));
}

void AddLongWork(const std::vector<LoadResult>& results, HolRow* row) {
  double idle_ms = 0.0;
  double work_ms = 0.0;
  for (const LoadResult& result : results) {
    row->long_completed += result.long_completed;
    row->long_submitted += result.long_submitted;
    row->long_refused += result.long_refused;
    row->checkpoints += result.checkpoints;
    idle_ms += result.idle_ms;
    work_ms += result.long_work_ms;
  }
  row->long_share = work_ms / idle_ms;
}

/// A demand under which the policies are compared.
struct HolLoad {
  const char* name;
  bool peaks;
  double utilisation;  ///< Mean short demand as a share of the slots.
};

/// "ordinary" and "peaks" are the loads that the design names. In "busy", waits without long work
/// are above the resolution of the clock but below the deadline, so its ratio isn't that of two
/// waits of zero.
constexpr HolLoad kHolLoads[] = {
    {"ordinary", false, 0.3}, {"peaks", true, 0.3}, {"busy", false, 0.85}};

HolRow MeasureHol(const BenchDeployment& deployment, Policy policy, const HolLoad& load) {
  HolRow row{.deployment = deployment.name, .load = load.name, .policy = policy};
  std::vector<LoadResult> without;
  std::vector<LoadResult> with;
  std::uint64_t seed = kSeed;
  for (LoadModel model : deployment.data_centres) {
    model.utilisation = load.utilisation;
    LoadRun run{.policy = policy, .with_long = false, .peaks = load.peaks, .seed = ++seed};
    without.push_back(RunLoad(model, run));
    run.with_long = true;
    with.push_back(RunLoad(model, run));
    for (std::size_t window = 0; window < with.back().windows.size(); ++window) {
      AddWindow(without.back().windows[window], with.back().windows[window], &row);
    }
  }
  row.refused_without = RefusedShare(without);
  row.refused_with = RefusedShare(with);
  AddLongWork(with, &row);
  return row;
}

void PrintHolTable(const std::vector<HolRow>& rows) {
  std::printf(
      "Waits of short work without / with saturated long work, in the window of the worst\n"
      "p99 ratio; refusals, and the progress of long work in slots that short work left\n");
  std::printf("%-7s %-9s %-14s %7s %13s %13s %8s %15s %9s %11s %11s\n", "place", "load", "policy",
              "windows", "p50 ms", "p99 ms", "ratio", "refused %", "long work", "long done",
              "checkpoints");
  for (const HolRow& row : rows) {
    std::printf("%-7s %-9s %-14s %7zu %5.0f / %5.0f %5.0f / %5.0f %8.2f %6.2f / %6.2f %8.1f%% ",
                row.deployment.c_str(), row.load, PolicyName(row.policy), row.windows,
                row.p50_without, row.p50_with, row.p99_without, row.p99_with, row.ratio,
                100.0 * row.refused_without, 100.0 * row.refused_with, 100.0 * row.long_share);
    std::printf("%5zu/%-5zu %11zu\n", row.long_completed, row.long_submitted, row.checkpoints);
  }
}

void PrintHolCsv(const std::vector<HolRow>& rows) {
  std::printf(
      "\nsection,deployment,load,policy,windows,p50_without_ms,p50_with_ms,p99_without_ms,"
      "p99_with_ms,worst_ratio,refused_without,refused_with,long_share_of_idle,long_completed,"
      "long_submitted,long_refused,checkpoints\n");
  for (const HolRow& row : rows) {
    std::printf("hol,%s,%s,%s,%zu,%.0f,%.0f,%.0f,%.0f,%.3f,%.5f,%.5f,%.4f,%zu,%zu,%zu,%zu\n",
                row.deployment.c_str(), row.load, PolicyName(row.policy), row.windows,
                row.p50_without, row.p50_with, row.p99_without, row.p99_with, row.ratio,
                row.refused_without, row.refused_with, row.long_share, row.long_completed,
                row.long_submitted, row.long_refused, row.checkpoints);
  }
}

/// Head-of-line blocking. @returns false when the target is missed.
bool RunHol() {
  std::vector<HolRow> rows;
  bool met = true;
  for (const BenchDeployment& deployment : Deployments()) {
    for (const HolLoad& load : kHolLoads) {
      for (const Policy policy :
           {Policy::kDefault, Policy::kFifo, Policy::kSplit, Policy::kNoCheckpoint}) {
        rows.push_back(MeasureHol(deployment, policy, load));
        if (policy == Policy::kDefault && rows.back().ratio > kMaxHolRatio) met = false;
      }
    }
  }
  PrintHolTable(rows);
  PrintHolCsv(rows);
  std::printf("\ntarget of %.2f for \"ours\": %s\n", kMaxHolRatio, met ? "met" : "missed");
  return met;
}

/// Cost per cancellation for bursts of several sizes.
bool RunCancel() {
  std::printf("%10s %18s\n", "burst", "ns per cancel");
  std::string csv = "\nsection,burst,ns_per_cancel\n";
  for (const std::uint64_t burst : {1000U, 10000U, 100000U}) {
    Dispatcher dispatcher(
        {.data_centre = DataCentreName("here"), .queue_limit = burst, .refuse_early = false});
    const auto view = std::make_shared<FleetView>();
    const PoolName pool("p");
    const InstanceName instance("i");
    view->config.services = {{.name = ServiceName("s"), .pool = pool}};
    view->instances[instance] = {
        .name = instance, .data_centre = DataCentreName("here"), .slots = 1, .pool = pool};
    dispatcher.Handle(ViewChanged{.view = view}, Milliseconds(0));
    for (std::uint64_t id = 1; id <= burst; ++id) {
      dispatcher.Handle(RequestArrived{.ticket = {id}, .request = {.service = ServiceName("s")}},
                        Milliseconds(0));
    }
    const auto started = std::chrono::steady_clock::now();
    for (std::uint64_t id = 2; id <= burst; ++id) {
      dispatcher.Handle(RequestCancelled{.ticket = {id}}, Milliseconds(0));
    }
    const std::chrono::duration<double, std::nano> taken =
        std::chrono::steady_clock::now() - started;
    const double each = taken.count() / static_cast<double>(burst - 1);
    std::printf("%10llu %18.0f\n", static_cast<unsigned long long>(burst), each);
    csv += "cancel," + std::to_string(burst) + "," + std::to_string(each) + "\n";
  }
  std::cout << csv;
  return true;
}

/// A measurement, selected by its name on the command line.
struct Section {
  const char* name;
  const char* title;
  bool (*run)();
};

constexpr Section kSections[] = {
    {"hol", "head-of-line blocking", RunHol},
    {"cancel", "bursts of cancellations", RunCancel},
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Measures the decisions of endivewood", ' ', kVersion);
  TCLAP::UnlabeledMultiArg<std::string> names("section", "sections to run; all by default", false,
                                              "SECTION", command);
  command.parse(argc, argv);
  bool met = true;
  for (const Section& section : kSections) {
    const auto& selected = names.getValue();
    if (!selected.empty() && std::ranges::find(selected, section.name) == selected.end()) continue;
    std::cout << "== " << section.title << std::endl;
    met = section.run() && met;
    std::fflush(stdout);
  }
  return met ? 0 : 1;
}

}  // namespace
}  // namespace endivewood

int main(int argc, char** argv) { return endivewood::Main(argc, argv); }
