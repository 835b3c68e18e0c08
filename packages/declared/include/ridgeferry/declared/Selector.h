#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <ridgeferry/base/FieldReader.h>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ridgeferry::declared {

using Labels = std::map<std::string, std::string, std::less<>>;

/** The label is there and has one of the values (equality is a set of one). */
struct LabelIn
{
  std::string m_key;
  std::vector<std::string> m_values;
  bool operator==(const LabelIn&) const = default;
};

/** The label is missing or has none of the values. */
struct LabelNotIn
{
  std::string m_key;
  std::vector<std::string> m_values;
  bool operator==(const LabelNotIn&) const = default;
};

struct LabelExists
{
  std::string m_key;
  bool operator==(const LabelExists&) const = default;
};

struct LabelDoesNotExist
{
  std::string m_key;
  bool operator==(const LabelDoesNotExist&) const = default;
};

using Requirement =
  std::variant<LabelIn, LabelNotIn, LabelExists, LabelDoesNotExist>;

/**
 * Conditions on labels, all of which must hold. The empty selector matches
 * everything. An immutable value; thread-safe to read.
 */
class Selector
{
public:
  Selector() = default;
  explicit Selector(std::vector<Requirement> aRequirements);

  /**
   * Reads `{"matchLabels": {...}, "matchExpressions": [...]}`. Faults go to
   * `aErrors` with their JSON pointer below `aPointer`.
   */
  static Selector FromJson(const nlohmann::json& aValue,
                           const std::string& aPointer,
                           std::vector<FieldError>& aErrors);

  bool Matches(const Labels& aLabels) const;
  std::span<const Requirement> Requirements() const { return m_requirements; }
  bool operator==(const Selector&) const = default;

private:
  std::vector<Requirement> m_requirements;
};

} // namespace ridgeferry::declared
