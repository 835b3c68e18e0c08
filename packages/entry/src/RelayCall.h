#pragma once

#include "CallLeaseService.h"
#include "ConfigFreshness.h"
#include "EntryNode.h"
#include "ForwardedCall.h"
#include "Peers.h"
#include "PromptOutcome.h"
#include "QuarantineService.h"
#include "ReachService.h"
#include "StatementService.h"
#include "StreamOriginService.h"
#include "UsageService.h"

#include <memory>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/relay/AttemptGround.h>
#include <ridgeferry/relay/BackPressure.h>
#include <ridgeferry/relay/CallKind.h>
#include <ridgeferry/relay/CallPermits.h>
#include <ridgeferry/relay/ConnectionShare.h>
#include <ridgeferry/relay/RelayFlow.h>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::entry {

/** What a `RelayCall` is created with: the request, its route, and the state
 * that it shares with other calls. */
struct RelayCallStart
{
  std::shared_ptr<net::HttpExchange> m_exchange;
  CallHead m_head;
  /** Keeps `m_route` alive when a newer configuration arrives. */
  std::shared_ptr<const relay::RouteTable> m_routes;
  const relay::Route* m_route = nullptr;
  StorePosition m_configAt; ///< Position of the configuration in `m_routes`.
  std::string m_service;
  /** Statistics of the prompts of its route; null if it has no prompt. */
  std::shared_ptr<relay::CallKind> m_kind;
  /** How long the caller has waited in earlier attempts of this call. */
  Duration m_earlierWait{};
  /** Throughput of KV transfers between engines, in tokens per millisecond; see
   * `PlaceRequest::m_movedPerMs`. */
  double m_movedTokensPerMs = 0;
  /** How many connections this instance may have to each upstream of the
   * service. */
  relay::ConnectionShare m_connections;
  /** Retry budget of the service. Must outlive the call. */
  relay::RetryBudget* m_budget = nullptr;
  /** Must outlive the call. */
  QuarantineService* m_quarantine = nullptr;
  /** Must outlive the call. */
  const ConfigFreshness* m_freshness = nullptr;
  /** Must outlive the call. */
  UsageService* m_usage = nullptr;
  /** Organisation on whose behalf the call runs, held by `m_routes`; null if
   * there is none. */
  const keys::Organisation* m_organisation = nullptr;
  /** The caller's credentials are not passed on. */
  bool m_hidesCredentials = false;
  /** The caller presents a key and the route is not public, so that the call
   * runs only while keys are known not to have been taken away. */
  bool m_presentsKey = false;
  /** Must outlive the call. */
  ReachService* m_reach = nullptr;
  /** Must outlive the call. */
  const Peers* m_peers = nullptr;
  /** Set if another instance passed the call on to this one. */
  std::optional<ForwardedTerms> m_forwarded = {};
  /** Must outlive the call. */
  StreamOriginService* m_origins = nullptr;
  /** Must outlive the call. */
  StatementService* m_statements = nullptr;
  /** Must outlive the call. */
  CallLeaseService* m_leases = nullptr;
  /** What began the stream that the call goes on with; std::nullopt if it goes
   * on with none. */
  std::optional<streams::StreamOrigin> m_origin = {};
  /** Identifies the stream over its caller's tries; std::nullopt if the caller
   * does not name its attempts. */
  std::optional<streams::StreamKey> m_streamKey = {};
};

/** Executes the actions that a `RelayFlow` decides for one call: placement,
 * sends to upstreams, and the answer to the caller. Not thread-safe. */
class RelayCall
{
public:
  RelayCall(EntryNode& aNode, RelayCallStart aStart);
  ~RelayCall();
  RelayCall(const RelayCall&) = delete;
  RelayCall& operator=(const RelayCall&) = delete;

