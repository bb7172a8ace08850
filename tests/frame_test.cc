/// @file
/// Tests of peer frames: round trips and malformed input.
#include "frame.h"

#include <catch2/catch.hpp>
#include <random>

#include "codec.h"
#include "config.h"

namespace endivewood::testing {
namespace {

std::vector<PeerMessage> EveryMessage() {
  const Incarnation run("0123456789abcdef0123456789abcdef");
  const SlotRequest slot{.service = ServiceName("quick"),
                         .work_class = WorkClass::kLong,
                         .queue_deadline = Milliseconds(700),
                         .avoid = {InstanceName("i1")},
                         .age = Milliseconds(3)};
  const SlotGrant grant{.id = 7,
                        .upstream = InstanceName("i2"),
                        .endpoint = {.address = "10.0.0.1", .port = 80},
                        .assignment = 4};
  return {Hello{"entry-1", DataCentreName("dc1"), run, 12},
          Heartbeat{run, DataCentreName("dc1"), 13},
          Leave{run},
          SnapshotRequest{5},
          SnapshotReply{{"state", 2, 1, 99}},
          RecordsRequest{4},
          Records{{{4, 1, "a"}, {5, 2, std::string(300, '\0')}}},
          Acquire{1, slot},
          Grant{1, grant},
          Refuse{2, {ResultCode::kNotRunDeadline, "late"}},
          CancelAcquire{3},
          Release{7, SlotOutcome::kTimeout, Milliseconds(9)},
          CheckpointRequest{7}};
}

/// @returns how many messages a decoder finds before the input ends or is malformed.
std::size_t DecodeAll(const std::string& bytes, std::size_t chunk, bool* malformed) {
  FrameDecoder decoder(config::kMaxFrameBytes);
  std::size_t messages = 0;
  for (std::size_t begin = 0; begin < bytes.size(); begin += chunk) {
    decoder.Feed(bytes.data() + begin, std::min(chunk, bytes.size() - begin));
    while (decoder.Next()) ++messages;
  }
  *malformed = decoder.malformed();
  return messages;
}

// Guards against fields that are not encoded, and against errors with frames split over several
// reads.
TEST_CASE("every message decodes to what was encoded, however the bytes are split") {
  const auto messages = EveryMessage();
  REQUIRE(messages.size() == std::variant_size_v<PeerMessage>);
  for (const PeerMessage& message : messages) {
    const std::string frame = EncodeFrame(message);
    FrameDecoder decoder(config::kMaxFrameBytes);
    for (const char byte : frame) {
      CHECK_FALSE(decoder.Next());
      decoder.Feed(&byte, 1);
    }
    CHECK(decoder.Next() == message);
  }
}

// Guards against a peer that makes this process allocate without limit: lengths beyond the
// limit, arrays that announce more than the frame holds, values out of range, unknown kinds.
TEST_CASE("oversized and wrongly typed frames are malformed") {
  const auto frame = [](const std::string& body) {
    std::string bytes = {0, 0, 0, static_cast<char>(body.size())};
    return bytes + body;
  };
  const std::vector<std::string> inputs = {
      std::string("\xff\xff\xff\xff", 4),
      frame(""),
      frame("\xc0"),
      frame("\xdd\xff\xff\xff\xff"),
      frame("\xdf\xff\xff\xff\xff"),
      frame(std::string(200, '\x91')),
      frame(Pack(std::make_tuple(99, std::make_tuple(1)))),
      frame(Pack(std::make_tuple(0, std::string("hello")))),
      frame(Pack(std::make_tuple(10, std::make_tuple(1), 3))),
      frame(Pack(std::make_tuple(10, std::make_tuple(-1)))),
      frame(Pack(std::make_tuple(2, std::make_tuple(std::string())))),
      frame(Pack(std::make_tuple(11, std::make_tuple(1, 200, 0))))};
  for (const std::string& input : inputs) {
    bool malformed = false;
    CHECK(DecodeAll(input, input.size(), &malformed) == 0);
    CHECK(malformed);
  }
  FrameDecoder strict(config::kMaxHelloBytes);
  const std::string long_frame = EncodeFrame(Records{{{0, 0, std::string(2000, 'x')}}});
  strict.Feed(long_frame.data(), 4);
  CHECK_FALSE(strict.Next());
  CHECK(strict.malformed());
}

// Guards against a decoder that crashes, hangs or reads past its input on corrupted bytes, and
// against results that depend on how the bytes are split.
TEST_CASE("corrupted frames don't crash the decoder") {
  constexpr unsigned kSeed = 20261204;
  constexpr int kRounds = 20000;
  std::mt19937 random(kSeed);
  const auto messages = EveryMessage();
  int malformed_count = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes;
    for (int count = 0; count < 3; ++count) bytes += EncodeFrame(messages[random() % 13]);
    const unsigned corruption = random() % 3;
    if (corruption == 0) bytes.resize(random() % bytes.size());
    if (corruption == 1) bytes[random() % bytes.size()] ^= static_cast<char>(1U << (random() % 8));
    if (corruption == 2) {
      // One draw a statement: the order in which arguments are evaluated differs between machines.
      const std::size_t position = random() % bytes.size();
      bytes.insert(position, 1, static_cast<char>(random()));
    }
    bool malformed = false;
    bool malformed_split = false;
    const std::size_t found = DecodeAll(bytes, bytes.size(), &malformed);
    REQUIRE(found <= 3);
    REQUIRE(found == DecodeAll(bytes, 1 + random() % 9, &malformed_split));
    REQUIRE(malformed == malformed_split);
    malformed_count += malformed ? 1 : 0;
  }
  CHECK(malformed_count > kRounds / 10);
}

}  // namespace
}  // namespace endivewood::testing
