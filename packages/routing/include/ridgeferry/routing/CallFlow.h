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

/** Number of an attempt of one call, from 1; 0 is none. */
using AttemptId = std::uint32_t;

struct CallTraits
{
  bool m_generation = false; ///< A model's output, token by token.
  bool m_stream = false;     ///< The caller reads it as it comes.
  bool m_repeatable = true;
  std::uint64_t m_resumeFrom = 0; ///< Tokens that the caller already has.
};

/** A place in a stream of an engine: what an SSE `id` carries. */
struct StreamPlace
{
  std::string m_engine;
  std::string m_stream;
  std::uint64_t m_offset = 0; ///< Tokens given so far.
  bool operator==(const StreamPlace&) const = default;
};

/** `ENGINE/STREAM/OFFSET`. */
std::string
EncodePlace(const StreamPlace& aPlace);
std::optional<StreamPlace>
DecodePlace(std::string_view aText);

// ---- events ----

struct CallBegan
{};
/** The caller asks for the rest of a stream that runs on an engine. */
struct ResumeAsked
{
  StreamPlace m_place;
  std::string m_address;
};
struct ClaimWon
{};
/** The call may not run; a final problem, or the answer of an earlier run. */
struct ClaimRefused
{
  Problem m_problem;
};
struct ClaimReplayed
{
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
};
/** The claim's end is written: this may be told. */
struct ClaimClosed
{
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
/** No byte of the attempt has left. */
struct AttemptNotSent
{
  AttemptId m_attempt = 0;
};
/** The upstream says that it did not run it. */
struct AttemptRefused
{
  AttemptId m_attempt = 0;
};
/** A generation's stream began. */
struct StreamBegan
{
  AttemptId m_attempt = 0;
  std::string m_stream; ///< The engine's own id of it.
};
struct TokenArrived
{
  AttemptId m_attempt = 0;
  std::uint64_t m_offset = 0; ///< Place of this token in the whole output.
  std::string m_text;
};
struct StreamEnded
{
  AttemptId m_attempt = 0;
  std::uint64_t m_tokens = 0; ///< Length of the whole output.
  std::string m_reason;
};
/** A whole answer of a service, or of the prefill half of a pair. */
struct AnswerArrived
{
  AttemptId m_attempt = 0;
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
  std::string m_kvHandle; ///< Of a prefill: where the KV cache is.
};
/** The connection ended after bytes may have left, without a whole answer. */
struct AttemptBroke
{
  AttemptId m_attempt = 0;
};
struct DeadlinePassed
{};
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

/** Claim the key in the table before anything is sent. */
struct RequestClaim
{};
/** Write how the claimed call ended, then report `ClaimClosed`. */
struct CloseClaim
{
  Outcome m_outcome = Outcome::MayHaveRun;
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
};
struct RequestUpstream
{
  bool m_wantsPair = false;
  std::vector<std::string> m_excluded;
  int m_retry = 0; ///< Number of retries so far: the driver waits for them.
};
/** Start the call on an upstream. */
struct SendAttempt
{
  AttemptId m_attempt = 0;
  std::string m_upstream;
  std::string m_address;
  Phase m_phase = Phase::Whole;
  std::string m_kvHandle;
  /**
   * Output so far, to be continued from exactly there. Nothing given: the
   * whole output is wanted, and what the caller has is dropped by offset.
   */
  std::uint64_t m_givenTokens = 0;
  std::string m_givenText;
};
/** Read a running stream of the same engine again, from an offset. */
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
/** The attempt no longer uses its upstream. */
struct ReleaseUpstream
{
  std::string m_upstream;
  bool m_failed = false;
};
struct StartStream
{};
struct ReplyToken
{
  StreamPlace m_place; ///< After this token.
  std::string m_text;
};
struct EndStream
{
  std::string m_reason;
  std::uint64_t m_tokens = 0;
};
/** The whole output of a generation whose caller does not stream. */
struct ReplyGeneration
{
  std::string m_text;
  std::string m_reason;
  std::uint64_t m_tokens = 0;
};
struct ReplyAnswer
{
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
  bool m_replayed = false;
};
/** A final problem; inside a stream that has begun, as its last event. */
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
 * The life of one call, from its acceptance to its final answer.
 *
 * Invariants:
 *  - exactly one final answer, unless the caller left;
 *  - an event of an attempt that is no longer the current one has no effect;
 *  - tokens reach the caller in order, each offset once, without a gap;
 *  - a call that may not be repeated is sent again only if no earlier attempt
 *    can have run;
 *  - `NotRun` is said only if each attempt ended as not sent or refused, and a
 *    claimed call's row says so.
 * A pure state machine; not thread-safe.
 */
class CallFlow
{
public:
  /** Attempts of one call at the most. */
  static constexpr AttemptId kMaxAttempts = 6;

  explicit CallFlow(CallTraits aTraits);

  std::vector<CallAction> Handle(const CallEvent& aEvent);

  bool IsDone() const { return m_step == Step::Done; }
  /** Tokens handed to the caller, or gathered for it. */
  std::uint64_t TokensGiven() const { return m_nextOffset; }
  /** Events of earlier attempts, or doubled ones, that were dropped. */
  std::uint64_t Dropped() const { return m_dropped; }
  /** Tells the flow whether retries may still be made. */
  void SetRetryAllowed(bool aAllowed) { m_retryAllowed = aAllowed; }

private:
  using Actions = std::vector<CallAction>;

  enum class Step
  {
    New,
    Claiming,
    Choosing, ///< Waits for an upstream.
    Sent,     ///< An attempt is under way.
    Closing,  ///< Waits for the claim's end to be written.
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

  bool IsCurrent(AttemptId aAttempt);
  void Choose(Actions& aActions);
  void Retry(Actions& aActions, ProblemCode aCode);
  void Broke(Actions& aActions);
  void Release(bool aFailed, Actions& aActions);
  /** Ends with a problem; a claimed call's end is written first. */
  void GiveUp(Problem aProblem, Actions& aActions);
  Outcome WorstOutcome() const;
  void Finish(Actions& aActions, CallAction aFinal);

  CallTraits m_traits;
  Step m_step = Step::New;
  bool m_claimed = false;
  bool m_unsure = false; ///< Some attempt may have run and its end is unknown.
  bool m_retryAllowed = true;
  AttemptId m_attempt = 0;
  int m_retries = 0;
  std::string m_upstream; ///< Of the current attempt; empty: none held.
  std::string m_address;
  Phase m_phase = Phase::Whole;
  std::string m_stream;
  std::string m_kvHandle;
  bool m_resumeTried = false; ///< Since the last token.
  bool m_streamStarted = false;
  bool m_wantsPair = false;
  std::uint64_t m_nextOffset = 0;
  std::string m_text;            ///< Output from `m_textStart` on.
  std::uint64_t m_textStart = 0; ///< Above 0: this process lacks the head.
  std::vector<std::string> m_excluded;
  std::optional<Problem> m_pendingProblem; ///< Told after `ClaimClosed`.
  std::uint64_t m_dropped = 0;
};

} // namespace ridgeferry::routing
