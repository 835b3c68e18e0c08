#pragma once

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
  /** The first value of that name. */
  std::optional<std::string_view> Find(std::string_view aName) const;
  const std::vector<std::pair<std::string, std::string>>& All() const
  {
    return m_items;
  }

private:
  std::vector<std::pair<std::string, std::string>> m_items;
};

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
};

struct HttpHead
{
  int m_status = 0;
  HttpHeaders m_headers;
};

/** How a request ended. */
enum class HttpEnd
{
  Complete, ///< The whole answer came.
  NotSent,  ///< No connection came about: no byte has left.
  Broken,   ///< It ended after bytes may have left.
};

struct HttpResponse
{
  HttpEnd m_end = HttpEnd::Broken;
  HttpHead m_head;
  std::string m_body; ///< Empty if the chunks were asked for.
};

} // namespace ridgeferry::net
