#pragma once

#include "MessageParser.h"

#include <memory>
#include <optional>
#include <ridgeferry/net/HttpServer.h>
#include <string>

struct bufferevent;

namespace ridgeferry::net {

/** What the connections of one server share. */
struct ServerShared
{
  EventLoop& m_loop;
  HttpServerLimits m_limits;
  HttpServer::Handler m_handler;
  bool m_keepAlive = true;
  /** Called once by a connection that has ended; it is freed later. */
  sigc::slot<void(ServerConnection&)> m_ended;
  BodyBudget* m_bodies = nullptr; ///< See `HttpServer::ShareBodies`.
  /** See `HttpServer::AskWhetherLimitsMayBeOld`. */
  sigc::slot<bool()> m_limitsMayBeOld;
  std::string m_echoedField; ///< See `HttpServer::EchoField`.
};

/**
 * One connection of a caller: one request after the other. Bytes of the next
 * request wait in the buffer until the present one is answered.
 * Not thread-safe.
 */
class ServerConnection
{
public:
  ServerConnection(ServerShared& aShared, int aSocket, std::string aPeer);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // For the exchange under way.
  void SendWhole(int aStatus,
                 const HttpHeaders& aHeaders,
                 std::string_view aBody);
  void SendHead(int aStatus, const HttpHeaders& aHeaders, BodyFraming aFraming);
  void SendChunk(std::string_view aBytes);
  void SendEnd();
  void Abort();
  std::size_t Backlog() const;

  /** Ends what has been silent for too long. */
  void CheckTimes(Instant aNow);
  void CloseIfResting();

  // For the library's callbacks only.
  void OnReadable();
  void OnWritten();
  void OnEvent(short aEvents);

private:
  enum class State
  {
    Reading,   ///< The next request, or its first byte, is awaited.
    Answering, ///< An exchange is under way.
    Flushing,  ///< Closes once all is written.
    Lingering, ///< All is written; what the caller still sends is dropped.
    Ended,
  };

  /** Awaits the first byte of a request. */
  void StartRequest();
  /** Begins to read a request, by the limits of this moment. */
  void BeginHead();
  /** Keeps what the answer must repeat of the head that has been read. */
  void KeepEcho();
  void Dispatch();
  struct Refusal
  {
    int m_status = 0;
    std::string_view m_code;
    std::string_view m_reason;
    /** When to come back; 0 if that is of no use. */
    std::chrono::seconds m_retryAfter = {};
  };

  void Refuse(const Refusal& aRefusal);
  /** Refuses a request that could not be read. */
  void RefuseUnread();
  /** Returns whether there is room for the body of the request that is being
   * read. Refuses it if there is none. */
  bool TakeRoom();
  void FinishAnswer();
  void End();
  std::string HeadText(int aStatus, const HttpHeaders& aHeaders) const;

  ServerShared& m_shared;
  bufferevent* m_events;
  std::string m_peer;
  State m_state = State::Reading;
  /** Null while no request is being read. */
  std::unique_ptr<MessageParser<true>> m_parser;
  BodyShare m_body; ///< Of the request that is being read.
  std::weak_ptr<HttpExchange> m_exchange;
  Instant m_since; ///< Of the state, or of the last byte of a body.
  bool m_begun = false;
  bool m_keepAlive = true;
  bool m_headOnly = false; ///< The request was HEAD.
  /** Value of `ServerShared::m_echoedField` in the request. */
  std::optional<std::string> m_echo;
  bool m_readsChunks = true; ///< See `MessageParser::m_readsChunks`.
  /** Closes its own side first and waits for the caller's: bytes that the
   * caller still sends must not turn the end of the answer into a reset. */
  bool m_linger = false;
  /** Of the answer under way, if it is sent in pieces. */
  BodyFraming m_framing = BodyFraming::Chunks;
};

} // namespace ridgeferry::net
