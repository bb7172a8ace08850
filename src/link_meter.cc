/// @file
/// Reports a link that is nearly full.
#include "link_meter.h"

#include <algorithm>
#include <utility>

#include "config.h"

namespace endivewood {
namespace {

constexpr std::uint64_t kBytesPerKb = 1000;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMbit = 1e6;

Traffic Difference(const Traffic& now, const Traffic& before) {
  return {.sent = now.sent - before.sent, .received = now.received - before.received};
}

}  // namespace

bool LinkMeter::Report(const LinkTraffic& total) {
  const LinkTraffic before = std::exchange(m_reported, total);
  const Traffic store = Difference(total.store, before.store);
  const Traffic upstreams = Difference(total.upstreams, before.upstreams);
  const Traffic peers = Difference(total.peers, before.peers);
  const std::uint64_t sent = store.sent + upstreams.sent + peers.sent;
  const std::uint64_t received = store.received + upstreams.received + peers.received;
  const double limit = config::kBusyLinkShare * m_link_mbps * kBitsPerMbit / kBitsPerByte *
                       config::kLinkReportMs / 1000;
  if (m_link_mbps <= 0 || static_cast<double>(std::max(sent, received)) < limit) return false;
  LogEvent(Event::kLinkBusy, {{"link_mbps", m_link_mbps},
                              {"sent_kb", sent / kBytesPerKb},
                              {"received_kb", received / kBytesPerKb},
                              {"store_sent_kb", store.sent / kBytesPerKb},
                              {"store_received_kb", store.received / kBytesPerKb},
                              {"upstreams_sent_kb", upstreams.sent / kBytesPerKb},
                              {"upstreams_received_kb", upstreams.received / kBytesPerKb},
                              {"peers_sent_kb", peers.sent / kBytesPerKb},
                              {"peers_received_kb", peers.received / kBytesPerKb}});
  return true;
}

}  // namespace endivewood
