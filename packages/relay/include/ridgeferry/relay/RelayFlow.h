#pragma once

#include <cstdint>
#include <ridgeferry/base/Outcome.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/relay/AttemptEnd.h>
#include <ridgeferry/relay/EventSplitter.h>
#include <ridgeferry/relay/Routes.h>
#include <string>
#include <variant>
#include <vector>

namespace ridgeferry::relay {

/** Number of an attempt of one call, from 1; 0 is none. */
using AttemptId = std::uint32_t;

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
  /** Reads the prompt first and hands its memory over; empty: nobody does. */
  std::string m_reader;
};
/** No upstream can take the call now. */
struct NoPlace
{
  enum class Cause : std::uint8_t
  {
    NoRoom,
    TooLarge,    ///< None could in its caller's time: it need not come back.
    Quarantined, ///< Upstreams end under it: none is to have it.
  };
  Duration m_retryAfter{};
  Cause m_cause = Cause::NoRoom;
};
/** No byte of the attempt has left. */
struct AttemptUnsent
{
  AttemptId m_attempt = 0;
};
/** The upstream's own word that it has not run the call. */
struct AttemptRefused
{
  AttemptId m_attempt = 0;
  bool m_displaced = false; ///< Said by another upstream, at its address.
};
/** A reader holds the prompt's memory under a handle. */
struct PromptRead
{
  AttemptId m_attempt = 0;
  std::string m_handle;
};
/** An answer begins that is neither a refusal nor a read prompt. */
struct HeadArrived
{
  AttemptId m_attempt = 0;
  int m_status = 0;
};
struct BytesArrived
{
  AttemptId m_attempt = 0;
  std::string m_bytes;
};
struct AnswerEnded
{
  AttemptId m_attempt = 0;
};
/** It ended after bytes may have left, without a whole answer. */
struct AttemptBroke
{
  AttemptId m_attempt = 0;
};
struct DeadlinePassed
{};
struct CallerLeft
{};

using RelayEvent = std::variant<CallBegan,
                                PlaceFound,
                                NoPlace,
                                AttemptUnsent,
                                AttemptRefused,
                                PromptRead,
                                HeadArrived,
                                BytesArrived,
                                AnswerEnded,
                                AttemptBroke,
                                DeadlinePassed,
                                CallerLeft>;

// ---- actions ----

/** Look for an upstream; answer with `PlaceFound` or `NoPlace`. */
struct FindPlace
{
  std::vector<std::string> m_excluded;
};
/** Have the prompt read and kept; nothing of the call runs. */
struct SendRead
{
  AttemptId m_attempt = 0;
  std::string m_reader;
  bool m_repeat = false; ///< Counts in the budget: not the first of its call.
};
struct SendRun
{
  AttemptId m_attempt = 0;
  std::string m_upstream;
  std::string m_reader; ///< Holds the prompt's memory; empty: nobody.
  std::string m_handle;
  /** Go on after this event; empty: as the caller asked. */
  std::string m_resumeAfter;
  bool m_repeat = false; ///< Counts in the budget.
};
struct CancelAttempt
{
  AttemptId m_attempt = 0;
};
struct NoteAttemptEnd
{
  AttemptId m_attempt = 0;
  AttemptEnd m_end = AttemptEnd::Served;
};
/** Free what a reader still keeps for this call. */
struct FreeHandle
{
  std::string m_reader;
  std::string m_handle;
};
/** Pass on the head of the present attempt's answer. */
struct ForwardHead
{};
struct ForwardBytes
{
  std::string m_bytes;
};
struct ForwardEnd
{};
/** Pass on a whole answer: its head is the present attempt's. */
struct ForwardWhole
{
  std::string m_body;
};
/** End the connection, so that what was passed on does not look whole. */
struct BreakOff
{};
/** A final answer of our own. */
struct ReplyOwn
{
  enum class Reason : std::uint8_t
  {
    NoRoom,      ///< It has not run and will not.
    TooLarge,    ///< The same, and would not later either.
    Quarantined, ///< The same: upstreams end under it.
    NoAnswer,    ///< It may have run; its answer is lost.
    TooLate,     ///< It may have run; its time is over.
  };
  Reason m_reason = Reason::NoRoom;
  Duration m_retryAfter{};
};

using RelayAction = std::variant<FindPlace,
                                 SendRead,
                                 SendRun,
                                 CancelAttempt,
                                 NoteAttemptEnd,
                                 FreeHandle,
                                 ForwardHead,
                                 ForwardBytes,
                                 ForwardEnd,
                                 ForwardWhole,
                                 BreakOff,
                                 ReplyOwn>;

