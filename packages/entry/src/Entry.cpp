#include "ridgeferry/entry/Entry.h"

#include "CallLeaseService.h"
#include "ConfigFreshness.h"
#include "PeerRows.h"
#include "Peers.h"
#include "QuarantineService.h"
#include "ReachService.h"
#include "Relay.h"
#include "RoleReconciler.h"
#include "ScaleService.h"
#include "StatementService.h"
#include "StoreGenerations.h"
#include "StoreReader.h"
#include "StreamOriginService.h"
#include "UsageService.h"

#include <algorithm>
#include <csignal>
#include <ridgeferry/relay/RemovedUpstreams.h>
#include <sys/stat.h>

namespace ridgeferry::entry {

namespace {

/** Interval at which grace periods, changes of the settings file and the
 * progress of a planned stop are checked. It is well below the times of some
 * seconds within which each of these must take effect. */
constexpr Duration kTick{ 200 };
/** Part of the memory that bodies of requests may hold. Each is held twice, for
 * its call and on its way to the upstream, and another time for a moment. */
constexpr std::size_t kBodiesOfMemory = 8;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

std::optional<timespec>
ModifiedAt(const std::string& aFile)
{
  struct stat info
  {};
  if (stat(aFile.c_str(), &info) != 0) {
    return std::nullopt;
  }
  return info.st_mtim;
}

bool
SameTime(const std::optional<timespec>& aLeft,
         const std::optional<timespec>& aRight)
{
  return aLeft.has_value() == aRight.has_value() &&
         (!aLeft || (aLeft->tv_sec == aRight->tv_sec &&
                     aLeft->tv_nsec == aRight->tv_nsec));
}

/** Formats the first few faults of a document, so that the log line stays
 * short. */
std::string
FaultsText(std::span<const FieldError> aFaults)
{
  constexpr std::size_t kMost = 5;
  std::string out;
  for (std::size_t i = 0; i < std::min(kMost, aFaults.size()); ++i) {
    out += FormatFieldError(aFaults[i]) + "; ";
  }
  return aFaults.size() > kMost
           ? out + std::to_string(aFaults.size() - kMost) + " more"
           : out;
}

} // namespace

struct Entry::Impl
{
  EntryNode m_node;
  std::string m_file;
  std::optional<timespec> m_fileTime;
  StoreGenerations m_generations{ m_node };
  relay::RemovedUpstreams m_gone;
  /** Text of the configuration in force, and the latest store generation in
   * which it was seen. */
  std::string m_configText;
  StoreGeneration m_configGeneration = 0;
  std::unique_ptr<PeerSocket> m_peerSocket;
  std::unique_ptr<Peers> m_peers;
  std::unique_ptr<PeerRows> m_peerRows;
  std::unique_ptr<StoreReader> m_config;
  std::unique_ptr<StoreReader> m_members;
  std::unique_ptr<ConfigFreshness> m_freshness;
  std::unique_ptr<QuarantineService> m_quarantine;
  std::unique_ptr<ReachService> m_reach;
  std::unique_ptr<TrueTime> m_trueTime;
  std::unique_ptr<OrderLease> m_lease;
  std::unique_ptr<UsageService> m_usage;
  std::unique_ptr<ScaleService> m_scale;
  std::unique_ptr<StatementService> m_statements;
  std::unique_ptr<CallLeaseService> m_callLeases;
  std::unique_ptr<StreamOriginService> m_origins;
  std::unique_ptr<Relay> m_relay;
  std::unique_ptr<RoleReconciler> m_roleReconciler;
  std::unique_ptr<net::HttpServer> m_readiness;
  std::unique_ptr<net::HttpServer> m_metrics;
  bool m_wasReady = false;
  net::Watch m_tick;
  std::vector<net::Watch> m_signals;