  /** Starts the call. Must be called once, after a slot has been connected to
   * `SignalDone`. */
  void Begin();
  /** Emitted once, when the call has its final answer or its caller has
   * disconnected. `Begin` itself may emit the signal. The call must outlive the
   * emission. */
  sigc::signal<void()>& SignalDone() { return m_done; }

private:
  /** The present send to an upstream. */
  struct Attempt
  {
    relay::AttemptId m_id = 0;
    net::HttpCallId m_http = 0;
    std::string m_upstream;
    /** See `UpstreamIncarnation::m_born`. */
    std::optional<std::int64_t> m_born;
    std::string m_service;         ///< That of the upstream.
    std::string m_softwareVersion; ///< Of the upstream when it was sent to.
    /** Prefill work that remains until the first byte of the answer, in tokens
     * (see `Fleet::WorkOf`). */
    std::int64_t m_tokens = 0;
    /** Prompt tokens that waited for prefill at the upstream when this send
     * began. */
    std::int64_t m_tokensAhead = 0;
    Instant m_sentAt;
    /** `m_tokens` is reliable: at least three quarters of it are for tokens
     * that the prompt shares with no other prompt, so the upstream cannot have
     * cached so much of the prompt that `m_tokens` is far too high. */
    bool m_workIsSure = false;
    bool m_wasSent = false;     ///< The fleet counts it as under way.
    bool m_readOnly = false;    ///< The upstream only prefills the prompt.
    bool m_isForwarded = false; ///< Sent to another instance.
    std::string m_name;         ///< See `ForwardedTerms::m_attempt`.
    /** Under which another instance runs it; std::nullopt if there is none. */
    std::optional<relay::PassedOnCallId> m_lease;
    bool m_saidNotRun = false; ///< The upstream reports that it did not run.
    bool m_hasHead = false;
    /** Its connection ended as nothing came from the other side any more. */
    bool m_hasGoneSilent = false;
    relay::AttemptGround m_ground = relay::AttemptGround::None;
    net::HttpSendRecord m_sent; ///< Known at its end.
    /** Bytes behind the head of an answer that is no more than its status. */
    std::size_t m_droppedBytes = 0;
    /** When the last bytes of a stream arrived. */
    std::optional<Instant> m_lastBytes;
    net::HttpHead m_head;
  };

  /** How an attempt ended that was to run the call. */
  struct RunEnd
  {
    std::string m_upstream;
    relay::AttemptGround m_ground = relay::AttemptGround::None;
    int m_status = 0;
    net::HttpSendRecord m_sent;
    Instant m_sentAt;
    Instant m_endedAt;
  };

  void Handle(const relay::RelayEvent& aEvent);
  void Do(const relay::FindPlace& aAction);
  void Do(const relay::SendPrefill& aAction);
  void Do(const relay::SendRun& aAction);
  void Do(const relay::CancelAttempt& aAction);
  void Do(const relay::NoteAttemptEnd& aAction);
  void Do(const relay::FreeHandle& aAction);
  void Do(const relay::ForwardHead& aAction);
  void Do(const relay::ForwardBytes& aAction);
  void Do(const relay::ForwardEnd& aAction);
  void Do(const relay::ForwardCompleteAnswer& aAction);
  void Do(const relay::AbortConnection& aAction);
  void Do(const relay::ReplyError& aAction);

