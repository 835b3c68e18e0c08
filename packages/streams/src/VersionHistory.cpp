#include "ridgeferry/streams/VersionHistory.h"

#include <algorithm>
#include <utility>

namespace ridgeferry::streams {

namespace {

/** An upstream that joins and leaves serves for longer. */
constexpr Duration kLongestUnwatched{ 2000 };

} // namespace

void
VersionHistory::NoteListed(std::string_view aService,
                           std::string_view aSoftwareVersion,
                           Instant aNow)
{
  auto service = m_services.find(aService);
  if (service == m_services.end()) {
    service =
      m_services.emplace(std::string(aService), Service{ aNow, {} }).first;
  }
  auto& versions = service->second.m_lastSeen;
  const auto version = versions.find(aSoftwareVersion);
  if (version == versions.end()) {
    versions.emplace(std::string(aSoftwareVersion), aNow);
  } else {
    version->second = aNow;
  }
}

void
VersionHistory::NoteWatched(Instant aNow)
{
  const auto last = std::exchange(m_watchedAt, aNow);
  if (last && aNow - *last > kLongestUnwatched) {
    NoteGap();
  }
}

std::optional<SoleVersion>
VersionHistory::SoleVersionOf(std::string_view aService,
                              Duration aMemory,
                              Instant aNow) const
{
  const auto service = m_services.find(aService);
  if (service == m_services.end()) {
    return std::nullopt;
  }
  const auto& versions = service->second.m_lastSeen;
  const auto latest =
    std::max_element(versions.begin(),
                     versions.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second < aRight.second;
                     });
  Instant since = service->second.m_since;
  for (const auto& [version, lastSeen] : versions) {
    if (version == latest->first) {
      continue;
    }
    if (aNow - lastSeen < aMemory) {
      return std::nullopt;
    }
    since = std::max(since, lastSeen);
  }
  return SoleVersion{ latest->first, aNow - since };
}

bool
VersionHistory::HasSeveral(Duration aMemory, Instant aNow) const
{
  const auto isRecent = [&](const auto& aVersion) {
    return aNow - aVersion.second < aMemory;
  };
  return std::any_of(
    m_services.begin(), m_services.end(), [&](const auto& aService) {
      const auto& versions = aService.second.m_lastSeen;
      return std::count_if(versions.begin(), versions.end(), isRecent) > 1;
    });
}

} // namespace ridgeferry::streams
