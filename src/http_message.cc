/// @file
/// Header lookup in HTTP messages.
#include <algorithm>
#include <cctype>

#include "endivewood_p.h"

namespace endivewood {
namespace {

bool HasName(const HttpHeader& header, const std::string& name) {
  return header.name.size() == name.size() &&
         std::equal(name.begin(), name.end(), header.name.begin(),
                    [](char a, char b) { return std::tolower(a) == std::tolower(b); });
}

const std::string* FindHeader(const std::vector<HttpHeader>& headers, const std::string& name) {
  for (const HttpHeader& header : headers) {
    if (HasName(header, name)) return &header.value;
  }
  return nullptr;
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  const std::string* value = FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

std::size_t HttpRequest::CountHeaders(const std::string& name) const {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(),
                    [&](const HttpHeader& header) { return HasName(header, name); }));
}

std::string HttpReply::Header(const std::string& name) const {
  const std::string* value = FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace endivewood
