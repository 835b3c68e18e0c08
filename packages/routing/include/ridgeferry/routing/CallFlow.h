#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Outcome.h>
#include <ridgeferry/routing/Problem.h>
#include <ridgeferry/routing/UpstreamSet.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ridgeferry::routing {

/** Number of an attempt within one call. Attempts count from 1; 0 means that
 * there is no attempt. */
using AttemptId = std::uint32_t;

/** The properties of a call that decide how it is sent and answered. */
struct CallTraits
{
  bool m_generation = false;      ///< The answer is a model's output.
  bool m_stream = false;          ///< The caller receives each token at once.
  bool m_repeatable = true;       ///< The call may run more than once.
  std::uint64_t m_resumeFrom = 0; ///< Number of tokens that the caller already
                                  ///< has from an earlier connection.
};

/** A position in the output stream of an engine. The `id` field of each
 * server-sent event carries it, so that a caller can resume the stream. */
struct StreamPosition
{
  std::string m_engine;
  std::string m_stream;
  std::uint64_t m_offset = 0; ///< Number of tokens before this position.
  bool operator==(const StreamPosition&) const = default;
};

/** Returns the position as `ENGINE/STREAM/OFFSET`. */
std::string
EncodeStreamPosition(const StreamPosition& aPlace);
/** Parses the output of `EncodeStreamPosition`. Returns `std::nullopt` if the
 * text is not a valid position. */
std::optional<StreamPosition>
DecodeStreamPosition(std::string_view aText);

// ---- events ----

struct CallBegan
{};
/** The caller requests the remainder of a stream that an engine is already
 * producing. Replaces `CallBegan` as the first event. */
struct ResumeAsked
{
  StreamPosition m_position;
  std::string m_address;
};
/** The call's idempotency key is claimed, so the call may be sent. */
struct ClaimWon
{};
/** The key could not be claimed, so the call must not be sent. */
struct ClaimRefused
{
  Problem m_problem;
};
/** An earlier call with this key has ended, and its recorded answer is
 * repeated. */
struct ClaimReplayed
{
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
};
/** The driver has stored the outcome of the claimed call, or has failed to do
 * so. */
struct ClaimClosed
{
  /** The outcome that may be reported to the caller. It is `MayHaveRun` if the
   * requested outcome could not be stored. */
  Outcome m_outcome = Outcome::MayHaveRun;
};
struct UpstreamGranted
{
  std::string m_upstream;
  std::string m_address;
  Phase m_phase = Phase::Whole;
};
struct UpstreamDenied
{
  ProblemCode m_code = ProblemCode::Overloaded;
  Duration m_retryAfter{};
};
/** The attempt failed before any of its bytes was sent. */
struct AttemptNotSent
{
  AttemptId m_attempt = 0;
};
/** The upstream reported that it did not run the attempt. */
struct AttemptRefused
{
  AttemptId m_attempt = 0;
};
/** An engine began to stream its output. */
struct StreamBegan
{
  AttemptId m_attempt = 0;
  std::string m_stream; ///< Id that the engine gave the stream.
};
/** The stream of an attempt brought a token. */
struct TokenArrived
{
  AttemptId m_attempt = 0;
  std::uint64_t m_offset = 0; ///< Index of the token in the whole output.
  std::string m_text;
};
/** The engine ended the stream regularly. */
struct StreamEnded
{
  AttemptId m_attempt = 0;
  std::uint64_t m_tokens = 0; ///< Length of the whole output.
  std::string m_reason;       ///< Why the engine stopped.
};
/** An answer arrived, either from an upstream that is not an LLM engine
 * or from an engine that did only the prefill. */
struct AnswerArrived
{
  AttemptId m_attempt = 0;
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
  /** After a prefill, the handle by which a decode engine gets the KV cache;
   * empty otherwise. */
  std::string m_kvHandle;
  /** Nothing but the end of its connection told its end: it may have been cut.
   */
  bool m_unframed = false;
};
/** The connection ended without a complete answer, after some bytes of the
 * attempt may have been sent. The upstream may have run the call. */
struct AttemptBroke
{
  AttemptId m_attempt = 0;
};
/** The deadline of the call has passed. */
struct DeadlinePassed
{};
/** The caller closed its connection. */
struct CallerLeft
{};

