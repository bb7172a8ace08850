/// @file
/// Tests of peer nodes and slot routers in one process, connected over loopback.
#include "peers.h"

#include <catch2/catch.hpp>

#include "config.h"
#include "eventually.h"
#include "fleet_stream.h"
#include "slot_router.h"

namespace endivewood::testing {
namespace {

constexpr std::uint16_t kBasePort = 25000;
const ServiceName quick("quick");

/// The peer node and slot router of an entry, without its HTTP listeners and without a platform.
struct Node {
  Node(int number, int count, int case_number)
      : follower(LogClient({"127.0.0.1", static_cast<std::uint16_t>(kBasePort)}, {}), nullptr),
        peers(Settings(number, count, case_number), Incarnation(RandomHex128()), &follower, &clock),
        router(clock, &peers, {.on_checkpoint = [this](const SlotGrant&) { ++checkpoints; }}) {
    for (const std::string& payload : {TestRecord()}) {
      follower.ApplyRecords({{.offset = 0, .time_ms = 1, .payload = payload}});
    }
    router.SetView(follower.View());
    peers.Start(router.Handlers());
  }
  ~Node() {
    peers.Stop();
    router.Stop();
  }

  static std::string TestRecord() {
    std::string yaml = TestConfig(0);
    yaml = yaml.substr(0, yaml.find("instances:"));
    yaml +=
        "instances:\n  - {name: i, data_centre: dc1, rack: r, pool: quick, address: 10.0.0.1, "
        "port: 1, slots: 1}\n";
    return EncodeFleetRecord({.id = RecordId("first"), .change = ConfigPublished{.yaml = yaml}});
  }

  static ProcessSettings Settings(int number, int count, int case_number) {
    const auto endpoint = [&](int other) {
      return Endpoint{"127.0.1." + std::to_string(other),
                      static_cast<std::uint16_t>(kBasePort + 1 + case_number)};
    };
    ProcessSettings settings{.name = "e" + std::to_string(number),
                             .data_centre = DataCentreName("dc1"),
                             .peer = endpoint(number)};
    for (int other = 1; other <= count; ++other) {
      if (other == number) continue;
      settings.peers.push_back(
          {"e" + std::to_string(other), settings.data_centre, endpoint(other)});
    }
    return settings;
  }

  Clock clock;
  std::atomic<int> checkpoints{0};
  FleetFollower follower;
  PeerNode peers;
  SlotRouter router;
};

/// Nodes that are all connected to each other.
struct Cluster {
  Cluster(int count, int case_number) {
    for (int number = 1; number <= count; ++number) {
      nodes.push_back(std::make_unique<Node>(number, count, case_number));
    }
    REQUIRE(Eventually([&] {
      return std::ranges::all_of(nodes, [&](const auto& node) {
        for (const auto& other : nodes) {
          const bool linked = node == other || node->peers.LinkTo(other->peers.name()) != 0;
          if (!linked) return false;
        }
        return node->peers.LiveNames().size() == nodes.size();
      });
    }));
  }

  /// @returns the node that holds the queue.
  std::unique_ptr<Node>& Holder() {
    const std::string name = nodes.back()->router.HolderOf(quick);
    return *std::ranges::find_if(nodes,
                                 [&](const auto& node) { return node->peers.name() == name; });
  }
  std::vector<Node*> Others() {
    std::vector<Node*> others;
    for (const auto& node : nodes) {
      if (node != Holder()) others.push_back(node.get());
    }
    return others;
  }

