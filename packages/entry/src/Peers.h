#pragma once

#include "EntryNode.h"
#include "InstanceRows.h"
#include "LimitGossip.h"
#include "PaceGossip.h"
#include "PeerSocket.h"
#include "StoreGenerations.h"

#include <functional>
#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/membership/StorePollers.h>
#include <ridgeferry/relay/DataCentreLoads.h>
#include <ridgeferry/relay/LeavingUpstreams.h>
#include <set>
#include <sigc++/sigc++.h>
#include <span>

namespace ridgeferry::entry {

/** Heartbeats between the instances of a deployment: each sends the others its
 * load and the leaving upstreams several times a second. Instances find each
 * other by their addresses in rows of the store, where each instance writes its
 * own row before it reads all rows, and by the seed addresses in the settings;
 * once they have found each other, they need neither. Not thread-safe. */
class Peers
{
public:
  enum class Table : std::uint8_t
  {
    Config,
    Members,
  };

  /** The arguments must outlive this object. */
  Peers(EntryNode& aNode, StoreGenerations& aGenerations, PeerSocket& aSocket);

  /** Precondition: the socket has been started. */
  void Start();
  /** Returns whether this instance has heard of what the others know: one that
   * takes calls has told it, there is no other, or none has told it in time. An
   * instance that places calls earlier may send them to an upstream of which
   * all others know that it leaves. */
  bool HasHeardOthers() const;
  /** Announces to the other instances that an upstream in the list is leaving,
   * as the list or an answer of it says. */
  void NoteLeaving(const UpstreamIncarnation& aUpstream);
  /** Ends the announcements about an upstream that has been removed from the
   * list of upstreams. */
  void NoteGone(const std::string& aUpstream);
  /** Sets what the heartbeats of this instance report of its own state. */
  void SetState(bool aReady, bool aLeaving);
  /** Sets the role updates of engines that this instance announces before the
   * list of upstreams shows them. Sends them at once and with each heartbeat.
   */
  void PublishRoleUpdates(std::vector<relay::RoleUpdate> aNews);
  /** Sets the recent crashes of upstreams during calls that this instance saw,
   * and the fingerprint of the calls that it has quarantined (std::nullopt
   * while it has not learned them). Both are sent with each heartbeat. */
  void SetCrashes(std::vector<membership::CrashDigest> aEndings,
                  std::optional<std::uint64_t> aHeldCalls);
  /** Sets the services of which this instance reaches no upstream. Sends them
   * at once and with each heartbeat. */
  void PublishUnreachable(std::vector<std::uint32_t> aServices);
  /** Returns the name of the instance that should take a call to the service
   * that was routed by the configuration at `aConfig`; see
   * `membership::PickForwardTarget`. */
  std::optional<std::string> PickForwardTarget(
    std::string_view aService,
    StorePosition aConfig,
    std::span<const std::string> aExcluded) const;
  /** Returns IP:PORT of a live instance; std::nullopt if it is not known. */
  std::optional<std::string> AddressOf(std::string_view aInstance) const;
  /** Returns how long an update must be announced so that each peer of the own
   * data centre receives it several times. */
  Duration AnnouncementTime() const;
  /** Sends a heartbeat of this instance to all live instances at once. */
  void SendToAll();
  /** Returns IP:PORT of a random live instance for which `aIs` returns true;
   * std::nullopt if there is none. */
  std::optional<std::string> PickPeer(
    const std::function<bool(const membership::Heartbeat&)>& aIs) const;
  /** Returns IP:PORT of a live instance whose fingerprint of quarantined calls
   * differs from `aHeldCalls`; std::nullopt if there is none. */
  std::optional<std::string> PickPeerWithOtherQuarantine(
    std::uint64_t aHeldCalls) const;
  /** Returns IP:PORT of a live instance that has learned which calls are
   * quarantined; std::nullopt if there is none. */
  std::optional<std::string> PickPeerWithQuarantine() const;
  /** Returns the rank of this instance among the live ones, 0 for the first, in
   * an order that depends on the topic. All instances compute the same order,
   * so that they agree on who does a piece of work. */
  std::size_t Rank(std::string_view aTopic) const
  {
    return m_roster.Rank(aTopic);
  }

