#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/limits/UpstreamLimits.h>
#include <ridgeferry/relay/AttemptEnd.h>
#include <ridgeferry/relay/ColocatedPrefill.h>
#include <ridgeferry/relay/MedianThroughput.h>
#include <ridgeferry/relay/Member.h>
#include <ridgeferry/relay/Placement.h>
#include <ridgeferry/relay/PrefixCacheIndex.h>
#include <ridgeferry/relay/Prompt.h>
#include <ridgeferry/relay/RoleChangeController.h>
#include <ridgeferry/relay/Routes.h>
#include <ridgeferry/relay/SendTarget.h>
#include <ridgeferry/relay/UpstreamNotices.h>
#include <ridgeferry/relay/UpstreamStarts.h>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ridgeferry::relay {

/**
 * A measurement of how fast an engine prefills, taken from sending a call to
 * the engine until the first byte of its answer.
 */
struct ThroughputSample
{
  std::string_view m_engine;
  /**
   * Prefill work done in that time, including the work that was queued ahead of
   * the call.
   */
  std::int64_t m_work = 0;
  Duration m_took{};
  /**
   * True if, as far as this instance knows, nothing was queued ahead of the
   * call and `m_work` is exact. Samples that are not clean show what callers
   * experience, not what the engine is capable of: under load they would make
   * the engine look slow just when that does most harm.
   */
  bool m_isClean = false;
  Instant m_sentAt{}; ///< When the call was sent to the engine.
};

/** The calls that another instance has in flight at one member. */
struct PeerLoad
{
  std::uint32_t m_member = 0; ///< `Fleet::ShortHash` of the member's id.
  std::int64_t m_running = 0;
  std::int64_t m_tokens = 0; ///< Prompt tokens that are still to be prefilled.
  bool operator==(const PeerLoad&) const = default;
};

/**
 * A change of an engine's role that another instance announced before the list
 * of members shows it.
 */
struct MemberRoleUpdate
{
  std::uint32_t m_member = 0; ///< `Fleet::ShortHash` of the engine's id.
  /** The new role, or empty while the engine changes roles. */
  std::optional<UpstreamRole> m_role;
  bool operator==(const MemberRoleUpdate&) const = default;
};

/**
 * Chooses the upstream for each call, from the members of all services and the
 * calls that are in flight at each.
 *
 * Fleet places a prompt on the engine with the least estimated prefill work
 * before the first token: the work that is queued there plus the part of this
 * prompt that the engine does not have cached. For each chain of prefix
 * segments, rendezvous hashing selects the engine that is assumed to cache the
 * chain (its affinity target), so all instances agree on it without
 * communication. Calls to plain services go to the upstream with the least
 * expected response time. This class only makes decisions and does no I/O. It
 * is not thread-safe.
 */
class Fleet
{
public:
  /**
   * Number of consecutive failures after which a member is ejected for
   * `kEjectionTime`. One failure can be chance; three in a row are not, at the
   * error rates of healthy upstreams.
   */
  static constexpr int kFailuresToEject = 3;
  static constexpr Duration kEjectionTime{ 1000 };
  /**
   * Ejection time of a member at whose address another upstream answers. The
   * list of members should show the new address within two seconds, unless the
   * store is unavailable.
   */
  static constexpr Duration kMisdirectedEjectionTime{ 3000 };
  /**
   * How long a member may leave a call unanswered before it counts as
   * unresponsive and gets no further calls while other members are healthy. 300
   * ms is far more than a decode step or a plain call takes. An engine gets
   * additional time: the expected prefill time of the prompts queued there,
   * times `kResponseTimeoutWorkFactor`, because an engine in the prefill role
   * sends nothing before it has processed the prompt.
   */
  static constexpr Duration kResponseTimeout{ 300 };
  static constexpr double kResponseTimeoutWorkFactor = 1.5;
  /**
   * Upper bound of an engine's response time-out. Callers give up after two
   * seconds.
   */
  static constexpr Duration kMaxResponseTimeout{ 1500 };
  /**
   * Number of removed members whose start time is remembered, so that a late
   * row of an earlier incarnation does not bring one back. The limit covers
   * some days of replacements and takes about 100 KB.
   */
  static constexpr std::size_t kMostPastIncarnations = 1000;
  /**
   * Upper bound of the ejection time, which doubles each time that a probe of
   * the member fails. The doubling keeps members behind a network partition
   * from costing every caller on this side a failed attempt.
   */
  static constexpr Duration kMaxEjectionTime{ 4000 };
  /**
   * Number of consecutive refusals after which a member is ejected, and for how
   * long. An engine that is changing roles refuses every call; it therefore
   * looks idle and would otherwise attract all calls.
   */
  static constexpr int kDeclinesToEject = 2;
  static constexpr Duration kDeclinedEjectionTime{ 300 };
  /** Time in which a call that finds out whether a back-off has ended should
   * have its answer. */
  static constexpr Duration kBackOffTrialWait{ 100 };
  /** Longest time behind a back-off in which the member gets one call at a
   * time.
   */
  static constexpr Duration kBackOffReturn{ 500 };

