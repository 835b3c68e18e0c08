#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <optional>
#include <ridgeferry/net/Http.h>
#include <string>
#include <string_view>

struct evbuffer;

namespace ridgeferry::net {

/** How far one call of `Feed` came. */
enum class ParseState
{
  NeedsMore, ///< All bytes are taken; the message goes on.
  Done,      ///< The message is whole; bytes behind it are left in the buffer.
  Failed,    ///< The bytes are no message; see `Error`.
};

/**
 * Reads one HTTP/1.1 message out of a buffer, piece by piece. The grammar is
 * the library's; this class keeps what it tells. A message with two lengths, a
 * blank before a colon or a bare line feed is an error, as is a status that is
 * none of the protocol or switches to another one.
 * Not thread-safe.
 */
template<bool kIsRequest>
class MessageParser : private boost::beast::http::basic_parser<kIsRequest>
{
  using Base = boost::beast::http::basic_parser<kIsRequest>;
  using ErrorCode = boost::beast::error_code;
  using BeastView = boost::beast::string_view;

public:
  /** Limits in bytes; what is longer is an error. No head may be longer than
   * 4 GiB. */
  MessageParser(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes);

  /** Sets each limit to this one if that is higher. Precondition: `HasHead` is
   * false. */
  void RaiseLimits(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes);

  /** Takes what it can from the front of the buffer. */
  ParseState Feed(evbuffer* aBuffer);
  /** The peer has closed its side; false: the message is not whole, or no
   * message has begun. */
  bool FinishAtClose();
  /** The answer to a HEAD request: it has a length but no body. */
  void ExpectNoBody() { this->skip(true); }

  /** Returns the longest head that is read, in bytes. */
  std::size_t MaxHeaderBytes() const;
  bool HasHead() const { return this->is_header_done(); }
  bool KeepsAlive() const { return this->keep_alive(); }
  /** Returns the length of the body that the head tells; 0 if it tells none.
   * Precondition: `HasHead`. */
  std::uint64_t ToldLength() const
  {
    return this->content_length().value_or(0);
  }
  /** Precondition: `HasHead`. */
  BodyFraming Framing() const;
  const boost::system::error_code& Error() const { return m_error; }
  /** Whether the message failed as its head or a trailer is longer than its
   * limit. */
  bool IsHeadTooLong() const
  {
    return m_error == boost::beast::http::error::header_limit;
  }

  std::string m_method; ///< Of a request.
  std::string m_target; ///< Of a request, as sent.
  /** Of a request: its caller reads answers in chunks (HTTP/1.1). */
  bool m_readsChunks = false;
  int m_status = 0;         ///< Of an answer.
  HttpHeaders m_headers;    ///< Without those of a trailer.
  std::string m_body;       ///< Body bytes that nobody has taken yet.
  bool m_sawLength = false; ///< A length or chunks delimit the body.

private:
  void on_request_impl(boost::beast::http::verb,
                       BeastView aMethod,
                       BeastView aTarget,
                       int,
                       ErrorCode&) override;
  void on_response_impl(int aStatus, BeastView, int, ErrorCode&) override;
  void on_field_impl(boost::beast::http::field,
                     BeastView aName,
                     BeastView aValue,
                     ErrorCode&) override;
  void on_header_impl(ErrorCode&) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         ErrorCode&) override;
  std::size_t on_body_impl(BeastView aBytes, ErrorCode&) override;
  void on_chunk_header_impl(std::uint64_t, BeastView, ErrorCode&) override;
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 BeastView aBytes,
                                 ErrorCode&) override;
  void on_finish_impl(ErrorCode&) override {}

  void UseLimits();

  std::size_t m_maxHeaderBytes;
  std::size_t m_maxBodyBytes;
  boost::system::error_code m_error;
};

extern template class MessageParser<true>;
extern template class MessageParser<false>;

} // namespace ridgeferry::net
