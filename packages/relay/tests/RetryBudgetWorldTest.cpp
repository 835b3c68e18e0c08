// Plays many calls of one instance in virtual time before upstreams that fail
// most of them, and counts the retries that reach upstreams as operators do.

#include "VirtualTime.h"

#include <algorithm>
#include <cstdint>
#include <gtest/gtest.h>
#include <memory>
#include <ostream>
#include <ridgeferry/relay/CallPermits.h>
#include <vector>

namespace ridgeferry::relay {
namespace {

/** What operators allow, and the share of it that an instance uses. */
constexpr BudgetTerms kOperators{ 0.2, 5, Duration{ 10'000 } };
constexpr double kShare = 0.9;
constexpr BudgetTerms kTerms{ kOperators.m_ratio * kShare,
                              kOperators.m_floor* kShare,
                              kOperators.m_window };
constexpr Duration kPlayed{ 25'000 };
constexpr std::uint64_t kSeeds = 20;
/** Calls that begin in a second. */
constexpr int kCallsPerSecond = 50;
constexpr int kMsPerSecond = 1000;

/** How calls are served. */
struct ServiceCase
{
  const char* m_name;
  RelayTraits m_traits;
  bool m_hasPrefillEngines;
  int m_longestWaitMs; ///< Until a place is found.
};

std::ostream&
operator<<(std::ostream& aOut, const ServiceCase& aCase)
{
  return aOut << aCase.m_name;
}

class FailingUpstreams
{
public:
  FailingUpstreams(const ServiceCase& aCase, std::uint64_t aSeed)
    : m_case(aCase)
    , m_draws(aSeed)
    , m_budget(kTerms)
  {
  }

  void Play()
  {
    const Instant begin = m_time.Now();
    BeginCalls();
    m_time.RunUntil(begin + kPlayed);
  }

  /** Returns by how many retries the operators' rule is exceeded at the most,
   * if above 0. It holds at each retry for those of the window that ends with
   * it, against the calls of that window or of an earlier one. */
  double Excess() const
  {
    double most = -kOperators.m_floor;
    for (const Instant last : m_retries) {
      const int retries = CountIn(m_retries, last);
      int calls = 0;
      for (const Duration back :
           { Duration{}, kOperators.m_window / 2, kOperators.m_window }) {
        calls = std::max(calls, CountIn(m_calls, last - back));
      }
      most = std::max(
        most, retries - kOperators.m_floor - kOperators.m_ratio * calls);
    }
    return most;
  }

  std::size_t Retries() const { return m_retries.size(); }

private:
  struct Call
  {
    Call(RelayTraits aTraits, RetryBudget& aBudget)
      : m_flow(aTraits)
      , m_permits(aBudget)
    {
    }

    RelayFlow m_flow;
    CallPermits m_permits;
    int m_prefillsSent = 0;
    int m_runsSent = 0;
  };
  using CallPtr = std::shared_ptr<Call>;

  /** Counts those in the window that ends at `aEnd`. */
  static int CountIn(const std::vector<Instant>& aTimes, Instant aEnd)
  {
    const auto isIn = [&](Instant aTime) {
      return aTime <= aEnd && aTime > aEnd - kTerms.m_window;
    };
    return static_cast<int>(std::count_if(aTimes.begin(), aTimes.end(), isIn));
  }

  void BeginCalls()
  {
    const auto call = std::make_shared<Call>(m_case.m_traits, m_budget);
    m_calls.push_back(m_time.Now());
    m_budget.NoteFirstSend(m_time.Now());
    Handle(call, CallBegan{});
    m_time.After(m_draws.Ms(0, 2 * kMsPerSecond / kCallsPerSecond),
                 [this] { BeginCalls(); });
  }

  /** As the driver does. */
  void Handle(const CallPtr& aCall, const RelayEvent& aEvent)
  {
    aCall->m_flow.SetFreePermits(aCall->m_permits.Free(m_time.Now()));
    const auto actions = aCall->m_flow.Handle(aEvent);
    aCall->m_permits.Follow(aCall->m_flow.Permits());
    for (const RelayAction& action : actions) {
      std::visit([&](const auto& aTyped) { Do(aCall, aTyped); }, action);
    }
  }

  void Do(const CallPtr& aCall, const FindPlace&)
  {
    m_time.After(m_draws.Ms(0, m_case.m_longestWaitMs), [this, aCall] {
      const std::string prefill = m_case.m_hasPrefillEngines ? "r" : "";
      Handle(aCall, PlaceFound{ "u", prefill });
    });
  }

  void Do(const CallPtr& aCall, const SendPrefill& aAction)
  {
    NoteSent(aCall, aAction, aCall->m_prefillsSent++ > 0);
    const AttemptId id = aAction.m_attempt;
    m_time.After(m_draws.Ms(1, 50), [this, aCall, id] {
      if (m_draws.OneOf(3)) {
        // It may have been turned away, which counts as well.
        ++aCall->m_runsSent;
        Handle(aCall, AttemptBroke{ id });
      } else {
        Handle(aCall, PrefillCompleted{ id, "h" });
      }
    });
  }

  void Do(const CallPtr& aCall, const SendRun& aAction)
  {
    NoteSent(aCall, aAction, aCall->m_runsSent++ > 0);
    const AttemptId id = aAction.m_attempt;
    m_time.After(m_draws.Ms(1, 50), [this, aCall, id] {
      const int how = m_draws.Int(0, 3);
      if (how == 0) {
        Handle(aCall, AttemptRefused{ id });
      } else if (how == 1) {
        Handle(aCall, HeadArrived{ id, 500 });
        Handle(aCall, AnswerEnded{ id });
      } else {
        Handle(aCall, AttemptBroke{ id });
      }
    });
  }

  template<typename Any>
  void Do(const CallPtr&, const Any&)
  {
  }

  /** What operators count is what arrives, whatever the flow calls it. */
  template<typename Send>
  void NoteSent(const CallPtr& aCall, const Send& aAction, bool aIsRetry)
  {
    if (aAction.m_repeat) {
      aCall->m_permits.NoteRepeat(aAction.m_attempt, m_time.Now());
    }
    if (aIsRetry) {
      m_retries.push_back(m_time.Now());
    }
  }

  ServiceCase m_case;
  VirtualTime m_time;
  Draws m_draws;
  RetryBudget m_budget;
  std::vector<Instant> m_calls;
  std::vector<Instant> m_retries;
};

class RetryBudgetWorldTest : public ::testing::TestWithParam<ServiceCase>
{};

// Guards against one permission that pays for several sends, and against calls
// that wait together and were all allowed by the same count.
TEST_P(RetryBudgetWorldTest, WhatArrivesStaysWithinTheBudget)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FailingUpstreams world(GetParam(), seed);
    world.Play();
    EXPECT_LE(world.Excess(), 0) << "seed " << seed;
    EXPECT_GT(world.Retries(), 100U) << "seed " << seed;
  }
}

constexpr RelayTraits kResumable{ Repeat::Never, true, true, 3 };
constexpr RelayTraits kSafe{ Repeat::Freely, false, false, 3 };
constexpr RelayTraits kUnsafe{ Repeat::Never, false, false, 1 };

INSTANTIATE_TEST_SUITE_P(
  Services,
  RetryBudgetWorldTest,
  ::testing::Values(
    ServiceCase{ "PlacedAtOnce", kSafe, false, 0 },
    ServiceCase{ "CallsWaitForAPlace", kSafe, false, 400 },
    ServiceCase{ "UnsafeCallsWaitForAPlace", kUnsafe, false, 400 },
    ServiceCase{ "PrefillEngines", kResumable, true, 0 },
    ServiceCase{ "PrefillEnginesAndWaits", kResumable, true, 400 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
