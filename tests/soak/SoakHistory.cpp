#include "SoakHistory.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>
#include <set>

namespace ridgeferry::soak {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

std::string
At(Instant aAt)
{
  return " at " + std::to_string(aAt.time_since_epoch().count()) + " ms";
}

bool
PromisesNotRun(int aStatus)
{
  static const std::set<int> kPromises{ 408, 421, 429, 503 };
  return kPromises.contains(aStatus);
}

bool
IsStream(CallKind aKind)
{
  return aKind == CallKind::Resumable || aKind == CallKind::Stream;
}

bool
MayRepeat(CallKind aKind)
{
  return aKind == CallKind::Safe || aKind == CallKind::Resumable;
}

/** Collects what is wrong, one rule a method. */
class Checker
{
public:
  Checker(const SoakHistory& aHistory, const SoakBounds& aBounds)
    : m_history(aHistory)
    , m_bounds(aBounds)
  {
    for (const SoakRun& run : m_history.m_runs) {
      m_runsOf[run.m_call].push_back(&run);
    }
  }

  std::vector<std::string> Check()
  {
    CheckProcesses();
    for (const auto& [id, call] : m_history.m_calls) {
      CheckRuns(id, call);
      CheckPromise(id, call);
      CheckAnswer(id, call);
      CheckEnd(id, call);
      CheckLeft(id, call);
    }
    CheckVersions();
    CheckUnasked();
    CheckLeaving();
    CheckConfig();
    CheckBudget();
    CheckRecovery();
    return std::move(m_wrong);
  }

private:
  void Wrong(std::string aText) { m_wrong.push_back(std::move(aText)); }

  bool IsCalm(std::string_view aWhere, Instant aFrom, Instant aTo) const
  {
    return std::none_of(m_history.m_disturbances.begin(),
                        m_history.m_disturbances.end(),
                        [&](const Disturbance& aItem) {
                          return aItem.m_where == aWhere &&
                                 aItem.m_from <= aTo && aItem.m_to >= aFrom;
                        });
  }

  /** Nothing has disturbed the instance itself, nor who observes it. */
  bool IsInstanceCalm(const std::string& aInstance,
                      Instant aFrom,
                      Instant aTo) const
  {
    return IsCalm(aInstance, aFrom, aTo) && IsCalm(kObserver, aFrom, aTo);
  }

  bool IsInTouch(const std::string& aInstance, Instant aAt) const
  {
    const Instant from = aAt - m_bounds.m_inTouch;
    return IsInstanceCalm(aInstance, from, aAt) && IsCalm(kStore, from, aAt) &&
           IsCalm("store/" + aInstance, from, aAt);
  }

  void CheckProcesses()
  {
    for (const std::string& crash : m_history.m_crashes) {
      Wrong("a process ended by itself: " + crash);
    }
  }

  const std::vector<const SoakRun*>& RunsOf(const std::string& aId) const
  {
    static const std::vector<const SoakRun*> kNone;
    const auto found = m_runsOf.find(aId);
    return found == m_runsOf.end() ? kNone : found->second;
  }

  /** Whether the instances could know of the run. By contract a request to read
   * a prompt runs nothing; an engine that runs it all the same shows so in its
   * answer, which trouble at that engine may lose. */
  bool IsKnowableRun(const SoakRun& aRun) const
  {
    const Instant until = aRun.m_endedAt.value_or(Instant::max());
    return aRun.m_ran && (!aRun.m_readOnly ||
                          IsCalm(aRun.m_upstream, aRun.m_arrivedAt, until));
  }

  void CheckRuns(const std::string& aId, const SoakCall& aCall)
  {
    std::vector<const SoakRun*> ran;
    for (const SoakRun* run : RunsOf(aId)) {
      if (IsKnowableRun(*run)) {
        ran.push_back(run);
      }
      if (run->m_wrongMemory) {
        Wrong(aId + " went on from the memory of another call or version");
      }
    }
    if (!MayRepeat(aCall.m_kind) && ran.size() > 1) {
      Wrong(aId + " may run once and ran " + std::to_string(ran.size()) +
            " times");
    }
  }

  void CheckPromise(const std::string& aId, const SoakCall& aCall)
  {
    if (aCall.m_end != CallEnd::Whole || !PromisesNotRun(aCall.m_status)) {
      return;
    }
    if (aCall.m_status == kUnavailable && !aCall.m_hasRetryAfter) {
      Wrong(aId + " was refused without a time to come back");
    }
    const auto& runs = RunsOf(aId);
    const bool ran =
      std::any_of(runs.begin(), runs.end(), [this](const SoakRun* aRun) {
        return IsKnowableRun(*aRun);
      });
    if (ran && !MayRepeat(aCall.m_kind)) {
      Wrong(aId + " was answered " + std::to_string(aCall.m_status) +
            " and has run");
    }
  }