using CallEvent = std::variant<CallBegan,
                               ResumeAsked,
                               ClaimWon,
                               ClaimRefused,
                               ClaimReplayed,
                               ClaimClosed,
                               UpstreamGranted,
                               UpstreamDenied,
                               AttemptNotSent,
                               AttemptRefused,
                               StreamBegan,
                               TokenArrived,
                               StreamEnded,
                               AnswerArrived,
                               AttemptBroke,
                               DeadlinePassed,
                               CallerLeft>;

// ---- actions ----

/** Claims the key of the call in the claim table, before anything is sent. */
struct RequestClaim
{};
/** Stores how the claimed call ended. The driver must then report
 * `ClaimClosed`. */
struct CloseClaim
{
  Outcome m_outcome = Outcome::MayHaveRun;
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
};
/** Requests an upstream. The driver answers with `UpstreamGranted` or
 * `UpstreamDenied`. */
struct RequestUpstream
{
  /** A decode engine is wanted, because the prefill is complete. */
  bool m_wantsDecodeEngine = false;
  std::vector<std::string> m_excluded; ///< Upstreams that failed or refused.
  /** Number of retries so far. The driver waits before the request according to
   * this number. */
  int m_retry = 0;
};
/** Starts the call on an upstream. */
struct SendAttempt
{
  AttemptId m_attempt = 0;
  std::string m_upstream;
  std::string m_address;
  Phase m_phase = Phase::Whole;
  std::string m_kvHandle;
  /**
   * Number and text of the tokens that exist already; the upstream must
   * continue right after them. With 0 tokens the upstream produces the whole
   * output, and `CallFlow` drops the tokens that the caller already has.
   */
  std::uint64_t m_givenTokens = 0;
  std::string m_givenText;
};
/** Reads a stream that an engine is already producing, from an offset on. */
struct ResumeAttempt
{
  AttemptId m_attempt = 0;
  std::string m_upstream;
  std::string m_address;
  std::string m_stream;
  std::uint64_t m_offset = 0;
};
struct CancelAttempt
{
  AttemptId m_attempt = 0;
};
/** The call no longer uses the upstream that it was granted. */
struct ReleaseUpstream
{
  std::string m_upstream;
  bool m_failed = false; ///< The upstream was unreachable or broke off.
};
/** Sends the head of a streamed answer to the caller. */
struct StartStream
{};
/** Sends a token of a streamed answer to the caller. */
struct ReplyToken
{
  StreamPosition m_position; ///< The position after this token.
  std::string m_text;
};
/** Ends a streamed answer regularly. */
struct EndStream
{
  std::string m_reason;
  std::uint64_t m_tokens = 0;
};
/** Sends the whole output of a model to a caller that does not stream. */
struct ReplyGeneration
{
  std::string m_text;
  std::string m_reason;
  std::uint64_t m_tokens = 0;
};
/** Sends the answer of a service to the caller. */
struct ReplyAnswer
{
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
  bool m_replayed = false; ///< The answer of an earlier call with this key.
  /** The caller must be left without a proof that the answer is whole. */
  bool m_unframed = false;
};
/** Sends a problem as the final answer. In a stream that has begun, the problem
 * is the last event. */
struct ReplyProblem
{
  Problem m_problem;
};

using CallAction = std::variant<RequestClaim,
                                CloseClaim,
                                RequestUpstream,
                                SendAttempt,
                                ResumeAttempt,
                                CancelAttempt,
                                ReleaseUpstream,
                                StartStream,
                                ReplyToken,
                                EndStream,
                                ReplyGeneration,
                                ReplyAnswer,
                                ReplyProblem>;

/**
 * State machine of one call from its acceptance to its final answer.
 *
 * Invariants:
 *  - the caller gets exactly one final answer, unless it left before;
 *  - an event of an attempt that is no longer the current one has no effect;
 *  - tokens reach the caller in order, each offset exactly once and without
 *    gaps;
 *  - a call that must not be repeated is sent again only if no earlier attempt
 *    can have run;
 *  - `NotRun` is reported only if each attempt ended as not sent or refused.
 *    For a claimed call, its row in the claim table must also say so.
 *
 * The class performs no input or output: `Handle` takes events and returns the
 * actions that the driver, the code that does the input and output of the call,
 * must carry out. Not thread-safe.
 */
