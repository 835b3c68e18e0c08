#include "FreePorts.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ridgeferry::net {

namespace {

constexpr int kFirstPort = 12'000;
constexpr int kPorts = 18'000; // Below the range of outgoing connections.
/** Programs that run side by side begin far from each other. */
constexpr int kApart = 97;

bool
PortIsFree(int aPort, int aType)
{
  const int fd = socket(AF_INET, aType, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  const bool free =
    bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

} // namespace

FreePorts::FreePorts()
  : m_next(kFirstPort + static_cast<int>(getpid()) * kApart % kPorts)
{
}

std::string
FreePorts::NewAddress()
{
  do {
    m_next = kFirstPort + (m_next - kFirstPort + 1) % kPorts;
  } while (!PortIsFree(m_next, SOCK_STREAM) || !PortIsFree(m_next, SOCK_DGRAM));
  return "127.0.0.1:" + std::to_string(m_next);
}

} // namespace ridgeferry::net
