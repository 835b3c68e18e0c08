#include "PeerService.h"

#include <ridgeferry/base/Overloaded.h>
#include <ridgeferry/protocol/Messages.h>

namespace ridgeferry::daemon {

namespace {

constexpr Duration kTick{ 250 };
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

} // namespace

std::string
ProcessId(std::string_view aInstance, std::uint64_t aIncarnation)
{
  return std::string(aInstance) + "@" + std::to_string(aIncarnation);
}

PeerService::PeerService(Node& aNode,
                         membership::Roster& aRoster,
                         ConfigService& aConfig)
  : m_node(aNode)
  , m_roster(aRoster)
  , m_config(aConfig)
{
}

tl::expected<void, net::NetError>
PeerService::Start()
{
  const net::Address& address = m_node.m_settings.m_listen.m_peers;
  auto server = net::HttpServer::Listen(
    *m_node.m_loop,
    address,
    {},
    [this](const std::shared_ptr<net::HttpExchange>& aExchange) {
      OnRequest(aExchange);
    });
  if (!server) {
    return tl::unexpected(server.error());
  }
  auto socket = net::UdpSocket::Bind(
    *m_node.m_loop, address, [this](std::string_view aBytes) {
      OnDatagram(aBytes);
    });
  if (!socket) {
    return tl::unexpected(socket.error());
  }
  m_server = std::move(*server);
  m_socket = std::move(*socket);
  m_timer =
    m_node.m_loop->Every(kTick, [this] { Handle(membership::RosterTick{}); });
  return {};
}

membership::Heartbeat
PeerService::Own() const
{
  membership::Heartbeat out;
  out.m_instance = m_node.m_settings.m_instance;
  out.m_incarnation = m_node.m_incarnation;
  out.m_dataCentre = m_node.m_settings.m_dataCentre;
  out.m_peerAddress = m_node.m_settings.m_listen.m_peers.ToString();
  out.m_ready = m_ready;
  out.m_leaving = m_leaving;
  out.m_revision = m_config.InForce();
  for (const std::string& upstream : m_leavingUpstreams) {
    out.m_leavingUpstreams.push_back({ upstream });
  }
  if (m_digestSource) {
    out.m_engines = m_digestSource();
  }
  return out;
}

void
PeerService::SendTo(std::span<const std::string> aAddresses)
{
  if (aAddresses.empty()) {
    return;
  }
  const std::string bytes = protocol::Encode(Own());
  for (const std::string& text : aAddresses) {
    if (const auto address = net::Address::Parse(text)) {
      m_socket->Send(*address, bytes);
    }
  }
  m_node.m_metrics.Set("peer_bytes_sent",
                       static_cast<double>(m_socket->BytesSent()));
  m_node.m_metrics.Set("peer_bytes_received",
                       static_cast<double>(m_socket->BytesReceived()));
}

void
PeerService::SetDigestSource(
  sigc::slot<std::vector<membership::EngineDigest>()> aSource)
{
  m_digestSource = std::move(aSource);
}

void
PeerService::SendNow()
{
  SendTo(m_roster.LiveAddresses());
}

void
PeerService::SetState(bool aReady, bool aLeaving)
{
  const bool changed = aReady != m_ready || aLeaving != m_leaving;
  m_ready = aReady;
  m_leaving = aLeaving;
  if (changed && m_socket) {
    SendNow();
  }
}

void
PeerService::NoteUpstreamLeaving(const std::string& aUpstream)
{
  if (m_leavingUpstreams.insert(aUpstream).second) {
    SendNow();
  }
}

void
PeerService::NoteListed(std::span<const native::ListedMember> aMembers)
{
  membership::InstancesListed listed;
  std::set<std::string> upstreams;
  for (const native::ListedMember& member : aMembers) {
    if (member.m_kind != native::ListedKind::Instance) {
      upstreams.insert(member.m_id);
      continue;
    }
    if (member.m_id != m_node.m_settings.m_instance) {
      listed.m_instances.push_back({ member.m_id, member.m_address });
    }
  }
  // An upstream that the list no longer names need not be spread any more.
  std::erase_if(m_leavingUpstreams, [&](const std::string& aId) {
    return !upstreams.contains(aId);
  });
  Handle(listed);
}

void
PeerService::OnDatagram(std::string_view aBytes)
{
  auto heartbeat = protocol::DecodeHeartbeat(aBytes);
  if (!heartbeat) {
    m_node.m_metrics.Count("peer_bad_datagrams_total");
    return;
  }
  if (heartbeat->m_dataCentre != m_node.m_settings.m_dataCentre) {
    return;
  }
  const bool ready = heartbeat->m_ready;
  m_digests.emit(heartbeat->m_engines);
  const std::string address = heartbeat->m_peerAddress;
  const config::Revision revision = heartbeat->m_revision;
  Handle(membership::HeartbeatArrived{ std::move(*heartbeat) });
  m_config.NotePeer(address, revision, ready);
}

void
PeerService::Handle(const membership::RosterEvent& aEvent)
{
  std::vector<std::string> addresses;
  for (const membership::RosterAction& action :
       m_roster.Handle(aEvent, m_node.Now())) {
    std::visit(Overloaded{
                 [&](const membership::SendHeartbeat& aSend) {
                   addresses.push_back(aSend.m_peerAddress);
                 },
                 [](const membership::SendDataCentreLoads&) {}, // It tells all.
                 [&](const membership::IncarnationEnded& aEnded) {
                   m_processEnded.emit(
                     ProcessId(aEnded.m_instance, aEnded.m_incarnation));
                 },
                 [&](const membership::UpstreamLeaving& aLeaving) {
                   const std::string& id = aLeaving.m_upstream.m_id;
                   if (m_leavingUpstreams.insert(id).second) {
                     m_upstreamLeaving.emit(id);
                   }
                 } },
               action);
  }
  SendTo(addresses);
}

void
PeerService::OnRequest(const std::shared_ptr<net::HttpExchange>& aExchange)
{
  if (aExchange->Path() != "/peer/changes") {
    aExchange->Reply(kNotFound, {}, "");
    return;
  }
  const auto request = protocol::DecodeChangesRequest(aExchange->Body());
  if (!request) {
    aExchange->Reply(kBadRequest, {}, "");
    return;
  }
  net::HttpHeaders headers;
  headers.Add("Content-Type", "application/x-thrift");
  aExchange->Reply(
    kOk, headers, protocol::Encode(m_config.ChangesAfter(request->m_after)));
}

} // namespace ridgeferry::daemon
