#pragma once

#include <cstddef>
#include <cstdint>
#include <rapidcheck.h>
#include <vector>

namespace ridgeferry::support {

/**
 * A schedule of a test in virtual time: numbers that the test turns into
 * steps. RapidCheck makes it longer and shorter, and prints the shortest one
 * that fails; the same numbers always play the same run.
 */
using Schedule = std::vector<std::uint32_t>;

/** A schedule of `aLength` steps. */
inline rc::Gen<Schedule>
AnySchedule(std::size_t aLength)
{
  // The full range whatever the size of the case: small numbers would all
  // choose alike.
  constexpr int kFullRange = 1000;
  return rc::gen::container<Schedule>(
    aLength,
    rc::gen::noShrink(
      rc::gen::resize(kFullRange, rc::gen::arbitrary<std::uint32_t>())));
}

/** Takes small choices out of one number of a schedule. */
class Chooser
{
public:
  explicit Chooser(std::uint32_t aNumber)
    : m_rest(aNumber)
  {
  }

  /** A number below `aBound`; 0 if there is no choice. */
  std::size_t Below(std::size_t aBound)
  {
    if (aBound < 2) {
      return 0;
    }
    // A full-period step between choices: small numbers choose freely too.
    m_rest = m_rest * 1664525U + 1013904223U;
    return (m_rest >> 8U) % aBound;
  }
  bool OneIn(std::size_t aBound) { return Below(aBound) == 0; }

private:
  std::uint32_t m_rest;
};

} // namespace ridgeferry::support
