/// @file
/// Encoding of fleet records: [kind, id, author, expected version, change].
#include <endivewood/endivewood.h>

#include <utility>

#include "codec.h"

namespace endivewood {
std::string EncodeFleetRecord(const FleetRecord& record) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  constexpr std::uint32_t kFields = 5;
  packer.pack_array(kFields);
  packer.pack(record.change.index());
  packer.pack(record.id);
  packer.pack(record.author);
  packer.pack(record.expected_version);
  std::visit([&](const auto& change) { packer.pack(change); }, record.change);
  return std::string(buffer.data(), buffer.size());
}

std::optional<FleetRecord> DecodeFleetRecord(const std::string& payload) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(payload.data(), payload.size());
    using Fields = std::tuple<std::size_t, RecordId, Incarnation, std::uint64_t, msgpack::object>;
    const auto [kind, id, author, expected, object] = handle.get().as<Fields>();
    auto change = DecodeAlternative<FleetChange>(kind, object);
    if (!change || !id.valid()) return std::nullopt;
    return FleetRecord{
        .id = id, .author = author, .expected_version = expected, .change = std::move(*change)};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace endivewood
