#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ridgeferry/experiment/Scenario.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::experiment {

/** How prompts are placed. */
enum class Policy : std::uint8_t
{
  Homes,   ///< As instances do it: `relay::Fleet` with all that it knows.
  NoHomes, ///< The same, but nothing is taken to be kept anywhere.
  Random,  ///< Any generator, and nothing is refused.
};

std::string_view
NameOf(Policy aPolicy);
/** Nothing: no policy has that name. */
std::optional<Policy>
PolicyNamed(std::string_view aName);

/** Calls of one kind in bands of size, by the tokens of the prompt: the
 * smallest tenth first. */
inline constexpr std::size_t kSizeBands = 10;

/** What became of one such band. */
struct SizeOutcome
{
  std::int64_t m_leastTokens = 0; ///< Of its smallest prompt.
  std::int64_t m_offered = 0;
  std::int64_t m_inAim = 0;
  std::int64_t m_late = 0;
  std::int64_t m_refused = 0;

  /** Share that was served, in time or late; 1: none was asked for. */
  double ServedShare() const;
};

/** What became of the calls of one kind. A call counts once, however often its
 * caller came back. */
struct KindOutcome
{
  std::string m_name;
  std::int64_t m_offered = 0;
  std::int64_t m_inAim = 0;   ///< From the first attempt, without long pauses.
  std::int64_t m_late = 0;    ///< Whole, but not in its aim.
  std::int64_t m_refused = 0; ///< Its last attempt was refused at once.
  std::int64_t m_lost = 0;    ///< Not whole at its deadline.
  double m_firstTokenP50 = 0; ///< ms from the first attempt.
  double m_firstTokenP99 = 0;
  std::array<SizeOutcome, kSizeBands> m_sizes = {};

  double ServedShare() const;
};

/** One second of a run, all kinds together, by when calls first came. */
struct SecondOutcome
{
  std::int64_t m_offered = 0;
  std::int64_t m_inAim = 0;
};

struct Outcome
{
  Policy m_policy = Policy::Homes;
  std::uint64_t m_seed = 0;
  std::vector<KindOutcome> m_kinds;
  std::vector<SecondOutcome> m_seconds;
  std::int64_t m_readTokens = 0; ///< Of prompts, by all engines.
  std::int64_t m_keptTokens = 0; ///< Asked for and found in memory.
  /** Share of the calls that could be in their aim if every shared part were
   * kept wherever it is needed and all engines were always busy: only the own
   * parts of each half second have to be read in it. No policy exceeds it by
   * more than what spills over between two such spans. */
  double m_bound = 1;

  std::int64_t Offered() const;
  std::int64_t InAim() const;
  /** In-aim share of all calls. */
  double Share() const;
};

/** Plays one scenario in virtual time. The same seed gives the same calls for
 * every policy. Thread-safe. */
Outcome
RunScenario(const Scenario& aScenario, Policy aPolicy, std::uint64_t aSeed);

/** Two policies on the same seeds. */
struct Comparison
{
  double m_mean = 0; ///< Of the differences of in-aim shares.
  /** Half of the 95% interval of that mean, by the normal law; 0 for less than
   * two seeds. */
  double m_halfWidth = 0;
};

/** Precondition: both have the same seeds in the same order. */
Comparison
Compare(std::span<const Outcome> aOne, std::span<const Outcome> aOther);

} // namespace ridgeferry::experiment