  tl::expected<void, net::NetError> Start();
  /** Bounds what requests hold by the memory of the process. */
  void BoundBodies();
  void WatchSignals();
  void TakeConfig(const relay::ApplyRows& aRows);
  void TakeConfigRow(const relay::FollowedRow& aRow);
  /** Logs what could not be read of the configuration in force. */
  void LogConfigFaults();
  /** Serves as `relay::KeepsKnown`: returns whether the known configuration row
   * is retained after the store was restored from an older copy. An older
   * configuration never replaces a newer one. */
  bool KeepsConfig(std::string_view aKey,
                   std::string_view aKnown,
                   const std::string* aTold);
  void TakeMembers(const relay::ApplyRows& aRows);
  /** Applies a row of an upstream. For `aLapsesUntil` see `Fleet::Drop`.
   * `aIsCopy` is true if the store was restored from an older copy, from which
   * the row was read. */
  void TakeMember(const relay::FollowedRow& aRow,
                  std::optional<Instant> aLapsesUntil,
                  bool aIsCopy);
  void PutMember(const relay::Member& aMember);
  void ReleaseHeld();
  /** Handles a listed upstream whose incarnation differs from the known one.
   * Forgets what was announced and ordered for the earlier incarnation if the
   * listed one is later. */
  void NoteOtherIncarnation(const relay::Member& aMember,
                            IncarnationOrder aOrder);
  void TakeRemoval(const std::string& aUpstream,
                   std::optional<Instant> aLapsesUntil);
  /** Returns since when instances of a data centre have been reading the store
   * in its current generation; std::nullopt if none reads it. Reads of an
   * earlier generation say nothing about the present rows. */
  std::optional<Instant> DataCentreReadsSince(
    std::string_view aDataCentre) const;
  /** Shortens the grace periods of expired upstreams for each data centre whose
   * instances are known to read the store again: an upstream that still exists
   * would have renewed its row by then. */
  void BoundGracePeriods();
  bool IsReady() const;
  membership::StoreView StoreView() const;
  void Tick();
  /** Updates the announced store position after a read, and notifies the
   * instances of this data centre if this one polls the store. */
  void TellRead();
  void NoteReadiness();
  /** Updates the gauges that are computed only when metrics are requested. */
  void NoteGauges();
  void Reload();
  void BeginStop();
  void ContinueStop();
};

bool
Entry::Impl::IsReady() const
{
  return !m_node.m_stop.HasBegun() && m_node.m_routes != nullptr &&
         m_members->HasRead() && m_peers->HasHeardOthers() &&
         m_quarantine->IsReadyForCalls() && !m_freshness->IsReplaced();
}

bool
Entry::Impl::KeepsConfig(std::string_view aKey,
                         std::string_view aKnown,
                         const std::string* aTold)
{
  if (aKey != m_node.m_dialect.m_configKey) {
    return false;
  }
  const auto known = m_node.m_dialect.m_readConfig(aKnown);
  if (!known) {
    return false; // An invalid configuration was never in force.
  }
  const auto told = aTold == nullptr ? tl::unexpected(std::vector<FieldError>{})
                                     : m_node.m_dialect.m_readConfig(*aTold);
  const bool keeps = !told || told->m_version < known->m_version;
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "configuration-in-a-copy",
    { { "version", told ? static_cast<std::int64_t>(told->m_version) : 0 },
      { "known", static_cast<std::int64_t>(known->m_version) },
      { "keeps", keeps } });
  return keeps;
}

void
Entry::Impl::TakeConfig(const relay::ApplyRows& aRows)
{
  for (const relay::FollowedRow& row : aRows.m_rows) {
    if (row.m_key == m_node.m_dialect.m_configKey && !row.m_removed) {
      TakeConfigRow(row);
    }
  }
  NoteReadiness();
  TellRead();
}

void
Entry::Impl::TakeConfigRow(const relay::FollowedRow& aRow)
{
  auto config = m_node.m_dialect.m_readConfig(aRow.m_value);
  if (!config) {
    m_node.m_log->Write(
      observe::LogLevel::Error,
      "configuration-rejected",
      { { "version", static_cast<std::int64_t>(aRow.m_version) },
        { "faults", FaultsText(config.error()) } });
    m_freshness->NoteUnreadable();
    return;
  }
  m_freshness->NoteReadable();
  const bool isFirst = m_node.m_routes == nullptr;
  const std::uint64_t held = isFirst ? 0 : m_node.m_routes->Version();
  const auto version = static_cast<std::int64_t>(config->m_version);
  const StoreGeneration generation =
    m_config->Follower().Position().m_generation;
  // If two configurations have the same number but different text, the one from
  // the later generation of the store replaces the other: all instances read
  // that one sooner or later.
  const bool isOther = config->m_version == held &&
                       generation > m_configGeneration &&
                       aRow.m_value != m_configText;
  if (config->m_version >= held) {
    m_configGeneration = generation;
  }
  if (!isFirst && config->m_version <= held && !isOther) {
    m_node.m_log->Write(observe::LogLevel::Info,
                        "configuration-is-old",
                        { { "version", version },
                          { "inForce", static_cast<std::int64_t>(held) } });
    return;
  }
  m_configText = aRow.m_value;
  m_node.m_routes =
    std::make_shared<const relay::RouteTable>(std::move(*config));
  m_relay->UseLimits();
  m_origins->UseRoutes();
  m_peerRows->UseLimits(m_node.m_routes->Config().m_limits);
  const std::optional<Duration> lag = m_config->LagBefore();
  if (lag) {
    m_node.m_metrics.Observe("configuration_lag_ms",
                             static_cast<double>(lag->count()));
  }
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "configuration-in-force",
    { { "version", version },
      { "routes",
        static_cast<std::int64_t>(m_node.m_routes->Config().m_routes.size()) },
      { "knownLagMs", lag ? lag->count() : std::int64_t{ -1 } } });
  LogConfigFaults();
}

