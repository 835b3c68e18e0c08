#pragma once

#include <algorithm>
#include <cstdint>
#include <ridgeferry/relay/TableFollower.h>
#include <span>
#include <string_view>
#include <vector>
#include <xxhash.h>

namespace ridgeferry::relay {

/**
 * Writes the state of a `TableFollower` as numbers, as far as it determines
 * when and what the follower reads next, so that tests can recognise equal
 * states.
 */
class FollowerState
{
public:
  using Numbers = std::vector<std::int64_t>;

  /**
   * Appends the state, with times relative to `aNow`. State that only affects
   * the grace periods of removed rows is left out.
   */
  static void Write(const TableFollower& aFollower,
                    Instant aNow,
                    Numbers& aNumbers)
  {
    const auto flag = [&](bool aFlag) { aNumbers.push_back(aFlag ? 1 : 0); };
    flag(aFollower.m_hasRead);
    flag(aFollower.m_needsTable);
    flag(aFollower.m_isPoller);
    flag(aFollower.m_isDesignatedPoller);
    flag(aFollower.m_isReading);
    flag(aFollower.m_isAskingPeer);
    flag(aFollower.m_startTimedOut);
    flag(aFollower.m_isOnStandby);
    flag(aFollower.m_grace.m_lost);
    aNumbers.push_back(
      std::min(aFollower.m_startTries, TableFollower::kStartTries));
    aNumbers.push_back(aFollower.m_retry.count());
    // If the last read was sent longer ago than `kLongestRetry`, the next read
    // follows without a pause, so longer times make no difference.
    aNumbers.push_back(
      std::min(aNow - aFollower.m_askedAt, TableFollower::kLongestRetry)
        .count());
    const bool isBehind = aFollower.m_behindSince.has_value();
    aNumbers.push_back(isBehind ? std::min(aNow - *aFollower.m_behindSince,
                                           TableFollower::kBehindTimeout)
                                    .count()
                                : -1);
    WritePosition(aFollower.m_askedAfter, aNumbers);
    WritePosition(aFollower.m_reissuedFor, aNumbers);
    WritePosition(aFollower.m_table.Position(), aNumbers);
    WritePosition(aFollower.m_table.ChangedPosition(), aNumbers);
    aNumbers.push_back(static_cast<std::int64_t>(aFollower.m_generation));
    aNumbers.push_back(
      static_cast<std::int64_t>(aFollower.m_table.m_knowsAfter));
    for (const auto& [key, kept] : aFollower.m_table.m_rows) {
      aNumbers.push_back(NumberOf(kept.m_value));
    }
  }

  /** Returns whether the follower holds these values and no others. */
  static bool Holds(const TableFollower& aFollower,
                    std::span<const FollowedRow> aRows)
  {
    const auto& held = aFollower.m_table.m_rows;
    return held.size() == aRows.size() &&
           std::all_of(
             aRows.begin(), aRows.end(), [&](const FollowedRow& aRow) {
               const auto found = held.find(aRow.m_key);
               return found != held.end() &&
                      found->second.m_value == aRow.m_value;
             });
  }

  static std::int64_t NumberOf(std::string_view aValue)
  {
    return static_cast<std::int64_t>(XXH3_64bits(aValue.data(), aValue.size()));
  }

  static void WritePosition(StorePosition aPosition, Numbers& aNumbers)
  {
    aNumbers.push_back(static_cast<std::int64_t>(aPosition.m_generation));
    aNumbers.push_back(static_cast<std::int64_t>(aPosition.m_version));
  }
};

} // namespace ridgeferry::relay
