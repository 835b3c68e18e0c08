#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ridgeferry::net {

/** Header fields in their order; names compare without case. */
class HttpHeaders
{
public:
  void Add(std::string aName, std::string aValue);
  /** The first value of that name; valid until the next change. */
  std::optional<std::string_view> Find(std::string_view aName) const;
  static bool SameName(std::string_view aLeft, std::string_view aRight);
  const std::vector<std::pair<std::string, std::string>>& All() const
  {
    return m_items;
  }

private:
  std::vector<std::pair<std::string, std::string>> m_items;
};

/** Most bytes of a body that is gathered, unless the request says otherwise. */
inline constexpr std::size_t kMaxGatheredBody = std::size_t{ 3 } * 1024 * 1024;
/** The same for documents of the store and of other instances. */
inline constexpr std::size_t kMaxStoreBody = std::size_t{ 16 } * 1024 * 1024;

struct HttpRequest
{
  std::string m_method = "GET"; ///< GET, POST, PUT, DELETE, PATCH or HEAD.
  std::string m_address;        ///< IP:PORT.
  std::string m_target = "/";   ///< Path and query.
  HttpHeaders m_headers;
  std::string m_body;
  /** Longest silence of the peer before the request counts as broken. */
  Duration m_timeout{ 10'000 };
  /**
   * Use a connection of its own. On a kept one the peer may be about to close
   * it, and then it is not known whether the request ran.
   */
  bool m_fresh = false;
  /** The same for kept connections that have rested longer than this: a peer
   * may have forgotten them without a word. */
  Duration m_longestRest = Duration::max();
  /** Longest wait for a new connection; no byte has left by then. One second:
   * two losses of the opening packet inside a hall. */
  Duration m_connectTimeout{ 1000 };
  /**
   * Name and value of a header that the answer must repeat. An answer on the
   * same connection that does not is an earlier request's: it is skipped.
   */
  std::optional<std::pair<std::string, std::string>> m_mustEcho;
  /** Most idle connections that are kept to this address afterwards. */
  std::size_t m_keepIdle = 32;
  /** Most bytes of a body that is gathered: a longer one ends the connection as
   * broken. */
  std::size_t m_maxBody = kMaxGatheredBody;
  /** Longest time from the first byte of an answer to its last if its body is
   * gathered. Of an answer in pieces the caller itself bounds the time. */
  Duration m_maxAnswerTime{ 10'000 };
};

/** What tells the end of a body. */
enum class BodyFraming : std::uint8_t
{
  Length, ///< A length, or a status or method that allows no body.
  Chunks,
  /** Only the end of the connection does. It comes alike from a sender that has
   * finished and from one that has died. */
  Close,
};

/** Returns the name of a framing, for logs and metrics. */
std::string_view
NameOf(BodyFraming aFraming);

struct HttpHead
{
  int m_status = 0;
  HttpHeaders m_headers;
  BodyFraming m_framing = BodyFraming::Length;
};

/** How a request ended. */
enum class HttpEnd
{
  Complete, ///< The whole answer came: its framing proves it.
  /** The connection ended in good order behind an answer that nothing else
   * delimits. Whether the answer is whole is not known. */
  Closed,
  NotSent, ///< No connection came about: no byte has left.
  Broken,  ///< It ended after bytes may have left.
};

/** How a request went out. */
struct HttpSendRecord
{
  /** Number of the request on its connection, from 1 on; above 1 the connection
   * was kept from an earlier request. */
  int m_requestNumber = 1;
  /** Bytes of the request that the system took; none before the connection came
   * about. */
  std::size_t m_bytesWritten = 0;
  /** Answers that were skipped as they did not repeat
   * `HttpRequest::m_mustEcho`, interim ones included. */
  int m_answersSkipped = 0;

  bool operator==(const HttpSendRecord&) const = default;
};

struct HttpResponse
{
  HttpEnd m_end = HttpEnd::Broken;
  HttpSendRecord m_sent;
  /** Nothing came from the other side for too long, not even a reset. */
  bool m_silent = false;
  /** It was ended on this side: more came, or for longer, than is taken. */
  bool m_tooLong = false;
  /** Nobody listens at the address, as the machine there says. */
  bool m_refused = false;
  HttpHead m_head;
  std::string m_body; ///< Empty if the chunks were asked for.
};

/**
 * Returns whether an answer came, as far as its connection tells. Only for
 * answers that prove themselves to be whole: a JSON document, or a status with
 * nothing behind it. Any other body is known to be whole only if
 * `HttpEnd::Complete`.
 */
inline bool
HasAnswer(const HttpResponse& aResponse)
{
  return aResponse.m_end == HttpEnd::Complete ||
         aResponse.m_end == HttpEnd::Closed;
}

} // namespace ridgeferry::net
