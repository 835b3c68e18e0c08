#pragma once

#include <ridgeferry/relay/Fleet.h>

namespace ridgeferry::relay {

/** What a first token takes however short its prompt is, in ms: ways, steps and
 * the other calls of a step. */
inline constexpr double kFirstTokenMs = 15;
/** Paces until one was seen, in tokens a ms: of engines of today's kind. */
inline constexpr double kPrefillPace = 250;
inline constexpr double kGeneratePace = 125;

/** An engine that generates reads prompts at half the pace. */
inline constexpr double kGenerateReadCost = 2.0;

/** The pace that is taken for an engine of that part until one was seen. */
inline double
UnseenPace(Part aPart)
{
  return aPart == Part::Generate ? kGeneratePace : kPrefillPace;
}

} // namespace ridgeferry::relay
