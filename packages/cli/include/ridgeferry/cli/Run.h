#pragma once

#include <ridgeferry/cli/Command.h>

namespace ridgeferry::cli {

/** Exit codes of `ridgeferry`, as its help page tells them. */
enum class ExitCode
{
  Ok = 0,
  Failed = 1,      ///< The server refused, or nothing was found.
  Usage = 2,       ///< Wrong arguments or a wrong file; nothing was sent.
  Unreachable = 3, ///< No answer; nothing was changed.
  Unknown = 4,     ///< A change may have been accepted: ask by its id.
  Differs = 5,     ///< `diff` found differences.
};

/** Carries out one command and prints its result. Not thread-safe. */
ExitCode
Run(const Invocation& aInvocation);

} // namespace ridgeferry::cli
