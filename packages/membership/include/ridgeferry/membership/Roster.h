#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/StorePosition.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <ridgeferry/freshness/ProvenAge.h>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ridgeferry::membership {

/**
 * Compact summary of an engine, which the instance that observes the engine
 * sends to its peers. A peer that holds another hash of the engine's state asks
 * the engine itself for the full state.
 */
struct EngineDigest
{
  std::uint32_t m_engine = 0; ///< Hash of the engine's id.
  std::uint32_t m_state = 0;  ///< Hash of the engine's state without its load.
  std::int32_t m_running = 0; ///< Requests that run or wait on the engine.
  /**
   * Prompt tokens of the sender's own requests that the engine still has to
   * prefill.
   */
  std::int32_t m_tokensToPrefill = 0;
  bool operator==(const EngineDigest&) const = default;
};

/**
 * Role of an engine, as announced by the instance that ordered a change of the
 * role.
 */
enum class EngineRole : std::uint8_t
{
  Changing = 0, ///< The engine changes its role and accepts no new requests.
  Prefilling = 1,
  Decoding = 2,
};

/** Role of an engine, gossiped because the platform's list reports it later. */
struct RoleDigest
{
  std::uint32_t m_engine = 0; ///< Hash of the engine's id.
  EngineRole m_part = EngineRole::Changing;
  bool operator==(const RoleDigest&) const = default;
};

/** A shared prompt prefix segment that an engine was ordered to prefill. */
struct PrefillDigest
{
  std::uint32_t m_part = 0;   ///< `m_key` of the `relay::PrefixSegment`.
  std::uint32_t m_engine = 0; ///< Hash of the engine's id.
  bool operator==(const PrefillDigest&) const = default;
};

/**
 * Reports that an upstream crashed while it ran a request of the sender that
 * names a suspect, or, with `m_cleared`, that such a request has completed
 * successfully since. A suspect is a call or a segment of prompts.
 */
struct CrashDigest
{
  /** First half of the digest of the call's content; 0 for a segment. */
  std::uint64_t m_callHigh = 0;
  /** Second half of that digest, or the hash of the segment. */
  std::uint64_t m_callLow = 0;
  std::uint64_t m_incarnationHash = 0; ///< Hash of the upstream's incarnation.
  bool m_cleared = false; ///< The crash no longer counts against the suspect.
  /** Segments before this one in the prompt; std::nullopt for a call. */
  std::optional<std::uint32_t> m_segmentDepth;
  std::int32_t m_ageMs = 0; ///< Time since the crash.
  bool operator==(const CrashDigest&) const = default;
};

/** The limit that an upstream stated in its latest answer to the sender, or to
 * another instance. */
struct LimitDigest
{
  std::uint32_t m_upstream = 0; ///< Hash of the upstream's id.
  /** Thousandths of a request a second; std::nullopt if it states none any
   * more. */
  std::optional<std::int32_t> m_millisPerSecond;
  std::int32_t m_ageMs = 0; ///< Time since the answer.
  bool operator==(const LimitDigest&) const = default;
};

/** What the sender knows of the pace of an upstream that has just started or
 * recovered; see `pacing::PaceReport`. */
struct PaceDigest
{
  std::uint32_t m_upstream = 0; ///< Hash of the upstream's id.
  std::uint32_t m_change = 0;   ///< Number of the latest change.
  std::int32_t m_level = 0;
  std::int32_t m_ageMs = 0; ///< Time since the change.
  bool operator==(const PaceDigest&) const = default;
};

/** The calls that callers make to a service at the sender. */
struct DemandDigest
{
  std::uint32_t m_service = 0;        ///< Hash of the service's name.
  std::int32_t m_millisPerSecond = 0; ///< Thousandths of a call a second.
  bool operator==(const DemandDigest&) const = default;
};

/**
 * How far an instance has read the tables that it follows. Instances gossip it,
 * so that an instance whose own read hangs learns that it is behind.
 */
struct StoreView
{
  StorePosition m_config; ///< Position of the last configuration change read.
  /** Position of the last change of the upstreams read. */
  StorePosition m_members;
  bool m_lost = false; ///< The instance's reads of the store fail.
  /**
   * The instance's reads of the upstreams have succeeded for so long that every
   * row that had expired before has been either renewed or removed.
   */
  bool m_steady = false;
  /**
   * How long the instance's reads of the upstreams have succeeded without a
   * failure; std::nullopt if they fail or if the instance makes no such reads.
   */
  std::optional<Duration> m_readsFor = {};
  /**
   * What the instance has proven of the freshness of its configuration;
   * std::nullopt if nothing.
   */
  std::optional<freshness::TableProof> m_configProof = {};
  /** std::nullopt if the instance does not know the store's clock. */
  std::optional<freshness::WallOffset> m_wallOffset = {};
  bool operator==(const StoreView&) const = default;
};

