/// @file
/// Conversion between the library's HTTP types and those of cxxtools.
#pragma once

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include "endivewood_p.h"

namespace endivewood {

/// Converts a request and sets its Connection header.
/// @param keep whether the connection is kept open after the response.
cxxtools::http::Request ConvertRequest(const HttpRequest& request, bool keep);

/// Executes a request on a connected client. After a failure the client must be discarded.
HttpOutcome ExecuteOn(cxxtools::http::Client* client, const cxxtools::http::Request& request,
                      Milliseconds timeout);

}  // namespace endivewood
