#pragma once

#include <string_view>

namespace ridgeferry {

/**
 * What became of a call, as told to its caller. `NotRun` is a promise: it may
 * only be said where no byte of the call can have reached an upstream, or
 * where the upstream itself said that it did not run it.
 */
enum class Outcome
{
  NotRun,
  MayHaveRun,
  Ran,
};

/** Wire name: `not-run`, `may-have-run` or `ran`. Thread-safe. */
std::string_view
OutcomeName(Outcome aOutcome);

} // namespace ridgeferry
