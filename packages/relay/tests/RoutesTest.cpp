#include <gtest/gtest.h>
#include <ridgeferry/relay/Routes.h>

namespace ridgeferry::relay {
namespace {

Route
MakeRoute(std::string aName, std::string aHost, std::string aPrefix)
{
  Route out;
  out.m_name = std::move(aName);
  out.m_host = std::move(aHost);
  out.m_pathPrefix = std::move(aPrefix);
  out.m_services = { { "one", 1 } };
  return out;
}

RouteTable
MakeTable()
{
  RouteConfig config;
  config.m_version = 7;
  config.m_routes = { MakeRoute("tiles", "a.example", "/tiles/"),
                      MakeRoute("deep", "a.example", "/tiles/deep/"),
                      MakeRoute("all", "b.example", "/") };
  config.m_services = { { "one", 10, std::nullopt } };
  return RouteTable(std::move(config));
}

struct FindCase
{
  const char* m_name;
  const char* m_host;
  const char* m_path;
  const char* m_route; ///< Null if no route matches.
};

class RouteTableTest : public ::testing::TestWithParam<FindCase>
{};

TEST_P(RouteTableTest, FindsTheLongestPrefixOfTheHost)
{
  const RouteTable table = MakeTable();
  const Route* route = table.Find(GetParam().m_host, GetParam().m_path);
  if (GetParam().m_route == nullptr) {
    EXPECT_EQ(route, nullptr);
  } else {
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->m_name, GetParam().m_route);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Paths,
  RouteTableTest,
  ::testing::Values(
    FindCase{ "Plain", "a.example", "/tiles/5", "tiles" },
    FindCase{ "Longest", "a.example", "/tiles/deep/5", "deep" },
    FindCase{ "PrefixItself", "a.example", "/tiles/", "tiles" },
    FindCase{ "WithoutItsSlash", "a.example", "/tiles", nullptr },
    FindCase{ "LongerWord", "a.example", "/tilesets/5", nullptr },
    FindCase{ "DeeperThanKnown", "a.example", "/tiles/x/y/z", "tiles" },
    FindCase{ "HostInCapitals", "A.Example", "/tiles/5", "tiles" },
    FindCase{ "HostWithPort", "a.example:80", "/tiles/5", "tiles" },
    FindCase{ "OtherHost", "c.example", "/tiles/5", nullptr },
    FindCase{ "WholeHost", "b.example", "/anything", "all" },
    FindCase{ "NoPath", "b.example", "", nullptr },
    FindCase{ "PathOfAnotherHost", "b.example", "/tiles/5", "all" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** A random number from 0 to 1, and the service that it selects by the weights
 * of the route. */
struct DrawCase
{
  const char* m_name;
  double m_draw;
  const char* m_service;
};

class RouteDrawTest : public ::testing::TestWithParam<DrawCase>
{};

TEST_P(RouteDrawTest, FollowsTheWeights)
{
  Route route = MakeRoute("split", "a", "/");
  route.m_services = { { "large", 90 }, { "small", 10 }, { "none", 0 } };
  EXPECT_EQ(RouteTable::Draw(route, GetParam().m_draw), GetParam().m_service);
}

INSTANTIATE_TEST_SUITE_P(Draws,
                         RouteDrawTest,
                         ::testing::Values(DrawCase{ "First", 0, "large" },
                                           DrawCase{ "Edge", 0.89, "large" },
                                           DrawCase{ "Second", 0.91, "small" },
                                           DrawCase{ "Last", 0.999, "small" }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

/** Priorities that a configuration declares, and the urgency of each. */
struct UrgencyCase
{
  const char* m_name;
  std::vector<int> m_priorities;
  std::vector<int> m_urgencies;
};

class UrgencyTest : public ::testing::TestWithParam<UrgencyCase>
{};

// Guards against calls of several priorities that upstreams get as one.
TEST_P(UrgencyTest, KeepsTheOrderOfPriorities)
{
  RouteConfig config;
  for (const int priority : GetParam().m_priorities) {
    config.m_routes.push_back(
      MakeRoute("r", "h", "/" + std::to_string(priority) + "/"));
    config.m_routes.back().m_priority = priority;
  }
  const RouteTable table(std::move(config));
  std::vector<int> urgencies;
  for (const int priority : GetParam().m_priorities) {
    urgencies.push_back(table.UrgencyOf(priority));
  }
  EXPECT_EQ(urgencies, GetParam().m_urgencies);
}

INSTANTIATE_TEST_SUITE_P(
  Priorities,
  UrgencyTest,
  ::testing::Values(UrgencyCase{ "OfOneDigit", { 0, 2, 5, 9 }, { 0, 2, 5, 9 } },
                    UrgencyCase{ "OfHundreds", { 100, 300, 200 }, { 0, 2, 1 } },
                    UrgencyCase{ "OneIsLarge", { 3, 10, 0 }, { 1, 2, 0 } },
                    UrgencyCase{ "Many",
                                 { 0, 10, 20, 30, 40, 50, 60, 70, 80, 90 },
                                 { 0, 0, 1, 2, 3, 4, 5, 6, 7, 8 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
