#include "ridgeferry/admission/FairAdmission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <vector>

namespace ridgeferry::admission {

namespace {

constexpr double kMsPerSecond = 1000;
/** Weight from which on all weights are brought down again. */
constexpr double kMostWeight = 1e6;
/** Share of a call below which nothing is kept of an organisation. */
constexpr double kLeastHad = 0.001;

double
ToMs(Duration aTime)
{
  return static_cast<double>(aTime.count());
}

/** Returns the level to which all are filled if `aRoom` is divided max-min
 * fairly among demands, given in rising order; infinite if all fit. */
double
FairLevel(const std::vector<double>& aDemands, double aRoom)
{
  double left = aRoom;
  for (std::size_t i = 0; i < aDemands.size(); ++i) {
    const double even = left / static_cast<double>(aDemands.size() - i);
    if (aDemands[i] > even) {
      return even;
    }
    left -= aDemands[i];
  }
  return std::numeric_limits<double>::infinity();
}

} // namespace

FairAdmission::Service&
FairAdmission::ServiceOf(std::string_view aName, Instant aNow)
{
  const auto found = m_services.find(aName);
  if (found != m_services.end()) {
    found->second.m_usedAt = aNow;
    return found->second;
  }
  std::erase_if(m_services, [aNow](const auto& aItem) {
    return aItem.second.m_inFlight == 0 &&
           aNow - aItem.second.m_usedAt >= kForgetAfter;
  });
  Service& out = m_services[std::string(aName)];
  out.m_usedAt = aNow;
  out.m_epoch = aNow;
  return out;
}

double
FairAdmission::WeightAt(Service& aService, Instant aNow)
{
  const double weight = std::exp(ToMs(aNow - aService.m_epoch) / ToMs(kMemory));
  if (weight < kMostWeight) {
    return weight;
  }
  for (auto& [organisation, had] : aService.m_had) {
    had /= weight;
  }
  std::erase_if(aService.m_had,
                [](const auto& aItem) { return aItem.second < kLeastHad; });
  aService.m_epoch = aNow;
  return 1;
}

bool
FairAdmission::IsBelowShare(const Service& aService,
                            std::string_view aOrganisation,
                            double aLimit)
{
  const auto found = aService.m_had.find(aOrganisation);
  const double own = found == aService.m_had.end() ? 0 : found->second;
  std::vector<double> demands;
  demands.reserve(aService.m_had.size());
  for (const auto& [organisation, had] : aService.m_had) {
    demands.push_back(had);
  }
  std::sort(demands.begin(), demands.end());
  if (demands.empty() || own >= demands.back()) {
    return false;
  }
  // One call beyond the limit lowers nobody's share but that of the largest: an
  // instance with few calls cannot tell the others' shares more exactly.
  const double wanted = static_cast<double>(aService.m_inFlight) + 1;
  const double part = std::min(1.0, (aLimit + 1) / wanted);
  const double all = std::accumulate(demands.begin(), demands.end(), 0.0);
  return own < FairLevel(demands, all * part);
}

Duration
FairAdmission::RoomIn(Service& aService, double aDraw, Instant aNow)
{
  const double perSecond = std::max(1.0, aService.m_limit.ServedPerSecond());
  const Duration between(
    static_cast<Duration::rep>(std::ceil(kMsPerSecond / perSecond)));
  // As room comes: those refused together must not come back together.
  aService.m_nextReturnAt =
    std::max(aService.m_nextReturnAt, aNow + kLeastReturn) + between;
  const Duration out = aService.m_nextReturnAt - aNow;
  if (out <= kMostReturn) {
    return out;
  }
  aService.m_nextReturnAt = aNow + kMostReturn;
  const auto half = ToMs(kMostReturn) / 2;
  return Duration(static_cast<Duration::rep>(half + aDraw * half));
}

Verdict
FairAdmission::Decide(const Ask& aAsk, Instant aNow)
{
  Service& service = ServiceOf(aAsk.m_service, aNow);
  const double weight = WeightAt(service, aNow);
  if (const auto value = service.m_limit.Value()) {
    const double limit =
      aAsk.m_yieldsToUrgent ? *value * kYieldingPart : *value;
    const auto inFlight = static_cast<double>(service.m_inFlight);
    const bool hasRoom = inFlight + aAsk.m_draw < limit;
    const bool isBelow =
      hasRoom || IsBelowShare(service, aAsk.m_organisation, limit);
    const double most = limit + std::max(kCallsBeyond, limit * kMostBeyond);
    if (!hasRoom && (!isBelow || inFlight >= most)) {
      const Duration roomIn = RoomIn(service, aAsk.m_draw, aNow);
      return Refused{ roomIn, isBelow, *value, service.m_inFlight };
    }
  }
  service.m_had[std::string(aAsk.m_organisation)] += weight;
  ++service.m_inFlight;
  return Admitted{};
}

LimitStep
FairAdmission::NoteAnswer(std::string_view aService,
                          const Answer& aAnswer,
                          Instant aNow)
{
  Service& service = ServiceOf(aService, aNow);
  return service.m_limit.NoteAnswer(aAnswer, service.m_inFlight, aNow);
}

void
FairAdmission::NoteEnded(std::string_view aService)
{
  const auto found = m_services.find(aService);
  if (found != m_services.end() && found->second.m_inFlight > 0) {
    --found->second.m_inFlight;
  }
}

std::optional<double>
FairAdmission::LimitOf(std::string_view aService) const
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? std::nullopt
                                   : found->second.m_limit.Value();
}

} // namespace ridgeferry::admission
