/// @file
/// Rendezvous hashing: every process that knows the same names ranks them alike for a subject.
#pragma once

#include <string>
#include <vector>

namespace endivewood {

/// @returns the names ordered by their weight for the subject, the holder first. Removing a name
/// leaves the order of the others.
std::vector<std::string> RendezvousRank(const std::string& subject, std::vector<std::string> names);

}  // namespace endivewood
