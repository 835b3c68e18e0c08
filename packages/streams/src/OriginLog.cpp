#include "ridgeferry/streams/OriginLog.h"

#include <algorithm>

namespace ridgeferry::streams {

Duration
OriginLog::WriteAfter(const Terms& aTerms)
{
  const Age& age = aTerms.m_hasSeveralVersions ? kAgeOfSeveral : kAgeOfOne;
  const auto instances = static_cast<Duration::rep>(aTerms.m_instances);
  return std::max(age.m_least, age.m_eachInstance * instances);
}

void
OriginLog::NoteBegan(const OriginRecord& aRecord, Instant aNow)
{
  m_entries.push_back(
    { aRecord.m_key, aRecord.m_origin, aNow, aNow + aRecord.m_keepFor, false });
  if (m_entries.size() > kMostRecords) {
    m_entries.pop_front();
  }
}

void
OriginLog::NoteEarlier(const OriginRecord& aRecord, Instant aNow)
{
  if (m_entries.size() < kMostRecords) {
    m_entries.push_front({ aRecord.m_key,
                           aRecord.m_origin,
                           aNow,
                           aNow + aRecord.m_keepFor,
                           true });
  }
}

void
OriginLog::NoteWhole(const StreamKey& aKey)
{
  // Most streams are short, so that theirs is among the last entries.
  const auto found =
    std::find_if(m_entries.rbegin(),
                 m_entries.rend(),
                 [&aKey](const Entry& aEntry) { return aEntry.m_key == aKey; });
  if (found != m_entries.rend()) {
    m_entries.erase(std::next(found).base());
  }
}

void
OriginLog::NoteNewGeneration()
{
  for (Entry& entry : m_entries) {
    entry.m_isWritten = false;
  }
}

void
OriginLog::Expire(Instant aNow)
{
  std::erase_if(m_entries,
                [aNow](const Entry& aEntry) { return aEntry.m_until <= aNow; });
}

bool
OriginLog::IsDue(Instant aNow, Duration aAfter) const
{
  const bool isEarly = m_isWriting || (m_notBefore && aNow < *m_notBefore) ||
                       (m_wroteAt && aNow - *m_wroteAt < aAfter);
  return !isEarly &&
         std::any_of(
           m_entries.begin(), m_entries.end(), [&](const Entry& aEntry) {
             return !aEntry.m_isWritten && aNow - aEntry.m_began >= aAfter;
           });
}

std::optional<std::vector<OriginRecord>>
OriginLog::Due(Instant aNow, const Terms& aTerms)
{
  Expire(aNow);
  if (!IsDue(aNow, WriteAfter(aTerms))) {
    return std::nullopt;
  }
  std::vector<OriginRecord> out;
  for (Entry& entry : m_entries) {
    entry.m_isWritten = true;
    out.push_back({ entry.m_key, entry.m_origin, entry.m_until - aNow });
  }
  m_isWriting = true;
  m_wroteAt = aNow;
  return out;
}

void
OriginLog::NoteWritten(bool aIsDone, Instant aNow)
{
  m_isWriting = false;
  m_notBefore.reset();
  if (!aIsDone) {
    NoteNewGeneration(); // Which of them are in the store is not known.
    m_notBefore = aNow + kRetryAfter;
  }
}

} // namespace ridgeferry::streams
