#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/StorePosition.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamLife.h>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ridgeferry::membership {

/**
 * What the observer of an engine passes on of it, in a few bytes. Whoever
 * holds another state of the engine asks the engine itself for all of it.
 */
struct EngineDigest
{
  std::uint32_t m_engine = 0; ///< Hash of its id.
  std::uint32_t m_state = 0;  ///< Hash of its state, all but the load.
  std::int32_t m_running = 0; ///< Requests running or waiting.
  /** Tokens that the sender's own requests still have to have read there. */
  std::int32_t m_work = 0;
  bool operator==(const EngineDigest&) const = default;
};

/** What an engine does now, as told by whoever ordered a change of it. */
enum class EnginePart : std::uint8_t
{
  Changing = 0, ///< Between two parts: it takes nothing new.
  Reads = 1,
  Generates = 2,
};

/** News of an engine's part, ahead of the platform's list. */
struct PartDigest
{
  std::uint32_t m_engine = 0; ///< Hash of its id.
  EnginePart m_part = EnginePart::Changing;
  bool operator==(const PartDigest&) const = default;
};

/** A shared part of prompts that an engine was given to read. */
struct ReadDigest
{
  std::uint32_t m_part = 0;
  std::uint32_t m_engine = 0; ///< Hash of its id.
  bool operator==(const ReadDigest&) const = default;
};

/** An upstream ended while the sender had it run a call, or that call has run
 * well since. */
struct EndingDigest
{
  std::uint64_t m_callHigh = 0; ///< Digest of the call's content, first half.
  std::uint64_t m_callLow = 0;
  std::uint64_t m_life = 0; ///< Hash of the upstream's life.
  bool m_cleared = false;   ///< It is not held against the call any more.
  bool operator==(const EndingDigest&) const = default;
};

/**
 * How far an instance has read the tables that it follows, so that one whose
 * own read hangs learns that it is behind.
 */
struct StoreView
{
  StorePosition m_config;  ///< At the last change that it read.
  StorePosition m_members; ///< The same, of the upstreams.
  bool m_lost = false;     ///< Its reads fail.
  /** Its reads of upstreams have gone on for so long that whatever had lapsed
   * before is back or gone. */
  bool m_steady = false;
  /** For how long its reads of upstreams have gone on without a failure;
   * nothing: they fail, or it makes none. */
  std::optional<Duration> m_readsFor = {};
  bool operator==(const StoreView&) const = default;
};

/** What an instance says of itself to its peers, every heartbeat. */
struct Heartbeat
{
  std::string m_instance;
  /** Start time of the process: a later life of the same instance has a
   * higher one. */
  std::uint64_t m_incarnation = 0;
  std::string m_hall;
  std::string m_peerAddress; ///< IP:PORT, also where the heartbeat comes from.
  bool m_ready = false;
  bool m_leaving = false;
  std::uint64_t m_revision = 0; ///< Configuration in force.
  /** Upstreams known to be leaving; spread so that a process cut off from the
   * platform's list learns of them. */
  std::vector<UpstreamLife> m_leavingUpstreams;
  std::vector<EngineDigest> m_engines; ///< Those that it observes.
  /** `m_engines` is what all instances of its hall have under way together. */
  bool m_tellsHall = false;
  std::vector<PartDigest> m_parts; ///< Engines whose part it changes.
  std::vector<ReadDigest> m_reads; ///< That it ordered lately.
  /** Hashes of services whose engines it found unable to read prompts beside
   * the output. */
  std::vector<std::uint32_t> m_apart;
  std::optional<StoreView> m_store;    ///< Nothing: it follows no tables.
  std::vector<EndingDigest> m_endings; ///< That it saw lately.
  /** Names the set of calls that it holds in quarantine; nothing: it has not
   * learned yet which there are. */
  std::optional<std::uint64_t> m_heldCalls;
  bool operator==(const Heartbeat&) const = default;
};

/** The platform's lagging list: it only seeds, and says who has ended. */
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
  std::vector<ListedInstance> m_instances; ///< Of this hall, without itself.
};
struct RosterTick
{};
using RosterEvent = std::variant<HeartbeatArrived, InstancesListed, RosterTick>;

