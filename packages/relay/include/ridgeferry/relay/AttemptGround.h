#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

// What is known of whether a call has run, by how an attempt of it ended. All
// that the system says about "not run" rests on this file.

namespace ridgeferry::relay {

/** What an attempt's end rests on. */
enum class AttemptGround : std::uint8_t
{
  None,         ///< It has not ended, or was ended on this side.
  NotListed,    ///< Its upstream or instance is not known any more.
  NotConnected, ///< No connection came about in time.
  Refused,      ///< Nobody listens at the address.
  /** The upstream says so by a mark that nothing in its answer contradicts. */
  Marked,
  /** The upstream says so by a status: another one has the address. */
  Misdirected,
  /** The upstream says so in an answer that contradicts itself. */
  Contradicted,
  /** Another instance has not run the call, and a third one may. */
  DeclinedByInstance,
  /** Another instance has refused the call for now. */
  RefusedByInstance,
  /** A refusal on a connection to another instance that does not name the
   * attempt: whose it is, and of which call, is not known. */
  UnnamedRefusal,
  /** An answer that names another attempt: it is not this one's. */
  OtherAttempt,
  Prefilled, ///< An engine has read the prompt, as it was asked to.
  /** An engine that was asked to read the prompt has answered as if it had run
   * the call. */
  RanForPrefill,
  NoAnswer, ///< The connection ended without a head.
  Answered,
};

/** Returns a stable name, for logs and metrics. */
std::string_view
NameOf(AttemptGround aGround);

/** Returns whether a call has certainly not run in an attempt that ended so,
 * and never will. A prefill is no run. */
bool
ShowsNotRun(AttemptGround aGround);

/** Returns whether the status tells a caller that its call has not run. */
bool
PromisesNotRun(int aStatus);

/** The head of an answer on a connection to another instance. */
struct InstanceAnswer
{
  int m_status = 0;
  bool m_isDeclined = false;
  /** The attempt that it names; std::nullopt if it names none. */
  std::optional<std::string_view> m_attempt;
};

/** Returns what the answer shows of the attempt that was sent as `aAttempt`.
 * Precondition: `aAttempt` is not empty. */
AttemptGround
GroundOf(const InstanceAnswer& aAnswer, std::string_view aAttempt);

/** A whole answer to a request to read a prompt. */
struct PrefillAnswer
{
  bool m_hasHandle = false;
  bool m_tellsOfARun = false; ///< It holds what only a run makes.
};

AttemptGround
GroundOf(const PrefillAnswer& aAnswer);

} // namespace ridgeferry::relay
