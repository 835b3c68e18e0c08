#pragma once

#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/net/Http.h>
#include <string_view>

namespace ridgeferry::net {

inline constexpr std::string_view kRetryAfterHeader = "Retry-After";

/**
 * Returns the value of a field, std::nullopt if it is absent or stands there
 * several times with different values. Valid until the headers change.
 * Thread-safe.
 */
std::optional<std::string_view>
FindOnly(const HttpHeaders& aHeaders, std::string_view aName);

/** Returns a finite number of 0 or more, written without an exponent;
 * std::nullopt for any other text. Thread-safe. */
std::optional<double>
ReadDecimal(std::string_view aText);

/**
 * Returns the time that `Retry-After` asks for (RFC 9110, section 10.2.3):
 * seconds, parts of them too, or a date, which counts from the `Date` of the
 * same message. Longer times than a day are taken for a day. std::nullopt if it
 * is absent or cannot be read. Thread-safe.
 */
std::optional<Duration>
ReadRetryAfter(const HttpHeaders& aHeaders);

} // namespace ridgeferry::net
