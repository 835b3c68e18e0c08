#pragma once

#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <string>
#include <string_view>

namespace ridgeferry::streams {

/** A statement about a service: for so long, up to now, its upstreams have run
 * no other software version than this one. */
struct SoleVersion
{
  std::string m_softwareVersion;
  Duration m_for{};

  bool operator==(const SoleVersion&) const = default;
};

/**
 * Which software versions the upstreams of each service have run, as long as
 * that may matter to a stream that is taken up. Pure, not thread-safe.
 */
class VersionHistory
{
public:
  /** Records that the list shows an upstream of the service with that version.
   * Must be called for each listed upstream several times a second. */
  void NoteListed(std::string_view aService,
                  std::string_view aSoftwareVersion,
                  Instant aNow);
  /** Records that the list may have been other than this instance saw it: what
   * was before proves nothing. */
  void NoteGap() { m_services.clear(); }
  /** Must be called several times a second while this instance follows the
   * list. After a longer pause, in which an upstream may have joined and left,
   * what was before proves nothing. */
  void NoteWatched(Instant aNow);
  /**
   * Returns the version that the service's upstreams run, with the time for
   * which this instance has seen no other; std::nullopt if it has seen another
   * within `aMemory`, or none at all.
   */
  std::optional<SoleVersion> SoleVersionOf(std::string_view aService,
                                           Duration aMemory,
                                           Instant aNow) const;

  /** Whether any service has had several versions within `aMemory`. */
  bool HasSeveral(Duration aMemory, Instant aNow) const;

private:
  struct Service
  {
    Instant m_since; ///< When it was first seen.
    /** When each version was last seen. */
    std::map<std::string, Instant, std::less<>> m_lastSeen;
  };

  std::map<std::string, Service, std::less<>> m_services;
  std::optional<Instant> m_watchedAt;
};

} // namespace ridgeferry::streams
