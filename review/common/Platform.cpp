#include "Platform.h"

#include <algorithm>
#include <array>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr const char* kProgram = "target/bin/ridgeferry-entry";
constexpr std::chrono::milliseconds kLook{ 50 };
constexpr int kLooksUntilReady = 200;

std::string
ToBase64(const std::string& aBytes)
{
  namespace it = boost::archive::iterators;
  constexpr int kByteBits = 8;
  constexpr int kSignBits = 6;
  constexpr std::size_t kGroup = 4;
  using Encoder = it::base64_from_binary<
    it::transform_width<std::string::const_iterator, kSignBits, kByteBits>>;
  std::string out(Encoder(aBytes.begin()), Encoder(aBytes.end()));
  while (out.size() % kGroup != 0) {
    out.push_back('=');
  }
  return out;
}

/** Values are names, numbers and keys without escapes here. */
std::map<std::string, std::string>
QueryOf(const std::string& aTarget)
{
  std::map<std::string, std::string> out;
  std::size_t begin = aTarget.find('?');
  while (begin != std::string::npos) {
    const std::size_t next = aTarget.find('&', begin + 1);
    const std::string item = aTarget.substr(begin + 1, next - begin - 1);
    const std::size_t equals = item.find('=');
    if (equals != std::string::npos) {
      out[item.substr(0, equals)] = item.substr(equals + 1);
    }
    begin = next;
  }
  return out;
}

std::string
ValueOf(const std::map<std::string, std::string>& aQuery,
        const std::string& aName)
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end() ? std::string() : found->second;
}

Json
RowOf(const std::string& aTable,
      const std::string& aKey,
      const std::string& aBase64,
      std::uint64_t aVersion)
{
  return { { "table", aTable },
           { "part", "" },
           { "tls_key", aKey },
           { "value", aBase64 },
           { "ver", aVersion } };
}

} // namespace

Record::Record(const std::string& aFile)
  : m_file(std::fopen(aFile.c_str(), "w"))
{
}

Record::~Record()
{
  if (m_file != nullptr) {
    std::fclose(m_file);
  }
}

void
Record::Write(const std::string& aLine)
{
  const std::chrono::duration<double> since = Clock::now() - m_began;
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_file != nullptr) {
    std::fprintf(m_file, "%8.3f s  %s\n", since.count(), aLine.c_str());
    std::fflush(m_file);
  }
}

Store::Store()
  : m_listener(
      std::make_unique<Listener>([this](int aSocket) { Serve(aSocket); }))
{
}

void
Store::Put(const std::string& aTable,
           const std::string& aKey,
           const Json& aValue)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_version;
  Note(aTable, aKey, ToBase64(aValue.dump()));
  m_changed.notify_all();
}

void
Store::Note(const std::string& aTable,
            const std::string& aKey,
            const std::string& aValue)
{
  const Json row = RowOf(aTable, aKey, aValue, m_version);
  m_rows[aTable][aKey] = row;
  m_changes.push_back({ m_version, aTable, row });
}

void
Store::Serve(int aSocket)
{
  HttpReader reader(aSocket);
  while (const auto head = reader.ReadHead()) {
    const auto body = reader.ReadBytes(head->Length());
    if (!body) {
      return;
    }
    const std::size_t blank = head->m_first.find(' ');
    const std::string target =
      head->m_first.substr(blank + 1, head->m_first.rfind(' ') - blank - 1);
    const Answer answer = Handle(target, *body);
    const std::string text = answer.m_body.dump();
    if (!WriteAll(aSocket,
                  "HTTP/1.1 " + std::to_string(answer.m_status) +
                    " Answer\r\nContent-Type: application/json\r\n"
                    "Content-Length: " +
                    std::to_string(text.size()) + "\r\n\r\n" + text)) {
      return;
    }
  }
}

Store::Answer
Store::Handle(const std::string& aTarget, const std::string& aBody)
{
  const auto query = QueryOf(aTarget);
  if (aTarget.rfind("/rows-tx", 0) == 0) {
    return Write(Json::parse(aBody, nullptr, false));
  }
  if (aTarget.rfind("/rows-get", 0) == 0) {
    return Read(query);
  }
  if (aTarget.rfind("/rows-feed", 0) == 0) {
    return Follow(query);
  }
  return { 404, Json::object() };
}

Json
Store::Told(Json aRows) const
{
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    Clock::now() - m_began);
  return { { "rows", std::move(aRows) },
           { "has_more", false },
           { "ver", m_version },
           { "now_ms", now.count() + 1000 } };
}

