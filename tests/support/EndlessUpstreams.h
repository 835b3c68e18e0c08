#pragma once

#include "RawPeer.h"

#include <cstddef>
#include <ridgeferry/net/EventLoop.h>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::net {

/** Bytes that do not end: the second part is sent again and again. */
struct EndlessBytes
{
  std::string m_begin;
  std::string m_repeat;
};

/**
 * Upstreams of a test that answer requests with the body `body` for the path
 * `kPath` with bytes without end, and all others at once with the body `ab`.
 */
class EndlessUpstreams
{
public:
  static constexpr const char* kPath = "/p/endless";

  /** `aCount`: of addresses that they listen on. */
  EndlessUpstreams(EventLoop& aLoop, std::size_t aCount);

  Address AddressOf(std::size_t aIndex) const
  {
    return m_listeners[aIndex].Bound();
  }
  /** Holds from the next request on. */
  void SetAnswer(EndlessBytes aAnswer) { m_answer = std::move(aAnswer); }

private:
  /** One connection of a caller. */
  struct Connection
  {
    RawPeer m_peer;
    std::size_t m_answered = 0; ///< Bytes of requests that were answered.
    bool m_isEndless = false;
    std::string m_next;
    std::string m_repeat;
  };

  void Serve();
  void Serve(Connection& aConnection) const;

  std::vector<RawListener> m_listeners;
  std::vector<Connection> m_connections;
  EndlessBytes m_answer;
  Watch m_serve;
};

} // namespace ridgeferry::net
