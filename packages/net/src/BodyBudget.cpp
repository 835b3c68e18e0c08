#include "ridgeferry/net/BodyBudget.h"

#include <utility>

namespace ridgeferry::net {

bool
BodyBudget::HasRoom(std::size_t aHeldBefore, std::size_t aBytes) const
{
  const std::size_t others = m_held - aHeldBefore;
  const auto most = static_cast<double>(m_most);
  const double room = aBytes > kSmall ? most * kForLarge : most;
  return others == 0 || static_cast<double>(others + aBytes) <= room;
}

BodyShare::~BodyShare()
{
  if (m_budget != nullptr) {
    m_budget->m_held -= m_bytes;
  }
}

BodyShare::BodyShare(BodyShare&& aOther) noexcept
  : m_budget(aOther.m_budget)
  , m_bytes(std::exchange(aOther.m_bytes, 0))
{
}

BodyShare&
BodyShare::operator=(BodyShare&& aOther) noexcept
{
  std::swap(m_budget, aOther.m_budget);
  std::swap(m_bytes, aOther.m_bytes);
  return *this;
}

bool
BodyShare::RaiseTo(std::size_t aBytes)
{
  if (m_budget == nullptr || aBytes <= m_bytes) {
    return true;
  }
  if (!m_budget->HasRoom(m_bytes, aBytes)) {
    m_budget->m_refused.emit(aBytes);
    return false;
  }
  m_budget->m_held += aBytes - m_bytes;
  m_bytes = aBytes;
  return true;
}

} // namespace ridgeferry::net
