#include "ServerConnection.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ridgeferry::net {

namespace {

/** Bytes read ahead of the request under way; more stays in the kernel. A head
 * is read as a whole, so its limit comes on top. */
constexpr std::size_t kReadAhead = std::size_t{ 64 } * 1024;
/** Unread bytes of an answer below which more may be given. */
constexpr std::size_t kFewUnread = std::size_t{ 16 } * 1024;
/** How long a caller may go on sending after a refusal: one second lets the
 * refusal arrive before a reset would. */
constexpr Duration kLinger{ 1000 };

constexpr int kContinue = 100;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
/** Retry-After where there is no room for a body: others are passed on within
 * about a second, unless upstreams read slowly. */
constexpr std::chrono::seconds kRoomRetryAfter{ 1 };
/** Retry-After where other limits may be in force by now: they are learned
 * within about a second, unless the outage goes on. */
constexpr std::chrono::seconds kLimitsRetryAfter{ 1 };
/** Most bytes for which room is made before they have come. */
constexpr std::size_t kMostReserved = std::size_t{ 16 } * 1024 * 1024;
constexpr std::string_view kBadRequestCode = "bad-request";
constexpr int kHeadTooLarge = 431;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

void
Readable(bufferevent*, void* aContext)
{
  static_cast<ServerConnection*>(aContext)->OnReadable();
}

void
Written(bufferevent*, void* aContext)
{
  static_cast<ServerConnection*>(aContext)->OnWritten();
}

void
Happened(bufferevent*, short aEvents, void* aContext)
{
  static_cast<ServerConnection*>(aContext)->OnEvent(aEvents);
}

/** Whether closing the socket, also by the end of the process, resets the
 * connection. */
void
SetResetOnClose(int aSocket, bool aResets)
{
  const linger value{ aResets ? 1 : 0, 0 };
  // Failure leaves an ordinary close.
  (void)setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
}

bool
HasBody(int aStatus)
{
  return aStatus != kNoContent && aStatus != kNotModified;
}

int
StatusOf(const boost::system::error_code& aError)
{
  using boost::beast::http::error;
  if (aError == error::header_limit) {
    return kHeadTooLarge;
  }
  if (aError == error::body_limit) {
    return kTooLarge;
  }
  return kBadRequest;
}

/** Why a request that parsed is refused all the same; empty: it is good. */
std::string_view
FaultOf(const MessageParser<true>& aParser)
{
  const auto& all = aParser.m_headers.All();
  const auto count = [&](std::string_view aName) {
    return std::count_if(all.begin(), all.end(), [&](const auto& aField) {
      return HttpHeaders::SameName(aField.first, aName);
    });
  };
  if (count("Host") != 1) {
    return "exactly one Host header is needed";
  }
  if (count("Content-Length") > 1) {
    return "more than one Content-Length header";
  }
  if (count("Transfer-Encoding") > 0 && !aParser.m_sawLength) {
    return "the only transfer coding here is chunked";
  }
  if (!aParser.m_target.starts_with('/')) {
    return "the target must be a path that begins with a slash";
  }
  return {};
}

} // namespace

ServerConnection::ServerConnection(ServerShared& aShared,
                                   int aSocket,
                                   std::string aPeer)
  : m_shared(aShared)
  , m_events(bufferevent_socket_new(aShared.m_loop.Base(),
                                    aSocket,
                                    BEV_OPT_CLOSE_ON_FREE))
  , m_peer(std::move(aPeer))
{
  const int on = 1;
  // Failure only costs delay: small writes would wait for one another.
  (void)setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent_setcb(m_events, &Readable, &Written, &Happened, this);
  bufferevent_setwatermark(m_events, EV_WRITE, kFewUnread, 0);
  StartRequest();
  bufferevent_enable(m_events, EV_READ | EV_WRITE);
}

ServerConnection::~ServerConnection()
{
  if (const auto exchange = m_exchange.lock()) {
    exchange->NoteClosed();
  }
  bufferevent_free(m_events);
}

void
ServerConnection::StartRequest()
{
  m_state = State::Reading;
  m_begun = false;
  m_since = m_shared.m_loop.Now();
  m_echo.reset();
  m_body = BodyShare(m_shared.m_bodies);
  m_parser.reset();
  bufferevent_setwatermark(m_events, EV_READ, 0, kReadAhead);
}

void
ServerConnection::BeginHead()
{
  const HttpServerLimits& limits = m_shared.m_limits;
  if (m_parser == nullptr) {
    m_parser = std::make_unique<MessageParser<true>>(limits.m_maxHeaderBytes,
                                                     limits.m_maxBodyBytes);
  } else {
    // What was within the limits when it began stays so.
    m_parser->RaiseLimits(limits.m_maxHeaderBytes, limits.m_maxBodyBytes);
  }
  bufferevent_setwatermark(
    m_events, EV_READ, 0, kReadAhead + m_parser->MaxHeaderBytes());
}

