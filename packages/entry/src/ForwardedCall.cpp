#include "ForwardedCall.h"

#include <charconv>
#include <ridgeferry/entry/PassableHeaders.h>
#include <ridgeferry/net/Uri.h>

namespace ridgeferry::entry {

namespace {

constexpr std::string_view kLeft = "Ridgeferry-Left-Ms";
constexpr std::string_view kWaited = "Ridgeferry-Waited-Ms";
constexpr std::string_view kResumeAfter = "Ridgeferry-Resume-After";
constexpr std::string_view kService = "Ridgeferry-Service";
constexpr std::string_view kSoftwareVersion = "Ridgeferry-Software-Version";
constexpr std::string_view kConfigGeneration = "Ridgeferry-Config-Generation";
constexpr std::string_view kConfigVersion = "Ridgeferry-Config-Version";
constexpr std::string_view kLease = "Ridgeferry-Lease";
constexpr std::string_view kLeaseTerm = "Ridgeferry-Lease-Ms";
constexpr std::string_view kDeclined = "Ridgeferry-Declined";

/** Returns the number that a field holds; std::nullopt if it holds none. */
template<typename Number>
std::optional<Number>
ReadNumber(const net::HttpHeaders& aHeaders, std::string_view aName)
{
  const auto text = aHeaders.Find(aName);
  if (!text) {
    return std::nullopt;
  }
  Number out = 0;
  const char* end = text->data() + text->size();
  const auto read = std::from_chars(text->data(), end, out);
  const bool isWhole = read.ec == std::errc{} && read.ptr == end;
  return isWhole ? std::optional(out) : std::nullopt;
}

std::optional<Duration>
ReadDuration(const net::HttpHeaders& aHeaders, std::string_view aName)
{
  const auto count = ReadNumber<Duration::rep>(aHeaders, aName);
  return count && *count >= 0 ? std::optional(Duration(*count)) : std::nullopt;
}

std::optional<StorePosition>
ReadConfig(const net::HttpHeaders& aHeaders)
{
  const auto generation =
    ReadNumber<StoreGeneration>(aHeaders, kConfigGeneration);
  const auto version = ReadNumber<std::uint64_t>(aHeaders, kConfigVersion);
  if (!generation || !version) {
    return std::nullopt;
  }
  return StorePosition{ *generation, *version };
}

std::optional<relay::CallLease>
ReadLease(const net::HttpHeaders& aHeaders)
{
  const auto id = ReadNumber<relay::PassedOnCallId>(aHeaders, kLease);
  const auto term = ReadDuration(aHeaders, kLeaseTerm);
  if (!id || !term) {
    return std::nullopt;
  }
  return relay::CallLease{ *id, *term };
}

} // namespace

net::HttpRequest
WriteForwarded(const net::ReceivedRequest& aRequest,
               const std::string& aAddress,
               const ForwardedTerms& aTerms)
{
  net::HttpRequest out;
  out.m_method = aRequest.m_method;
  out.m_target = aRequest.m_target;
  out.m_address = aAddress;
  out.m_body = aRequest.m_body;
  out.m_headers = PassableHeaders(aRequest.m_headers);
  const auto set = [&](std::string_view aName, std::string aValue) {
    out.m_headers.Add(std::string(aName), std::move(aValue));
  };
  set(kLeft, std::to_string(aTerms.m_left.count()));
  set(kWaited, std::to_string(aTerms.m_waited.count()));
  if (!aTerms.m_resumeAfter.empty()) {
    set(kResumeAfter, aTerms.m_resumeAfter);
  }
  if (aTerms.m_origin) {
    AddOrigin(out.m_headers, *aTerms.m_origin);
  }
  if (aTerms.m_config) {
    set(kConfigGeneration, std::to_string(aTerms.m_config->m_generation));
    set(kConfigVersion, std::to_string(aTerms.m_config->m_version));
  }
  if (!aTerms.m_attempt.empty()) {
    set(kAttemptField, aTerms.m_attempt);
  }
  if (aTerms.m_lease) {
    set(kLease, std::to_string(aTerms.m_lease->m_id));
    set(kLeaseTerm, std::to_string(aTerms.m_lease->m_term.count()));
  }
  return out;
}

void
AddOrigin(net::HttpHeaders& aHeaders, const streams::StreamOrigin& aOrigin)
{
  // Encoded: both are others' texts, and may hold what ends a header field.
  aHeaders.Add(std::string(kService), net::EncodeUriPart(aOrigin.m_service));
  aHeaders.Add(std::string(kSoftwareVersion),
               net::EncodeUriPart(aOrigin.m_softwareVersion));
}

std::optional<streams::StreamOrigin>
ReadOrigin(const net::HttpHeaders& aHeaders)
{
  const auto service = aHeaders.Find(kService);
  const auto version = aHeaders.Find(kSoftwareVersion);
  if (!service || !version) {
    return std::nullopt;
  }
  return streams::StreamOrigin{ net::DecodeUriPart(*service),
                                net::DecodeUriPart(*version) };
}

std::optional<ForwardedTerms>
ReadForwarded(const net::HttpHeaders& aHeaders)
{
  const auto left = ReadDuration(aHeaders, kLeft);
  const auto waited = ReadDuration(aHeaders, kWaited);
  if (!left || !waited) {
    return std::nullopt;
  }
  return ForwardedTerms{ *left,
                         *waited,
                         std::string(aHeaders.Find(kResumeAfter).value_or("")),
                         ReadOrigin(aHeaders),
                         ReadConfig(aHeaders),
                         ReadLease(aHeaders) };
}

void
MarkDeclined(net::HttpHeaders& aHeaders)
{
  aHeaders.Add(std::string(kDeclined), "1");
}

bool
IsDeclined(const net::HttpHeaders& aHeaders)
{
  return aHeaders.Find(kDeclined).has_value();
}

relay::AttemptGround
ReadInstanceGround(const net::HttpHead& aHead, std::string_view aAttempt)
{
  return relay::GroundOf({ aHead.m_status,
                           IsDeclined(aHead.m_headers),
                           aHead.m_headers.Find(kAttemptField) },
                         aAttempt);
}

} // namespace ridgeferry::entry
