#pragma once

#include <memory>
#include <ridgeferry/net/Address.h>
#include <ridgeferry/net/BodyBudget.h>
#include <ridgeferry/net/EventLoop.h>
#include <ridgeferry/net/Http.h>
#include <ridgeferry/net/NetError.h>
#include <sigc++/sigc++.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace ridgeferry::net {

class ServerConnection;

/** The head and body of a request as it came in. */
struct ReceivedRequest
{
  std::string m_method;
  std::string m_target; ///< As sent.
  HttpHeaders m_headers;
  std::string m_body;
  std::string m_peer; ///< IP:PORT of the caller.
};

/**
 * One request of a caller and its answer. Once the caller has left, all that
 * is sent is dropped. Not thread-safe.
 */
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
  /** `aBody` is the share of the request's body in the server's budget. */
  HttpExchange(ServerConnection& aConnection,
               ReceivedRequest aRequest,
               BodyShare aBody);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const ReceivedRequest& Request() const { return m_request; }
  const std::string& Method() const { return m_request.m_method; }
  const std::string& Path() const { return m_path; }   ///< Decoded.
  const std::string& Query() const { return m_query; } ///< As sent.
  /** One parameter of the query, decoded; empty if missing. */
  std::string QueryValue(std::string_view aName) const;
  const HttpHeaders& Headers() const { return m_request.m_headers; }
  const std::string& Body() const { return m_request.m_body; }
  const std::string& Peer() const { return m_request.m_peer; }

  /** The whole answer. Precondition: nothing was sent yet. */
  void Reply(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody);
  /** The whole answer without its proof; see `StartStream`. Precondition: as
   * for `Reply`. */
  void ReplyUnframed(int aStatus,
                     const HttpHeaders& aHeaders,
                     std::string_view aBody);
  /**
   * Begins an answer in pieces. A caller that reads no chunks gets it without
   * them. With `BodyFraming::Close` nothing tells the
   * caller that the answer is whole: it ends with its connection, by a reset
   * if it is aborted or this process dies. Preconditions: nothing was sent yet;
   * the framing is `Chunks` or `Close`.
   */
  void StartStream(int aStatus,
                   const HttpHeaders& aHeaders,
                   BodyFraming aFraming = BodyFraming::Chunks);
  void SendChunk(std::string_view aBytes);
  void EndStream();
  /** Ends the connection, so that what was sent does not look whole. */
  void Abort();

  /** Bytes that the caller has not read yet. */
  std::size_t Backlog() const;
  bool IsOpen() const { return m_connection != nullptr; }
  /** Emitted once if the caller leaves before the answer ended. */
  sigc::signal<void()>& SignalLeft() { return m_left; }
  /** Emitted when the caller has read and little of the answer is left unread,
   * until the answer has ended. */
  sigc::signal<void()>& SignalRead() { return m_read; }

  /** For the connection only: it has ended under this exchange. */
  void NoteClosed();
  /** For the connection only: the caller has read. */
  void NoteRead() { m_read.emit(); }

private:
  ServerConnection* m_connection; ///< Null once answered or left.
  ReceivedRequest m_request;
  BodyShare m_body;
  std::string m_path;
  std::string m_query;
  sigc::signal<void()> m_left;
  sigc::signal<void()> m_read;
};

struct HttpServerLimits
{
  std::size_t m_maxHeaderBytes = std::size_t{ 32 } * 1024;
  std::size_t m_maxBodyBytes = std::size_t{ 16 } * 1024 * 1024;
  /** Longest rest of a connection between two requests. */
  Duration m_idleTimeout{ 3'700'000 };
  /** Longest time from a head's first byte to its last, and longest silence
   * inside a body. Ten seconds: a slow phone link still gets through. */
  Duration m_headTimeout{ 10'000 };
};

/** Listens on one address and hands each request to the handler. */
class HttpServer
{
public:
  using Handler = sigc::slot<void(std::shared_ptr<HttpExchange>)>;

  /** Error: the address cannot be bound, with the system's reason. */
  static tl::expected<std::unique_ptr<HttpServer>, NetError> Listen(
    EventLoop& aLoop,
    const Address& aAddress,
    HttpServerLimits aLimits,
    Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** The address bound: tells the port where 0 was asked for. */
  const Address& Bound() const;

  /** Holds for each request whose first byte comes later, on any connection. A
   * request whose head has begun is held against the higher ones of both. */
  void SetLimits(HttpServerLimits aLimits);
  /** Asked when a request is above the limits on sizes: if `aMayBeOld` returns
   * true, others may be in force by now, and the request is refused for now
   * (503) in place of for good (413, 431). */
  void AskWhetherLimitsMayBeOld(sigc::slot<bool()> aMayBeOld);
  /** Bounds the bodies of all requests together: a request without room is
   * refused with 503 before its body is taken. The budget may be shared by
   * several servers and must outlive the server and its exchanges. */
  void ShareBodies(BodyBudget* aBudget);
  /** Each answer to a request with this header field repeats the field, also an
   * answer that the server gives itself. Shows a caller that keeps connections
   * that an answer is of its present request. */
  void EchoField(std::string aName);
  /** From now on each answer closes its connection. */
  void StopKeeping();
  /** Closes the connections that rest between two requests. */
  void CloseResting();
  /**
   * Connections with bytes that the system has not taken yet, also of answers
   * that have ended. A loop that is stopped before they are gone cuts them.
   */
  std::size_t Unsent() const;

  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> aImpl);

private:
  std::unique_ptr<Impl> m_impl;
};

} // namespace ridgeferry::net
