// The part of `RelayCall` that keeps calls to plain services back while their
// upstreams could not answer them in time.

#include "RelayCall.h"

namespace ridgeferry::entry {

namespace {

std::string_view
NameOf(admission::LimitStep aStep)
{
  switch (aStep) {
    case admission::LimitStep::Began:
      return "began";
    case admission::LimitStep::Lowered:
      return "lowered";
    case admission::LimitStep::Raised:
      return "raised";
    case admission::LimitStep::Ended:
      return "ended";
    case admission::LimitStep::None:
      break;
  }
  return "none";
}

} // namespace

bool
RelayCall::Admit()
{
  // Prompts have a bound of their own, and whoever takes a stream up is served
  // first.
  if (m_isAdmitted || !m_node.m_settings.m_admitsFairly ||
      m_start.m_head.m_prompt || m_origin) {
    return true;
  }
  const keys::Organisation* organisation = m_start.m_organisation;
  admission::Ask ask;
  ask.m_service = m_start.m_service;
  if (organisation != nullptr) {
    ask.m_organisation = organisation->m_name;
  }
  ask.m_yieldsToUrgent =
    Urgency() > m_start.m_routes->MostUrgent(m_start.m_service);
  ask.m_draw = std::uniform_real_distribution<double>()(m_node.m_random);
  const admission::Verdict verdict =
    m_node.m_admission.Decide(ask, m_node.Now());
  const auto* refused = std::get_if<admission::Refused>(&verdict);
  if (refused == nullptr) {
    m_isAdmitted = true;
    return true;
  }
  const std::string_view cause =
    refused->m_isWithinShare ? "no room" : "share used up";
  m_node.m_metrics.Count(
    observe::WithLabel("admission_refusals_total", "cause", cause));
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "admission-refused",
    { { "id", m_start.m_head.m_id },
      { "service", m_start.m_service },
      { "organisation", std::string(ask.m_organisation) },
      { "cause", std::string(cause) },
      { "underWay", static_cast<std::int64_t>(refused->m_inFlight) },
      { "limit", refused->m_limit },
      { "roomInMs", refused->m_roomIn.count() } });
  Handle(relay::NoPlace{ refused->m_roomIn });
  return false;
}

void
RelayCall::NoteAdmissionAnswer(relay::AttemptEnd aEnd)
{
  // A failure of the upstream's own says nothing of room.
  const bool isOfRoom = aEnd == relay::AttemptEnd::Served ||
                        aEnd == relay::AttemptEnd::Declined ||
                        aEnd == relay::AttemptEnd::Abandoned;
  const Instant now = m_node.Now();
  const Duration deadline = m_deadline - m_began;
  // A caller may leave for reasons of its own.
  const bool isCut =
    aEnd == relay::AttemptEnd::Abandoned && now - m_began < deadline;
  // The stream began with an earlier attempt, and this one goes on with it.
  const bool goesOn = m_answeredAt && *m_answeredAt < m_attempt.m_sentAt;
  if (!m_isAdmitted || !isOfRoom || isCut || goesOn) {
    return;
  }
  const bool isServed =
    aEnd == relay::AttemptEnd::Served || m_answeredAt.has_value();
  const Duration took = m_answeredAt.value_or(now) - m_attempt.m_sentAt;
  const admission::LimitStep step =
    m_node.m_admission.NoteAnswer(m_start.m_service,
                                  { m_attempt.m_sentAt,
                                    took,
                                    isServed,
                                    m_start.m_route->m_firstByteTarget,
                                    deadline },
                                  now);
  if (step == admission::LimitStep::None) {
    return;
  }
  const double limit =
    m_node.m_admission.LimitOf(m_start.m_service).value_or(0);
  m_node.m_metrics.Set(
    observe::WithLabel("admission_limit", "service", m_start.m_service), limit);
  if (step == admission::LimitStep::Began ||
      step == admission::LimitStep::Ended) {
    m_node.m_log->Write(observe::LogLevel::Info,
                        "admission-limit",
                        { { "service", m_start.m_service },
                          { "step", std::string(NameOf(step)) },
                          { "limit", limit },
                          { "id", m_start.m_head.m_id },
                          { "tookMs", took.count() } });
  }
}

} // namespace ridgeferry::entry
