/// @file
/// A small fleet view for tests of the dispatcher.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood::testing {

inline DataCentreName Here() { return DataCentreName("here"); }
inline ServiceName Quick() { return ServiceName("quick"); }
inline PoolName QuickPool() { return PoolName("pool"); }

struct ViewOptions {
  int instances = 3;
  int slots = 4;
};

inline InstanceName InstanceNumber(int number) {
  return InstanceName("i" + std::to_string(number));
}

/// @returns a view with one service on one pool, whose instances are all in one data centre.
inline FleetView MakeView(const ViewOptions& options) {
  FleetView view;
  view.config.pools = {{.name = QuickPool()}};
  view.config.services = {{.name = Quick(), .pool = QuickPool()}};
  for (int number = 0; number < options.instances; ++number) {
    const InstanceName name = InstanceNumber(number);
    view.instances[name] = {.name = name,
                            .data_centre = Here(),
                            .endpoint = {.address = "127.0.0.1", .port = 1},
                            .slots = options.slots,
                            .pool = QuickPool(),
                            .assignment = 1};
  }
  return view;
}

}  // namespace endivewood::testing
