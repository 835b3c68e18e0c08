#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace review {

/** Reads one HTTP/1.1 message after another from a blocking socket. */
class HttpReader
{
public:
  explicit HttpReader(int aSocket)
    : m_socket(aSocket)
  {
  }

  struct Head
  {
    std::string m_first; ///< Request line or status line.
    std::map<std::string, std::string> m_fields; ///< Names in lower case.

    std::string Field(const std::string& aName) const;
    std::size_t Length() const;
    int Status() const;
  };

  /** Empty: the connection ended or failed before a whole head came. */
  std::optional<Head> ReadHead();
  /** Empty: it ended or failed before that many bytes came. */
  std::optional<std::string> ReadBytes(std::size_t aCount);
  /** Drops bytes that were read ahead of a body; returns how many of the body.
   */
  std::size_t TakeAhead(std::size_t aMost);

private:
  bool Fill();

  int m_socket;
  std::string m_ahead;
};

/** False: not all bytes could be written. */
bool
WriteAll(int aSocket, const std::string& aText);

/** A blocking connection to a port of the loopback address; -1: none. */
int
ConnectTo(int aPort);

/** Closes with a reset. */
void
Reset(int aSocket);

/** A port that is free now and was not given before. Not thread-safe. */
int
FreePort();

/** Serves each connection with a thread of its own until the process ends. */
class Listener
{
public:
  /** `aReceiveBuffer`: of the connections, in bytes; 0: the system's. */
  Listener(std::function<void(int)> aServe, int aReceiveBuffer = 0);

  int Port() const { return m_port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
  int m_port = 0;
};

} // namespace review
