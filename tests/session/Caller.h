#pragma once

#include "Cluster.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ridgeferry::session {

/** One call of a session's caller and what came of it. */
struct CallRecord
{
  std::string m_name;
  std::string m_via;
  net::HttpRequest m_request;
  std::string m_requestId;
  net::HttpResponse m_response;
  std::string m_bytes; ///< The body so far.
  bool m_done = false;
  std::uint64_t m_from = 0; ///< Tokens that it resumed after.
  std::string m_version;    ///< Expected, if not the plan's.
};

/** What a generation's answer says, whatever its shape. */
struct GenerationAnswer
{
  std::string m_text;
  std::uint64_t m_tokens = 0; ///< Events of a stream.
  bool m_inOrder = true;      ///< Each offset once, without a gap.
  bool m_whole = false;       ///< It came to its end.
  std::string m_lastId;
  std::string m_problem; ///< The code of a problem inside a stream.
};

/** Sends calls and keeps what came of them. */
class Caller
{
public:
  explicit Caller(Cluster& aCluster);

  CallRecord& Send(const std::string& aName,
                   const std::string& aVia,
                   const nlohmann::json& aStep);
  CallRecord& Find(const std::string& aName);
  /** Writes one line of history about each call that has ended. */
  void WriteHistory() const;

  static GenerationAnswer ReadGeneration(const CallRecord& aRecord);

private:
  nlohmann::json HistoryLine(const CallRecord& aRecord) const;

  Cluster& m_cluster;
  std::map<std::string, std::unique_ptr<CallRecord>> m_calls;
  int m_lastId = 0;
};

} // namespace ridgeferry::session
