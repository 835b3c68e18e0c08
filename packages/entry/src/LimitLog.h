#pragma once

#include "EntryNode.h"

#include <optional>
#include <ridgeferry/limits/StatedLimits.h>
#include <string_view>

namespace ridgeferry::entry {

/** A change of what is known of the limit that an upstream states. */
struct LimitNews
{
  std::string_view m_upstream;
  std::optional<double> m_perSecond; ///< std::nullopt: it states none.
  limits::LimitChange m_change = limits::LimitChange::None;
  /** Id of the call whose answer stated it, or name of the instance that told
   * it. */
  std::string_view m_from;
};

/** Logs and counts a change; does nothing if there is none. */
void
LogLimitChange(EntryNode& aNode, const LimitNews& aNews);

} // namespace ridgeferry::entry
