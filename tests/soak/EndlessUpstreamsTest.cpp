// Guards against upstreams that send bytes without end, and callers that do not
// read, making an instance grow: one real instance before eight such upstreams.

#include "EndlessUpstreams.h"
#include "InstancesFixture.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <ridgeferry/net/HttpClient.h>

namespace ridgeferry::soak {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kUpstreams = 8;
constexpr std::size_t kCallers = 24;
constexpr std::size_t kKilobyte = 1024;
/** The smallest instances have 120 MB in all. */
constexpr std::size_t kMostGrowth = 32 * kKilobyte * kKilobyte;
constexpr Duration kPlay{ 4000 };
constexpr Duration kLongestOther{ 1000 };
/** The sanitizers keep freed memory, so only other builds tell what is used. */
#ifdef __SANITIZE_ADDRESS__
constexpr bool kTellsMemory = false;
#else
constexpr bool kTellsMemory = true;
#endif

struct MemoryCase
{
  const char* m_name;
  const char* m_kind; ///< Of the route.
  net::EndlessBytes m_answer;
  bool m_callersRead;
};

std::ostream&
operator<<(std::ostream& aOut, const MemoryCase& aCase)
{
  return aOut << aCase.m_name;
}

/** Returns the resident bytes of a process; 0 if they are not known. */
std::size_t
MemoryOf(pid_t aProcess)
{
  constexpr std::string_view kResident = "VmRSS:";
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kResident)) {
      return std::stoul(line.substr(kResident.size())) * kKilobyte;
    }
  }
  return 0;
}

class EndlessUpstreamsTest
  : public InstancesFixture
  , public ::testing::WithParamInterface<MemoryCase>
{
protected:
  EndlessUpstreamsTest()
    : InstancesFixture(std::string("endless-") + GetParam().m_name)
    , m_client(*m_loop)
    , m_upstreams(*m_loop, kUpstreams)
  {
  }

  void StartAll()
  {
    m_upstreams.SetAnswer(GetParam().m_answer);
    m_store.Put("op",
                "config",
                Json{ { "version", 1 },
                      { "routes",
                        Json::array({ { { "host", "h" },
                                        { "path_prefix", "/p/" },
                                        { "kind", GetParam().m_kind },
                                        { "timeout_ms", 3000 },
                                        { "target_latency_ms", 300 },
                                        { "max_attempts", 2 },
                                        { "service", "s" } } }) },
                      { "services",
                        Json::array({ { { "name", "s" },
                                        { "max_connections", 200 } } }) } }
                  .dump());
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      const std::string id = "i-" + std::to_string(i);
      m_store.Put("servers",
                  id,
                  Json{ { "service", "s" },
                        { "address", m_upstreams.AddressOf(i).ToString() },
                        { "zone", "hall" },
                        { "version", "v1" },
                        { "slots", 100 },
                        { "state", "ready" },
                        { "cold_remaining_ms", 0 },
                        { "seq", 1 },
                        { "born", 1 } }
                    .dump());
    }
    ASSERT_TRUE(
      m_instances.StartAll(1, *net::Address::Parse(m_store.Address())));
    ASSERT_TRUE(RunUntil([this] { return m_instances.AllReady(); }));
  }

  std::string RequestText(const char* aPath)
  {
    return std::string("POST ") + aPath +
           " HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-" +
           std::to_string(++m_ids) +
           "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody";
  }

  /** Returns the time that a call to a sound answer takes. */
  Duration AskOther()
  {
    const Instant began = m_loop->Now();
    net::RawPeer caller =
      net::RawPeer::Connect(*net::Address::Parse(CallersAddress()));
    caller.Send(RequestText("/p/sound"));
    EXPECT_TRUE(RunUntil([&] {
      caller.Poll();
      return caller.Received().find("ab") != std::string::npos;
    }));
    return m_loop->Now() - began;
  }

  std::string CallersAddress() { return m_instances.All()[0]->m_callers; }
  std::size_t Memory()
  {
    return MemoryOf(m_instances.PidOf(*m_instances.All()[0]));
  }

  net::HttpClient m_client;
  net::EndlessUpstreams m_upstreams;
  int m_ids = 0;
};

TEST_P(EndlessUpstreamsTest, TheInstanceStaysSmallAndServesOthers)
{
  StartAll();
  AskOther();
  const std::size_t before = Memory();
  ASSERT_GT(before, 0U);
  std::vector<net::RawPeer> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(
      net::RawPeer::Connect(*net::Address::Parse(CallersAddress())));
    callers.back().Send(RequestText(net::EndlessUpstreams::kPath));
  }
  const Instant end = m_loop->Now() + kPlay;
  std::size_t most = before;
  Duration slowest{};
  while (m_loop->Now() < end) {
    slowest = std::max(slowest, AskOther());
    most = std::max(most, Memory());
    for (net::RawPeer& caller : callers) {
      if (GetParam().m_callersRead) {
        caller.Poll();
      }
    }
  }
  EXPECT_LE(slowest, kLongestOther);
  EXPECT_EQ(m_instances.All()[0]->m_incarnation, 1);
  if (kTellsMemory) {
    EXPECT_LE(most - before, kMostGrowth);
    RecordProperty("growthKilobytes",
                   static_cast<int>((most - before) / kKilobyte));
  }
  callers.clear();
  EXPECT_TRUE(m_instances.StopAll(Duration{ 9000 }));
}

const std::string kMuch(1000, 'a');
const std::string kOk = "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\n";
const std::string kBusy = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n";
const std::string kChunks = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kChunk = "3e8\r\n" + kMuch + "\r\n";

INSTANTIATE_TEST_SUITE_P(
  Answers,
  EndlessUpstreamsTest,
  ::testing::Values(
    MemoryCase{ "event", "streaming", { kOk + kChunks, kChunk }, true },
    MemoryCase{ "body", "safe", { kOk + kChunks, kChunk }, true },
    MemoryCase{ "unread-body", "safe", { kOk + kChunks, kChunk }, false },
    MemoryCase{ "refusal", "unsafe", { kBusy + kChunks, kChunk }, true },
    MemoryCase{ "chunk-size",
                "unsafe",
                { kOk + kChunks, std::string(1000, '0') },
                true },
    MemoryCase{ "trailers",
                "unsafe",
                { kOk + kChunks + "0\r\n", "X-More: " + kMuch + "\r\n" },
                true }),
  [](const auto& aInfo) {
    std::string name = aInfo.param.m_name;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
  });

} // namespace
} // namespace ridgeferry::soak
