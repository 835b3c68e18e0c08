#include "ridgeferry/net/HttpServer.h"

#include "ServerConnection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <ridgeferry/net/Uri.h>
#include <sys/socket.h>
#include <unordered_map>

namespace ridgeferry::net {

namespace {

/** How often connections are checked for silence: limits are seconds. */
constexpr Duration kTimesTick{ 500 };
/** New connections that the kernel keeps for us: a burst of one second. */
constexpr int kBacklog = 1024;

} // namespace

HttpExchange::HttpExchange(ServerConnection& aConnection,
                           ReceivedRequest aRequest,
                           BodyShare aBody)
  : m_connection(&aConnection)
  , m_request(std::move(aRequest))
  , m_body(std::move(aBody))
{
  const std::string_view target = m_request.m_target;
  const std::size_t mark = target.find('?');
  m_path = DecodeUriPart(target.substr(0, mark));
  if (mark != std::string_view::npos) {
    m_query = target.substr(mark + 1);
  }
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
HttpExchange::NoteClosed()
{
  m_connection = nullptr;
  const auto self = weak_from_this().lock();
  m_left.emit();
}

void
HttpExchange::Reply(int aStatus,
                    const HttpHeaders& aHeaders,
                    std::string_view aBody)
{
  if (ServerConnection* connection = std::exchange(m_connection, nullptr)) {
    connection->SendWhole(aStatus, aHeaders, aBody);
  }
}

void
HttpExchange::ReplyUnframed(int aStatus,
                            const HttpHeaders& aHeaders,
                            std::string_view aBody)
{
  StartStream(aStatus, aHeaders, BodyFraming::Close);
  SendChunk(aBody);
  EndStream();
}

void
HttpExchange::StartStream(int aStatus,
                          const HttpHeaders& aHeaders,
                          BodyFraming aFraming)
{
  if (m_connection != nullptr) {
    m_connection->SendHead(aStatus, aHeaders, aFraming);
  }
}

void
HttpExchange::SendChunk(std::string_view aBytes)
{
  if (m_connection != nullptr && !aBytes.empty()) {
    m_connection->SendChunk(aBytes);
  }
}

void
HttpExchange::EndStream()
{
  if (ServerConnection* connection = std::exchange(m_connection, nullptr)) {
    connection->SendEnd();
  }
}

void
HttpExchange::Abort()
{
  if (ServerConnection* connection = std::exchange(m_connection, nullptr)) {
    connection->Abort();
  }
}

std::size_t
HttpExchange::Backlog() const
{
  return m_connection == nullptr ? 0 : m_connection->Backlog();
}

struct HttpServer::Impl
{
  explicit Impl(EventLoop& aLoop, HttpServerLimits aLimits, Handler aHandler)
    : m_shared{ aLoop, aLimits, std::move(aHandler), true, {}, nullptr, {}, {} }
  {
    m_shared.m_ended = [this](ServerConnection& aEnded) { Remove(aEnded); };
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl()
  {
    if (m_listener != nullptr) {
      evconnlistener_free(m_listener);
    }
    m_ended.clear();
    m_open.clear();
  }

  /** Connections end inside their own callbacks: they are freed after them. */
  void Remove(ServerConnection& aEnded)
  {
    const auto found = m_open.find(&aEnded);
    if (found == m_open.end()) {
      return;
    }
    m_ended.push_back(std::move(found->second));
    m_open.erase(found);
    if (m_ended.size() > 1) {
      return; // A sweep is planned already.
    }
    m_shared.m_loop.Defer([this, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired()) {
        m_ended.clear();
      }
    });
  }

  template<typename Visit>
  void ForEachOpen(Visit aVisit)
  {
    std::vector<ServerConnection*> all;
    all.reserve(m_open.size());
    for (const auto& [connection, owned] : m_open) {
      all.push_back(connection);
    }
    for (ServerConnection* connection : all) {
      aVisit(*connection);
    }
  }

  ServerShared m_shared;
  evconnlistener* m_listener = nullptr;
  Address m_bound;
  Watch m_times;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>>
    m_open;
  std::vector<std::unique_ptr<ServerConnection>> m_ended;
  /** Guards deferred calls against the server's own end. */
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

namespace {

std::string
PeerText(const sockaddr* aAddress)
{
  if (aAddress->sa_family != AF_INET) {
    return {};
  }
  const auto* in = reinterpret_cast<const sockaddr_in*>(aAddress);
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &in->sin_addr, text, sizeof(text));
  return Address{ text, ntohs(in->sin_port) }.ToString();
}

void
OnAccepted(evconnlistener*,
           evutil_socket_t aSocket,
           sockaddr* aPeer,
           int,
           void* aContext)
{
  HttpServer::Impl& impl = *static_cast<HttpServer::Impl*>(aContext);
  auto connection =
    std::make_unique<ServerConnection>(impl.m_shared, aSocket, PeerText(aPeer));
  ServerConnection* key = connection.get();
  impl.m_open.emplace(key, std::move(connection));
}

sockaddr_in
ToSystem(const Address& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &out.sin_addr);
  return out;
}

Address
BoundAddress(evconnlistener* aListener, const Address& aAsked)
{
  sockaddr_in actual{};
  socklen_t length = sizeof(actual);
  getsockname(evconnlistener_get_fd(aListener),
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

void
HttpServer::SetLimits(HttpServerLimits aLimits)
{
  m_impl->m_shared.m_limits = aLimits;
}

void
HttpServer::ShareBodies(BodyBudget* aBudget)
{
  m_impl->m_shared.m_bodies = aBudget;
}

void
HttpServer::AskWhetherLimitsMayBeOld(sigc::slot<bool()> aMayBeOld)
{
  m_impl->m_shared.m_limitsMayBeOld = std::move(aMayBeOld);
}

void
HttpServer::EchoField(std::string aName)
{
  m_impl->m_shared.m_echoedField = std::move(aName);
}

void
HttpServer::StopKeeping()
{
  m_impl->m_shared.m_keepAlive = false;
}

void
HttpServer::CloseResting()
{
  m_impl->ForEachOpen(
    [](ServerConnection& aConnection) { aConnection.CloseIfResting(); });
}

std::size_t
HttpServer::Unsent() const
{
  const auto& open = m_impl->m_open;
  return static_cast<std::size_t>(
    std::count_if(open.begin(), open.end(), [](const auto& aEntry) {
      return aEntry.first->Backlog() > 0;
    }));
}

tl::expected<std::unique_ptr<HttpServer>, NetError>
HttpServer::Listen(EventLoop& aLoop,
                   const Address& aAddress,
                   HttpServerLimits aLimits,
                   Handler aHandler)
{
  auto impl = std::make_unique<Impl>(aLoop, aLimits, std::move(aHandler));
  const sockaddr_in address = ToSystem(aAddress);
  impl->m_listener = evconnlistener_new_bind(
    aLoop.Base(),
    &OnAccepted,
    impl.get(),
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
    kBacklog,
    reinterpret_cast<const sockaddr*>(&address),
    sizeof(address));
  if (impl->m_listener == nullptr) {
    return tl::unexpected(
      NetError{ "listen on " + aAddress.ToString(), std::strerror(errno) });
  }
  impl->m_bound = BoundAddress(impl->m_listener, aAddress);
  impl->m_times = aLoop.Every(kTimesTick, [raw = impl.get()] {
    const Instant now = raw->m_shared.m_loop.Now();
    raw->ForEachOpen(
      [now](ServerConnection& aConnection) { aConnection.CheckTimes(now); });
  });
  return std::make_unique<HttpServer>(std::move(impl));
}

} // namespace ridgeferry::net
