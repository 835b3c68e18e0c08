#include "Peers.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/base/Overloaded.h>
#include <ridgeferry/membership/ForwardTarget.h>

namespace ridgeferry::entry {

namespace {

/** Interval at which an instance sends its load to the others. A long prompt
 * occupies an engine for some tens of milliseconds; with older loads the next
 * prompts would go to the same engine. Larger deployments send less often: the
 * interval grows by `kHeartbeatIntervalPerPeer` with each other instance, so
 * that the bandwidth stays bounded. */
constexpr Duration kHeartbeatInterval{ 40 };
constexpr Duration kHeartbeatIntervalPerPeer{ 4 };
/** Longest time that an instance which has just started waits for the first
 * heartbeat of another one before it places calls. */
constexpr Duration kMaxWaitForPeers{ 150 };
/** To how many others it tells at once that it has started; they answer at
 * once. All others hear of it with the next heartbeat. */
constexpr std::size_t kToldOfStart = 3;
/** Missed heartbeats after which an instance counts as dead: about half a
 * second. */
constexpr int kDeadAfterMissed = 10;
/** Longest interval at which each instance still sends to every other. In a
 * deployment so large that the interval would be longer, the instances of a
 * data centre send to each other and, together, to the other data centres.
 * Older loads are of no use: an engine's queue of 0.3 s is more than callers
 * wait for. */
constexpr Duration kMostToAll{ 300 };
/** Most loads in one heartbeat, at ten bytes each, so that its datagram fits
 * into one network packet. */
constexpr std::size_t kMostLoads = 120;
/** The loads of another data centre are dropped when no sum has arrived for
 * this time: some ten messages of its instances are lost by then, so it is cut
 * off. */
constexpr Duration kDataCentreLoadsFor{ 2500 };
/** Prefix of the name under which the summed loads of a data centre are
 * counted. It keeps that name apart from those of instances. */
constexpr const char* kDataCentrePrefix = "hall/";
/** Most announcements of prefills in one heartbeat. Each says which upstream
 * has prefilled which prefix segment. */
constexpr std::size_t kMostReads = 30;
/** Most leaving upstreams in one heartbeat, for the same reason. */
constexpr std::size_t kMostLeaving = 30;
/** For how many heartbeat intervals prefills (`kTellReadsTimes`) and crash
 * records (`kTellNewsTimes`) are announced: they are repeated because datagrams
 * are lost now and then. */
constexpr int kTellReadsTimes = 3;
constexpr int kTellNewsTimes = 3;

membership::RosterTimes
Times()
{
  membership::RosterTimes out;
  out.m_heartbeatEvery = kHeartbeatInterval;
  out.m_heartbeatEachPeer = kHeartbeatIntervalPerPeer;
  out.m_deadAfterMissed = kDeadAfterMissed;
  out.m_maxRoundToAll = kMostToAll;
  return out;
}

std::optional<relay::UpstreamRole>
PartOf(membership::EngineRole aPart)
{
  switch (aPart) {
    case membership::EngineRole::Changing:
      return std::nullopt;
    case membership::EngineRole::Prefilling:
      return relay::UpstreamRole::Prefill;
    case membership::EngineRole::Decoding:
      break;
  }
  return relay::UpstreamRole::Decode;
}

membership::EngineRole
DigestOf(std::optional<relay::UpstreamRole> aPart)
{
  if (!aPart) {
    return membership::EngineRole::Changing;
  }
  return *aPart == relay::UpstreamRole::Prefill
           ? membership::EngineRole::Prefilling
           : membership::EngineRole::Decoding;
}

} // namespace

Peers::Peers(EntryNode& aNode,
             StoreGenerations& aGenerations,
             PeerSocket& aSocket)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_socket(aSocket)
  , m_roster(aNode.m_settings.m_instance,
             Times(),
             aNode.m_settings.m_dataCentre)
  , m_incarnation(static_cast<std::uint64_t>(
      net::EventLoop::WallNow().time_since_epoch().count()))
  , m_rows(aNode, aGenerations, m_roster)
  , m_limits(aNode)
  , m_paces(aNode)
{
}

void
Peers::Start()
{
  m_startedAt = m_node.Now();
  m_socket.SignalHeartbeat().connect(
    [this](const membership::Heartbeat& aHeartbeat) {
      TakeHeartbeat(aHeartbeat);
    });
  m_tick = m_node.m_loop->Every(kHeartbeatInterval, [this] {
    ForgetDead();
    ForgetDataCentres();
    Handle(membership::RosterTick{});
    m_node.m_instances = m_roster.LiveCount();
    m_limits.Tick(m_node.m_instances);
    m_paces.Tick();
  });
  m_rows.SignalRead().connect(
    [this](const membership::InstancesListed& aListed) {
      Handle(aListed);
      TellStart();
      m_listed.emit(!m_rows.OtherAddresses().empty());
    });
  std::set<std::string> seeds;
  for (const net::Address& seed : m_node.m_settings.m_seeds) {
    seeds.insert(
      net::Address{ seed.m_ip, m_node.m_settings.m_peers.m_port }.ToString());
  }
  SendTo(seeds);
  m_rows.Start();
}

membership::Heartbeat
Peers::OwnHeartbeat()
{
  membership::Heartbeat out;
  out.m_instance = m_node.m_settings.m_instance;
  out.m_incarnation = m_incarnation;
  out.m_dataCentre = m_node.m_settings.m_dataCentre;
  out.m_peerAddress = m_node.m_settings.m_peers.ToString();
  out.m_ready = m_ready;
  out.m_leaving = m_leaving;
  out.m_revision = m_node.m_routes == nullptr ? 0 : m_node.m_routes->Version();
  out.m_leavingUpstreams = m_leavingAnnouncements.TakeNext(kMostLeaving);
  out.m_store = m_storeView;
  out.m_disaggregatedServices = m_node.m_fleet.ReportedDisaggregatedServices();
  out.m_crashes = m_crashes;
  out.m_quarantineFingerprint = m_quarantineFingerprint;
  m_limits.AddTo(out);
  m_paces.AddTo(out);
  out.m_unreachableServices = m_unreachableServices;
  out.m_runningCalls = static_cast<std::int32_t>(m_node.m_runningCalls);
  for (const relay::RoleUpdate& news : m_ownRoleUpdates) {
    out.m_roles.push_back(
      { relay::Fleet::ShortHash(news.m_engine), DigestOf(news.m_role) });
  }
  const Duration since = m_roster.HeartbeatInterval() * kTellReadsTimes;
  for (const relay::CachedSegment& kept :
       m_node.m_fleet.OwnPrefills(m_node.Now(), since)) {
    if (out.m_prefills.size() == kMostReads) {
      break;
    }
    out.m_prefills.push_back({ kept.m_segment, kept.m_member });
  }
  return out;
}

membership::Heartbeat
Peers::WithLoads(membership::Heartbeat aHeartbeat,
                 std::span<const relay::PeerLoad> aLoads)
{
  membership::Heartbeat out = std::move(aHeartbeat);
  for (const relay::PeerLoad& load : aLoads) {
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
  const membership::Heartbeat own = OwnHeartbeat();
  const membership::Heartbeat whole = WithLoads(own, m_node.m_fleet.OwnLoads());
  if (!m_roster.SendsLoadsPerDataCentre()) {
    m_socket.Send(whole, aAddresses);
    return;
  }
  const std::set<std::string> dataCentre = m_roster.OwnDataCentreAddresses();
  std::set<std::string> near;
  std::set<std::string> far;
  for (const std::string& address : aAddresses) {
    (dataCentre.contains(address) ? near : far).insert(address);
  }
  m_socket.Send(whole, near);
  m_socket.Send(own, far); // Other data centres receive the loads as a sum.
}

void
Peers::SendDataCentreLoads(const std::set<std::string>& aAddresses)
{
  if (aAddresses.empty()) {
    return;
  }
  membership::Heartbeat heartbeat =
    WithLoads(OwnHeartbeat(),
              m_dataCentreLoads.Sum(m_node.m_fleet.OwnLoads(), kMostLoads));
  heartbeat.m_tellsDataCentre = true;
  m_socket.Send(heartbeat, aAddresses);
}

membership::StorePollers
Peers::Pollers() const
{
  const EntrySettings& self = m_node.m_settings;
  return { m_roster, { self.m_instance, self.m_dataCentre, m_leaving } };
}

bool
Peers::IsPoller() const
{
  return Pollers().IsPoller(m_node.Now());
}

bool
Peers::IsPollerByHash() const
{
  return Pollers().IsPollerByHash();
}

std::optional<Instant>
Peers::DataCentreReadsSince(std::string_view aDataCentre,
                            StoreGeneration aGeneration) const
{
  return Pollers().ReadsSince(aDataCentre, aGeneration, m_node.Now());
}

std::set<std::string>
Peers::DataCentres() const
{
  std::set<std::string> out;
  for (const auto& [name, peer] : m_roster.Peers()) {
    out.insert(peer.m_last.m_dataCentre);
  }
  return out;
}

std::optional<std::string>
Peers::PickAhead(Table aTable, StorePosition aAfter) const
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [name, peer] : m_roster.Peers()) {
    const auto& view = peer.m_last.m_store;
    if (!peer.m_alive || peer.m_last.m_leaving || !view) {
      continue;
    }
    const StorePosition read =
      aTable == Table::Config ? view->m_config : view->m_members;
    if (read > aAfter) {
      const bool isNear =
        peer.m_last.m_dataCentre == m_node.m_settings.m_dataCentre;
      (isNear ? near : far).push_back(peer.m_last.m_peerAddress);
    }
  }
  const auto& heard = near.empty() ? far : near;
  const auto& from =
    heard.empty() && aAfter.m_version == 0 ? m_rows.OtherAddresses() : heard;
  if (from.empty()) {
    return std::nullopt;
  }
  return from[m_node.m_random() % from.size()];
}