  /**
   * Adds or updates a member from a row of the list. Within one incarnation, a
   * member that is leaving stays leaving, also if its row was gone meanwhile. A
   * row of a later incarnation discards everything known of the earlier one:
   * cached prefixes, loads, throughput, ejection, role and leaving state. A row
   * of an earlier incarnation is ignored, even after the member was removed.
   * Returns how the row's incarnation relates to the known one.
   */
  IncarnationOrder Put(const Member& aMember);
  /**
   * As above. In addition, an upstream that this instance had not known, or a
   * later incarnation, is in start from now on; see `UpstreamStarts`.
   */
  IncarnationOrder Put(const Member& aMember, Instant aNow);
  /**
   * Removes a member that is no longer listed. If `aLapsesUntil` is set, the
   * list was unreachable recently and the member's row may only have expired;
   * the member is then kept until that time, unless it is leaving.
   */
  void Drop(std::string_view aId, std::optional<Instant> aLapsesUntil);
  /**
   * Ends the grace periods of all members of data centre `aDataCentre` that are
   * no longer listed, at `aUntil` at the latest.
   */
  void BoundGracePeriods(std::string_view aDataCentre, Instant aUntil);
  /**
   * Marks an incarnation of an upstream, listed or not, as leaving, as itself
   * or another instance says: it gets no new work, whatever its row says then.
   * Has no effect on another incarnation. Returns whether that is new.
   */
  bool MarkLeaving(const UpstreamIncarnation& aUpstream);
  /**
   * Returns the member if a request may be sent to it now; std::nullopt if it
   * is not known, or wants none of that purpose. Must be called just before
   * each send.
   */
  std::optional<SendTarget> TargetFor(std::string_view aId,
                                      RequestPurpose aPurpose,
                                      Instant aNow) const;
  /**
   * Records that an incarnation of an upstream turned a request of this
   * instance away and wants none for `aFor`. See `UpstreamNotices`, also for
   * the result.
   */
  bool NoteBackOff(const UpstreamIncarnation& aUpstream,
                   Duration aFor,
                   Instant aNow);
  /** Returns the time until the first upstream of the service that could get a
   * call wants requests again; std::nullopt if one wants them now, or none is
   * listed. */
  std::optional<Duration> BackOffOf(std::string_view aService,
                                    Instant aNow) const;
  /** Records that the member ran a call. Behind the end of its back-off that
   * ends the time in which it gets one call at a time. */
  void NoteAccepted(std::string_view aId, Instant aNow);
  /** Removes the members whose grace period has ended and returns their ids. */
  std::vector<std::string> Tick(Instant aNow);

  PlaceResult FindPlace(const PlaceRequest& aRequest, Instant aNow) const;

