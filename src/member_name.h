/// @file
/// Names of the members of the holders' group. The group tells every instance the names of the
/// present holders, so a name holds what others need to know of one.
#pragma once

#include <endivewood/endivewood.h>

#include <optional>
#include <string>

namespace endivewood {

/// @param holding_capacity see HoldingCapacity.
/// @returns a name that differs each time that a process joins the group.
std::string NewMemberName(const Endpoint& peer_endpoint, int holding_capacity,
                          const DataCentreName& data_centre);

/// @returns the endpoint for calls of other instances, or no value.
std::optional<Endpoint> EndpointOfMember(const std::string& member);
/// @returns the holding capacity; 0 if it isn't known.
int CapacityOfMember(const std::string& member);
/// @returns the data centre; an invalid name if it isn't known.
DataCentreName DataCentreOfMember(const std::string& member);

}  // namespace endivewood
