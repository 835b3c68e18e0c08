#pragma once

#include <optional>
#include <ridgeferry/base/StorePosition.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/net/Http.h>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/relay/AttemptGround.h>
#include <ridgeferry/relay/CallLease.h>
#include <ridgeferry/streams/StreamOrigin.h>
#include <string>
#include <string_view>

// How an instance passes a call on to another one: the caller's request as it
// came, with some header fields of our own beside it.

namespace ridgeferry::entry {

/** Prefix of the header fields that only instances send to each other. */
inline constexpr std::string_view kInstanceHeaderPrefix = "Ridgeferry-";
/** The field that names an attempt, in the request and in its answer. */
inline constexpr std::string_view kAttemptField = "Ridgeferry-Attempt";

/** What the instance that a caller reached tells the one that serves it. */
struct ForwardedTerms
{
  Duration m_left{};   ///< Time left until the caller's deadline.
  Duration m_waited{}; ///< How long the caller has waited so far.
  /** Id of the event after which the stream resumes; empty to send what the
   * caller asked for. */
  std::string m_resumeAfter;
  /** What alone may go on with the stream; std::nullopt if none has begun. */
  std::optional<streams::StreamOrigin> m_origin = {};
  /** Position of the configuration by which the call was routed. An instance
   * that has not read so far must not decide on the call. std::nullopt if the
   * sender runs a software version that does not tell it. */
  std::optional<StorePosition> m_config = {};
  /** The lease under which the call runs; std::nullopt if no other instance
   * will go on with it, or the sender runs a software version that renews none.
   */
  std::optional<relay::CallLease> m_lease = {};
  /** Name of this attempt, which no other one has. The other instance repeats
   * it in its answer; an answer that does not promises nothing. */
  std::string m_attempt = {};
};

/** Writes the request that passes a call on to the instance at `aAddress`. */
net::HttpRequest
WriteForwarded(const net::ReceivedRequest& aRequest,
               const std::string& aAddress,
               const ForwardedTerms& aTerms);

/** Returns the terms of a call that another instance passes on; std::nullopt if
 * the request is none. */
std::optional<ForwardedTerms>
ReadForwarded(const net::HttpHeaders& aHeaders);

/** Adds to an answer what began its stream, for the instance that passed the
 * call on. */
void
AddOrigin(net::HttpHeaders& aHeaders, const streams::StreamOrigin& aOrigin);

/** Returns what `AddOrigin` or `WriteForwarded` wrote; std::nullopt if nothing
 * is there. */
std::optional<streams::StreamOrigin>
ReadOrigin(const net::HttpHeaders& aHeaders);

/** Marks an answer: another instance may serve the call, which this one has
 * given to no upstream. */
void
MarkDeclined(net::HttpHeaders& aHeaders);

bool
IsDeclined(const net::HttpHeaders& aHeaders);

/** Returns what the answer of another instance shows of the attempt that was
 * sent as `aAttempt`. Precondition: `aAttempt` is not empty. */
relay::AttemptGround
ReadInstanceGround(const net::HttpHead& aHead, std::string_view aAttempt);

} // namespace ridgeferry::entry
