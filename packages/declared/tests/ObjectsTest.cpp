#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <ridgeferry/declared/Catalog.h>
#include <ridgeferry/declared/Objects.h>

namespace ridgeferry::declared {
namespace {

struct BadObjectCase
{
  const char* m_name;
  const char* m_json;
  const char* m_fault; ///< The only fault, as people read it.
};

class BadObjectTest : public ::testing::TestWithParam<BadObjectCase>
{};

TEST_P(BadObjectTest, SaysWhereWhatAndWhatIsAllowed)
{
  const auto object =
    ObjectFromJson(nlohmann::json::parse(GetParam().m_json), "/0");
  ASSERT_FALSE(object.has_value());
  ASSERT_EQ(object.error().size(), 1U)
    << FormatFieldError(object.error().back());
  EXPECT_EQ(FormatFieldError(object.error()[0]), GetParam().m_fault);
}

const BadObjectCase kBadObjects[] = {
  { "NoObject", "[]", "/0: found []; allowed: an object" },
  { "NoKind",
    R"({"name":"a"})",
    R"(/0/kind: found nothing; allowed: "service", "deployment", "team", "event", "route")" },
  { "UnknownKind",
    R"({"kind":"ship","name":"a"})",
    R"(/0/kind: found "ship"; allowed: one of "service", "deployment", "team", "event", "route")" },
  { "NoName",
    R"({"kind":"team"})",
    "/0/name: found nothing; allowed: a string that is not empty" },
  { "BadName",
    R"({"kind":"team","name":"A b"})",
    R"(/0/name: found "A b"; allowed: at most 63 of a-z, 0-9, '-' and '.', with a letter or digit first and last)" },
  { "UnknownField",
    R"({"kind":"team","name":"a","colour":"red"})",
    R"(/0/colour: found "red"; allowed: no such field; fields here: "kind", "labels", "name", "spec")" },
  { "LabelNoText",
    R"({"kind":"team","name":"a","labels":{"k":1}})",
    "/0/labels/k: found 1; allowed: a string" },
  { "UnknownSpecField",
    R"({"kind":"team","name":"a","spec":{"limit":{}}})",
    R"(/0/spec/limit: found {}; allowed: no such field; fields here: "limits")" },
  { "NegativeLimit",
    R"({"kind":"team","name":"a","spec":{"limits":{"inFlight":-1}}})",
    "/0/spec/limits/inFlight: found -1; allowed: a whole number from 0 to "
    "1000000" },
  { "ServiceWithoutUpstreams",
    R"({"kind":"service","name":"a","spec":{}})",
    "/0/spec/upstreams: found nothing; allowed: a selector on labels" },
  { "ServiceRepeatableNoBool",
    R"({"kind":"service","name":"a","spec":{"upstreams":{},"repeatable":"no"}})",
    R"(/0/spec/repeatable: found "no"; allowed: true or false)" },
  { "DeadlineZero",
    R"({"kind":"service","name":"a","spec":{"upstreams":{},"deadlineMs":0}})",
    "/0/spec/deadlineMs: found 0; allowed: a whole number from 1 to 3600000" },
  { "DeploymentWithoutVersion",
    R"({"kind":"deployment","name":"a","spec":{"model":"m","engines":{}}})",
    "/0/spec/version: found nothing; allowed: a string that is not empty" },
  { "WeightText",
    R"({"kind":"deployment","name":"a","spec":{"model":"m","version":"1","engines":{},"roleChangeWeight":"low"}})",
    R"(/0/spec/roleChangeWeight: found "low"; allowed: a number from 0.000000 to 1000000.000000)" },
  { "SelectorNoObject",
    R"({"kind":"service","name":"a","spec":{"upstreams":"all"}})",
    R"(/0/spec/upstreams: found "all"; allowed: an object)" },
  { "SelectorUnknownOperator",
    R"({"kind":"service","name":"a","spec":{"upstreams":{"matchExpressions":[{"key":"k","operator":"Near"}]}}})",
    R"(/0/spec/upstreams/matchExpressions/0/operator: found "Near"; allowed: one of "In", "NotIn", "Exists", "DoesNotExist")" },
  { "SelectorInWithoutValues",
    R"({"kind":"service","name":"a","spec":{"upstreams":{"matchExpressions":[{"key":"k","operator":"In"}]}}})",
    "/0/spec/upstreams/matchExpressions/0/values: found nothing; allowed: one "
    "value or more with In and NotIn" },
  { "SelectorExistsWithValues",
    R"({"kind":"service","name":"a","spec":{"upstreams":{"matchExpressions":[{"key":"k","operator":"Exists","values":["x"]}]}}})",
    R"(/0/spec/upstreams/matchExpressions/0/values: found ["x"]; allowed: no values with Exists and DoesNotExist)" },
  { "SelectorLabelNoText",
    R"({"kind":"service","name":"a","spec":{"upstreams":{"matchLabels":{"k":true}}}})",
    "/0/spec/upstreams/matchLabels/k: found true; allowed: a string" },
  { "EventBadStart",
    R"({"kind":"event","name":"a","spec":{"start":"soon","durationSeconds":1}})",
    R"(/0/spec/start: found "soon"; allowed: a UTC time such as "2026-05-01T12:00:00Z")" },
  { "EventWithoutDuration",
    R"({"kind":"event","name":"a","spec":{"start":"2026-05-01T12:00:00Z"}})",
    "/0/spec/durationSeconds: found nothing; allowed: a whole number from 1 to "
    "604800" },
  { "EventShareAboveOne",
    R"({"kind":"event","name":"a","spec":{"start":"2026-05-01T12:00:00Z","durationSeconds":1,"prefillShare":2}})",
    "/0/spec/prefillShare: found 2; allowed: a number from 0.000000 to "
    "1.000000" },
  { "RouteWithoutRequests",
    R"({"kind":"route","name":"a","spec":{}})",
    "/0/spec/requests: found nothing; allowed: a selector on labels" },
  { "RouteUnknownClass",
    R"({"kind":"route","name":"a","spec":{"requests":{},"class":"first"}})",
    R"(/0/spec/class: found "first"; allowed: one of "urgent", "high", "normal", "low")" },
};

INSTANTIATE_TEST_SUITE_P(Objects,
                         BadObjectTest,
                         ::testing::ValuesIn(kBadObjects),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

TEST(ObjectsTest, ReportsAllFaultsAtOnce)
{
  const auto object = ObjectFromJson(
    nlohmann::json::parse(
      R"({"kind":"route","name":"A","spec":{"class":"x","other":1}})"),
    "");
  ASSERT_FALSE(object.has_value());
  EXPECT_EQ(object.error().size(), 4U);
}

struct SelectorCase
{
  const char* m_name;
  const char* m_selector;
  bool m_matches;
};

class SelectorTest : public ::testing::TestWithParam<SelectorCase>
{};

TEST_P(SelectorTest, MatchesLabels)
{
  const Labels labels = { { "pool", "summary" }, { "zone", "a" } };
  std::vector<FieldError> errors;
  const auto selector = Selector::FromJson(
    nlohmann::json::parse(GetParam().m_selector), "", errors);
  ASSERT_TRUE(errors.empty());
  EXPECT_EQ(selector.Matches(labels), GetParam().m_matches);
}

const SelectorCase kSelectors[] = {
  { "Empty", "{}", true },
  { "Equal", R"({"matchLabels":{"pool":"summary"}})", true },
  { "Other", R"({"matchLabels":{"pool":"chat"}})", false },
  { "Missing", R"({"matchLabels":{"rack":"1"}})", false },
  { "Both", R"({"matchLabels":{"pool":"summary","zone":"b"}})", false },
  { "In",
    R"({"matchExpressions":[{"key":"zone","operator":"In","values":["a","b"]}]})",
    true },
  { "NotIn",
    R"({"matchExpressions":[{"key":"zone","operator":"NotIn","values":["a"]}]})",
    false },
  { "NotInMissing",
    R"({"matchExpressions":[{"key":"rack","operator":"NotIn","values":["a"]}]})",
    true },
  { "Exists",
    R"({"matchExpressions":[{"key":"zone","operator":"Exists"}]})",
    true },
  { "DoesNotExist",
    R"({"matchExpressions":[{"key":"zone","operator":"DoesNotExist"}]})",
    false },
};

INSTANTIATE_TEST_SUITE_P(Selectors,
                         SelectorTest,
                         ::testing::ValuesIn(kSelectors),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

Edit
Put(const std::string& aKey, const std::string& aJson)
{
  return PutObject{ aKey, aJson };
}

TEST(CatalogTest, AppliesAllEditsOrNone)
{
  Catalog catalog;
  const std::vector<Edit> edits = {
    Put("team/a", R"({"kind":"team","name":"a"})"),
    Put("team/b", R"({"kind":"team","name":"B"})"),
  };
  EXPECT_FALSE(catalog.Apply(edits).has_value());
  EXPECT_EQ(catalog.FindOrganisation("a"), nullptr);
}

TEST(CatalogTest, KeepsItsRoutesWhenCopied)
{
  Catalog copy;
  {
    Catalog catalog;
    const std::vector<Edit> edits = {
      Put(
        "route/late",
        R"({"kind":"route","name":"late","spec":{"order":20,"requests":{}}})"),
      Put(
        "route/early",
        R"({"kind":"route","name":"early","spec":{"order":10,"requests":{"matchLabels":{"team":"x"}}}})"),
    };
    ASSERT_TRUE(catalog.Apply(edits).has_value());
    copy = catalog;
  }
  EXPECT_EQ(copy.Match({ { "team", "x" } }, {}).m_route->m_name, "early");
  EXPECT_EQ(copy.Match({ { "team", "y" } }, {}).m_route->m_name, "late");
}

TEST(CatalogTest, MatchesARouteOfAnEventOnlyWhileItLasts)
{
  Catalog catalog;
  const std::vector<Edit> edits = {
    Put(
      "event/squall",
      R"({"kind":"event","name":"squall","spec":{"start":"1970-01-01T00:00:10Z","durationSeconds":5}})"),
    Put(
      "route/r",
      R"({"kind":"route","name":"r","spec":{"requests":{},"event":"squall","class":"urgent"}})"),
  };
  ASSERT_TRUE(catalog.Apply(edits).has_value());
  const auto at = [&](int aSecond) {
    return catalog.Match({}, WallTime(std::chrono::seconds(aSecond))).m_class;
  };
  EXPECT_EQ(at(9), TrafficClass::Normal);
  EXPECT_EQ(at(10), TrafficClass::Urgent);
  EXPECT_EQ(at(14), TrafficClass::Urgent);
  EXPECT_EQ(at(15), TrafficClass::Normal);
}

} // namespace
} // namespace ridgeferry::declared
