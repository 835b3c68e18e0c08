#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace ridgeferry::scaling {

/** The two kinds of upstreams that can be ordered. */
enum class Kind : std::uint8_t
{
  Regular,
  /** Costs less, but the platform may take all of a data centre away at once.
   */
  Withdrawable,
};

/** Bounds and prices of a service's upstreams, as operators declare them. */
struct ScaleTerms
{
  std::int64_t m_least = 0; ///< In each data centre, of both kinds together.
  std::int64_t m_most = 0;  ///< In each data centre, of both kinds together.
  /** Time from an order until the new upstream serves. */
  Duration m_bootTime{};
  /** Price of a withdrawable upstream, relative to a regular one. */
  double m_withdrawablePrice = 1;
};

/** The upstreams of a service in one data centre that are listed and not
 * leaving. */
struct DataCentrePool
{
  std::string m_dataCentre;
  std::int64_t m_regular = 0;
  std::int64_t m_withdrawable = 0;

  std::int64_t CountOf(Kind aKind) const
  {
    return aKind == Kind::Regular ? m_regular : m_withdrawable;
  }
};

/** Orders so many upstreams of one kind in one data centre. */
struct ScaleOrder
{
  std::string m_dataCentre;
  Kind m_kind = Kind::Regular;
  std::int64_t m_desired = 0;
  bool operator==(const ScaleOrder&) const = default;
};

enum class ScaleAnswer : std::uint8_t
{
  Accepted,
  NoneAvailable, ///< The platform has no upstreams of that kind there now.
  Failed,        ///< No answer, or another one; the order may hold or not.
};

/**
 * Decides how many upstreams of one service are ordered in each data centre.
 *
 * The number needed is taken from the load and held for a while, as a load peak
 * comes again sooner than an upstream boots. Withdrawable upstreams are held
 * beyond the need, the more the less they cost, and so many at least that those
 * of one data centre may be taken away. Regular ones cover a share of the need,
 * and what withdrawable ones do not cover because they are not to be had.
 *
 * Without a known load, nothing is ordered: an instance that has just taken
 * over must not shrink a fleet whose load it has not seen.
 *
 * Pure, not thread-safe.
 */
class ScalePlanner
{
public:
  /** Time constant with which a past need decays. */
  static constexpr Duration kNeedMemory{ 30'000 };
  /** How long a load must have been seen before upstreams are given up. */
  static constexpr Duration kObservation{ 6'000 };
  /** Regular upstreams that are ordered for each one that is needed. */
  static constexpr double kRegularHeadroom = 1.8;
  /** Least share of the need that regular upstreams cover. */
  static constexpr double kRegularShare = 0.15;
  /**
   * What may be spent on withdrawable upstreams beyond the need, relative to
   * the price of the regular upstreams that the need would take.
   */
  static constexpr double kHeadroomSpend = 0.3;
  /** Time after which an order that was not answered or not followed, or that
   * found none available, is sent again. */
  static constexpr Duration kRetryEvery{ 2000 };

  /**
   * Returns the orders to send now. `aNeeded` is the number of upstreams that
   * the present load takes, in all data centres together; `aPools` are the data
   * centres in which the service runs.
   */
  std::vector<ScaleOrder> Plan(const ScaleTerms& aTerms,
                               std::span<const DataCentrePool> aPools,
                               double aNeeded,
                               Instant aNow);
  /** Records the answer to an order that `Plan` returned. */
  void NoteAnswer(const ScaleOrder& aOrder, ScaleAnswer aAnswer, Instant aNow);

  double HeldNeed() const { return m_need; }

private:
  /** What was ordered of one kind in one data centre. */
  struct Ordered
  {
    std::optional<std::int64_t> m_desired; ///< Last order that was accepted.
    /** Order that awaits its answer. */
    std::optional<std::int64_t> m_open;
    Instant m_acceptedAt;
    Instant m_notBefore;
  };
  struct Targets
  {
    std::int64_t m_regular = 0;
    std::int64_t m_withdrawable = 0;
  };

  void UpdateNeed(double aNeeded,
                  std::span<const DataCentrePool> aPools,
                  Instant aNow);
  Targets TargetsOf(const ScaleTerms& aTerms,
                    std::span<const DataCentrePool> aPools,
                    Instant aNow);
  /** Returns how many regular upstreams each data centre keeps in place of
   * withdrawable ones that do not serve yet. More than there are now are wanted
   * only once a boot has not helped. */
  std::int64_t RegularInPlace(const ScaleTerms& aTerms,
                              std::span<const DataCentrePool> aPools,
                              double aWanted,
                              Instant aNow);
  /** Returns how many upstreams of the kind other than `aKind` are there or
   * ordered: they count against the limit. */
  std::int64_t OtherKind(const DataCentrePool& aPool, Kind aKind) const;
  /** Returns whether the order for `aTarget` upstreams is sent now. */
  bool IsDue(const ScaleTerms& aTerms,
             const Ordered& aOrdered,
             std::int64_t aListed,
             std::int64_t aTarget,
             Instant aNow) const;

  double m_need = 0;
  Instant m_needAt;
  std::optional<Instant> m_loadSince; ///< Since when a load has been seen.
  /** Since when withdrawable upstreams have been too few; empty: they are not.
   */
  std::optional<Instant> m_shortSince;
  std::map<std::pair<std::string, Kind>, Ordered> m_ordered;
};

} // namespace ridgeferry::scaling
