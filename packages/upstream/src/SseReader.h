#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ridgeferry::upstream {

/** One server-sent event. */
struct SseEvent
{
  std::string m_type; ///< Empty: `message`.
  std::string m_id;
  std::string m_data;
};

/** Splits a byte stream into server-sent events. Not thread-safe. */
class SseReader
{
public:
  void Feed(std::string_view aBytes);
  /** The next whole event, if there is one. */
  std::optional<SseEvent> Next();
  /** Returns how many bytes belong to no event that was taken. */
  std::size_t Unfinished() const { return m_buffer.size() - m_read; }

private:
  std::string m_buffer;
  std::size_t m_read = 0;
};

} // namespace ridgeferry::upstream
