#include "ridgeferry/experiment/EngineModel.h"

#include <algorithm>

namespace ridgeferry::experiment {

namespace {

/** A generator reads prompts between the tokens of others. */
constexpr double kGeneratorPace = 0.5;
constexpr std::int64_t kGeneratorPieces = 4;
/** A step without any work of its own takes at least that long, in ms. */
constexpr Moment kLeastStep = 0.05;

} // namespace

EngineModel::EngineModel(EngineTerms aTerms, relay::UpstreamRole aPart)
  : m_terms(aTerms)
  , m_role(aPart)
{
}

std::int64_t
EngineModel::SizeOf(const EngineJob& aJob)
{
  return aJob.m_ownTokens + aJob.m_outTokens;
}

void
EngineModel::Add(const EngineJob& aJob, Moment aNow)
{
  const auto isLate = [](const EngineJob& aItem) { return aItem.m_late; };
  const auto behind =
    aJob.m_late ? m_waiting.end()
                : std::find_if(m_waiting.begin(), m_waiting.end(), isLate);
  m_waiting.insert(behind, aJob);
  if (!m_stepEnds) {
    StartStep(aNow);
  }
}

void
EngineModel::Cancel(std::uint64_t aId)
{
  std::erase_if(m_waiting,
                [aId](const EngineJob& aJob) { return aJob.m_id == aId; });
  const auto found =
    std::find_if(m_active.begin(), m_active.end(), [aId](const Active& aItem) {
      return aItem.m_job.m_id == aId;
    });
  if (found != m_active.end()) {
    m_activeTokens -= SizeOf(found->m_job);
    m_active.erase(found);
  }
}

void
EngineModel::Clear()
{
  m_waiting.clear();
  m_active.clear();
  m_parts.clear();
  m_byKey.clear();
  m_partTokens = 0;
  m_activeTokens = 0;
  m_stepEnds.reset();
}

bool
EngineModel::Use(std::uint64_t aKey)
{
  const auto found = m_byKey.find(aKey);
  if (found == m_byKey.end()) {
    return false;
  }
  m_parts.splice(m_parts.begin(), m_parts, found->second);
  return true;
}

void
EngineModel::Keep(std::uint64_t aKey, std::int64_t aTokens)
{
  if (aKey == 0 || aTokens == 0 || Use(aKey)) {
    return;
  }
  m_parts.push_front({ aKey, aTokens });
  m_byKey[aKey] = m_parts.begin();
  m_partTokens += aTokens;
  while (m_parts.size() > 1 &&
         m_partTokens + m_activeTokens > m_terms.m_memoryTokens) {
    m_partTokens -= m_parts.back().m_tokens;
    m_byKey.erase(m_parts.back().m_key);
    m_parts.pop_back();
  }
}

std::int64_t
EngineModel::UnreadOf(const EngineJob& aJob)
{
  if (aJob.m_handedOver) {
    return 0;
  }
  // A part counts as kept only if all before it are.
  const bool common = aJob.m_commonTokens == 0 || Use(aJob.m_commonKey);
  const bool chain = common && aJob.m_chainTokens > 0 && Use(aJob.m_chainKey);
  const std::int64_t kept =
    (common ? aJob.m_commonTokens : 0) + (chain ? aJob.m_chainTokens : 0);
  m_totals.m_kept += kept;
  return aJob.m_commonTokens + aJob.m_chainTokens + aJob.m_ownTokens - kept;
}

bool
EngineModel::Fits(const EngineJob& aJob)
{
  const auto active = static_cast<std::int64_t>(m_active.size());
  return active < m_terms.m_slots &&
         (m_active.empty() ||
          m_activeTokens + SizeOf(aJob) <= m_terms.m_memoryTokens);
}

void
EngineModel::Admit()
{
  while (!m_waiting.empty() && Fits(m_waiting.front())) {
    const EngineJob job = m_waiting.front();
    m_waiting.pop_front();
    m_activeTokens += SizeOf(job);
    m_active.push_back({ job, UnreadOf(job), 0 });
    if (m_active.back().m_unread == 0) {
      NoteRead(m_active.back());
    }
  }
}

void
EngineModel::NoteRead(Active& aActive)
{
  const EngineJob& job = aActive.m_job;
  Keep(job.m_commonKey, job.m_commonTokens);
  Keep(job.m_chainKey, job.m_chainTokens);
}

std::int64_t
EngineModel::MostPiece() const
{
  return m_role == relay::UpstreamRole::Decode
           ? m_terms.m_pieceTokens / kGeneratorPieces
           : m_terms.m_pieceTokens;
}

double
EngineModel::PieceMs(std::int64_t aTokens) const
{
  const double pace =
    m_terms.m_readTokensPerMs *
    (m_role == relay::UpstreamRole::Decode ? kGeneratorPace : 1);
  return static_cast<double>(aTokens) / pace;
}

void
EngineModel::StartStep(Moment aNow)
{
  Admit();
  m_stepEnds.reset();
  if (m_active.empty()) {
    return;
  }
  std::int64_t giving = 0;
  m_piece = 0;
  for (const Active& item : m_active) {
    if (item.m_unread > 0 && m_piece == 0) {
      m_piece = std::min(item.m_unread, MostPiece());
    }
    giving += item.m_unread == 0 && !item.m_job.m_readOnly ? 1 : 0;
  }
  const double giveMs = giving == 0
                          ? 0
                          : m_terms.m_stepMs + m_terms.m_stepMsPerCall *
                                                 static_cast<double>(giving);
  m_stepEnds = aNow + std::max(kLeastStep, giveMs + PieceMs(m_piece));
}

std::vector<EngineOutput>
EngineModel::EndStep(Moment aNow)
{
  std::vector<EngineOutput> out;
  bool readOne = false;
  for (auto it = m_active.begin(); it != m_active.end();) {
    Active& item = *it;
    const EngineJob& job = item.m_job;
    bool ended = false;
    if (item.m_unread > 0) {
      if (!std::exchange(readOne, true)) {
        item.m_unread -= m_piece;
        m_totals.m_read += m_piece;
        if (item.m_unread == 0) {
          NoteRead(item);
        }
      }
    } else if (job.m_readOnly) {
      ended = true;
      out.emplace_back(PromptDone{ job.m_id });
    } else {
      ended = ++item.m_given >= job.m_outTokens;
      out.emplace_back(TokenDone{ job.m_id, ended });
    }
    if (ended) {
      m_activeTokens -= SizeOf(job);
      it = m_active.erase(it);
    } else {
      ++it;
    }
  }
  StartStep(aNow);
  return out;
}

} // namespace ridgeferry::experiment
