#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Outcome.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/relay/AttemptEnd.h>
#include <ridgeferry/relay/EventSplitter.h>
#include <ridgeferry/relay/Routes.h>
#include <string>
#include <variant>
#include <vector>

namespace ridgeferry::relay {

/** Number of an attempt within one call. Attempts count from 1; 0 means that
 * there is no attempt. */
using AttemptId = std::uint32_t;

/** The properties of a call's route that decide whether the call may be sent
 * again. See `Route` for the meaning of the fields. */
struct RelayTraits
{
  Repeat m_repeat = Repeat::Never;
  bool m_stream = false;
  bool m_resumable = false;
  int m_maxRuns = 1;
};

// ---- events ----

struct CallBegan
{};
struct PlaceFound
{
  std::string m_upstream;
  /** Engine that prefills the prompt first and then transfers its KV cache to
   * `m_upstream`; empty if the prefill is not disaggregated. */
  std::string m_prefillEngine;
};
/** No upstream can accept the call now. */
struct NoPlace
{
  enum class Cause : std::uint8_t
  {
    NoRoom,
    /** No upstream could answer within the time that the caller allows, even
     * when idle, so the caller gains nothing by a retry. */
    TooLarge,
    /** The call is quarantined, because upstreams crashed while they ran it.
     * It must not be sent to any upstream. */
    Quarantined,
    /** No upstream runs the software version that began the stream. */
    VersionGone,
  };
  Duration m_retryAfter{};
  Cause m_cause = Cause::NoRoom;
};
/** The attempt failed before any of its bytes was sent. */
struct AttemptNotSent
{
  AttemptId m_attempt = 0;
  /** The upstream is known to have ended, or to be out of reach. A connection
   * that was only slow to come shows neither. */
  bool m_hasEnded = false;
};
/** The upstream wants no requests now, or the call may not be sent any more.
 * Nothing was sent. */
struct AttemptWithheld
{
  AttemptId m_attempt = 0;
};
/** The upstream reported that it has not run the call. */
struct AttemptRefused
{
  AttemptId m_attempt = 0;
  /** The refusal came from another upstream that answers at the address. */
  bool m_misdirected = false;
  /** Time until an upstream of the service wants calls again; std::nullopt if
   * one wants them now. */
  std::optional<Duration> m_roomIn = {};
};
/** The prefill is complete: the prefill engine holds the prompt's KV cache
 * under a handle. */
struct PrefillCompleted
{
  AttemptId m_attempt = 0;
  std::string m_handle;
};
/** The engine answered a prefill request as if it had run the call: its whole
 * answer has come, and cannot be used. */
struct PrefillRan
{
  AttemptId m_attempt = 0;
};
/** The head of an answer arrived that is neither a refusal nor the answer to a
 * prefill request. */
struct HeadArrived
{
  AttemptId m_attempt = 0;
  int m_status = 0;
  /** Another instance of this system answers, and names the attempt: if its
   * status says that the call has not run, that is true. */
  bool m_isFromInstance = false;
  /** Nothing but the end of its connection tells the end of the answer. */
  bool m_unframed = false;
};
struct BytesArrived
{
  AttemptId m_attempt = 0;
  std::string m_bytes;
};
/** The answer is whole: its framing says so. */
struct AnswerEnded
{
  AttemptId m_attempt = 0;
};
/** The connection of an unframed answer ended in good order: the answer may be
 * whole, or may have been broken off. */
struct ConnectionClosed
{
  AttemptId m_attempt = 0;
};
/** The attempt ended without a complete answer, after some of its bytes may
 * have been sent. The upstream may have run the call. */
struct AttemptBroke
{
  AttemptId m_attempt = 0;
};
/** The deadline of the call has passed. */
struct DeadlinePassed
{
  /** Bytes of the present attempt may have left. If there is none, it does not
   * matter. */
  bool m_mayHaveLeft = true;
};
/** The caller closed its connection. */
struct CallerLeft
{};

using RelayEvent = std::variant<CallBegan,
                                PlaceFound,
                                NoPlace,
                                AttemptNotSent,
                                AttemptWithheld,
                                AttemptRefused,
                                PrefillCompleted,
                                PrefillRan,
                                HeadArrived,
                                BytesArrived,
                                AnswerEnded,
                                ConnectionClosed,
                                AttemptBroke,
                                DeadlinePassed,
                                CallerLeft>;

// ---- actions ----

/** Requests an upstream. The driver must answer with `PlaceFound` or `NoPlace`.
 */
struct FindPlace
{
  /** Upstreams on which an attempt of this call has failed or was declined. */
  std::vector<std::string> m_excluded;
};
/** Sends the prompt to a prefill engine, which keeps the KV cache for a later
 * transfer. This does not count as a run of the call. */
struct SendPrefill
{
  AttemptId m_attempt = 0;
  std::string m_prefillEngine;
  /** True if this is not the first prefill of the call; it then counts against
   * the retry budget. */
  bool m_repeat = false;
};
/** Sends the call to the upstream that is to run it. */
struct SendRun
{
  AttemptId m_attempt = 0;
  std::string m_upstream;
  /** Engine that holds the KV cache of the prompt; empty if none does. */
  std::string m_prefillEngine;
  std::string m_handle; ///< Handle of that KV cache on the prefill engine.
  /** Id of the event after which the upstream must resume the stream; empty if
   * the request goes out as the caller sent it. */
  std::string m_resumeAfter;
  /** True if this is not the first send of the call; it then counts against the
   * retry budget. */
  bool m_repeat = false;
};
struct CancelAttempt
{
  AttemptId m_attempt = 0;
  /** Its answer has become longer than is taken. */
  bool m_tooLong = false;
};
/** Reports how an attempt ended, for the bookkeeping about its upstream. */
struct NoteAttemptEnd
{
  AttemptId m_attempt = 0;
  AttemptEnd m_end = AttemptEnd::Served;
};
/** Releases the KV cache that a prefill engine still holds for this call. */
struct FreeHandle
{
  std::string m_prefillEngine;
  std::string m_handle;
};
/** Forwards the head of the current attempt's answer to the caller. */
struct ForwardHead
{
  /** The caller must be left without a proof that the answer is whole: none
   * was given to the relay. */
  bool m_unframed = false;
};
/** Forwards bytes of the body to the caller. */
struct ForwardBytes
{
  std::string m_bytes;
};
/** Ends the forwarded answer regularly, as its head was framed. */
struct ForwardEnd
{};
/** Forwards a complete answer: the head of the current attempt's answer and
 * this body. */
struct ForwardCompleteAnswer
{
  std::string m_body;
  bool m_unframed = false; ///< See `ForwardHead`.
};
/** Closes the connection to the caller, so that the caller can tell that the
 * forwarded answer is incomplete. */
struct AbortConnection
{};
/** Sends a final error answer that the relay itself produces. */
struct ReplyError
{
  enum class Reason : std::uint8_t
  {
    /** The call has not run and will not run. */
    NoRoom,
    /** The call has not run. A later attempt would not run either, because no
     * upstream can answer within the time that the caller allows. */
    TooLarge,
    /** The call has not run and is quarantined, because upstreams crashed while
     * they ran it. */
    Quarantined,
    /** The call has not run: it takes up a stream that only another software
     * version could go on with. */
    VersionGone,
    NoAnswer, ///< The call may have run, but its answer is lost.
    TooLate,  ///< The call may have run, but its deadline has passed.
  };
  Reason m_reason = Reason::NoRoom;
  Duration m_retryAfter{};
};

using RelayAction = std::variant<FindPlace,
                                 SendPrefill,
                                 SendRun,
                                 CancelAttempt,
                                 NoteAttemptEnd,
                                 FreeHandle,
                                 ForwardHead,
                                 ForwardBytes,
                                 ForwardEnd,
                                 ForwardCompleteAnswer,
                                 AbortConnection,
                                 ReplyError>;

/**
 * State machine of one call from its start to its final answer. The answer of
 * the upstream is forwarded to the caller unchanged.
 *
 * Invariants:
 *  - the caller gets exactly one final answer (forwarded as a whole, forwarded
 *    to its end, cut by a closed connection, or produced by the relay), unless
 *    it left before;
 *  - an event of an attempt that is not the current one has no effect;
 *  - a call that must not run twice (see `IsIdempotent`) is sent again only
 *    after the upstream has reported that the call did not run, or if no byte
 *    had been sent;
 *  - `NoRoom` is answered only if no attempt can have run;
 *  - a stream reaches the caller in complete events, in order, from one run or
 *    from runs that each resume after the last forwarded event;
 *  - the caller can prove an answer to be whole only if the relay could;
 *  - each send that counts against the retry budget uses a permit that was
 * taken when the flow decided on it.
 *
 * The class performs no input or output: `Handle` takes events and returns the
 * actions that the driver must carry out. Not thread-safe.
 */
class RelayFlow
{
public:
  /** Maximum number of times that a call is sent to an upstream to run. After
   * three other upstreams have failed, the time is better spent on calls that
   * can still be served. */
  static constexpr int kMaxSends = 4;
  /** A body up to this size is buffered completely before any of it is
   * forwarded, so that a call whose answer breaks can still be retried. Most
   * answers are a few kilobytes. */
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{ 256 } * 1024;
  /** Most bytes of an event that has not ended. An upstream that sends more of
   * one has failed. */
  static constexpr std::size_t kMaxEventBytes = std::size_t{ 256 } * 1024;
  /** Most bytes of an answer that is dropped: its status says all that is
   * needed of it. */
  static constexpr std::size_t kMaxDroppedBytes = std::size_t{ 64 } * 1024;
  /** Retry delay, in milliseconds, that the caller is given when the refusal
   * names no delay of its own. */
  static constexpr Duration kRetryAfter{ 100 };
  /** The same where no upstream runs the software version that began a stream:
   * upstreams that ended are back within some seconds. */
  static constexpr Duration kVersionRetryAfter{ 2000 };

