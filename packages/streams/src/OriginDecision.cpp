#include "ridgeferry/streams/OriginDecision.h"

#include <algorithm>

namespace ridgeferry::streams {

namespace {

/** For how long the service's upstreams are known to have run one version. */
std::optional<SoleVersion>
KnownSoleVersion(const OriginEvidence& aEvidence, Instant aNow)
{
  if (!aEvidence.m_hasList) {
    return std::nullopt;
  }
  auto sole = aEvidence.m_history.SoleVersionOf(
    aEvidence.m_service, aEvidence.m_memory, aNow);
  const auto& peers = aEvidence.m_peersSole;
  if (sole && peers && peers->m_softwareVersion == sole->m_softwareVersion) {
    sole->m_for = std::max(sole->m_for, peers->m_for);
  }
  return sole;
}

} // namespace

OriginDecision
DecideOrigin(const OriginEvidence& aEvidence, Instant aNow)
{
  const Duration memory = aEvidence.m_memory;
  if (aEvidence.m_isAmbiguous) {
    return RefuseTakeUp{ RefuseTakeUp::Cause::Ambiguous, memory };
  }
  if (aEvidence.m_origin) {
    return GoOn{ *aEvidence.m_origin, OriginProof::Record };
  }
  const auto sole = KnownSoleVersion(aEvidence, aNow);
  const Duration soleFor = sole ? sole->m_for : Duration{};
  const bool wasSole = sole && soleFor >= memory;
  if (wasSole && aEvidence.m_isListProven) {
    return GoOn{ { std::string(aEvidence.m_service), sole->m_softwareVersion },
                 OriginProof::SoleVersion };
  }
  if (aEvidence.m_isStoreUnread) {
    return RefuseTakeUp{ RefuseTakeUp::Cause::Unanswered,
                         kOriginStoreRetryAfter };
  }
  if (aEvidence.m_isUnanswered || wasSole) {
    return RefuseTakeUp{ RefuseTakeUp::Cause::Unanswered, kOriginRetryAfter };
  }
  return RefuseTakeUp{ RefuseTakeUp::Cause::Unknown, memory - soleFor };
}

} // namespace ridgeferry::streams
