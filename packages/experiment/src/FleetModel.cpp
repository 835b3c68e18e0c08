#include "FleetModel.h"

#include <algorithm>
#include <cmath>
#include <ridgeferry/relay/AdmissionBound.h>

namespace ridgeferry::experiment {

namespace {

constexpr const char* kService = "llm";
constexpr const char* kDataCentre = "hall";
/** From an instance to an engine, in ms: between two halls of one region. */
constexpr Moment kWayMs = 1.5;
/** When an instance gives a connection up that does not come about, in ms. */
constexpr Moment kUnreachedMs = 120;
/** Callers heed a time to come back up to this share of what they have left. */
constexpr double kHeeded = 1.0 / 3;
/** Calls that are to be placed later are tried again after that, in ms. */
constexpr Moment kLeastPlaceAgainMs = 20;
constexpr Moment kMostPlaceAgainMs = 60;
/** What is kept of a late call's time for its output. */
constexpr Duration kOutputTime{ 1000 };
/** Reads that are told to the other instances, each time that they talk. */
constexpr Duration kTellReadsFor{ 2000 };
/** Virtual time begins there, so that no moment is the clock's own zero. */
constexpr Duration kOrigin{ 1'000'000 };

} // namespace

FleetModel::FleetModel(const Scenario& aScenario,
                       Policy aPolicy,
                       std::uint64_t aSeed)
  : m_scenario(aScenario)
  , m_policy(aPolicy)
  , m_seed(aSeed)
  , m_random(aSeed + 1)
  , m_calls(DrawCalls(aScenario, aSeed))
  , m_fleets(static_cast<std::size_t>(aScenario.m_instances))
  , m_kinds(m_fleets.size(),
            std::vector<relay::CallKind>(aScenario.m_calls.size()))
{
  for (const CallTerms& terms : aScenario.m_calls) {
    m_shortestAim = m_shortestAim.count() == 0
                      ? terms.m_aim
                      : std::min(m_shortestAim, terms.m_aim);
  }
  if (aScenario.m_readsApart) {
    for (relay::Fleet& fleet : m_fleets) {
      fleet.RestoreDisaggregatedServices({ relay::Fleet::ShortHash(kService) });
    }
  }
  const std::int64_t all = aScenario.m_readers + aScenario.m_generators;
  for (std::int64_t i = 0; i < all; ++i) {
    Engine engine;
    engine.m_role = i < aScenario.m_readers ? relay::UpstreamRole::Prefill
                                            : relay::UpstreamRole::Decode;
    engine.m_id = "e-" + std::to_string(i) + "-0";
    engine.m_model =
      std::make_unique<EngineModel>(aScenario.m_engine, engine.m_role);
    m_byId[engine.m_id] = m_engines.size();
    m_engines.push_back(std::move(engine));
    Put(m_engines.back());
  }
}

Outcome
FleetModel::Run()
{
  for (std::size_t i = 0; i < m_calls.size(); ++i) {
    Plan(m_calls[i].m_firstAt, CallComes{ i });
  }
  const auto every = static_cast<Moment>(m_scenario.m_talkEvery.count());
  std::uniform_real_distribution<Moment> phase(0, every);
  for (std::size_t i = 0; i < m_fleets.size(); ++i) {
    Plan(phase(m_random), Talks{ i });
  }
  for (std::size_t i = 0; i < m_scenario.m_losses.size(); ++i) {
    const Loss& loss = m_scenario.m_losses[i];
    const auto at = static_cast<Moment>(loss.m_at.count());
    Plan(at, EnginesGoDark{ i });
    Plan(at + static_cast<Moment>(loss.m_listedAfter.count()),
         EnginesUnlisted{ i });
    Plan(at + static_cast<Moment>(loss.m_for.count()), EnginesBack{ i });
  }
  while (!m_events.empty()) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    std::visit([this](const auto& aWhat) { On(aWhat); }, event.m_what);
  }
  return Report();
}

void
FleetModel::Plan(Moment aAt, const What& aWhat)
{
  m_events.push({ aAt, ++m_order, aWhat });
}

