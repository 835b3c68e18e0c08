#pragma once

#include <string>
#include <string_view>

namespace ridgeferry::relay {

/**
 * Cuts a stream of events into whole events, so that a caller never gets part
 * of one that another upstream would have to finish. Bytes are not changed.
 * Not thread-safe.
 */
class EventSplitter
{
public:
  /** Adds bytes; returns those that now form whole events, possibly none. */
  std::string Add(std::string_view aBytes);
  /** The bytes of an event that has not ended, and forgets them. */
  std::string TakeRest();
  /** The id of the last whole event that had one; empty: none yet. */
  const std::string& LastId() const { return m_lastId; }

private:
  void ReadId(std::string_view aEvent);

  std::string m_pending;
  std::string m_lastId;
};

} // namespace ridgeferry::relay
