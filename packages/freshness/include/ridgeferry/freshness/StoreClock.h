#pragma once

#include <optional>
#include <ridgeferry/base/StorePosition.h>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::freshness {

/**
 * A reading of the store's steady clock. Readings of two generations cannot be
 * compared. A plain value.
 */
struct StoreMoment
{
  StoreGeneration m_generation = 0;
  Duration m_clock{};

  bool operator==(const StoreMoment&) const = default;
};

/**
 * How far an instance's time of day is ahead of the store's steady clock. Equal
 * for all instances whose time of day is right. A plain value.
 */
struct WallOffset
{
  StoreGeneration m_generation = 0;
  Duration m_offset{};

  bool operator==(const WallOffset&) const = default;
};

/**
 * Bounds the offset between this process's clock and the store's steady clock.
 *
 * A reading that arrives in answer to a question was made after the question
 * was sent. The difference of the two is therefore a lower bound of the offset,
 * and the bound is close if the answer was quick. No clock of two machines is
 * assumed to agree, only that both run at nearly the same rate. The store's may
 * step, as when its machine starts again; see `NoteAnswer` and `ProvenAge`.
 *
 * Pure, not thread-safe.
 */
class StoreClock
{
public:
  /**
   * Reciprocal of how much the rates of two clocks may differ: 200 parts in a
   * million, twice what crystals are specified for.
   */
  static constexpr int kDriftDivisor = 5000;
  /** Loss of a bound by drift after which a new reading is wanted. */
  static constexpr Duration kWantedAccuracy{ 40 };

  /**
   * Records a reading that was made after the instant `aAsked`. A reading of an
   * earlier generation than one already recorded has no effect.
   */
  void NoteReading(const StoreMoment& aTold, Instant aAsked);
  /**
   * Records a reading that the store itself made between the instants `aAsked`
   * and `aAnswered`. If no offset that was possible so far allows it, the clock
   * has stepped forward, and what was known of it has no effect any more.
   */
  void NoteAnswer(const StoreMoment& aTold, Instant aAsked, Instant aAnswered);
  /**
   * Returns an instant that is not later than the moment at which the store's
   * clock showed `aMoment`; std::nullopt if no offset is known for its
   * generation. `aNow` is the present instant.
   */
  std::optional<Instant> EarliestInstantOf(const StoreMoment& aMoment,
                                           Instant aNow) const;
  /**
   * Returns the latest reading that the store's clock can show at present;
   * std::nullopt if no offset is known.
   */
  std::optional<StoreMoment> LatestReading(Instant aNow) const;
  /**
   * Returns whether no offset is known for the generation, or none that is
   * accurate any more.
   */
  bool WantsReading(StoreGeneration aGeneration, Instant aNow) const;

private:
  /** The lower bound of an offset, and the instant that it was found at. */
  struct Bound
  {
    StoreGeneration m_generation = 0;
    Duration m_offset{};
    Instant m_at;
  };

  static Duration OffsetAt(const Bound& aBound, Instant aNow);

  std::optional<Bound> m_bound;
};

} // namespace ridgeferry::freshness