  /**
   * Records that a caller sent `aPrompt`. `aPause` is the longest pause between
   * two events of the answer that the caller accepts, as in
   * `PlaceRequest::m_pause`.
   */
  void NotePrompt(std::string_view aService,
                  const Prompt& aPrompt,
                  Duration aPause);
  /**
   * Records the end of a stream, or a pause in it; see
   * `ColocatedPrefill::NoteStream`.
   */
  void NoteStream(std::string_view aService, bool aPaused);
  /**
   * Records that a call was sent to a member, which has `aTokens` to prefill
   * before the first byte of its answer.
   */
  void NoteSent(std::string_view aId, std::int64_t aTokens, Instant aNow);
  /**
   * Records that bytes arrived from the member, for a call that was sent at
   * `aSentAt`. Returns true if the member was on probation, which these bytes
   * end. Bytes for a call that was sent before the member failed end none: its
   * connection may live on while no new one comes about.
   */
  bool NoteResponse(std::string_view aId, Instant aSentAt = Instant::max());
  /**
   * Records that no connection to the member could be opened in time, or that
   * the member acknowledged none of the data sent on a connection. The member
   * is ejected; afterwards one call at a time probes it.
   */
  void NoteUnreachable(std::string_view aId, Instant aNow);
  /**
   * Returns whether the member is unresponsive: it has left a call unanswered
   * for longer than its response time-out, or it is on probation and a probing
   * call is unanswered.
   */
  bool IsUnresponsive(std::string_view aId, Instant aNow) const;
  /**
   * Returns whether some member of the service that can run calls is neither
   * unresponsive nor on probation. True if none is listed.
   */
  bool IsAnyResponsive(std::string_view aService, Instant aNow) const;
  /**
   * Ends the ejections of the service's members on probation: what failed was
   * the way to them. They stay on probation.
   */
  void EndEjections(std::string_view aService);
  /**
   * Returns whether a call to the member should open a new connection, because
   * the pooled connections may be the ones that no longer respond.
   */
  bool NeedsOwnConnection(std::string_view aId, Instant aNow) const;
  /**
   * Records that the first byte of an answer arrived from a member, so that the
   * call's `aTokens` are no longer waiting for prefill there.
   */
  void NoteFirstByte(std::string_view aId, std::int64_t aTokens);
  /**
   * Records the end of an attempt at a member. `aTokens` is the prefill work
   * that was still outstanding, `aTook` the time since the send. Returns true
   * if the member is ejected as a result.
   */
  bool NoteEnded(std::string_view aId,
                 std::int64_t aTokens,
                 AttemptEnd aEnd,
                 Duration aTook,
                 Instant aNow);
  void NoteThroughput(const ThroughputSample& aSample);
  /**
   * Records that the first token of a prompt arrived after `aTook`, where the
   * placement had estimated `aExpectedMs`.
   *
   * Loads of other instances become known late, and later in larger
   * deployments. The ratio of measured to expected time shows sooner by which
   * factor all estimates of a service are wrong. Long and short prompts have
   * separate factors because they go to different engines.
   */
  void NoteFirstToken(std::string_view aService,
                      const Prompt& aPrompt,
                      double aExpectedMs,
                      Duration aTook,
                      Instant aNow);
  /**
   * Records the limit that an answer of a member states; see
   * `limits::UpstreamLimits`. Returns what that changed.
   */
  limits::LimitChange NoteStatedLimit(std::string_view aId,
                                      std::optional<double> aPerSecond,
                                      Instant aNow);
  /**
   * Records the limit that a member stated to another instance. Has no effect
   * if the member is not listed here. Returns what that changed.
   */
  limits::LimitChange NotePeerLimit(const limits::LimitReport& aReport,
                                    Instant aNow);
  /** Counts a send to a member against the limit that it states. */
  void TakePermit(std::string_view aId, Instant aNow);
  /**
   * Records what another instance found of an upstream in start. Has no effect
   * if the member is not listed here.
   */
  void NotePeerPace(const pacing::PaceReport& aReport, Instant aNow);
  UpstreamStarts& Starts() { return m_starts; }
  const UpstreamStarts& Starts() const { return m_starts; }
  limits::UpstreamLimits& Limits() { return m_limits; }
  const limits::UpstreamLimits& Limits() const { return m_limits; }
  /**
   * Returns the prompt tokens that all instances together have waiting for
   * prefill at a member.
   */
  std::int64_t TokensAt(std::string_view aId) const;