struct SendHeartbeat
{
  std::string m_peerAddress;
};
/** To one instance of another hall: what all of this hall have under way. */
struct SendHallLoads
{
  std::string m_peerAddress;
};
/** An earlier life of this instance has ended for sure: a later one bound its
 * address. */
struct IncarnationEnded
{
  std::string m_instance;
  std::uint64_t m_incarnation = 0;
};
/** An upstream is leaving, as a peer says. */
struct UpstreamLeaving
{
  UpstreamLife m_upstream;
};
using RosterAction =
  std::variant<SendHeartbeat, SendHallLoads, IncarnationEnded, UpstreamLeaving>;

struct RosterTimes
{
  /** Least time between two heartbeats to a peer. */
  Duration m_heartbeatEvery{ 1000 };
  /** Time that each peer adds to it, so that the bytes of a large hall stay
   * within their budget: 45 peers hear of each other every 2 s. */
  Duration m_heartbeatEachPeer{ 45 };
  /**
   * Longest time between two heartbeats to all peers. Where they would take
   * longer, those of the own hall are told as often as the hall's size allows,
   * those of other halls every `m_farEvery`, and what a hall has under way goes
   * to one instance of each other hall a heartbeat: all instances of a hall
   * together keep each instance elsewhere up to date.
   */
  Duration m_mostToAll = Duration::max();
  Duration m_farEvery{ 2400 };
  /** Missed heartbeats after which a peer counts as dead for sharing limits
   * and rank; of another hall that is told seldom, `m_farDeadAfterMissed`. */
  int m_deadAfterMissed = 4;
  int m_farDeadAfterMissed = 4;
  /** Silence after which an unlisted peer is forgotten. */
  Duration m_forgetAfter{ 60'000 };
};

struct PeerView
{
  Heartbeat m_last;
  Instant m_heardAt;
  bool m_alive = false;
  std::uint64_t m_hash = 0; ///< Of its name: its place in the order of duty.
};

/**
 * Who the peers of a hall are, from the platform's list and from heartbeats.
 * Soft state only: nothing that must hold depends on it. A pure state machine;
 * not thread-safe.
 */
class Roster
{
public:
  /** `aHall`: of this instance. */
  Roster(std::string aInstance,
         RosterTimes aTimes = {},
         std::string aHall = {});

  std::vector<RosterAction> Handle(const RosterEvent& aEvent, Instant aNow);

  /** Peers heard of, by instance. */
  const std::map<std::string, PeerView, std::less<>>& Peers() const
  {
    return m_peers;
  }
  /** Live instances of the hall, with this one; never less than 1. */
  std::size_t LiveCount() const;
  /**
   * Place of this instance among the live ones in a rendezvous order for
   * `aTopic`; 0 is first. Live peers that agree on who lives agree on it.
   */
  std::size_t Rank(std::string_view aTopic) const;
  /** Time between two heartbeats to the peers that are told most often. */
  Duration HeartbeatInterval() const;
  /** Time between two heartbeats of that peer. */
  Duration IntervalOf(const PeerView& aPeer) const;
  /** Whether other halls are told as sums: see `RosterTimes::m_mostToAll`. */
  bool TellsByHall() const;
  bool IsNear(const PeerView& aPeer) const;
  /** Addresses of all peers of this hall that were heard. */
  std::set<std::string> NearAddresses() const;
  /** Addresses of live peers that are not leaving. */
  std::vector<std::string> LiveAddresses() const;

private:
  using Actions = std::vector<RosterAction>;

  void OnHeartbeat(const Heartbeat& aHeartbeat,
                   Instant aNow,
                   Actions& aActions);
  void OnTick(Instant aNow, Actions& aActions);
  void ForgetSilent(Instant aNow);
  void TellAll(Actions& aActions);
  void TellByHall(Instant aNow, Actions& aActions);
  void TellOtherHalls(Actions& aActions);
  void CountNear();
  Duration TimeForAll() const;

  std::string m_hall;
  std::string m_instance;
  RosterTimes m_times;
  std::map<std::string, PeerView, std::less<>> m_peers;
  std::map<std::string, std::string, std::less<>> m_listed;
  std::optional<Instant> m_nextHeartbeat;
  std::optional<Instant> m_nextFar;
  std::ptrdiff_t m_near = 0; ///< Peers of this hall.
  std::size_t m_turn = 0;    ///< Whose turn it is in the other halls.
};

} // namespace ridgeferry::membership
