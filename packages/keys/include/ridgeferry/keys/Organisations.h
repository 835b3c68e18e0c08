#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/keys/KeyDigest.h>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ridgeferry::keys {

/** A customer of the platform, with the keys that its callers present. */
struct Organisation
{
  std::string m_name;
  std::vector<KeyDigest> m_keys;
  /** Goes before the priority of the route; 0 is the most urgent. */
  std::optional<int> m_priority;
};

/**
 * Finds the organisation that holds a key. Immutable, and therefore
 * thread-safe.
 */
class OrganisationDirectory
{
public:
  /** Organisations are not declared, so that calls need no key. */
  OrganisationDirectory() = default;
  /**
   * Calls need the key of one of these organisations, also if there are none.
   * If several of them hold one key, the first counts. `aHasUnknownKeys`: they
   * hold further keys, which could not be read.
   */
  explicit OrganisationDirectory(std::vector<Organisation> aOrganisations,
                                 bool aHasUnknownKeys = false);

  bool NeedsKeys() const { return m_needsKeys; }
  bool HasUnknownKeys() const { return m_hasUnknownKeys; }
  /** Returns null if no organisation holds the key. */
  const Organisation* FindByKey(std::string_view aKey) const;
  const std::vector<Organisation>& All() const { return m_organisations; }

private:
  struct Holder
  {
    KeyDigest m_key;
    std::size_t m_organisation = 0; ///< Index into `m_organisations`.
  };

  bool m_needsKeys = false;
  bool m_hasUnknownKeys = false;
  std::vector<Organisation> m_organisations;
  /** By the first bytes of the digest. */
  std::unordered_multimap<std::uint64_t, Holder> m_holders;
};

} // namespace ridgeferry::keys
