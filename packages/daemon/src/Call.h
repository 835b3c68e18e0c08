#pragma once

#include "CallRequest.h"
#include "ClaimService.h"
#include "Node.h"

#include <memory>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/routing/CallFlow.h>
#include <ridgeferry/routing/Dispatcher.h>
#include <ridgeferry/upstream/EngineClient.h>
#include <ridgeferry/upstream/ServiceClient.h>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::daemon {

/** What a call needs of its process; owned by `CallerApi`. */
struct CallContext
{
  Node& m_node;
  ClaimService& m_claims;
  upstream::EngineClient& m_engines;
  upstream::ServiceClient& m_services;
  /** Queue the call for an upstream, after a wait of the retry's backoff. */
  sigc::slot<void(routing::UpstreamRequest, int)> m_requestUpstream;
  sigc::slot<void(const std::string&, bool)> m_releaseUpstream;
  /** The upstream wants no requests of this instance for that time. */
  sigc::slot<void(const std::string&, Duration)> m_noteBackOff;
  /** Address of a listed upstream; empty if it is not there. */
  sigc::slot<std::string(const std::string&)> m_addressOf;
  /** Whether a retry may be made now. */
  sigc::slot<bool()> m_takeRetry;
  sigc::slot<void(routing::CallId)> m_finished;
};

/** Drives the flow of one call: its caller's connection and its attempts. */
class Call : public std::enable_shared_from_this<Call>
{
public:
  Call(CallContext& aContext,
       routing::CallId aId,
       CallRequest aRequest,
       std::shared_ptr<const routing::PoolSpec> aPool,
       std::shared_ptr<net::HttpExchange> aExchange);

  void Start();
  void OnDispatch(const routing::Dispatch& aDispatch);

  const CallRequest& Request() const { return m_request; }

private:
  void Handle(const routing::CallEvent& aEvent);
  void Act(const routing::RequestClaim& aAction);
  void Act(const routing::CloseClaim& aAction);
  void Act(const routing::RequestUpstream& aAction);
  void Act(const routing::SendAttempt& aAction);
  void Act(const routing::ResumeAttempt& aAction);
  void Act(const routing::CancelAttempt& aAction);
  void Act(const routing::ReleaseUpstream& aAction);
  void Act(const routing::StartStream& aAction);
  void Act(const routing::ReplyToken& aAction);
  void Act(const routing::EndStream& aAction);
  void Act(const routing::ReplyGeneration& aAction);
  void Act(const routing::ReplyAnswer& aAction);
  void Act(const routing::ReplyProblem& aAction);

  void OnClaim(const claims::ClaimAction& aAction);
  void SendGeneration(const routing::SendAttempt& aAction,
                      const GenerationCall& aCall);
  void SendService(const routing::SendAttempt& aAction,
                   const ServiceCall& aCall);
  upstream::GenerationCallbacks CallbacksFor(routing::AttemptId aAttempt);
  /** Returns the slot that records that the present attempt's upstream wants
   * no requests for a while. */
  sigc::slot<void(Duration)> BackOffSlot();
  void OnFailure(routing::AttemptId aAttempt, upstream::Failure aFailure);
  void Account(std::string_view aResult, int aStatus);
  Duration Left() const;
  const GenerationCall* Generation() const;
  GenerationShape Shape() const;

  CallContext& m_context;
  routing::CallId m_id;
  CallRequest m_request;
  std::shared_ptr<const routing::PoolSpec> m_pool;
  std::shared_ptr<net::HttpExchange> m_exchange;
  routing::CallFlow m_flow;
  std::shared_ptr<ClaimHandle> m_claim;
  Instant m_arrived;
  Instant m_deadline;
  net::Watch m_deadlineTimer;
  std::optional<Duration> m_firstToken;
  bool m_streaming = false;
  int m_attempts = 0;

  // Of the attempt under way.
  net::HttpCallId m_sent = 0;
  std::string m_upstream;
  std::string m_address;
  std::string m_stream;
};

} // namespace ridgeferry::daemon
