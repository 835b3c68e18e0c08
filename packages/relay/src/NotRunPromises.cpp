#include "ridgeferry/relay/NotRunPromises.h"

#include <ridgeferry/base/Hash.h>

namespace ridgeferry::relay {

void
NotRunPromises::Note(std::string_view aCall, Instant aNow)
{
  const std::uint64_t call = Hash64(aCall);
  m_promises.push_back({ aNow, call });
  m_calls.insert(call);
  Forget(aNow);
}

bool
NotRunPromises::Has(std::string_view aCall, Instant aNow)
{
  Forget(aNow);
  return m_calls.contains(Hash64(aCall));
}

void
NotRunPromises::Forget(Instant aNow)
{
  while (!m_promises.empty() && (m_promises.size() > kMost ||
                                 aNow - m_promises.front().m_at > kKeptFor)) {
    m_calls.erase(m_calls.find(m_promises.front().m_call));
    m_promises.pop_front();
  }
}

} // namespace ridgeferry::relay
