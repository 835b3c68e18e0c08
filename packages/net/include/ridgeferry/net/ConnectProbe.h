#pragma once

#include <cstdint>
#include <memory>
#include <ridgeferry/net/Address.h>
#include <ridgeferry/net/EventLoop.h>
#include <sigc++/sigc++.h>

namespace ridgeferry::net {

/** What a new connection to an address meets. */
enum class Reach : std::uint8_t
{
  Taken,   ///< Somebody takes connections there.
  Refused, ///< The machine answers, and nobody listens.
  Unknown, ///< No answer in time, or no way there.
};

/**
 * Opens one connection, sends nothing on it, closes it and tells what it met,
 * once, from the loop. Destroying it cancels. Not thread-safe.
 */
class ConnectProbe
{
public:
  ConnectProbe(EventLoop& aLoop,
               const Address& aAddress,
               Duration aTimeout,
               sigc::slot<void(Reach)> aDone);
  ~ConnectProbe();
  ConnectProbe(const ConnectProbe&) = delete;
  ConnectProbe& operator=(const ConnectProbe&) = delete;

  struct Impl;

private:
  std::unique_ptr<Impl> m_impl;
};

} // namespace ridgeferry::net