void
ServerConnection::OnReadable()
{
  evbuffer* input = bufferevent_get_input(m_events);
  if (m_state == State::Lingering || m_state == State::Flushing) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  if (m_state != State::Reading) {
    return;
  }
  const bool hadHead = m_parser != nullptr && m_parser->HasHead();
  if (!hadHead) {
    BeginHead();
  }
  if (!m_begun || hadHead) {
    m_since = m_shared.m_loop.Now();
  }
  m_begun = true;
  const ParseState state = m_parser->Feed(input);
  KeepEcho();
  if (state == ParseState::Failed) {
    RefuseUnread();
    return;
  }
  if (!hadHead && m_parser->HasHead()) {
    if (const std::string_view fault = FaultOf(*m_parser); !fault.empty()) {
      Refuse({ kBadRequest, kBadRequestCode, fault });
      return;
    }
    if (!TakeRoom()) {
      return;
    }
    if (state == ParseState::NeedsMore &&
        m_parser->m_headers.Find("Expect").has_value()) {
      const std::string text =
        "HTTP/1.1 " + std::to_string(kContinue) + " Continue\r\n\r\n";
      bufferevent_write(m_events, text.data(), text.size());
    }
  }
  if (hadHead && !TakeRoom()) {
    return;
  }
  if (state == ParseState::Done) {
    Dispatch();
  }
}

void
ServerConnection::KeepEcho()
{
  const std::string& field = m_shared.m_echoedField;
  if (field.empty() || m_echo || !m_parser->HasHead()) {
    return;
  }
  if (const auto value = m_parser->m_headers.Find(field)) {
    m_echo = std::string(*value);
  }
}

bool
ServerConnection::TakeRoom()
{
  std::string& body = m_parser->m_body;
  const std::size_t told = m_parser->ToldLength();
  if (!m_body.RaiseTo(std::max(told, body.size()))) {
    Refuse(
      { kUnavailable, "no-room", "too much is under way", kRoomRetryAfter });
    return false;
  }
  // It would grow to twice its length otherwise. What is told may be anything.
  body.reserve(std::min(told, kMostReserved));
  return true;
}

void
ServerConnection::Dispatch()
{
  m_state = State::Answering;
  m_keepAlive = m_parser->KeepsAlive();
  m_headOnly = m_parser->m_method == "HEAD";
  m_readsChunks = m_parser->m_readsChunks;
  const auto exchange = std::make_shared<HttpExchange>(
    *this,
    ReceivedRequest{ std::move(m_parser->m_method),
                     std::move(m_parser->m_target),
                     std::move(m_parser->m_headers),
                     std::move(m_parser->m_body),
                     m_peer },
    std::move(m_body));
  m_parser.reset();
  m_exchange = exchange;
  m_shared.m_handler(exchange);
}

void
ServerConnection::RefuseUnread()
{
  const int status = StatusOf(m_parser->Error());
  const auto& mayBeOld = m_shared.m_limitsMayBeOld;
  if (status != kBadRequest && mayBeOld && mayBeOld()) {
    Refuse({ kUnavailable,
             "limits-may-be-old",
             "the request is above limits that may have been raised",
             kLimitsRetryAfter });
    return;
  }
  const std::string reason = m_parser->Error().message();
  Refuse({ status, kBadRequestCode, reason });
}

void
ServerConnection::Refuse(const Refusal& aRefusal)
{
  m_linger = true;
  m_parser.reset(); // What is there of its body is not needed any more.
  m_body = BodyShare(m_shared.m_bodies);
  m_keepAlive = false;
  m_state = State::Answering;
  HttpHeaders headers;
  headers.Add("Content-Type", "application/problem+json");
  if (aRefusal.m_retryAfter.count() > 0) {
    headers.Add("Retry-After", std::to_string(aRefusal.m_retryAfter.count()));
  }
  std::string body = R"({"code":")";
  body.append(aRefusal.m_code);
  body += R"(","outcome":"not-run","status":)" +
          std::to_string(aRefusal.m_status) + R"(,"detail":")";
  body.append(aRefusal.m_reason);
  body += "\"}";
  SendWhole(aRefusal.m_status, headers, body);
}

std::string
ServerConnection::HeadText(int aStatus, const HttpHeaders& aHeaders) const
{
  const auto reason = boost::beast::http::obsolete_reason(
    static_cast<boost::beast::http::status>(aStatus));
  std::string out = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  out.append(reason.data(), reason.size());
  out += "\r\n";
  for (const auto& [name, value] : aHeaders.All()) {
    out += name + ": " + value + "\r\n";
  }
  if (m_echo) {
    out += m_shared.m_echoedField + ": " + *m_echo + "\r\n";
  }
  if (!m_keepAlive || !m_shared.m_keepAlive) {
    out += "Connection: close\r\n";
  }
  return out;
}

