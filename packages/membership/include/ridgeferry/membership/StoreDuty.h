#pragma once

#include <map>
#include <ridgeferry/membership/Roster.h>
#include <string>
#include <string_view>

namespace ridgeferry::membership {

/** The instance that asks. */
struct DutyAsker
{
  std::string m_instance;
  std::string m_hall;
  bool m_leaving = false;
};

/**
 * Which instances keep an eye on the store for all: two of each hall, the first
 * ones by hash of those alive, so that the loss of one leaves one. Everybody
 * finds the same ones by what everybody hears.
 *
 * Reads the roster; pure, not thread-safe.
 */
class StoreDuty
{
public:
  static constexpr std::size_t kInHall = 2;
  /** Talks within which somebody on duty must have been heard: one that is lost
   * is chance, three in a row are not. */
  static constexpr int kFreshTalks = 3;

  /** Precondition: the roster outlives it. */
  StoreDuty(const Roster& aRoster, DutyAsker aAsker);

  /** Whether any other instance on duty is heard whose reads succeed. */
  bool HearsOfStore(Instant aNow) const;
  /**
   * Since when some instance of a hall has read the store without a failure,
   * of those that are heard now and read that generation of it or a later one;
   * nothing: none is.
   */
  std::optional<Instant> ReadsSince(std::string_view aHall,
                                    StoreGeneration aGeneration,
                                    Instant aNow) const;
  /** Whether the asker is on duty: by its place, or as it hears of nobody whose
   * reads succeed. */
  bool IsOnDuty(Instant aNow) const;
  /** Whether it is by its place. */
  bool IsOnDutyByPlace() const;

private:
  bool IsFresh(const PeerView& aPeer, Instant aNow) const;
  /** By hall: the highest hash of a name that is on duty there. */
  using Bounds = std::map<std::string_view, std::uint64_t>;
  /** Of all halls in one look at the peers. A look for each peer took 0.83 ms
   * at 300 of them, this takes 0.018 ms (`membership_bench`), for each word of
   * a peer whose reads fail: some 300 a second behind a loss of all instances.
   */
  Bounds DutyBounds() const;

  const Roster& m_roster;
  DutyAsker m_asker;
  std::uint64_t m_hash; ///< Of the asker's name.
};

} // namespace ridgeferry::membership