void
Entry::Impl::LogConfigFaults()
{
  const relay::RouteConfig& config = m_node.m_routes->Config();
  if (config.m_faults.empty()) {
    return;
  }
  m_node.m_log->Write(
    observe::LogLevel::Warning,
    "configuration-faulty",
    { { "version", static_cast<std::int64_t>(config.m_version) },
      { "unknownRoutes", config.m_hasUnknownRoutes },
      { "unknownKeys", config.m_hasUnknownKeys },
      { "faults", FaultsText(config.m_faults) } });
}

void
Entry::Impl::TakeMembers(const relay::ApplyRows& aRows)
{
  for (const relay::FollowedRow& row : aRows.m_rows) {
    TakeMember(row, aRows.m_graceUntil, aRows.m_positionBeforeCopy.has_value());
  }
  NoteReadiness();
  TellRead();
}

void
Entry::Impl::TakeMember(const relay::FollowedRow& aRow,
                        std::optional<Instant> aLapsesUntil,
                        bool aIsCopy)
{
  if (!aIsCopy) {
    m_gone.NoteChange(aRow.m_key);
  }
  if (aRow.m_removed) {
    TakeRemoval(aRow.m_key, aLapsesUntil);
    return;
  }
  const auto member = m_node.m_dialect.m_readMember(aRow.m_key, aRow.m_value);
  if (!member) {
    m_node.m_metrics.Count("upstreams_rejected_total");
    m_node.m_log->Write(
      observe::LogLevel::Error,
      "upstream-rejected",
      { { "upstream", aRow.m_key },
        { "version", static_cast<std::int64_t>(aRow.m_version) },
        { "faults", FaultsText(member.error()) } });
    // Another writer has overwritten the row that the upstream wrote, so the
    // row counts as removed.
    TakeRemoval(aRow.m_key, std::nullopt);
    return;
  }
  if (aIsCopy && m_gone.HoldBack(*member, m_node.Now())) {
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "upstream-held-back",
      { { "upstream", member->m_id },
        { "forMs", relay::RemovedUpstreams::kHold.count() } });
    return;
  }
  PutMember(*member);
}

void
Entry::Impl::PutMember(const relay::Member& aMember)
{
  const IncarnationOrder order = m_node.m_fleet.Put(aMember, m_node.Now());
  if (order != IncarnationOrder::Same) {
    NoteOtherIncarnation(aMember, order);
  }
  if (order == IncarnationOrder::Earlier) {
    return;
  }
  const relay::Member& held = *m_node.m_fleet.Find(aMember.m_id);
  if (held.m_leaving) {
    m_peers->NoteLeaving(held.Incarnation());
  }
  m_origins->NoteListed(aMember);
  m_node.m_log->Write(observe::LogLevel::Info,
                      "upstream-listed",
                      { { "upstream", aMember.m_id },
                        { "service", aMember.m_service },
                        { "address", aMember.m_address },
                        { "part", std::string(relay::NameOf(aMember.m_role)) },
                        { "softwareVersion", aMember.m_softwareVersion },
                        { "leaving", held.m_leaving },
                        { "withdrawable", aMember.m_withdrawable },
                        { "born", aMember.m_born.value_or(0) } });
}

