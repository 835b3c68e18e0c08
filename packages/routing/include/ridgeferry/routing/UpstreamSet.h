#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/declared/Objects.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::routing {

/** The kind of an upstream. */
enum class UpstreamKind : std::uint8_t
{
  Engine,  ///< An LLM inference engine.
  Service, ///< A plain service, which has neither models nor phases.
};

/** An upstream as the platform lists it. */
struct ListedUpstream
{
  std::string m_id;
  UpstreamKind m_kind = UpstreamKind::Engine;
  std::string m_dataCentre;
  std::string m_address; ///< IP:PORT.
  declared::Labels m_labels;
  bool m_leaving = false;
};

/** The state that an engine reports of itself. A report may be out of date. */
struct EngineReport
{
  std::string m_bootId;
  declared::Role m_role = declared::Role::Mixed;
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  std::int64_t m_slots = 1;
  std::int64_t m_running = 0; ///< Number of running and waiting calls.
  bool m_draining = false;
  bool m_changing = false; ///< A change, such as of the role, is under way.
};

/** What this instance knows of one upstream. */
struct Upstream
{
  ListedUpstream m_listed;
  std::uint64_t m_hash = 0; ///< Hash of the id, for rendezvous hashing.
  std::optional<EngineReport> m_report;
  Instant m_reportedAt;
  /** Calls of this instance that the upstream is running. */
  std::int64_t m_ownInFlight = 0;
  /** Calls that this instance has sent since `m_reportedAt` and that have not
   * ended. */
  std::int64_t m_sentSinceReport = 0;
  /** The platform's list, the upstream itself or a peer has announced that the
   * upstream is leaving. */
  bool m_leaving = false;
  int m_failuresInRow = 0;
  /** Until this time the upstream is ejected: it gets no new calls. */
  std::optional<Instant> m_ejectedUntil;
  /** Until this time the upstream itself wants no requests of this instance. */
  std::optional<Instant> m_backOffUntil;
};

/** Index of an upstream in its `UpstreamSet`. Valid until the next
 * `SetListed`. */
using UpstreamIndex = std::uint32_t;

/** The phase of a call that an upstream serves. */
enum class Phase : std::uint8_t
{
  /** The whole call. On an LLM engine, this is both prefill and decode. Calls
   * to upstreams that are not LLM engines always use this phase. */
  Whole,
  Prefill, ///< Only the prefill, which returns a KV handle.
  Decode,  ///< Only the decode, which starts from a KV handle.
};

/** The conditions that an upstream must meet to serve one kind of call. */
struct PoolSpec
{
  /** Unique name of the pool, made of the service or deployment and the
   * route. */
  std::string m_key;
  UpstreamKind m_kind = UpstreamKind::Engine;
  declared::Selector m_ownSelector; ///< Selector of the service or deployment.
  declared::Selector m_routeSelector; ///< Selector of the route.
  std::string m_model;                ///< Engines only: the model to be loaded.
  std::string m_version;
  std::string m_adapter;
};

/**
 * All upstreams of a data centre, with the calls that this instance has sent
 * them. The members of each pool are cached until the upstreams or the
 * configuration change, so that a choice examines only the upstreams that may
 * serve the call. Not thread-safe.
 */
class UpstreamSet
{
public:
  /** Number of consecutive failures after which an upstream is ejected. */
  static constexpr int kFailuresToEject = 3;
  /** How long an upstream stays ejected, in milliseconds. */
  static constexpr Duration kEjectionTime{ 2000 };
  /** Longest back-off that an upstream can ask for, so that a wrong figure puts
   * none out for good. */
  static constexpr Duration kMaxBackOff{ 60'000 };
  /** Number of calls that an upstream without a report, such as a service, is
   * assumed to run at the same time. */
  static constexpr std::int64_t kServiceSlots = 64;

  /** Replaces the list of upstreams. The state of an upstream that is still
   * listed is kept. An upstream that is no longer listed gets no new calls; it
   * is removed by the first `SetListed` after its calls have ended. */
  void SetListed(std::span<const ListedUpstream> aListed);
  /** Stores a new report of an engine. Ignores upstreams that are not in the
   * set. */
  void SetReport(std::string_view aId,
                 const EngineReport& aReport,
                 Instant aNow);
  /** Updates the number of running calls in the last report of an engine. Has
   * no effect if the engine has sent no report. */
  void SetLoad(std::string_view aId, std::int64_t aRunning, Instant aNow);
  /** Records that the upstream is leaving, so that it gets no new calls. */
  void MarkLeaving(std::string_view aId);
  /** Discards the cached pools. Must be called when the configuration
   * changes. */
  void DiscardPools();

  /** Returns `std::nullopt` if no upstream has this id. */
  std::optional<UpstreamIndex> Find(std::string_view aId) const;
  const Upstream& At(UpstreamIndex aIndex) const { return m_items[aIndex]; }
  std::span<const Upstream> All() const { return m_items; }

  /** Returns all members of a pool, including those that get no new calls. The
   * result is valid until the pools are discarded. */
  std::span<const UpstreamIndex> Pool(const PoolSpec& aSpec);

  /** Returns whether the upstream may get new calls of this phase now. */
  bool MayServe(UpstreamIndex aIndex, Phase aPhase, Instant aNow) const;
  /** Returns the number of calls that the upstream runs at the same time. */
  std::int64_t Slots(UpstreamIndex aIndex) const;
  /** Returns the estimated number of calls on the upstream: the reported
   * number, corrected by the calls that this instance has sent since the
   * report. */
  std::int64_t EstimatedLoad(UpstreamIndex aIndex) const;

  /** Records that a call was sent to the upstream. */
  void NoteSent(std::string_view aId);
  /** Records that a call no longer uses the upstream. `aFailed` means that the
   * upstream was unreachable or broke off. */
  void NoteEnded(std::string_view aId, bool aFailed, Instant aNow);
  /** Records that the upstream turned a request away and wants none of this
   * instance for `aFor`, at most `kMaxBackOff`. Of several ends the latest
   * counts. Returns false if it has asked for that before and that time has not
   * ended. */
  bool NoteBackOff(std::string_view aId, Duration aFor, Instant aNow);
  /** Returns when the first of these upstreams wants requests again;
   * std::nullopt if one that is not leaving wants them now, or all leave. */
  std::optional<Instant> BackOffEnd(std::span<const UpstreamIndex> aUpstreams,
                                    Instant aNow) const;

private:
  Upstream* FindMutable(std::string_view aId);
  /** Returns whether the upstream is a member of the pool. */
  bool Belongs(const Upstream& aUpstream, const PoolSpec& aSpec) const;

  std::vector<Upstream> m_items;
  std::map<std::string, UpstreamIndex, std::less<>> m_byId;
  std::map<std::string, std::vector<UpstreamIndex>, std::less<>> m_pools;
};

} // namespace ridgeferry::routing