  /**
   * Replaces the role updates that instance `aInstance` announced before the
   * list shows them. An empty vector means that the instance has none or has
   * ended.
   */
  void SetRoleUpdates(const std::string& aInstance,
                      std::vector<MemberRoleUpdate> aNews);
  /**
   * Returns the listed engines of a service, as input for planning their roles.
   */
  std::vector<PlannedEngine> EnginesOf(std::string_view aService) const;
  /**
   * Returns whether some member is in its grace period, that is, its row may
   * only have expired.
   */
  bool HasMemberInGracePeriod() const;
  /**
   * Returns whether prompts may be prefilled on engines that decode (colocated
   * prefill). False if this instance has found that the engines cannot sustain
   * it, if enough other instances have, or if it was found before this process
   * started.
   */
  bool AllowsColocatedPrefill(std::string_view aService) const;
  /**
   * Returns the `ShortHash` of each service whose engines this instance itself
   * has found unable to sustain colocated prefill.
   */
  std::vector<std::uint32_t> OwnDisaggregatedServices() const;
  /**
   * Returns `OwnDisaggregatedServices()` together with the services set by
   * `RestoreDisaggregatedServices`, for announcement to other instances: most
   * of them do not restore these themselves.
   */
  std::vector<std::uint32_t> ReportedDisaggregatedServices() const;
  /**
   * Replaces the services whose engines instance `aInstance` has found unable
   * to sustain colocated prefill. An empty vector means that the instance has
   * found none or has ended.
   */
  void SetDisaggregatedServices(const std::string& aInstance,
                                std::vector<std::uint32_t> aServices);
  /**
   * Sets the services, by `ShortHash`, whose engines had been found unable to
   * sustain colocated prefill before this process started.
   */
  void RestoreDisaggregatedServices(std::vector<std::uint32_t> aServices);
  /**
   * Returns the number of decode engines that the running output of a service
   * keeps busy.
   */
  double DecodeEnginesNeeded(std::string_view aService,
                             const EngineTraits& aTraits) const;
  /**
   * Returns the number of upstreams that the calls in flight at a service keep
   * busy, whatever their role.
   */
  double UpstreamsNeeded(const Service& aService) const;
  /** Returns all members, for as long as their list does not change. */
  std::vector<const Member*> Members() const;
  /**
   * Returns the listed members of a service. The pointers are valid until the
   * list of members changes.
   */
  std::vector<const Member*> MembersOf(std::string_view aService) const;

  /**
   * Replaces the calls that instance `aInstance` has in flight. An empty vector
   * means that the instance has ended.
   */
  void SetPeerLoads(const std::string& aInstance, std::vector<PeerLoad> aLoads);
  /**
   * Records that this instance sent a prompt to engine `aId` for prefill; its
   * prefix segments count as cached there from now on.
   */
  void NotePrefill(const Prompt& aPrompt, std::string_view aId, Instant aNow);
  /** Records that another instance announced a prefill of a segment. */
  void NoteCached(const CachedSegment& aPart, Instant aNow);
  /**
   * Returns the segments that this instance's own calls had prefilled less than
   * `aSince` ago, for announcement to other instances.
   */
  std::vector<CachedSegment> OwnPrefills(Instant aNow, Duration aSince) const;
  /**
   * Returns the calls that this instance has in flight, for announcement to
   * other instances.
   */
  std::vector<PeerLoad> OwnLoads() const;
  static std::uint32_t ShortHash(std::string_view aId);
  /** Returns the id of the member with this `ShortHash`; empty if none is
   * known. */
  std::string_view IdOf(std::uint32_t aShortHash) const;

