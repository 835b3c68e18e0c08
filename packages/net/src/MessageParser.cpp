#include "MessageParser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <event2/buffer.h>
#include <limits>

namespace ridgeferry::net {

namespace {

/** All statuses of the protocol (RFC 9110, section 15). */
constexpr int kLeastStatus = 100;
constexpr int kMostStatus = 599;
constexpr int kSwitchingProtocols = 101;

std::string
ToString(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

template<bool kIsRequest>
MessageParser<kIsRequest>::MessageParser(std::size_t aMaxHeaderBytes,
                                         std::size_t aMaxBodyBytes)
  : m_maxHeaderBytes(aMaxHeaderBytes)
  , m_maxBodyBytes(aMaxBodyBytes)
{
  this->eager(true);
  UseLimits();
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::RaiseLimits(std::size_t aMaxHeaderBytes,
                                       std::size_t aMaxBodyBytes)
{
  m_maxHeaderBytes = std::max(m_maxHeaderBytes, aMaxHeaderBytes);
  m_maxBodyBytes = std::max(m_maxBodyBytes, aMaxBodyBytes);
  UseLimits();
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::UseLimits()
{
  this->header_limit(static_cast<std::uint32_t>(MaxHeaderBytes()));
  this->body_limit(m_maxBodyBytes);
}

template<bool kIsRequest>
std::size_t
MessageParser<kIsRequest>::MaxHeaderBytes() const
{
  // The library's limit has 32 bits.
  using Limits = std::numeric_limits<std::uint32_t>;
  return std::min<std::size_t>(m_maxHeaderBytes, Limits::max());
}

template<bool kIsRequest>
ParseState
MessageParser<kIsRequest>::Feed(evbuffer* aBuffer)
{
  while (!this->is_done()) {
    const std::size_t length = evbuffer_get_length(aBuffer);
    if (length == 0) {
      return ParseState::NeedsMore;
    }
    const unsigned char* bytes = evbuffer_pullup(aBuffer, -1);
    ErrorCode error;
    const std::size_t used =
      this->put(boost::asio::const_buffer(bytes, length), error);
    evbuffer_drain(aBuffer, used);
    if (error == boost::beast::http::error::need_more) {
      return ParseState::NeedsMore;
    }
    if (error) {
      m_error = error;
      return ParseState::Failed;
    }
    if (used == 0 && !this->is_done()) {
      return ParseState::NeedsMore;
    }
  }
  return ParseState::Done;
}

template<bool kIsRequest>
bool
MessageParser<kIsRequest>::FinishAtClose()
{
  if (this->is_done()) {
    return true;
  }
  if (!this->is_header_done()) {
    return false;
  }
  ErrorCode error;
  this->put_eof(error);
  return !error && this->is_done();
}

template<bool kIsRequest>
BodyFraming
MessageParser<kIsRequest>::Framing() const
{
  if (this->need_eof()) {
    return BodyFraming::Close;
  }
  return this->chunked() ? BodyFraming::Chunks : BodyFraming::Length;
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::on_request_impl(boost::beast::http::verb,
                                           BeastView aMethod,
                                           BeastView aTarget,
                                           int aVersion,
                                           ErrorCode&)
{
  m_method = ToString(aMethod);
  m_target = ToString(aTarget);
  constexpr int kChunksSince = 11; // HTTP/1.1, as the library counts.
  m_readsChunks = aVersion >= kChunksSince;
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::on_response_impl(int aStatus,
                                            BeastView,
                                            int,
                                            ErrorCode& aError)
{
  m_status = aStatus;
  // No request of ours asks to switch to another protocol.
  const bool isNone = aStatus < kLeastStatus || aStatus > kMostStatus ||
                      aStatus == kSwitchingProtocols;
  if (isNone) {
    aError = boost::beast::http::error::bad_status;
  }
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::on_field_impl(boost::beast::http::field,
                                         BeastView aName,
                                         BeastView aValue,
                                         ErrorCode&)
{
  if (!this->is_header_done()) {
    m_headers.Add(ToString(aName), ToString(aValue));
  }
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::on_header_impl(ErrorCode&)
{
  m_sawLength = this->chunked() || this->content_length().has_value();
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::on_body_init_impl(
  const boost::optional<std::uint64_t>&,
  ErrorCode&)
{
}

template<bool kIsRequest>
std::size_t
MessageParser<kIsRequest>::on_body_impl(BeastView aBytes, ErrorCode&)
{
  m_body.append(aBytes.data(), aBytes.size());
  return aBytes.size();
}

template<bool kIsRequest>
void
MessageParser<kIsRequest>::on_chunk_header_impl(std::uint64_t,
                                                BeastView,
                                                ErrorCode&)
{
}

template<bool kIsRequest>
std::size_t
MessageParser<kIsRequest>::on_chunk_body_impl(std::uint64_t,
                                              BeastView aBytes,
                                              ErrorCode&)
{
  m_body.append(aBytes.data(), aBytes.size());
  return aBytes.size();
}

template class MessageParser<true>;
template class MessageParser<false>;

} // namespace ridgeferry::net
