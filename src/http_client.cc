/// @file
/// HTTP calls on cxxtools::http::Client.
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>

#include "http_convert.h"

namespace endivewood {
namespace {

HttpReply Convert(const cxxtools::http::Reply& reply) {
  HttpReply converted{
      .status = static_cast<int>(reply.httpReturnCode()), .headers = {}, .body = reply.body()};
  for (auto it = reply.header().begin(); it != reply.header().end(); ++it) {
    converted.headers.push_back({it->first, it->second});
  }
  return converted;
}

/// @returns whether the body has the length that Content-Length declares.
bool HasDeclaredLength(const HttpReply& reply) {
  const std::string length = reply.Header("Content-Length");
  return length.empty() || length == std::to_string(reply.body.size());
}

}  // namespace

cxxtools::http::Request ConvertRequest(const HttpRequest& request, bool keep) {
  // cxxtools sends qparams() only with GET.
  const std::string query = request.query.empty() ? "" : "?" + request.query;
  cxxtools::http::Request converted(request.path + query);
  converted.method(request.method);
  for (const HttpHeader& header : request.headers) {
    converted.setHeader(header.name.c_str(), header.value.c_str());
  }
  converted.setHeader("Connection", keep ? "keep-alive" : "close");
  converted.body() << request.body;
  return converted;
}

HttpOutcome ExecuteOn(cxxtools::http::Client* client, const cxxtools::http::Request& request,
                      Milliseconds timeout) {
  const cxxtools::Milliseconds limit(static_cast<double>(timeout.count()));
  try {
    client->execute(request, limit, limit);
    HttpReply reply = Convert(client->readBody());
    if (!HasDeclaredLength(reply)) {
      return {.reply = std::nullopt,
              .failure = CallFailure::kNoAnswer,
              .detail = "the body doesn't have the length of Content-Length"};
    }
    return {.reply = std::move(reply), .failure = CallFailure::kNoAnswer, .detail = ""};
  } catch (const cxxtools::IOTimeout& error) {
    return {.reply = std::nullopt, .failure = CallFailure::kTimeout, .detail = error.what()};
  } catch (const std::exception& error) {
    return {.reply = std::nullopt, .failure = CallFailure::kNoAnswer, .detail = error.what()};
  }
}

HttpOutcome HttpCall(const Endpoint& peer, const HttpRequest& request, Milliseconds timeout) {
  cxxtools::http::Client client;
  try {
    client.connect(peer.address, peer.port);
  } catch (const std::exception& error) {
    return {.reply = std::nullopt, .failure = CallFailure::kNotSent, .detail = error.what()};
  }
  return ExecuteOn(&client, ConvertRequest(request, false), timeout);
}

}  // namespace endivewood
