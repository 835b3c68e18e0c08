#include "Soak.h"

#include "SoakCallers.h"
#include "SoakConfig.h"
#include "SoakInstances.h"
#include "SoakUpstream.h"

#include "StandIn.h"

#include <algorithm>

namespace ridgeferry::soak {

namespace {

/** Longest wait for all instances to be ready, and for open calls to end. */
constexpr Duration kLongestWait{ 20'000 };
constexpr Duration kPollEvery{ 20 };
/** A gap between two turns of the loop above which what it saw was late. */
constexpr Duration kLongestTurn{ 250 };
/** Calm time before the last calls: bounds bind again, lists are whole. */
constexpr Duration kCalm{ 4000 };
constexpr Duration kStopsWithin{ 9000 };
/** An upstream that leaves serves on for so long after its row has gone. */
constexpr Duration kServesOn{ 1000 };
/** The list notices a crash after some silence. */
constexpr Duration kCrashNoticed{ 1500 };
/** Connections that fell silent are met later: until the end of any run. */
constexpr Duration kAfterwards{ 60'000 };
constexpr int kLastCalls = 40;
constexpr int kBurstFactor = 3;
constexpr double kMoodShare = 0.3;
constexpr Duration kSeriesGap{ 250 };

/** One run: what stands around the instances, and what is done to it. */
class Run
{
public:
  Run(const SoakPlace& aPlace, const SoakSize& aSize, std::uint64_t aSeed)
    : m_size(aSize)
    , m_random(aSeed)
    , m_loop(net::EventLoop::Make())
    , m_store(*m_loop)
    , m_instances(*m_loop, m_history, aPlace.m_program, aPlace.m_files)
    , m_callers(*m_loop, m_history, m_instances, aSeed + 1)
  {
  }

  SoakResult Play(const std::vector<Fault>& aPlan,
                  const std::function<void(const std::string&)>& aTell)
  {
    SoakResult out;
    out.m_faults = aPlan.size();
    if (!Begin()) {
      out.m_wrong.emplace_back("the instances did not become ready");
      return out;
    }
    m_callers.SetRate(m_size.m_callsPerSecond);
    for (const Fault& fault : aPlan) {
      Later(fault.m_at, [this, fault, aTell] {
        aTell(NameOf(fault.m_kind));
        Inject(fault);
      });
    }
    RunFor(m_size.m_length);
    Heal();
    End();
    out.m_wrong = CheckSoak(m_history, {});
    out.m_calls = m_history.m_calls.size();
    out.m_runs = m_history.m_runs.size();
    for (const auto& [id, call] : m_history.m_calls) {
      out.m_served += call.m_status == 200 ? 1 : 0;
    }
    return out;
  }

private:
  bool Begin()
  {
    m_watch = m_loop->Every(kPollEvery, [this] { NoteTurn(); });
    for (std::size_t i = 0; i < m_size.m_services; ++i) {
      AddUpstream(UpstreamPart::Plain);
    }
    for (std::size_t i = 0; i < m_size.m_readers; ++i) {
      AddUpstream(UpstreamPart::Reader);
    }
    for (std::size_t i = 0; i < m_size.m_generators; ++i) {
      AddUpstream(UpstreamPart::Generator);
    }
    ChangeConfig();
    const auto address = net::Address::Parse(m_store.Address());
    return m_instances.StartAll(m_size.m_instances, *address) &&
           RunUntil([this] { return m_instances.AllReady(); });
  }

  /** What disturbed the observer itself cannot be held against anyone. */
  void NoteTurn()
  {
    const Instant now = m_loop->Now();
    if (m_lastTurn && now - *m_lastTurn > kLongestTurn) {
      Disturb(std::string(kObserver), *m_lastTurn, now);
    }
    m_lastTurn = now;
  }

  void Disturb(std::string aWhere, Instant aFrom, Instant aTo)
  {
    m_history.m_disturbances.push_back({ std::move(aWhere), aFrom, aTo });
  }
  void DisturbFor(std::string aWhere, Duration aFor)
  {
    Disturb(std::move(aWhere), m_loop->Now(), m_loop->Now() + aFor);
  }

  void Later(Duration aDelay, const std::function<void()>& aWhat)
  {
    m_timers.push_back(m_loop->After(aDelay, aWhat));
  }

  void RunFor(Duration aTime)
  {
    const net::Watch end = m_loop->After(aTime, [this] { m_loop->Stop(); });
    m_loop->Run();
  }

  bool RunUntil(const std::function<bool()>& aHolds)
  {
    bool held = false;
    const net::Watch poll = m_loop->Every(kPollEvery, [&] {
      held = aHolds();
      if (held) {
        m_loop->Stop();
      }
    });
    const net::Watch guard =
      m_loop->After(kLongestWait, [this] { m_loop->Stop(); });
    m_loop->Run();
    return held;
  }

  SoakUpstream& AddUpstream(UpstreamPart aPart)
  {
    const std::string id = "u-" + std::to_string(m_upstreams.size());
    auto& upstream = *m_upstreams.emplace_back(std::make_unique<SoakUpstream>(
      *m_loop,
      m_history,
      m_handles,
      id,
      aPart,
      std::string(kVersions.at(m_upstreams.size() % kVersions.size())),
      m_random()));
    m_listed.push_back({ &upstream, aPart });
    m_store.Put("servers", id, upstream.Row(false));
    return upstream;
  }

  void ChangeConfig()
  {
    m_version += 1 + m_random() % 3; // Versions rise in uneven steps.
    m_store.Put("op", "config", ConfigText(m_version));
    m_history.m_configs.push_back({ m_version, m_loop->Now() });
    m_callers.SetVersion(m_version);
  }

  void Inject(const Fault& aFault);
  void InjectInstance(const Fault& aFault);
  void InjectStore(const Fault& aFault);
  void InjectStoreLink(const Fault& aFault);
  void InjectUpstream(const Fault& aFault);
  void InjectUpstreamLink(const Fault& aFault);

  struct Listed
  {
    SoakUpstream* m_upstream = nullptr;
    UpstreamPart m_part = UpstreamPart::Plain;
  };

  Listed& TargetOf(const Fault& aFault)
  {
    return m_listed[aFault.m_target % m_listed.size()];
  }

  SoakInstances::Instance& InstanceOf(const Fault& aFault)
  {
    return *m_instances.All()[aFault.m_target % m_instances.All().size()];
  }

  void HoldLink(FaultyLink& aLink,
                LinkMode aMode,
                const std::string& aWhere,
                Duration aFor)
  {
    aLink.SetMode(aMode);
    DisturbFor(aWhere, aFor);
    Later(aFor, [&aLink] { aLink.SetMode(LinkMode::Pass); });
  }

  void Unlist(const Listed& aListed)
  {
    std::erase_if(m_listed, [&](const Listed& aItem) {
      return aItem.m_upstream == aListed.m_upstream;
    });
  }

  void Leave(Listed aLeaving, Duration aFor, bool aSays);
  void Crash(Listed aCrashing, Duration aFor);

  void Heal()
  {
    m_timers.clear();
    m_store.SetDown(false);
    for (const auto& instance : m_instances.All()) {
      instance->m_storeLink->SetMode(LinkMode::Pass);
    }
    for (const Listed& listed : m_listed) {
      listed.m_upstream->Link().SetMode(LinkMode::Pass);
      listed.m_upstream->SetMood({});
      // A row that lapsed in the last outage, and those that had to go.
      m_store.Put(
        "servers", listed.m_upstream->Id(), listed.m_upstream->Row(false));
    }
    for (const auto& upstream : m_upstreams) {
      const bool listed =
        std::any_of(m_listed.begin(), m_listed.end(), [&](const Listed& aItem) {
          return aItem.m_upstream == upstream.get();
        });
      if (!listed) {
        m_store.Remove("servers", upstream->Id());
      }
    }
  }

  void End()
  {
    m_callers.SetRate(m_size.m_callsPerSecond);
    RunUntil([this] { return m_instances.AllReady(); });
    RunFor(kCalm);
    m_callers.SendLast(kLastCalls);
    RunUntil([this] { return m_history.m_lastSent == kLastCalls; });
    m_callers.SetRate(0);
    RunUntil([this] { return m_callers.IsQuiet(); });
    if (!m_instances.StopAll(kStopsWithin)) {
      m_history.m_crashes.emplace_back(
        "no: a planned stop had not ended it within its grace");
    }
  }

  SoakSize m_size;
  std::mt19937_64 m_random;
  std::unique_ptr<net::EventLoop> m_loop;
  SoakHistory m_history;
  HandleBook m_handles;
  adapter::StandInStore m_store;
  std::vector<std::unique_ptr<SoakUpstream>> m_upstreams;
  std::vector<Listed> m_listed; ///< Those that are to serve.
  SoakInstances m_instances;
  SoakCallers m_callers;
  std::uint64_t m_version = 0;
  std::optional<Instant> m_lastTurn;
  std::list<net::Watch> m_timers;  ///< Of faults: dropped when all is healed.
  std::list<net::Watch> m_returns; ///< Of upstreams that come anew.
  net::Watch m_watch;
};

void
Run::Inject(const Fault& aFault)
{
  switch (aFault.m_kind) {
    case FaultKind::KillInstance:
    case FaultKind::PauseInstance:
    case FaultKind::StopInstance:
    case FaultKind::ReloadInstance:
      InjectInstance(aFault);
      return;
    case FaultKind::StoreDown:
    case FaultKind::StoreForgets:
    case FaultKind::ListLapses:
    case FaultKind::ConfigChange:
    case FaultKind::ConfigSeries:
      InjectStore(aFault);
      return;
    case FaultKind::StoreLinkHeld:
    case FaultKind::StoreLinkAnswers:
    case FaultKind::StoreLinkDelayed:
    case FaultKind::StoreLinkReset:
    case FaultKind::StoreLinkSilent:
    case FaultKind::StoreLinkRefused:
      InjectStoreLink(aFault);
      return;
    case FaultKind::UpstreamCrash:
    case FaultKind::UpstreamLeaves:
    case FaultKind::UpstreamFails:
    case FaultKind::UpstreamMute:
    case FaultKind::UpstreamBreaks:
    case FaultKind::UpstreamContradicts:
    case FaultKind::UpstreamUnmarked:
    case FaultKind::UpstreamRunsPrompts:
      InjectUpstream(aFault);
      return;
    case FaultKind::UpstreamLinkHeld:
    case FaultKind::UpstreamLinkRequests:
    case FaultKind::UpstreamLinkAnswers:
    case FaultKind::UpstreamLinkDelayed:
    case FaultKind::UpstreamLinkReset:
    case FaultKind::UpstreamLinkSilent:
      InjectUpstreamLink(aFault);
      return;
    case FaultKind::Burst:
      m_callers.SetRate(m_size.m_callsPerSecond * kBurstFactor);
      Later(aFault.m_for,
            [this] { m_callers.SetRate(m_size.m_callsPerSecond); });
      return;
  }
}

void
Run::InjectInstance(const Fault& aFault)
{
  SoakInstances::Instance& instance = InstanceOf(aFault);
  if (aFault.m_kind == FaultKind::KillInstance) {
    m_instances.Kill(instance, aFault.m_for);
  } else if (aFault.m_kind == FaultKind::PauseInstance) {
    m_instances.Pause(instance, aFault.m_for);
  } else if (aFault.m_kind == FaultKind::StopInstance) {
    m_instances.Stop(instance);
  } else {
    m_instances.Reload(instance);
  }
}

void
Run::InjectStore(const Fault& aFault)
{
  if (aFault.m_kind == FaultKind::StoreForgets) {
    m_store.ForgetHistory();
  } else if (aFault.m_kind == FaultKind::ConfigChange) {
    ChangeConfig();
  } else if (aFault.m_kind == FaultKind::ConfigSeries) {
    for (Duration at{}; at < aFault.m_for; at += kSeriesGap) {
      Later(at, [this] { ChangeConfig(); });
    }
  } else {
    m_store.SetDown(true);
    DisturbFor(std::string(kStore), aFault.m_for);
    if (aFault.m_kind == FaultKind::ListLapses) {
      m_store.Remove("servers", TargetOf(aFault).m_upstream->Id());
    }
    Later(aFault.m_for, [this] {
      m_store.SetDown(false);
      for (const Listed& listed : m_listed) {
        m_store.Put(
          "servers", listed.m_upstream->Id(), listed.m_upstream->Row(false));
      }
    });
  }
}

void
Run::InjectStoreLink(const Fault& aFault)
{
  SoakInstances::Instance& instance = InstanceOf(aFault);
  FaultyLink& link = *instance.m_storeLink;
  const std::string where = std::string(kStore) + "/" + instance.m_name;
  if (aFault.m_kind == FaultKind::StoreLinkReset) {
    link.ResetOpen();
    DisturbFor(where, {});
  } else if (aFault.m_kind == FaultKind::StoreLinkSilent) {
    link.SilenceOpen();
    DisturbFor(where, {});
  } else if (aFault.m_kind == FaultKind::StoreLinkHeld) {
    HoldLink(link, LinkMode::Hold, where, aFault.m_for);
  } else if (aFault.m_kind == FaultKind::StoreLinkAnswers) {
    HoldLink(link, LinkMode::HoldAnswers, where, aFault.m_for);
  } else if (aFault.m_kind == FaultKind::StoreLinkDelayed) {
    HoldLink(link, LinkMode::Delay, where, aFault.m_for);
  } else {
    HoldLink(link, LinkMode::Refuse, where, aFault.m_for);
  }
}

void
Run::Leave(Listed aLeaving, Duration aFor, bool aSays)
{
  SoakUpstream* const leaving = aLeaving.m_upstream;
  Unlist(aLeaving);
  AddUpstream(aLeaving.m_part); // The new one first.
  m_history.m_leaving[leaving->Id()] = m_loop->Now();
  if (aSays) {
    m_store.Put("servers", leaving->Id(), leaving->Row(true));
  }
  Later(aSays ? aFor : Duration{}, [this, leaving, aFor] {
    m_store.Remove("servers", leaving->Id());
    Later(aFor + kServesOn, [leaving] { leaving->Crash(); });
  });
}

void
Run::Crash(Listed aCrashing, Duration aFor)
{
  SoakUpstream* const crashing = aCrashing.m_upstream;
  Unlist(aCrashing);
  crashing->Crash();
  DisturbFor(crashing->Id(), kAfterwards);
  Later(kCrashNoticed,
        [this, crashing] { m_store.Remove("servers", crashing->Id()); });
  // Not a timer that healing drops: the part must be there at the end.
  m_returns.push_back(m_loop->After(
    aFor, [this, part = aCrashing.m_part] { AddUpstream(part); }));
}

void
Run::InjectUpstream(const Fault& aFault)
{
  Listed& listed = TargetOf(aFault);
  SoakUpstream* const upstream = listed.m_upstream;
  UpstreamMood mood;
  if (aFault.m_kind == FaultKind::UpstreamLeaves) {
    Leave(listed, aFault.m_for, aFault.m_target % 3 != 0);
    return;
  }
  if (aFault.m_kind == FaultKind::UpstreamCrash) {
    const auto same =
      std::count_if(m_listed.begin(), m_listed.end(), [&](const Listed& aItem) {
        return aItem.m_part == listed.m_part;
      });
    if (same > 1) {
      Crash(listed, aFault.m_for);
    }
    return;
  }
  if (aFault.m_kind == FaultKind::UpstreamFails) {
    mood.m_fails = kMoodShare;
  } else if (aFault.m_kind == FaultKind::UpstreamMute) {
    mood.m_mute = kMoodShare;
  } else if (aFault.m_kind == FaultKind::UpstreamContradicts) {
    mood.m_contradicts = kMoodShare;
  } else if (aFault.m_kind == FaultKind::UpstreamUnmarked) {
    mood.m_unmarked = kMoodShare;
  } else if (aFault.m_kind == FaultKind::UpstreamRunsPrompts) {
    mood.m_runsPrompts = kMoodShare;
  } else {
    mood.m_breaks = kMoodShare;
  }
  upstream->SetMood(mood);
  Later(aFault.m_for, [upstream] { upstream->SetMood({}); });
}

void
Run::InjectUpstreamLink(const Fault& aFault)
{
  SoakUpstream& upstream = *TargetOf(aFault).m_upstream;
  FaultyLink& link = upstream.Link();
  if (aFault.m_kind == FaultKind::UpstreamLinkReset) {
    link.ResetOpen();
    DisturbFor(upstream.Id(), {});
  } else if (aFault.m_kind == FaultKind::UpstreamLinkSilent) {
    link.SilenceOpen();
    DisturbFor(upstream.Id(), kAfterwards);
  } else if (aFault.m_kind == FaultKind::UpstreamLinkHeld) {
    HoldLink(link, LinkMode::Hold, upstream.Id(), aFault.m_for);
  } else if (aFault.m_kind == FaultKind::UpstreamLinkRequests) {
    HoldLink(link, LinkMode::HoldRequests, upstream.Id(), aFault.m_for);
  } else if (aFault.m_kind == FaultKind::UpstreamLinkAnswers) {
    HoldLink(link, LinkMode::HoldAnswers, upstream.Id(), aFault.m_for);
  } else {
    HoldLink(link, LinkMode::Delay, upstream.Id(), aFault.m_for);
  }
}

} // namespace

SoakResult
PlaySoak(const SoakPlace& aPlace,
         const SoakSize& aSize,
         std::uint64_t aSeed,
         const std::function<void(const std::string&)>& aTell)
{
  Run run(aPlace, aSize, aSeed);
  return run.Play(MakePlan(aSeed, aSize.m_length), aTell);
}

} // namespace ridgeferry::soak
