// How many upstreams the calls in flight keep busy.

#include "FleetFixture.h"

namespace ridgeferry::relay {
namespace {

constexpr std::int64_t kEngines = 10;
constexpr std::int64_t kSlots = 12;

/** Load of engines of which each has the same. */
struct NeedCase
{
  const char* m_name;
  std::int64_t m_busyEngines;
  std::int64_t m_callsEach;
  std::int64_t m_tokensEach;
  double m_least;
  double m_most;
};

class FleetNeedTest : public ::testing::TestWithParam<NeedCase>
{};

TEST_P(FleetNeedTest, IsByTheTimeInWhichTheyAreBusy)
{
  const NeedCase& item = GetParam();
  Fleet fleet;
  for (std::int64_t i = 0; i < kEngines; ++i) {
    const std::string id = "p" + std::to_string(i);
    Member member = MakeMember(id, "llm", UpstreamRole::Prefill);
    member.m_slots = kSlots;
    fleet.Put(member);
    for (std::int64_t call = 0;
         i < item.m_busyEngines && call < item.m_callsEach;
         ++call) {
      fleet.NoteSent(id, item.m_tokensEach, kNow);
    }
  }
  Service service;
  service.m_name = "llm";
  const double needed = fleet.UpstreamsNeeded(service);
  EXPECT_GE(needed, item.m_least);
  EXPECT_LE(needed, item.m_most);
}

INSTANTIATE_TEST_SUITE_P(
  Loads,
  FleetNeedTest,
  ::testing::Values(
    NeedCase{ "Nothing", 0, 0, 0, 0, 0 },
    NeedCase{ "OneCall", 1, 1, 0, 0.05, 0.2 },
    NeedCase{ "OneLongPrompt", 1, 1, 20'000, 1, 2 },
    // However much waits, it says that these engines are too few, not by how
    // many.
    NeedCase{ "PromptsPileUp", kEngines, 3, 50'000, kEngines, 2 * kEngines },
    NeedCase{ "CallsPileUp",
              kEngines,
              10 * kSlots,
              0,
              kEngines,
              2 * kEngines }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