  void Send(relay::AttemptId aId,
            const relay::SendTarget& aTarget,
            SendTerms aTerms);
  /** Starts the record of an attempt. */
  void BeginAttempt(relay::AttemptId aId, const std::string& aUpstream);
  /** Returns whether what a connection tells is of the present attempt. What an
   * earlier one's tells is logged and must not be used. */
  bool IsPresent(relay::AttemptId aAttempt);
  /** Returns a stable name for logs. */
  static std::string_view EndName(relay::AttemptEnd aEnd);
  void LogAttemptEnd(relay::AttemptEnd aEnd);
  /** Logs and counts that the present attempt sends a call again that must not
   * run twice, and on what ground. Does nothing for the first send. */
  void LogSecondSend();
  /** Returns what an upstream's word shows of the attempt that it answers. */
  static relay::AttemptGround GroundOf(NotRunWord aWord);
  /** Logs and counts what a promise to the caller that the call has not run
   * rests on, if something of the call was sent, and keeps the promise to hold
   * later answers against it. */
  void NotePromise(std::string_view aCode, int aStatus);
  /** An answer to an earlier request has come on the present attempt's
   * connection. Logs one of a call that was promised not to run. */
  void NoteSkipped(std::string_view aCall, const net::HttpHead& aHead);
  void TakeDeadline();
  /** Returns whether the present attempt was only to read the prompt, and what
   * has come of its answer tells of a run. */
  bool HasRunForPrefill() const;
  /** The present attempt's answer broke off. */
  void TakeBreak();
  /** Takes the whole answer of a prefill engine. */
  void TakePrefillEnd(relay::AttemptId aId);
  /** Ends the present attempt as if its connection had broken. */
  void BreakOff();
  /** Ends the attempt at the upstream before anything of it is sent, and logs
   * why. */
  void Withhold(relay::AttemptId aId,
                const std::string& aUpstream,
                std::string_view aCause);
  /** Sends the request of the present attempt. */
  void Start(const net::HttpRequest& aRequest);
  /** Returns whether only the end of its connection tells the answer's end. */
  static bool IsUnframed(const net::HttpHead& aHead)
  {
    return aHead.m_framing == net::BodyFraming::Close;
  }
  /** Returns whether the present send's answer broke off. */
  bool HasBroken(const net::HttpResponse& aResponse) const;
  /** Returns whether the name of an upstream in the flow stands for another
   * instance. */
  static bool IsInstance(std::string_view aUpstream);
  /** Returns whether this instance reaches no upstream of the service. */
  bool IsServiceUnreachable() const;
  /** Returns the names of the instances among the upstreams of the flow. */
  static std::vector<std::string> InstancesOf(
    std::span<const std::string> aUpstreams);
  /** Returns the instance to pass the call on to; std::nullopt if the call is
   * to be placed here. */
  std::optional<std::string> PickInstance(
    std::span<const std::string> aExcluded) const;
  /** Passes the call on to another instance. Returns false if it is to be
   * placed here. */
  bool PassOn(std::span<const std::string> aExcluded);
  void SendToInstance(const relay::SendRun& aAction);
  void TakeForwardedHead(const net::HttpHead& aHead);
  /** Holds the lease under which the call runs here, if it has one. */
  void HoldLease();
  /** Ends the present run: the instance that passed the call on does not wait
   * for it any more, as far as this one hears. */
  void EndByLease();
  /** Returns for how long the instance that had the present attempt may still
   * run it, and stops renewing its lease. */
  Duration EndLease();
  /** Goes on behind the present attempt, whose connection to another instance
   * has gone silent, once that one can run it no more. */
  void GoOnBehindLease(Duration aMayRunFor);
  void TakeHead(const net::HttpHead& aHead);
  void TakeBytes(std::string_view aBytes);
  /** Takes bytes of a prefill engine's answer. */
  void TakePrefillBytes(std::string_view aBytes);
  /** Takes bytes behind the head of a send that its upstream did not run. */
  void TakeRefusalBytes(std::string_view aBytes);
  /** Reports that the upstream did not run the present send. */
  void NoteRefused();
  /** Logs and counts that the present attempt was ended as its answer, or its
   * answer's head, had become longer than is taken. */
  void NoteTooLong();
  /** Reads on from the upstream, or waits, by what the caller has read. */
  void FollowCaller();
  void TakeEnd(const net::HttpResponse& aResponse);
  /** Returns whether the member runs another software version than the one that
   * began the stream. */
  bool IsOfOtherVersion(const relay::Member& aMember) const;
  /** Returns whether the answer is a stream that another upstream may resume.
   */
  bool IsResumable() const;
  /** Must be called before events of a stream go to the caller: makes known
   * what began it, once. */
  void NoteStreamBegan();
  void NoteRepeat(relay::AttemptId aAttempt);
  /** Returns the suspects that the call names, itself first, then the segments
   * of its prompt from the last one on. Hashes the body at the first use only.
   */
  const std::vector<quarantine::NamedSuspect>& Suspects();
  /** Returns why and how long the call is sent to no upstream, or std::nullopt
   * if it may run. May start a trial run of the call. */
  std::optional<QuarantineHold> Hold();
  /** Returns whether the quarantine allows a further run of the call. */
  bool MayRepeat();
  /** Reports the end of the present send's connection to the quarantine: a
   * refused connection, or one that broke before the answer was complete. */
  void NoteConnection(const net::HttpResponse& aResponse);
  void LogQuarantined(const QuarantineHold& aHold);
  /** Reports to the quarantine that the present send was served completely. */
  void NoteServed();
  /** Tells the fleet if the end of the present send's connection shows that the
   * upstream cannot be reached. */
  void NoteReach(const net::HttpResponse& aResponse);
  /** Counts the sends of the present placement against the limits that its
   * upstreams state, before other calls are placed. */
  void ReservePermits();
  /** Counts a send against the limit of its upstream, unless the placement has
   * been counted for it. */
  void UsePermit(const std::string& aUpstream);
  /** Returns after which time the caller of a call without a place should come
   * back. */
  Duration RoomIn(const relay::PlaceFault& aFault);
  /** Returns after which time the caller should come back if all upstreams of
   * the service want no requests now; std::nullopt if one wants them. */
  std::optional<Duration> RoomBehindBackOffs() const;
  /** Returns the time, and a random one more: callers that are refused together
   * must not come back together. */
  Duration SpreadOver(Duration aTime) const;
  /** Returns whether there is room for the call, for its organisation, at its
   * service. Refuses it if there is none. */
  bool Admit();
  /** Reports how an attempt ended to what decides on admission. */
  void NoteAdmissionAnswer(relay::AttemptEnd aEnd);
  /** Returns whether the call may be sent to an upstream by its key. A call
   * that may not is logged. */
  bool MayRunByKey() const;
  /** Returns the urgency that the upstream is told; see
   * `relay::RouteTable::UrgencyOf`. */
  int Urgency() const;
  void LogNoPlace(const relay::PlaceFault& aFault) const;
  /** Returns the number of tokens of the prompt, or 0 without a prompt. */
  std::int64_t PromptTokens() const;
  /** Returns the delay before the next attempt to place a postponed call. */
  Duration PlaceAgainIn() const;
  /** Reports to the fleet, once, how long the first token took compared with
   * the estimate. */
  void NoteFirstToken();
  /** Counts the call as begun for its organisation, once. Must be called when
   * an answer shows that an upstream ran it. */
  void NoteBegan();
  /** Must be called when bytes of a stream arrive. Records whether the pause
   * before them was longer than the route allows. */
  void NotePause();
  /** Must be called when bytes of the present attempt arrive. Tells the fleet
   * that the upstream responds. */
  void NoteResponse();
  /** Logs and counts that the upstream of the present attempt is ejected:
   * it gets no calls for a while. `aCause` says why. */
  void LogEjection(std::string_view aCause);
  /** Returns whether the call may run again after a run whose answer is lost.
   */
  bool MayBeRepeated() const;
  /** Returns the time until the deadline, at least 1 ms. */
  Duration Left() const;
  /** Returns the time until the caller abandons the call if no byte of the
   * answer has arrived by then. */
  Duration TimeUntilAbandoned() const;
  /** Returns how long the first token may still take: until the caller abandons
   * the call, or until the output could no longer end before the deadline,
   * whichever comes first. */
  Duration LeftToFirstToken() const;
  void LogEnd(std::string_view aOutcome, int aStatus);
  void CountPrompt(std::string_view aOutcome);
  /** Returns how the call ended from its caller's point of view. `aOutcome` is
   * the word that `LogEnd` logs. */
  PromptOutcome OutcomeFor(std::string_view aOutcome) const;

