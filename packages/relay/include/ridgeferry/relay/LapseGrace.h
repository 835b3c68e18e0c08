#pragma once

#include <optional>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/**
 * Whether a row that was removed from the list of upstreams may only have
 * lapsed there, and for how long its upstream stays in use.
 *
 * Rows lapse while the store is away for all, as their owners cannot renew
 * them: without a grace, an outage of some seconds would empty the list of
 * sound upstreams. Without a bound to it, one that has left would get calls for
 * seconds. So an outage counts only if no other instance was heard to read on
 * through all of it: one that the store alone turned away grants none. One that
 * was cut off with its hall heard nobody: the rows of that hall's upstreams did
 * lapse, those of other halls did not, as their instances say (`Bounded`).
 *
 * Decisions only; not thread-safe.
 */
class LapseGrace
{
public:
  /**
   * How long after the first answer behind an outage a removed row may only
   * have lapsed. Rows of sound upstreams are back two seconds after the store's
   * own return; a follower notices the return up to 0.8 s late. So all graces
   * have ended three seconds after it, when what is gone binds again.
   */
  static constexpr Duration kLapseTime{ 2100 };
  /** The same after the last word of a peer's outage, which comes up to a
   * second after that peer's first answer. */
  static constexpr Duration kPeerLapseTime{ 1400 };
  /** Age of the last answer up to which reads count as going on: a read that
   * the store holds is answered after two seconds. */
  static constexpr Duration kAnswerAge{ 2200 };
  /**
   * For how long a peer's word of its steady reads holds. With the age of the
   * answer behind it that is 3.2 s: rows lapse after three missed renewals,
   * 3.6 s at least, so no row can have lapsed since that answer.
   */
  static constexpr Duration kSteadyFor{ 1000 };

  void NoteFailure(Instant aNow);
  /** True: it is the first one behind an outage. */
  bool NoteAnswer(Instant aNow);
  /**
   * The store came back from an older copy, which lacks the rows of upstreams
   * that were listed since it was made, until they write them again: for that
   * time a missing row may only have lapsed, whoever read the store before.
   */
  void NoteCopy(Instant aNow);
  /** A peer's reads fail, and nobody's are heard to succeed. */
  void NotePeerLost(Instant aNow);
  /** A peer says that its reads are steady: see `IsSteady`. */
  void NotePeerSteady(Instant aNow);

  /** Own reads fail. */
  bool IsLost() const { return m_lost; }
  /** Own reads have gone on for `kLapseTime` without a failure: whatever lapsed
   * before is back or gone. For the peers. */
  bool IsSteady(Instant aNow) const;
  /** Until when a row whose removal is read now may only have lapsed; nothing:
   * it is gone. */
  std::optional<Instant> Until(Instant aNow) const;
  /** For how long own reads have gone on without a failure. For the peers. */
  std::optional<Duration> ReadsFor(Instant aNow) const;
  /**
   * The end of a grace for a row, by what is known of its upstream's hall:
   * `aHallReadsSince`, since when some instance there has read the store
   * without a failure. Its upstreams have reached the store for as long, so a
   * row that lapsed before is back by then, and one that is missing is gone.
   * Nothing: there is no grace.
   */
  static std::optional<Instant> Bounded(std::optional<Instant> aUntil,
                                        std::optional<Instant> aHallReadsSince,
                                        Instant aNow);

private:
  friend class FollowerState; // Of the tests that enumerate states.
  bool HearsOfSteady(Instant aNow) const;

  bool m_lost = false;
  /** Steady peers were heard ever since own reads began to fail. */
  bool m_heardThrough = false;
  std::optional<Instant> m_answersSince; ///< Without a failure; nothing: none.
  Instant m_lastAnswer;
  std::optional<Instant> m_peerSteadyAt;
  std::optional<Instant> m_until;
};

} // namespace ridgeferry::relay
