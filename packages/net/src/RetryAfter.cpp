#include "ridgeferry/net/RetryAfter.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <locale>
#include <sstream>

namespace ridgeferry::net {

namespace {

constexpr std::string_view kDate = "Date";
/** The preferred form of a date (RFC 9110, section 5.6.7). */
constexpr const char* kDateForm = "%a, %d %b %Y %H:%M:%S GMT";
/** Longer times are taken for this one, so that sums stay within their type. */
constexpr double kMaxSeconds = 86'400;
constexpr double kMillis = 1000;

/** Returns seconds since 1970. */
std::optional<double>
ReadDate(std::string_view aText)
{
  std::tm parts{};
  std::istringstream text{ std::string(aText) };
  text.imbue(std::locale::classic());
  text >> std::get_time(&parts, kDateForm);
  if (text.fail()) {
    return std::nullopt;
  }
  return static_cast<double>(timegm(&parts));
}

std::optional<double>
SecondsOf(std::string_view aText, const HttpHeaders& aHeaders)
{
  if (const auto seconds = ReadDecimal(aText)) {
    return seconds;
  }
  const auto until = ReadDate(aText);
  const auto now = ReadDate(aHeaders.Find(kDate).value_or(std::string_view{}));
  if (!until || !now) {
    return std::nullopt;
  }
  return std::max(0.0, *until - *now);
}

} // namespace

std::optional<std::string_view>
FindOnly(const HttpHeaders& aHeaders, std::string_view aName)
{
  const auto first = aHeaders.Find(aName);
  const auto& all = aHeaders.All();
  const bool isAmbiguous =
    std::any_of(all.begin(), all.end(), [&](const auto& aField) {
      return HttpHeaders::SameName(aField.first, aName) &&
             aField.second != *first;
    });
  return isAmbiguous ? std::nullopt : first;
}

std::optional<double>
ReadDecimal(std::string_view aText)
{
  double out = 0;
  const char* end = aText.data() + aText.size();
  const auto read =
    std::from_chars(aText.data(), end, out, std::chars_format::fixed);
  const bool isNumber = read.ec == std::errc{} && read.ptr == end;
  return isNumber && std::isfinite(out) && out >= 0 ? std::optional(out)
                                                    : std::nullopt;
}

std::optional<Duration>
ReadRetryAfter(const HttpHeaders& aHeaders)
{
  const auto text = FindOnly(aHeaders, kRetryAfterHeader);
  const auto seconds = text ? SecondsOf(*text, aHeaders) : std::nullopt;
  if (!seconds) {
    return std::nullopt;
  }
  return Duration(
    std::llround(std::ceil(std::min(*seconds, kMaxSeconds) * kMillis)));
}

} // namespace ridgeferry::net
