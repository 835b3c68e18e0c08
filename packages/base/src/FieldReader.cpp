#include "ridgeferry/base/FieldReader.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace ridgeferry {

namespace {

constexpr std::size_t kMaxShownValue = 60;
/** Nesting down to which a value is shown: writing it out takes a call a level,
 * and 60,000 levels in a document of 64 KB ended the process. */
constexpr int kMaxShownDepth = 4;

bool
IsDeeperThan(const nlohmann::json& aValue, int aLevels)
{
  if (!aValue.is_structured()) {
    return false;
  }
  return aLevels == 0 ||
         std::any_of(aValue.begin(), aValue.end(), [&](const auto& aItem) {
           return IsDeeperThan(aItem, aLevels - 1);
         });
}

std::string
Shown(const nlohmann::json* aValue)
{
  if (aValue == nullptr) {
    return "nothing";
  }
  if (IsDeeperThan(*aValue, kMaxShownDepth)) {
    return "a nested value";
  }
  std::string text =
    aValue->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxShownValue) {
    text.resize(kMaxShownValue);
    text += "...";
  }
  return text;
}

std::string
EscapePointer(std::string_view aToken)
{
  std::string out;
  for (char c : aToken) {
    if (c == '~') {
      out += "~0";
    } else if (c == '/') {
      out += "~1";
    } else {
      out += c;
    }
  }
  return out;
}

std::string
JoinChoices(std::span<const std::string_view> aAllowed)
{
  std::string out = "one of ";
  for (std::size_t i = 0; i < aAllowed.size(); ++i) {
    out += i == 0 ? "" : ", ";
    out += '"';
    out += aAllowed[i];
    out += '"';
  }
  return out;
}

template<typename Number>
std::string
RangeText(std::string_view aKind, Number aLow, Number aHigh)
{
  return std::string(aKind) + " from " + std::to_string(aLow) + " to " +
         std::to_string(aHigh);
}

bool
IsWholeNumberWithin(const nlohmann::json& aValue,
                    std::int64_t aLow,
                    std::int64_t aHigh)
{
  // Compared as doubles, 2^63 would pass an upper bound of 2^63 - 1.
  if (aValue.is_number_unsigned()) {
    const auto number = aValue.get<std::uint64_t>();
    return std::cmp_greater_equal(number, aLow) &&
           std::cmp_less_equal(number, aHigh);
  }
  if (aValue.is_number_float()) {
    // A whole number is one however JSON writes it. Up to this bound a double
    // holds each of them.
    constexpr double kExact = 9007199254740992.0;
    const double number = aValue.get<double>();
    return std::trunc(number) == number && std::abs(number) <= kExact &&
           number >= static_cast<double>(aLow) &&
           number <= static_cast<double>(aHigh);
  }
  if (!aValue.is_number_integer()) {
    return false;
  }
  const auto number = aValue.get<std::int64_t>();
  return number >= aLow && number <= aHigh;
}

} // namespace

std::string
FormatFieldError(const FieldError& aError)
{
  const std::string where =
    aError.m_pointer.empty() ? std::string("/") : aError.m_pointer;
  return where + ": found " + aError.m_found + "; allowed: " + aError.m_allowed;
}

FieldReader::FieldReader(const nlohmann::json& aValue,
                         std::string aPointer,
                         std::vector<FieldError>& aErrors)
  : m_value(aValue)
  , m_pointer(std::move(aPointer))
  , m_errors(aErrors)
{
  if (!m_value.is_object()) {
    m_errors.push_back({ m_pointer, Shown(&m_value), "an object" });
  }
}

const nlohmann::json*
FieldReader::Find(std::string_view aField)
{
  m_known.emplace_back(aField);
  if (!m_value.is_object()) {
    return nullptr;
  }
  const auto it = m_value.find(std::string(aField));
  return it == m_value.end() ? nullptr : &*it;
}

std::string
FieldReader::PointerOf(std::string_view aField) const
{
  return m_pointer + "/" + EscapePointer(aField);
}

void
FieldReader::FailValue(std::string_view aField,
                       const nlohmann::json* aValue,
                       std::string aAllowed)
{
  if (m_value.is_object()) {
    m_errors.push_back(
      { PointerOf(aField), Shown(aValue), std::move(aAllowed) });
  }
}

void
FieldReader::Fail(std::string_view aField, std::string aAllowed)
{
  FailValue(aField, Find(aField), std::move(aAllowed));
}

bool
FieldReader::Has(std::string_view aField)
{
  return Find(aField) != nullptr;
}

