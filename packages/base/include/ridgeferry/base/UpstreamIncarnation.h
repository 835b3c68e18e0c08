#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace ridgeferry {

/**
 * Order of the incarnation that a report on an upstream names, compared with
 * the known incarnation of the upstream.
 */
enum class IncarnationOrder : std::uint8_t
{
  /** The incarnations are equal, or cannot be compared because the start time
   * of one of them is unknown. */
  Same,
  Earlier, ///< The report names an incarnation that has ended.
  Later,   ///< The known incarnation has ended.
};

/**
 * One incarnation of an upstream, which is one run of its process. A process
 * that starts again under the same id is a new incarnation. It has none of the
 * connections, cached data and received orders of the earlier incarnation, and
 * is not leaving merely because the earlier one was. A plain value.
 */
struct UpstreamIncarnation
{
  std::string m_id;
  /** Start time of the process, in Unix milliseconds by its own clock;
   * std::nullopt if the upstream does not report it. */
  std::optional<std::int64_t> m_born = {};

  bool operator==(const UpstreamIncarnation&) const = default;
};

/**
 * Compares the start time that a report names with the known start time of the
 * upstream with the same id.
 */
constexpr IncarnationOrder
Compare(std::optional<std::int64_t> aKnownBorn,
        std::optional<std::int64_t> aReportedBorn)
{
  if (!aKnownBorn || !aReportedBorn || *aKnownBorn == *aReportedBorn) {
    return IncarnationOrder::Same;
  }
  return *aReportedBorn < *aKnownBorn ? IncarnationOrder::Earlier
                                      : IncarnationOrder::Later;
}

} // namespace ridgeferry
