// Guards against a call that an instance passes on being judged by an older
// configuration than the one it was routed by: three real instances.

#include "CutOffFixture.h"

namespace ridgeferry::soak {
namespace {

constexpr Duration kUntilPassedOn{ 3000 };
/** So often that some calls arrive before the others hear of a change. */
constexpr Duration kOften{ 4 };
/** Writes that put one store's versions ahead of those of the other. */
constexpr int kAhead = 200;
constexpr Duration kSpreads{ 1500 };

/** A change of the configuration, and what callers ask for behind it. */
struct ChangeCase
{
  const char* m_name;
  const char* m_path;    ///< Path prefix of the changed route.
  const char* m_service; ///< The one that serves it behind the change.
};

class PassedOnConfigTest
  : public CutOffFixture
  , public ::testing::WithParamInterface<ChangeCase>
{
protected:
  static std::string ConfigBehind(const ChangeCase& aChange)
  {
    Json routes = Json::array();
    for (const std::string path : { "/safe/", "/unsafe/" }) {
      if (path != aChange.m_path) {
        routes.push_back(RouteOf(path, "s"));
      }
    }
    routes.push_back(RouteOf(aChange.m_path, aChange.m_service));
    return Json{
      { "version", 2 },
      { "routes", routes },
      { "services",
        Json::array({ { { "name", "s" }, { "max_connections", 100 } },
                      { { "name", "t" }, { "max_connections", 100 } } }) }
    }.dump();
  }

  static Json RouteOf(const std::string& aPath, const std::string& aService)
  {
    return { { "host", "h" },         { "path_prefix", aPath },
             { "kind", "safe" },      { "timeout_ms", 1000 },
             { "service", aService }, { "max_attempts", 2 } };
  }

  /** Changes the configuration so that only the instance that is cut off reads
   * the change; the others hear of it from that one. */
  void ChangeAtTheCutOff(const std::string& aConfig)
  {
    for (int i = 0; i < kAhead; ++i) {
      m_ownStore.Put("other", "x", std::to_string(i));
    }
    m_ownStore.Put("op", "config", aConfig);
    const std::string name = m_instances.All().back()->m_name;
    ASSERT_TRUE(RunUntil(
      [&] { return CountInLog(name, R"("configuration-in-force")") == 2; }));
  }

  void CallChanged()
  {
    const std::string id = "changed-" + std::to_string(++m_lastCall);
    ++m_open;
    net::HttpCallbacks callbacks;
    callbacks.m_done = [this](const net::HttpResponse& aResponse) {
      --m_open;
      ++m_statuses[aResponse.m_head.m_status];
    };
    m_client.Send(MakeRequest(std::string(GetParam().m_path) + "x", id),
                  std::move(callbacks));
  }

  /** Calls for a while, and waits until each call has its answer: those of one
   * time must not be counted among those of the next. */
  void CallChangedFor(Duration aTime, Duration aEvery)
  {
    {
      const net::Watch calls = m_loop->Every(aEvery, [this] { CallChanged(); });
      RunFor(aTime);
    }
    ASSERT_TRUE(RunUntil([this] { return m_open == 0; }));
  }

  std::map<int, int> m_statuses;
  int m_open = 0; ///< Calls without their answer.
};

TEST_P(PassedOnConfigTest, NoCallGoesBack)
{
  m_lastService = "t";
  StartAll();
  SetLinks(LinkMode::Refuse, true);
  CallFor(kUntilPassedOn);
  ASSERT_GT(m_served, 0);
  ChangeAtTheCutOff(ConfigBehind(GetParam()));
  CallChangedFor(kSpreads, kOften);
  EXPECT_EQ(m_statuses[404], 0);
  const std::string other =
    GetParam().m_service == std::string("s") ? "t" : "s";
  for (const std::string& id : m_ranAt[other]) {
    EXPECT_FALSE(id.starts_with("changed-")) << id << " ran at " << other;
  }
  // Refusals end once the others have the change too, which only the instance
  // that is cut off can tell them.
  for (std::size_t i = 0; i < kOthers; ++i) {
    const std::string name = m_instances.All()[i]->m_name;
    ASSERT_TRUE(RunUntil(
      [&] { return CountInLog(name, R"("configuration-in-force")") == 2; }))
      << name;
  }
  m_statuses.clear();
  CallChangedFor(kSpreads, kCallEvery);
  EXPECT_GT(m_statuses[200], 20);
  const std::map<int, int> allServed{ { 200, m_statuses[200] } };
  EXPECT_EQ(m_statuses, allServed);
  m_answers.clear();
  EXPECT_TRUE(m_instances.StopAll(Duration{ 9000 }));
}

INSTANTIATE_TEST_SUITE_P(
  Changes,
  PassedOnConfigTest,
  ::testing::Values(ChangeCase{ "RouteAdded", "/new/", "s" },
                    ChangeCase{ "RouteMoved", "/safe/", "t" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::soak