void
Entry::Impl::ReleaseHeld()
{
  for (const relay::Member& member : m_gone.Tick(m_node.Now())) {
    PutMember(member);
  }
}

void
Entry::Impl::NoteOtherIncarnation(const relay::Member& aMember,
                                  IncarnationOrder aOrder)
{
  const bool isLater = aOrder == IncarnationOrder::Later;
  m_node.m_log->Write(
    observe::LogLevel::Info,
    isLater ? "upstream-born-again" : "upstream-row-is-old",
    { { "upstream", aMember.m_id }, { "born", aMember.m_born.value_or(0) } });
  if (isLater) {
    m_node.m_metrics.Count("upstreams_born_again_total");
    // The announcements and orders so far were meant for the earlier
    // incarnation.
    m_peers->NoteGone(aMember.m_id);
    m_roleReconciler->NoteGone(aMember.m_id);
    m_quarantine->NoteLaterIncarnation(aMember.m_id);
  }
}

void
Entry::Impl::TakeRemoval(const std::string& aUpstream,
                         std::optional<Instant> aLapsesUntil)
{
  const Instant now = m_node.Now();
  const relay::Member* member = m_node.m_fleet.Find(aUpstream);
  if (member != nullptr) {
    m_gone.NoteGone(member->Incarnation(), now);
  }
  if (member != nullptr && !aLapsesUntil) {
    m_quarantine->NoteGone(member->Incarnation());
  }
  const auto reads = member == nullptr
                       ? std::nullopt
                       : DataCentreReadsSince(member->m_dataCentre);
  const auto until = relay::ExpiryGrace::Bounded(aLapsesUntil, reads, now);
  m_node.m_fleet.Drop(aUpstream, until);
  m_peers->NoteGone(aUpstream);
  m_roleReconciler->NoteGone(aUpstream);
  const Duration lapse = until.value_or(now) - now;
  const Duration readsFor = now - reads.value_or(now);
  m_node.m_log->Write(observe::LogLevel::Info,
                      "upstream-gone",
                      { { "upstream", aUpstream },
                        { "mayHaveLapsed", until.has_value() },
                        { "lapsesForMs", lapse.count() },
                        { "itsHallReadsForMs", readsFor.count() } });
}

std::optional<Instant>
Entry::Impl::DataCentreReadsSince(std::string_view aDataCentre) const
{
  return m_peers->DataCentreReadsSince(aDataCentre,
                                       m_members->Follower().Generation());
}

void
Entry::Impl::BoundGracePeriods()
{
  if (!m_node.m_fleet.HasMemberInGracePeriod()) {
    return;
  }
  for (const std::string& dataCentre : m_peers->DataCentres()) {
    if (const auto since = DataCentreReadsSince(dataCentre)) {
      m_node.m_fleet.BoundGracePeriods(
        dataCentre, *since + relay::ExpiryGrace::kGracePeriod);
    }
  }
}

void
Entry::Impl::TellRead()
{
  m_peers->SetStoreView(StoreView());
  // Only pollers notify: instances on standby wait for this message, and if
  // they sent it too, it would be sent twice.
  if (m_peers->IsPoller()) {
    m_peers->TellDataCentre();
  }
}

void
Entry::Impl::NoteReadiness()
{
  m_peers->SetState(IsReady(), m_node.m_stop.HasBegun());
  if (IsReady() == m_wasReady) {
    return;
  }
  m_wasReady = IsReady();
  m_node.m_log->Write(observe::LogLevel::Info,
                      m_wasReady ? "ready" : "not-ready");
}

membership::StoreView
Entry::Impl::StoreView() const
{
  const relay::TableFollower& config = m_config->Follower();
  const relay::TableFollower& members = m_members->Follower();
  return { config.ChangedPosition(),
           members.ChangedPosition(),
           config.IsLost() || members.IsLost(),
           members.IsSteady(m_node.Now()),
           members.ReadsFor(m_node.Now()),
           m_freshness->Proof(),
           m_trueTime->OwnOffset() };
}