void
ServerConnection::SendWhole(int aStatus,
                            const HttpHeaders& aHeaders,
                            std::string_view aBody)
{
  std::string out = HeadText(aStatus, aHeaders);
  if (HasBody(aStatus)) {
    out += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    if (!m_headOnly) {
      out.append(aBody);
    }
  } else {
    out += "\r\n";
  }
  bufferevent_write(m_events, out.data(), out.size());
  FinishAnswer();
}

void
ServerConnection::SendHead(int aStatus,
                           const HttpHeaders& aHeaders,
                           BodyFraming aFraming)
{
  m_framing = m_readsChunks ? aFraming : BodyFraming::Close;
  if (m_framing == BodyFraming::Close) {
    m_keepAlive = false;
    m_linger = true;
    SetResetOnClose(bufferevent_getfd(m_events), true);
  }
  std::string out = HeadText(aStatus, aHeaders);
  if (m_framing == BodyFraming::Chunks) {
    out += "Transfer-Encoding: chunked\r\n";
  }
  out += "\r\n";
  bufferevent_write(m_events, out.data(), out.size());
}

void
ServerConnection::SendChunk(std::string_view aBytes)
{
  if (m_headOnly) {
    return;
  }
  if (m_framing == BodyFraming::Close) {
    bufferevent_write(m_events, aBytes.data(), aBytes.size());
    return;
  }
  constexpr int kHex = 16;
  std::array<char, kHex + 2> size{};
  char* end =
    std::to_chars(size.data(), size.data() + kHex, aBytes.size(), kHex).ptr;
  *end++ = '\r';
  *end++ = '\n';
  evbuffer* output = bufferevent_get_output(m_events);
  evbuffer_add(
    output, size.data(), static_cast<std::size_t>(end - size.data()));
  evbuffer_add(output, aBytes.data(), aBytes.size());
  evbuffer_add(output, "\r\n", 2);
}

void
ServerConnection::SendEnd()
{
  constexpr std::string_view kLastChunk = "0\r\n\r\n";
  if (m_framing == BodyFraming::Chunks && !m_headOnly) {
    bufferevent_write(m_events, kLastChunk.data(), kLastChunk.size());
  }
  FinishAnswer();
  if (m_state == State::Flushing) {
    OnWritten(); // Nothing may be left to write that would call it.
  }
}

void
ServerConnection::FinishAnswer()
{
  m_exchange.reset();
  if (!m_keepAlive || !m_shared.m_keepAlive) {
    m_state = State::Flushing;
    m_since = m_shared.m_loop.Now();
    return;
  }
  StartRequest();
  if (evbuffer_get_length(bufferevent_get_input(m_events)) > 0) {
    // Deferred: a caller that pipelines must not deepen the stack.
    bufferevent_trigger(m_events, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
  }
}

void
ServerConnection::OnWritten()
{
  if (const auto exchange = m_exchange.lock()) {
    exchange->NoteRead();
  }
  if (m_state != State::Flushing || Backlog() > 0) {
    return;
  }
  if (!m_linger) {
    End();
    return;
  }
  SetResetOnClose(bufferevent_getfd(m_events), false);
  shutdown(bufferevent_getfd(m_events), SHUT_WR);
  m_state = State::Lingering;
  m_since = m_shared.m_loop.Now();
}

void
ServerConnection::OnEvent(short aEvents)
{
  if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    End();
  }
}

void
ServerConnection::Abort()
{
  // What was forwarded in this turn of the loop still goes out, as far as the
  // system takes it at once.
  evbuffer* output = bufferevent_get_output(m_events);
  evbuffer_unfreeze(output, 1);
  (void)evbuffer_write(output, bufferevent_getfd(m_events));
  End();
}

void
ServerConnection::End()
{
  if (m_state == State::Ended) {
    return;
  }
  m_state = State::Ended;
  bufferevent_disable(m_events, EV_READ | EV_WRITE);
  if (const auto exchange = m_exchange.lock()) {
    m_exchange.reset();
    exchange->NoteClosed();
  }
  m_shared.m_ended(*this);
}

std::size_t
ServerConnection::Backlog() const
{
  return evbuffer_get_length(bufferevent_get_output(m_events));
}

void
ServerConnection::CheckTimes(Instant aNow)
{
  const Duration silent = aNow - m_since;
  const HttpServerLimits& limits = m_shared.m_limits;
  const bool inRequest = m_state == State::Reading && m_begun;
  if (inRequest && silent >= limits.m_headTimeout) {
    Refuse({ kRequestTimeout,
             kBadRequestCode,
             "the request did not arrive in time" });
    return;
  }
  const bool resting = m_state == State::Reading && !m_begun;
  const bool idle =
    (resting || m_state == State::Flushing) && silent >= limits.m_idleTimeout;
  if (idle || (m_state == State::Lingering && silent >= kLinger)) {
    End();
  }
}

void
ServerConnection::CloseIfResting()
{
  if (m_state == State::Reading && !m_begun &&
      evbuffer_get_length(bufferevent_get_input(m_events)) == 0) {
    End();
  }
}

} // namespace ridgeferry::net
