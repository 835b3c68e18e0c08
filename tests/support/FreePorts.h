#pragma once

#include <string>

namespace ridgeferry::net {

/** Finds addresses on the loopback interface that no socket is bound to, below
 * the range of outgoing connections, which could take them meanwhile. */
class FreePorts
{
public:
  FreePorts();

  /** IP:PORT, free for TCP and UDP; another one at each call. */
  std::string NewAddress();

private:
  int m_next;
};

} // namespace ridgeferry::net
