#include "Peers.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/base/Overloaded.h>
#include <ridgeferry/protocol/Messages.h>

namespace ridgeferry::entry {

namespace {

/**
 * How often an instance tells the others what it has under way. A long prompt
 * occupies an engine for some tens of milliseconds; older news would send the
 * next ones to the same engine. Larger deployments talk less often: each other
 * instance adds its part, so that the bytes stay bounded.
 */
constexpr Duration kTalkEvery{ 40 };
constexpr Duration kTalkEachPeer{ 4 };
/** Missed talks after which an instance counts as dead: about half a second. */
constexpr int kDeadAfterMissed = 10;
/** The store's rows are asked for again after a failure in this time. */
constexpr Duration kRetry{ 500 };
constexpr Duration kStoreTimeout{ 1000 };
/** Instances of a hall that ask the store often: two, so that the loss of one
 * leaves one. (One in place of two saved 3 in 100 calls, measured.) */
constexpr std::ptrdiff_t kOnDutyInHall = 2;
/** Talks within which somebody on duty must have been heard, or this instance
 * asks the store itself: one that is lost is chance, three in a row are not. */
constexpr int kFreshTalks = 3;
/** Most loads of one talk: its datagram stays below a network's packet. */
constexpr std::size_t kMostLoads = 100;

membership::RosterTimes
Times()
{
  membership::RosterTimes out;
  out.m_heartbeatEvery = kTalkEvery;
  out.m_heartbeatEachPeer = kTalkEachPeer;
  out.m_deadAfterMissed = kDeadAfterMissed;
  return out;
}

} // namespace

Peers::Peers(EntryNode& aNode)
  : m_node(aNode)
  , m_roster(aNode.m_settings.m_instance, Times())
  , m_incarnation(static_cast<std::uint64_t>(
      net::EventLoop::WallNow().time_since_epoch().count()))
{
}

tl::expected<void, net::NetError>
Peers::Start()
{
  auto socket = net::UdpSocket::Bind(
    *m_node.m_loop, m_node.m_settings.m_peers, [this](std::string_view aBytes) {
      OnDatagram(aBytes);
    });
  if (!socket) {
    return tl::unexpected(socket.error());
  }
  m_socket = std::move(*socket);
  m_tick = m_node.m_loop->Every(kTalkEvery, [this] {
    ForgetDead();
    Handle(membership::RosterTick{});
    m_node.m_instances = m_roster.LiveCount();
  });
  std::set<std::string> seeds;
  for (const net::Address& seed : m_node.m_settings.m_seeds) {
    seeds.insert(
      net::Address{ seed.m_ip, m_node.m_settings.m_peers.m_port }.ToString());
  }
  SendTo(seeds);
  WriteOwnRow();
  return {};
}

membership::Heartbeat
Peers::Own() const
{
  membership::Heartbeat out;
  out.m_instance = m_node.m_settings.m_instance;
  out.m_incarnation = m_incarnation;
  out.m_hall = m_node.m_settings.m_hall;
  out.m_peerAddress = m_node.m_settings.m_peers.ToString();
  out.m_ready = m_ready;
  out.m_leaving = m_leaving;
  out.m_revision = m_node.m_routes == nullptr ? 0 : m_node.m_routes->Version();
  out.m_leavingUpstreams.assign(m_news.Told().begin(), m_news.Told().end());
  out.m_store = m_storeView;
  for (const relay::OtherLoad& load : m_node.m_fleet.OwnLoads()) {
    if (out.m_engines.size() == kMostLoads) {
      break;
    }
    out.m_engines.push_back({ load.m_member,
                              0,
                              static_cast<std::int32_t>(load.m_running),
                              static_cast<std::int32_t>(load.m_tokens) });
  }
  return out;
}

void
Peers::SendTo(const std::set<std::string>& aAddresses)
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
}

bool
Peers::IsFirstInHall(const std::string& aInstance,
                     const std::string& aHall) const
{
  const std::uint64_t own = Hash64(aInstance);
  const auto isBefore = [&](const std::string& aOther,
                            const std::string& aOtherHall) {
    return aOtherHall == aHall && Hash64(aOther) < own;
  };
  const EntrySettings& self = m_node.m_settings;
  std::ptrdiff_t before =
    !m_leaving && isBefore(self.m_instance, self.m_hall) ? 1 : 0;
  for (const auto& [name, peer] : m_roster.Peers()) {
    if (peer.m_alive && !peer.m_last.m_leaving &&
        isBefore(name, peer.m_last.m_hall)) {
      ++before;
    }
  }
  return before < kOnDutyInHall;
}

bool
Peers::HearsOfStore() const
{
  const Duration fresh = m_roster.HeartbeatInterval() * kFreshTalks;
  const auto& peers = m_roster.Peers();
  return std::any_of(peers.begin(), peers.end(), [&](const auto& aEntry) {
    const membership::PeerView& peer = aEntry.second;
    return !peer.m_last.m_leaving && peer.m_last.m_store &&
           !peer.m_last.m_store->m_lost &&
           m_node.Now() - peer.m_heardAt <= fresh &&
           IsFirstInHall(aEntry.first, peer.m_last.m_hall);
  });
}

