#include "ridgeferry/declared/Selector.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::declared {

namespace {

constexpr std::array<std::string_view, 4> kOperators = { "In",
                                                         "NotIn",
                                                         "Exists",
                                                         "DoesNotExist" };

bool
HasOneOf(const Labels& aLabels,
         const std::string& aKey,
         std::span<const std::string> aValues)
{
  const auto it = aLabels.find(aKey);
  if (it == aLabels.end()) {
    return false;
  }
  return std::find(aValues.begin(), aValues.end(), it->second) != aValues.end();
}

bool
Holds(const Requirement& aRequirement, const Labels& aLabels)
{
  return std::visit(
    Overloaded{ [&](const LabelIn& aIn) {
                 return HasOneOf(aLabels, aIn.m_key, aIn.m_values);
               },
                [&](const LabelNotIn& aNotIn) {
                  return !HasOneOf(aLabels, aNotIn.m_key, aNotIn.m_values);
                },
                [&](const LabelExists& aExists) {
                  return aLabels.contains(aExists.m_key);
                },
                [&](const LabelDoesNotExist& aMissing) {
                  return !aLabels.contains(aMissing.m_key);
                } },
    aRequirement);
}

Requirement
ReadExpression(const nlohmann::json& aValue,
               const std::string& aPointer,
               std::vector<FieldError>& aErrors)
{
  FieldReader reader(aValue, aPointer, aErrors);
  std::string key = reader.RequiredString("key");
  if (!reader.Has("operator")) {
    reader.Fail("operator", "\"In\", \"NotIn\", \"Exists\", \"DoesNotExist\"");
  }
  const std::size_t op = reader.OptionalChoice("operator", 2, kOperators);
  std::vector<std::string> values = reader.StringList("values");
  const bool needsValues = op < 2;
  if (needsValues == values.empty()) {
    reader.Fail("values",
                needsValues ? "one value or more with In and NotIn"
                            : "no values with Exists and DoesNotExist");
  }
  reader.RejectUnknown();
  switch (op) {
    case 0:
      return LabelIn{ std::move(key), std::move(values) };
    case 1:
      return LabelNotIn{ std::move(key), std::move(values) };
    case 2:
      return LabelExists{ std::move(key) };
    default:
      return LabelDoesNotExist{ std::move(key) };
  }
}

} // namespace

Selector::Selector(std::vector<Requirement> aRequirements)
  : m_requirements(std::move(aRequirements))
{
}

Selector
Selector::FromJson(const nlohmann::json& aValue,
                   const std::string& aPointer,
                   std::vector<FieldError>& aErrors)
{
  std::vector<Requirement> requirements;
  FieldReader reader(aValue, aPointer, aErrors);
  reader.ForEachMember(
    "matchLabels",
    [&](const std::string& aKey,
        const nlohmann::json& aItem,
        const std::string& aItemPointer) {
      if (!aItem.is_string()) {
        aErrors.push_back({ aItemPointer, aItem.dump(), "a string" });
        return;
      }
      requirements.emplace_back(LabelIn{ aKey, { aItem.get<std::string>() } });
    });
  reader.ForEachItem(
    "matchExpressions",
    [&](const nlohmann::json& aItem, const std::string& aItemPointer) {
      requirements.push_back(ReadExpression(aItem, aItemPointer, aErrors));
    });
  reader.RejectUnknown();
  return Selector(std::move(requirements));
}

bool
Selector::Matches(const Labels& aLabels) const
{
  return std::all_of(
    m_requirements.begin(),
    m_requirements.end(),
    [&](const Requirement& aItem) { return Holds(aItem, aLabels); });
}

} // namespace ridgeferry::declared
