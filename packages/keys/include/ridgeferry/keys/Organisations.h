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
  OrganisationDirectory() = default;
  /** If several organisations hold one key, the first of them counts. */
  explicit OrganisationDirectory(std::vector<Organisation> aOrganisations);

  /** Whether no organisation is declared; then calls need no key. */
  bool IsEmpty() const { return m_organisations.empty(); }
  /** Returns null if no organisation holds the key. */
  const Organisation* FindByKey(std::string_view aKey) const;
  const std::vector<Organisation>& All() const { return m_organisations; }

private:
  struct Holder
  {
    KeyDigest m_key;
    std::size_t m_organisation = 0; ///< Index into `m_organisations`.
  };

  std::vector<Organisation> m_organisations;
  /** By the first bytes of the digest. */
  std::unordered_multimap<std::uint64_t, Holder> m_holders;
};

} // namespace ridgeferry::keys