class CallFlow
{
public:
  /** Maximum number of attempts of one call, including resumed streams. */
  static constexpr AttemptId kMaxAttempts = 6;

  explicit CallFlow(CallTraits aTraits);

  /** Returns the actions that the driver must carry out, in order. */
  std::vector<CallAction> Handle(const CallEvent& aEvent);

  bool IsDone() const { return m_step == Step::Done; }
  /** Returns the number of tokens that the caller has or that are buffered for
   * it. */
  std::uint64_t TokensGiven() const { return m_nextOffset; }
  /** Returns the number of events that were dropped because they belonged to
   * an earlier attempt, came twice or came after the end. */
  std::uint64_t Dropped() const { return m_dropped; }
  /** Sets whether further retries are allowed. */
  void SetRetryAllowed(bool aAllowed) { m_retryAllowed = aAllowed; }

private:
  using Actions = std::vector<CallAction>;

  enum class Step
  {
    New,
    Claiming, ///< The call waits for the result of its claim.
    Choosing, ///< The call waits for an upstream.
    Sent,     ///< An attempt is under way.
    Closing,  ///< The call waits until the outcome of its claim is stored.
    Done,
  };

  void On(const CallBegan& aEvent, Actions& aActions);
  void On(const ResumeAsked& aEvent, Actions& aActions);
  void On(const ClaimWon& aEvent, Actions& aActions);
  void On(const ClaimRefused& aEvent, Actions& aActions);
  void On(const ClaimReplayed& aEvent, Actions& aActions);
  void On(const ClaimClosed& aEvent, Actions& aActions);
  void On(const UpstreamGranted& aEvent, Actions& aActions);
  void On(const UpstreamDenied& aEvent, Actions& aActions);
  void On(const AttemptNotSent& aEvent, Actions& aActions);
  void On(const AttemptRefused& aEvent, Actions& aActions);
  void On(const StreamBegan& aEvent, Actions& aActions);
  void On(const TokenArrived& aEvent, Actions& aActions);
  void On(const StreamEnded& aEvent, Actions& aActions);
  void On(const AnswerArrived& aEvent, Actions& aActions);
  void On(const AttemptBroke& aEvent, Actions& aActions);
  void On(const DeadlinePassed& aEvent, Actions& aActions);
  void On(const CallerLeft& aEvent, Actions& aActions);

  /** Returns whether the attempt is the current one. If not, counts its event
   * as dropped. */
  bool IsCurrent(AttemptId aAttempt);
  void Choose(Actions& aActions);
  /** Requests another upstream, or ends the call with the problem `aCode` if it
   * must not be sent again. */
  void Retry(Actions& aActions, ProblemCode aCode);
  /** Handles an attempt that may have run and whose output is incomplete. */
  void HandleBrokenAttempt(Actions& aActions);
  void Release(bool aFailed, Actions& aActions);
  /** Ends the call with a problem. The outcome of a claimed call is stored
   * before the problem is sent. */
  void GiveUp(Problem aProblem, Actions& aActions);
  /** Returns `MayHaveRun` if any attempt may have run, else `NotRun`. */
  Outcome WorstOutcome() const;
  void Finish(Actions& aActions, CallAction aFinal);

  CallTraits m_traits;
  Step m_step = Step::New;
  bool m_claimed = false;
  /** Some attempt may have run, and its outcome is unknown. */
  bool m_mayHaveRun = false;
  bool m_retryAllowed = true;
  AttemptId m_attempt = 0;
  int m_retries = 0;
  /** Upstream of the current attempt; empty if the call holds none. */
  std::string m_upstream;
  std::string m_address;
  Phase m_phase = Phase::Whole;
  std::string m_stream;
  std::string m_kvHandle;
  /** The stream was resumed on the same engine and has brought no token since.
   */
  bool m_resumeTried = false;
  bool m_streamStarted = false;
  bool m_wantsDecodeEngine = false;
  std::uint64_t m_nextOffset = 0;
  std::string m_text; ///< The output from offset `m_textStart` on.
  /** Above 0 if the caller got the tokens before this offset in an earlier
   * connection, so that this process does not have their text. */
  std::uint64_t m_textStart = 0;
  std::vector<std::string> m_excluded;
  std::optional<Problem> m_pendingProblem; ///< Sent after `ClaimClosed`.
  std::uint64_t m_dropped = 0;
};

} // namespace ridgeferry::routing
