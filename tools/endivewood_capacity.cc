/// @file
/// endivewood-capacity: measures the costs by fleet size in docs/CAPACITY.md that don't need
/// several processes.
#include <malloc.h>
#include <tclap/CmdLine.h>

#include <array>
#include <functional>
#include <iomanip>
#include <iostream>

#include "endivewood_capacity/fleet_model.h"
#include "endivewood_capacity/linear_fit.h"

namespace endivewood::capacity {
namespace {

constexpr std::array<int, 4> kFleetSizes = {50, 200, 450, 900};
constexpr int kTargetInstances = 890;
constexpr int kRepetitions = 5;
constexpr double kBytesPerKilobyte = 1000.0;

/// @returns a fold that has applied the initial records of a fleet.
FleetFold MakeFold(const FleetSize& size, std::uint64_t* next_offset) {
  FleetFold fold;
  for (const std::string& payload : MakeInitialRecords(size)) fold.Apply((*next_offset)++, payload);
  return fold;
}

double ElapsedMicroseconds(const std::function<void()>& work) {
  const auto started = std::chrono::steady_clock::now();
  work();
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - started;
  return elapsed.count();
}

/// @returns the shortest of several runs, which other load on the machine disturbs least.
double ShortestMicroseconds(const std::function<void()>& work) {
  double shortest = ElapsedMicroseconds(work);
  for (int run = 1; run < kRepetitions; ++run) {
    shortest = std::min(shortest, ElapsedMicroseconds(work));
  }
  return shortest;
}

double HeapKilobytes() { return static_cast<double>(mallinfo2().uordblks) / kBytesPerKilobyte; }

/// Processor time to apply one record of a maintenance cycle, in microseconds.
double FoldMicroseconds(int instances) {
  std::uint64_t offset = 0;
  const FleetFold initial = MakeFold(ProportionalFleet(instances), &offset);
  const auto cycle = MakeMaintenanceCycle(*initial.View());
  const auto apply = [&] {
    FleetFold fold = initial;
    std::uint64_t next = offset;
    for (const std::string& payload : cycle) fold.Apply(next++, payload);
  };
  return ShortestMicroseconds(apply) / static_cast<double>(cycle.size());
}

/// Processor time to build an immutable view, in microseconds.
double ViewMicroseconds(int instances) {
  std::uint64_t offset = 0;
  const FleetFold fold = MakeFold(ProportionalFleet(instances), &offset);
  return ShortestMicroseconds([&] { fold.View(); });
}

/// Processor time to apply one configuration, in milliseconds.
double ConfigMilliseconds(int instances) {
  const auto initial = MakeInitialRecords(ProportionalFleet(instances));
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  const auto apply = [&] {
    FleetFold fold;
    fold.Apply(0, initial.front());
  };
  return ShortestMicroseconds(apply) / kMicrosecondsPerMillisecond;
}

/// Heap of the fold and one view, in kilobytes.
double StateKilobytes(int instances) {
  std::uint64_t offset = 0;
  const double before = HeapKilobytes();
  const FleetFold fold = MakeFold(ProportionalFleet(instances), &offset);
  const auto view = fold.View();
  return HeapKilobytes() - before;
}

/// Size of a configuration record, in kilobytes.
double ConfigKilobytes(int instances) {
  const auto initial = MakeInitialRecords(ProportionalFleet(instances));
  return static_cast<double>(initial.front().size()) / kBytesPerKilobyte;
}

/// Size of an encoded state, as stored in snapshots and sent to peers, in kilobytes.
double SnapshotKilobytes(int instances) {
  std::uint64_t offset = 0;
  const FleetFold fold = MakeFold(ProportionalFleet(instances), &offset);
  return static_cast<double>(fold.Encode().size()) / kBytesPerKilobyte;
}

/// Processor time to encode a state and restore it, in milliseconds.
double SnapshotMilliseconds(int instances) {
  std::uint64_t offset = 0;
  const FleetFold fold = MakeFold(ProportionalFleet(instances), &offset);
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  const auto round_trip = [&] {
    FleetFold copy;
    copy.Restore(fold.Encode());
  };
  return ShortestMicroseconds(round_trip) / kMicrosecondsPerMillisecond;
}

/// One measured quantity.
struct Quantity {
  const char* name;
  const char* unit;
  std::function<double(int)> measure;
};

void PrintQuantity(const Quantity& quantity, bool csv) {
  std::vector<Point> points;
  points.reserve(kFleetSizes.size());
  for (int size : kFleetSizes) {
    points.push_back({.size = static_cast<double>(size), .value = quantity.measure(size)});
  }
  const LinearFit fit = FitLine(points);
  const char* separator = csv ? "," : "  ";
  const auto number = [&](double value, int precision) {
    if (!csv) std::cout << std::setw(11);
    std::cout << std::fixed << std::setprecision(precision) << value << separator;
  };
  std::cout << std::left << std::setw(csv ? 0 : 28) << quantity.name << separator << quantity.unit
            << separator << std::right;
  for (const Point& point : points) number(point.value, 2);
  number(fit.slope, 5);
  number(fit.constant, 2);
  number(fit.worst_residual, 2);
  number(fit.At(kTargetInstances), 2);
  std::cout << "\n";
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Capacity measurements of endivewood", ' ', kVersion);
  TCLAP::SwitchArg csv("", "csv", "print CSV", command);
  command.parse(argc, argv);
  const std::vector<Quantity> quantities = {
      {"apply a record", "us", FoldMicroseconds},
      {"build a view", "us", ViewMicroseconds},
      {"apply a configuration", "ms", ConfigMilliseconds},
      {"state of fold and view", "kB", StateKilobytes},
      {"configuration record", "kB", ConfigKilobytes},
      {"snapshot", "kB", SnapshotKilobytes},
      {"encode and restore", "ms", SnapshotMilliseconds},
  };
  std::cout << (csv.getValue() ? "quantity,unit,50,200,450,900,slope,constant,residual,at_890\n"
                               : "quantity, unit, at 50, 200, 450 and 900 instances; slope per "
                                 "instance, constant, worst residual, at 890\n");
  for (const Quantity& quantity : quantities) PrintQuantity(quantity, csv.getValue());
  return 0;
}

}  // namespace
}  // namespace endivewood::capacity

int main(int argc, char** argv) { return endivewood::capacity::Main(argc, argv); }
