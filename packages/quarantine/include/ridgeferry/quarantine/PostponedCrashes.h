#pragma once

#include <ridgeferry/base/Time.h>
#include <ridgeferry/quarantine/Quarantine.h>
#include <vector>

namespace ridgeferry::quarantine {

/**
 * Holds back crash records of prompt segments that have lately been served.
 * Other runs with such a segment are most likely under way, and the next one
 * that completes shows that the segment did not cause the crash. Without the
 * delay each crash would accuse all popular segments at all instances until
 * then. Decisions only; not thread-safe.
 */
class PostponedCrashes
{
public:
  /** Several times the run of a short answer. */
  static constexpr Duration kDelay{ 300 };
  /** A segment counts as lately served for so long. */
  static constexpr Duration kServedLately = ServedSegments::kMemory;

  /** Returns whether the record is to be held back. */
  static bool Holds(const Quarantine& aQuarantine,
                    const CrashRecord& aRecord,
                    Instant aCrashedAt);
  void Add(const CrashRecord& aRecord, Instant aCrashedAt);
  /**
   * Removes the records that have been held back for long enough. Returns those
   * of them whose segment was not served since the crash, with their ages.
   */
  std::vector<ReportedCrash> TakeDue(const Quarantine& aQuarantine,
                                     Instant aNow);

private:
  struct Postponed
  {
    CrashRecord m_record;
    Instant m_crashedAt;
  };

  std::vector<Postponed> m_postponed;
};

} // namespace ridgeferry::quarantine
