#pragma once

#include <cstddef>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/quarantine/Suspect.h>
#include <unordered_map>

namespace ridgeferry::quarantine {

/**
 * Remembers when requests that name prompt segments last completed
 * successfully. A crash that is reported later than such a run has ended does
 * not count against the segment. Decisions only; not thread-safe.
 */
class ServedSegments
{
public:
  /** Longer than reports of crashes are under way between instances. */
  static constexpr Duration kMemory{ 60'000 };
  /** Bounds memory to half a megabyte. The oldest runs give way. */
  static constexpr std::size_t kMaxSegments = 8192;

  void Note(const PromptSegment& aSegment, Instant aNow);
  /** Returns whether a run ended at or after `aSince` and is remembered. */
  bool WasServedSince(const PromptSegment& aSegment, Instant aSince) const;
  void Tick(Instant aNow);

private:
  struct SegmentHash
  {
    std::size_t operator()(const PromptSegment& aSegment) const
    {
      return static_cast<std::size_t>(aSegment.m_hash);
    }
  };

  std::unordered_map<PromptSegment, Instant, SegmentHash> m_servedAt;
  Instant m_sweptAt;
};

} // namespace ridgeferry::quarantine
