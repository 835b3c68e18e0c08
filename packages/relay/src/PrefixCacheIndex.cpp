#include "ridgeferry/relay/PrefixCacheIndex.h"

namespace ridgeferry::relay {

namespace {

constexpr unsigned kWordBits = 32;

std::uint64_t
KeyOf(const CachedSegment& aPart)
{
  return (std::uint64_t{ aPart.m_segment } << kWordBits) | aPart.m_member;
}

} // namespace

void
PrefixCacheIndex::Note(const CachedSegment& aPart, Instant aNow)
{
  m_usedAt[KeyOf(aPart)] = aNow;
  if (aNow - m_forgotten >= kLifetime) {
    Forget(aNow);
  }
}

bool
PrefixCacheIndex::IsCached(const CachedSegment& aPart,
                           Duration aLife,
                           Instant aNow) const
{
  const auto found = m_usedAt.find(KeyOf(aPart));
  return found != m_usedAt.end() && aNow - found->second < aLife;
}

void
PrefixCacheIndex::ForgetEngine(std::uint32_t aMember)
{
  std::erase_if(m_usedAt, [aMember](const auto& aItem) {
    return static_cast<std::uint32_t>(aItem.first) == aMember;
  });
}

void
PrefixCacheIndex::Forget(Instant aNow)
{
  m_forgotten = aNow;
  std::erase_if(m_usedAt, [aNow](const auto& aItem) {
    return aNow - aItem.second >= kLifetime;
  });
}

} // namespace ridgeferry::relay
