#include "ridgeferry/pacing/StartPace.h"

#include <algorithm>
#include <cmath>

namespace ridgeferry::pacing {

double
StartPace::ShareAt(int aLevel)
{
  return std::ldexp(1.0, aLevel - kFullLevel);
}

void
StartPace::Change(Entry& aEntry, int aLevel, Instant aNow)
{
  aEntry.m_level = aLevel;
  ++aEntry.m_change;
  aEntry.m_changedAt = aNow;
}

void
StartPace::Begin(UpstreamHash aUpstream, Instant aNow)
{
  const auto [found, isNew] = m_entries.try_emplace(aUpstream);
  Entry& entry = found->second;
  if (isNew) {
    entry.m_changedAt = aNow;
  } else if (entry.m_hasBegun || !IsFresh(entry, aNow)) {
    Change(entry, kFirstLevel, aNow);
  }
  // Else peers have begun it already, and what they found holds here too.
  entry.m_hasBegun = true;
}

bool
StartPace::IsInStart(UpstreamHash aUpstream) const
{
  const auto found = m_entries.find(aUpstream);
  return found != m_entries.end() && found->second.m_hasBegun &&
         found->second.m_level < kFullLevel;
}

std::size_t
StartPace::CountInStart() const
{
  return static_cast<std::size_t>(std::count_if(
    m_entries.begin(), m_entries.end(), [this](const auto& aItem) {
      return IsInStart(aItem.first);
    }));
}

double
StartPace::ShareOf(UpstreamHash aUpstream) const
{
  return IsInStart(aUpstream) ? ShareAt(m_entries.at(aUpstream).m_level) : 1;
}

bool
StartPace::MayPlace(UpstreamHash aUpstream,
                    std::size_t aUpstreams,
                    double aDraw) const
{
  if (!IsInStart(aUpstream) || aUpstreams <= 1) {
    return true;
  }
  return aDraw * static_cast<double>(aUpstreams) < ShareOf(aUpstream);
}

std::optional<double>
StartPace::NoteAnswer(UpstreamHash aUpstream,
                      const StartAnswer& aAnswer,
                      Instant aNow)
{
  if (!IsInStart(aUpstream)) {
    return std::nullopt;
  }
  Entry& entry = m_entries.at(aUpstream);
  if (aAnswer.m_sentAt < entry.m_changedAt) {
    return std::nullopt; // It shows the pace before.
  }
  const bool isGood = aAnswer.m_isServed && aAnswer.m_slowness < kSlow;
  if (!isGood && entry.m_level == 0) {
    return std::nullopt;
  }
  if (isGood && aNow - entry.m_changedAt < kRound) {
    return std::nullopt;
  }
  Change(entry, entry.m_level + (isGood ? 1 : -1), aNow);
  return ShareAt(entry.m_level);
}

std::optional<double>
StartPace::NotePeer(const PaceReport& aReport, Instant aNow)
{
  const int level = std::clamp(aReport.m_level, 0, kFullLevel);
  const Instant at = aNow - aReport.m_age;
  if (aReport.m_age > kFresh) {
    return std::nullopt;
  }
  const auto [found, isNew] = m_entries.try_emplace(aReport.m_upstream);
  Entry& entry = found->second;
  // Of two changes made at one time the more careful one holds.
  const bool isNewer =
    aReport.m_change > entry.m_change ||
    (aReport.m_change == entry.m_change && level < entry.m_level);
  if (!isNew && !isNewer) {
    return std::nullopt;
  }
  entry.m_level = level;
  entry.m_change = aReport.m_change;
  entry.m_changedAt = at;
  return entry.m_hasBegun ? std::optional(ShareAt(level)) : std::nullopt;
}

std::vector<PaceReport>
StartPace::Reports(Instant aNow) const
{
  std::vector<PaceReport> out;
  for (const auto& [upstream, entry] : m_entries) {
    if (entry.m_hasBegun && IsFresh(entry, aNow)) {
      out.push_back(
        { upstream, entry.m_change, entry.m_level, aNow - entry.m_changedAt });
    }
  }
  return out;
}

void
StartPace::Tick(Instant aNow)
{
  for (auto& [upstream, entry] : m_entries) {
    // An instance that had seen slow answers would have reported them by now.
    // All instances raise the share in this way, so it is not reported.
    if (entry.m_level < kFullLevel && !IsFresh(entry, aNow)) {
      ++entry.m_level;
      entry.m_changedAt = aNow;
    }
  }
  std::erase_if(m_entries, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    const bool isOver = !entry.m_hasBegun || entry.m_level == kFullLevel;
    return isOver && !IsFresh(entry, aNow);
  });
}

} // namespace ridgeferry::pacing
