#include "ridgeferry/limits/StatedLimits.h"

#include <algorithm>
#include <cmath>

namespace ridgeferry::limits {

namespace {

constexpr double kMsPerSecond = 1000;
/** Smallest relative difference that counts as a change. */
constexpr double kChange = 0.1;
/** Rate from which the return to an upstream begins at least, in requests a
 * second: from a limit of 0 it would never grow. */
constexpr double kLeastReturn = 0.5;

Duration
SilenceOf(double aLimit)
{
  if (aLimit <= 0) {
    return StatedLimits::kMaxSilence;
  }
  const double answersMs = StatedLimits::kSilentAnswers * kMsPerSecond / aLimit;
  const auto most = static_cast<double>(StatedLimits::kMaxSilence.count());
  return std::max(StatedLimits::kSilence,
                  Duration(std::llround(std::min(answersMs, most))));
}

} // namespace

bool
StatedLimits::IsOver(const LimitStatement& aStatement, Instant aNow)
{
  Entry entry;
  entry.m_latest = aStatement;
  entry.m_endedAt = aStatement.m_at;
  entry.m_limit = aStatement.m_perSecond.value_or(0);
  return IsOver(entry, aNow);
}

LimitChange
StatedLimits::Note(UpstreamHash aUpstream,
                   const LimitStatement& aStatement,
                   StatedTo aTo,
                   Instant aNow)
{
  const auto known = m_entries.find(aUpstream);
  const bool isNew = known == m_entries.end();
  if (isNew && (!aStatement.m_perSecond || IsOver(aStatement, aNow))) {
    return LimitChange::None;
  }
  Entry& entry = isNew ? m_entries[aUpstream] : known->second;
  if (aTo == StatedTo::ThisInstance) {
    entry.m_own = aStatement;
  }
  if (!isNew && aStatement.m_at < entry.m_latest.m_at) {
    return LimitChange::None;
  }
  const bool hadLimit = !isNew && entry.m_latest.m_perSecond.has_value();
  entry.m_latest = aStatement;
  if (!aStatement.m_perSecond) {
    entry.m_endedAt = hadLimit ? aStatement.m_at : entry.m_endedAt;
    return hadLimit ? LimitChange::Ended : LimitChange::None;
  }
  entry.m_limit = *aStatement.m_perSecond;
  const bool differs =
    std::abs(entry.m_limit - entry.m_reported) >= kChange * entry.m_reported;
  if (hadLimit && !differs) {
    return LimitChange::None;
  }
  entry.m_reported = entry.m_limit;
  return hadLimit ? LimitChange::Changed : LimitChange::Named;
}

void
StatedLimits::Forget(UpstreamHash aUpstream)
{
  m_entries.erase(aUpstream);
}

std::optional<Instant>
StatedLimits::EndOf(const Entry& aEntry, Instant aNow)
{
  if (!aEntry.m_latest.m_perSecond) {
    return aEntry.m_endedAt;
  }
  const Instant silentAt = aEntry.m_latest.m_at + SilenceOf(aEntry.m_limit);
  return aNow >= silentAt ? std::optional(silentAt) : std::nullopt;
}

bool
StatedLimits::IsOver(const Entry& aEntry, Instant aNow)
{
  const auto end = EndOf(aEntry, aNow);
  return end && aNow - *end >= kReturn;
}

void
StatedLimits::Tick(Instant aNow)
{
  std::erase_if(m_entries, [aNow](const auto& aEntry) {
    return IsOver(aEntry.second, aNow);
  });
}

std::optional<double>
StatedLimits::AcceptedRate(UpstreamHash aUpstream, Instant aNow) const
{
  const auto found = m_entries.find(aUpstream);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  const auto end = EndOf(entry, aNow);
  if (!end) {
    return entry.m_limit;
  }
  const auto since = static_cast<double>((aNow - *end).count());
  return std::max(entry.m_limit, kLeastReturn) *
         std::exp2(since / static_cast<double>(kDoubling.count()));
}

std::vector<LimitReport>
StatedLimits::Reports(Instant aNow) const
{
  std::vector<LimitReport> out;
  for (const auto& [upstream, entry] : m_entries) {
    if (entry.m_own) {
      out.push_back(
        { upstream, entry.m_own->m_perSecond, aNow - entry.m_own->m_at });
    }
  }
  return out;
}

} // namespace ridgeferry::limits
