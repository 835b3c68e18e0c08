#pragma once

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <ridgeferry/experiment/EngineModel.h>
#include <ridgeferry/experiment/Experiment.h>
#include <ridgeferry/relay/CallKind.h>
#include <unordered_map>
#include <variant>

namespace ridgeferry::experiment {

/** One caller's request, through all its attempts. */
struct ModelCall
{
  std::size_t m_kind = 0;
  std::uint64_t m_chain = 0; ///< Key of its second part; 0: none.
  std::int64_t m_ownTokens = 0;
  std::int64_t m_outTokens = 1;
  Moment m_firstAt = 0;
  std::size_t m_instance = 0;
  int m_comebacks = 0;
  std::uint64_t m_job = 0; ///< Of the present attempt; 0: none.
  bool m_done = false;
  std::vector<std::string> m_excluded;
  std::string m_prefillEngine;
  std::string m_generator;
  std::string m_member; ///< Where the present job is.
  std::int64_t m_tokens = 0;
  std::int64_t m_tokensAhead = 0;
  double m_expectedMs = 0;
  Moment m_placedAt = 0;
  Moment m_sentAt = 0;
  bool m_late = false; ///< It is to stand behind those that are not.
  std::optional<Moment> m_firstToken;
  Moment m_lastToken = 0;
  bool m_paused = false; ///< Between two tokens, for longer than its aim.
};

/** What became of a call. */
enum class CallEnd : std::uint8_t
{
  InAim,
  Late,
  Refused, ///< Its last attempt was.
  Lost,    ///< Not whole at its deadline.
};

/** The calls of a seed: the same for every policy. */
std::deque<ModelCall>
DrawCalls(const Scenario& aScenario, std::uint64_t aSeed);

/**
 * A whole deployment in virtual time: callers, instances that each decide with
 * a `relay::Fleet` of their own, and engines. Pure; not thread-safe.
 */
class FleetModel
{
public:
  FleetModel(const Scenario& aScenario, Policy aPolicy, std::uint64_t aSeed);

  Outcome Run();

private:
  // What happens, in the order of time.
  struct CallComes
  {
    std::size_t m_call = 0;
  };
  struct PlacesAgain ///< A call that waits at its instance.
  {
    std::size_t m_call = 0;
  };
  struct JobArrives
  {
    std::size_t m_call = 0;
    std::uint64_t m_job = 0;
    bool m_readOnly = false;
  };
  struct JobUnreached ///< No connection to a dark engine came about.
  {
    std::size_t m_call = 0;
    std::uint64_t m_job = 0;
  };
  struct StepEnds
  {
    std::size_t m_engine = 0;
  };
  struct Talks
  {
    std::size_t m_instance = 0;
  };
  struct TimeIsOver
  {
    std::size_t m_call = 0;
  };
  struct EnginesGoDark
  {
    std::size_t m_loss = 0;
  };
  struct EnginesUnlisted
  {
    std::size_t m_loss = 0;
  };
  struct EnginesBack
  {
    std::size_t m_loss = 0;
  };
  using What = std::variant<CallComes,
                            PlacesAgain,
                            JobArrives,
                            JobUnreached,
                            StepEnds,
                            Talks,
                            TimeIsOver,
                            EnginesGoDark,
                            EnginesUnlisted,
                            EnginesBack>;
  struct Event
  {
    Moment m_at = 0;
    std::uint64_t m_order = 0; ///< Of equal moments.
    What m_what;
    bool operator<(const Event& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_order > aOther.m_order;
    }
  };
  struct Engine
  {
    std::string m_id; ///< Another one after it was dark.
    relay::UpstreamRole m_role = relay::UpstreamRole::Decode;
    std::unique_ptr<EngineModel> m_model;
    bool m_dark = false;
    std::optional<Moment> m_stepPlanned;
  };

  void On(const CallComes& aEvent);
  void On(const PlacesAgain& aEvent);
  void On(const JobArrives& aEvent);
  void On(const JobUnreached& aEvent);
  void On(const StepEnds& aEvent);
  void On(const Talks& aEvent);
  void On(const TimeIsOver& aEvent);
  void On(const EnginesGoDark& aEvent);
  void On(const EnginesUnlisted& aEvent);
  void On(const EnginesBack& aEvent);

  void Plan(Moment aAt, const What& aWhat);
  void PlanStep(std::size_t aEngine);
  Instant Now() const;
  const CallTerms& TermsOf(const ModelCall& aCall) const;
  relay::Prompt PromptOf(const ModelCall& aCall) const;
  relay::Fleet& FleetOf(const ModelCall& aCall);
  void Place(std::size_t aCall);
  relay::CallKind& KindOf(const ModelCall& aCall);
  relay::PlaceRequest RequestFor(const ModelCall& aCall);
  void PlaceAnywhere(std::size_t aCall);
  void Refuse(std::size_t aCall, Duration aRoomIn);
  void Send(std::size_t aCall, const std::string& aMember, bool aReadOnly);
  void Finish(ModelCall& aCall);
  void Take(std::size_t aCall, const PromptDone& aDone);
  void Take(std::size_t aCall, const TokenDone& aDone);
  void NoteFirstToken(ModelCall& aCall);
  void EndAttempt(ModelCall& aCall, relay::AttemptEnd aEnd);
  void Put(const Engine& aEngine);
  std::size_t LostEngine(std::size_t aLoss, std::int64_t aNth) const;
  CallEnd EndOf(const ModelCall& aCall) const;
  std::int64_t TokensOf(const ModelCall& aCall) const;
  void ReportSizes(std::size_t aKind, KindOutcome& aOut) const;
  Outcome Report() const;
  double Bound() const;

  const Scenario& m_scenario;
  Policy m_policy;
  std::uint64_t m_seed;
  std::mt19937_64 m_random;
  Moment m_now = 0;
  std::uint64_t m_order = 0;
  std::uint64_t m_lastJob = 0;
  std::priority_queue<Event> m_events;
  std::deque<ModelCall> m_calls;
  std::vector<relay::Fleet> m_fleets; ///< One an instance.
  /** Of each instance, by kind. */
  std::vector<std::vector<relay::CallKind>> m_kinds;
  Duration m_shortestAim{}; ///< Of all kinds.
  std::vector<Engine> m_engines;
  std::unordered_map<std::string, std::size_t> m_byId;
  std::unordered_map<std::uint64_t, std::size_t> m_callOfJob;
};

} // namespace ridgeferry::experiment