  /** Returns null if no such member is known. */
  const Member* Find(std::string_view aId) const;
  std::size_t Size() const { return m_members.size(); }
  /** Returns whether any upstream of the service is an engine. Calls to other
   * services have no prompt, whatever their callers say. */
  bool RunsEngines(std::string_view aService) const;
  /**
   * Returns the tokens that an engine has to prefill for the prompt. `aKept`
   * tells whether the engine is assumed to have the shared prefix cached.
   */
  static std::int64_t TokensToPrefill(const Prompt& aPrompt, bool aKept);
  /**
   * Returns the cost of prefilling the last `aTokens` tokens of a prompt,
   * including attention: a token costs more, the more tokens stand before it.
   * The unit is the cost of a token without any before it.
   */
  static std::int64_t WorkOf(const Prompt& aPrompt, std::int64_t aTokens);
  static std::int64_t WorkToPrefill(const Prompt& aPrompt, bool aKept);
  /**
   * Returns the work to prefill the prompt at a member, given what is assumed
   * to be cached there.
   */
  std::int64_t WorkAt(const Prompt& aPrompt,
                      std::string_view aId,
                      Instant aNow) const;
  /**
   * Returns whether the member is the affinity target of the prompt, so that
   * the prompt's shared prefix is assumed to be cached there.
   */
  bool HasPrefixAffinity(const Prompt& aPrompt,
                         std::string_view aId,
                         Instant aNow) const;

private:
  struct State
  {
    /**
     * The member as listed, except that its role follows a role update if there
     * is one.
     */
    Member m_member;
    UpstreamRole m_listedRole = UpstreamRole::Plain;
    /** Whether the engine is changing roles and accepts no new calls. */
    bool m_changing = false;
    std::uint64_t m_hash = 0;
    std::int64_t m_inFlight = 0;
    /**
     * Prompt tokens of this instance's calls that are still to be prefilled.
     */
    std::int64_t m_tokens = 0;
    std::int64_t m_peerInFlight = 0;
    std::int64_t m_peerTokens = 0;
    double m_tookMs = 0; ///< Smoothed duration of served plain calls, in ms.
    /**
     * Smoothed throughput that calls observe, over all samples; 0 if there is
     * none. It includes the effect of queued work that this instance does not
     * know of, and of concurrent decoding.
     */
    double m_observedThroughput = 0;
    /** Throughput of the engine itself, from clean samples. */
    MedianThroughput m_throughput;
    /**
     * Throughput of engines of the same service and role; 0 if none is known.
     */
    double m_roleThroughput = 0;
    double m_failShare = 0; ///< Smoothed share of attempts that failed.
    int m_failuresInRow = 0;
    /** Failures since the member last sent any byte. */
    int m_failuresSinceResponse = 0;
    int m_declinesInRow = 0;
    /** Duration of the next ejection. */
    Duration m_nextEjectionTime = kEjectionTime;
    std::optional<Instant> m_ejectedUntil;
    /** Until when the member wants no requests from this instance. Kept until
     * it has run a call again, for `kBackOffReturn` at most. */
    std::optional<Instant> m_backOffUntil;
    /** A call is out that finds out whether the back-off has ended. */
    bool m_isBackOffTried = false;
    /**
     * When the member was sent the oldest call since it last sent any byte;
     * empty if nothing is awaited from it.
     */
    std::optional<Instant> m_unansweredSince;
    /**
     * Whether the member is on probation: it failed without sending anything,
     * and gets only one call at a time until it responds.
     */
    bool m_isOnProbation = false;
    Instant m_failedAt; ///< When the probation began, or a probe last failed.
    /** When the grace period of a member that is no longer listed ends. */
    std::optional<Instant> m_goneAt;
  };

  /**
   * An engine that could prefill a prompt, with the estimated time of the
   * prompt's first token.
   */
  struct Candidate
  {
    const State* m_state = nullptr;
    double m_ms = 0;
    bool m_hasAffinity = false;
    /** Time to prefill the prompt itself, including a KV transfer, in ms. */
    double m_prefillMs = 0;
    double m_typicalMs = 0;  ///< The same for a typical prompt, in ms.
    std::int64_t m_work = 0; ///< Work to prefill the prompt itself.
    /** Engine that this one fetches KV cache entries from, or null. */
    const State* m_transferSource = nullptr;
    bool operator<(const Candidate& aOther) const { return m_ms < aOther.m_ms; }
    /**
     * Returns the time that the prompt waits before its own prefill starts, in
     * milliseconds.
     */
    double WaitMs() const { return m_ms - m_prefillMs; }
    /**
     * Returns when a typical prompt's first token would arrive, in
     * milliseconds.
     */
    double TypicalFirstMs() const { return WaitMs() + m_typicalMs; }
  };

