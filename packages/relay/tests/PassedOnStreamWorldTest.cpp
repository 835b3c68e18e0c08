// Plays a stream in virtual time that an instance passes on to another one and,
// as their connection goes silent, to a third one. No upstream may work on it
// while another one goes on with it.

#include "VirtualTime.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <ostream>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/CallLease.h>
#include <ridgeferry/relay/RelayFlow.h>

namespace ridgeferry::relay {
namespace {

constexpr int kStreamsEachCase = 20;
constexpr RelayTraits kTraits{ Repeat::Never, true, true, 2 };
constexpr Duration kLength{ 12'000 };
/** How long an upstream may still work on a stream that goes on elsewhere. */
constexpr Duration kMayOverlap{ 400 };
/** Longest way of a datagram or a request between two instances. */
constexpr int kLongestWayMs = 60;
/** The connection to another instance counts as broken so long, at the least
 * and at the most, after the last sign of life. */
constexpr int kSoonestBreakMs = 700;
constexpr int kLatestBreakMs = 3000;

/** What a cut between two instances lets through. */
struct Cut
{
  const char* m_name;
  bool m_passesRenewals = false;
  /** The other instance hears the end of the connection. */
  bool m_passesEnd = false;
};

std::ostream&
operator<<(std::ostream& aOut, const Cut& aCut)
{
  return aOut << aCut.m_name;
}

/** One stream: the instance that its caller reached, and those that it is
 * passed on to, each with an upstream of its own. Each connection to another
 * instance is cut at a drawn time. */
class PassedOnStream
{
public:
  PassedOnStream(const Cut& aCut, std::uint64_t aSeed)
    : m_cut(aCut)
    , m_draws(aSeed)
    , m_flow(kTraits)
  {
    Renew();
    Handle(CallBegan{});
  }

  void Play() { m_time.RunUntil(m_time.Now() + kLength); }

  int Runs() const { return static_cast<int>(m_others.size()); }

private:
  /** An instance that the stream was passed on to, and its run. */
  struct Other
  {
    PassedOnCallId m_call = 0;
    std::optional<Instant> m_cutAt; ///< Of the connection to it.
    bool m_hasArrived = false;
    std::optional<Instant> m_endedAt; ///< Of its run.
    HeldLeases m_leases;
  };
  using OtherPtr = std::shared_ptr<Other>;

  void Handle(const RelayEvent& aEvent)
  {
    m_flow.SetFreePermits(1);
    for (const RelayAction& action : m_flow.Handle(aEvent)) {
      std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
    }
  }

  void Do(const FindPlace&)
  {
    m_time.After(m_draws.Ms(0, 20), [this] {
      Handle(
        PlaceFound{ "instance/" + std::to_string(m_others.size() + 1), "" });
    });
  }

  void Do(const SendRun& aAction)
  {
    const auto other = std::make_shared<Other>();
    other->m_call = m_others.size() + 1;
    m_others.push_back(other);
    m_awaited.Begin(other->m_call, std::to_string(other->m_call), m_time.Now());
    m_time.After(m_draws.Ms(0, kLongestWayMs),
                 [this, other] { Arrive(other); });
    m_time.After(m_draws.Ms(kLongestWayMs, 2000),
                 [this, other, id = aAction.m_attempt] { CutOff(other, id); });
  }

  template<typename Any>
  void Do(const Any&)
  {
  }

  void Arrive(const OtherPtr& aOther)
  {
    CheckNoneRuns(*aOther);
    aOther->m_hasArrived = true;
    aOther->m_leases.Grant({ aOther->m_call }, m_time.Now());
    Look(aOther);
  }

  /** The rule: where a run begins, each one before ends soon. */
  void CheckNoneRuns(const Other& aNext)
  {
    for (const OtherPtr& before : m_others) {
      if (before.get() == &aNext || !before->m_hasArrived) {
        continue;
      }
      m_time.After(kMayOverlap,
                   [before] { RC_ASSERT(before->m_endedAt.has_value()); });
    }
  }

  void Look(const OtherPtr& aOther)
  {
    if (aOther->m_endedAt) {
      return;
    }
    if (!aOther->m_leases.TakeExpired(m_time.Now()).empty()) {
      aOther->m_endedAt = m_time.Now();
      return;
    }
    m_time.After(HeldLeases::kLookEvery, [this, aOther] { Look(aOther); });
  }

  /** Sends the renewals that are due, some of which are lost. */
  void Renew()
  {
    for (const LeaseRenewal& renewal : m_awaited.TakeDue(m_time.Now())) {
      const OtherPtr other =
        m_others[std::stoul(renewal.m_address) - std::size_t{ 1 }];
      const bool isCut = other->m_cutAt && !m_cut.m_passesRenewals;
      if (isCut || m_draws.OneOf(50)) {
        continue;
      }
      m_time.After(m_draws.Ms(0, kLongestWayMs),
                   [this, other, calls = renewal.m_calls] {
                     other->m_leases.Renew(calls, m_time.Now());
                   });
    }
    m_time.After(CallLease::kRenewEvery, [this] { Renew(); });
  }

  /** The first instance notices later; the other one never, unless it hears the
   * end of the connection. */
  void CutOff(const OtherPtr& aOther, AttemptId aId)
  {
    aOther->m_cutAt = m_time.Now();
    m_time.After(m_draws.Ms(kSoonestBreakMs, kLatestBreakMs),
                 [this, aOther, aId] { Break(aOther, aId); });
  }

  void Break(const OtherPtr& aOther, AttemptId aId)
  {
    // As the driver does for a connection that has gone silent.
    const auto until = m_awaited.MayRunUntil(aOther->m_call);
    m_awaited.End(aOther->m_call);
    if (m_cut.m_passesEnd && !aOther->m_endedAt) {
      aOther->m_endedAt = m_time.Now() + m_draws.Ms(0, kLongestWayMs);
    }
    const Duration left =
      until ? std::max(Duration{}, *until - m_time.Now()) : Duration{};
    m_time.After(left, [this, aId] { Handle(AttemptBroke{ aId }); });
  }

  Cut m_cut;
  VirtualTime m_time;
  Draws m_draws;
  RelayFlow m_flow;
  AwaitedCalls m_awaited;
  std::vector<OtherPtr> m_others;
};

class PassedOnStreamWorldTest : public ::testing::TestWithParam<Cut>
{};

// Guards against a stream that goes on elsewhere while the instance that it was
// passed on to before still has its upstream work on it.
TEST_P(PassedOnStreamWorldTest, NoUpstreamWorksOnWhileAnotherGoesOn)
{
  int again = 0;
  EXPECT_TRUE(rc::check(GetParam().m_name, [&] {
    for (int i = 0; i < kStreamsEachCase; ++i) {
      PassedOnStream stream(GetParam(), *rc::gen::arbitrary<std::uint64_t>());
      stream.Play();
      again += stream.Runs() > 1 ? 1 : 0;
    }
  }));
  EXPECT_GT(again, 0);
}

INSTANTIATE_TEST_SUITE_P(
  Cuts,
  PassedOnStreamWorldTest,
  ::testing::Values(Cut{ "NothingPasses" },
                    Cut{ "OnlyTheConnectionIsSilent", true },
                    Cut{ "TheEndIsHeard", false, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
