#pragma once

#include <optional>
#include <ridgeferry/base/StorePosition.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/freshness/StoreClock.h>

namespace ridgeferry::freshness {

/**
 * A proof about a table of the store: whoever holds all its changes up to
 * `m_changed` holds all that the store had acknowledged when its clock showed
 * `m_until`. A plain value that instances pass on to each other; how long it is
 * under way does not matter.
 */
struct TableProof
{
  StorePosition m_changed; ///< Position of the last change of a row.
  StoreMoment m_until;

  bool operator==(const TableProof&) const = default;
};

/**
 * Owns what this instance knows of the freshness of a table: the instant up to
 * which the table is proven to contain everything that the store had
 * acknowledged. The instant comes from answers of the store to this instance,
 * and from proofs that peers pass on. It never moves back, and never beyond the
 * present: a moment that seems to lie ahead is of before the store's clock
 * stepped, and proves nothing.
 *
 * Pure, not thread-safe.
 */
class ProvenAge
{
public:
  /**
   * Records that the table now contains all that the store had acknowledged
   * when it made an answer that tells `aTold`, to a read that was sent at
   * `aAsked`.
   */
  void NoteRead(const StoreMoment& aTold, Instant aAsked, Instant aNow);
  /**
   * Records a proof of a peer. It has no effect unless the table held here
   * contains all changes that the proof is about: `aHeld` is the position of
   * the last change here.
   */
  void NotePeerProof(const TableProof& aProof,
                     const StorePosition& aHeld,
                     Instant aNow);
  /**
   * Records a reading of the store's clock that a peer passed on in answer to a
   * question sent at `aAsked`.
   */
  void NoteReading(const StoreMoment& aTold, Instant aAsked, Instant aNow);

  /**
   * Returns the proof for peers; std::nullopt if there is none for the
   * generation of `aHeld`, the position of the last change here.
   */
  std::optional<TableProof> ProofFor(const StorePosition& aHeld) const;
  /** Returns the instant up to which the table is proven to be whole;
   * std::nullopt if nothing is proven. */
  std::optional<Instant> ProvenUntil() const { return m_provenUntil; }
  /** Returns the proven age; std::nullopt if nothing is proven. */
  std::optional<Duration> AgeAt(Instant aNow) const;
  const StoreClock& Clock() const { return m_clock; }

private:
  /** Moves `m_provenUntil` on to what `m_latest` proves. */
  void Advance(Instant aNow);

  /** Returns whether the store's clock shows less in an answer to a question of
   * `aAsked` than it did before. */
  bool HasSteppedBack(const StoreMoment& aTold, Instant aAsked) const;

  StoreClock m_clock;
  std::optional<StoreMoment> m_latest; ///< Latest moment proven.
  Instant m_latestSince;               ///< When `m_latest` became known.
  std::optional<Instant> m_provenUntil;
};

} // namespace ridgeferry::freshness
