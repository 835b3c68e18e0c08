#pragma once

#include <optional>
#include <ridgeferry/base/Time.h>
#include <string>
#include <vector>

namespace ridgeferry::relay {

/** What the head of an answer says about the upstream that gave it. */
struct UpstreamStatement
{
  /** Id of the upstream that answered; empty if the answer does not name it. */
  std::string m_speaker;
  /** The answer may come from another upstream, which has the address now. */
  bool m_isMisdirected = false;
  /** The upstream will end and wants no new calls. */
  bool m_leaves = false;
  /** Requests a second that the upstream accepts from all instances together;
   * std::nullopt if it states none. */
  std::optional<double> m_limitPerSecond;
  /** The upstream turned the request away and wants no other one from this
   * instance for this time; std::nullopt if it does not ask for that. */
  std::optional<Duration> m_backOff;
  /** Fields that could not be read, with their values, for the log. */
  std::vector<std::string> m_unreadable;
};

} // namespace ridgeferry::relay
