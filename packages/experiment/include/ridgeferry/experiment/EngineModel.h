#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <ridgeferry/experiment/Scenario.h>
#include <ridgeferry/relay/Fleet.h>
#include <variant>
#include <vector>

namespace ridgeferry::experiment {

/** Virtual time, in ms from the start of a run. */
using Moment = double;

/** Work for an engine: one call, or the reading of its prompt. */
struct EngineJob
{
  std::uint64_t m_id = 0;
  std::uint64_t m_commonKey = 0; ///< Of the parts that others share; 0: none.
  std::uint64_t m_chainKey = 0;
  std::int64_t m_commonTokens = 0;
  std::int64_t m_chainTokens = 0;
  std::int64_t m_ownTokens = 0;
  std::int64_t m_outTokens = 1;
  bool m_readOnly = false;   ///< Another engine will give the output.
  bool m_handedOver = false; ///< The prompt was read elsewhere.
  bool m_late = false;       ///< Admitted behind all that are not.
};

/** The prompt of a job that only reads has been read. */
struct PromptDone
{
  std::uint64_t m_id = 0;
};
/** One token of a job's output. */
struct TokenDone
{
  std::uint64_t m_id = 0;
  bool m_last = false;
};
using EngineOutput = std::variant<PromptDone, TokenDone>;

struct EngineTotals
{
  std::int64_t m_read = 0; ///< Tokens of prompts.
  std::int64_t m_kept = 0; ///< Of those asked for, found in memory.
};

/**
 * One engine in virtual time: it admits jobs as slots and memory allow, gives
 * one token of each running job a step, and reads prompts in pieces between the
 * steps; a generator reads at half the pace and in quarter pieces. Shared parts
 * stay in memory until others need the room, those unused longest first.
 *
 * Simplified: no preemption, two priorities, parts are kept whole or not at
 * all. Pure; not thread-safe.
 */
class EngineModel
{
public:
  EngineModel(EngineTerms aTerms, relay::UpstreamRole aPart);

  void Add(const EngineJob& aJob, Moment aNow);
  /** Its caller has left; unknown ids have no effect. */
  void Cancel(std::uint64_t aId);
  /** Drops all work and all memory. */
  void Clear();

  /** When the present step ends; nothing: it is idle. */
  std::optional<Moment> StepEnds() const { return m_stepEnds; }
  /** Ends the present step. Precondition: it is the moment of `StepEnds`. */
  std::vector<EngineOutput> EndStep(Moment aNow);

  const EngineTotals& Totals() const { return m_totals; }
  std::size_t Jobs() const { return m_waiting.size() + m_active.size(); }

private:
  struct Active
  {
    EngineJob m_job;
    std::int64_t m_unread = 0;
    std::int64_t m_given = 0; ///< Tokens of output.
  };
  struct KeptPart
  {
    std::uint64_t m_key = 0;
    std::int64_t m_tokens = 0;
  };

  void Admit();
  bool Fits(const EngineJob& aJob);
  std::int64_t UnreadOf(const EngineJob& aJob);
  bool Use(std::uint64_t aKey);
  void Keep(std::uint64_t aKey, std::int64_t aTokens);
  void StartStep(Moment aNow);
  double PieceMs(std::int64_t aTokens) const;
  std::int64_t MostPiece() const;
  void NoteRead(Active& aActive);
  static std::int64_t SizeOf(const EngineJob& aJob);

  EngineTerms m_terms;
  relay::UpstreamRole m_role;
  std::deque<EngineJob> m_waiting;
  std::list<Active> m_active;  ///< In the order of their admission.
  std::list<KeptPart> m_parts; ///< The one used last comes first.
  std::map<std::uint64_t, std::list<KeptPart>::iterator> m_byKey;
  std::int64_t m_partTokens = 0;
  std::int64_t m_activeTokens = 0;
  std::optional<Moment> m_stepEnds;
  std::int64_t m_piece = 0; ///< Read in the present step, of the first unread.
  EngineTotals m_totals;
};

} // namespace ridgeferry::experiment
