#pragma once

#include "TokenText.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <ridgeferry/net/HttpServer.h>
#include <set>
#include <string>
#include <vector>

namespace ridgeferry::fakes {

/** One generation on a stand-in engine. */
struct EngineStream
{
  std::string m_id;
  std::string m_requestId;
  TokenSource m_source;
  std::uint64_t m_start = 0; ///< Offset of its first own token.
  std::uint64_t m_next = 0;
  std::uint64_t m_total = 0;
  int m_priority = 0;
  std::int64_t m_promptLeft = 0; ///< Prompt tokens not yet prefilled.
  bool m_done = false;
  bool m_cut = false; ///< Ended by a change of the engine.
  std::vector<std::shared_ptr<net::HttpExchange>> m_readers;
};

/** A prefix came into an engine's cache, or fell out of it. */
struct CacheEvent
{
  std::uint64_t m_number = 0;
  std::uint64_t m_prefix = 0; ///< Hash of the prompt's head.
  bool m_added = false;
  Instant m_at;
};

struct BatchLimits
{
  std::size_t m_slots = 8;
  /** Prompt tokens that one step can prefill, shared by all streams. */
  std::int64_t m_prefillPerStep = 512;
  std::size_t m_cachedPrefixes = 16;
};

/**
 * Continuous batching in steps: in each step every admitted stream whose
 * prompt is done gets one token; prompts share the step's prefill budget,
 * urgent ones first. Prefixes of prompts are cached, the least recently used
 * ones are dropped.
 */
class EngineStreams
{
public:
  explicit EngineStreams(BatchLimits aLimits);

  EngineStream& Add(EngineStream aStream, std::int64_t aPromptTokens);
  EngineStream* Find(const std::string& aId);
  void Cancel(const std::string& aId);
  /** Ends all unfinished streams without their last event. Returns how many
   * there were. */
  std::size_t CutAll();
  void Step();

  /** Streams that run or wait. */
  std::size_t Unfinished() const { return m_active.size(); }
  /** Sends a reader what is there from `aFrom` on, and later tokens. */
  void Attach(EngineStream& aStream,
              const std::shared_ptr<net::HttpExchange>& aReader,
              std::uint64_t aFrom);
  /** Events after `aSince` that are older than `aBefore`: published late, and
   * with gaps, as the engines do. */
  std::vector<CacheEvent> PublishedEvents(std::uint64_t aSince,
                                          Instant aBefore) const;
  void SetNow(Instant aNow) { m_now = aNow; }

private:
  bool TakeCached(const std::string& aPrompt);
  void Finish(EngineStream& aStream);
  void NoteCache(std::uint64_t aPrefix, bool aAdded);

  BatchLimits m_limits;
  std::map<std::string, EngineStream> m_streams;
  std::vector<std::string> m_active; ///< In order of priority and arrival.
  std::list<std::uint64_t> m_cached; ///< Prefix hashes, latest first.
  std::vector<CacheEvent> m_cacheEvents;
  Instant m_now;
};

} // namespace ridgeferry::fakes
