#include "Sockets.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr std::size_t kPiece = 65536;
constexpr int kBacklog = 512;
/** Longest that a read may wait, in seconds: longer than any case's calls. */
constexpr int kLongestRead = 60;

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(aPort));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

int
BoundPort(int aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::string
Trimmed(const std::string& aText)
{
  const std::size_t first = aText.find_first_not_of(" \t");
  if (first == std::string::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aSign) {
      return static_cast<char>(std::tolower(aSign));
    });
  return aText;
}

} // namespace

std::string
HttpReader::Head::Field(const std::string& aName) const
{
  const auto found = m_fields.find(aName);
  return found == m_fields.end() ? std::string() : found->second;
}

std::size_t
HttpReader::Head::Length() const
{
  return std::strtoull(Field("content-length").c_str(), nullptr, 10);
}

int
HttpReader::Head::Status() const
{
  const std::size_t blank = m_first.find(' ');
  return blank == std::string::npos ? 0 : std::atoi(&m_first[blank + 1]);
}

bool
HttpReader::Fill()
{
  std::array<char, kPiece> piece{};
  const ssize_t got = recv(m_socket, piece.data(), piece.size(), 0);
  if (got <= 0) {
    return false;
  }
  m_ahead.append(piece.data(), static_cast<std::size_t>(got));
  return true;
}

std::optional<HttpReader::Head>
HttpReader::ReadHead()
{
  std::size_t end = m_ahead.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return std::nullopt;
    }
    end = m_ahead.find("\r\n\r\n");
  }
  Head out;
  std::size_t begin = 0;
  while (begin < end) {
    const std::size_t lineEnd = std::min(m_ahead.find("\r\n", begin), end);
    const std::string line = m_ahead.substr(begin, lineEnd - begin);
    const std::size_t colon = line.find(':');
    if (begin == 0) {
      out.m_first = line;
    } else if (colon != std::string::npos) {
      out.m_fields[Lower(line.substr(0, colon))] =
        Trimmed(line.substr(colon + 1));
    }
    begin = lineEnd + 2;
  }
  m_ahead.erase(0, end + 4);
  return out;
}

std::optional<std::string>
HttpReader::ReadBytes(std::size_t aCount)
{
  while (m_ahead.size() < aCount) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  std::string out = m_ahead.substr(0, aCount);
  m_ahead.erase(0, aCount);
  return out;
}

std::size_t
HttpReader::TakeAhead(std::size_t aMost)
{
  const std::size_t taken = std::min(aMost, m_ahead.size());
  m_ahead.erase(0, taken);
  return taken;
}

bool
WriteAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t more =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (more <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(more);
  }
  return true;
}

int
ConnectTo(int aPort)
{
  const int out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  const timeval longest{ kLongestRead, 0 };
  setsockopt(out, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof(longest));
  if (connect(out,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(out);
    return -1;
  }
  const int on = 1;
  setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return out;
}

void
Reset(int aSocket)
{
  const linger value{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
  close(aSocket);
}

int
FreePort()
{
  // The system may give a port again before its process listens there.
  static std::set<int> given;
  for (;;) {
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(0);
    (void)bind(
      probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    const int port = BoundPort(probe);
    close(probe);
    if (given.insert(port).second) {
      return port;
    }
  }
}

Listener::Listener(std::function<void(int)> aServe, int aReceiveBuffer)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(
      listener, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
  }
  const sockaddr_in address = Loopback(0);
  (void)bind(
    listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  listen(listener, kBacklog);
  m_port = BoundPort(listener);
  std::thread([listener, serve = std::move(aServe)] {
    for (;;) {
      const int taken = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (taken < 0) {
        continue;
      }
      std::thread([serve, taken] {
        serve(taken);
        close(taken);
      }).detach();
    }
  }).detach();
}

} // namespace review
