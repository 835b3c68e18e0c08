#include "ridgeferry/net/HttpServer.h"

#include "EvHttp.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <list>

namespace ridgeferry::net {

namespace {

void
OnClosed(evhttp_connection*, void* aContext)
{
  static_cast<HttpExchange*>(aContext)->NoteClosed();
}

void
AddHeaders(evhttp_request* aRequest, const HttpHeaders& aHeaders)
{
  evkeyvalq* out = evhttp_request_get_output_headers(aRequest);
  for (const auto& [name, value] : aHeaders.All()) {
    evhttp_add_header(out, name.c_str(), value.c_str());
  }
}

std::string
DecodePath(const evhttp_uri* aUri)
{
  const char* path = evhttp_uri_get_path(aUri);
  if (path == nullptr) {
    return "/";
  }
  std::size_t length = 0;
  char* decoded = evhttp_uridecode(path, 0, &length);
  std::string out =
    decoded == nullptr ? std::string(path) : std::string(decoded, length);
  free(decoded); // NOLINT: allocated by the library with malloc.
  return out;
}

std::string
PeerOf(evhttp_connection* aConnection)
{
  char* ip = nullptr;
  std::uint16_t port = 0;
  evhttp_connection_get_peer(aConnection, &ip, &port);
  return Address{ ip == nullptr ? "" : ip, port }.ToString();
}

} // namespace

HttpExchange::HttpExchange(evhttp_request* aRequest)
  : m_request(aRequest)
  , m_connection(evhttp_request_get_connection(aRequest))
  , m_method(CommandName(evhttp_request_get_command(aRequest)))
  , m_headers(CopyHeaders(evhttp_request_get_input_headers(aRequest)))
  , m_body(TakeBytes(evhttp_request_get_input_buffer(aRequest)))
  , m_peer(PeerOf(m_connection))
{
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  m_path = DecodePath(uri);
  const char* query = evhttp_uri_get_query(uri);
  m_query = query == nullptr ? "" : query;
  evhttp_connection_set_closecb(m_connection, &OnClosed, this);
  // Without an interest in reading, a caller's close would go unseen.
  bufferevent_enable(evhttp_connection_get_bufferevent(m_connection), EV_READ);
}

HttpExchange::~HttpExchange()
{
  Abort(); // Nobody is left to answer.
}

std::string
HttpExchange::QueryValue(std::string_view aName) const
{
  evkeyvalq values{};
  if (evhttp_parse_query_str(m_query.c_str(), &values) != 0) {
    return {};
  }
  const char* found = evhttp_find_header(&values, std::string(aName).c_str());
  std::string out = found == nullptr ? "" : found;
  evhttp_clear_headers(&values);
  return out;
}

void
HttpExchange::Detach()
{
  evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
  m_request = nullptr;
  m_connection = nullptr;
}

void
HttpExchange::NoteClosed()
{
  // The library has taken a request that was not answered yet off its
  // connection and left it to us; one that is still on it dies with it.
  if (m_request != nullptr &&
      evhttp_request_get_connection(m_request) == nullptr) {
    evhttp_request_free(m_request);
  }
  m_request = nullptr;
  m_connection = nullptr;
  const auto self = weak_from_this().lock();
  m_left.emit();
}

void
HttpExchange::Reply(int aStatus,
                    const HttpHeaders& aHeaders,
                    std::string_view aBody)
{
  if (m_request == nullptr) {
    return;
  }
  evhttp_request* request = m_request;
  Detach();
  AddHeaders(request, aHeaders);
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aBody.data(), aBody.size());
  evhttp_send_reply(request, aStatus, nullptr, body);
  evbuffer_free(body);
}

void
HttpExchange::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  if (m_request == nullptr) {
    return;
  }
  AddHeaders(m_request, aHeaders);
  evhttp_send_reply_start(m_request, aStatus, nullptr);
}

void
HttpExchange::SendChunk(std::string_view aBytes)
{
  if (m_request == nullptr || aBytes.empty()) {
    return;
  }
  evbuffer* piece = evbuffer_new();
  evbuffer_add(piece, aBytes.data(), aBytes.size());
  evhttp_send_reply_chunk(m_request, piece);
  evbuffer_free(piece);
}

void
HttpExchange::EndStream()
{
  if (m_request == nullptr) {
    return;
  }
  evhttp_request* request = m_request;
  Detach();
  evhttp_send_reply_end(request);
}

void
HttpExchange::Abort()
{
  if (m_request == nullptr) {
    return;
  }
  evhttp_connection* connection = m_connection;
  Detach();
  evhttp_connection_free(connection);
}

std::size_t
HttpExchange::Backlog() const
{
  if (m_connection == nullptr) {
    return 0;
  }
  return evbuffer_get_length(
    bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection)));
}

struct HttpServer::Impl
{
  evhttp* m_http = nullptr;
  Handler m_handler;
  Address m_bound;

  Impl() = default;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl()
  {
    if (m_http != nullptr) {
      evhttp_free(m_http);
    }
  }
};

namespace {

void
OnRequest(evhttp_request* aRequest, void* aContext)
{
  static_cast<HttpServer::Impl*>(aContext)->m_handler(
    std::make_shared<HttpExchange>(aRequest));
}

Address
BoundAddress(evhttp_bound_socket* aSocket, const Address& aAsked)
{
  sockaddr_in actual{};
  socklen_t length = sizeof(actual);
  getsockname(evhttp_bound_socket_get_fd(aSocket),
              reinterpret_cast<sockaddr*>(&actual),
              &length);
  return { aAsked.m_ip, ntohs(actual.sin_port) };
}

} // namespace

HttpServer::HttpServer(std::unique_ptr<Impl> aImpl)
  : m_impl(std::move(aImpl))
{
}

HttpServer::~HttpServer() = default;

const Address&
HttpServer::Bound() const
{
  return m_impl->m_bound;
}

tl::expected<std::unique_ptr<HttpServer>, NetError>
HttpServer::Listen(EventLoop& aLoop,
                   const Address& aAddress,
                   HttpServerLimits aLimits,
                   Handler aHandler)
{
  auto impl = std::make_unique<Impl>();
  impl->m_handler = std::move(aHandler);
  impl->m_http = evhttp_new(aLoop.Base());
  if (impl->m_http == nullptr) {
    return tl::unexpected(NetError{ "make a server", std::strerror(errno) });
  }
  evhttp_set_max_headers_size(
    impl->m_http, static_cast<ev_ssize_t>(aLimits.m_maxHeaderBytes));
  evhttp_set_max_body_size(impl->m_http,
                           static_cast<ev_ssize_t>(aLimits.m_maxBodyBytes));
  evhttp_set_allowed_methods(impl->m_http,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
                               EVHTTP_REQ_HEAD);
  evhttp_set_timeout(
    impl->m_http,
    static_cast<int>(
      std::chrono::duration_cast<std::chrono::seconds>(aLimits.m_idleTimeout)
        .count()));
  evhttp_set_gencb(impl->m_http, &OnRequest, impl.get());
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(
    impl->m_http, aAddress.m_ip.c_str(), aAddress.m_port);
  if (socket == nullptr) {
    return tl::unexpected(
      NetError{ "listen on " + aAddress.ToString(), std::strerror(errno) });
  }
  impl->m_bound = BoundAddress(socket, aAddress);
  return std::make_unique<HttpServer>(std::move(impl));
}

} // namespace ridgeferry::net