  /** Returns whether the member may get the call, unless it is ejected. */
  bool MayServe(const State& aState,
                const PlaceRequest& aRequest,
                Instant aNow) const;
  static bool IsEjected(const State& aState, Instant aNow);
  /** Returns the time for which the member gets no requests of this instance: 0
   * if it may get one. Behind a back-off one call at a time goes there until
   * one is run. */
  static Duration BackOffLeft(const State& aState, Instant aNow);
  /** Returns whether the member runs the software version that the call needs.
   */
  static bool RunsVersion(const Member& aMember, const PlaceRequest& aRequest);
  /** Returns whether a member of the service that is not leaving runs the
   * software version that the call needs. */
  bool IsVersionListed(const PlaceRequest& aRequest, Instant aNow) const;
  /** Returns the time until the member may be sent the call under the limit
   * that it states; 0 if it may be now. */
  Duration RoomUnderLimit(const State& aState,
                          const PlaceRequest& aRequest,
                          Instant aNow) const;
  static Duration ResponseTimeoutOf(const State& aState);
  static bool IsUnresponsive(const State& aState, Instant aNow);
  /** Returns whether the member belongs to the service and may run its calls.
   */
  static bool MayRunCalls(const State& aState,
                          std::string_view aService,
                          Instant aNow);
  void Eject(State& aState, Instant aNow);
  /** The member was ejected; afterwards it is in start. */
  void BeginRecovery(State& aState, Instant aNow);
  /** Returns whether the member is in start (see `UpstreamStarts`). A member on
   * probation is not: it gets one call at a time. */
  bool IsInStart(const State& aState) const;
  /** Returns the median of a measured value over the members in service that
   * have the service and role of this one; 0 if none was measured. */
  double UsualOf(const State& aState, double State::*aMeasured) const;
  void NoteStartAnswer(State& aState,
                       const pacing::StartAnswer& aAnswer,
                       Instant aNow);
  /** Ends a member's start: of what was measured meanwhile, only what is better
   * than the others' values is kept. */
  void ForgetStart(State& aState);
  static bool HasConnection(const State& aState, const PlaceRequest& aRequest);
  /** What keeps calls away from members that could get them otherwise. */
  struct Obstacles
  {
    bool m_anyBusy = false;
    /** Time until the first limited member has room; std::nullopt if none is
     * limited. */
    std::optional<Duration> m_limitedFor;
    /** Time until the first member that backs off wants requests again;
     * std::nullopt if none does. */
    std::optional<Duration> m_backOffFor;
  };
  /** Returns why no member may get a call. */
  static PlaceFault FaultOf(const Obstacles& aObstacles);
  /**
   * Chooses the upstream of a call to a plain service. Here and below, `aSound`
   * are the members that may get the call: those of the service that are not
   * leaving, ejected, excluded or changing roles, have a connection to spare
   * and are responsive. If all of them are unresponsive, unresponsive members
   * are used.
   */
  PlaceResult FindPlain(std::span<const State* const> aSound,
                        const PlaceRequest& aRequest) const;
  /** Chooses among `aSound`, which is not empty, by the kind of call. */
  PlaceResult FindAmong(std::span<const State* const> aSound,
                        const PlaceRequest& aRequest,
                        Instant aNow) const;
  /**
   * As `FindAmong`; but members in start get their share of the calls, whatever
   * their load is, and more only if the others have no room.
   */
  PlaceResult FindWithStarts(std::span<const State* const> aSound,
                             const PlaceRequest& aRequest,
                             Instant aNow) const;
  PlaceResult FindEngine(std::span<const State* const> aSound,
                         const PlaceRequest& aRequest,
                         Instant aNow) const;
  /**
   * Chooses the place of a prompt if the service does not allow colocated
   * prefill. Returns std::nullopt if no engine can prefill the prompt or none
   * can decode it.
   */
  std::optional<PlaceResult> FindPrefillEngine(
    std::span<const State* const> aSound,
    const PlaceRequest& aRequest,
    Instant aNow) const;
  /**
   * Returns the engines that may prefill a prompt if the service does not allow
   * colocated prefill: those in the prefill role, and decode engines for which
   * the prompt is short enough.
   */
  std::vector<Candidate> PrefillCandidates(std::span<const State* const> aSound,
                                           const PlaceRequest& aRequest,
                                           Instant aNow) const;
  /**
   * Returns whether a typical prompt would miss its first-token target at the
   * engine. `aErrorFactor` is the factor from `EstimateErrorOf`.
   */
  static bool IsLate(const Candidate& aPrefillEngine,
                     const PlaceRequest& aRequest,
                     double aErrorFactor);
  /**
   * Returns whether little enough work waits at the engine for the prompt to be
   * sent there.
   */
  static bool HasRoom(const Candidate& aPrefillEngine,
                      const PlaceRequest& aRequest,
                      double aErrorFactor);
  /**
   * Returns the result for a prompt that no engine has room for: `PlaceLater`
   * if the caller will still wait long enough, otherwise a fault. `aBest` is
   * the result of `PickDisaggregated`.
   */
  static PlaceResult NoRoomAt(const Candidate& aBest,
                              const PlaceRequest& aRequest,
                              double aErrorFactor);
  static const Candidate& PickDisaggregated(
    std::span<const Candidate> aPrefillEngines,
    const PlaceRequest& aRequest);
  /** Returns whether the engine decodes, and can read the KV cache that
   * `aPrefillEngine` writes. */
  static bool MayDecodeFor(const State& aState, const State& aPrefillEngine);
  static bool HasDecodeEngine(std::span<const State* const> aSound,
                              const State& aPrefillEngine);
  /**
   * Returns the engine that decodes a prompt which `aPrefillEngine` prefills,
   * or null if there is none.
   */
  static const State* PickDecodeTarget(const State& aPrefillEngine,
                                       std::span<const State* const> aSound);
  /**
   * Returns the typical prompt of the request's kind of call, or the prompt
   * itself if none is set. Precondition: the request has a prompt.
   */
  static const Prompt& TypicalOf(const PlaceRequest& aRequest);
  /**
   * Returns why no candidate can serve a typical prompt within the admission
   * bound, or std::nullopt if one can. Precondition: `aCandidates` is not
   * empty.
   */
  std::optional<PlaceFault> RefusalOf(std::span<const Candidate> aCandidates,
                                      const PlaceRequest& aRequest,
                                      Instant aNow) const;
  /**
   * Returns whether a prompt that `RefusalOf` refuses is admitted all the same,
   * because it is smaller than a typical one and its own first token is
   * expected within the admission bound at `aBest`.
   */
  bool PassesForItsSize(const Candidate& aBest,
                        const PlaceRequest& aRequest,
                        Instant aNow) const;
  /**
   * Returns a fault if no candidate could prefill the prompt before its caller
   * gives up, even when idle; std::nullopt otherwise. Precondition:
   * `aCandidates` is not empty.
   */
  static std::optional<PlaceFault> TooLarge(
    std::span<const Candidate> aCandidates,
    const PlaceRequest& aRequest);
  /**
   * Chooses the engine that prefills the prompt. `aBest` is the candidate with
   * the earliest first token. Precondition: `aCandidates` is not empty.
   */
  static const Candidate* PickPrefillEngine(
    std::span<const Candidate> aCandidates,
    const Candidate& aBest,
    const PlaceRequest& aRequest);
  /**
   * Returns a place that prefills at `aPrefillEngine` and decodes at the best
   * decode engine; std::nullopt if none may decode for it.
   */
  static std::optional<Place> WithDecodeTarget(
    const State& aPrefillEngine,
    std::span<const State* const> aSound,
    const PlaceRequest& aRequest);
  static double ThroughputOf(const State& aState);
  /**
   * Returns the estimated time to the first token after `aWork` more prefill
   * work at the engine, in milliseconds. `aThroughput` is the result of
   * `ObservedThroughputOf` if the service allows colocated prefill, otherwise
   * that of `ThroughputOf`.
   */
  static double FirstTokenMs(const State& aState,
                             std::int64_t aWork,
                             double aThroughput);
  static double ObservedThroughputOf(const State& aState);
  /**
   * Returns how many tokens at the beginning of the prompt the member has
   * cached.
   */
  std::int64_t TokensCached(const Prompt& aPrompt,
                            const State& aState,
                            Instant aNow) const;
  /**
   * Returns the work to prefill the prompt at an engine if the service does not
   * allow colocated prefill, from the prefix segments that are known to be
   * cached there.
   */
  std::int64_t DisaggregatedWork(const Prompt& aPrompt,
                                 const State& aState,
                                 Instant aNow) const;
  /**
   * An engine from which others can fetch a cached prefix, and how many tokens
   * of the prompt it has cached.
   */
  struct TransferSource
  {
    const State* m_state = nullptr;
    std::int64_t m_tokens = 0;
  };
  /**
   * The engines with the most cached tokens of a prompt: overall and by data
   * centre.
   */
  struct TransferSources
  {
    TransferSource m_most;
    std::map<std::string_view, TransferSource> m_byDataCentre;
  };
  /** Returns the sources by software version: an engine reads only what its own
   * version wrote. */
  std::map<std::string_view, TransferSources> FindTransferSources(
    const PlaceRequest& aRequest,
    Instant aNow) const;
  /**
   * Returns how long the work queued at a prefill engine may take, in
   * milliseconds, for a prompt to be sent there. `aTypicalMs` is the prefill
   * time of a typical prompt of the same kind, and `aLate` tells whether that
   * prompt would miss its target.
   */
  static double MaxWaitMs(const PlaceRequest& aRequest,
                          double aTypicalMs,
                          bool aLate);
  /**
   * Returns whether the prompt is short enough to be prefilled on a decode
   * engine of a service that does not allow colocated prefill in general.
   */
  static bool FitsColocatedPrefill(const PlaceRequest& aRequest,
                                   const State& aState);
  static Candidate ColocatedCandidate(const PlaceRequest& aRequest,
                                      const State& aState);
  Candidate PrefillCandidate(const PlaceRequest& aRequest,
                             const State& aState,
                             const TransferSources& aSources,
                             Instant aNow) const;
  static bool IsReservedForDecode(const State& aState,
                                  std::uint64_t aReservedBound);
  /**
   * Returns the hash below which decode engines are reserved for decoding and
   * for short prompts. With `aMost`, returns the bound for the largest number
   * of engines that may ever be reserved.
   */
  std::uint64_t ReservedHashBound(std::string_view aService, bool aMost) const;
  static bool HasFreeSlots(const State& aState);
  std::uint64_t AffinityTargetOf(std::uint64_t aKey,
                                 std::string_view aService,
                                 Instant aNow) const;

