#include "ridgeferry/configcheck/ConfigCheck.h"

#include "Entries.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace ridgeferry::configcheck {

namespace {

using relay::CallerLimits;
using relay::EngineTraits;
using relay::Route;
using relay::RouteConfig;
using relay::ScalingTraits;
using relay::Service;

using FieldNames = std::vector<std::string>;

void
NoteIfChanged(bool aIsSame, const char* aField, FieldNames& aFields)
{
  if (!aIsSame) {
    aFields.emplace_back(aField);
  }
}

bool
IsSame(const std::vector<relay::ServiceShare>& aLeft,
       const std::vector<relay::ServiceShare>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return std::tie(aOne.m_service, aOne.m_weight) ==
                             std::tie(aOther.m_service, aOther.m_weight);
                    });
}

bool
IsSame(const EngineTraits& aLeft, const EngineTraits& aRight)
{
  const auto all = [](const EngineTraits& aTraits) {
    return std::tie(aTraits.m_slots,
                    aTraits.m_cacheTokens,
                    aTraits.m_bytesPerToken,
                    aTraits.m_transferBytesPerMs,
                    aTraits.m_handleLifetime);
  };
  return all(aLeft) == all(aRight);
}

bool
IsSame(const ScalingTraits& aLeft, const ScalingTraits& aRight)
{
  const auto all = [](const ScalingTraits& aTraits) {
    return std::tie(aTraits.m_least,
                    aTraits.m_most,
                    aTraits.m_bootTime,
                    aTraits.m_withdrawablePrice,
                    aTraits.m_prices);
  };
  return all(aLeft) == all(aRight);
}

template<typename Traits>
bool
IsSame(const std::optional<Traits>& aLeft, const std::optional<Traits>& aRight)
{
  if (!aLeft || !aRight) {
    return aLeft.has_value() == aRight.has_value();
  }
  return IsSame(*aLeft, *aRight);
}

FieldNames
ChangedFields(const Route& aOld, const Route& aNew)
{
  FieldNames out;
  NoteIfChanged(aOld.m_name == aNew.m_name, "name", out);
  NoteIfChanged(IsSame(aOld.m_services, aNew.m_services), "services", out);
  NoteIfChanged(aOld.m_repeat == aNew.m_repeat, "repeat", out);
  NoteIfChanged(aOld.m_stream == aNew.m_stream, "stream", out);
  NoteIfChanged(aOld.m_resumable == aNew.m_resumable, "resumable", out);
  NoteIfChanged(aOld.m_maxRuns == aNew.m_maxRuns, "most runs", out);
  NoteIfChanged(aOld.m_priority == aNew.m_priority, "priority", out);
  NoteIfChanged(aOld.m_isPublic == aNew.m_isPublic, "public", out);
  NoteIfChanged(aOld.m_maxDuration == aNew.m_maxDuration, "time limit", out);
  NoteIfChanged(aOld.m_firstByteTarget == aNew.m_firstByteTarget,
                "target for the first byte",
                out);
  NoteIfChanged(aOld.m_pause == aNew.m_pause, "target for pauses", out);
  return out;
}

FieldNames
ChangedFields(const Service& aOld, const Service& aNew)
{
  FieldNames out;
  NoteIfChanged(
    aOld.m_maxConnections == aNew.m_maxConnections, "most connections", out);
  NoteIfChanged(IsSame(aOld.m_engine, aNew.m_engine), "engine", out);
  NoteIfChanged(IsSame(aOld.m_scaling, aNew.m_scaling), "scaling", out);
  return out;
}

FieldNames
ChangedFields(const keys::Organisation& aOld, const keys::Organisation& aNew)
{
  FieldNames out;
  NoteIfChanged(std::is_permutation(aOld.m_keys.begin(),
                                    aOld.m_keys.end(),
                                    aNew.m_keys.begin(),
                                    aNew.m_keys.end()),
                "keys",
                out);
  NoteIfChanged(aOld.m_priority == aNew.m_priority, "priority", out);
  return out;
}

FieldNames
ChangedFields(const CallerLimits& aOld, const CallerLimits& aNew)
{
  FieldNames out;
  NoteIfChanged(aOld.m_headBytes == aNew.m_headBytes, "bytes of a head", out);
  NoteIfChanged(aOld.m_bodyBytes == aNew.m_bodyBytes, "bytes of a body", out);
  NoteIfChanged(
    aOld.m_headTimeout == aNew.m_headTimeout, "time for a head", out);
  NoteIfChanged(
    aOld.m_idleTimeout == aNew.m_idleTimeout, "time without a request", out);
  return out;
}

/** Entries by what names them. Of two with one name the later one counts. */
template<typename Entry>
auto
ByKey(std::span<const Entry> aEntries)
{
  std::map<std::string, const Entry*> out;
  for (const Entry& entry : aEntries) {
    out[KeyOf(entry)] = &entry;
  }
  return out;
}

template<typename Entry>
void
CompareEntries(std::span<const Entry> aOld,
               std::span<const Entry> aNew,
               std::vector<Difference>& aDifferences)
{
  const auto before = ByKey(aOld);
  const auto after = ByKey(aNew);
  for (const auto& [key, entry] : after) {
    const auto known = before.find(key);
    if (known == before.end()) {
      aDifferences.push_back({ ChangeKind::Added, EntryOf(*entry), {} });
    } else if (auto fields = ChangedFields(*known->second, *entry);
               !fields.empty()) {
      aDifferences.push_back(
        { ChangeKind::Changed, EntryOf(*entry), std::move(fields) });
    }
  }
  for (const auto& [key, entry] : before) {
    if (!after.contains(key)) {
      aDifferences.push_back({ ChangeKind::Removed, EntryOf(*entry), {} });
    }
  }
}

std::string_view
NameOf(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::Added:
      return "added";
    case ChangeKind::Removed:
      return "removed";
    case ChangeKind::Changed:
      break;
  }
  return "changed";
}

} // namespace

std::vector<Difference>
Compare(const RouteConfig& aInForce, const RouteConfig& aNext)
{
  std::vector<Difference> out;
  CompareEntries<Route>(aInForce.m_routes, aNext.m_routes, out);
  CompareEntries<Service>(aInForce.m_services, aNext.m_services, out);
  CompareEntries(OrganisationsOf(aInForce), OrganisationsOf(aNext), out);
  if (auto fields = ChangedFields(aInForce.m_limits, aNext.m_limits);
      !fields.empty()) {
    out.push_back({ ChangeKind::Changed, "limits", std::move(fields) });
  }
  return out;
}

std::string
Format(const Difference& aDifference)
{
  std::string out(NameOf(aDifference.m_kind));
  out += ": " + aDifference.m_entry;
  const char* separator = ": ";
  for (const std::string& field : aDifference.m_fields) {
    out += separator + field;
    separator = ", ";
  }
  return out;
}

} // namespace ridgeferry::configcheck
