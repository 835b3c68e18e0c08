#pragma once

#include "EntryNode.h"
#include "PromptOutcome.h"
#include "QuarantineService.h"

#include <memory>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/relay/CallKind.h>
#include <ridgeferry/relay/ConnectionShare.h>
#include <ridgeferry/relay/RelayFlow.h>
#include <ridgeferry/relay/RetryBudget.h>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::entry {

/** What a call knows from its beginning. */
struct RelayCallStart
{
  std::shared_ptr<net::HttpExchange> m_exchange;
  CallHead m_head;
  /** Keeps the route alive when a newer configuration comes. */
  std::shared_ptr<const relay::RouteTable> m_routes;
  const relay::Route* m_route = nullptr;
  std::string m_service;
  /** Of its route; null: it has no prompt. */
  std::shared_ptr<relay::CallKind> m_kind;
  /** What its caller has waited already, before it came back. */
  Duration m_lost{};
  /** See `PlaceRequest::m_movedPerMs`. */
  double m_movedTokensPerMs = 0;
  /** Of the service: connections to each of its upstreams. */
  relay::ConnectionShare m_connections;
  relay::RetryBudget* m_budget = nullptr; ///< Of the service; outlives calls.
  QuarantineService* m_quarantine = nullptr; ///< Outlives calls.
};

/** Carries out what a `RelayFlow` decides for one call. Not thread-safe. */
class RelayCall
{
public:
  RelayCall(EntryNode& aNode, RelayCallStart aStart);
  ~RelayCall();
  RelayCall(const RelayCall&) = delete;
  RelayCall& operator=(const RelayCall&) = delete;

  void Begin();
  /** Emitted once, when the call has its final answer or its caller left. It
   * may come from inside `Begin`; the call must outlive the emission. */
  sigc::signal<void()>& SignalDone() { return m_done; }

private:
  /** The send that is under way. */
  struct Attempt
  {
    relay::AttemptId m_id = 0;
    net::HttpCallId m_http = 0;
    std::string m_upstream;
    std::int64_t m_tokens = 0;      ///< That it still has to read.
    std::int64_t m_tokensAhead = 0; ///< Under way there when it was sent.
    Instant m_sentAt;
    bool m_workIsSure = false; ///< `m_tokens` cannot be much fewer.
    bool m_readOnly = false;
    bool m_saidNotRun = false;
    bool m_hasHead = false;
    std::optional<Instant> m_lastBytes; ///< Of a stream of events.
    net::HttpHead m_head;
  };

  void Handle(const relay::RelayEvent& aEvent);
  void Do(const relay::FindPlace& aAction);
  void Do(const relay::SendRead& aAction);
  void Do(const relay::SendRun& aAction);
  void Do(const relay::CancelAttempt& aAction);
  void Do(const relay::NoteAttemptEnd& aAction);
  void Do(const relay::FreeHandle& aAction);
  void Do(const relay::ForwardHead& aAction);
  void Do(const relay::ForwardBytes& aAction);
  void Do(const relay::ForwardEnd& aAction);
  void Do(const relay::ForwardWhole& aAction);
  void Do(const relay::BreakOff& aAction);
  void Do(const relay::ReplyOwn& aAction);

  void Send(relay::AttemptId aId,
            const relay::Member& aMember,
            SendTerms aTerms);
  void TakeHead(const net::HttpHead& aHead);
  void TakeBytes(std::string_view aBytes);
  void TakeEnd(const net::HttpResponse& aResponse);
  void NoteRepeat();
  /** Names the call by its content; the body is read at the first use. */
  const quarantine::CallDigest& Digest();
  /** For how long the call is given to no upstream; nothing: it may run. */
  std::optional<Duration> HeldFor();
  bool MayRepeat();
  /** The send under way has ended with its connection, in whatever way. */
  void NoteConnection(const net::HttpResponse& aResponse);
  void LogQuarantined(Duration aFor);
  void LogNoPlace(const relay::PlaceFault& aFault) const;
  /** Tokens of its prompt; 0: it has none. */
  std::int64_t PromptTokens() const;
  Duration PlaceAgainIn() const;
  void NoteFirstToken();
  /** Some bytes of a stream came: was the pause before them too long? */
  void NotePause();
  /** Some bytes of the present attempt came. */
  void NoteHeard();
  /** Its member gets nothing for a while, and why. */
  void LogRest(std::string_view aCause);
  Duration Left() const;
  /** Until its caller gives it up if nothing has come. */
  Duration UntilGivenUp() const;
  /** Until then, or until its output could not end any more. */
  Duration LeftToFirstToken() const;
  void LogEnd(std::string_view aOutcome, int aStatus);
  void CountPrompt(std::string_view aOutcome);
  /** What became of it for its caller. */
  PromptOutcome OutcomeFor(std::string_view aOutcome) const;

  EntryNode& m_node;
  RelayCallStart m_start;
  relay::RelayFlow m_flow;
  Instant m_began;
  Instant m_deadline;
  net::Watch m_timer;
  net::Watch m_placing; ///< Until a call that waits is tried again.
  Attempt m_attempt;
  double m_expectedMs = 0; ///< Of the first token, by the first place; 0: none.
  Instant m_placedAt;
  std::optional<Instant> m_answeredAt; ///< First bytes went to its caller.
  relay::Place m_place;                ///< The one in use.
  bool m_paused = false; ///< Its stream has had a pause that is too long.
  std::optional<quarantine::CallDigest> m_digest;
  bool m_tries = false;   ///< It runs to show whether its hold is right.
  std::string m_readBody; ///< Of a reader's answer.
  std::string m_path;     ///< Members tried, in order, for the log.
  bool m_told = false;
  sigc::signal<void()> m_done;
};

} // namespace ridgeferry::entry
