#pragma once

#include <cstdint>

namespace ridgeferry::relay {

/** How an attempt ended, as seen by the bookkeeping about its upstream (health,
 * load). */
enum class AttemptEnd : std::uint8_t
{
  Served,      ///< The upstream gave a complete answer.
  Failed,      ///< The connection broke, the upstream answered with an error
               ///< of its own, or it could not be reached.
  Declined,    ///< The upstream reported that it did not run the attempt.
  Misdirected, ///< Another upstream answered at the address.
  Abandoned,   ///< This instance cancelled the attempt.
};

} // namespace ridgeferry::relay
