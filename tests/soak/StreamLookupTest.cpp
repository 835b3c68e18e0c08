// Guards against callers of streams that wait for an origin for as long as
// others ask for theirs: two real instances, of which one does not answer.

#include "InstancesFixture.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ridgeferry/net/HttpClient.h>
#include <ridgeferry/streams/OriginLookup.h>

namespace ridgeferry::soak {
namespace {

using Json = nlohmann::json;

constexpr int kCalls = 400;
/** Far more often than an instance looks at its lookups. */
constexpr Duration kCallEvery{ 1 };
/** Below it nobody was asked. */
constexpr Duration kLeastWait{ 50 };

class StreamLookupTest : public InstancesFixture
{
protected:
  StreamLookupTest()
    : InstancesFixture("lookups")
    , m_client(*m_loop)
  {
  }

  /** Lists an upstream of that version, so that no version is the sole one. */
  void List(const std::string& aId, const std::string& aVersion)
  {
    const auto& worker =
      m_workers.emplace_back(std::make_unique<adapter::StandInWorker>(
        *m_loop, aId, &adapter::StandInWorker::Serve));
    Json row = Json::parse(worker->Row("s"));
    row["version"] = aVersion;
    m_store.Put("servers", aId, row.dump());
  }

  /** Takes up a stream that no instance knows. */
  void TakeUp(int aNumber)
  {
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_address = m_instances.All().front()->m_callers;
    request.m_target = "/p/x";
    request.m_timeout = Duration{ 5000 };
    request.m_fresh = true;
    request.m_headers.Add("Host", "h");
    request.m_headers.Add("X-Request-Id", "again-" + std::to_string(aNumber));
    request.m_headers.Add("X-Deadline-Ms", "5000");
    request.m_headers.Add("Resumes", "first-" + std::to_string(aNumber));
    request.m_headers.Add("Last-Event-Id", "1");
    net::HttpCallbacks callbacks;
    callbacks.m_done =
      [this, sentAt = m_loop->Now()](const net::HttpResponse& aResponse) {
        EXPECT_EQ(aResponse.m_head.m_status, 503);
        ++m_answered;
        const Duration waited = m_loop->Now() - sentAt;
        if (waited >= kLeastWait) {
          m_waits.push_back(waited);
        }
      };
    m_client.Send(request, std::move(callbacks));
  }

  net::HttpClient m_client;
  std::vector<std::unique_ptr<adapter::StandInWorker>> m_workers;
  int m_answered = 0;
  std::vector<Duration> m_waits;
};

TEST_F(StreamLookupTest, LookupsEndWhileOthersBegin)
{
  PutStreamRoute();
  List("i-1", "v1");
  List("i-2", "v2");
  ASSERT_TRUE(m_instances.StartAll(2, *net::Address::Parse(m_store.Address())));
  ASSERT_TRUE(RunUntil([this] { return m_instances.AllReady(); }));
  RunFor(Duration{ 500 }); // Until the instances have heard of each other.
  m_instances.Pause(*m_instances.All().back(), Duration{ 3000 });
  int sent = 0;
  const net::Watch calls = m_loop->Every(kCallEvery, [this, &sent] {
    if (sent < kCalls) {
      TakeUp(++sent);
    }
  });
  ASSERT_TRUE(RunUntil([&sent] { return sent == kCalls; }));
  EXPECT_TRUE(RunUntil([this] { return m_answered == kCalls; }));
  ASSERT_FALSE(m_waits.empty());
  const auto median =
    m_waits.begin() + static_cast<std::ptrdiff_t>(m_waits.size() / 2);
  std::nth_element(m_waits.begin(), median, m_waits.end());
  EXPECT_LT(*median, 2 * streams::OriginLookups::kLongest);
  RunFor(Duration{ 3000 });
  EXPECT_TRUE(m_instances.StopAll(Duration{ 12'000 }));
}

} // namespace
} // namespace ridgeferry::soak
