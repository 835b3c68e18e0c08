#pragma once

#include <string>
#include <string_view>

namespace ridgeferry::relay {

/**
 * Splits a stream of server-sent events at the ends of events. Only complete
 * events are forwarded to a caller, so that another upstream can resume the
 * stream with the next event if the first upstream breaks off. The bytes are
 * not changed. Not thread-safe.
 */
class EventSplitter
{
public:
  /** Appends bytes of the stream. Returns all bytes that now form complete
   * events; empty if no event is complete. */
  std::string Add(std::string_view aBytes);
  /** Returns the bytes of the last, incomplete event and removes them from the
   * splitter. */
  std::string TakeRest();
  /** Returns how many bytes belong to no complete event yet. */
  std::size_t Unfinished() const { return m_pending.size(); }
  /** Returns the id of the last complete event that had one; empty if there has
   * been none. */
  const std::string& LastId() const { return m_lastId; }

private:
  /** Stores the value of the `id` field in `m_lastId`, if the event has one. */
  void ParseId(std::string_view aEvent);

  std::string m_pending;
  std::string m_lastId;
};

} // namespace ridgeferry::relay
