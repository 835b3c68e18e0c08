#include "Codec.h"
#include "ridgeferry_types.h"

namespace ridgeferry::protocol {

std::string
EncodeRenewal(std::span<const relay::PassedOnCallId> aCalls)
{
  wire::LeaseRenewal out;
  for (const relay::PassedOnCallId id : aCalls) {
    out.calls.push_back(static_cast<std::int64_t>(id));
  }
  return Write(out);
}

tl::expected<std::vector<relay::PassedOnCallId>, DecodeError>
DecodeRenewal(std::string_view aBytes)
{
  const auto in = Read<wire::LeaseRenewal>(aBytes);
  if (!in) {
    return tl::unexpected(in.error());
  }
  std::vector<relay::PassedOnCallId> out;
  for (const std::int64_t id : in->calls) {
    out.push_back(static_cast<relay::PassedOnCallId>(id));
  }
  return out;
}

} // namespace ridgeferry::protocol
