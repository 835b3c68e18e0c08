#include "ridgeferry/streams/OriginTable.h"

#include <algorithm>

namespace ridgeferry::streams {

bool
OriginTable::Put(const OriginRecord& aRecord, Instant aNow)
{
  const std::uint64_t key = aRecord.m_key.m_hash;
  const Instant until = aNow + aRecord.m_keepFor;
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    if (m_entries.size() >= kMostRecords) {
      return false;
    }
    m_entries.emplace(key, Entry{ { aRecord.m_origin }, until });
    m_lapses.emplace(until, key);
    return true;
  }
  Entry& entry = found->second;
  const bool hasLapsed = entry.m_until <= aNow;
  if (hasLapsed) {
    entry.m_known = { aRecord.m_origin };
  } else if (!(entry.m_known.m_origin == aRecord.m_origin)) {
    entry.m_known.m_isAmbiguous = true;
  }
  if (until > entry.m_until) {
    entry.m_until = until;
    m_lapses.emplace(until, key);
  }
  return true;
}

std::optional<OriginTable::Known>
OriginTable::Find(const StreamKey& aKey, Instant aNow) const
{
  const auto found = m_entries.find(aKey.m_hash);
  if (found == m_entries.end() || found->second.m_until <= aNow) {
    return std::nullopt;
  }
  return found->second.m_known;
}

std::vector<OriginRecord>
OriginTable::Records(Instant aNow) const
{
  std::vector<OriginRecord> out;
  for (const auto& [key, entry] : m_entries) {
    if (entry.m_until > aNow && !entry.m_known.m_isAmbiguous) {
      out.push_back({ { key }, entry.m_known.m_origin, entry.m_until - aNow });
    }
  }
  return out;
}

void
OriginTable::Expire(Instant aNow)
{
  while (!m_lapses.empty() && m_lapses.begin()->first <= aNow) {
    const auto found = m_entries.find(m_lapses.begin()->second);
    if (found != m_entries.end() && found->second.m_until <= aNow) {
      m_entries.erase(found);
    }
    m_lapses.erase(m_lapses.begin());
  }
}

} // namespace ridgeferry::streams