void
Peers::TellDataCentre()
{
  SendTo(m_roster.OwnDataCentreAddresses());
}

void
Peers::SendToAll()
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
Peers::PublishRoleUpdates(std::vector<relay::RoleUpdate> aNews)
{
  m_ownRoleUpdates = std::move(aNews);
  SendToAll();
}

void
Peers::PublishUnreachable(std::vector<std::uint32_t> aServices)
{
  m_unreachableServices = std::move(aServices);
  SendToAll();
}

std::optional<std::string>
Peers::PickForwardTarget(std::string_view aService,
                         StorePosition aConfig,
                         std::span<const std::string> aExcluded) const
{
  return membership::PickForwardTarget(m_roster.Peers(),
                                       { relay::Fleet::ShortHash(aService),
                                         m_node.m_settings.m_dataCentre,
                                         aExcluded,
                                         m_node.m_random(),
                                         aConfig });
}

std::optional<std::string>
Peers::AddressOf(std::string_view aInstance) const
{
  const auto found = m_roster.Peers().find(aInstance);
  const bool isLive = found != m_roster.Peers().end() && found->second.m_alive;
  return isLive ? std::optional(found->second.m_last.m_peerAddress)
                : std::nullopt;
}

void
Peers::SetCrashes(std::vector<membership::CrashDigest> aEndings,
                  std::optional<std::uint64_t> aHeldCalls)
{
  m_crashes = std::move(aEndings);
  m_quarantineFingerprint = aHeldCalls;
}