  explicit RelayFlow(RelayTraits aTraits);

  /** Returns the actions that the driver must carry out, in order. Returns none
   * after the final answer. */
  std::vector<RelayAction> Handle(const RelayEvent& aEvent);

  bool IsDone() const { return m_step == Step::Done; }
  /** Sets how many permits for further sends the flow may take in the next
   * event. The driver decides this by the retry budget and by whether the call
   * is suspected of crashing upstreams. */
  void SetFreePermits(int aPermits) { m_freePermits = aPermits; }
  /** Returns how many permits the flow has taken and not used yet. What the
   * driver holds reserved must follow it after each event. */
  int Permits() const { return m_permits; }
  /**
   * Returns how many attempts may have run the call. An attempt counts from its
   * end on, and stops counting if its upstream is found to have crashed.
   */
  int Runs() const { return m_runs; }
  /** Returns whether the current answer is broken off if its connection ends
   * now, although in good order. */
  bool IsBrokenByClose() const;
  /** Returns how many bytes of a stream wait for the rest of their event. */
  std::size_t UnfinishedBytes() const { return m_events.Unfinished(); }
  /** Returns the id of the last forwarded event that had one; empty if none
   * had one. */
  const std::string& LastEventId() const { return m_events.LastId(); }

private:
  using Actions = std::vector<RelayAction>;