std::string
FieldReader::RequiredString(std::string_view aField)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr || !value->is_string() ||
      value->get_ref<const std::string&>().empty()) {
    FailValue(aField, value, "a string that is not empty");
    return {};
  }
  return value->get<std::string>();
}

std::string
FieldReader::OptionalString(std::string_view aField, std::string aFallback)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return aFallback;
  }
  if (!value->is_string()) {
    FailValue(aField, value, "a string");
    return aFallback;
  }
  return value->get<std::string>();
}

std::int64_t
FieldReader::RequiredInt(std::string_view aField,
                         std::int64_t aLow,
                         std::int64_t aHigh)
{
  if (!Has(aField)) {
    FailValue(aField, nullptr, RangeText("a whole number", aLow, aHigh));
    return aLow;
  }
  return OptionalInt(aField, aLow, aLow, aHigh);
}

std::int64_t
FieldReader::OptionalInt(std::string_view aField,
                         std::int64_t aFallback,
                         std::int64_t aLow,
                         std::int64_t aHigh)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return aFallback;
  }
  if (!IsWholeNumberWithin(*value, aLow, aHigh)) {
    FailValue(aField, value, RangeText("a whole number", aLow, aHigh));
    return aFallback;
  }
  return value->get<std::int64_t>();
}

double
FieldReader::RequiredNumber(std::string_view aField, double aLow, double aHigh)
{
  if (!Has(aField)) {
    FailValue(aField, nullptr, RangeText("a number", aLow, aHigh));
    return aLow;
  }
  return OptionalNumber(aField, aLow, aLow, aHigh);
}

double
FieldReader::OptionalNumber(std::string_view aField,
                            double aFallback,
                            double aLow,
                            double aHigh)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return aFallback;
  }
  if (!value->is_number() || value->get<double>() < aLow ||
      value->get<double>() > aHigh) {
    FailValue(aField, value, RangeText("a number", aLow, aHigh));
    return aFallback;
  }
  return value->get<double>();
}

bool
FieldReader::OptionalBool(std::string_view aField, bool aFallback)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return aFallback;
  }
  if (!value->is_boolean()) {
    FailValue(aField, value, "true or false");
    return aFallback;
  }
  return value->get<bool>();
}

std::size_t
FieldReader::OptionalChoice(std::string_view aField,
                            std::size_t aFallback,
                            std::span<const std::string_view> aAllowed)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return aFallback;
  }
  if (value->is_string()) {
    const auto it = std::find(
      aAllowed.begin(), aAllowed.end(), value->get_ref<const std::string&>());
    if (it != aAllowed.end()) {
      return static_cast<std::size_t>(it - aAllowed.begin());
    }
  }
  FailValue(aField, value, JoinChoices(aAllowed));
  return aFallback;
}

void
FieldReader::Object(std::string_view aField,
                    const std::function<void(FieldReader&)>& aRead)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return;
  }
  FieldReader reader(*value, PointerOf(aField), m_errors);
  if (!value->is_object()) {
    return;
  }
  aRead(reader);
  reader.RejectUnknown();
}

void
FieldReader::ForEachMember(
  std::string_view aField,
  const std::function<
    void(const std::string&, const nlohmann::json&, const std::string&)>& aRead)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    FailValue(aField, value, "an object");
    return;
  }
  for (const auto& [key, item] : value->items()) {
    aRead(key, item, PointerOf(aField) + "/" + EscapePointer(key));
  }
}

void
FieldReader::ForEachItem(
  std::string_view aField,
  const std::function<void(const nlohmann::json&, const std::string&)>& aRead)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    FailValue(aField, value, "an array");
    return;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    aRead((*value)[i], PointerOf(aField) + "/" + std::to_string(i));
  }
}

std::vector<std::string>
FieldReader::StringList(std::string_view aField)
{
  std::vector<std::string> out;
  ForEachItem(aField,
              [&](const nlohmann::json& aItem, const std::string& aPointer) {
                if (!aItem.is_string()) {
                  m_errors.push_back({ aPointer, Shown(&aItem), "a string" });
                  return;
                }
                out.push_back(aItem.get<std::string>());
              });
  return out;
}

void
FieldReader::RejectUnknown()
{
  if (!m_value.is_object()) {
    return;
  }
  for (const auto& [key, item] : m_value.items()) {
    if (std::find(m_known.begin(), m_known.end(), key) != m_known.end()) {
      continue;
    }
    std::vector<std::string_view> names(m_known.begin(), m_known.end());
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    m_errors.push_back(
      { PointerOf(key),
        Shown(&item),
        "no such field; fields here: " + JoinChoices(names).substr(7) });
  }
}

} // namespace ridgeferry
