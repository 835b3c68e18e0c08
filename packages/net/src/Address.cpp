#include "ridgeferry/net/Address.h"

#include <arpa/inet.h>
#include <charconv>

namespace ridgeferry::net {

std::optional<Address>
Address::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Address address;
  address.m_ip = aText.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, address.m_ip.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  const std::string_view port = aText.substr(colon + 1);
  const auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), address.m_port);
  if (error != std::errc{} || end != port.data() + port.size()) {
    return std::nullopt;
  }
  return address;
}

std::string
Address::ToString() const
{
  return m_ip + ":" + std::to_string(m_port);
}

} // namespace ridgeferry::net
