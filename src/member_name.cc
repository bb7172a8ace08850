/// @file
/// Member names: peer endpoint, holding capacity, data centre and a random part, separated by "/".
#include "member_name.h"

#include <charconv>

#include "endivewood_p.h"
#include "settings.h"

namespace endivewood {
namespace {

constexpr int kRandomDigits = 12;
constexpr int kCapacityPart = 1;
constexpr int kDataCentrePart = 2;
constexpr int kParts = 4;

/// @returns one part of a name; empty if it has fewer parts.
std::string PartOf(const std::string& member, int part) {
  std::size_t begin = 0;
  for (int skipped = 0; skipped < part; ++skipped) {
    const std::size_t slash = member.find('/', begin);
    if (slash == std::string::npos) return "";
    begin = slash + 1;
  }
  return member.substr(begin, member.find('/', begin) - begin);
}

}  // namespace

std::string NewMemberName(const Endpoint& peer_endpoint, int holding_capacity,
                          const DataCentreName& data_centre) {
  return peer_endpoint.str() + "/" + std::to_string(holding_capacity) + "/" + data_centre.str() +
         "/" + RandomHex128().substr(0, kRandomDigits);
}

std::optional<Endpoint> EndpointOfMember(const std::string& member) {
  if (member.find('/') == std::string::npos) return std::nullopt;
  return ParseEndpoint(PartOf(member, 0));
}

int CapacityOfMember(const std::string& member) {
  const std::string text = PartOf(member, kCapacityPart);
  int capacity = 0;
  std::from_chars(text.data(), text.data() + text.size(), capacity);
  return capacity;
}

DataCentreName DataCentreOfMember(const std::string& member) {
  // Members of earlier versions have no data centre in their names.
  return DataCentreName(PartOf(member, kParts - 1).empty() ? "" : PartOf(member, kDataCentrePart));
}

}  // namespace endivewood
