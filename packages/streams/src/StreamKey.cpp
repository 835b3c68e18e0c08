#include "ridgeferry/streams/StreamKey.h"

#include <ridgeferry/base/Hash.h>

namespace ridgeferry::streams {

StreamKey
KeyOf(const StreamName& aName)
{
  // Each field is hashed with what came before it, so that no two splits of the
  // same text are alike.
  std::uint64_t hash = Hash64(aName.m_organisation);
  hash = Hash64(aName.m_host, hash);
  hash = Hash64(aName.m_path, hash);
  return { Hash64(aName.m_beganAs, hash) };
}

} // namespace ridgeferry::streams