  void CheckAnswer(const std::string& aId, const SoakCall& aCall)
  {
    if (aCall.m_end != CallEnd::Whole || aCall.m_status != kOk) {
      return;
    }
    if (IsStream(aCall.m_kind)) {
      CheckStream(aId, aCall);
    } else if (aCall.m_answer != PlainAnswer(aId, aCall.m_body)) {
      Wrong(aId + " got another answer than its own whole one: \"" +
            aCall.m_answer + "\"");
    }
  }

  /** A whole stream has all events that its caller lacks, of one version. */
  void CheckStream(const std::string& aId, const SoakCall& aCall)
  {
    const std::string& stream = aCall.m_stream.empty() ? aId : aCall.m_stream;
    const bool isWhole = std::any_of(
      kVersions.begin(), kVersions.end(), [&](std::string_view aVersion) {
        return aCall.m_answer ==
               RestOfStream(stream, aVersion, aCall.m_afterEvent);
      });
    if (!isWhole) {
      Wrong(aId + " got another stream than its own whole one: \"" +
            aCall.m_answer + "\"");
    }
  }

  /** All events of a stream are of one version, over its caller's tries. */
  void CheckVersions()
  {
    std::map<std::string, std::set<std::string_view>> versions;
    for (const auto& [id, call] : m_history.m_calls) {
      if (!IsStream(call.m_kind) || call.m_status != kOk) {
        continue;
      }
      auto& seen = versions[call.m_stream.empty() ? id : call.m_stream];
      for (const std::string_view version : kVersions) {
        const std::string end = "/" + std::string(version) + "\n\n";
        if (call.m_answer.find(end) != std::string::npos) {
          seen.insert(version);
        }
      }
    }
    for (const auto& [stream, seen] : versions) {
      if (seen.size() > 1) {
        Wrong(stream + " has events of several software versions");
      }
    }
  }

  void CheckEnd(const std::string& aId, const SoakCall& aCall)
  {
    const Instant until = aCall.m_sentAt + aCall.m_deadline + m_bounds.m_slack;
    const bool calm =
      IsInstanceCalm(aCall.m_instance, aCall.m_sentAt, aCall.m_endedAt);
    if (!calm || aCall.m_end == CallEnd::Left) {
      return;
    }
    if (aCall.m_end == CallEnd::Open || aCall.m_endedAt > until) {
      Wrong(aId + " had no final answer in time from " + aCall.m_instance +
            ", sent" + At(aCall.m_sentAt));
    }
    // A plain call that was passed on is answered, whatever happened there.
    if (aCall.m_end == CallEnd::Broken && !IsStream(aCall.m_kind) &&
        !RunsOf(aId).empty()) {
      Wrong(aId + " was passed on by " + aCall.m_instance +
            " and its connection ended without an answer" +
            At(aCall.m_endedAt));
    }
  }

  void CheckLeft(const std::string& aId, const SoakCall& aCall)
  {
    if (aCall.m_end != CallEnd::Left) {
      return;
    }
    const Instant until =
      aCall.m_endedAt + m_bounds.m_leftGrace + m_bounds.m_slack;
    for (const SoakRun* run : RunsOf(aId)) {
      const bool calm =
        IsInstanceCalm(aCall.m_instance, aCall.m_sentAt, until) &&
        IsCalm(run->m_upstream, aCall.m_sentAt, until);
      if (calm && (!run->m_endedAt || *run->m_endedAt > until)) {
        Wrong(aId + " was still at work at " + run->m_upstream +
              " though its caller left" + At(aCall.m_endedAt) +
              (run->m_endedAt ? ", ended" + At(*run->m_endedAt) : ""));
      }
    }
  }

  void CheckUnasked()
  {
    for (const SoakRun& run : m_history.m_runs) {
      const auto call = m_history.m_calls.find(run.m_call);
      if (call == m_history.m_calls.end()) {
        Wrong(run.m_upstream + " got a call that nobody sent: " + run.m_call);
      } else if (call->second.m_body != run.m_body) {
        Wrong(run.m_call + " came to " + run.m_upstream + " changed");
      }
    }
  }

  void CheckLeaving()
  {
    for (const SoakRun& run : m_history.m_runs) {
      const auto leaving = m_history.m_leaving.find(run.m_upstream);
      const auto call = m_history.m_calls.find(run.m_call);
      if (leaving == m_history.m_leaving.end() ||
          call == m_history.m_calls.end()) {
        continue;
      }
      const Instant until =
        leaving->second + m_bounds.m_leavingGrace + m_bounds.m_slack;
      const std::string& instance = call->second.m_instance;
      if (run.m_arrivedAt > until && IsInTouch(instance, run.m_arrivedAt) &&
          IsCalm(run.m_upstream, call->second.m_sentAt, run.m_arrivedAt)) {
        Wrong(run.m_call + " was sent by " + instance + " to " +
              run.m_upstream + At(run.m_arrivedAt) + ", which left" +
              At(leaving->second));
      }
    }
  }