Instant
FleetModel::Now() const
{
  return Instant{ kOrigin + Duration(std::llround(m_now)) };
}

const CallTerms&
FleetModel::TermsOf(const ModelCall& aCall) const
{
  return m_scenario.m_calls[aCall.m_kind];
}

relay::Fleet&
FleetModel::FleetOf(const ModelCall& aCall)
{
  return m_fleets[aCall.m_instance];
}

relay::CallKind&
FleetModel::KindOf(const ModelCall& aCall)
{
  return m_kinds[aCall.m_instance][aCall.m_kind];
}

relay::Prompt
FleetModel::PromptOf(const ModelCall& aCall) const
{
  const CallTerms& terms = TermsOf(aCall);
  relay::Prompt out;
  const std::int64_t shared = terms.m_commonTokens + terms.m_chainTokens;
  out.m_outTokens = aCall.m_outTokens;
  if (m_policy != Policy::Homes) {
    out.m_ownTokens = shared + aCall.m_ownTokens;
    return out;
  }
  out.m_sharedKey = aCall.m_chain;
  out.m_sharedTokens = shared;
  if (terms.m_commonTokens > 0) {
    out.m_prefixSegments.push_back(
      { static_cast<std::uint32_t>(aCall.m_kind + 1), terms.m_commonTokens });
  }
  if (terms.m_chainTokens > 0) {
    out.m_prefixSegments.push_back(
      { static_cast<std::uint32_t>(aCall.m_chain), terms.m_chainTokens });
  }
  out.m_commonTokens = terms.m_commonTokens;
  out.m_ownTokens = aCall.m_ownTokens;
  return out;
}

void
FleetModel::Put(const Engine& aEngine)
{
  relay::Member member;
  member.m_id = aEngine.m_id;
  member.m_service = kService;
  member.m_dataCentre = kDataCentre;
  member.m_address = aEngine.m_id;
  member.m_slots = m_scenario.m_engine.m_slots;
  member.m_role = aEngine.m_role;
  for (relay::Fleet& fleet : m_fleets) {
    fleet.Put(member);
  }
}

void
FleetModel::On(const CallComes& aEvent)
{
  ModelCall& call = m_calls[aEvent.m_call];
  if (call.m_done) {
    return; // Its time was over on its way back.
  }
  if (call.m_comebacks == 0) {
    Plan(call.m_firstAt + static_cast<Moment>(TermsOf(call).m_deadline.count()),
         TimeIsOver{ aEvent.m_call });
  }
  call.m_excluded.clear();
  const relay::Prompt prompt = PromptOf(call);
  FleetOf(call).NotePrompt(kService, prompt, TermsOf(call).m_gapAim);
  KindOf(call).m_typical.Note(prompt);
  Place(aEvent.m_call);
}

void
FleetModel::On(const PlacesAgain& aEvent)
{
  if (!m_calls[aEvent.m_call].m_done) {
    Place(aEvent.m_call);
  }
}

relay::PlaceRequest
FleetModel::RequestFor(const ModelCall& aCall)
{
  const CallTerms& terms = TermsOf(aCall);
  const Duration spent(std::llround(m_now - aCall.m_firstAt));
  relay::PlaceRequest out;
  out.m_service = kService;
  out.m_dataCentre = kDataCentre;
  out.m_prompt = PromptOf(aCall);
  out.m_typical = KindOf(aCall).m_typical.Value();
  out.m_mayPassForItsSize = KindOf(aCall).m_allowance.MayPass();
  out.m_excluded = aCall.m_excluded;
  out.m_random = m_random();
  out.m_pause = terms.m_gapAim;
  out.m_shortestAim = m_shortestAim;
  out.m_untilGivenUp = terms.m_deadline - spent;
  out.m_left = out.m_untilGivenUp - kOutputTime;
  if (aCall.m_excluded.empty()) {
    out.m_admissionBound = relay::AdmissionBoundOf(terms.m_aim) - spent;
  }
  return out;
}

