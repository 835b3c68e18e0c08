#pragma once

#include <cstdint>
#include <ridgeferry/net/Address.h>
#include <string>
#include <string_view>
#include <utility>

namespace ridgeferry::net {

/** A plain socket of a test: it sends any bytes and sees all that comes. */
class RawPeer
{
public:
  RawPeer() = default;
  explicit RawPeer(int aSocket)
    : m_socket(aSocket)
  {
  }
  ~RawPeer();
  RawPeer(RawPeer&& aOther) noexcept
    : m_socket(std::exchange(aOther.m_socket, -1))
    , m_received(std::move(aOther.m_received))
    , m_closed(aOther.m_closed)
    , m_reset(aOther.m_reset)
  {
  }
  RawPeer& operator=(RawPeer&& aOther) noexcept
  {
    std::swap(m_socket, aOther.m_socket);
    std::swap(m_received, aOther.m_received);
    std::swap(m_closed, aOther.m_closed);
    std::swap(m_reset, aOther.m_reset);
    return *this;
  }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  static RawPeer Connect(const Address& aAddress);

  void Send(std::string_view aBytes) const;
  /** Sends what the system takes now, and returns how many bytes that were. */
  std::size_t SendSome(std::string_view aBytes) const;
  /** Takes what has come; never waits. */
  void Poll();
  const std::string& Received() const { return m_received; }
  bool IsClosed() const { return m_closed; }
  /** Whether the other side ended it with a reset. */
  bool IsReset() const { return m_reset; }
  bool IsOpen() const { return m_socket >= 0; }
  /** Ends it with a reset in place of an ordinary close. */
  void Reset();
  void Close();

private:
  int m_socket = -1;
  std::string m_received;
  bool m_closed = false;
  bool m_reset = false;
};

/** A plain listening socket of a test. */
class RawListener
{
public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  Address Bound() const;
  /** A connection that has come; not open if none has. Never waits. */
  RawPeer Accept() const;

private:
  int m_socket;
};

} // namespace ridgeferry::net