Duration
Peers::AnnouncementTime() const
{
  return m_roster.HeartbeatInterval() * kTellNewsTimes;
}

std::optional<std::string>
Peers::PickPeer(
  const std::function<bool(const membership::Heartbeat&)>& aIs) const
{
  std::vector<std::string> addresses;
  for (const auto& [name, peer] : m_roster.Peers()) {
    if (peer.m_alive && aIs(peer.m_last)) {
      addresses.push_back(peer.m_last.m_peerAddress);
    }
  }
  if (addresses.empty()) {
    return std::nullopt;
  }
  return addresses[m_node.m_random() % addresses.size()];
}

std::optional<std::string>
Peers::PickPeerWithOtherQuarantine(std::uint64_t aHeldCalls) const
{
  return PickPeer([aHeldCalls](const membership::Heartbeat& aPeer) {
    return aPeer.m_quarantineFingerprint &&
           *aPeer.m_quarantineFingerprint != aHeldCalls;
  });
}

std::optional<std::string>
Peers::PickPeerWithQuarantine() const
{
  return PickPeer([](const membership::Heartbeat& aPeer) {
    return aPeer.m_quarantineFingerprint.has_value();
  });
}

bool
Peers::HasHeardOthers() const
{
  const bool isAlone = HasListed() && m_rows.OtherAddresses().empty();
  return m_hasHeardReady || isAlone ||
         m_node.Now() - m_startedAt >= kMaxWaitForPeers;
}

