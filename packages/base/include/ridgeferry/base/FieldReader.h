#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry {

/** One fault in a JSON document: where, what was found, what is allowed. */
struct FieldError
{
  std::string m_pointer; ///< JSON pointer of the faulty value.
  std::string m_found;   ///< The value found, or `nothing`.
  std::string m_allowed; ///< What is allowed there, as a phrase.

  bool operator==(const FieldError&) const = default;
};

/** `POINTER: found X; allowed: Y`. Thread-safe. */
std::string
FormatFieldError(const FieldError& aError);

/**
 * Reads one JSON object field by field and collects every fault instead of
 * stopping at the first. Each getter returns the fallback when the field is
 * missing or wrong, so callers build the value first and look at the errors
 * after. Call `RejectUnknown` last: any field not asked for is a fault.
 *
 * Precondition: the document and the error list outlive the reader.
 * Not thread-safe.
 */
class FieldReader
{
public:
  FieldReader(const nlohmann::json& aValue,
              std::string aPointer,
              std::vector<FieldError>& aErrors);

  /** Whether the field is there at all. */
  bool Has(std::string_view aField);
  std::string RequiredString(std::string_view aField);
  std::string OptionalString(std::string_view aField, std::string aFallback);
  std::int64_t RequiredInt(std::string_view aField,
                           std::int64_t aLow,
                           std::int64_t aHigh);
  std::int64_t OptionalInt(std::string_view aField,
                           std::int64_t aFallback,
                           std::int64_t aLow,
                           std::int64_t aHigh);
  double RequiredNumber(std::string_view aField, double aLow, double aHigh);
  double OptionalNumber(std::string_view aField,
                        double aFallback,
                        double aLow,
                        double aHigh);
  bool OptionalBool(std::string_view aField, bool aFallback);

  /** Index into `aAllowed` of the string found; `aFallback` if missing. */
  std::size_t OptionalChoice(std::string_view aField,
                             std::size_t aFallback,
                             std::span<const std::string_view> aAllowed);

  /** Calls `aRead` with a reader of the member object, if it is there. */
  void Object(std::string_view aField,
              const std::function<void(FieldReader&)>& aRead);
  /** Calls `aRead` for each member of an object, with its key and pointer. */
  void ForEachMember(std::string_view aField,
                     const std::function<void(const std::string&,
                                              const nlohmann::json&,
                                              const std::string&)>& aRead);
  /** Calls `aRead` for each item of an array, with its pointer. */
  void ForEachItem(std::string_view aField,
                   const std::function<void(const nlohmann::json&,
                                            const std::string&)>& aRead);
  /** Items of an array of strings. */
  std::vector<std::string> StringList(std::string_view aField);

  void RejectUnknown();
  /** Records a fault of a rule that spans fields. */
  void Fail(std::string_view aField, std::string aAllowed);
  const std::string& Pointer() const { return m_pointer; }

private:
  const nlohmann::json* Find(std::string_view aField);
  std::string PointerOf(std::string_view aField) const;
  void FailValue(std::string_view aField,
                 const nlohmann::json* aValue,
                 std::string aAllowed);

  const nlohmann::json& m_value;
  std::string m_pointer;
  std::vector<FieldError>& m_errors;
  std::vector<std::string> m_known;
};

} // namespace ridgeferry
