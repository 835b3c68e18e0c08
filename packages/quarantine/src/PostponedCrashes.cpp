#include "ridgeferry/quarantine/PostponedCrashes.h"

namespace ridgeferry::quarantine {

bool
PostponedCrashes::Holds(const Quarantine& aQuarantine,
                        const CrashRecord& aRecord,
                        Instant aCrashedAt)
{
  return aQuarantine.WasServedSince(aRecord.m_suspect,
                                    aCrashedAt - kServedLately);
}

void
PostponedCrashes::Add(const CrashRecord& aRecord, Instant aCrashedAt)
{
  m_postponed.push_back({ aRecord, aCrashedAt });
}

std::vector<ReportedCrash>
PostponedCrashes::TakeDue(const Quarantine& aQuarantine, Instant aNow)
{
  std::vector<ReportedCrash> out;
  std::erase_if(m_postponed, [&](const Postponed& aPostponed) {
    const bool isServed = aQuarantine.WasServedSince(
      aPostponed.m_record.m_suspect, aPostponed.m_crashedAt);
    const bool isDue = aNow - aPostponed.m_crashedAt >= kDelay;
    if (isDue && !isServed) {
      out.push_back({ aPostponed.m_record, aNow - aPostponed.m_crashedAt });
    }
    return isDue || isServed;
  });
  return out;
}

} // namespace ridgeferry::quarantine
