/// @file
/// Encoding of fleet records: [kind, id, author, expected version, change].
#include <endivewood/endivewood.h>

#include <utility>

#include "codec.h"

namespace endivewood {
namespace {

/// Decodes alternative `index` of FleetChange; the kind on the wire is the alternative's index.
template <std::size_t... Index>
std::optional<FleetChange> DecodeChange(std::size_t kind, const msgpack::object& object,
                                        std::index_sequence<Index...>) {
  std::optional<FleetChange> change;
  auto decode = [&]<std::size_t kAlternative>() {
    if (kind != kAlternative) return;
    change.emplace(object.as<std::variant_alternative_t<kAlternative, FleetChange>>());
  };
  (decode.template operator()<Index>(), ...);
  return change;
}

}  // namespace

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
    auto change =
        DecodeChange(kind, object, std::make_index_sequence<std::variant_size_v<FleetChange>>{});
    if (!change || !id.valid()) return std::nullopt;
    return FleetRecord{
        .id = id, .author = author, .expected_version = expected, .change = std::move(*change)};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace endivewood
