#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::cli {

/** One line of a log that belongs to a request's story. */
struct StoryLine
{
  std::string m_time; ///< As logged; sorts as text.
  std::string m_text; ///< `INSTANCE EVENT field=value ...`.
};

/**
 * The story of one request out of the logs of one instance or more: all lines
 * with its id, and what was said of the upstreams that it was sent to until its
 * last line. In order of time. Lines
 * that are no JSON objects are passed over; what stands before the first brace
 * of a line too. Not thread-safe (reads the stream).
 */
std::vector<StoryLine>
ReadStory(std::istream& aLog, std::string_view aId);

} // namespace ridgeferry::cli
