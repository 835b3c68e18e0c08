#include "ridgeferry/keys/Organisations.h"

#include <cstring>

namespace ridgeferry::keys {

namespace {

std::uint64_t
BucketOf(const KeyDigest& aDigest)
{
  std::uint64_t out = 0;
  std::memcpy(&out, aDigest.m_bytes.data(), sizeof(out));
  return out;
}

} // namespace

OrganisationDirectory::OrganisationDirectory(
  std::vector<Organisation> aOrganisations,
  bool aHasUnknownKeys)
  : m_needsKeys(true)
  , m_hasUnknownKeys(aHasUnknownKeys)
  , m_organisations(std::move(aOrganisations))
{
  for (std::size_t i = 0; i < m_organisations.size(); ++i) {
    for (const KeyDigest& key : m_organisations[i].m_keys) {
      m_holders.emplace(BucketOf(key), Holder{ key, i });
    }
  }
}

const Organisation*
OrganisationDirectory::FindByKey(std::string_view aKey) const
{
  if (aKey.empty()) {
    return nullptr;
  }
  const KeyDigest digest = DigestOf(aKey);
  const auto [first, last] = m_holders.equal_range(BucketOf(digest));
  std::optional<std::size_t> found;
  for (auto holder = first; holder != last; ++holder) {
    if (holder->second.m_key == digest &&
        (!found || holder->second.m_organisation < *found)) {
      found = holder->second.m_organisation;
    }
  }
  return found ? &m_organisations[*found] : nullptr;
}

} // namespace ridgeferry::keys
