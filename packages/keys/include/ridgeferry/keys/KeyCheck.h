#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/keys/Organisations.h>
#include <string_view>
#include <variant>

namespace ridgeferry::keys {

/** How old a configuration may be for decisions on keys; operators set it. */
struct KeyRules
{
  /**
   * A key that was taken away admits no call that is sent later than this after
   * the change was acknowledged, at any instance. std::nullopt if only
   * instances that reach the store are bound.
   */
  std::optional<Duration> m_revocation;
  /** Time within which a change of the configuration must be in force. */
  Duration m_configApply{ 2000 };
};

/** What decides whether a call may run. */
struct KeyQuestion
{
  std::string_view m_key; ///< As the caller presented it; empty if it did not.
  bool m_isPublicRoute = false;
  /**
   * Proven age of the configuration in force (`freshness::ProvenAge`);
   * std::nullopt if nothing is proven.
   */
  std::optional<Duration> m_provenAge;
};

/** The call may run. */
struct KeyAccepted
{
  /** Null if no key was needed and none that is known was presented. */
  const Organisation* m_organisation = nullptr;
};
/** No organisation holds the key. */
struct KeyUnknown
{};
/** The configuration in force does not decide. */
struct KeyUndecided
{
  enum class Cause : std::uint8_t
  {
    /** It is too old: the key may have been taken away, or added, in the
     * meantime. */
    OldConfiguration,
    /** The key may be one of those that could not be read. */
    UnreadableKeys,
  };
  Cause m_cause = Cause::OldConfiguration;
};

using KeyVerdict = std::variant<KeyAccepted, KeyUnknown, KeyUndecided>;

/**
 * Returns whether a configuration of this proven age is fresh enough to run
 * calls by their keys. Thread-safe.
 */
bool
IsFreshForKeys(const KeyRules& aRules, std::optional<Duration> aProvenAge);

/** Thread-safe. The verdict refers to the directory, which must outlive it. */
KeyVerdict
CheckKey(const OrganisationDirectory& aDirectory,
         const KeyRules& aRules,
         const KeyQuestion& aQuestion);

} // namespace ridgeferry::keys
