#pragma once

#include <ridgeferry/base/Time.h>
#include <ridgeferry/streams/OriginTable.h>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::streams {

/** Returns the records as a row of the store holds them: JSON, the origins with
 * the keys of their streams, and the wall-clock time until which they are
 * needed. `aNow` is the wall-clock time. Thread-safe. */
std::string
FormatOrigins(std::span<const OriginRecord> aRecords, WallTime aNow);

/**
 * Reads what `FormatOrigins` wrote, also in another process. The error says
 * what is wrong with the text. Records that have lapsed are left out; none is
 * kept for longer than `aMemory`, however far the writer's clock is ahead.
 * Thread-safe.
 */
tl::expected<std::vector<OriginRecord>, std::string>
ParseOrigins(std::string_view aText, WallTime aNow, Duration aMemory);

} // namespace ridgeferry::streams
