#include "RawPeer.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ridgeferry::net {

namespace {

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(aPort);
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

} // namespace

RawPeer::~RawPeer()
{
  Close();
}

RawPeer
RawPeer::Connect(const Address& aAddress)
{
  const int made = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(aAddress.m_port);
  // A listening socket's queue takes it at once, whether it is read or not.
  (void)connect(
    made, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return RawPeer(made);
}

void
RawPeer::Send(std::string_view aBytes) const
{
  (void)send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
}

std::size_t
RawPeer::SendSome(std::string_view aBytes) const
{
  const ssize_t sent =
    send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

void
RawPeer::Poll()
{
  std::array<char, 4096> bytes{};
  while (m_socket >= 0 && !m_closed) {
    const ssize_t got =
      recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (got > 0) {
      m_received.append(bytes.data(), static_cast<std::size_t>(got));
    } else {
      m_closed = got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      m_reset = got < 0 && errno == ECONNRESET;
      return;
    }
  }
}

void
RawPeer::Reset()
{
  const linger now{ 1, 0 };
  setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

void
RawPeer::Close()
{
  if (m_socket >= 0) {
    close(m_socket);
    m_socket = -1;
  }
}

RawListener::RawListener()
  : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
  const sockaddr_in address = Loopback(0);
  (void)bind(
    m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  constexpr int kQueue = 16;
  (void)listen(m_socket, kQueue);
}

RawListener::~RawListener()
{
  close(m_socket);
}

Address
RawListener::Bound() const
{
  sockaddr_in actual{};
  socklen_t length = sizeof(actual);
  getsockname(m_socket, reinterpret_cast<sockaddr*>(&actual), &length);
  return { "127.0.0.1", ntohs(actual.sin_port) };
}

RawPeer
RawListener::Accept() const
{
  const int accepted = accept(m_socket, nullptr, nullptr);
  return accepted < 0 ? RawPeer() : RawPeer(accepted);
}

} // namespace ridgeferry::net