void
FleetModel::Place(std::size_t aCall)
{
  ModelCall& call = m_calls[aCall];
  if (m_policy == Policy::Random) {
    PlaceAnywhere(aCall);
    return;
  }
  const relay::PlaceResult result =
    FleetOf(call).FindPlace(RequestFor(call), Now());
  if (std::holds_alternative<relay::PlaceLater>(result)) {
    std::uniform_real_distribution<Moment> wait(kLeastPlaceAgainMs,
                                                kMostPlaceAgainMs);
    Plan(m_now + wait(m_random), PlacesAgain{ aCall });
    return;
  }
  if (const auto* fault = std::get_if<relay::PlaceFault>(&result)) {
    Refuse(aCall, fault->m_roomIn);
    return;
  }
  const auto& place = std::get<relay::Place>(result);
  call.m_prefillEngine = place.m_prefillEngine;
  call.m_generator = place.m_upstream;
  call.m_expectedMs = call.m_excluded.empty() ? place.m_expectedMs : 0;
  call.m_late = place.m_late;
  if (call.m_excluded.empty()) {
    KindOf(call).m_allowance.NoteAdmitted(place.m_forItsSize);
  }
  call.m_placedAt = m_now;
  Send(aCall,
       call.m_prefillEngine.empty() ? call.m_generator : call.m_prefillEngine,
       !call.m_prefillEngine.empty());
}

void
FleetModel::PlaceAnywhere(std::size_t aCall)
{
  ModelCall& call = m_calls[aCall];
  std::vector<std::string> listed;
  for (const Engine& engine : m_engines) {
    if (engine.m_role == relay::UpstreamRole::Decode &&
        FleetOf(call).Find(engine.m_id) != nullptr) {
      listed.push_back(engine.m_id);
    }
  }
  if (listed.empty()) {
    Refuse(aCall, {});
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, listed.size() - 1);
  call.m_prefillEngine.clear();
  call.m_generator = listed[draw(m_random)];
  call.m_expectedMs = 0;
  call.m_placedAt = m_now;
  Send(aCall, call.m_generator, false);
}

void
FleetModel::Refuse(std::size_t aCall, Duration aRoomIn)
{
  ModelCall& call = m_calls[aCall];
  call.m_job = 0;
  const Moment ends =
    call.m_firstAt + static_cast<Moment>(TermsOf(call).m_deadline.count());
  if (call.m_comebacks >= TermsOf(call).m_comesBack) {
    call.m_done = true;
    return;
  }
  ++call.m_comebacks;
  std::uniform_int_distribution<std::size_t> other(0, m_fleets.size() - 1);
  call.m_instance = other(m_random);
  const Moment wait =
    std::min(static_cast<Moment>(aRoomIn.count()), (ends - m_now) * kHeeded);
  Plan(m_now + wait + kWayMs, CallComes{ aCall });
}

void
FleetModel::Send(std::size_t aCall, const std::string& aMember, bool aReadOnly)
{
  ModelCall& call = m_calls[aCall];
  relay::Fleet& fleet = FleetOf(call);
  call.m_job = ++m_lastJob;
  call.m_member = aMember;
  call.m_sentAt = m_now;
  const bool reads = aReadOnly || call.m_prefillEngine.empty();
  const relay::Prompt prompt = PromptOf(call);
  call.m_tokens = reads ? fleet.WorkAt(prompt, aMember, Now()) : 0;
  if (reads) {
    fleet.NotePrefill(prompt, aMember, Now());
  }
  call.m_tokensAhead = fleet.TokensAt(aMember);
  fleet.NoteSent(aMember, call.m_tokens, Now());
  m_callOfJob[call.m_job] = aCall;
  const auto engine = m_byId.find(aMember);
  const bool dark = engine == m_byId.end() || m_engines[engine->second].m_dark;
  if (dark) {
    Plan(m_now + kUnreachedMs, JobUnreached{ aCall, call.m_job });
  } else {
    const Moment more = reads ? 0 : m_scenario.m_engine.m_handOverMs;
    Plan(m_now + kWayMs + more, JobArrives{ aCall, call.m_job, aReadOnly });
  }
}

