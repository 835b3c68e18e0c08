#include "PeerRows.h"

#include <algorithm>
#include <limits>
#include <ridgeferry/protocol/Messages.h>

namespace ridgeferry::entry {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr const char* kPath = "/rows";
/** Time-out of a request to a peer. Peers answer within milliseconds; a slow or
 * dead one is not waited for, because another peer or the store has the same
 * rows. A whole table of a hundred kilobytes takes 0.1 s on the slowest links.
 */
constexpr Duration kTimeout{ 300 };
/** Room in a head for what instances add to a caller's, in bytes: three short
 * fields, one of which may hold the id of an event. */
constexpr std::size_t kInstanceHeaderBytes = 4096;
/** Limits on requests of other instances where the callers' are not higher, in
 * bytes. */
constexpr std::size_t kHeadBytes = std::size_t{ 1024 } * 1024;
constexpr std::size_t kBodyBytes = std::size_t{ 64 } * 1024 * 1024;

std::string
NameOf(Peers::Table aTable)
{
  return aTable == Peers::Table::Config ? "configuration" : "upstreams";
}

/** The instance that a caller reached judges the size of its call, by a
 * configuration that may be later than the one here. What bodies take in all is
 * bounded by the memory that they share. */
net::HttpServerLimits
LimitsFor(const relay::CallerLimits& aLimits)
{
  net::HttpServerLimits out;
  out.m_maxHeaderBytes =
    std::max(kHeadBytes, aLimits.m_headBytes + kInstanceHeaderBytes);
  out.m_maxBodyBytes = std::max(kBodyBytes, aLimits.m_bodyBytes);
  return out;
}

} // namespace

PeerRows::PeerRows(EntryNode& aNode, const Peers& aPeers)
  : m_node(aNode)
  , m_peers(aPeers)
{
}

tl::expected<void, net::NetError>
PeerRows::Start()
{
  auto server = net::HttpServer::Listen(
    *m_node.m_loop,
    m_node.m_settings.m_peers,
    LimitsFor({}),
    [this](const std::shared_ptr<net::HttpExchange>& aExchange) {
      Answer(aExchange);
    });
  if (!server) {
    return tl::unexpected(server.error());
  }
  m_server = std::move(*server);
  m_server->ShareBodies(m_node.m_bodies.get());
  m_server->EchoField(std::string(kAttemptField));
  // The caller's instance has found the size within its limits.
  m_server->AskWhetherLimitsMayBeOld([] { return true; });
  return {};
}

void
PeerRows::Serve(Table aTable, Source aSource)
{
  Serve(NameOf(aTable), std::move(aSource));
}

void
PeerRows::Serve(const std::string& aName, Source aSource)
{
  m_sources[aName] = std::move(aSource);
}

void
PeerRows::TakeForwarded(Forwarded aForwarded)
{
  m_forwarded = std::move(aForwarded);
}

void
PeerRows::UseLimits(const relay::CallerLimits& aLimits)
{
  m_server->SetLimits(LimitsFor(aLimits));
}

void
PeerRows::Answer(const std::shared_ptr<net::HttpExchange>& aExchange)
{
  const auto terms = ReadForwarded(aExchange->Headers());
  if (terms && m_forwarded) {
    m_forwarded(aExchange, *terms);
  } else {
    AnswerRows(*aExchange);
  }
}

void
PeerRows::AnswerRows(net::HttpExchange& aExchange)
{
  const auto request = protocol::DecodeRowsRequest(aExchange.Body());
  if (aExchange.Path() != kPath || !request) {
    aExchange.Reply(kBadRequest, {}, {});
    return;
  }
  const auto source = m_sources.find(request->m_table);
  if (source == m_sources.end()) {
    aExchange.Reply(kNotFound, {}, {});
    return;
  }
  m_node.m_metrics.Count("peer_rows_served_total");
  aExchange.Reply(
    kOk,
    {},
    protocol::Encode(protocol::RowsReply{
      source->second(request->m_after), m_clock ? m_clock() : std::nullopt }));
}

std::optional<relay::TableSlice>
PeerRows::Decode(const net::HttpResponse& aResponse, Instant aAsked)
{
  if (aResponse.m_end != net::HttpEnd::Complete ||
      aResponse.m_head.m_status != kOk) {
    m_node.m_metrics.Count("peer_rows_failed_total");
    return std::nullopt;
  }
  auto reply = protocol::DecodeRowsReply(aResponse.m_body);
  if (!reply) {
    m_node.m_metrics.Count("peer_rows_failed_total");
    m_node.m_log->Write(observe::LogLevel::Warning,
                        "peer-rows-rejected",
                        { { "cause", reply.error().m_cause } });
    return std::nullopt;
  }
  if (reply->m_latestClock) {
    m_clockRead.emit(*reply->m_latestClock, aAsked);
  }
  return std::move(reply->m_slice);
}

void
PeerRows::ServeClock(Clock aClock)
{
  m_clock = std::move(aClock);
}

void
PeerRows::Ask(Table aTable, StorePosition aAfter, const Answered& aAnswered)
{
  const auto peer = m_peers.PickAhead(aTable, aAfter);
  if (!peer) {
    m_node.m_loop->Defer([aAnswered] { aAnswered(std::nullopt); });
    return;
  }
  AskPeer(*peer, NameOf(aTable), aAfter, aAnswered);
}

void
PeerRows::AskClock(const std::string& aPeer, StoreGeneration aGeneration)
{
  // No change lies behind the last version, so the answer has no rows.
  const StorePosition last{ aGeneration,
                            std::numeric_limits<std::int64_t>::max() };
  AskPeer(aPeer,
          NameOf(Table::Config),
          last,
          [](const std::optional<relay::TableSlice>&) {});
}

void
PeerRows::AskPeer(const std::string& aPeer,
                  const std::string& aName,
                  StorePosition aAfter,
                  const Answered& aAnswered)
{
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_address = aPeer;
  request.m_target = kPath;
  request.m_maxBody = net::kMaxStoreBody;
  request.m_body = protocol::Encode(protocol::RowsRequest{ aName, aAfter });
  request.m_timeout = kTimeout;
  request.m_connectTimeout = kTimeout;
  request.m_fresh = true;
  // The connection is closed after the answer, because the next request goes to
  // another peer.
  request.m_keepIdle = 0;
  m_node.m_metrics.Count("peer_rows_asked_total");
  net::HttpCallbacks callbacks;
  callbacks.m_done = [this, aAnswered, asked = m_node.Now()](
                       const net::HttpResponse& aResponse) {
    aAnswered(Decode(aResponse, asked));
  };
  m_node.m_http->Send(request, std::move(callbacks));
}

} // namespace ridgeferry::entry
