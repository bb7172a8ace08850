/// @file
/// HttpServer on cxxtools::http::Server.
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>

#include <array>
#include <istream>
#include <ostream>
#include <stdexcept>

#include "config.h"
#include "endivewood_p.h"

namespace endivewood {
namespace {

constexpr std::size_t kReadChunkBytes = 16384;

const char* StatusText(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Payload Too Large";
    case 422:
      return "Unprocessable Entity";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

class HandlerService;

/// Reads a request, calls the handler and writes its reply.
class HandlerResponder : public cxxtools::http::Responder {
 public:
  HandlerResponder(cxxtools::http::Service& service, const HttpHandler& handler,
                   std::size_t max_body_bytes)
      : Responder(service), m_handler(handler), m_max_body_bytes(max_body_bytes) {}

  void beginRequest(cxxtools::net::TcpSocket&, std::istream&, cxxtools::http::Request&) override {
    m_body.clear();
    m_too_large = false;
  }

  std::size_t readBody(std::istream& in) override {
    std::array<char, kReadChunkBytes> chunk;
    const std::streamsize available = in.rdbuf()->in_avail();
    const std::streamsize wanted =
        std::min<std::streamsize>(std::max<std::streamsize>(available, 1), chunk.size());
    const std::streamsize got = in.rdbuf()->sgetn(chunk.data(), wanted);
    if (m_body.size() + static_cast<std::size_t>(got) > m_max_body_bytes) {
      m_too_large = true;
    } else {
      m_body.append(chunk.data(), static_cast<std::size_t>(got));
    }
    return static_cast<std::size_t>(got);
  }

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    HttpReply answer;
    if (m_too_large) {
      answer.status = HttpStatusOf(ResultCode::kBodyTooLarge);
      answer.headers.push_back(
          {"Result-Code", std::to_string(static_cast<int>(ResultCode::kBodyTooLarge))});
    } else {
      answer = m_handler(Convert(request));
    }
    reply.httpReturn(static_cast<unsigned>(answer.status), StatusText(answer.status));
    for (const HttpHeader& header : answer.headers) {
      reply.setHeader(header.name.c_str(), header.value.c_str());
    }
    out << answer.body;
  }

 private:
  HttpRequest Convert(const cxxtools::http::Request& request) {
    HttpRequest converted{.method = request.method(),
                          .path = request.url(),
                          .query = request.qparams(),
                          .headers = {},
                          .body = std::move(m_body)};
    for (auto it = request.header().begin(); it != request.header().end(); ++it) {
      converted.headers.push_back({it->first, it->second});
    }
    return converted;
  }

  const HttpHandler& m_handler;
  std::size_t m_max_body_bytes;
  std::string m_body;
  bool m_too_large = false;
};

/// Creates a HandlerResponder for each request.
class HandlerService : public cxxtools::http::Service {
 public:
  HandlerService(HttpHandler handler, std::size_t max_body_bytes)
      : m_handler(std::move(handler)), m_max_body_bytes(max_body_bytes) {}

 protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override {
    return new HandlerResponder(*this, m_handler, m_max_body_bytes);
  }

  void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

 private:
  HttpHandler m_handler;
  std::size_t m_max_body_bytes;
};

}  // namespace

std::string HttpRequest::Parameter(const std::string& name, const std::string& fallback) const {
  cxxtools::QueryParams parameters;
  parameters.parse_url(query);
  return parameters.has(name) ? parameters.param(name) : fallback;
}

struct HttpServer::Impl {
  Impl(const HttpServerOptions& options, HttpHandler handler)
      : service(std::move(handler), options.max_body_bytes),
        server(loop, options.endpoint.address, options.endpoint.port) {
    server.minThreads(std::min(config::kMinHttpThreads, options.max_threads));
    server.maxThreads(options.max_threads);
    server.keepAliveTimeout(cxxtools::Milliseconds(config::kHttpKeepAliveMs));
    server.addService(cxxtools::Regex(".*"), service);
    thread = std::thread([this] { loop.run(); });
  }

  cxxtools::EventLoop loop;
  HandlerService service;
  cxxtools::http::Server server;
  std::thread thread;
};

HttpServer::HttpServer(const HttpServerOptions& options, HttpHandler handler)
    : m_impl(std::make_unique<Impl>(options, std::move(handler))) {}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Stop() {
  if (!m_impl) return;
  m_impl->loop.exit();
  m_impl->thread.join();
  // The destructor of cxxtools' server waits for its threads, which may still write responses.
  m_impl.reset();
}

}  // namespace endivewood