  enum class Step : std::uint8_t
  {
    New,
    Placing,
    Prefilling, ///< A prefill engine is prefilling the prompt.
    Running,
    Done,
  };
  /** How the current attempt's answer is handled. */
  enum class AnswerHandling : std::uint8_t
  {
    Unknown, ///< The head of the answer has not arrived.
    Stream,  ///< The answer is forwarded event by event.
    Buffer,  ///< The answer is buffered until it is complete.
    /** The answer is too large to buffer and is forwarded as it arrives. */
    PassThrough,
    Repeat, ///< The answer is a failure, and the call is retried elsewhere.
    /** The answer is dropped, because its status would tell the caller that the
     * call has not run, or because it cannot continue a stream that was
     * forwarded in part. */
    Discard,
  };

  void On(const CallBegan& aEvent, Actions& aActions);
  void On(const PlaceFound& aEvent, Actions& aActions);
  void On(const NoPlace& aEvent, Actions& aActions);
  void On(const AttemptNotSent& aEvent, Actions& aActions);
  void On(const AttemptWithheld& aEvent, Actions& aActions);
  void On(const AttemptRefused& aEvent, Actions& aActions);
  void On(const PrefillCompleted& aEvent, Actions& aActions);
  void On(const PrefillRan& aEvent, Actions& aActions);
  void On(const HeadArrived& aEvent, Actions& aActions);
  void On(const BytesArrived& aEvent, Actions& aActions);
  void On(const AnswerEnded& aEvent, Actions& aActions);
  void On(const ConnectionClosed& aEvent, Actions& aActions);
  void On(const AttemptBroke& aEvent, Actions& aActions);
  void On(const DeadlinePassed& aEvent, Actions& aActions);
  void On(const CallerLeft& aEvent, Actions& aActions);

