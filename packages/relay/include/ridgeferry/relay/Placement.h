#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/relay/Prompt.h>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace ridgeferry::relay {

/** A call that needs an upstream, as input to `Fleet::FindPlace`. */
struct PlaceRequest
{
  std::string_view m_service;
  std::string_view m_dataCentre;  ///< Data centre of this instance.
  std::optional<Prompt> m_prompt; ///< Empty for a call to a plain service.
  /** Ids of upstreams that must not be chosen. */
  std::span<const std::string> m_excluded;
  /** Maximum number of connections from this instance to one upstream. */
  std::int64_t m_mostOpen = std::numeric_limits<std::int64_t>::max();
  /** The service has calls more urgent than this one, which use the room that
   * limited upstreams have first. */
  bool m_yieldsToUrgent = false;
  /** Whether the call may find out if a member on probation responds again. A
   * call that may not be repeated would be lost if it does not. */
  bool m_mayProbe = true;
  /**
   * If set, only upstreams that run this version of their software may get the
   * call: it goes on with a stream that this version began, and what two
   * versions write does not fit together.
   */
  std::optional<std::string_view> m_softwareVersion = {};
  std::uint64_t m_random = 0; ///< Breaks ties and draws candidates.
  /** The mean prompt of this kind of call; empty to use the prompt itself. */
  std::optional<Prompt> m_typical = {};
  /**
   * Admission bound: the call is refused if the first token of a typical prompt
   * would arrive later than this.
   */
  Duration m_admissionBound = Duration::max();
  /**
   * Whether the call may be admitted only because its prompt is smaller than a
   * typical one; see `SizeAllowance`.
   */
  bool m_mayPassForItsSize = false;
  /**
   * The longest pause between two events for which the answer still counts as
   * being in time; 0 if unknown.
   */
  Duration m_pause{};
  /**
   * The shortest first-token target of all prompts of the service; 0 if
   * unknown.
   */
  Duration m_shortestAim{};
  /**
   * Speed of a KV transfer between two engines, in tokens per millisecond; 0 if
   * engines do not fetch from each other.
   */
  double m_movedPerMs = 0;
  /**
   * How long the caller will still wait for the first token. If the service
   * does not allow colocated prefill, a prompt that misses its target is still
   * placed as long as it fits in this time.
   */
  Duration m_left = Duration::max();
  /**
   * Time until the caller gives up if nothing has arrived. The prompt's own
   * prefill must fit in this time.
   */
  Duration m_untilGivenUp = Duration::max();
};

/**
 * The estimated time to a prompt's first token at an engine, split into waiting
 * and the prompt's own prefill, in milliseconds.
 */
struct Expectation
{
  double m_waitMs = 0; ///< Work queued ahead, and network round trips.
  double m_ownMs = 0;  ///< Prefill of the prompt itself.
};

struct Place
{
  std::string m_upstream;
  /** Engine that prefills the prompt; empty if `m_upstream` does. */
  std::string m_prefillEngine;
  /**
   * For a prompt, the estimated time to its first token, in milliseconds. The
   * estimate uses only loads and throughput, without the correction learned
   * from `NoteFirstToken`.
   */
  double m_expectedMs = 0;
  /**
   * Engine from which the prefill engine fetches the cached prefix tokens that
   * it lacks. If empty, the prefill engine computes them itself.
   */
  std::string m_fetchFrom = {};
  /** Work that the prefill engine has to do; see `Fleet::WorkOf`. */
  std::int64_t m_work = 0;
  /**
   * Whether the prompt misses its first-token target. The engine should queue
   * it behind prompts that can still meet theirs.
   */
  bool m_late = false;
  /**
   * Whether the call was admitted only for its small size: a typical prompt of
   * its kind would have been refused.
   */
  bool m_forItsSize = false;
};

/** Why a call has no place. */
enum class NoPlaceCause : std::uint8_t
{
  /**
   * No upstream of the service may get the call: none is listed; all are
   * leaving, ejected, excluded or changing roles; or no engine could decode the
   * output.
   */
  NoneSound,
  Full, ///< Every upstream that may get the call has too much queued or too
        ///< many connections open.
  /**
   * No engine, even an idle one, could prefill it before the caller gives up.
   */
  TooLarge,
  /**
   * Every upstream that may get the call states a limit, and this instance's
   * share of all of them is used up.
   */
  Limited,
  /** Every upstream that may get the call wants no requests from this instance
   * for a while. */
  BackingOff,
  /** No upstream that is listed and not leaving runs the software version that
   * the call needs. */
  VersionGone,
};

struct PlaceFault
{
  NoPlaceCause m_cause = NoPlaceCause::NoneSound;
  /** For `Full`, `Limited` and `BackingOff`, the time after which there should
   * be room. */
  Duration m_roomIn{};
  /**
   * For a prompt and any cause but `NoneSound`, the estimate that led to the
   * refusal, at the engine that would have been soonest. `m_ownMs` is that of a
   * typical prompt, unless the prompt itself is too large.
   */
  Expectation m_expected = {};
  /** The bound that the estimate exceeded, in milliseconds. */
  double m_boundMs = 0;
};

/**
 * The result for a prompt that will miss its first-token target in any case,
 * but for which there will be room before its caller gives up. The call should
 * be placed again later, so that it takes no capacity from prompts that can
 * still meet their targets.
 */
struct PlaceLater
{};

using PlaceResult = std::variant<Place, PlaceFault, PlaceLater>;

} // namespace ridgeferry::relay
