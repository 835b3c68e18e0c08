// Guards against streams that go on at another version of their upstream's
// software at an instance that stood still, or was cut off, while upstreams of
// that stream's version joined: real instances, callers that take their
// streams up there.

#include "InstancesFixture.h"
#include "VersionedWorker.h"

#include <list>
#include <ostream>
#include <ridgeferry/net/HttpClient.h>
#include <set>

namespace ridgeferry::soak {
namespace {

constexpr std::size_t kInstances = 4;
/** For so long one version alone must have served to prove an origin. */
constexpr Duration kOneVersionFor{ 61'500 };
constexpr Duration kPausedFor{ 3000 };
/** Streams are broken once the new version is in use, and taken up as the
 * instance goes on. */
constexpr Duration kJoinAfter{ 500 };
constexpr Duration kBeginAfter{ 500 };
constexpr int kStreams = 40;
constexpr Duration kWatched{ 6000 };
constexpr std::size_t kOutOfStep = 0;
/** Callers come back as they are told: 250 ms where others did not answer. */
constexpr Duration kComesBackAfter{ 250 };
constexpr int kTries = 4;
constexpr int kUnavailable = 503;

/** One stream as its caller has it. */
struct CallersStream
{
  std::string m_name;
  std::string m_text;
  int m_lastEvent = 0;
  std::set<std::string> m_versions;
  bool m_goesOn = false;
  int m_refusals = 0;
  net::HttpCallId m_call = 0;
};

class OutOfStepTest : public InstancesFixture
{
protected:
  OutOfStepTest()
    : InstancesFixture("out-of-step")
    , m_client(*m_loop)
  {
  }

  void Join(const std::string& aId, const std::string& aVersion)
  {
    const auto& worker = m_workers.emplace_back(
      std::make_unique<VersionedWorker>(*m_loop, aId, aVersion));
    m_store.Put("servers", worker->Id(), worker->Row());
  }

  void StartAll()
  {
    PutStreamRoute();
    Join("i-0", "v1");
    Join("i-1", "v1");
    ASSERT_TRUE(m_instances.StartAll(kInstances,
                                     *net::Address::Parse(m_store.Address())));
    ASSERT_TRUE(RunUntil([this] { return m_instances.AllReady(); }));
  }

  void Try(CallersStream& aStream, std::size_t aInstance)
  {
    const bool takesUp = aStream.m_lastEvent > 0;
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_address = m_instances.All()[aInstance]->m_callers;
    request.m_target = "/p/x";
    request.m_timeout = kWatched;
    request.m_fresh = true;
    request.m_headers.Add("Host", "h");
    request.m_headers.Add("X-Request-Id",
                          aStream.m_name + (takesUp ? "-2" : "-1"));
    request.m_headers.Add("X-Deadline-Ms", "10000");
    if (takesUp) {
      request.m_headers.Add("Resumes", aStream.m_name + "-1");
      request.m_headers.Add("Last-Event-Id",
                            std::to_string(aStream.m_lastEvent));
    }
    aStream.m_text.clear();
    net::HttpCallbacks callbacks;
    callbacks.m_chunk = [&aStream, takesUp](std::string_view aBytes) {
      aStream.m_text += aBytes;
      TakeEvents(aStream, takesUp);
    };
    callbacks.m_done =
      [this, &aStream, aInstance, takesUp](const net::HttpResponse& aResponse) {
        aStream.m_call = 0;
        const bool isRefused = aResponse.m_head.m_status == kUnavailable;
        if (takesUp && isRefused && ++aStream.m_refusals < kTries) {
          m_tries.push_back(m_loop->After(
            kComesBackAfter, [&, aInstance] { Try(aStream, aInstance); }));
        }
      };
    aStream.m_call = m_client.Send(request, std::move(callbacks));
  }

  static void TakeEvents(CallersStream& aStream, bool aTakenUp)
  {
    for (const auto& event : VersionedWorker::TakeEvents(aStream.m_text)) {
      ++aStream.m_lastEvent;
      aStream.m_versions.insert(event.m_version);
      aStream.m_goesOn = aTakenUp;
    }
  }

  net::HttpClient m_client;
  std::vector<std::unique_ptr<VersionedWorker>> m_workers;
  std::list<CallersStream> m_streams;
  std::vector<net::Watch> m_tries;
};

TEST_F(OutOfStepTest, StreamsOfAVersionThatJoinedMeanwhileStayAtIt)
{
  StartAll();
  RunFor(kOneVersionFor);
  m_instances.Pause(*m_instances.All()[kOutOfStep], kPausedFor);
  RunFor(kJoinAfter);
  for (const char* id : { "i-2", "i-3", "i-4", "i-5" }) {
    Join(id, "v2");
  }
  RunFor(kBeginAfter);
  for (std::size_t i = 0; i < kStreams; ++i) {
    CallersStream& stream = m_streams.emplace_back();
    stream.m_name = "s" + std::to_string(i);
    Try(stream, 1 + i % (kInstances - 1));
  }
  RunFor(kBeginAfter);
  for (CallersStream& stream : m_streams) {
    ASSERT_GT(stream.m_lastEvent, 0);
    m_client.Cancel(stream.m_call);
    Try(stream, kOutOfStep);
  }
  RunFor(kWatched);
  int mixed = 0;
  int goesOn = 0;
  for (const CallersStream& stream : m_streams) {
    mixed += stream.m_versions.size() > 1 ? 1 : 0;
    goesOn += stream.m_goesOn ? 1 : 0;
  }
  EXPECT_EQ(mixed, 0) << "of " << kStreams << ", " << goesOn << " went on";
  EXPECT_GE(goesOn * 2, kStreams);
  EXPECT_TRUE(m_instances.StopAll(Duration{ 12'000 }));
}

} // namespace
} // namespace ridgeferry::soak
