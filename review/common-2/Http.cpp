#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kForever = -1;
constexpr int kConnectMs = 1000;
constexpr int kBacklog = 256;

bool
IsSame(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

sockaddr_in
ToSystem(const std::string& aIp, int aPort)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &out.sin_addr);
  return out;
}

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

std::string
Message::Header(std::string_view aName) const
{
  for (const auto& [name, value] : m_headers) {
    if (IsSame(name, aName)) {
      return value;
    }
  }
  return {};
}

bool
Message::HasHeader(std::string_view aName) const
{
  return std::any_of(
    m_headers.begin(), m_headers.end(), [aName](const auto& aField) {
      return IsSame(aField.first, aName);
    });
}

std::string
Message::Query(std::string_view aName) const
{
  const std::size_t mark = m_target.find('?');
  std::string_view rest = mark == std::string::npos
                            ? std::string_view{}
                            : std::string_view(m_target).substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view item = rest.substr(0, end);
    const std::size_t equals = item.find('=');
    if (equals != std::string_view::npos && item.substr(0, equals) == aName) {
      return std::string(item.substr(equals + 1));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

void
Connection::Close()
{
  if (m_socket >= 0) {
    close(m_socket);
    m_socket = -1;
  }
}

bool
Connection::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool
Connection::IsClosed() const
{
  char byte = 0;
  const ssize_t got = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN);
}

bool
Connection::Fill(int aTimeoutMs)
{
  pollfd wait{ m_socket, POLLIN, 0 };
  if (poll(&wait, 1, aTimeoutMs) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t got = recv(m_socket, bytes, sizeof(bytes), 0);
  if (got <= 0) {
    return false;
  }
  m_buffer.append(bytes, static_cast<std::size_t>(got));
  return true;
}

std::optional<std::string>
Connection::ReadLine(int aTimeoutMs)
{
  for (;;) {
    const std::size_t end = m_buffer.find("\r\n");
    if (end != std::string::npos) {
      std::string line = m_buffer.substr(0, end);
      m_buffer.erase(0, end + 2);
      return line;
    }
    if (!Fill(aTimeoutMs)) {
      return std::nullopt;
    }
  }
}

bool
Connection::ReadBytes(std::size_t aCount, std::string& aOut, int aTimeoutMs)
{
  while (m_buffer.size() < aCount) {
    if (!Fill(aTimeoutMs)) {
      return false;
    }
  }
  aOut += m_buffer.substr(0, aCount);
  m_buffer.erase(0, aCount);
  return true;
}

bool
Connection::ReadRest(Message& aMessage, bool aIsRequest, int aTimeoutMs)
{
  for (;;) {
    const auto line = ReadLine(aTimeoutMs);
    if (!line) {
      return false;
    }
    if (line->empty()) {
      break;
    }
    const std::size_t colon = std::min(line->find(':'), line->size());
    const std::size_t value =
      std::min(line->find_first_not_of(" \t", colon + 1), line->size());
    aMessage.m_headers.emplace_back(line->substr(0, colon),
                                    line->substr(value));
  }
  if (IsSame(aMessage.Header("Transfer-Encoding"), "chunked")) {
    for (;;) {
      const auto size = ReadLine(aTimeoutMs);
      if (!size) {
        return false;
      }
      const std::size_t count = std::stoul(*size, nullptr, 16);
      std::string end;
      if (!ReadBytes(count, aMessage.m_body, aTimeoutMs) ||
          !ReadBytes(2, end, aTimeoutMs)) {
        return false;
      }
      if (count == 0) {
        return true;
      }
    }
  }
  if (aMessage.HasHeader("Content-Length")) {
    return ReadBytes(std::stoul(aMessage.Header("Content-Length")),
                     aMessage.m_body,
                     aTimeoutMs);
  }
  if (!aIsRequest) {
    while (Fill(aTimeoutMs)) {
    }
    aMessage.m_body = std::exchange(m_buffer, {});
  }
  return true;
}

std::optional<Message>
Connection::ReadRequest()
{
  const auto line = ReadLine(kForever);
  if (!line) {
    return std::nullopt;
  }
  Message out;
  const std::size_t first = line->find(' ');
  const std::size_t last = line->rfind(' ');
  if (first == std::string::npos || last <= first) {
    return std::nullopt;
  }
  out.m_method = line->substr(0, first);
  out.m_target = line->substr(first + 1, last - first - 1);
  return ReadRest(out, true, kForever) ? std::optional(out) : std::nullopt;
}

std::optional<Message>
Connection::ReadResponse(int aTimeoutMs)
{
  const auto line = ReadLine(aTimeoutMs);
  const std::size_t space = line ? line->find(' ') : std::string::npos;
  if (space == std::string::npos) {
    return std::nullopt;
  }
  Message out;
  out.m_status = std::atoi(line->c_str() + space);
  return ReadRest(out, false, aTimeoutMs) ? std::optional(out) : std::nullopt;
}

std::unique_ptr<Connection>
Connect(const std::string& aAddress)
{
  const std::size_t colon = aAddress.find(':');
  const sockaddr_in to = ToSystem(aAddress.substr(0, colon),
                                  std::atoi(aAddress.c_str() + colon + 1));
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval most{ kConnectMs / 1000, 0 };
  setsockopt(made, SOL_SOCKET, SO_SNDTIMEO, &most, sizeof(most));
  if (connect(made, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(made);
    return nullptr;
  }
  SetNoDelay(made);
  return std::make_unique<Connection>(made);
}

std::optional<Message>
Ask(const std::string& aAddress, std::string_view aRequest, int aTimeoutMs)
{
  const auto connection = Connect(aAddress);
  if (connection == nullptr || !connection->Send(aRequest)) {
    return std::nullopt;
  }
  return connection->ReadResponse(aTimeoutMs);
}

Server::Server(const std::string& aIp, Handler aHandler)
  : m_handler(std::move(aHandler))
  , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address = ToSystem(aIp, 0);
  socklen_t size = sizeof(address);
  (void)bind(m_socket, reinterpret_cast<const sockaddr*>(&address), size);
  listen(m_socket, kBacklog);
  getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
  m_address = aIp + ":" + std::to_string(ntohs(address.sin_port));
  m_thread = std::thread([this] { Accept(); });
}

Server::~Server()
{
  m_ends = true;
  shutdown(m_socket, SHUT_RDWR);
  m_thread.join();
  close(m_socket);
}

void
Server::Accept()
{
  while (!m_ends) {
    const int taken = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (taken < 0) {
      continue;
    }
    SetNoDelay(taken);
    // Detached: the process ends at once when its scenario is over.
    std::thread([this, taken] {
      Connection connection(taken);
      while (const auto request = connection.ReadRequest()) {
        if (!m_handler(*request, connection)) {
          return;
        }
      }
    }).detach();
  }
}

std::string
Response(int aStatus,
         std::string_view aBody,
         const std::vector<std::pair<std::string, std::string>>& aHeaders)
{
  std::string out = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    out += name + ": " + value + "\r\n";
  }
  out += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return out.append(aBody);
}

} // namespace review
