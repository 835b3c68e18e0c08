#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ridgeferry::relay {

/**
 * Splits a stream of server-sent events at the ends of events. Only complete
 * events are forwarded to a caller, so that another upstream can resume the
 * stream with the next event if the first upstream breaks off. A line may end
 * in LF, CR LF or CR. The bytes are not changed. Not thread-safe.
 */
class EventSplitter
{
public:
  /** Appends bytes of the stream. Returns all bytes that now form complete
   * events; empty if no event is complete. */
  std::string Add(std::string_view aBytes);
  /** Returns the bytes behind the last complete event and removes them from the
   * splitter. */
  std::string TakeRest();
  /** Returns whether the stream ends inside an event if it ends now. Comments
   * that are whole lines are not inside one. */
  bool IsInsideEvent() const
  {
    return m_hasField || m_lineStart < m_pending.size();
  }
  /** Returns how many bytes belong to no complete event yet. */
  std::size_t Unfinished() const { return m_pending.size(); }
  /** Returns how many complete events had a field. */
  std::uint64_t Events() const { return m_events; }
  /** Returns the id of the last complete event that had one; empty if there has
   * been none. */
  const std::string& LastId() const { return m_lastId; }

private:
  /** How the latest line ended. */
  enum class LineEnd : std::uint8_t
  {
    None, ///< No line has ended in this event.
    Lf,
    Cr, ///< An LF that follows belongs to it.
  };

  /** Scans the byte at `m_scanned`. Returns true if an event ends with it. */
  bool ScanByte();
  /** Ends the line that ends with the byte at `m_scanned`. Returns true if it
   * is blank. */
  bool EndLine(LineEnd aEnd);
  /** Removes the bytes before `m_scanned`, an event, from the pending ones, and
   * returns them. */
  std::string TakeEvent();
  void ParseLine(std::string_view aLine);

  std::string m_pending;
  std::size_t m_scanned = 0;   ///< Bytes of `m_pending` that were looked at.
  std::size_t m_lineStart = 0; ///< In `m_pending`.
  LineEnd m_lineEnd = LineEnd::None;
  /** The blank line ended in CR behind a line that did not: an LF should
   * follow. */
  bool m_awaitsLf = false;
  bool m_hasField = false; ///< The event under way has one.
  std::string m_eventId;   ///< Of the event under way.
  bool m_hasEventId = false;
  std::uint64_t m_events = 0;
  std::string m_lastId;
};

} // namespace ridgeferry::relay