void
Entry::Impl::NoteGauges()
{
  m_node.m_metrics.Set("configuration_version",
                       m_node.m_routes == nullptr
                         ? 0
                         : static_cast<double>(m_node.m_routes->Version()));
  m_node.m_metrics.Set(
    "configuration_faults",
    m_node.m_routes == nullptr
      ? 0
      : static_cast<double>(m_node.m_routes->Config().m_faults.size()));
  m_node.m_metrics.Set("configuration_replaced",
                       m_freshness->IsReplaced() ? 1 : 0);
  m_node.m_metrics.Set("log_lines_dropped",
                       static_cast<double>(m_node.m_log->Dropped()));
  m_node.m_metrics.Set("instances_alive",
                       static_cast<double>(m_node.m_instances));
  m_node.m_metrics.Set("store_generation",
                       static_cast<double>(m_generations.Latest()));
  m_node.m_metrics.Set("upstreams_held_back",
                       static_cast<double>(m_gone.Held()));
  m_node.m_metrics.Set("calls_held",
                       static_cast<double>(m_quarantine->HeldCalls()));
  m_node.m_metrics.Set("segments_held",
                       static_cast<double>(m_quarantine->HeldSegments()));
  m_node.m_metrics.Set("calls_suspected",
                       static_cast<double>(m_quarantine->Suspected()));
  m_node.m_metrics.Set("request_bytes_held",
                       static_cast<double>(m_node.m_bodies->Held()));
  m_node.m_metrics.Set("answer_bytes_unread",
                       static_cast<double>(m_node.m_unread.Total()));
  m_node.m_metrics.Set("store_on_duty", m_peers->IsPoller() ? 1 : 0);
}

void
Entry::Impl::Tick()
{
  BoundGracePeriods();
  for (const std::string& upstream : m_node.m_fleet.Tick(m_node.Now())) {
    m_node.m_log->Write(observe::LogLevel::Info,
                        "upstream-grace-ended",
                        { { "upstream", upstream } });
  }
  ReleaseHeld();
  NoteReadiness(); // It changes with time behind an unreadable configuration.
  const bool onDuty = m_peers->IsPoller();
  const bool byPlace = m_peers->IsPollerByHash();
  m_origins->NoteList(m_members->HasRead() && !m_members->Follower().IsLost());
  m_config->SetPolling(onDuty, byPlace);
  m_members->SetPolling(onDuty, byPlace);
  m_peers->SetStoreView(StoreView());
  if (!SameTime(ModifiedAt(m_file), m_fileTime)) {
    Reload();
  }
  if (m_node.m_stop.HasBegun()) {
    ContinueStop();
  }
}

void
Entry::Impl::Reload()
{
  m_fileTime = ModifiedAt(m_file);
  auto loaded = LoadEntrySettings(m_file);
  if (!loaded) {
    m_node.m_log->Write(observe::LogLevel::Error,
                        "settings-rejected",
                        { { "faults", FormatSettingsError(loaded.error()) } });
    return;
  }
  // Listening addresses that are bound remain in use until the process ends.
  m_node.m_settings.m_store = loaded->m_store;
  m_node.m_settings.m_stopGrace = loaded->m_stopGrace;
  m_node.m_settings.m_retries = loaded->m_retries;
  m_node.m_settings.m_keys = loaded->m_keys;
  m_node.m_settings.m_pacesStarts = loaded->m_pacesStarts;
  m_node.m_settings.m_admitsFairly = loaded->m_admitsFairly;
  m_node.m_fleet.Starts().SetEnabled(loaded->m_pacesStarts);
  m_node.m_settings.m_duties.m_address = loaded->m_duties.m_address;
  m_node.m_log->Write(observe::LogLevel::Info, "settings-reloaded");
}

void
Entry::Impl::BeginStop()
{
  if (m_node.m_stop.HasBegun()) {
    return;
  }
  m_node.m_stop.Begin(m_node.m_settings.m_stopGrace, m_node.Now());
  m_relay->BeginStop();
  m_origins->HandOver();
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "stopping",
    { { "running", static_cast<std::int64_t>(m_relay->Running()) } });
  NoteReadiness();
}

void
Entry::Impl::ContinueStop()
{
  const Instant now = m_node.Now();
  if (m_node.m_stop.ClosesIdleConnections(now)) {
    m_relay->CloseResting();
  }
  const std::size_t open =
    m_relay->Running() + m_relay->Unsent() + m_peerRows->Unsent();
  if (!m_node.m_stop.MayEnd(open, now)) {
    return;
  }
  m_node.m_log->Write(observe::LogLevel::Info,
                      "stopped",
                      { { "cut", static_cast<std::int64_t>(open) } });
  m_node.m_loop->Stop();
}

