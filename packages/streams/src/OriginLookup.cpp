#include "ridgeferry/streams/OriginLookup.h"

#include <utility>

namespace ridgeferry::streams {

std::vector<LookupAction>
OriginLookups::Begin(const StreamKey& aKey,
                     std::string_view aService,
                     std::vector<std::string> aHolders,
                     Instant aNow)
{
  std::vector<LookupAction> out;
  const auto [found, isNew] = m_lookups.try_emplace(aKey);
  if (!isNew) {
    return out;
  }
  Lookup& lookup = found->second;
  lookup.m_service = aService;
  lookup.m_since = aNow;
  lookup.m_asked = aNow;
  lookup.m_unanswered = { aHolders.begin(), aHolders.end() };
  if (lookup.m_unanswered.empty()) {
    End(found, out);
  } else {
    out.emplace_back(AskHolders{ aKey, lookup.m_service, std::move(aHolders) });
  }
  return out;
}

std::vector<LookupAction>
OriginLookups::TakeRecord(const StreamKey& aKey, const StreamOrigin& aOrigin)
{
  if (m_lookups.erase(aKey) == 0) {
    return {};
  }
  return { LookupEnded{ aKey, aOrigin, false, {} } };
}

std::vector<LookupAction>
OriginLookups::TakeNoRecord(const NoRecord& aAnswer, std::string_view aFrom)
{
  std::vector<LookupAction> out;
  const auto found = m_lookups.find(aAnswer.m_key);
  if (found == m_lookups.end()) {
    return out;
  }
  Lookup& lookup = found->second;
  const auto asked = lookup.m_unanswered.find(aFrom);
  if (asked == lookup.m_unanswered.end()) {
    return out;
  }
  lookup.m_unanswered.erase(asked);
  ++lookup.m_answers;
  const bool isOther =
    aAnswer.m_sole && lookup.m_sole &&
    aAnswer.m_sole->m_softwareVersion != lookup.m_sole->m_softwareVersion;
  lookup.m_isDisputed = lookup.m_isDisputed || !aAnswer.m_sole || isOther;
  const bool isLonger =
    aAnswer.m_sole &&
    (!lookup.m_sole || lookup.m_sole->m_for < aAnswer.m_sole->m_for);
  if (isLonger) {
    lookup.m_sole = aAnswer.m_sole;
  }
  if (lookup.m_unanswered.empty()) {
    End(found, out);
  }
  return out;
}

std::vector<LookupAction>
OriginLookups::Tick(Instant aNow)
{
  std::vector<LookupAction> out;
  for (auto item = m_lookups.begin(); item != m_lookups.end();) {
    Lookup& lookup = item->second;
    if (aNow - lookup.m_since >= kLongest) {
      item = End(item, out);
      continue;
    }
    if (aNow - lookup.m_asked >= kAskAgain) {
      lookup.m_asked = aNow;
      out.emplace_back(AskHolders{
        item->first,
        lookup.m_service,
        { lookup.m_unanswered.begin(), lookup.m_unanswered.end() } });
    }
    ++item;
  }
  return out;
}

OriginLookups::Lookups::iterator
OriginLookups::End(Lookups::iterator aLookup,
                   std::vector<LookupAction>& aActions)
{
  Lookup& lookup = aLookup->second;
  const bool isVouched =
    lookup.m_unanswered.empty() && lookup.m_answers > 0 && !lookup.m_isDisputed;
  aActions.emplace_back(LookupEnded{ aLookup->first,
                                     std::nullopt,
                                     !lookup.m_unanswered.empty(),
                                     std::move(lookup.m_sole),
                                     isVouched });
  return m_lookups.erase(aLookup);
}

} // namespace ridgeferry::streams
