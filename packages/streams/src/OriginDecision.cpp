#include "ridgeferry/streams/OriginDecision.h"

#include <algorithm>

namespace ridgeferry::streams {

namespace {

/** Returns the version that alone can have begun the stream; std::nullopt if
 * that is not proven. */
std::optional<std::string>
ProvenSoleVersion(const OriginEvidence& aEvidence, Instant aNow)
{
  if (!aEvidence.m_hasList) {
    return std::nullopt;
  }
  const auto own = aEvidence.m_history.SoleVersionOf(
    aEvidence.m_service, aEvidence.m_memory, aNow);
  if (!own) {
    return std::nullopt;
  }
  Duration longest = own->m_for;
  const auto& peers = aEvidence.m_peersSole;
  if (peers && peers->m_softwareVersion == own->m_softwareVersion) {
    longest = std::max(longest, peers->m_for);
  }
  return longest >= aEvidence.m_memory ? std::optional(own->m_softwareVersion)
                                       : std::nullopt;
}

} // namespace

OriginDecision
DecideOrigin(const OriginEvidence& aEvidence, Instant aNow)
{
  if (aEvidence.m_isAmbiguous) {
    return RefuseTakeUp{ RefuseTakeUp::Cause::Ambiguous, {} };
  }
  if (aEvidence.m_origin) {
    return GoOn{ *aEvidence.m_origin, OriginProof::Record };
  }
  if (auto version = ProvenSoleVersion(aEvidence, aNow)) {
    return GoOn{ { std::string(aEvidence.m_service), std::move(*version) },
                 OriginProof::SoleVersion };
  }
  if (aEvidence.m_isUnanswered) {
    return RefuseTakeUp{ RefuseTakeUp::Cause::Unanswered, kOriginRetryAfter };
  }
  return RefuseTakeUp{ RefuseTakeUp::Cause::Unknown, {} };
}

} // namespace ridgeferry::streams
