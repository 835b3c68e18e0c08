#pragma once

#include "MessageParser.h"

#include <memory>
#include <ridgeferry/net/Address.h>
#include <ridgeferry/net/HttpClient.h>

struct bufferevent;

namespace ridgeferry::net {

class ClientConnection;

/** How a request on a connection ended. */
struct ClientEnd
{
  HttpResponse m_response;
  bool m_reusable = false;
};

/** Who hears of a connection's events; it may cancel in any of them. */
struct ClientListener
{
  sigc::slot<void(const HttpHead&)> m_head;
  sigc::slot<void(std::string_view)> m_chunk;
  sigc::slot<void(const ClientEnd&)> m_end;
  sigc::slot<void(std::string_view, const HttpHead&)> m_skipped;
};

/**
 * One connection to an upstream, one request at a time. It is fit for the next
 * request only if the last answer was whole, the request was written to its
 * end, and no byte came behind the answer. Not thread-safe.
 */
class ClientConnection
{
public:
  ClientConnection(EventLoop& aLoop, const Address& aAddress);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /** Precondition: no request is under way. */
  void Send(const HttpRequest& aRequest, ClientListener aListener);
  /** Ends the connection without calling back. */
  void Close();
  /** Stops reading the answer under way, or goes on. */
  void SetReading(bool aReads);

  /** Whether the connection has come about; before, nothing is written. */
  bool IsConnected() const { return m_connected; }
  /** Whether an idle connection may take a request now. */
  bool IsFit(Instant aNow) const;
  /** How long no request has used it. */
  Duration RestedFor(Instant aNow) const { return aNow - m_restsSince; }

  // For the library's callbacks only.
  void OnReadable();
  void OnEvent(short aEvents);

private:
  void StartAnswer();
  bool TakeHead();
  /** Tells the listener of an answer that is skipped. False: it has ended the
   * request. */
  bool TellSkipped();
  /** Returns false if the body has become too long. */
  bool DeliverBody();
  /** Returns whether an answer that goes on stays within what is held or
   * skipped of it. */
  bool StaysBounded() const;
  bool Gathers() const { return !m_listener.m_chunk; }
  /** Bounds the time of an answer whose body is gathered. */
  void BoundAnswerTime();
  /** Precondition: the answer came to its end, by its framing (`Complete`) or
   * with its connection (`Closed`). */
  void FinishWhole(HttpEnd aEnd, bool aKeepsAlive);
  void FinishBroken(bool aSilent);
  /** Records how the request under way went out. */
  void NoteSent();
  /** Ends an answer that has become too long. */
  void FinishTooLong();
  void Report(const ClientEnd& aEnd);
  std::size_t Unread() const;
  std::size_t Unwritten() const;

  EventLoop& m_loop;
  bufferevent* m_events;
  Duration m_silence{}; ///< Longest silence of the peer in this request.
  bool m_connected = false;
  bool m_refused = false; ///< Nobody listens there.
  bool m_closed = false;
  bool m_busy = false;
  bool m_headOnly = false;
  bool m_headTaken = false;
  bool m_skipping = false; ///< An answer that is not this request's.
  std::optional<std::pair<std::string, std::string>> m_mustEcho;
  std::unique_ptr<MessageParser<false>> m_parser;
  ClientListener m_listener;
  std::size_t m_maxBody = 0;
  Duration m_maxAnswerTime{};
  /** Runs from the first byte of an answer whose body is gathered. */
  std::optional<Watch> m_answerTimer;
  /** Bytes of answers that are not this request's. */
  std::size_t m_skippedBytes = 0;
  int m_skippedAnswers = 0; ///< See `HttpSendRecord::m_answersSkipped`.
  HttpResponse m_response;
  int m_requests = 0; ///< Requests so far.
  std::size_t m_requestBytes = 0;
  Instant m_restsSince;
  std::optional<Instant> m_idleUntil; ///< The peer closes it after that.
};

} // namespace ridgeferry::net
