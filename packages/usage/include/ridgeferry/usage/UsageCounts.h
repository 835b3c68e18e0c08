#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <string>
#include <string_view>

namespace ridgeferry::usage {

/**
 * Number of a window in which usage is counted: window k begins k window
 * lengths after the beginning of 1970, in true time.
 */
using WindowIndex = std::int64_t;

/** Calls of each organisation that upstreams began to run. */
using Counts = std::map<std::string, std::int64_t, std::less<>>;

/** Counts by window. */
using CountsByWindow = std::map<WindowIndex, Counts>;

/** Number of windows whose counts an instance keeps. */
constexpr std::size_t kKeptWindows = 12;

/** Returns the window that contains a moment. Precondition: `aLength` is
 * positive. Thread-safe. */
constexpr WindowIndex
WindowAt(WallTime aTime, Duration aLength)
{
  return aTime.time_since_epoch() / aLength;
}

/** Returns the moment at which a window ends. Thread-safe. */
constexpr WallTime
EndOf(WindowIndex aWindow, Duration aLength)
{
  return WallTime{ aLength * (aWindow + 1) };
}

/** Drops all but the latest `kKeptWindows` windows. */
void
DropOldWindows(CountsByWindow& aWindows);

/** Text of counts, for rows of the store and messages of peers. Thread-safe. */
std::string
EncodeCounts(const Counts& aCounts);

/** Returns std::nullopt if the text is not what `EncodeCounts` returns for some
 * counts. Thread-safe. */
std::optional<Counts>
DecodeCounts(std::string_view aText);

} // namespace ridgeferry::usage
