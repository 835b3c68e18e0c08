#pragma once

#include <chrono>

namespace ridgeferry {

/** All durations of the decision packages, in milliseconds. */
using Duration = std::chrono::milliseconds;

/**
 * The process's own monotonic clock. Decisions receive instants as arguments
 * and never read a clock; instants of two processes are never compared.
 */
struct MonotonicClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;
};

using Instant = MonotonicClock::time_point;

/** Wall-clock milliseconds since the epoch: for people and declared events. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

} // namespace ridgeferry