void
FleetModel::On(const JobArrives& aEvent)
{
  ModelCall& call = m_calls[aEvent.m_call];
  const auto found = m_byId.find(call.m_member);
  if (call.m_job != aEvent.m_job || found == m_byId.end()) {
    return;
  }
  const CallTerms& terms = TermsOf(call);
  EngineJob job;
  job.m_id = aEvent.m_job;
  job.m_commonKey = terms.m_commonTokens == 0 ? 0 : call.m_kind + 1;
  job.m_chainKey = call.m_chain;
  job.m_commonTokens = terms.m_commonTokens;
  job.m_chainTokens = terms.m_chainTokens;
  job.m_ownTokens = call.m_ownTokens;
  job.m_outTokens = call.m_outTokens;
  job.m_readOnly = aEvent.m_readOnly;
  job.m_late = call.m_late;
  job.m_handedOver = !aEvent.m_readOnly && !call.m_prefillEngine.empty();
  m_engines[found->second].m_model->Add(job, m_now);
  PlanStep(found->second);
}

void
FleetModel::PlanStep(std::size_t aEngine)
{
  Engine& engine = m_engines[aEngine];
  const auto ends = engine.m_model->StepEnds();
  if (ends && engine.m_stepPlanned != ends) {
    engine.m_stepPlanned = ends;
    Plan(*ends, StepEnds{ aEngine });
  }
}

void
FleetModel::On(const StepEnds& aEvent)
{
  Engine& engine = m_engines[aEvent.m_engine];
  if (engine.m_model->StepEnds() != m_now) {
    return; // It went dark meanwhile.
  }
  const std::string id = engine.m_id;
  for (const EngineOutput& output : engine.m_model->EndStep(m_now)) {
    std::visit(
      [&](const auto& aDone) {
        const auto found = m_callOfJob.find(aDone.m_id);
        if (found != m_callOfJob.end() &&
            m_calls[found->second].m_job == aDone.m_id) {
          Take(found->second, aDone);
        }
      },
      output);
  }
  PlanStep(aEvent.m_engine);
}

void
FleetModel::EndAttempt(ModelCall& aCall, relay::AttemptEnd aEnd)
{
  const Duration took(std::llround(m_now - aCall.m_sentAt));
  FleetOf(aCall).NoteEnded(aCall.m_member, aCall.m_tokens, aEnd, took, Now());
  aCall.m_tokens = 0;
  m_callOfJob.erase(aCall.m_job);
  aCall.m_job = 0;
}

void
FleetModel::NoteFirstToken(ModelCall& aCall)
{
  relay::Fleet& fleet = FleetOf(aCall);
  if (aCall.m_tokens > 0) {
    const Duration took(std::llround(m_now - aCall.m_sentAt));
    fleet.NoteThroughput({ aCall.m_member,
                           aCall.m_tokensAhead + aCall.m_tokens,
                           took,
                           false,
                           Now() - took });
  }
  fleet.NoteFirstByte(aCall.m_member, aCall.m_tokens);
  aCall.m_tokens = 0;
}

void
FleetModel::Take(std::size_t aCall, const PromptDone&)
{
  ModelCall& call = m_calls[aCall];
  FleetOf(call).NoteResponse(call.m_member);
  NoteFirstToken(call);
  EndAttempt(call, relay::AttemptEnd::Served);
  Send(aCall, call.m_generator, false);
}

void
FleetModel::Take(std::size_t aCall, const TokenDone& aDone)
{
  ModelCall& call = m_calls[aCall];
  FleetOf(call).NoteResponse(call.m_member);
  if (!call.m_firstToken) {
    call.m_firstToken = m_now + kWayMs;
    NoteFirstToken(call);
    if (call.m_expectedMs > 0) {
      FleetOf(call).NoteFirstToken(
        kService,
        PromptOf(call),
        call.m_expectedMs,
        Duration(std::llround(m_now - call.m_placedAt)),
        Now());
    }
  } else if (m_now - call.m_lastToken >
             static_cast<Moment>(TermsOf(call).m_gapAim.count())) {
    call.m_paused = true;
  }
  call.m_lastToken = m_now;
  if (aDone.m_last) {
    EndAttempt(call, relay::AttemptEnd::Served);
    call.m_done = true;
  }
}