/**
 * The life of one call whose bytes are passed through.
 *
 * Invariants:
 *  - exactly one final answer (whole, ended, broken off, or our own), unless
 *    the caller left;
 *  - an event of an attempt that is not the current one has no effect;
 *  - a call that may run once is sent again only after the upstream's own word
 *    that it did not run, or if no byte had left;
 *  - `NoRoom` is answered only if no attempt can have run;
 *  - a stream reaches the caller in whole events, in order, from one run or
 *    from runs that each go on after the last event passed on.
 * A pure state machine; not thread-safe.
 */
class RelayFlow
{
public:
  /** Sends of one call at the most, of any kind: beyond three other upstreams
   * the time is better left to calls that can still be served. */
  static constexpr int kMaxSends = 4;
  /** A body up to this is gathered before any of it is passed on, so that a
   * broken answer can still be repeated. Most answers are a few kilobytes. */
  static constexpr std::size_t kGatherBytes = std::size_t{ 256 } * 1024;
  /** When to come back after a refusal that names no time of its own. */
  static constexpr Duration kRetryAfter{ 100 };

  explicit RelayFlow(RelayTraits aTraits);

  std::vector<RelayAction> Handle(const RelayEvent& aEvent);

  bool IsDone() const { return m_step == Step::Done; }
  /** Tells whether the budget, and what is suspected of the call, allow one
   * more send. */
  void SetRepeatAllowed(bool aAllowed) { m_repeatAllowed = aAllowed; }
  /** Runs that may have begun so far. */
  int Runs() const { return m_runs; }
  /** Id of the last event that was passed on; empty: none had one. */
  const std::string& LastEventId() const { return m_events.LastId(); }

private:
  using Actions = std::vector<RelayAction>;

  enum class Step : std::uint8_t
  {
    New,
    Placing,
    Reading, ///< The prompt, at a reader.
    Running,
    Done,
  };
  /** What becomes of the answer that is coming in. */
  enum class Fate : std::uint8_t
  {
    Unknown, ///< No head yet.
    Stream,
    Gather,
    Pass,    ///< Too large to gather: passed on as it comes.
    Repeat,  ///< A failure that may be repeated elsewhere.
    Conceal, ///< Its status would promise what is not known.
  };

  void On(const CallBegan& aEvent, Actions& aActions);
  void On(const PlaceFound& aEvent, Actions& aActions);
  void On(const NoPlace& aEvent, Actions& aActions);
  void On(const AttemptUnsent& aEvent, Actions& aActions);
  void On(const AttemptRefused& aEvent, Actions& aActions);
  void On(const PromptRead& aEvent, Actions& aActions);
  void On(const HeadArrived& aEvent, Actions& aActions);
  void On(const BytesArrived& aEvent, Actions& aActions);
  void On(const AnswerEnded& aEvent, Actions& aActions);
  void On(const AttemptBroke& aEvent, Actions& aActions);
  void On(const DeadlinePassed& aEvent, Actions& aActions);
  void On(const CallerLeft& aEvent, Actions& aActions);

  bool IsCurrent(AttemptId aAttempt) const;
  bool MayRunAgain() const;
  bool IsIdempotent() const;
  Fate FateOf(int aStatus) const;
  void StartRun(Actions& aActions);
  /** Without a reader: none has read the prompt. */
  void ReadWhereItRuns(Actions& aActions);
  bool MayAskWhetherEnded() const;
  void FindAgain(Actions& aActions);
  void Leave(AttemptEnd aEnd, Actions& aActions);
  void GiveUp(Duration aRetryAfter, Actions& aActions);
  void Finish(Actions& aActions, RelayAction aFinal);

  RelayTraits m_traits;
  Step m_step = Step::New;
  Fate m_fate = Fate::Unknown;
  bool m_repeatAllowed = true;
  bool m_forwarded = false; ///< The caller has seen a head.
  AttemptId m_attempt = 0;
  int m_sends = 0; ///< Sends that the upstream can have received.
  int m_reads = 0; ///< Of prompts, for another upstream.
  int m_tries = 0;
  int m_runs = 0;
  /** The upstream that broke off is asked to go on: if it has ended, that run
   * counts no more and another may take the stream up. */
  bool m_askingWhetherEnded = false;
  std::string m_upstream;
  std::string m_reader;
  std::string m_handle;
  std::vector<std::string> m_excluded;
  EventSplitter m_events;
  std::string m_gathered;
};

} // namespace ridgeferry::relay