void
Entry::Impl::WatchSignals()
{
  net::EventLoop& loop = *m_node.m_loop;
  m_signals.push_back(loop.OnSignal(SIGTERM, [this] { BeginStop(); }));
  m_signals.push_back(loop.OnSignal(SIGINT, [this] { BeginStop(); }));
  m_signals.push_back(loop.OnSignal(SIGHUP, [this] { Reload(); }));
}

void
Entry::Impl::BoundBodies()
{
  m_node.m_bodies = std::make_unique<net::BodyBudget>(
    m_node.m_settings.m_memory / kBodiesOfMemory);
  m_node.m_bodies->SignalRefused().connect([this](std::size_t aBytes) {
    m_node.m_metrics.Count("requests_without_room_total");
    m_node.m_log->Write(
      observe::LogLevel::Warning,
      "request-without-room",
      { { "bytes", static_cast<std::int64_t>(aBytes) },
        { "held", static_cast<std::int64_t>(m_node.m_bodies->Held()) } });
  });
}

tl::expected<void, net::NetError>
Entry::Impl::Start()
{
  BoundBodies();
  m_node.m_fleet.Starts().SetEnabled(m_node.m_settings.m_pacesStarts);
  m_peerSocket = std::make_unique<PeerSocket>(m_node);
  m_peers = std::make_unique<Peers>(m_node, m_generations, *m_peerSocket);
  m_peerRows = std::make_unique<PeerRows>(m_node, *m_peers);
  m_config =
    std::make_unique<StoreReader>(m_node,
                                  m_generations,
                                  *m_peerRows,
                                  Peers::Table::Config,
                                  m_node.m_dialect.m_configTable,
                                  [this](std::string_view aKey,
                                         std::string_view aKnown,
                                         const std::string* aTold) {
                                    return KeepsConfig(aKey, aKnown, aTold);
                                  });
  m_members = std::make_unique<StoreReader>(m_node,
                                            m_generations,
                                            *m_peerRows,
                                            Peers::Table::Members,
                                            m_node.m_dialect.m_memberTable);
  m_quarantine = std::make_unique<QuarantineService>(
    m_node, m_generations, *m_peers, *m_peerRows);
  m_reach = std::make_unique<ReachService>(m_node);
  m_freshness =
    std::make_unique<ConfigFreshness>(m_node, *m_peers, *m_peerRows, *m_config);
  m_trueTime = std::make_unique<TrueTime>(m_node, *m_peers, *m_freshness);
  m_lease = std::make_unique<OrderLease>(m_node, m_generations, *m_peers);
  m_usage = std::make_unique<UsageService>(
    m_node, m_generations, *m_peers, *m_peerRows, *m_trueTime, *m_lease);
  m_scale = std::make_unique<ScaleService>(m_node, *m_lease);
  m_statements = std::make_unique<StatementService>(m_node, *m_peers);
  m_origins = std::make_unique<StreamOriginService>(
    m_node, m_generations, *m_peers, *m_peerSocket, *m_members);
  m_callLeases = std::make_unique<CallLeaseService>(m_node, *m_peerSocket);
  m_relay = std::make_unique<Relay>(m_node,
                                    *m_quarantine,
                                    *m_freshness,
                                    *m_usage,
                                    *m_reach,
                                    *m_peers,
                                    *m_origins,
                                    *m_statements,
                                    *m_callLeases);
  m_roleReconciler = std::make_unique<RoleReconciler>(
    m_node, m_generations, *m_peers, *m_lease, *m_statements);
  if (auto started = m_relay->Start(); !started) {
    return started;
  }
  auto readiness = net::HttpServer::Listen(
    *m_node.m_loop,
    m_node.m_settings.m_readiness,
    {},
    [this](const std::shared_ptr<net::HttpExchange>& aExchange) {
      aExchange->Reply(IsReady() ? kOk : kUnavailable, {}, {});
    });
  if (!readiness) {
    return tl::unexpected(readiness.error());
  }
  m_readiness = std::move(*readiness);
  auto metrics = net::HttpServer::Listen(
    *m_node.m_loop,
    m_node.m_settings.m_metrics,
    {},
    [this](const std::shared_ptr<net::HttpExchange>& aExchange) {
      NoteGauges();
      net::HttpHeaders headers;
      headers.Add("Content-Type", "text/plain; version=0.0.4");
      aExchange->Reply(kOk, headers, m_node.m_metrics.Expose());
    });
  if (!metrics) {
    return tl::unexpected(metrics.error());
  }
  m_metrics = std::move(*metrics);
  m_config->SignalRows().connect(
    [this](const relay::ApplyRows& aRows) { TakeConfig(aRows); });
  m_freshness->Start();
  m_config->SignalProved().connect(
    [this](const freshness::StoreMoment&, Instant) {
      m_peers->SetStoreView(StoreView());
    });
  m_members->SignalRows().connect(
    [this](const relay::ApplyRows& aRows) { TakeMembers(aRows); });
  m_peers->SignalLeaving().connect(
    [this](const UpstreamIncarnation& aUpstream) {
      if (!m_node.m_fleet.MarkLeaving(aUpstream)) {
        return;
      }
      m_node.m_log->Write(
        observe::LogLevel::Info,
        "upstream-leaves",
        { { "upstream", aUpstream.m_id }, { "from", "a peer" } });
    });
  m_peers->SignalStoreView().connect(
    [this](const membership::StoreView& aView) {
      m_config->NotePeer(aView.m_config, aView);
      m_members->NotePeer(aView.m_members, aView);
      m_freshness->NotePeer(aView);
    });
  WatchSignals();
  m_node.m_loop->SignalStalled().connect([this](const net::LoopStall& aStall) {
    m_node.m_metrics.Count("loop_stalls_total");
    m_node.m_log->Write(observe::LogLevel::Warning,
                        "loop-stalled",
                        { { "forMs", aStall.m_for.count() },
                          { "suspendedMs", aStall.m_suspended.count() },
                          { "busyMs", aStall.m_busy.count() } });
  });
  m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
  m_node.m_log->Write(observe::LogLevel::Info,
                      "started",
                      { { "callers", m_node.m_settings.m_callers.ToString() },
                        { "store", m_node.m_settings.m_store } });
  if (auto started = m_peerRows->Start(); !started) {
    return started;
  }
  m_peers->SignalListed().connect([this](bool aAny) {
    m_config->NotePeersListed(aAny);
    m_members->NotePeersListed(aAny);
  });
  m_peerRows->TakeForwarded(
    [this](const std::shared_ptr<net::HttpExchange>& aExchange,
           const ForwardedTerms& aTerms) {
      m_relay->HandleForwarded(aExchange, aTerms);
    });
  m_reach->SignalChanged().connect(
    [this] { m_peers->PublishUnreachable(m_reach->Unreachable()); });
  m_quarantine->Start();
  m_reach->Start();
  m_config->Start();
  m_members->Start();
  m_trueTime->Start();
  m_lease->Start();
  m_usage->Start();
  m_scale->Start();
  m_roleReconciler->Start();
  if (auto started = m_peerSocket->Start(); !started) {
    return started;
  }
  m_origins->Start();
  m_callLeases->Start();
  m_peers->Start();
  return {};
}

