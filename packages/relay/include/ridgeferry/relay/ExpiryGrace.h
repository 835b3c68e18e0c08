#pragma once

#include <optional>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/**
 * Decides whether a row that was removed from the list of upstreams may only
 * have expired there, and for how long its upstream stays in use.
 *
 * Rows expire while the store is unreachable for all, because their owners
 * cannot renew them. Without a grace period, an outage of some seconds would
 * empty the list of healthy upstreams. Without a limit to that period, an
 * upstream that has left would get calls for seconds. So an outage counts only
 * if no other instance reported successful reads all the way through it: an
 * instance that the store rejects alone gets no grace period. An instance that
 * was cut off together with its data centre received no such report from any
 * other instance. In that case the rows of upstreams in that data centre did
 * expire, but those of other data centres did not, as the instances there
 * report (`Bounded`).
 *
 * This class only makes decisions and does no I/O. It is not thread-safe.
 */
class ExpiryGrace
{
public:
  /**
   * How long after the first answer that follows an outage a removed row still
   * counts as possibly only expired, in ms. The rows of healthy upstreams are
   * back two seconds after the store's return, and a follower notices the
   * return up to 0.8 s late. All grace periods have therefore ended three
   * seconds after the return; from then on, removals are final again.
   */
  static constexpr Duration kGracePeriod{ 2100 };
  /**
   * How long after the last message in which a peer reports an outage a removed
   * row still counts as possibly only expired, in ms. That message arrives up
   * to a second after the peer's first answer.
   */
  static constexpr Duration kPeerGracePeriod{ 1400 };
  /**
   * Reads count as continuing up to this age of the last answer. The store
   * answers a read that it holds open after two seconds.
   */
  static constexpr Duration kMaxAnswerAge{ 2200 };
  /**
   * For how long a peer's report of steady reads is valid. Together with the
   * age of the answer that the report is based on, this is 3.2 s. Rows expire
   * after three missed renewals, at least 3.6 s, so no row can have expired
   * since that answer.
   */
  static constexpr Duration kSteadyReportLifetime{ 1000 };

  void NoteFailure(Instant aNow);
  /**
   * Records an answer of the store. Returns true if it is the first one after
   * an outage.
   */
  bool NoteAnswer(Instant aNow);
  /**
   * Records that the store was restored from an older copy. The copy lacks the
   * rows of upstreams that were listed after it was made, until these write
   * their rows again. For that time a missing row may only have expired,
   * whichever instances have read the store before.
   */
  void NoteCopy(Instant aNow);
  /**
   * Records that a peer's reads fail and that no instance is known whose reads
   * succeed.
   */
  void NotePeerLost(Instant aNow);
  /** Records that a peer reports steady reads. See `IsSteady`. */
  void NotePeerSteady(Instant aNow);

  /** Returns whether this instance's own reads fail. */
  bool IsLost() const { return m_lost; }
  /**
   * Returns whether this instance's reads have continued for `kGracePeriod`
   * without a failure. Every row that had expired before is then back or gone
   * for good. Reported to the peers.
   */
  bool IsSteady(Instant aNow) const;
  /**
   * Returns until when a row whose removal is read now may only have expired,
   * or std::nullopt if the row is gone.
   */
  std::optional<Instant> Until(Instant aNow) const;
  /**
   * Returns for how long this instance's reads have continued without a
   * failure. Reported to the peers.
   */
  std::optional<Duration> ReadsFor(Instant aNow) const;
  /**
   * Limits the grace period of a row by what is known of the data centre of its
   * upstream. `aDataCentreReadsSince` is the time since when some instance
   * there has read the store without a failure. The upstreams there have been
   * able to reach the store since then, so a row that had expired before is
   * back `kGracePeriod` after that time at the latest, and a row that is still
   * missing then is gone. Returns std::nullopt if there is no grace period.
   */
  static std::optional<Instant> Bounded(
    std::optional<Instant> aUntil,
    std::optional<Instant> aDataCentreReadsSince,
    Instant aNow);

private:
  friend class FollowerState; // Used by the tests that enumerate states.
  bool HearsOfSteady(Instant aNow) const;

  bool m_lost = false;
  /**
   * True if peers have reported steady reads (see `IsSteady`) without a gap
   * since this instance's own reads began to fail.
   */
  bool m_heardThrough = false;
  /**
   * Time since which answers have come without a failure; std::nullopt if no
   * answer has come since the last failure or restored copy.
   */
  std::optional<Instant> m_answersSince;
  Instant m_lastAnswer;
  std::optional<Instant> m_peerSteadyAt;
  std::optional<Instant> m_until;
};

} // namespace ridgeferry::relay
