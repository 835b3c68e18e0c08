// The part of `RelayCall` that has an engine read the call's prompt before the
// call runs at another one.

#include "RelayCall.h"

namespace ridgeferry::entry {

namespace {

/** Time-out for freeing the handle of a prompt's KV cache. Nothing waits for
 * that request: an engine frees the cache by itself after a while. */
constexpr Duration kFreeTimeout{ 1000 };
/** Longest answer of a prefill engine, which names a handle. */
constexpr std::size_t kMaxHandleBytes = std::size_t{ 64 } * 1024;

} // namespace

void
RelayCall::Do(const relay::SendPrefill& aAction)
{
  const auto reader = m_node.m_fleet.TargetFor(
    aAction.m_prefillEngine, relay::RequestPurpose::Work, m_node.Now());
  if (!reader) {
    Withhold(
      aAction.m_attempt, aAction.m_prefillEngine, "it wants no new calls");
    return;
  }
  if (aAction.m_repeat) {
    NoteRepeat(aAction.m_attempt);
  }
  SendTerms terms;
  terms.m_readOnly = true;
  if (const relay::Member* donor = m_node.m_fleet.Find(m_place.m_fetchFrom)) {
    terms.m_transferSourceAddress = donor->m_address;
  }
  Send(aAction.m_attempt, *reader, std::move(terms));
}

void
RelayCall::TakePrefillBytes(std::string_view aBytes)
{
  m_prefillAnswer.append(aBytes);
  if (m_prefillAnswer.size() > kMaxHandleBytes) {
    Do(relay::CancelAttempt{ m_attempt.m_id, true });
    TakeBreak();
  }
}

bool
RelayCall::HasRunForPrefill() const
{
  return m_attempt.m_readOnly && m_attempt.m_hasHead &&
         !m_attempt.m_saidNotRun &&
         m_node.m_dialect.m_tellsOfARun(m_attempt.m_head);
}

void
RelayCall::TakePrefillEnd(relay::AttemptId aId)
{
  std::string handle = m_node.m_dialect.m_readHandle(m_prefillAnswer);
  m_attempt.m_ground = relay::GroundOf({ !handle.empty(), HasRunForPrefill() });
  if (m_attempt.m_ground == relay::AttemptGround::RanForPrefill) {
    Handle(relay::PrefillRan{ aId });
  } else if (handle.empty()) {
    Handle(relay::AnswerEnded{ aId });
  } else {
    Handle(relay::PrefillCompleted{ aId, std::move(handle) });
  }
}

void
RelayCall::Do(const relay::FreeHandle& aAction)
{
  const auto reader = m_node.m_fleet.TargetFor(
    aAction.m_prefillEngine, relay::RequestPurpose::Upkeep, m_node.Now());
  if (!reader) {
    m_node.m_metrics.Count("handles_not_freed_total");
    return;
  }
  net::HttpRequest request =
    m_node.m_dialect.m_writeFreeHandle((*reader)->m_address, aAction.m_handle);
  request.m_address = (*reader)->m_address;
  request.m_timeout = kFreeTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done =
    [&node = m_node,
     statements = m_start.m_statements,
     upstream = (*reader)->Incarnation(),
     id = m_start.m_head.m_id](const net::HttpResponse& aResponse) {
      if (!net::HasAnswer(aResponse)) {
        // The prefill engine frees the cache by itself when the lifetime of the
        // handle ends, so the failure is only counted.
        node.m_metrics.Count("handles_not_freed_total");
        return;
      }
      statements->Take({ upstream, AnswerProof::ByAddress, id },
                       aResponse.m_head);
    };
  m_node.m_http->Send(request, std::move(callbacks));
}

} // namespace ridgeferry::entry
