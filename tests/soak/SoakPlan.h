#pragma once

#include <cstdint>
#include <ridgeferry/base/Time.h>
#include <string>
#include <vector>

namespace ridgeferry::soak {

enum class FaultKind
{
  KillInstance,  ///< And start it again.
  PauseInstance, ///< Stopped by a signal, then continued.
  StopInstance,  ///< A planned stop, then a new start.
  ReloadInstance,
  StoreDown,        ///< It answers all calls with a failure.
  StoreForgets,     ///< Its history.
  StoreLinkHeld,    ///< Between one instance and the store, and so on.
  StoreLinkAnswers, ///< Calls arrive, their answers do not.
  StoreLinkDelayed,
  StoreLinkReset,
  StoreLinkSilent, ///< Open connections for good; new ones work.
  StoreLinkRefused,
  UpstreamCrash, ///< And another one at its place later.
  UpstreamLeaves,
  UpstreamLinkHeld,
  UpstreamLinkRequests, ///< Nothing arrives there.
  UpstreamLinkAnswers,  ///< Nothing comes back.
  UpstreamLinkDelayed,
  UpstreamLinkReset,
  UpstreamLinkSilent,
  UpstreamFails,  ///< It answers a part of its calls with its own failure.
  UpstreamMute,   ///< It takes calls and never answers a part of them.
  UpstreamBreaks, ///< It breaks a part of its answers off.
  ListLapses,     ///< A live upstream's row is gone for a moment.
  ConfigChange,
  ConfigSeries,
  Burst, ///< More calls.
  // Manners of upstreams that answer a part of their runs as if they were none.
  UpstreamContradicts, ///< With and without the mark in one answer.
  UpstreamUnmarked,    ///< By a status alone.
  UpstreamRunsPrompts, ///< It runs calls of which it was to read the prompt.
};

/** One thing that goes wrong. */
struct Fault
{
  FaultKind m_kind = FaultKind::KillInstance;
  Duration m_at{}; ///< From the start of traffic.
  Duration m_for{};
  std::size_t m_target = 0; ///< Taken modulo what there is.
};

/** The faults of one seed, by time; the same seed gives the same plan. */
std::vector<Fault>
MakePlan(std::uint64_t aSeed, Duration aLength);

std::string
NameOf(FaultKind aKind);

} // namespace ridgeferry::soak
