#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/** One HTTP/1.1 message, as read from a socket. */
struct Message
{
  std::string m_method; ///< Of a request.
  std::string m_target; ///< Of a request.
  int m_status = 0;     ///< Of a response.
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  /** Returns the first field of that name, whatever its case; else empty. */
  std::string Header(std::string_view aName) const;
  bool HasHeader(std::string_view aName) const;
  /** Returns the value of a field of the query of the target. */
  std::string Query(std::string_view aName) const;
};

/** A connected TCP socket with a read buffer. Not thread-safe. */
class Connection
{
public:
  explicit Connection(int aSocket)
    : m_socket(aSocket)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(std::string_view aBytes);
  /** Reads one request; std::nullopt if the connection ends before. */
  std::optional<Message> ReadRequest();
  /** Reads one response, by length or chunks. `std::nullopt`: the connection
   * ended, or nothing came for `aTimeoutMs`. */
  std::optional<Message> ReadResponse(int aTimeoutMs);
  /** Returns whether the other side has closed the connection. */
  bool IsClosed() const;
  void Close();

private:
  bool Fill(int aTimeoutMs);
  std::optional<std::string> ReadLine(int aTimeoutMs);
  bool ReadBytes(std::size_t aCount, std::string& aOut, int aTimeoutMs);
  bool ReadRest(Message& aMessage, bool aIsRequest, int aTimeoutMs);

  int m_socket;
  std::string m_buffer;
};

/** Opens a connection to IP:PORT; null if none comes about in a second. */
std::unique_ptr<Connection>
Connect(const std::string& aAddress);

/** Sends a request on a connection of its own and returns its response. */
std::optional<Message>
Ask(const std::string& aAddress, std::string_view aRequest, int aTimeoutMs);

/** An HTTP server with a thread for each connection. */
class Server
{
public:
  /** Answers one request on the connection. False: the connection ends. */
  using Handler = std::function<bool(const Message&, Connection&)>;

  Server(const std::string& aIp, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** IP:PORT. */
  const std::string& Address() const { return m_address; }

private:
  void Accept();

  Handler m_handler;
  int m_socket = -1;
  std::string m_address;
  std::atomic<bool> m_ends = false;
  std::atomic<int> m_open = 0;
  std::thread m_thread;
};

std::string
Response(int aStatus,
         std::string_view aBody,
         const std::vector<std::pair<std::string, std::string>>& aHeaders = {});

} // namespace review