void
Peers::NoteLeaving(const UpstreamIncarnation& aUpstream)
{
  if (m_leavingAnnouncements.NoteListed(aUpstream)) {
    SendToAll();
  }
}

void
Peers::NoteGone(const std::string& aUpstream)
{
  m_leavingAnnouncements.NoteGone(aUpstream);
}

void
Peers::TakeHeartbeat(const membership::Heartbeat& aHeartbeat)
{
  if (aHeartbeat.m_instance == m_node.m_settings.m_instance) {
    return;
  }
  std::vector<relay::MemberRoleUpdate> news;
  for (const membership::RoleDigest& digest : aHeartbeat.m_roles) {
    news.push_back({ digest.m_engine, PartOf(digest.m_part) });
  }
  for (const membership::PrefillDigest& digest : aHeartbeat.m_prefills) {
    m_node.m_fleet.NoteCached({ digest.m_part, digest.m_engine }, m_node.Now());
  }
  if (aHeartbeat.m_store) {
    TellStoreView(*aHeartbeat.m_store);
  }
  if (!aHeartbeat.m_crashes.empty()) {
    m_crashesReported.emit(aHeartbeat.m_crashes);
  }
  m_counted.insert(aHeartbeat.m_instance);
  m_hasHeardReady = m_hasHeardReady || aHeartbeat.m_ready;
  const bool hasJustStarted = !aHeartbeat.m_ready && IsNew(aHeartbeat);
  TakeLoads(aHeartbeat);
  m_limits.Take(aHeartbeat);
  m_paces.Take(aHeartbeat);
  m_node.m_fleet.SetRoleUpdates(aHeartbeat.m_instance, std::move(news));
  m_node.m_fleet.SetDisaggregatedServices(aHeartbeat.m_instance,
                                          aHeartbeat.m_disaggregatedServices);
  Handle(membership::HeartbeatArrived{ aHeartbeat });
  if (hasJustStarted) {
    SendTo({ aHeartbeat.m_peerAddress }); // It waits for what others know.
  }
}

bool
Peers::IsNew(const membership::Heartbeat& aHeartbeat) const
{
  const auto found = m_roster.Peers().find(aHeartbeat.m_instance);
  return found == m_roster.Peers().end() ||
         found->second.m_last.m_incarnation != aHeartbeat.m_incarnation;
}

void
Peers::TellStart()
{
  std::vector<std::string> some;
  const std::vector<std::string>& others = m_rows.OtherAddresses();
  std::sample(others.begin(),
              others.end(),
              std::back_inserter(some),
              kToldOfStart,
              m_node.m_random);
  SendTo({ some.begin(), some.end() });
}