  std::vector<std::unique_ptr<Node>> nodes;
};

SlotRequest Quick(int deadline_ms) {
  return {.service = quick, .queue_deadline = Milliseconds(deadline_ms)};
}

// Guards against entries that use different queues, and against a slot that is granted twice or
// is not given back by a peer.
TEST_CASE("one entry grants the slots of a service to all entries") {
  Cluster cluster(3, 0);
  const auto others = cluster.Others();
  Reason reason;
  const auto first = others[0]->router.Acquire(Quick(2000), &reason);
  REQUIRE(first);
  CHECK(first->endpoint == Endpoint{"10.0.0.1", 1});
  CHECK_FALSE(others[1]->router.Acquire(Quick(50), &reason));
  CHECK(reason.code == ResultCode::kNotRunDeadline);
  CHECK_FALSE(cluster.Holder()->router.Acquire(Quick(50), &reason));
  others[0]->router.Release(*first, SlotOutcome::kSucceeded, Milliseconds(1));
  others[0]->router.Release(*first, SlotOutcome::kSucceeded, Milliseconds(1));
  const auto second = others[1]->router.Acquire(Quick(2000), &reason);
  REQUIRE(second);
  CancelToken token;
  token.Cancel();
  CHECK_FALSE(others[0]->router.Acquire(Quick(60000), &reason, &token));
  CHECK(reason.code == ResultCode::kNotRunCancelled);
  CHECK(cluster.Holder()->router.AllocatorStats().in_use == 1);
}

// Guards against a slot that stays occupied after the entry that used it has ended.
TEST_CASE("a lost connection frees its grants") {
  Cluster cluster(3, 1);
  const auto others = cluster.Others();
  Reason reason;
  REQUIRE(others[0]->router.Acquire(Quick(2000), &reason));
  std::erase_if(cluster.nodes, [&](const auto& node) { return node.get() == others[0]; });
  const auto next = others[1]->router.Acquire(Quick(2000), &reason);
  CHECK(next);
  CHECK(cluster.Holder()->router.Stats().freed == 1);
}

// Guards against requests that wait until their deadline for an entry that has ended.
TEST_CASE("requests that wait at a stopping holder move to the next holder") {
  Cluster cluster(3, 2);
  const auto others = cluster.Others();
  Reason reason;
  REQUIRE(cluster.Holder()->router.Acquire(Quick(2000), &reason));
  std::optional<SlotGrant> granted;
  std::thread waiter([&] { granted = others[0]->router.Acquire(Quick(20000), &reason); });
  CHECK(Eventually([&] { return cluster.Holder()->router.AllocatorStats().waiting_short == 1; }));
  cluster.Holder().reset();
  std::erase(cluster.nodes, nullptr);
  waiter.join();
  CHECK(granted);
  CHECK(others[0]->router.Stats().rerouted == 1);
}

// Guards against malformed input that disturbs a node, and against serving processes that are not
// configured as peers.
TEST_CASE("connections with malformed input or of unknown processes are closed and counted") {
  Cluster cluster(2, 3);
  Node& node = *cluster.nodes.front();
  const Endpoint endpoint = Node::Settings(1, 2, 3).peer;
  const std::string unknown_process =
      EncodeFrame(Hello{"x", DataCentreName("dc1"), Incarnation("run"), 0});
  const std::string early = EncodeFrame(RecordsRequest{0});
  std::uint64_t malformed = 0;
  for (const std::string& bytes : {std::string("\xff\xff\xff\xff", 4), unknown_process, early}) {
    TcpConnection socket;
    REQUIRE(socket.Connect(endpoint.address, endpoint.port, 1000) == TcpStatus::kOk);
    std::size_t count = 0;
    REQUIRE(socket.WriteSome(bytes.data(), bytes.size(), &count) == TcpStatus::kOk);
    char byte = 0;
    CHECK(socket.Read(&byte, 1, &count) == TcpStatus::kClosed);
    ++malformed;
    CHECK(Eventually([&] { return node.peers.stats().malformed == malformed; }));
  }
  CHECK(node.peers.LiveNames().size() == 2);
}

// Guards against relayed records that leave a gap or are applied twice, and against restoring a
// state that is older than the view.
TEST_CASE("peers relay records and states to a follower without a log") {
  Cluster cluster(2, 4);
  FleetFollower& ahead = cluster.nodes[0]->follower;
  FleetFollower& behind = cluster.nodes[1]->follower;
  std::uint64_t offset = 1;
  const auto append = [&](std::size_t count) {
    for (std::size_t index = 0; index < count; ++index, ++offset) {
      ahead.ApplyRecords({{.offset = offset, .time_ms = 1, .payload = "damaged"}});
    }
  };
  append(5);
  CHECK(Eventually([&] { return *behind.View() == *ahead.View(); }));
  CHECK(cluster.nodes[1]->peers.stats().states_restored == 0);
  behind.ApplyRecords({{.offset = 8, .time_ms = 1, .payload = "gap"}});
  behind.ApplyRecords({{.offset = 2, .time_ms = 1, .payload = Node::TestRecord()}});
  CHECK(behind.View()->next_offset == 6);
  cluster.nodes[1]->peers.Stop();
  append(config::kRelayRecords + 1);
  const FollowerState state = ahead.State();
  append(1);
  CHECK(behind.RestoreState(ahead.State()));
  CHECK_FALSE(behind.RestoreState(state));
  CHECK(*behind.View() == *ahead.View());
}

// Guards against asking peers too often, asking one that never answers again and again, and not
// asking while the log service doesn't answer.
TEST_CASE("records are requested from the peer with the highest offset and then from another") {
  const auto member = [](const char* name, const char* dc, std::uint64_t applied) {
    return PeerMember{.name = name, .data_centre = DataCentreName(dc), .applied = applied};
  };
  RelayInputs inputs{.next_offset = 5, .connected = true, .data_centre = DataCentreName("dc1")};
  inputs.alive = {member("a", "dc2", 9), member("b", "dc1", 9), member("c", "dc1", 8)};
  RelayPeerSelector selector;
  const auto ask = [&](std::int64_t now) {
    inputs.now = Milliseconds(now);
    return selector.SelectPeer(inputs).value_or("");
  };
  CHECK(ask(0).empty());
  CHECK(ask(config::kRelayDelayMs) == "b");
  CHECK(ask(config::kRelayDelayMs + 1).empty());
  CHECK(ask(config::kRelayDelayMs + config::kRelayRetryMs) == "a");
  inputs.next_offset = 6;
  inputs.connected = false;
  CHECK(ask(2000) == "b");
  inputs.next_offset = 9;
  CHECK(ask(3000).empty());
}

// Guards against heartbeats that exceed the 30 KB/s of control traffic allowed to a node. Prints
// the figures for docs/membership.md.
TEST_CASE("heartbeat traffic stays within its limit", "[measure]") {
  constexpr int kSeconds = 6;
  constexpr double kMaxBytesPerSecond = 30000;
  int case_number = 10;
  for (const int count : {3, 6, 9, 12}) {
    Cluster cluster(count, case_number++);
    Node& node = *cluster.nodes.front();
    std::this_thread::sleep_for(Milliseconds(1000));
    const std::uint64_t sent = node.peers.stats().bytes_sent;
    const std::uint64_t received = node.peers.stats().bytes_received;
    std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
    const double sent_rate = static_cast<double>(node.peers.stats().bytes_sent - sent) / kSeconds;
    const double received_rate =
        static_cast<double>(node.peers.stats().bytes_received - received) / kSeconds;
    CHECK(sent_rate + received_rate < kMaxBytesPerSecond);
    WARN(count << " entries: " << sent_rate << " B/s sent, " << received_rate << " B/s received");
  }
}

}  // namespace
}  // namespace endivewood::testing
