#include "PeerSocket.h"

#include <ridgeferry/protocol/Messages.h>

namespace ridgeferry::entry {

namespace {

template<typename Addresses>
void
SendBytes(net::UdpSocket& aSocket,
          std::string_view aBytes,
          const Addresses& aAddresses)
{
  for (const std::string& text : aAddresses) {
    if (const auto address = net::Address::Parse(text)) {
      aSocket.Send(*address, aBytes);
    }
  }
}

} // namespace

PeerSocket::PeerSocket(EntryNode& aNode)
  : m_node(aNode)
{
}

tl::expected<void, net::NetError>
PeerSocket::Start()
{
  auto socket = net::UdpSocket::Bind(
    *m_node.m_loop, m_node.m_settings.m_peers, [this](std::string_view aBytes) {
      OnDatagram(aBytes);
    });
  if (!socket) {
    return tl::unexpected(socket.error());
  }
  m_socket = std::move(*socket);
  return {};
}

void
PeerSocket::Send(const membership::Heartbeat& aHeartbeat,
                 const std::set<std::string>& aAddresses)
{
  if (!aAddresses.empty()) {
    SendBytes(*m_socket, protocol::Encode(aHeartbeat), aAddresses);
  }
}

void
PeerSocket::Send(const streams::OriginMessage& aMessage,
                 std::span<const std::string> aAddresses)
{
  if (!aAddresses.empty()) {
    SendBytes(*m_socket, protocol::Encode(aMessage), aAddresses);
  }
}

void
PeerSocket::Send(const relay::LeaseRenewal& aRenewal)
{
  SendBytes(*m_socket,
            protocol::EncodeRenewal(aRenewal.m_calls),
            std::span(&aRenewal.m_address, 1));
}

void
PeerSocket::OnDatagram(std::string_view aBytes)
{
  if (const auto heartbeat = protocol::DecodeHeartbeat(aBytes)) {
    m_heartbeat.emit(*heartbeat);
    return;
  }
  if (const auto message = protocol::DecodeOriginMessage(aBytes)) {
    m_origins.emit(*message);
    return;
  }
  if (const auto calls = protocol::DecodeRenewal(aBytes)) {
    m_renewal.emit(*calls);
    return;
  }
  m_node.m_metrics.Count("bad_datagrams_total");
}

} // namespace ridgeferry::entry