Entry::Entry(std::unique_ptr<Impl> aImpl)
  : m_impl(std::move(aImpl))
{
}

Entry::~Entry() = default;

tl::expected<std::unique_ptr<Entry>, net::NetError>
Entry::Make(EntrySettings aSettings, std::string aFile, Dialect aDialect)
{
  auto impl = std::make_unique<Impl>();
  EntryNode& node = impl->m_node;
  observe::LogOptions options;
  options.m_target = observe::LogTarget::Output;
  auto log = observe::Log::Make(options,
                                { { "instance", aSettings.m_instance },
                                  { "hall", aSettings.m_dataCentre } });
  if (!log) {
    return tl::unexpected(net::NetError{ "open the log", log.error().m_cause });
  }
  node.m_log = std::move(*log);
  node.m_settings = std::move(aSettings);
  node.m_dialect = std::move(aDialect);
  node.m_loop = net::EventLoop::Make();
  node.m_http = std::make_unique<net::HttpClient>(*node.m_loop);
  node.m_random.seed(std::random_device()());
  impl->m_file = std::move(aFile);
  impl->m_fileTime = ModifiedAt(impl->m_file);
  if (auto started = impl->Start(); !started) {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<Entry>(new Entry(std::move(impl)));
}

void
Entry::Run()
{
  m_impl->m_node.m_loop->Run();
}

} // namespace ridgeferry::entry
