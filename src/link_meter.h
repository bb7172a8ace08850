/// @file
/// Use of an instance's link, by the kind of peer.
#pragma once

#include "async_http.h"
#include "events.h"

namespace endivewood {

/// Bytes exchanged since the start of the process.
struct LinkTraffic {
  Traffic store;
  Traffic upstreams;
  Traffic peers;
};

/// Does no I/O: the totals are passed in at an interval of config::kLinkReportMs.
class LinkMeter {
 public:
  /// @param link_mbps bandwidth of the link in each direction; 0: not known, nothing is reported.
  explicit LinkMeter(int link_mbps) : m_link_mbps(link_mbps) {}

  /// Logs the traffic since the previous call if it is above config::kBusyLinkShare of the link in
  /// either direction. @returns whether it was logged.
  bool Report(const LinkTraffic& total);

 private:
  int m_link_mbps;
  LinkTraffic m_reported;
};

}  // namespace endivewood
