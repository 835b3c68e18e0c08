// The part of `RelayCall` that works with the organisation on whose behalf the
// call runs: whether the call may still run by its key, with which priority,
// and the count of its usage.

#include "RelayCall.h"

#include <utility>

namespace ridgeferry::entry {

namespace {

/** Urgency of calls that miss their target for the first byte in any case.
 * Engines serve them after calls that can still meet theirs. */
constexpr int kLate = relay::RouteTable::kLeastUrgent;

} // namespace

bool
RelayCall::MayRunByKey() const
{
  if (!m_start.m_presentsKey || m_start.m_freshness->AllowsKeys()) {
    return true;
  }
  const std::optional<Duration> age = m_start.m_freshness->Age();
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "key-refused",
    { { "id", m_start.m_head.m_id },
      { "cause", "configuration may be out of date" },
      { "organisation",
        m_start.m_organisation == nullptr ? std::string()
                                          : m_start.m_organisation->m_name },
      { "config", static_cast<std::int64_t>(m_start.m_routes->Version()) },
      { "provenAgeMs", age ? age->count() : std::int64_t{ -1 } } });
  return false;
}

int
RelayCall::Urgency() const
{
  if (m_place.m_late) {
    return kLate;
  }
  const keys::Organisation* organisation = m_start.m_organisation;
  const bool isOfCaller = organisation != nullptr && organisation->m_priority;
  return m_start.m_routes->UrgencyOf(isOfCaller ? *organisation->m_priority
                                                : m_start.m_route->m_priority);
}

void
RelayCall::NoteBegan()
{
  const keys::Organisation* organisation = m_start.m_organisation;
  if (organisation == nullptr || std::exchange(m_countedAsBegun, true)) {
    return;
  }
  // A plain service begins when it receives the call; an engine's answer begins
  // with the first token.
  const Duration ago =
    m_start.m_head.m_prompt ? Duration{} : m_node.Now() - m_attempt.m_sentAt;
  m_start.m_usage->NoteBegan(organisation->m_name, ago);
}

} // namespace ridgeferry::entry
