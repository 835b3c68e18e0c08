#include "Platform.h"

#include <algorithm>
#include <chrono>

namespace review {

namespace {

using Json = nlohmann::json;

std::int64_t
SteadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

/** Decodes what stands for other signs in a query. */
std::string
Decode(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += aText[i];
    }
  }
  return out;
}

} // namespace

std::string
ToBase64(std::string_view aBytes)
{
  constexpr std::string_view kSigns =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const bool has = i + j < aBytes.size();
      group =
        group << 8 | (has ? static_cast<unsigned char>(aBytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= aBytes.size() ? kSigns[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

Store::Store(const std::string& aIp)
{
  m_server = std::make_unique<Server>(
    aIp, [this](const Message& aRequest, Connection& aConnection) {
      return Answer(aRequest, aConnection);
    });
}

std::uint64_t
Store::Put(const std::string& aTable,
           const std::string& aKey,
           const Json& aValue)
{
  const std::lock_guard guard(m_mutex);
  m_tables[aTable][aKey] = { ToBase64(aValue.dump()), ++m_version, false };
  m_changed.notify_all();
  return m_version;
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard guard(m_mutex);
  m_tables[aTable][aKey] = { "", ++m_version, true };
  m_changed.notify_all();
}

void
Store::SetSilent(bool aIsSilent)
{
  const std::lock_guard guard(m_mutex);
  m_isSilent = aIsSilent;
  m_changed.notify_all();
}

void
Store::SetDown(bool aIsDown)
{
  const std::lock_guard guard(m_mutex);
  m_isDown = aIsDown;
  m_changed.notify_all();
}

void
Store::SetClock(std::int64_t aNowMs)
{
  const std::lock_guard guard(m_mutex);
  m_clockOffset = aNowMs - SteadyMs();
}

std::int64_t
Store::NowMs() const
{
  return SteadyMs() + m_clockOffset;
}

bool
Store::Answer(const Message& aRequest, Connection& aConnection)
{
  const std::string path =
    aRequest.m_target.substr(0, aRequest.m_target.find('?'));
  {
    const std::lock_guard guard(m_mutex);
    if (m_isDown) {
      return false;
    }
  }
  std::pair<int, std::string> answer{ 404, "{}" };
  if (path == "/rows-get") {
    answer = { 200, ReadTable(aRequest) };
  } else if (path == "/rows-feed") {
    answer = { 200, ReadChanges(aRequest) };
  } else if (path == "/rows-tx") {
    answer = Commit(aRequest);
  }
  std::unique_lock lock(m_mutex);
  // What is not answered while it is silent is not answered later either.
  const bool isSilent = m_isSilent;
  m_changed.wait(lock, [this] { return !m_isSilent; });
  if (isSilent || m_isDown) {
    return false;
  }
  lock.unlock();
  return aConnection.Send(Response(
    answer.first, answer.second, { { "Content-Type", "application/json" } }));
}

Json
Store::ToJson(const std::string& aTable,
              const std::string& aKey,
              const Row& aRow) const
{
  Json out{ { "table", aTable },
            { "part", "" },
            { "tls_key", aKey },
            { "value", aRow.m_value },
            { "ver", aRow.m_version } };
  if (aRow.m_removed) {
    out["removed"] = true;
  }
  return out;
}

std::string
Store::Page(Json aRows) const
{
  return Json{
    { "rows", std::move(aRows) },
    { "has_more", false },
    { "ver", m_version },
    { "now_ms", NowMs() }
  }.dump();
}

std::string
Store::ReadTable(const Message& aRequest)
{
  const std::string table = Decode(aRequest.Query("table"));
  const std::string from = Decode(aRequest.Query("from"));
  const std::lock_guard guard(m_mutex);
  Json rows = Json::array();
  for (const auto& [key, row] : m_tables[table]) {
    if (!row.m_removed && key >= from) {
      rows.push_back(ToJson(table, key, row));
    }
  }
  return Page(std::move(rows));
}

std::string
Store::ReadChanges(const Message& aRequest)
{
  const std::string table = Decode(aRequest.Query("table"));
  const std::uint64_t after = std::stoull(aRequest.Query("after"));
  const auto until =
    std::chrono::steady_clock::now() +
    std::chrono::milliseconds(std::stol("0" + aRequest.Query("wait_ms")));
  std::unique_lock lock(m_mutex);
  std::map<std::uint64_t, Json> rows;
  m_changed.wait_until(lock, until, [&] {
    for (const auto& [key, row] : m_tables[table]) {
      if (row.m_version > after) {
        rows[row.m_version] = ToJson(table, key, row);
      }
    }
    return !rows.empty() || m_isDown;
  });
  Json list = Json::array();
  for (auto& [version, row] : rows) {
    list.push_back(std::move(row));
  }
  return Page(std::move(list));
}

std::pair<int, std::string>
Store::Commit(const Message& aRequest)
{
  const Json body = Json::parse(aRequest.m_body);
  const std::lock_guard guard(m_mutex);
  for (const Json& wanted : body.at("expected")) {
    const auto& rows = m_tables[wanted.at("table").get<std::string>()];
    const auto row = rows.find(wanted.at("tls_key").get<std::string>());
    const bool isThere = row != rows.end() && !row->second.m_removed;
    if (wanted.at("ver").get<std::uint64_t>() !=
        (isThere ? row->second.m_version : 0)) {
      return { 412, Page(Json::array()) };
    }
  }
  ++m_version;
  for (const Json& write : body.at("writes")) {
    m_tables[write.at("table").get<std::string>()]
            [write.at("tls_key").get<std::string>()] = {
              write.at("value").get<std::string>(), m_version, false
            };
  }
  for (const Json& gone : body.at("remove")) {
    m_tables[gone.at("table").get<std::string>()]
            [gone.at("tls_key").get<std::string>()] = { "", m_version, true };
  }
  m_changed.notify_all();
  return { 200, Page(Json::array()) };
}

} // namespace review
