#pragma once

#include <cstdint>

namespace ridgeferry::relay {

/** How an attempt ended, for what is known of its upstream. */
enum class AttemptEnd : std::uint8_t
{
  Served,
  Failed,    ///< Broken off, an error of its own, or out of reach.
  Declined,  ///< It said that it did not run it.
  Displaced, ///< Another upstream answers at its address.
  Abandoned, ///< Ended from this side.
};

} // namespace ridgeferry::relay
