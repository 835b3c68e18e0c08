#include "ridgeferry/keys/KeyCheck.h"

namespace ridgeferry::keys {

namespace {

/**
 * How much sooner than the bound an instance stops to trust its keys. It covers
 * the time between the moment at which the store evaluates a read and the
 * moment at which it reads its clock for the answer, also if the store is slow.
 */
constexpr Duration kMargin{ 500 };

bool
IsAtMost(std::optional<Duration> aAge, Duration aMost)
{
  return aAge && *aAge <= aMost - kMargin;
}

} // namespace

bool
IsFreshForKeys(const KeyRules& aRules, std::optional<Duration> aProvenAge)
{
  return !aRules.m_revocation || IsAtMost(aProvenAge, *aRules.m_revocation);
}

KeyVerdict
CheckKey(const OrganisationDirectory& aDirectory,
         const KeyRules& aRules,
         const KeyQuestion& aQuestion)
{
  const bool isFresh = IsFreshForKeys(aRules, aQuestion.m_provenAge);
  if (!aDirectory.NeedsKeys()) {
    // A later configuration may have declared the key and taken it away.
    const bool isSure =
      isFresh || aQuestion.m_isPublicRoute || aQuestion.m_key.empty();
    return isSure ? KeyVerdict(KeyAccepted{}) : KeyUndecided{};
  }
  const Organisation* holder = aDirectory.FindByKey(aQuestion.m_key);
  if (aQuestion.m_isPublicRoute) {
    return KeyAccepted{ isFresh ? holder : nullptr };
  }
  if (holder != nullptr) {
    return isFresh ? KeyVerdict(KeyAccepted{ holder }) : KeyUndecided{};
  }
  // A caller that presents no key needs no newer configuration to be refused,
  // unless its route has become public.
  if (!IsAtMost(aQuestion.m_provenAge, aRules.m_configApply)) {
    return KeyUndecided{};
  }
  const bool mayBeHeld =
    aDirectory.HasUnknownKeys() && !aQuestion.m_key.empty();
  return mayBeHeld
           ? KeyVerdict(KeyUndecided{ KeyUndecided::Cause::UnreadableKeys })
           : KeyUnknown{};
}

} // namespace ridgeferry::keys
