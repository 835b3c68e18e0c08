#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <ridgeferry/configcheck/ConfigCheck.h>
#include <ridgeferry/keys/KeyDigest.h>

namespace ridgeferry::configcheck {
namespace {

using relay::Route;
using relay::RouteConfig;
using relay::Service;

Route
MakeRoute(const std::string& aPrefix)
{
  Route out;
  out.m_host = "h.example";
  out.m_pathPrefix = aPrefix;
  out.m_services = { { "s", 1 } };
  out.m_maxDuration = Duration{ 5000 };
  out.m_firstByteTarget = Duration{ 100 };
  return out;
}

keys::Organisation
MakeOrganisation(const std::string& aName, const std::string& aKey)
{
  keys::Organisation out;
  out.m_name = aName;
  out.m_keys = { keys::DigestOf(aKey) };
  return out;
}

/** A configuration that nothing is wrong with: two routes, a service, an
 * organisation. */
RouteConfig
Sound()
{
  RouteConfig out;
  out.m_version = 7;
  out.m_routes = { MakeRoute("/a/"), MakeRoute("/b/") };
  Service service;
  service.m_name = "s";
  out.m_services = { service };
  out.m_organisations.emplace({ MakeOrganisation("o", "key") });
  return out;
}

struct CheckCase
{
  const char* m_name;
  std::function<void(RouteConfig&)> m_change;
  std::vector<Finding> m_findings;
};

class ConfigCheckTest : public ::testing::TestWithParam<CheckCase>
{};

TEST_P(ConfigCheckTest, TellsWhatIsWrong)
{
  RouteConfig config = Sound();
  GetParam().m_change(config);
  const std::vector<Finding> findings = Check(config);
  EXPECT_EQ(findings, GetParam().m_findings);
  for (const Finding& finding : findings) {
    EXPECT_NE(Format(finding).find(finding.m_entry), std::string::npos);
  }
}

constexpr const char* kRoute = "route h.example/a/";

INSTANTIATE_TEST_SUITE_P(
  Configurations,
  ConfigCheckTest,
  ::testing::Values(
    CheckCase{ "Sound", [](RouteConfig&) {}, {} },
    CheckCase{
      "PrefixWithoutLastSlash",
      [](RouteConfig& aConfig) { aConfig.m_routes[0].m_pathPrefix = "/x"; },
      { { Problem::PathNeverMatches, "route h.example/x" } } },
    CheckCase{
      "PrefixWithoutFirstSlash",
      [](RouteConfig& aConfig) { aConfig.m_routes[0].m_pathPrefix = "x/"; },
      { { Problem::PathNeverMatches, "route h.examplex/" } } },
    CheckCase{
      "PrefixWithQuery",
      [](RouteConfig& aConfig) { aConfig.m_routes[0].m_pathPrefix = "/x?y=/"; },
      { { Problem::PathNeverMatches, "route h.example/x?y=/" } } },
    CheckCase{ "NoHost",
               [](RouteConfig& aConfig) { aConfig.m_routes[0].m_host = ":80"; },
               { { Problem::RouteWithoutHost, "route /a/" } } },
    CheckCase{ "RouteTwiceByOtherSpelling",
               [](RouteConfig& aConfig) {
                 aConfig.m_routes.push_back(MakeRoute("/a/"));
                 aConfig.m_routes.back().m_host = "H.Example:8080";
               },
               { { Problem::ReplacedByLaterRoute, kRoute } } },
    CheckCase{
      "ServiceOfRouteNotDescribed",
      [](RouteConfig& aConfig) {
        aConfig.m_routes[0].m_services = { { "t", 1 } };
      },
      { { Problem::ServiceNotDescribed, "route h.example/a/, service t" } } },
    CheckCase{
      "ShareWithoutWeight",
      [](RouteConfig& aConfig) {
        aConfig.m_routes[0].m_services.push_back({ "s", 0 });
      },
      { { Problem::ShareNeverDrawn, "route h.example/a/, service s" } } },
    CheckCase{ "NoWeights",
               [](RouteConfig& aConfig) {
                 aConfig.m_routes[0].m_services = { { "s", 0 } };
               },
               { { Problem::NoShareHasWeight, kRoute } } },
    CheckCase{ "TargetBeyondTimeLimit",
               [](RouteConfig& aConfig) {
                 aConfig.m_routes[0].m_firstByteTarget = Duration{ 6000 };
               },
               { { Problem::TargetBeyondTimeLimit, kRoute } } },
    CheckCase{ "PauseBeyondTimeLimit",
               [](RouteConfig& aConfig) {
                 aConfig.m_routes[0].m_stream = true;
                 aConfig.m_routes[0].m_pause = Duration{ 6000 };
               },
               { { Problem::PauseBeyondTimeLimit, kRoute } } },
    CheckCase{ "PauseWithoutStream",
               [](RouteConfig& aConfig) {
                 aConfig.m_routes[0].m_pause = Duration{ 60 };
               },
               { { Problem::PauseWithoutStream, kRoute } } },
    CheckCase{
      "ResumableWithoutStream",
      [](RouteConfig& aConfig) { aConfig.m_routes[0].m_resumable = true; },
      { { Problem::ResumableWithoutStream, kRoute } } },
    CheckCase{ "RunsOfWhatMayRunOnce",
               [](RouteConfig& aConfig) { aConfig.m_routes[0].m_maxRuns = 2; },
               { { Problem::RunsBeyondOne, kRoute } } },
    CheckCase{ "RunsOfWhatMayBeRepeated",
               [](RouteConfig& aConfig) {
                 aConfig.m_routes[0].m_maxRuns = 2;
                 aConfig.m_routes[0].m_repeat = relay::Repeat::Freely;
               },
               {} },
    CheckCase{ "ServiceWithoutRoute",
               [](RouteConfig& aConfig) {
                 Service more;
                 more.m_name = "t";
                 aConfig.m_services.push_back(more);
               },
               { { Problem::ServiceWithoutRoute, "service t" } } },
    CheckCase{ "ServiceTwice",
               [](RouteConfig& aConfig) {
                 aConfig.m_services.push_back(aConfig.m_services[0]);
               },
               { { Problem::ReplacedByLaterService, "service s" } } },
    CheckCase{ "NoUpstreamMayBeOrdered",
               [](RouteConfig& aConfig) {
                 aConfig.m_services[0].m_scaling = relay::ScalingTraits{};
               },
               { { Problem::NoUpstreamMayBeOrdered, "service s" } } },
    CheckCase{ "TransferWithoutHandleLifetime",
               [](RouteConfig& aConfig) {
                 aConfig.m_services[0].m_engine = relay::EngineTraits{};
                 aConfig.m_services[0].m_engine->m_transferBytesPerMs = 1;
               },
               { { Problem::TransferWithoutHandleLifetime, "service s" } } },
    CheckCase{
      "ServicesUnreadable",
      [](RouteConfig& aConfig) { aConfig.m_routes[0].m_services.clear(); },
      { { Problem::RouteUnreadable, kRoute } } },
    CheckCase{ "RoutesUnknown",
               [](RouteConfig& aConfig) { aConfig.m_hasUnknownRoutes = true; },
               { { Problem::RoutesUnknown, "the routes" } } },
    CheckCase{ "KeysUnknown",
               [](RouteConfig& aConfig) { aConfig.m_hasUnknownKeys = true; },
               { { Problem::KeysUnknown, "the organisations" } } },
    CheckCase{ "OrganisationTwice",
               [](RouteConfig& aConfig) {
                 aConfig.m_organisations->push_back(
                   MakeOrganisation("o", "other"));
               },
               { { Problem::OrganisationDeclaredTwice, "organisation o" } } },
    CheckCase{ "OrganisationWithoutKey",
               [](RouteConfig& aConfig) {
                 aConfig.m_organisations->at(0).m_keys.clear();
               },
               { { Problem::OrganisationWithoutKey, "organisation o" } } },
    CheckCase{ "KeyOfAnother",
               [](RouteConfig& aConfig) {
                 aConfig.m_organisations->push_back(
                   MakeOrganisation("p", "key"));
               },
               { { Problem::KeyOfEarlierOrganisation,
                   "organisation p, a key of o" } } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// What is said to never match must be what the lookup of routes never finds, of
// all paths that the entry takes: they begin with a slash and have no query.
TEST(ConfigCheckRouteTest, AgreesWithTheLookupOfRoutes)
{
  for (const std::string host : { "h.example", "" }) {
    for (const std::string prefix :
         { "/a/", "/", "/a", "a/", "/a?b/", "", "/a b/", "/a#b/" }) {
      RouteConfig config = Sound();
      config.m_routes = { MakeRoute(prefix) };
      config.m_routes[0].m_host = host;
      const std::vector<Finding> findings = Check(config);
      const bool never =
        std::any_of(findings.begin(), findings.end(), [](const auto& aFinding) {
          return aFinding.m_problem == Problem::PathNeverMatches;
        });
      const relay::RouteTable table(config);
      bool isFound = false;
      for (const std::string path :
           { "/", "/a", "/a/", "/a/x", "/ab/", "/a b/", "/a#b/" }) {
        isFound = isFound || table.Find(host, path) != nullptr;
      }
      EXPECT_EQ(isFound, !never) << host << prefix;
    }
  }
}

struct CompareCase
{
  const char* m_name;
  std::function<void(RouteConfig&)> m_change;
  std::vector<Difference> m_differences;
};

class ConfigDifferencesTest : public ::testing::TestWithParam<CompareCase>
{};

TEST_P(ConfigDifferencesTest, TellsWhatChanges)
{
  RouteConfig next = Sound();
  GetParam().m_change(next);
  EXPECT_EQ(Compare(Sound(), next), GetParam().m_differences);
}

INSTANTIATE_TEST_SUITE_P(
  Changes,
  ConfigDifferencesTest,
  ::testing::Values(
    CompareCase{ "Nothing", [](RouteConfig&) {}, {} },
    CompareCase{
      "HostInOtherSpelling",
      [](RouteConfig& aConfig) { aConfig.m_routes[0].m_host = "H.EXAMPLE"; },
      {} },
    CompareCase{ "RouteAdded",
                 [](RouteConfig& aConfig) {
                   aConfig.m_routes.push_back(MakeRoute("/c/"));
                 },
                 { { ChangeKind::Added, "route h.example/c/", {} } } },
    CompareCase{ "RouteRemoved",
                 [](RouteConfig& aConfig) { aConfig.m_routes.pop_back(); },
                 { { ChangeKind::Removed, "route h.example/b/", {} } } },
    CompareCase{ "RouteChanged",
                 [](RouteConfig& aConfig) {
                   aConfig.m_routes[0].m_priority = 2;
                   aConfig.m_routes[0].m_services[0].m_weight = 3;
                 },
                 { { ChangeKind::Changed,
                     "route h.example/a/",
                     { "services", "priority" } } } },
    CompareCase{
      "ServiceChanged",
      [](RouteConfig& aConfig) {
        aConfig.m_services[0].m_engine = relay::EngineTraits{};
        aConfig.m_services[0].m_scaling = relay::ScalingTraits{};
      },
      { { ChangeKind::Changed, "service s", { "engine", "scaling" } } } },
    CompareCase{ "KeysOfAnOrganisation",
                 [](RouteConfig& aConfig) {
                   aConfig.m_organisations->at(0).m_keys.push_back(
                     keys::DigestOf("more"));
                 },
                 { { ChangeKind::Changed, "organisation o", { "keys" } } } },
    CompareCase{
      "Limits",
      [](RouteConfig& aConfig) { aConfig.m_limits.m_bodyBytes = 1; },
      { { ChangeKind::Changed, "limits", { "bytes of a body" } } } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(ConfigVersionTest, OnlyAHigherVersionTakesEffect)
{
  RouteConfig next = Sound();
  EXPECT_EQ(CheckVersion(Sound(), next).size(), 1U);
  next.m_version = 6;
  EXPECT_EQ(CheckVersion(Sound(), next).size(), 1U);
  next.m_version = 8;
  EXPECT_TRUE(CheckVersion(Sound(), next).empty());
}

TEST(ConfigDifferencesFormatTest, NamesTheFields)
{
  EXPECT_EQ(Format(Difference{ ChangeKind::Changed, "limits", { "x", "y" } }),
            "changed: limits: x, y");
  EXPECT_EQ(Format(Difference{ ChangeKind::Removed, "route a/b/", {} }),
            "removed: route a/b/");
}

} // namespace
} // namespace ridgeferry::configcheck
