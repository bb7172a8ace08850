/// @file
/// msgpack encoding of the library's value types.
#pragma once

#include <endivewood/endivewood.h>

#include <msgpack.hpp>
#include <utility>

#include "api_key.h"

MSGPACK_ADD_ENUM(endivewood::WorkClass)
MSGPACK_ADD_ENUM(endivewood::InstanceState)
MSGPACK_ADD_ENUM(endivewood::WaveState)
MSGPACK_ADD_ENUM(endivewood::DrainReason)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  /// A Name is encoded as a string.
  template <typename Tag>
  struct convert<endivewood::Name<Tag>> {
    const msgpack::object& operator()(const msgpack::object& object,
                                      endivewood::Name<Tag>& value) const {
      value = endivewood::Name<Tag>(object.as<std::string>());
      return object;
    }
  };

  template <typename Tag>
  struct pack<endivewood::Name<Tag>> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer,
                                        const endivewood::Name<Tag>& value) const {
      return packer.pack(value.str());
    }
  };

  /// A digest of a key is encoded as a string of its bytes.
  template <>
  struct convert<endivewood::KeyDigest> {
    const msgpack::object& operator()(const msgpack::object& object,
                                      endivewood::KeyDigest& value) const {
      value = endivewood::KeyDigest(object.as<std::string>());
      return object;
    }
  };

  template <>
  struct pack<endivewood::KeyDigest> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer,
                                        const endivewood::KeyDigest& value) const {
      return packer.pack(value.bytes());
    }
  };

  /// A duration is encoded as an integer number of milliseconds.
  template <>
  struct convert<endivewood::Milliseconds> {
    const msgpack::object& operator()(const msgpack::object& object,
                                      endivewood::Milliseconds& value) const {
      value = endivewood::Milliseconds(object.as<std::int64_t>());
      return object;
    }
  };

  template <>
  struct pack<endivewood::Milliseconds> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer,
                                        const endivewood::Milliseconds& value) const {
      return packer.pack(static_cast<std::int64_t>(value.count()));
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

/// Defines the msgpack adaptors of a struct, which is encoded as an array of the listed members.
#define ENDIVEWOOD_CODEC(Type, ...)                                                          \
  namespace msgpack {                                                                        \
  MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {                                    \
    namespace adaptor {                                                                      \
    template <>                                                                              \
    struct convert<Type> {                                                                   \
      const msgpack::object& operator()(const msgpack::object& object, Type& v) const {      \
        msgpack::type::make_define_array(__VA_ARGS__).msgpack_unpack(object);                \
        return object;                                                                       \
      }                                                                                      \
    };                                                                                       \
    template <>                                                                              \
    struct pack<Type> {                                                                      \
      template <typename Stream>                                                             \
      msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& p, const Type& v) const { \
        msgpack::type::make_define_array(__VA_ARGS__).msgpack_pack(p);                       \
        return p;                                                                            \
      }                                                                                      \
    };                                                                                       \
    }                                                                                        \
  }                                                                                          \
  }

// In the member lists, `v` is the value to encode or decode; it is const while encoding.
// clang-format off
ENDIVEWOOD_CODEC(endivewood::Endpoint, v.address, v.port)
ENDIVEWOOD_CODEC(endivewood::ConfigPublished, v.yaml)
ENDIVEWOOD_CODEC(endivewood::PresetSwitched, v.preset)
ENDIVEWOOD_CODEC(endivewood::InstanceAdded, v.instance, v.data_centre, v.rack, v.endpoint, v.slots)
ENDIVEWOOD_CODEC(endivewood::DrainStarted, v.instance, v.reason, v.based_on_version,
                 v.min_ready_remaining)
ENDIVEWOOD_CODEC(endivewood::RebootStarted, v.instance)
ENDIVEWOOD_CODEC(endivewood::InstanceAssigned, v.instance, v.pool, v.limit)
ENDIVEWOOD_CODEC(endivewood::InstanceLost, v.instance)
ENDIVEWOOD_CODEC(endivewood::InstanceRemoved, v.instance)
ENDIVEWOOD_CODEC(endivewood::WaveStarted, v.wave, v.pool)
ENDIVEWOOD_CODEC(endivewood::WavePaused, v.wave, v.cause, v.automatic)
ENDIVEWOOD_CODEC(endivewood::WaveResumed, v.wave)
ENDIVEWOOD_CODEC(endivewood::WaveFinished, v.wave)
ENDIVEWOOD_CODEC(endivewood::SnapshotTaken, v.end_offset, v.state)
// clang-format on

namespace endivewood {

/// @returns the msgpack encoding of a value.
template <typename T>
std::string Pack(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return std::string(buffer.data(), buffer.size());
}

/// @returns the value, or no value when the bytes aren't the encoding of exactly one T.
template <typename T>
std::optional<T> Unpack(const std::string& bytes) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset);
    if (offset != bytes.size()) return std::nullopt;
    return handle.get().as<T>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// Decodes the alternative with the index `kind` of a variant. Records contain this index.
/// @param unpack called as unpack.template operator()<Alternative>(object); may throw.
/// @returns no value when the variant has no such alternative.
template <typename Variant, typename UnpackAlternative>
std::optional<Variant> DecodeAlternative(std::size_t kind, const msgpack::object& object,
                                         const UnpackAlternative& unpack) {
  std::optional<Variant> decoded;
  const auto decode = [&]<std::size_t kAlternative>() {
    if (kind != kAlternative) return;
    using Alternative = std::variant_alternative_t<kAlternative, Variant>;
    decoded.emplace(unpack.template operator()<Alternative>(object));
  };
  const auto decode_all = [&]<std::size_t... Index>(std::index_sequence<Index...>) {
    (decode.template operator()<Index>(), ...);
  };
  decode_all(std::make_index_sequence<std::variant_size_v<Variant>>{});
  return decoded;
}

/// As above, for variants all of whose alternatives have a codec.
template <typename Variant>
std::optional<Variant> DecodeAlternative(std::size_t kind, const msgpack::object& object) {
  return DecodeAlternative<Variant>(
      kind, object,
      []<typename Alternative>(const msgpack::object& value) { return value.as<Alternative>(); });
}

}  // namespace endivewood
