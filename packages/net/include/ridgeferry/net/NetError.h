#pragma once

#include <string>

namespace ridgeferry::net {

/** Why something of the network could not be set up. */
struct NetError
{
  std::string m_what;  ///< What was tried, such as `listen on 127.0.0.1:80`.
  std::string m_cause; ///< The system's reason.
};

} // namespace ridgeferry::net