  /** Sets the store positions that heartbeats of this instance report. */
  void SetStoreView(const membership::StoreView& aView) { m_storeView = aView; }
  /** Returns true if this instance is one of the few of its data centre that
   * poll the store. Always true if it receives no heartbeat from an instance
   * whose reads succeed. */
  bool IsPoller() const;
  /** Returns true if this instance polls the store because of its rank among
   * the instances of its data centre, whatever the others report. */
  bool IsPollerByHash() const;
  /** See `membership::StorePollers::ReadsSince`. */
  std::optional<Instant> DataCentreReadsSince(
    std::string_view aDataCentre,
    StoreGeneration aGeneration) const;
  /** Returns the peers from which heartbeats were received, by instance. */
  const std::map<std::string, membership::PeerView, std::less<>>& Known() const
  {
    return m_roster.Peers();
  }
  /** Returns the data centres from which heartbeats were received. */
  std::set<std::string> DataCentres() const;
  /** Sends a heartbeat of this instance to the live instances of its data
   * centre at once. */
  void TellDataCentre();
  /** Returns IP:PORT of an instance that has read changes of a table after
   * `aAfter`, preferably one of this data centre. If heartbeats name no such
   * instance: returns one of the addresses in the store's rows of instances if
   * this instance has read nothing of the table yet (version 0), otherwise
   * std::nullopt. */
  std::optional<std::string> PickAhead(Table aTable,
                                       StorePosition aAfter) const;
  /** Returns true once the rows of instances have been read from the store. */
  bool HasListed() const { return m_rows.HasRead(); }
  /** Emitted when the rows of instances have been read; the argument is true if
   * they list other instances. */
  sigc::signal<void(bool)>& SignalListed() { return m_listed; }

  /** Emitted with the store positions that another instance reports. `m_lost`
   * is set only if no instance is known to read the store. */
  sigc::signal<void(const membership::StoreView&)>& SignalStoreView()
  {
    return m_storeViews;
  }
  /** Emitted when another instance reports crashes of upstreams during calls.
   */
  sigc::signal<void(std::span<const membership::CrashDigest>)>& SignalCrashes()
  {
    return m_crashesReported;
  }
  /** Emitted whenever another instance announces that an upstream is leaving.
   */
  sigc::signal<void(const UpstreamIncarnation&)>& SignalLeaving()
  {
    return m_leaves;
  }

private:
  membership::StorePollers Pollers() const;
  void TellStoreView(membership::StoreView aView);
  void Handle(const membership::RosterEvent& aEvent);
  void TakeHeartbeat(const membership::Heartbeat& aHeartbeat);
  void SendTo(const std::set<std::string>& aAddresses);
  /** Builds the heartbeat of this instance without loads. */
  membership::Heartbeat OwnHeartbeat();
  static membership::Heartbeat WithLoads(
    membership::Heartbeat aHeartbeat,
    std::span<const relay::PeerLoad> aLoads);
  void SendDataCentreLoads(const std::set<std::string>& aAddresses);
  void TakeLoads(const membership::Heartbeat& aHeartbeat);
  void ForgetDataCentres();
  void ForgetDead();
  /** Returns whether the heartbeat is the first of its instance since that
   * started. */
  bool IsNew(const membership::Heartbeat& aHeartbeat) const;
  /** Tells some others that this instance has started. */
  void TellStart();
  /** Handles another instance's announcement that an upstream is leaving. */
  void TakeLeaving(const UpstreamIncarnation& aUpstream);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  PeerSocket& m_socket;
  membership::Roster m_roster;
  std::uint64_t m_incarnation;
  InstanceRows m_rows;
  bool m_ready = false;
  bool m_leaving = false;
  bool m_hasHeardReady = false; ///< Of an instance that takes calls.
  Instant m_startedAt;
  relay::LeavingUpstreams m_leavingAnnouncements;
  LimitGossip m_limits;
  PaceGossip m_paces;
  std::vector<std::uint32_t> m_unreachableServices;
  membership::StoreView m_storeView;
  std::vector<relay::RoleUpdate> m_ownRoleUpdates;
  std::vector<membership::CrashDigest> m_crashes;
  std::optional<std::uint64_t> m_quarantineFingerprint;
  std::set<std::string> m_counted; ///< Instances whose loads are counted.
  /** Loads of the instances of this data centre. */
  relay::DataCentreLoads m_dataCentreLoads;
  /** Other data centres whose summed loads are counted, and when the last sum
   * arrived. */
  std::map<std::string, Instant> m_countedDataCentres;
  net::Watch m_tick;
  sigc::signal<void(bool)> m_listed;
  sigc::signal<void(const UpstreamIncarnation&)> m_leaves;
  sigc::signal<void(std::span<const membership::CrashDigest>)>
    m_crashesReported;
  sigc::signal<void(const membership::StoreView&)> m_storeViews;
};

} // namespace ridgeferry::entry
