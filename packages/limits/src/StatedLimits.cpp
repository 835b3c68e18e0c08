#include "ridgeferry/limits/StatedLimits.h"

#include <cmath>

namespace ridgeferry::limits {

namespace {

/** Smallest relative difference that counts as a change. */
constexpr double kChange = 0.1;

} // namespace

LimitChange
StatedLimits::Note(UpstreamHash aUpstream, const LimitStatement& aStatement)
{
  const auto known = m_entries.find(aUpstream);
  const bool isNew = known == m_entries.end();
  if (isNew && !aStatement.m_perSecond) {
    return LimitChange::None;
  }
  if (!isNew && aStatement.m_at < known->second.m_latest.m_at) {
    return LimitChange::None;
  }
  Entry& entry = isNew ? m_entries[aUpstream] : known->second;
  const bool hadLimit = !isNew && entry.m_latest.m_perSecond.has_value();
  if (!aStatement.m_perSecond) {
    if (!hadLimit) {
      return LimitChange::None; // The end of the limit stays the first one.
    }
    entry.m_latest = aStatement;
    return LimitChange::Ended;
  }
  entry.m_latest = aStatement;
  const double limit = *aStatement.m_perSecond;
  const bool differs =
    std::abs(limit - entry.m_reported) >= kChange * entry.m_reported;
  if (hadLimit && !differs) {
    return LimitChange::None;
  }
  entry.m_reported = limit;
  return hadLimit ? LimitChange::Changed : LimitChange::Named;
}

std::optional<LimitStatement>
StatedLimits::Find(UpstreamHash aUpstream) const
{
  const auto found = m_entries.find(aUpstream);
  return found == m_entries.end() ? std::nullopt
                                  : std::optional(found->second.m_latest);
}

} // namespace ridgeferry::limits
