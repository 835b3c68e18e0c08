#pragma once

#include <memory>
#include <ridgeferry/net/Address.h>
#include <ridgeferry/net/EventLoop.h>
#include <ridgeferry/net/Http.h>
#include <ridgeferry/net/NetError.h>
#include <sigc++/sigc++.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

struct evhttp_connection;
struct evhttp_request;

namespace ridgeferry::net {

/**
 * One request of a caller and its answer. Once the caller has left, all that
 * is sent is dropped. Not thread-safe.
 */
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
  explicit HttpExchange(evhttp_request* aRequest);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const std::string& Method() const { return m_method; }
  const std::string& Path() const { return m_path; }   ///< Decoded.
  const std::string& Query() const { return m_query; } ///< As sent.
  /** One parameter of the query, decoded; empty if missing. */
  std::string QueryValue(std::string_view aName) const;
  const HttpHeaders& Headers() const { return m_headers; }
  const std::string& Body() const { return m_body; }
  const std::string& Peer() const { return m_peer; }

  /** The whole answer. Precondition: nothing was sent yet. */
  void Reply(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody);
  /** Begins an answer in pieces. Precondition: nothing was sent yet. */
  void StartStream(int aStatus, const HttpHeaders& aHeaders);
  void SendChunk(std::string_view aBytes);
  void EndStream();
  /** Closes the connection, so that what was sent does not look whole. */
  void Abort();

  /** Bytes that the caller has not read yet. */
  std::size_t Backlog() const;
  bool IsOpen() const { return m_request != nullptr; }
  /** Emitted once if the caller leaves before the answer ended. */
  sigc::signal<void()>& SignalLeft() { return m_left; }

  /** For the library's close callback only. */
  void NoteClosed();

private:
  void Detach();

  evhttp_request* m_request;
  evhttp_connection* m_connection = nullptr;
  std::string m_method;
  std::string m_path;
  std::string m_query;
  HttpHeaders m_headers;
  std::string m_body;
  std::string m_peer;
  sigc::signal<void()> m_left;
};

struct HttpServerLimits
{
  std::size_t m_maxHeaderBytes = std::size_t{ 32 } * 1024;
  std::size_t m_maxBodyBytes = std::size_t{ 16 } * 1024 * 1024;
  /** Silence after which a connection is closed: above any deadline. */
  Duration m_idleTimeout{ 3'700'000 };
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

  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> aImpl);

private:
  std::unique_ptr<Impl> m_impl;
};

} // namespace ridgeferry::net