  bool IsCurrent(AttemptId aAttempt) const;
  /** Takes permits until it has so many. Returns false, and takes none, if
   * there are too few. */
  bool TakePermits(int aSends);
  /** The send that begins now uses a permit if it is a repeat. */
  void UsePermit(bool aIsRepeat);
  /** The current send did not leave, so its permit was not used. */
  void ReturnPermit();
  /** Whether the call may be sent again although an earlier attempt may have
   * run it. */
  bool MayRunAgain() const;
  /** Whether the kind of call allows a second run. */
  bool IsIdempotent() const;
  AnswerHandling HandlingOf(const HeadArrived& aHead) const;
  /** Whether the call is to be sent again behind an answer of that status. */
  bool RepeatsBehind(const HeadArrived& aHead) const;
  void StartRun(Actions& aActions);
  /** Sends the call to `m_upstream` without a prefill engine, so that
   * `m_upstream` prefills the prompt itself. */
  void RunWithoutPrefillEngine(Actions& aActions);
  /** Goes on behind a prefill whose answer is lost, if the budget allows it. */
  void RunBehindLostPrefill(Actions& aActions);
  /** Whether the call may be sent to the upstream whose stream broke, to find
   * out whether that upstream has crashed. */
  bool MayProbeSameUpstream() const;
  /** Asks `m_upstream` once more to resume its broken stream, or gives up. */
  void ProbeAgain(Actions& aActions);
  void FindAnotherPlace(Actions& aActions);
  /** Forwards the head of the current answer, framed no better than it is. */
  void ForwardHeadTo(Actions& aActions);
  /** Ends the call by the current answer, which has come to its end. */
  void FinishAnswer(Actions& aActions);
  /** Counts bytes of an answer that is dropped, and ends the answer where it
   * has become too long. */
  void Drop(std::size_t aBytes, Actions& aActions);
  /** Goes on behind a run whose answer is lost. */
  void HandleBrokenRun(Actions& aActions);
  /** Reports the end of the current attempt. Excludes its upstream from further
   * placement unless the attempt was served or cancelled. */
  void FinishAttempt(AttemptEnd aEnd, Actions& aActions);
  /** Finishes the call without an answer of an upstream. */
  void GiveUp(Duration aRetryAfter, Actions& aActions);
  void Finish(Actions& aActions, RelayAction aFinal);
  /** Nothing follows; permits that were not used are given back. */
  void End();

  RelayTraits m_traits;
  Step m_step = Step::New;
  AnswerHandling m_handling = AnswerHandling::Unknown;
  int m_freePermits = 0;            ///< See `SetFreePermits`.
  int m_permits = 0;                ///< See `Permits`.
  bool m_usesPermit = false;        ///< The current send uses one.
  bool m_forwarded = false;         ///< The head of an answer was forwarded.
  bool m_forwardedUnframed = false; ///< See `ForwardHead`.
  bool m_unframed = false;          ///< The current answer is unframed.
  std::uint64_t m_eventsBefore = 0; ///< Of the runs before the current one.
  AttemptId m_attempt = 0;
  /** Sends that an upstream can have received: runs, and prefills that were
   * declined. Each send after the first counts against the retry budget. */
  int m_sends = 0;
  int m_prefillSends = 0; ///< Prefills sent to prefill engines.
  int m_tries = 0; ///< Runs sent, whether or not an upstream received them.
  int m_runs = 0;  ///< See `Runs`.
  /** The upstream whose stream broke was asked to resume it. If that upstream
   * cannot be reached, it has crashed: its run no longer counts, and another
   * upstream may resume the stream. */
  bool m_probingSameUpstream = false;
  std::string m_upstream;
  std::string m_prefillEngine;
  std::string m_handle;
  std::vector<std::string> m_excluded;
  EventSplitter m_events;
  std::string m_bufferedBody;
  std::size_t m_droppedBytes = 0;
};

} // namespace ridgeferry::relay
