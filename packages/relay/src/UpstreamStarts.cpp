#include "ridgeferry/relay/UpstreamStarts.h"

#include <algorithm>
#include <cmath>
#include <ridgeferry/base/Hash.h>
#include <utility>

namespace ridgeferry::relay {

namespace {

/** Bits of a draw that a double holds exactly. */
constexpr int kDrawBits = 53;
constexpr int kHashBits = 64;

pacing::UpstreamHash
HashOf(std::string_view aId)
{
  return static_cast<pacing::UpstreamHash>(Hash64(aId));
}

PaceCause
CauseOf(const pacing::StartAnswer& aAnswer)
{
  if (!aAnswer.m_isServed) {
    return PaceCause::Failed;
  }
  return aAnswer.m_slowness < pacing::StartPace::kSlow ? PaceCause::Answered
                                                       : PaceCause::Slow;
}

} // namespace

std::string_view
NameOf(PaceCause aCause)
{
  switch (aCause) {
    case PaceCause::Started:
      return "started";
    case PaceCause::Recovered:
      return "recovered";
    case PaceCause::Answered:
      return "answered";
    case PaceCause::Slow:
      return "slow";
    case PaceCause::Failed:
      return "failed";
    case PaceCause::Told:
      return "told";
  }
  return "unknown";
}

void
UpstreamStarts::SetEnabled(bool aIsEnabled)
{
  m_isEnabled = aIsEnabled;
  if (!aIsEnabled) {
    m_pace = {};
  }
}

bool
UpstreamStarts::IsDrawn(pacing::UpstreamHash aUpstream,
                        std::size_t aUpstreams,
                        std::uint64_t aRandom) const
{
  const std::uint64_t mixed = RendezvousWeight(aRandom, aUpstream);
  const double draw = std::ldexp(
    static_cast<double>(mixed >> static_cast<unsigned>(kHashBits - kDrawBits)),
    -kDrawBits);
  return m_pace.MayPlace(aUpstream, aUpstreams, draw);
}

void
UpstreamStarts::NoteStarted(std::string_view aId,
                            std::string_view aService,
                            Instant aNow)
{
  if (m_serving.contains(aService)) {
    Begin(aId, PaceCause::Started, aNow);
  }
}

void
UpstreamStarts::NoteEjected(std::string_view aId, Instant aNow)
{
  Begin(aId, PaceCause::Recovered, aNow);
}

void
UpstreamStarts::Begin(std::string_view aId, PaceCause aCause, Instant aNow)
{
  if (!m_isEnabled) {
    return;
  }
  const pacing::UpstreamHash hash = HashOf(aId);
  m_pace.Begin(hash, aNow);
  Keep(aId, m_pace.ShareOf(hash), aCause);
}

void
UpstreamStarts::NoteServed(std::string_view aService)
{
  if (m_isEnabled && !m_serving.contains(aService)) {
    m_serving.emplace(aService);
  }
}

bool
UpstreamStarts::NoteAnswer(std::string_view aId,
                           const pacing::StartAnswer& aAnswer,
                           Instant aNow)
{
  return Keep(
    aId, m_pace.NoteAnswer(HashOf(aId), aAnswer, aNow), CauseOf(aAnswer));
}

bool
UpstreamStarts::NotePeer(std::string_view aId,
                         const pacing::PaceReport& aReport,
                         Instant aNow)
{
  return m_isEnabled &&
         Keep(aId, m_pace.NotePeer(aReport, aNow), PaceCause::Told);
}

bool
UpstreamStarts::Keep(std::string_view aId,
                     std::optional<double> aShare,
                     PaceCause aCause)
{
  if (!aShare) {
    return false;
  }
  if (m_changes.size() < kMostChanges) {
    m_changes.push_back({ std::string(aId), *aShare, aCause });
  }
  return *aShare >= 1;
}

void
UpstreamStarts::Forget(std::string_view aId)
{
  m_pace.Forget(HashOf(aId));
}

std::vector<pacing::PaceReport>
UpstreamStarts::Reports(Instant aNow) const
{
  std::vector<pacing::PaceReport> out = m_pace.Reports(aNow);
  std::sort(out.begin(), out.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.m_upstream < aRight.m_upstream;
  });
  return out;
}

std::vector<PaceChange>
UpstreamStarts::TakeChanges()
{
  return std::exchange(m_changes, {});
}

} // namespace ridgeferry::relay
