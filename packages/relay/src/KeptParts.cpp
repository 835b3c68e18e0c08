#include "ridgeferry/relay/KeptParts.h"

namespace ridgeferry::relay {

namespace {

constexpr unsigned kWordBits = 32;

std::uint64_t
KeyOf(const KeptPart& aPart)
{
  return (std::uint64_t{ aPart.m_part } << kWordBits) | aPart.m_member;
}

} // namespace

void
KeptParts::Note(const KeptPart& aPart, Instant aNow)
{
  m_usedAt[KeyOf(aPart)] = aNow;
  if (aNow - m_forgotten >= kLife) {
    Forget(aNow);
  }
}

bool
KeptParts::IsKept(const KeptPart& aPart, Duration aLife, Instant aNow) const
{
  const auto found = m_usedAt.find(KeyOf(aPart));
  return found != m_usedAt.end() && aNow - found->second < aLife;
}

void
KeptParts::ForgetMember(std::uint32_t aMember)
{
  std::erase_if(m_usedAt, [aMember](const auto& aItem) {
    return static_cast<std::uint32_t>(aItem.first) == aMember;
  });
}

void
KeptParts::Forget(Instant aNow)
{
  m_forgotten = aNow;
  std::erase_if(m_usedAt, [aNow](const auto& aItem) {
    return aNow - aItem.second >= kLife;
  });
}

} // namespace ridgeferry::relay