  /** The smoothed ratio of measured to expected first-token time. */
  struct EstimateError
  {
    double m_factor = 1;
    Instant m_at;
  };
  /**
   * What this instance has learned about the calls and engines of one service.
   */
  struct ServiceBelief
  {
    ColocatedPrefill m_colocatedPrefill;
    /** Smoothed KV cache size of a call, prompt and output, in tokens. */
    double m_heldTokens = 0;
    /** Prefill throughput of the prefill engines and of the decode engines. */
    MedianThroughput m_prefillThroughput;
    MedianThroughput m_decodeThroughput;
  };
  /**
   * Returns the estimate error that applies now. It fades while no first token
   * is measured: if the error has all prompts refused, none is measured any
   * more, and the error would stay for ever.
   */
  double EstimateErrorOf(std::string_view aService,
                         const Prompt& aPrompt,
                         Instant aNow) const;
  /**
   * Returns whether the prompt's shared prefix is long enough for prefix
   * affinity. Long prompts are kept away from engines that are reserved for
   * decoding.
   */
  static bool IsLong(const Prompt& aPrompt);

  IncarnationOrder NoteIncarnation(const Member& aMember);
  void ForgetIncarnation(const std::string& aId);
  void Update(const Member& aMember);
  /** Adds loads of a peer, or subtracts them if `aSign` is -1. */
  void AddPeerLoads(std::span<const PeerLoad> aLoads, std::int64_t aSign);
  void ApplyRoleUpdate(State& aState);
  /**
   * Returns the throughput assumed for an engine that has no samples of its
   * own, from other engines of the service; 0 if none is known.
   */
  double RoleThroughputOf(const Member& aMember) const;
  const MemberRoleUpdate* FindRoleUpdate(std::uint32_t aMember) const;