bool
Peers::IsOnDuty() const
{
  return IsFirstInHall(m_node.m_settings.m_instance,
                       m_node.m_settings.m_hall) ||
         !HearsOfStore();
}

void
Peers::TellAll()
{
  const std::vector<std::string> live = m_roster.LiveAddresses();
  SendTo({ live.begin(), live.end() });
}

void
Peers::SetState(bool aReady, bool aLeaving)
{
  m_ready = aReady;
  m_leaving = aLeaving;
}

void
Peers::NoteLeaving(const std::string& aUpstream)
{
  if (m_news.NoteListed(aUpstream)) {
    TellAll();
  }
}

void
Peers::NoteGone(const std::string& aUpstream)
{
  m_news.NoteGone(aUpstream);
}

void
Peers::OnDatagram(std::string_view aBytes)
{
  auto heartbeat = protocol::DecodeHeartbeat(aBytes);
  if (!heartbeat) {
    m_node.m_metrics.Count("ridgeferry_bad_datagrams_total");
    return;
  }
  if (heartbeat->m_instance == m_node.m_settings.m_instance) {
    return;
  }
  std::vector<relay::OtherLoad> loads;
  for (const membership::EngineDigest& digest : heartbeat->m_engines) {
    loads.push_back({ digest.m_engine, digest.m_running, digest.m_work });
  }
  if (heartbeat->m_store) {
    m_storeViews.emit(*heartbeat->m_store);
  }
  m_counted.insert(heartbeat->m_instance);
  m_node.m_fleet.SetOther(heartbeat->m_instance, std::move(loads));
  Handle(membership::HeartbeatArrived{ std::move(*heartbeat) });
}

void
Peers::ForgetDead()
{
  const auto& peers = m_roster.Peers();
  std::erase_if(m_counted, [&](const std::string& aInstance) {
    const auto found = peers.find(aInstance);
    const bool alive = found != peers.end() && found->second.m_alive;
    if (!alive) {
      m_node.m_fleet.SetOther(aInstance, {});
      m_node.m_log->Write(
        observe::LogLevel::Info, "peer-silent", { { "peer", aInstance } });
    }
    return !alive;
  });
}

void
Peers::Handle(const membership::RosterEvent& aEvent)
{
  std::set<std::string> addresses;
  for (const membership::RosterAction& action :
       m_roster.Handle(aEvent, m_node.Now())) {
    std::visit(Overloaded{
                 [&](const membership::SendHeartbeat& aSend) {
                   addresses.insert(aSend.m_peerAddress);
                 },
                 [&](const membership::IncarnationEnded&) {},
                 [&](const membership::UpstreamLeaving& aLeaving) {
                   const std::string& id = aLeaving.m_upstream;
                   const bool listed = m_node.m_fleet.Find(id) != nullptr;
                   if (m_news.NoteFromPeer(id, listed)) {
                     m_leaves.emit(id);
                   }
                 },
               },
               action);
  }
  SendTo(addresses);
}

void
Peers::RetryLater(sigc::slot<void()> aWhat)
{
  m_retry = m_node.m_loop->After(kRetry, std::move(aWhat));
}

void
Peers::WriteOwnRow()
{
  net::HttpRequest request = m_node.m_dialect.m_writeStoreWrite(
    { m_node.m_dialect.m_instanceTable,
      m_node.m_settings.m_instance,
      m_node.m_settings.m_peers.ToString() });
  request.m_address = m_node.m_settings.m_store;
  request.m_timeout = kStoreTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [this](const net::HttpResponse& aResponse) {
    if (m_node.m_dialect.m_saysWritten(aResponse)) {
      ReadRows();
      return;
    }
    // It may have been written all the same; writing it again is harmless.
    RetryLater([this] { WriteOwnRow(); });
  };
  m_node.m_http->Send(request, std::move(callbacks));
}

void
Peers::ReadRows()
{
  StoreRead read;
  read.m_table = m_node.m_dialect.m_instanceTable;
  net::HttpRequest request = m_node.m_dialect.m_writeStoreRead(read);
  request.m_address = m_node.m_settings.m_store;
  request.m_timeout = kStoreTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [this](const net::HttpResponse& aResponse) {
    const bool whole = aResponse.m_end == net::HttpEnd::Complete;
    const StoreAnswer answer =
      whole ? m_node.m_dialect.m_readStoreAnswer(aResponse)
            : StoreAnswer(relay::ReadFailed{ "no whole answer" });
    if (const auto* page = std::get_if<StorePage>(&answer)) {
      TakeRows(*page);
    } else {
      RetryLater([this] { ReadRows(); });
    }
  };
  m_node.m_http->Send(request, std::move(callbacks));
}

void
Peers::TakeRows(const StorePage& aPage)
{
  membership::InstancesListed listed;
  for (const relay::FollowedRow& row : aPage.m_rows) {
    if (row.m_key != m_node.m_settings.m_instance) {
      listed.m_instances.push_back({ row.m_key, row.m_value });
    }
  }
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "peers-listed",
    { { "count", static_cast<std::int64_t>(listed.m_instances.size()) } });
  Handle(listed);
}

} // namespace ridgeferry::entry
