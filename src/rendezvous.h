/// @file
/// Rendezvous hashing: processes with the same list of names compute the same ranking for a key.
#pragma once

#include <string>
#include <vector>

namespace endivewood {

/// @returns the names in descending order of their weight for the key; the first one is the holder.
/// Removing a name doesn't change the order of the others.
std::vector<std::string> RendezvousRank(const std::string& key, std::vector<std::string> names);

}  // namespace endivewood
