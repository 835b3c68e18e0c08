#include "ridgeferry/net/UdpSocket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ridgeferry::net {

namespace {

constexpr std::size_t kMaxDatagram = 65'536;

sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &out.sin_addr);
  return out;
}

} // namespace

struct UdpSocket::Impl
{
  int m_fd = -1;
  event* m_event = nullptr;
  Handler m_handler;
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  std::array<char, kMaxDatagram> m_buffer{};

  Impl() = default;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl()
  {
    if (m_event != nullptr) {
      event_free(m_event);
    }
    if (m_fd >= 0) {
      close(m_fd);
    }
  }

  void ReadAll()
  {
    for (;;) {
      const ssize_t got = recv(m_fd, m_buffer.data(), m_buffer.size(), 0);
      if (got < 0) {
        return;
      }
      m_received += static_cast<std::uint64_t>(got);
      m_handler({ m_buffer.data(), static_cast<std::size_t>(got) });
    }
  }
};

namespace {

void
OnReadable(evutil_socket_t, short, void* aContext)
{
  static_cast<UdpSocket::Impl*>(aContext)->ReadAll();
}

} // namespace

UdpSocket::UdpSocket(std::unique_ptr<Impl> aImpl)
  : m_impl(std::move(aImpl))
{
}

UdpSocket::~UdpSocket() = default;

tl::expected<std::unique_ptr<UdpSocket>, NetError>
UdpSocket::Bind(EventLoop& aLoop, const Address& aAddress, Handler aHandler)
{
  auto impl = std::make_unique<Impl>();
  impl->m_handler = std::move(aHandler);
  impl->m_fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSockaddr(aAddress);
  if (impl->m_fd < 0 || bind(impl->m_fd,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) != 0) {
    return tl::unexpected(
      NetError{ "bind UDP " + aAddress.ToString(), std::strerror(errno) });
  }
  impl->m_event = event_new(
    aLoop.Base(), impl->m_fd, EV_READ | EV_PERSIST, &OnReadable, impl.get());
  event_add(impl->m_event, nullptr);
  return std::make_unique<UdpSocket>(std::move(impl));
}

void
UdpSocket::Send(const Address& aTo, std::string_view aBytes)
{
  const sockaddr_in to = ToSockaddr(aTo);
  const ssize_t sent = sendto(m_impl->m_fd,
                              aBytes.data(),
                              aBytes.size(),
                              0,
                              reinterpret_cast<const sockaddr*>(&to),
                              sizeof(to));
  if (sent > 0) {
    m_impl->m_sent += static_cast<std::uint64_t>(sent);
  }
}

std::uint64_t
UdpSocket::BytesSent() const
{
  return m_impl->m_sent;
}

std::uint64_t
UdpSocket::BytesReceived() const
{
  return m_impl->m_received;
}

} // namespace ridgeferry::net
