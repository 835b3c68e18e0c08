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

/** Where a call should go: what is asked of a `Fleet`. */
struct PlaceRequest
{
  std::string_view m_service;
  std::string_view m_hall;        ///< Of this instance.
  std::optional<Prompt> m_prompt; ///< Nothing: a plain call.
  std::span<const std::string> m_excluded;
  /** Most connections of this instance to one upstream. */
  std::int64_t m_mostOpen = std::numeric_limits<std::int64_t>::max();
  std::uint64_t m_random = 0; ///< Breaks ties.
  /** The mean prompt of its kind of call; nothing: the prompt itself. */
  std::optional<Prompt> m_typical = {};
  /** Where the first token of a typical prompt would come later than this,
   * there is no place. */
  Duration m_patience = Duration::max();
  /** It may have a place only because it is smaller: see `SizeAllowance`. */
  bool m_mayPassForItsSize = false;
  /** Longest pause between two events that keeps the answer in time; 0: not
   * known. */
  Duration m_pause{};
  /** The shortest aim of all prompts of the service; 0: not known. */
  Duration m_shortestAim{};
  /** Tokens of a prompt's memory that pass between two engines in a ms; 0: they
   * do not fetch from each other. */
  double m_movedPerMs = 0;
  /** How long the caller will still wait for the first token. Where engines
   * read apart, a prompt that misses its aim still has a place if it fits in
   * this. */
  Duration m_left = Duration::max();
  /** Until its caller gives up if nothing has come: at the least its own
   * reading has to fit in this. */
  Duration m_untilGivenUp = Duration::max();
};

/** When a prompt's first token is expected at an engine, by its parts, in ms.
 */
struct Expectation
{
  double m_waitMs = 0; ///< What others have it do first, and the ways.
  double m_ownMs = 0;  ///< Reading it.
};

struct Place
{
  std::string m_upstream;
  std::string m_reader; ///< Empty: the upstream reads the prompt itself.
  /** Of a prompt: when its first token should come, by loads and paces alone,
   * without what `NoteFirstToken` has taught. */
  double m_expectedMs = 0;
  /** The reader fetches from there what it does not keep itself; empty: it
   * reads all of that. */
  std::string m_fetchFrom = {};
  /** Work that the reader has to do; see `Fleet::WorkOf`. */
  std::int64_t m_work = 0;
  /** It misses its aim: it is to stand behind those that still can meet it. */
  bool m_late = false;
  /** A typical prompt of its kind would have had no place. */
  bool m_forItsSize = false;
};

/** Why there is no place. */
enum class NoPlaceCause : std::uint8_t
{
  NoneSound, ///< No upstream is listed, or none is sound.
  Full,      ///< Too much waits everywhere.
  TooLarge,  ///< No engine could read it in its caller's time, idle or not.
};

struct PlaceFault
{
  NoPlaceCause m_cause = NoPlaceCause::NoneSound;
  Duration m_roomIn{}; ///< If full: when there should be room.
  /** Of a prompt, but for `NoneSound`: what decided it, at the engine where it
   * would have been soonest. The reading is a typical prompt's, unless it is
   * itself too large. */
  Expectation m_expected = {};
  double m_boundMs = 0; ///< What the expectation was held against.
};

/**
 * It misses its aim whatever happens, and there will be room for it in its
 * caller's time: it is to be placed later, so that it takes nothing from those
 * that can still meet theirs.
 */
struct PlaceLater
{};

using PlaceResult = std::variant<Place, PlaceFault, PlaceLater>;

} // namespace ridgeferry::relay
