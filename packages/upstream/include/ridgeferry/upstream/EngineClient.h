#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/authority/Order.h>
#include <ridgeferry/authority/OrderController.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/net/HttpClient.h>
#include <ridgeferry/routing/UpstreamSet.h>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::upstream {

/** How an attempt failed, as far as this side can know. */
enum class Failure
{
  NotSent, ///< No byte has left.
  Refused, ///< The upstream says that it did not run it.
  Broken,  ///< It may have run.
};

/** An answer that is no token stream. */
struct Answer
{
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
  /** Nothing but the end of its connection told its end: it may have been cut.
   */
  bool m_unframed = false;
  std::string m_kvHandle; ///< Of a prefill: handle of the exported KV cache.
};

struct GenerationRequest
{
  std::string m_address;
  std::string m_path; ///< `/v1/completions` or `/v1/chat/completions`.
  std::string m_body; ///< The caller's JSON.
  std::string m_requestId;
  int m_priority = 0; ///< 0 is most urgent.
  bool m_prefillOnly = false;
  std::string m_kvHandle; ///< To import before decoding.
  std::uint64_t m_givenTokens = 0;
  std::string m_givenText;  ///< Output so far, to be continued.
  std::uint64_t m_seed = 0; ///< Used if the caller's body has none.
  Duration m_timeout{};
  bool m_fresh = false; ///< A connection of its own (may not be repeated).
};

/** Exactly one of ended, answered and failed comes, and comes last. */
struct GenerationCallbacks
{
  sigc::slot<void(std::string)> m_began; ///< The engine's id of the stream.
  sigc::slot<void(std::uint64_t, std::string)> m_token; ///< Offset and text.
  sigc::slot<void(std::uint64_t, std::string)> m_ended; ///< Length, reason.
  sigc::slot<void(Answer)> m_answered;
  sigc::slot<void(Failure)> m_failed;
  /** May come before the last one: for how long the engine wants no requests of
   * this instance. May be left empty. */
  sigc::slot<void(Duration)> m_backsOff;
};

/** What an engine says of itself: for routing and for the planner. */
struct EngineStatus
{
  routing::EngineReport m_report;
  authority::EngineState m_state;
  bool m_leaving = false;
};

/**
 * The model engines' published protocol (docs/UPSTREAMS.md). Another wire form
 * is another implementation of this class. Not thread-safe.
 */
class EngineClient
{
public:
  explicit EngineClient(net::HttpClient& aClient);

  net::HttpCallId Generate(const GenerationRequest& aRequest,
                           const GenerationCallbacks& aCallbacks);
  /** Reads a stream that runs, or ended lately, from a token offset on. */
  net::HttpCallId Resume(const std::string& aAddress,
                         const std::string& aStream,
                         std::uint64_t aOffset,
                         Duration aTimeout,
                         const GenerationCallbacks& aCallbacks);
  /** Stops listening and, if the stream is known, tells the engine to end
   * it. */
  void Cancel(net::HttpCallId aCall,
              const std::string& aAddress,
              const std::string& aStream);

  void GetStatus(const std::string& aAddress,
                 const sigc::slot<void(std::optional<EngineStatus>)>& aDone);
  /** Sends an order once. */
  void SendOrder(const std::string& aAddress,
                 const authority::Order& aOrder,
                 const sigc::slot<void(authority::SendResult)>& aDone);

private:
  net::HttpCallId SendStream(const net::HttpRequest& aRequest,
                             const GenerationCallbacks& aCallbacks);

  net::HttpClient& m_client;
};

} // namespace ridgeferry::upstream
