#include <gtest/gtest.h>
#include <ridgeferry/relay/CallLease.h>

namespace ridgeferry::relay {
namespace {

constexpr Instant kStart{ Duration{ 1'000'000 } };
constexpr PassedOnCallId kCall = 7;

Instant
At(int aMs)
{
  return kStart + Duration{ aMs };
}

/** When renewals arrive behind the grant, and when the lease ends. */
struct HeldCase
{
  const char* m_name;
  std::vector<int> m_renewedAt;
  int m_expiresAt;
};

class HeldLeasesTest : public ::testing::TestWithParam<HeldCase>
{};

TEST_P(HeldLeasesTest, ExpiresATermAfterTheLatestRenewal)
{
  HeldLeases leases;
  leases.Grant({ kCall, Duration{ 500 } }, At(0));
  const auto& renewed = GetParam().m_renewedAt;
  for (int ms = 10; ms < GetParam().m_expiresAt; ms += 10) {
    if (std::find(renewed.begin(), renewed.end(), ms) != renewed.end()) {
      leases.Renew(std::vector{ kCall, kCall + 1 }, At(ms));
    }
    ASSERT_TRUE(leases.TakeExpired(At(ms)).empty()) << ms;
  }
  EXPECT_EQ(leases.TakeExpired(At(GetParam().m_expiresAt)),
            std::vector{ kCall });
  EXPECT_TRUE(leases.IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(
  Renewals,
  HeldLeasesTest,
  ::testing::Values(HeldCase{ "None", {}, 500 },
                    HeldCase{ "One", { 100 }, 600 },
                    HeldCase{ "SomeAreLost", { 100, 400 }, 900 },
                    HeldCase{ "Many", { 100, 200, 300, 400, 500 }, 1000 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Guards against a run that is ended because its own process stood still while
// the renewals waited to be read.
TEST(HeldLeasesTest, RenewalsThatCameInAStallAreReadFirst)
{
  HeldLeases leases;
  leases.Grant({ kCall, Duration{ 500 } }, At(0));
  EXPECT_TRUE(leases.TakeExpired(At(2000)).empty());
  leases.Renew(std::vector{ kCall }, At(2000));
  EXPECT_TRUE(leases.TakeExpired(At(2050)).empty());
  for (int ms = 2100; ms < 2500; ms += 50) {
    EXPECT_TRUE(leases.TakeExpired(At(ms)).empty()) << ms;
  }
  EXPECT_EQ(leases.TakeExpired(At(2500)), std::vector{ kCall });
}

TEST(HeldLeasesTest, AStallPutsOffTheEndByOneLook)
{
  HeldLeases leases;
  leases.Grant({ kCall, Duration{ 500 } }, At(0));
  EXPECT_TRUE(leases.TakeExpired(At(2000)).empty());
  EXPECT_EQ(leases.TakeExpired(At(2050)), std::vector{ kCall });
}

// Guards against runs that go on for ever at an instance that is so busy that
// each of its looks is late.
TEST(HeldLeasesTest, LateLooksPutOffTheEndOnce)
{
  HeldLeases leases;
  leases.Grant({ kCall, Duration{ 500 } }, At(0));
  EXPECT_TRUE(leases.TakeExpired(At(400)).empty());
  EXPECT_EQ(leases.TakeExpired(At(800)), std::vector{ kCall });
}

TEST(HeldLeasesTest, ACallThatHasEndedDoesNotExpire)
{
  HeldLeases leases;
  leases.Grant({ kCall, Duration{ 500 } }, At(0));
  leases.Drop(kCall);
  EXPECT_TRUE(leases.IsEmpty());
  leases.Renew(std::vector{ kCall }, At(10));
  EXPECT_TRUE(leases.TakeExpired(At(50)).empty());
}

TEST(AwaitedCallsTest, RenewsEachCallAtItsInstanceAndInTime)
{
  AwaitedCalls calls;
  calls.Begin(1, "a", At(0));
  calls.Begin(2, "b", At(0));
  calls.Begin(3, "a", At(50));
  EXPECT_TRUE(calls.TakeDue(At(99)).empty());
  std::vector<LeaseRenewal> due = calls.TakeDue(At(100));
  ASSERT_EQ(due.size(), 2U);
  EXPECT_EQ(due[0].m_address, "a");
  EXPECT_EQ(due[0].m_calls, std::vector<PassedOnCallId>{ 1 });
  EXPECT_EQ(due[1].m_address, "b");
  EXPECT_EQ(due[1].m_calls, std::vector<PassedOnCallId>{ 2 });
  EXPECT_TRUE(calls.TakeDue(At(100)).empty());
  EXPECT_EQ(calls.MayRunUntil(1), At(100) + CallLease::kTerm);
  EXPECT_EQ(calls.MayRunUntil(3), At(50) + CallLease::kTerm);
  calls.End(1);
  EXPECT_EQ(calls.MayRunUntil(1), std::nullopt);
  due = calls.TakeDue(At(200));
  ASSERT_EQ(due.size(), 2U);
  EXPECT_EQ(due[0].m_calls, std::vector<PassedOnCallId>{ 3 });
}

TEST(AwaitedCallsTest, ARenewalFitsIntoOnePacket)
{
  AwaitedCalls calls;
  constexpr std::size_t kCalls = 2 * AwaitedCalls::kMostCalls + 1;
  for (PassedOnCallId id = 0; id < kCalls; ++id) {
    calls.Begin(id, "a", At(0));
  }
  std::size_t renewed = 0;
  for (const LeaseRenewal& renewal : calls.TakeDue(At(100))) {
    EXPECT_EQ(renewal.m_address, "a");
    EXPECT_LE(renewal.m_calls.size(), AwaitedCalls::kMostCalls);
    renewed += renewal.m_calls.size();
  }
  EXPECT_EQ(renewed, kCalls);
}

} // namespace
} // namespace ridgeferry::relay
