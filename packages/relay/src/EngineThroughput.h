#pragma once

#include <ridgeferry/relay/Fleet.h>

namespace ridgeferry::relay {

/**
 * Minimum time to a first token, in ms, even of a short prompt: network round
 * trips, decode steps, and the other calls that the engine handles in the same
 * step.
 */
inline constexpr double kFirstTokenMs = 15;
/**
 * Prefill throughput that is assumed of a prefill engine and of a decode engine
 * until a sample was measured, in tokens per ms. The values are those of
 * current engines.
 */
inline constexpr double kPrefillThroughput = 250;
inline constexpr double kDecodeThroughput = 125;

/** Decode engines prefill at half the speed of prefill engines. */
inline constexpr double kDecodeEnginePrefillCost = 2.0;

/**
 * Returns the prefill throughput assumed for an engine of that role until a
 * sample was measured, in tokens per ms.
 */
inline double
DefaultThroughput(UpstreamRole aPart)
{
  return aPart == UpstreamRole::Decode ? kDecodeThroughput : kPrefillThroughput;
}

} // namespace ridgeferry::relay
