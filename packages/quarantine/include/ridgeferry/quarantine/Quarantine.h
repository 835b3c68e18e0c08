#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamLife.h>
#include <ridgeferry/quarantine/CallDigest.h>
#include <span>
#include <vector>

namespace ridgeferry::quarantine {

/** An upstream ended while it ran a call. */
struct Ending
{
  CallDigest m_call;
  std::uint64_t m_life = 0; ///< `LifeHash` of the upstream.
  /** The call has run well elsewhere: this end is not held against it. */
  bool m_cleared = false;
  bool operator==(const Ending&) const = default;
};

/** An ending that another instance tells, or the store. */
struct ToldEnding
{
  Ending m_ending;
  Duration m_age{}; ///< How long ago it was seen first, at most.
};

/** Names a life of an upstream, the same at all instances. Thread-safe. */
std::uint64_t
LifeHash(const UpstreamLife& aUpstream);

/** What an ending, or a clearing, has made of its call. */
enum class Change : std::uint8_t
{
  None,      ///< It was known.
  Suspected, ///< One more end; too few to hold the call.
  Held,      ///< From now on it is given to no upstream.
  Cleared,   ///< It is suspected or held no more.
};

/**
 * Calls under which upstreams ended, and which of them are therefore given to
 * no upstream any more.
 *
 * A call is held once `kEndsToHold` distinct lives of upstreams have ended
 * while they ran it and it has not run well since; for `kHoldFor` after the
 * last of these ends. Ends that lie closer together than `kOneCause` may have a
 * cause of their own, such as a machine that they share: then the hold is
 * doubted from `kDoubtFor` on, and one run may show whether it is right. All
 * that ran on an upstream that ended is suspected alike: a run that ends well
 * clears its call, and a suspicion lapses after `kSuspectFor`.
 *
 * Endings merge: in whatever order, and how often, instances tell each other of
 * them, all come to hold the same calls, as an end that was cleared stays
 * cleared. Decisions only; not thread-safe.
 */
class Quarantine
{
public:
  /** One end is chance, and in two a call may have stood beside the cause; each
   * further one costs what runs on one more upstream. */
  static constexpr std::size_t kEndsToHold = 3;
  /** Suspected of so many, it is not repeated within one try of its caller. */
  static constexpr std::size_t kEndsToCare = 2;
  /** Upstreams that are lost together end within milliseconds, and are noticed
   * within some tens of them. */
  static constexpr Duration kOneCause{ 100 };
  /** Long enough for callers that came at once to be answered. */
  static constexpr Duration kDoubtFor{ 2000 };
  /** Callers that come back do so within minutes. */
  static constexpr Duration kSuspectFor = std::chrono::minutes(10);
  /** Each lapse costs `kEndsToHold` upstreams if the cause still stands: a day
   * is what operators need to find it. */
  static constexpr Duration kHoldFor = std::chrono::hours(24);
  /** Bounds of memory, some 200 bytes each. Suspicions give way, the oldest
   * first; calls that are held give way only to others that are. */
  static constexpr std::size_t kMostSuspects = 4096;
  static constexpr std::size_t kMostHeld = 1024;
  /** Lives kept of one call. One that was cleared gives way to a new end; what
   * is beyond ends against it tells nothing more. */
  static constexpr std::size_t kMostLives = 8;

  /** Takes an ending that was seen here or told. */
  Change Note(const Ending& aEnding, Instant aNow, Duration aAge = {});
  /** The call ran well: its endings that were new to be told as cleared; empty:
   * it was not suspected. */
  std::vector<Ending> NoteServed(const CallDigest& aCall);

  bool IsHeld(const CallDigest& aCall) const;
  /** It is held, and one run at a time of all instances may try it. */
  bool IsDoubted(const CallDigest& aCall, Instant aNow) const;
  /** How long it is held from now on, or until it is doubted; 0: it is not. */
  Duration HeldFor(const CallDigest& aCall, Instant aNow) const;
  /** Lives that ended under it and are held against it. */
  std::size_t Ends(const CallDigest& aCall) const;
  /** Nothing is known of any call. */
  bool IsEmpty() const { return m_calls.empty(); }
  std::size_t Held() const;
  std::size_t Suspected() const;

  /** Forgets what has lapsed; returns the calls that were held until now. */
  std::vector<CallDigest> Tick(Instant aNow);

  /** Endings for an instance that starts or was cut off, or for the store, at
   * most so many: of calls with most ends first, then the latest. */
  std::vector<ToldEnding> Snapshot(Instant aNow, std::size_t aMost) const;
  /** Two instances that hold the same calls give the same; 0: none. */
  std::uint64_t Fingerprint() const;

private:
  struct Life
  {
    bool m_cleared = false;
    Instant m_endedAt;
  };
  struct Call
  {
    std::map<std::uint64_t, Life> m_lives; ///< By hash.
    /** Of the ends that are held against it, also of lives beyond
     * `kMostLives`. */
    Instant m_firstEnd;
    Instant m_lastEnd;
  };
  using Calls = std::map<CallDigest, Call>;

  static std::size_t EndsOf(const Call& aCall);
  static bool IsHeld(const Call& aCall) { return EndsOf(aCall) >= kEndsToHold; }
  /** All ends against it may have had one cause. */
  static bool MayHaveOneCause(const Call& aCall)
  {
    return aCall.m_lastEnd - aCall.m_firstEnd < kOneCause;
  }
  static void NoteEnd(Call& aCall, Instant aEndedAt);
  static Change Accuse(Call& aCall, std::uint64_t aLife, Instant aEndedAt);
  static Change Clear(Call& aCall, std::uint64_t aLife, Instant aEndedAt);
  /** The oldest one that was cleared; false: none was. */
  static bool ForgetCleared(Call& aCall);
  static Duration KeptFor(const Call& aCall);
  void MakeRoom();
  void ForgetOldest(bool aHeld);

  Calls m_calls;
};

} // namespace ridgeferry::quarantine