void
Peers::TakeLoads(const membership::Heartbeat& aHeartbeat)
{
  std::vector<relay::PeerLoad> loads;
  for (const membership::EngineDigest& digest : aHeartbeat.m_engines) {
    loads.push_back(
      { digest.m_engine, digest.m_running, digest.m_tokensToPrefill });
  }
  if (aHeartbeat.m_tellsDataCentre) {
    m_node.m_fleet.SetPeerLoads(kDataCentrePrefix + aHeartbeat.m_dataCentre,
                                std::move(loads));
    m_countedDataCentres[aHeartbeat.m_dataCentre] = m_node.Now();
    return;
  }
  if (aHeartbeat.m_dataCentre == m_node.m_settings.m_dataCentre) {
    m_dataCentreLoads.Set(aHeartbeat.m_instance, loads);
  } else if (m_countedDataCentres.contains(aHeartbeat.m_dataCentre)) {
    // The calls of this instance are included in the sum of its data centre.
    loads.clear();
  }
  m_node.m_fleet.SetPeerLoads(aHeartbeat.m_instance, std::move(loads));
}

void
Peers::ForgetDataCentres()
{
  std::erase_if(m_countedDataCentres, [this](const auto& aDataCentre) {
    const bool old = m_node.Now() - aDataCentre.second >= kDataCentreLoadsFor;
    if (old) {
      m_node.m_fleet.SetPeerLoads(kDataCentrePrefix + aDataCentre.first, {});
    }
    return old;
  });
}

void
Peers::TellStoreView(membership::StoreView aView)
{
  // If other instances still read the store, it is available and only that peer
  // is cut off from it. Rows of upstreams that disappear have then been
  // removed, and have not merely expired because upstreams could not renew
  // them.
  aView.m_lost = aView.m_lost && !Pollers().HearsWorkingPoller(m_node.Now());
  m_storeViews.emit(aView);
  m_generations.Note(std::max(aView.m_config, aView.m_members).m_generation,
                     "a peer");
}

void
Peers::ForgetDead()
{
  const auto& peers = m_roster.Peers();
  std::erase_if(m_counted, [&](const std::string& aInstance) {
    const auto found = peers.find(aInstance);
    const bool alive = found != peers.end() && found->second.m_alive;
    if (!alive) {
      m_dataCentreLoads.Set(aInstance, {});
      m_node.m_fleet.SetPeerLoads(aInstance, {});
      m_node.m_fleet.SetRoleUpdates(aInstance, {});
      m_node.m_fleet.SetDisaggregatedServices(aInstance, {});
      m_limits.ForgetPeer(aInstance);
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
  std::set<std::string> others;
  for (const membership::RosterAction& action :
       m_roster.Handle(aEvent, m_node.Now())) {
    std::visit(Overloaded{
                 [&](const membership::SendHeartbeat& aSend) {
                   addresses.insert(aSend.m_peerAddress);
                 },
                 [&](const membership::SendDataCentreLoads& aSend) {
                   others.insert(aSend.m_peerAddress);
                 },
                 [&](const membership::IncarnationEnded&) {},
                 [&](const membership::UpstreamLeaving& aLeaving) {
                   TakeLeaving(aLeaving.m_upstream);
                 },
               },
               action);
  }
  SendTo(addresses);
  SendDataCentreLoads(others);
}

void
Peers::TakeLeaving(const UpstreamIncarnation& aUpstream)
{
  // Also of an upstream that is not listed here: its row may be on its way.
  m_leaves.emit(aUpstream);
  const relay::Member* member = m_node.m_fleet.Find(aUpstream.m_id);
  if (member != nullptr) {
    const UpstreamIncarnation listed = member->Incarnation();
    m_leavingAnnouncements.NoteFromPeer(aUpstream, &listed);
  }
}

} // namespace ridgeferry::entry
