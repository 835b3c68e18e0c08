#pragma once

#include "Http.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace review {

/** The platform's store, as the users' pages tell it: rows in tables, whole
 * reads, held reads of changes, transactions. Thread-safe. */
class Store
{
public:
  explicit Store(const std::string& aIp);

  /** Writes a row as the operator or a worker does; returns its version. */
  std::uint64_t Put(const std::string& aTable,
                    const std::string& aKey,
                    const nlohmann::json& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  const std::string& Address() const { return m_server->Address(); }
  /** While it is silent it answers nothing that instances ask, and takes what
   * operators and workers write. */
  void SetSilent(bool aIsSilent);
  /** While it is down it resets what instances ask, and takes nothing. */
  void SetDown(bool aIsDown);
  /** Its steady clock shows that many milliseconds now. */
  void SetClock(std::int64_t aNowMs);

private:
  struct Row
  {
    std::string m_value; ///< In base64.
    std::uint64_t m_version = 0;
    bool m_removed = false;
  };

  bool Answer(const Message& aRequest, Connection& aConnection);
  std::string ReadTable(const Message& aRequest);
  std::string ReadChanges(const Message& aRequest);
  std::pair<int, std::string> Commit(const Message& aRequest);
  nlohmann::json ToJson(const std::string& aTable,
                        const std::string& aKey,
                        const Row& aRow) const;
  std::string Page(nlohmann::json aRows) const;
  std::int64_t NowMs() const;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  std::uint64_t m_version = 1;
  bool m_isSilent = false;
  bool m_isDown = false;
  std::int64_t m_clockOffset = 0;
  std::unique_ptr<Server> m_server;
};

std::string
ToBase64(std::string_view aBytes);

} // namespace review
