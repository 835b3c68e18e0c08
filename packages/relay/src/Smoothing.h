#pragma once

#include <algorithm>

namespace ridgeferry::relay {

/**
 * The mean of about the last `aMemory` samples, each of the first ones with its
 * full part in it. `aCount`: samples so far, counted here up to `aMemory`.
 */
inline double
Blend(double aMean, double aSample, int& aCount, int aMemory)
{
  aCount = std::min(aCount + 1, aMemory);
  return aMean + (aSample - aMean) / aCount;
}

} // namespace ridgeferry::relay
