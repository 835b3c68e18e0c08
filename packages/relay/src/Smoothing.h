#pragma once

#include <algorithm>

namespace ridgeferry::relay {

/**
 * Returns the mean of about the last `aMemory` samples after adding `aSample`
 * to `aMean`. The first `aMemory` samples all have the same weight. `aCount` is
 * the number of samples so far; this function increments it up to `aMemory`.
 */
inline double
Blend(double aMean, double aSample, int& aCount, int aMemory)
{
  aCount = std::min(aCount + 1, aMemory);
  return aMean + (aSample - aMean) / aCount;
}

} // namespace ridgeferry::relay
