#pragma once

#include <memory>
#include <ridgeferry/net/Address.h>
#include <ridgeferry/net/EventLoop.h>
#include <ridgeferry/net/NetError.h>
#include <sigc++/sigc++.h>
#include <string_view>
#include <tl/expected.hpp>

namespace ridgeferry::net {

/** Sends and receives datagrams. Losses are not reported. Not thread-safe. */
class UdpSocket
{
public:
  /** Called with the bytes of each datagram. */
  using Handler = sigc::slot<void(std::string_view)>;

  static tl::expected<std::unique_ptr<UdpSocket>, NetError>
  Bind(EventLoop& aLoop, const Address& aAddress, Handler aHandler);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  void Send(const Address& aTo, std::string_view aBytes);

  /** Bytes sent and received so far, without the headers below UDP. */
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

  struct Impl;
  explicit UdpSocket(std::unique_ptr<Impl> aImpl);

private:
  std::unique_ptr<Impl> m_impl;
};

} // namespace ridgeferry::net