/** State that an instance sends to its peers in every heartbeat. */
struct Heartbeat
{
  std::string m_instance;
  /**
   * Start time of the process. A later process of the same instance has a
   * higher value, unless the clock was set back.
   */
  std::uint64_t m_incarnation = 0;
  std::string m_dataCentre;
  /** IP:PORT of the sender; it sends its heartbeats from this address. */
  std::string m_peerAddress;
  bool m_ready = false;
  bool m_leaving = false;
  std::uint64_t m_revision = 0; ///< Revision of the configuration in force.
  /**
   * Upstreams known to be leaving. They are gossiped so that a process that
   * cannot reach the platform's list learns of them.
   */
  std::vector<UpstreamIncarnation> m_leavingUpstreams;
  std::vector<EngineDigest> m_engines; ///< Engines that the sender observes.
  /**
   * If true, the loads in `m_engines` are sums over all instances of the
   * sender's data centre.
   */
  bool m_tellsDataCentre = false;
  /** Engines whose role the sender is changing. */
  std::vector<RoleDigest> m_roles;
  /** Prefills that the sender ordered recently. */
  std::vector<PrefillDigest> m_prefills;
  /**
   * Hashes of the services whose engines the sender found unable to prefill
   * prompts while they decode.
   */
  std::vector<std::uint32_t> m_disaggregatedServices;
  /**
   * How far the sender has read the store; std::nullopt if it follows no
   * tables.
   */
  std::optional<StoreView> m_store;
  /**
   * Hashes of the services of which the sender reaches no upstream that can run
   * calls.
   */
  std::vector<std::uint32_t> m_unreachableServices;
  std::int32_t m_runningCalls = 0; ///< Calls under way at the sender.
  /** Limits that upstreams state or stated until lately. */
  std::vector<LimitDigest> m_limits;
  /** Demand at the sender for each service with a limited upstream. */
  std::vector<DemandDigest> m_demands;
  /** Latest changes of the pace of upstreams in start. */
  std::vector<PaceDigest> m_paces;
  /** Crashes that the sender observed recently. */
  std::vector<CrashDigest> m_crashes;
  /**
   * Fingerprint of the set of suspects that the sender holds in quarantine;
   * std::nullopt if the sender has not learned yet what is quarantined.
   */
  std::optional<std::uint64_t> m_quarantineFingerprint;
  bool operator==(const Heartbeat&) const = default;
};

/**
 * An instance in the platform's list. The list lags behind, so the roster uses
 * it only to find addresses of peers from which no heartbeat has arrived, to
 * estimate the number of peers, and to keep listed peers that have become
 * unresponsive.
 */
struct ListedInstance
{
  std::string m_instance;
  std::string m_peerAddress;
};

struct HeartbeatArrived
{
  Heartbeat m_heartbeat;
};
struct InstancesListed
{
  std::vector<ListedInstance> m_instances; ///< Instances other than this one.
};
struct RosterTick
{};
using RosterEvent = std::variant<HeartbeatArrived, InstancesListed, RosterTick>;

struct SendHeartbeat
{
  std::string m_peerAddress;
};
/**
 * Sends the summed loads of this data centre to one instance of another data
 * centre.
 */
struct SendDataCentreLoads
{
  std::string m_peerAddress;
};
/**
 * An earlier incarnation of the instance has certainly ended, because a later
 * one has bound its address.
 */
struct IncarnationEnded
{
  std::string m_instance;
  std::uint64_t m_incarnation = 0;
};
/** A peer reported that an upstream is leaving. */
struct UpstreamLeaving
{
  UpstreamIncarnation m_upstream;
};
using RosterAction = std::variant<SendHeartbeat,
                                  SendDataCentreLoads,
                                  IncarnationEnded,
                                  UpstreamLeaving>;

