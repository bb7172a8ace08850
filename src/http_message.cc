/// @file
/// Header lookup in HTTP messages.
#include <algorithm>
#include <cctype>

#include "endivewood_p.h"

namespace endivewood {
namespace {

const std::string* FindHeader(const std::vector<HttpHeader>& headers, const std::string& name) {
  for (const HttpHeader& header : headers) {
    const bool same = header.name.size() == name.size() &&
                      std::equal(name.begin(), name.end(), header.name.begin(),
                                 [](char a, char b) { return std::tolower(a) == std::tolower(b); });
    if (same) return &header.value;
  }
  return nullptr;
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  const std::string* value = FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

std::string HttpReply::Header(const std::string& name) const {
  const std::string* value = FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace endivewood
