#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ridgeferry::net {

/** An IPv4 address and port. Thread-safe. */
struct Address
{
  std::string m_ip;
  std::uint16_t m_port = 0;

  /** Reads `IP:PORT`; nothing if it is none. Port 0 is allowed. */
  static std::optional<Address> Parse(std::string_view aText);
  std::string ToString() const;
  bool operator==(const Address&) const = default;
};

} // namespace ridgeferry::net