void
FleetModel::On(const JobUnreached& aEvent)
{
  ModelCall& call = m_calls[aEvent.m_call];
  if (call.m_job != aEvent.m_job) {
    return;
  }
  FleetOf(call).NoteUnreachable(call.m_member, Now());
  call.m_excluded.push_back(call.m_member);
  EndAttempt(call, relay::AttemptEnd::Failed);
  Place(aEvent.m_call);
}

void
FleetModel::On(const Talks& aEvent)
{
  const std::string name = "i-" + std::to_string(aEvent.m_instance);
  const auto loads = m_fleets[aEvent.m_instance].OwnLoads();
  const auto reads =
    m_fleets[aEvent.m_instance].OwnPrefills(Now(), kTellReadsFor);
  for (std::size_t i = 0; i < m_fleets.size(); ++i) {
    if (i != aEvent.m_instance) {
      m_fleets[i].SetPeerLoads(name, loads);
      for (const relay::CachedSegment& part : reads) {
        m_fleets[i].NoteCached(part, Now());
      }
    }
  }
  const auto every = static_cast<Moment>(m_scenario.m_talkEvery.count());
  if (every > 0 && m_now < static_cast<Moment>(m_scenario.m_length.count())) {
    Plan(m_now + every, Talks{ aEvent.m_instance });
  }
}

void
FleetModel::On(const TimeIsOver& aEvent)
{
  ModelCall& call = m_calls[aEvent.m_call];
  if (call.m_done) {
    return;
  }
  if (call.m_job == 0) {
    call.m_done = true; // It waits at its instance, or is on its way back.
    return;
  }
  const auto found = m_byId.find(call.m_member);
  if (found != m_byId.end()) {
    m_engines[found->second].m_model->Cancel(call.m_job);
  }
  EndAttempt(call, relay::AttemptEnd::Abandoned);
}

std::size_t
FleetModel::LostEngine(std::size_t aLoss, std::int64_t aNth) const
{
  // Spread over readers and generators, other ones at each loss.
  constexpr std::size_t kStride = 3;
  const auto nth = static_cast<std::size_t>(aNth);
  return (aLoss + nth * kStride) % m_engines.size();
}

void
FleetModel::On(const EnginesGoDark& aEvent)
{
  for (std::int64_t i = 0; i < m_scenario.m_losses[aEvent.m_loss].m_engines;
       ++i) {
    Engine& engine = m_engines[LostEngine(aEvent.m_loss, i)];
    engine.m_dark = true;
    engine.m_model->Clear();
    engine.m_stepPlanned.reset();
  }
}

void
FleetModel::On(const EnginesUnlisted& aEvent)
{
  for (std::int64_t i = 0; i < m_scenario.m_losses[aEvent.m_loss].m_engines;
       ++i) {
    const Engine& engine = m_engines[LostEngine(aEvent.m_loss, i)];
    for (relay::Fleet& fleet : m_fleets) {
      if (engine.m_dark) {
        fleet.Drop(engine.m_id, {});
      }
    }
  }
}

void
FleetModel::On(const EnginesBack& aEvent)
{
  for (std::int64_t i = 0; i < m_scenario.m_losses[aEvent.m_loss].m_engines;
       ++i) {
    const std::size_t at = LostEngine(aEvent.m_loss, i);
    Engine& engine = m_engines[at];
    if (!engine.m_dark) {
      continue;
    }
    for (relay::Fleet& fleet : m_fleets) {
      fleet.Drop(engine.m_id, {});
    }
    m_byId.erase(engine.m_id);
    engine.m_dark = false;
    engine.m_id =
      "e-" + std::to_string(at) + "-" + std::to_string(aEvent.m_loss + 1);
    m_byId[engine.m_id] = at;
    Put(engine);
  }
}

} // namespace ridgeferry::experiment