  void CheckConfig()
  {
    for (const ConfigProbe& probe : m_history.m_probes) {
      const auto accepted =
        std::find_if(m_history.m_configs.begin(),
                     m_history.m_configs.end(),
                     [&](const AcceptedConfig& aItem) {
                       return aItem.m_version == probe.m_version;
                     });
      if (probe.m_inForce || accepted == m_history.m_configs.end() ||
          IsOvertaken(probe)) {
        continue;
      }
      const Instant due =
        accepted->m_at + m_bounds.m_configApply + m_bounds.m_slack;
      if (probe.m_sentAt > due && IsInTouch(probe.m_instance, probe.m_sentAt)) {
        Wrong("version " + std::to_string(probe.m_version) +
              " was not in force at " + probe.m_instance + At(probe.m_sentAt));
      }
    }
    CheckNoRevert();
  }

  /** Whether a newer version was accepted before its answer: that has another
   * route in the place of this one's. */
  bool IsOvertaken(const ConfigProbe& aProbe) const
  {
    return std::any_of(m_history.m_configs.begin(),
                       m_history.m_configs.end(),
                       [&](const AcceptedConfig& aItem) {
                         return aItem.m_version > aProbe.m_version &&
                                aItem.m_at <= aProbe.m_answeredAt;
                       });
  }

  void CheckNoRevert()
  {
    std::map<std::pair<std::string, int>, std::uint64_t> seen;
    for (const ConfigProbe& probe : m_history.m_probes) {
      std::uint64_t& highest = seen[{ probe.m_instance, probe.m_incarnation }];
      if (probe.m_inForce) {
        highest = std::max(highest, probe.m_version);
      } else if (probe.m_version == highest && !IsOvertaken(probe)) {
        Wrong(probe.m_instance + " went back behind version " +
              std::to_string(highest) + At(probe.m_sentAt));
      }
    }
  }

  void CheckBudget()
  {
    std::map<std::string, std::vector<Instant>> sends;
    std::map<std::string, std::vector<Instant>> extra;
    std::set<std::pair<std::string, bool>> seen;
    for (const SoakRun& run : m_history.m_runs) {
      const bool first = seen.insert({ run.m_call, run.m_readOnly }).second;
      if (!first) {
        extra[run.m_service].push_back(run.m_arrivedAt);
      } else if (!run.m_readOnly) {
        sends[run.m_service].push_back(run.m_arrivedAt);
      }
    }
    for (const auto& [service, times] : extra) {
      for (const Instant end : times) {
        CheckWindow(service, sends[service], times, end);
      }
    }
  }

  void CheckWindow(const std::string& aService,
                   const std::vector<Instant>& aSends,
                   const std::vector<Instant>& aExtra,
                   Instant aEnd)
  {
    const auto inWindow = [&](Instant aAt) {
      return aAt <= aEnd && aAt > aEnd - m_bounds.m_budgetWindow;
    };
    const auto extra = std::count_if(aExtra.begin(), aExtra.end(), inWindow);
    const auto sends = std::count_if(aSends.begin(), aSends.end(), inWindow);
    const double allowed = m_bounds.m_budgetFloor +
                           m_bounds.m_budgetRatio * static_cast<double>(sends);
    if (static_cast<double>(extra) > allowed) {
      Wrong(aService + " got " + std::to_string(extra) +
            " repeats in one window of " + std::to_string(sends) + " calls" +
            At(aEnd));
    }
  }

  void CheckRecovery()
  {
    const double served = m_history.m_lastServed;
    if (served < m_bounds.m_leastServed * m_history.m_lastSent) {
      Wrong("after all trouble only " + std::to_string(m_history.m_lastServed) +
            " of " + std::to_string(m_history.m_lastSent) +
            " calls were served");
    }
  }

  const SoakHistory& m_history;
  const SoakBounds& m_bounds;
  std::map<std::string, std::vector<const SoakRun*>> m_runsOf;
  std::vector<std::string> m_wrong;
};

} // namespace

std::vector<std::string>
CheckSoak(const SoakHistory& aHistory, const SoakBounds& aBounds)
{
  return Checker(aHistory, aBounds).Check();
}

int
EventsOf(std::string_view aCall)
{
  constexpr std::uint64_t kMost = 12;
  return static_cast<int>(2 + Hash64(aCall) % kMost);
}

std::string
EventText(std::string_view aCall, std::string_view aVersion, int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + std::string(aCall) + "/" + number +
         "/" + std::string(aVersion) + "\n\n";
}

std::string
RestOfStream(std::string_view aCall, std::string_view aVersion, int aAfter)
{
  std::string out;
  for (int i = aAfter + 1; i <= EventsOf(aCall); ++i) {
    out += EventText(aCall, aVersion, i);
  }
  return out;
}

int
CountEvents(std::string_view aBytes)
{
  constexpr std::string_view kEnd = "\n\n";
  int out = 0;
  for (std::size_t at = aBytes.find(kEnd); at != std::string_view::npos;
       at = aBytes.find(kEnd, at + 1)) {
    ++out;
  }
  return out;
}

std::string
PlainAnswer(std::string_view aCall, std::string_view aBody)
{
  return "answer of " + std::string(aCall) + " to " + std::string(aBody);
}

} // namespace ridgeferry::soak