Store::Answer
Store::Write(const Json& aCall)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const Json& expected : aCall["expected"]) {
    const auto& rows = m_rows[expected["table"].get<std::string>()];
    const auto found = rows.find(expected["tls_key"].get<std::string>());
    const std::uint64_t version =
      found == rows.end() ? 0 : found->second["ver"].get<std::uint64_t>();
    if (version != expected["ver"].get<std::uint64_t>()) {
      return { 412, Told(Json::array()) };
    }
  }
  ++m_version;
  for (const Json& write : aCall["writes"]) {
    Note(write["table"].get<std::string>(),
         write["tls_key"].get<std::string>(),
         write["value"].get<std::string>());
  }
  m_changed.notify_all();
  return { 200, Told(Json::array()) };
}

Store::Answer
Store::Read(const std::map<std::string, std::string>& aQuery)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Json rows = Json::array();
  for (const auto& [key, row] : m_rows[ValueOf(aQuery, "table")]) {
    if (key >= ValueOf(aQuery, "from")) {
      rows.push_back(row);
    }
  }
  return { 200, Told(std::move(rows)) };
}

Store::Answer
Store::Follow(const std::map<std::string, std::string>& aQuery)
{
  const std::string table = ValueOf(aQuery, "table");
  const std::uint64_t after =
    std::strtoull(ValueOf(aQuery, "after").c_str(), nullptr, 10);
  const auto until =
    Clock::now() + std::chrono::milliseconds(std::strtoull(
                     ValueOf(aQuery, "wait_ms").c_str(), nullptr, 10));
  std::unique_lock<std::mutex> lock(m_mutex);
  for (;;) {
    Json rows = Json::array();
    for (const Change& change : m_changes) {
      if (change.m_version > after && change.m_table == table) {
        rows.push_back(change.m_row);
      }
    }
    if (!rows.empty() || Clock::now() >= until) {
      return { 200, Told(std::move(rows)) };
    }
    m_changed.wait_until(lock, until);
  }
}

Instance::Instance(Place aPlace)
  : m_place(std::move(aPlace))
  , m_front(FreePort())
  , m_ready(FreePort())
  , m_metrics(FreePort())
  , m_peers(FreePort())
{
}

void
Instance::Start()
{
  const auto local = [](int aPort) {
    return "127.0.0.1:" + std::to_string(aPort);
  };
  const std::string file = m_place.m_folder + "/" + m_place.m_name;
  const Json settings = {
    { "instance", m_place.m_name },
    { "hall", m_place.m_zone },
    { "listen",
      { { "callers", local(m_front) },
        { "readiness", local(m_ready) },
        { "metrics", local(m_metrics) },
        { "peers", local(m_peers) } } },
    { "seeds", Json::array() },
    { "store", m_place.m_store },
    { "stopGraceSeconds", 8 },
    { "orderTurnMs", 3000 },
    { "keys", { { "configApplyMs", 2000 } } },
    { "upstreamStarts", { { "paced", false } } },
    { "retries",
      { { "ratio", 0.2 }, { "floor", 56 }, { "windowSeconds", 10 } } }
  };
  std::ofstream(file + ".json") << settings.dump();
  const std::string log = file + ".log";
  std::string program = kProgram;
  std::string path = "PATH=/usr/bin:/bin";
  std::string node = "RIDGEFERRY_NODE_FILE=" + file + ".json";
  const std::array<char*, 2> arguments{ program.data(), nullptr };
  const std::array<char*, 3> environment{ path.data(), node.data(), nullptr };
  m_process = fork();
  if (m_process != 0) {
    return;
  }
  // Only system calls from here on: other threads may hold locks.
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execve(kProgram, arguments.data(), environment.data());
  _exit(127);
}

void
Instance::Signal(int aSignal) const
{
  if (m_process > 0) {
    kill(m_process, aSignal);
  }
}

bool
Instance::Runs()
{
  if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
    m_process = -1;
  }
  return m_process > 0;
}

void
Instance::Kill()
{
  if (Runs()) {
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    m_process = -1;
  }
}

long
Instance::MemoryMb() const
{
  constexpr long kKbInMb = 1024;
  std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::atol(&line[std::string("VmRSS:").size()]) / kKbInMb;
    }
  }
  return 0;
}

bool
Instance::IsReady() const
{
  const int connection = ConnectTo(m_ready);
  if (connection < 0) {
    return false;
  }
  HttpReader reader(connection);
  const bool asked =
    WriteAll(connection, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
  const auto head = asked ? reader.ReadHead() : std::nullopt;
  close(connection);
  return head && head->Status() == 200;
}

bool
Instance::WaitUntilReady() const
{
  for (int i = 0; i < kLooksUntilReady; ++i) {
    if (IsReady()) {
      return true;
    }
    std::this_thread::sleep_for(kLook);
  }
  return false;
}

Json
WorkerRow(const std::string& aService,
          const std::string& aAddress,
          const std::string& aZone)
{
  return { { "service", aService },
           { "address", aAddress },
           { "zone", aZone },
           { "version", "v1" },
           { "slots", 6 },
           { "state", "ready" },
           { "cold_remaining_ms", 0 },
           { "seq", 1 } };
}

} // namespace review
