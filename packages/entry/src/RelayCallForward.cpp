// The part of `RelayCall` that passes the call on to another instance, because
// this one reaches no upstream of its service.

#include "ForwardedCall.h"
#include "RelayCall.h"

#include <fmt/format.h>

namespace ridgeferry::entry {

namespace {

/** Stands before an instance's name where the flow takes it for an upstream. */
constexpr std::string_view kInstance = "instance/";
/** Attempts in a row to which no connection came about, after which a call is
 * passed on: one upstream may have crashed. */
constexpr int kUnsentToPassOn = 2;
/** Instances take connections within milliseconds. */
constexpr Duration kConnectTimeout{ 250 };
/** Idle connections that are kept to one instance. */
constexpr std::size_t kMostIdle = 4;
/** See `net::HttpRequest::m_longestRest`: instances keep idle connections for
 * an hour, so that only a cut between them ends one. */
constexpr Duration kLongestRest{ 1000 };

} // namespace

bool
RelayCall::IsInstance(std::string_view aUpstream)
{
  return aUpstream.starts_with(kInstance);
}

bool
RelayCall::IsServiceUnreachable() const
{
  return m_start.m_reach->IsUnreachable(m_start.m_service) ||
         !m_node.m_fleet.IsAnyResponsive(m_start.m_service, m_node.Now());
}

std::vector<std::string>
RelayCall::InstancesOf(std::span<const std::string> aUpstreams)
{
  std::vector<std::string> out;
  for (const std::string& upstream : aUpstreams) {
    if (IsInstance(upstream)) {
      out.push_back(upstream.substr(kInstance.size()));
    }
  }
  return out;
}

std::optional<std::string>
RelayCall::PickInstance(std::span<const std::string> aExcluded) const
{
  const std::vector<std::string> tried = InstancesOf(aExcluded);
  // Open connections may live on while no new one comes about. Whether that is
  // so is not known, so only one instance is tried.
  const bool lacksConnections =
    m_unsentInRow >= kUnsentToPassOn || m_foundNoneSound;
  const bool mayPassOn =
    IsServiceUnreachable() || (lacksConnections && tried.empty());
  if (m_start.m_forwarded || !mayPassOn) {
    return std::nullopt;
  }
  const auto name = m_start.m_peers->PickForwardTarget(
    m_start.m_service, m_start.m_configAt, tried);
  return name ? std::optional(std::string(kInstance) + *name) : std::nullopt;
}

bool
RelayCall::PassOn(std::span<const std::string> aExcluded)
{
  const auto instance = PickInstance(aExcluded);
  if (!instance) {
    return false;
  }
  m_place = {};
  m_expectedMs = 0;
  m_placedAt = m_node.Now();
  m_node.m_metrics.Count("calls_forwarded_total");
  Handle(relay::PlaceFound{ *instance, {} });
  return true;
}

void
RelayCall::SendToInstance(const relay::SendRun& aAction)
{
  BeginAttempt(aAction.m_attempt, aAction.m_upstream);
  m_attempt.m_isForwarded = true;
  m_attempt.m_name = fmt::format("{:016x}", m_node.m_random());
  m_path += (m_path.empty() ? "" : ",") + aAction.m_upstream;
  const auto address = m_start.m_peers->AddressOf(
    std::string_view(aAction.m_upstream).substr(kInstance.size()));
  if (!address) {
    m_attempt.m_ground = relay::AttemptGround::NotListed;
    Handle(relay::AttemptNotSent{ aAction.m_attempt });
    return;
  }
  const Duration waited = m_node.Now() - m_began + m_start.m_earlierWait;
  ForwardedTerms terms{
    Left(), waited, aAction.m_resumeAfter, m_origin, m_start.m_configAt
  };
  terms.m_attempt = m_attempt.m_name;
  if (IsResumable()) {
    terms.m_lease = m_start.m_leases->Await(*address);
    m_attempt.m_lease = terms.m_lease->m_id;
  }
  net::HttpRequest request =
    WriteForwarded(m_start.m_exchange->Request(), *address, terms);
  request.m_timeout = Left();
  request.m_connectTimeout = kConnectTimeout;
  request.m_keepIdle = kMostIdle;
  request.m_longestRest = kLongestRest;
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "call-forwarded",
    { { "id", m_start.m_head.m_id },
      { "attempt", static_cast<std::int64_t>(aAction.m_attempt) },
      { "to", aAction.m_upstream },
      { "service", m_start.m_service },
      { "config", static_cast<std::int64_t>(m_start.m_routes->Version()) },
      { "leftMs", Left().count() } });
  LogSecondSend();
  Start(request);
}

void
RelayCall::HoldLease()
{
  if (m_start.m_forwarded && m_start.m_forwarded->m_lease) {
    m_start.m_leases->Hold(*m_start.m_forwarded->m_lease,
                           [this] { EndByLease(); });
  }
}

void
RelayCall::EndByLease()
{
  m_node.m_log->Write(
    observe::LogLevel::Warning,
    "call-lease-expired",
    { { "id", m_start.m_head.m_id },
      { "attempt", static_cast<std::int64_t>(m_attempt.m_id) },
      { "upstream", m_attempt.m_upstream },
      { "lastEvent", m_flow.LastEventId() },
      { "termMs", m_start.m_forwarded->m_lease->m_term.count() } });
  // Raises `CallerLeft`, which ends the run.
  m_start.m_exchange->Abort();
}

Duration
RelayCall::EndLease()
{
  if (!m_attempt.m_lease) {
    return {};
  }
  const relay::PassedOnCallId id = *m_attempt.m_lease;
  const Duration mayRunFor = m_start.m_leases->MayRunFor(id);
  m_start.m_leases->EndAwait(id);
  m_attempt.m_lease.reset();
  return mayRunFor;
}

void
RelayCall::GoOnBehindLease(Duration aMayRunFor)
{
  m_node.m_metrics.Count("leases_waited_for_total");
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "waits-for-lease",
    { { "id", m_start.m_head.m_id },
      { "attempt", static_cast<std::int64_t>(m_attempt.m_id) },
      { "at", m_attempt.m_upstream },
      { "forMs", aMayRunFor.count() } });
  m_untilLeaseEnds =
    m_node.m_loop->After(aMayRunFor, [this, id = m_attempt.m_id] {
      Handle(relay::AttemptBroke{ id });
    });
}

void
RelayCall::TakeForwardedHead(const net::HttpHead& aHead)
{
  m_attempt.m_hasHead = true;
  m_attempt.m_head = aHead;
  if (const auto origin = ReadOrigin(aHead.m_headers)) {
    m_attempt.m_service = origin->m_service;
    m_attempt.m_softwareVersion = origin->m_softwareVersion;
  }
  m_attempt.m_ground = ReadInstanceGround(aHead, m_attempt.m_name);
  m_attempt.m_saidNotRun =
    m_attempt.m_ground == relay::AttemptGround::DeclinedByInstance;
  if (m_attempt.m_ground == relay::AttemptGround::OtherAttempt) {
    BreakOff();
  } else if (!m_attempt.m_saidNotRun) {
    const bool isRefusal =
      m_attempt.m_ground == relay::AttemptGround::RefusedByInstance;
    Handle(relay::HeadArrived{
      m_attempt.m_id, aHead.m_status, isRefusal, IsUnframed(aHead) });
  }
}

void
RelayCall::BreakOff()
{
  Do(relay::CancelAttempt{ m_attempt.m_id });
  Handle(relay::AttemptBroke{ m_attempt.m_id });
}

} // namespace ridgeferry::entry