  EntryNode& m_node;
  RelayCallStart m_start;
  relay::RelayFlow m_flow;
  relay::CallPermits m_permits;
  Instant m_began;
  Instant m_deadline;
  net::Watch m_timer;
  net::Watch m_placing; ///< Timer of the next placement of a postponed call.
  net::Watch m_untilLeaseEnds; ///< See `GoOnBehindLease`.
  Attempt m_attempt;
  std::optional<RunEnd> m_lastRun; ///< How the latest one ended.
  /** A call that must not run twice was sent again; see `LogSecondSend`. */
  bool m_isSentAgain = false;
  /** Addresses to which something of the call was sent. */
  std::vector<std::string> m_sentTo;
  /** How the latest attempt to read the prompt ended. */
  relay::AttemptGround m_prefillGround = relay::AttemptGround::None;
  relay::BackPressure m_backPressure;
  std::optional<net::Watch> m_lookAtPaused;
  /** Expected time to the first token at the first placement, in milliseconds;
   * 0 if there is no estimate or it has been used. */
  double m_expectedMs = 0;
  Instant m_placedAt;
  /** When the first bytes of the answer went to the caller. */
  std::optional<Instant> m_answeredAt;
  relay::Place m_place; ///< The present placement.
  /** Upstreams whose limits count a send of this call that is still to come. */
  std::vector<std::string> m_reservedPermits;
  /** The latest placement found no upstream, busy or not, that may get the
   * call.
   */
  bool m_foundNoneSound = false;
  /** The latest attempts at upstreams to which no connection came about. */
  int m_unsentInRow = 0;
  /** The latest attempt that reached an upstream ended as nothing came from it
   * any more, not even an acknowledgement. */
  bool m_hasBrokenSilently = false;
  /** What began the stream; std::nullopt before its first event. */
  std::optional<streams::StreamOrigin> m_origin;
  bool m_isOriginTold = false;
  /** Bytes of an incomplete event with which the latest attempt ended. */
  std::size_t m_unfinishedBytes = 0;
  /** The stream had a pause that was longer than the route allows. */
  bool m_hadLongPause = false;
  std::vector<quarantine::NamedSuspect> m_suspects; ///< See `Suspects`.
  /** The call runs although it is quarantined, to find out whether the
   * quarantine is justified. */
  bool m_isTrialRun = false;
  std::string m_prefillAnswer; ///< Body of a prefill engine's answer.
  std::string m_path;          ///< Upstreams tried, in order, for the log.
  bool m_countedAsBegun = false;
  /** The call counts as under way in `EntryNode::m_admission`. */
  bool m_isAdmitted = false;
  bool m_doneEmitted = false; ///< `SignalDone` was emitted.
  sigc::signal<void()> m_done;
};

} // namespace ridgeferry::entry
