#include "Connect.h"

#include <arpa/inet.h>
#include <cerrno>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace ridgeferry::net {

bool
BeginConnect(bufferevent* aEvents, const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &address.sin_addr);
  errno = 0;
  bufferevent_socket_connect(
    aEvents, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return errno == ECONNREFUSED;
}

bool
WasRefused(short aEvents)
{
  return (aEvents & BEV_EVENT_ERROR) != 0 &&
         EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
}

} // namespace ridgeferry::net
