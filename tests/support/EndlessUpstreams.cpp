#include "EndlessUpstreams.h"

#include <utility>

namespace ridgeferry::net {

namespace {

constexpr Duration kServeEvery{ 1 };
/** What is sent in one turn, so that the loop gets on with its other work. */
constexpr std::size_t kPiece = std::size_t{ 64 } * 1024;

/** Returns the value of a header of the last request in the bytes. */
std::string
LastValue(std::string_view aBytes, std::string_view aName)
{
  const std::size_t at = aBytes.rfind(aName);
  if (at == std::string_view::npos) {
    return {};
  }
  const std::size_t begin = at + aName.size();
  return std::string(aBytes.substr(begin, aBytes.find("\r\n", begin) - begin));
}

} // namespace

EndlessUpstreams::EndlessUpstreams(EventLoop& aLoop, std::size_t aCount)
  : m_listeners(aCount)
  , m_serve(aLoop.Every(kServeEvery, [this] { Serve(); }))
{
}

void
EndlessUpstreams::Serve()
{
  for (RawListener& listener : m_listeners) {
    if (RawPeer peer = listener.Accept(); peer.IsOpen()) {
      m_connections.emplace_back().m_peer = std::move(peer);
    }
  }
  for (Connection& connection : m_connections) {
    if (connection.m_peer.IsOpen()) {
      Serve(connection);
    }
  }
}

void
EndlessUpstreams::Serve(Connection& aConnection) const
{
  aConnection.m_peer.Poll();
  if (aConnection.m_peer.IsClosed()) {
    aConnection.m_peer.Close();
    return;
  }
  if (aConnection.m_isEndless) {
    while (aConnection.m_next.size() < kPiece) {
      aConnection.m_next += aConnection.m_repeat;
    }
    aConnection.m_next.erase(0,
                             aConnection.m_peer.SendSome(aConnection.m_next));
    return;
  }
  const std::string& got = aConnection.m_peer.Received();
  if (got.size() == aConnection.m_answered || !got.ends_with("body")) {
    return;
  }
  const std::string id =
    "X-Request-Id: " + LastValue(got, "X-Request-Id: ") + "\r\n";
  aConnection.m_isEndless =
    got.find(kPath, aConnection.m_answered) != std::string::npos;
  aConnection.m_answered = got.size();
  if (aConnection.m_isEndless) {
    aConnection.m_next = m_answer.m_begin;
    const std::size_t line = aConnection.m_next.find("\r\n");
    if (line != std::string::npos) {
      aConnection.m_next.insert(line + 2, id);
    }
    aConnection.m_repeat = m_answer.m_repeat;
  } else {
    aConnection.m_peer.Send("HTTP/1.1 200 OK\r\n" + id +
                            "X-Server-Stamp: stamp\r\n"
                            "Content-Length: 2\r\n\r\nab");
  }
}

} // namespace ridgeferry::net