  std::map<std::string, State, std::less<>> m_members;
  /**
   * Start time of the latest incarnation of each id, including members that
   * were removed.
   */
  std::unordered_map<std::string, std::int64_t> m_born;
  UpstreamNotices m_notices;
  std::unordered_map<std::uint32_t, std::string> m_byShortHash;
  std::map<std::string, std::vector<PeerLoad>, std::less<>> m_peerLoads;
  std::map<std::string, std::vector<MemberRoleUpdate>, std::less<>>
    m_roleUpdates;
  PrefixCacheIndex m_prefixCaches;
  limits::UpstreamLimits m_limits;
  UpstreamStarts m_starts;
  std::map<std::string, std::vector<std::uint32_t>, std::less<>>
    m_peerDisaggregated;
  std::vector<std::uint32_t> m_restoredDisaggregated;
  std::deque<std::pair<Instant, CachedSegment>> m_ownPrefills;
  /** Keyed by service. */
  std::map<std::string, ServiceBelief, std::less<>> m_beliefs;
  /** Estimate errors by service, for long prompts and for short ones. */
  std::map<std::string, EstimateError, std::less<>> m_longPromptErrors;
  std::map<std::string, EstimateError, std::less<>> m_shortPromptErrors;
};

} // namespace ridgeferry::relay
