#include "ClientConnection.h"

#include "Connect.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ridgeferry::net {

namespace {

/** Longest head of an answer: far above what any upstream sends. */
constexpr std::size_t kMaxAnswerHead = std::size_t{ 64 } * 1024;
/** Most bytes that are read ahead of the parser, which takes all but an
 * incomplete head, chunk size line or trailer. More than the longest head, so
 * that the parser itself names a head that is too long. */
constexpr std::size_t kReadAhead = std::size_t{ 128 } * 1024;
/** Longest chunk size line and longest trailer of an answer. */
constexpr std::size_t kMaxUnparsed = std::size_t{ 64 } * 1024;
/** Most bytes of answers to earlier requests that are skipped before the answer
 * to the present one. */
constexpr std::size_t kMaxSkipped = std::size_t{ 1024 } * 1024;
/** A peer that closes idle connections after N seconds gets no request in the
 * last of them: it could cross the close. */
constexpr Duration kIdleMargin{ 1000 };
/** How long the peer's machine may leave sent bytes, or a probe, without its
 * acknowledgement. Inside a deployment that comes within milliseconds; a lost
 * packet is sent again after 200 ms and after 400 ms more. */
constexpr Duration kUnacknowledged{ 700 };
/** Silence after which the system probes whether the connection still stands,
 * and the pause between two probes: the shortest that it knows, one second. */
constexpr int kProbeSeconds = 1;
/** Probes without an answer after which it counts as gone. */
constexpr int kProbes = 2;
constexpr int kFirstFinalStatus = 200;

void
Readable(bufferevent*, void* aContext)
{
  static_cast<ClientConnection*>(aContext)->OnReadable();
}

void
Happened(bufferevent*, short aEvents, void* aContext)
{
  static_cast<ClientConnection*>(aContext)->OnEvent(aEvents);
}

timeval
ToTimeval(Duration aDuration)
{
  constexpr std::int64_t kMsPerSecond = 1000;
  return { aDuration.count() / kMsPerSecond,
           aDuration.count() % kMsPerSecond * kMsPerSecond };
}

/** Failure only costs time: a dead connection is then noticed by the request's
 * own time-out. */
void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  (void)setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

/**
 * Small writes leave at once, and a connection whose other side has gone silent
 * for good, also at rest, ends by the system's own time-outs: no reset comes
 * from a machine that is dark or behind a cut.
 */
void
SetOptions(int aSocket)
{
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(kUnacknowledged.count()));
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

bool
IsInterim(int aStatus)
{
  return aStatus < kFirstFinalStatus;
}

std::string
HeadText(const HttpRequest& aRequest)
{
  std::string out =
    aRequest.m_method + " " + aRequest.m_target + " HTTP/1.1\r\n";
  if (!aRequest.m_headers.Find("Host")) {
    out += "Host: " + aRequest.m_address + "\r\n";
  }
  for (const auto& [name, value] : aRequest.m_headers.All()) {
    out += name + ": " + value + "\r\n";
  }
  const bool mayHaveBody = aRequest.m_method != "GET" &&
                           aRequest.m_method != "HEAD" &&
                           aRequest.m_method != "DELETE";
  if (!aRequest.m_body.empty() || mayHaveBody) {
    out += "Content-Length: " + std::to_string(aRequest.m_body.size()) + "\r\n";
  }
  return out + "\r\n";
}

/** Seconds of `Keep-Alive: timeout=N`, if the peer tells them. */
std::optional<std::chrono::seconds>
IdleSeconds(const HttpHeaders& aHeaders)
{
  constexpr std::string_view kTimeout = "timeout=";
  const auto value = aHeaders.Find("Keep-Alive");
  if (!value) {
    return std::nullopt;
  }
  const std::size_t at = value->find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* start = value->data() + at + kTimeout.size();
  const auto read =
    std::from_chars(start, value->data() + value->size(), seconds);
  if (read.ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

} // namespace

ClientConnection::ClientConnection(EventLoop& aLoop, const Address& aAddress)
  : m_loop(aLoop)
  , m_events(bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
  bufferevent_setcb(m_events, &Readable, nullptr, &Happened, this);
  bufferevent_setwatermark(m_events, EV_READ, 0, kReadAhead);
  m_refused = BeginConnect(m_events, aAddress);
  SetOptions(bufferevent_getfd(m_events));
  bufferevent_enable(m_events, EV_READ | EV_WRITE);
}

ClientConnection::~ClientConnection()
{
  bufferevent_free(m_events);
}

std::size_t
ClientConnection::Unread() const
{
  return evbuffer_get_length(bufferevent_get_input(m_events));
}

std::size_t
ClientConnection::Unwritten() const
{
  return evbuffer_get_length(bufferevent_get_output(m_events));
}

bool
ClientConnection::IsFit(Instant aNow) const
{
  return !m_closed && !m_busy && Unread() == 0 &&
         (!m_idleUntil || aNow < *m_idleUntil);
}

void
ClientConnection::Send(const HttpRequest& aRequest, ClientListener aListener)
{
  m_busy = true;
  m_listener = std::move(aListener);
  m_response = {};
  m_headOnly = aRequest.m_method == "HEAD";
  m_mustEcho = aRequest.m_mustEcho;
  m_maxBody = aRequest.m_maxBody;
  m_maxAnswerTime = aRequest.m_maxAnswerTime;
  m_skippedBytes = 0;
  m_skippedAnswers = 0;
  StartAnswer();
  m_silence = aRequest.m_timeout;
  const timeval silence = ToTimeval(m_silence);
  const timeval connect =
    ToTimeval(std::min(aRequest.m_connectTimeout, aRequest.m_timeout));
  bufferevent_set_timeouts(
    m_events, &silence, m_connected ? &silence : &connect);
  const std::string head = HeadText(aRequest);
  evbuffer* output = bufferevent_get_output(m_events);
  evbuffer_add(output, head.data(), head.size());
  evbuffer_add(output, aRequest.m_body.data(), aRequest.m_body.size());
  ++m_requests;
  m_requestBytes = head.size() + aRequest.m_body.size();
}

void
ClientConnection::StartAnswer()
{
  m_headTaken = false;
  m_skipping = false;
  m_parser = std::make_unique<MessageParser<false>>(
    kMaxAnswerHead, std::numeric_limits<std::size_t>::max());
  if (m_headOnly) {
    m_parser->ExpectNoBody();
  }
}

void
ClientConnection::OnReadable()
{
  if (!m_busy) {
    // Nothing was asked: the bytes belong to no request.
    FinishBroken(false);
    return;
  }
  for (;;) {
    const std::size_t before = Unread();
    const ParseState state = m_parser->Feed(bufferevent_get_input(m_events));
    if (state == ParseState::Failed) {
      m_response.m_tooLong = m_parser->IsHeadTooLong();
      FinishBroken(false);
      return;
    }
    if (m_parser->HasHead() && !TakeHead()) {
      return;
    }
    m_skippedBytes += m_skipping ? before - Unread() : 0;
    if (state == ParseState::NeedsMore) {
      if (!DeliverBody() || (m_busy && !StaysBounded())) {
        FinishTooLong();
      } else {
        BoundAnswerTime();
      }
      return;
    }
    if (!m_skipping) {
      break;
    }
    if (!m_parser->KeepsAlive()) {
      FinishBroken(false);
      return;
    }
    StartAnswer();
  }
  FinishWhole(HttpEnd::Complete, m_parser->KeepsAlive());
}

/** False: the listener has ended the request. */
bool
ClientConnection::TakeHead()
{
  if (m_headTaken) {
    return true;
  }
  m_headTaken = true;
  m_skipping = IsInterim(m_parser->m_status);
  if (m_mustEcho) {
    const auto found = m_parser->m_headers.Find(m_mustEcho->first);
    m_skipping = m_skipping || !found || *found != m_mustEcho->second;
  }
  if (m_skipping) {
    ++m_skippedAnswers;
    return TellSkipped();
  }
  m_response.m_head = { m_parser->m_status,
                        std::move(m_parser->m_headers),
                        m_parser->Framing() };
  if (m_listener.m_head) {
    m_listener.m_head(m_response.m_head);
  }
  return m_busy && !m_closed;
}

bool
ClientConnection::TellSkipped()
{
  if (!m_listener.m_skipped || !m_mustEcho || IsInterim(m_parser->m_status)) {
    return true;
  }
  const HttpHead head{ m_parser->m_status,
                       m_parser->m_headers,
                       m_parser->Framing() };
  const auto echoed = head.m_headers.Find(m_mustEcho->first);
  m_listener.m_skipped(echoed.value_or(std::string_view{}), head);
  return m_busy && !m_closed;
}

bool
ClientConnection::DeliverBody()
{
  if (m_skipping) {
    m_parser->m_body.clear();
    return true;
  }
  if (m_parser->m_body.empty()) {
    return true;
  }
  const std::string piece = std::exchange(m_parser->m_body, {});
  if (!Gathers()) {
    m_listener.m_chunk(piece);
    return true;
  }
  std::string& body = m_response.m_body;
  const std::size_t size = body.size() + piece.size();
  if (size > m_maxBody) {
    return false;
  }
  if (size > body.capacity()) {
    // The string itself would reserve up to twice the limit.
    body.reserve(std::min(m_maxBody, std::max(size, 2 * body.capacity())));
  }
  body += piece;
  return true;
}

bool
ClientConnection::StaysBounded() const
{
  // Of a head the parser itself bounds the length.
  const bool unparsed = m_parser->HasHead() && Unread() >= kMaxUnparsed;
  return !unparsed && m_skippedBytes <= kMaxSkipped;
}

void
ClientConnection::BoundAnswerTime()
{
  if (m_busy && Gathers() && !m_answerTimer) {
    m_answerTimer = m_loop.After(m_maxAnswerTime, [this] { FinishTooLong(); });
  }
}

void
ClientConnection::SetReading(bool aReads)
{
  if (m_closed) {
    return;
  }
  if (aReads) {
    bufferevent_enable(m_events, EV_READ);
  } else {
    bufferevent_disable(m_events, EV_READ);
  }
}

void
ClientConnection::FinishWhole(HttpEnd aEnd, bool aKeepsAlive)
{
  if (!DeliverBody()) {
    FinishTooLong();
    return;
  }
  if (!m_busy || m_closed) {
    return;
  }
  m_response.m_end = aEnd;
  NoteSent();
  if (const auto seconds = IdleSeconds(m_response.m_head.m_headers)) {
    m_idleUntil = m_loop.Now() + *seconds - kIdleMargin;
  }
  const bool clean = Unread() == 0 && Unwritten() == 0;
  Report({ std::move(m_response), aKeepsAlive && clean });
}

void
ClientConnection::FinishBroken(bool aSilent)
{
  m_response.m_end = m_connected ? HttpEnd::Broken : HttpEnd::NotSent;
  m_response.m_silent = aSilent;
  m_response.m_refused = m_refused;
  NoteSent();
  Report({ std::move(m_response), false });
}

void
ClientConnection::NoteSent()
{
  const std::size_t unwritten = std::min(m_requestBytes, Unwritten());
  m_response.m_sent = { m_requests,
                        m_requestBytes - unwritten,
                        m_skippedAnswers };
}

void
ClientConnection::FinishTooLong()
{
  m_response.m_tooLong = true;
  FinishBroken(false);
}

void
ClientConnection::Report(const ClientEnd& aEnd)
{
  m_busy = false;
  m_answerTimer.reset();
  m_restsSince = m_loop.Now();
  if (!aEnd.m_reusable) {
    Close();
  } else {
    bufferevent_set_timeouts(m_events, nullptr, nullptr);
    SetReading(true);
  }
  // A copy: the listener may be replaced by the next request inside the call.
  const auto end = m_listener.m_end;
  if (end) {
    end(aEnd);
  }
}

void
ClientConnection::Close()
{
  m_closed = true;
  m_busy = false;
  m_answerTimer.reset();
  bufferevent_disable(m_events, EV_READ | EV_WRITE);
}

void
ClientConnection::OnEvent(short aEvents)
{
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    m_connected = true;
    const timeval silence = ToTimeval(m_silence);
    bufferevent_set_timeouts(m_events, &silence, &silence);
    return;
  }
  if (m_closed) {
    return;
  }
  const bool clean = (aEvents & BEV_EVENT_EOF) != 0;
  if (m_busy && clean && m_headTaken && !m_skipping &&
      m_parser->FinishAtClose()) {
    FinishWhole(HttpEnd::Closed, false);
    return;
  }
  m_refused = m_refused || (!m_connected && WasRefused(aEvents));
  // By our own time-out or the system's: no word came from the other side.
  const bool silent =
    (aEvents & BEV_EVENT_TIMEOUT) != 0 ||
    ((aEvents & BEV_EVENT_ERROR) != 0 && EVUTIL_SOCKET_ERROR() == ETIMEDOUT);
  FinishBroken(silent);
}

} // namespace ridgeferry::net