struct RosterTimes
{
  /** Minimum time between two heartbeats to a peer. */
  Duration m_heartbeatEvery{ 1000 };
  /**
   * Time per peer between two rounds of heartbeats, where it exceeds
   * `m_heartbeatEvery`. It bounds the bytes sent in a large data centre: 45
   * peers receive a heartbeat every 2 s.
   */
  Duration m_heartbeatEachPeer{ 45 };
  /**
   * Maximum time between two rounds of heartbeats to all peers. If a round to
   * all peers takes longer, heartbeats are sent by data centre: peers in the
   * own data centre receive one as often as its size allows, peers in other
   * data centres one every `m_remoteHeartbeatEvery`. In addition, each round
   * sends the summed loads of the own data centre to one instance of each other
   * data centre, so that together the instances of a data centre keep every
   * instance elsewhere up to date.
   */
  Duration m_maxRoundToAll = Duration::max();
  Duration m_remoteHeartbeatEvery{ 2400 };
  /**
   * Number of missed heartbeats after which a peer counts as dead: `LiveCount`,
   * by which the instances share limits, and `Rank` leave it out.
   * `m_remoteDeadAfterMissed` applies instead to peers in other data centres
   * while heartbeats are sent by data centre.
   */
  int m_deadAfterMissed = 4;
  int m_remoteDeadAfterMissed = 4;
  /**
   * Time without a heartbeat after which a peer is removed if it is not in the
   * platform's list.
   */
  Duration m_forgetAfter{ 60'000 };
};

struct PeerView
{
  Heartbeat m_last;
  Instant m_lastHeartbeatAt;
  bool m_alive = false;
  /**
   * Hash of the instance's name; orders the instances for the choice of store
   * pollers.
   */
  std::uint64_t m_hash = 0;
};

/**
 * Tracks the peers of this instance, from the platform's list and from
 * heartbeats. This is soft state: no guarantee of the system depends on it. A
 * pure state machine; not thread-safe.
 */
class Roster
{
public:
  /** `aDataCentre` is the data centre of this instance. */
  Roster(std::string aInstance,
         RosterTimes aTimes = {},
         std::string aDataCentre = {});

  std::vector<RosterAction> Handle(const RosterEvent& aEvent, Instant aNow);

  /** Returns the peers from which heartbeats were received, by instance. */
  const std::map<std::string, PeerView, std::less<>>& Peers() const
  {
    return m_peers;
  }
  /**
   * Returns the number of live instances that are not leaving, this one
   * included; at least 1.
   */
  std::size_t LiveCount() const;
  /**
   * Returns the rank of this instance among the live ones in a rendezvous order
   * for `aTopic`; 0 is first. Instances that agree on which peers are alive
   * compute the same order.
   */
  std::size_t Rank(std::string_view aTopic) const;
  /**
   * Returns the time between two heartbeats to the peers that receive them most
   * often.
   */
  Duration HeartbeatInterval() const;
  /** Returns the time between two heartbeats of `aPeer`. */
  Duration IntervalOf(const PeerView& aPeer) const;
  /**
   * Returns whether other data centres receive summed loads; see
   * `RosterTimes::m_maxRoundToAll`.
   */
  bool SendsLoadsPerDataCentre() const;
  bool IsInOwnDataCentre(const PeerView& aPeer) const;
  /**
   * Returns the addresses of all known peers in the own data centre, dead ones
   * included.
   */
  std::set<std::string> OwnDataCentreAddresses() const;
  /** Returns the addresses of live peers that are not leaving. */
  std::vector<std::string> LiveAddresses() const;

private:
  using Actions = std::vector<RosterAction>;

  void OnHeartbeat(const Heartbeat& aHeartbeat,
                   Instant aNow,
                   Actions& aActions);
  void OnTick(Instant aNow, Actions& aActions);
  void ExpirePeers(Instant aNow);
  void SendToAll(Actions& aActions);
  void TellByDataCentre(Instant aNow, Actions& aActions);
  void TellOtherDataCentres(Actions& aActions);
  void CountOwnDataCentre();
  Duration TimeForAll() const;

  std::string m_dataCentre;
  std::string m_instance;
  RosterTimes m_times;
  std::map<std::string, PeerView, std::less<>> m_peers;
  std::map<std::string, std::string, std::less<>> m_listed;
  std::optional<Instant> m_nextHeartbeat;
  std::optional<Instant> m_nextRemoteHeartbeat;
  /** Number of peers in the own data centre. */
  std::ptrdiff_t m_peersInOwnDataCentre = 0;
  /**
   * Selects the instance of each other data centre that receives the next
   * summed loads.
   */
  std::size_t m_recipientTurn = 0;
};

} // namespace ridgeferry::membership
