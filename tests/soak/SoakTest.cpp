// A short soak with fixed seeds: the plan is the same in every run, though real
// processes never take quite the same turns. Seeds that ever failed stay here.

#include "Soak.h"
#include "InstancesFixture.h"

namespace ridgeferry::soak {
namespace {

/** A seed, and why it is here. */
struct SeedCase
{
  std::uint64_t m_seed;
  const char* m_why;
};

class SoakTest : public ::testing::TestWithParam<SeedCase>
{};

TEST_P(SoakTest, KeepsEveryPromise)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::filesystem::path files =
    std::filesystem::path(RIDGEFERRY_BUILD_FOLDER) / "soak" /
    std::to_string(GetParam().m_seed);
  std::filesystem::remove_all(files);
  std::filesystem::create_directories(files);
  SoakSize size;
  size.m_length = Duration{ 8000 };
  const SoakPlace place{ std::filesystem::path(RIDGEFERRY_BUILD_FOLDER) /
                           "bin/ridgeferry-entry",
                         files };
  const SoakResult result =
    PlaySoak(place, size, GetParam().m_seed, [](const std::string&) {});
  for (const std::string& wrong : result.m_wrong) {
    ADD_FAILURE() << GetParam().m_why << ": " << wrong;
  }
  EXPECT_GT(result.m_served, 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Seeds,
  SoakTest,
  ::testing::Values(SeedCase{ 1, "the first one" },
                    SeedCase{ 2, "a read made again was lost as well" }));

class SilentStoreTest : public InstancesFixture
{
protected:
  SilentStoreTest()
    : InstancesFixture("silent")
  {
  }
};

// Seed 2: the read that was made again went over another connection that had
// fallen silent at the same moment, and was lost as well.
TEST_F(SilentStoreTest, AReadMadeAgainTakesAConnectionOfItsOwn)
{
  const auto put = [this](int aVersion) {
    m_store.Put("op",
                "config",
                R"({"version":)" + std::to_string(aVersion) +
                  R"(,"routes":[{"host":"h","path_prefix":"/a/","kind":"safe",)"
                  R"("timeout_ms":1000,"service":"s"}],"services":[]})");
  };
  put(1);
  ASSERT_TRUE(m_instances.StartAll(2, *net::Address::Parse(m_store.Address())));
  ASSERT_TRUE(RunUntil([this] { return m_instances.AllReady(); }));
  // Both hear of each other: what one reads, the other is told.
  ASSERT_TRUE(
    RunUntil([this] { return CountInLog("entry-0", "peers-listed") > 0; }));
  m_instances.All()[0]->m_storeLink->SilenceOpen();
  put(2);
  EXPECT_TRUE(RunUntil([this] {
    return CountInLog("entry-0", R"("configuration-in-force")") == 2;
  }));
  EXPECT_EQ(CountInLog("entry-0", "store-read-made-again"), 1U);
  EXPECT_EQ(CountInLog("entry-0", "store-lost"), 0U);
  EXPECT_TRUE(m_instances.StopAll(Duration{ 9000 }));
}

TEST(SoakPlanTest, ASeedGivesOnePlanByTime)
{
  const auto plan = MakePlan(7, Duration{ 12'000 });
  const auto again = MakePlan(7, Duration{ 12'000 });
  ASSERT_FALSE(plan.empty());
  ASSERT_EQ(plan.size(), again.size());
  for (std::size_t i = 0; i < plan.size(); ++i) {
    EXPECT_EQ(plan[i].m_kind, again[i].m_kind);
    EXPECT_EQ(plan[i].m_at, again[i].m_at);
    EXPECT_LE(plan[i].m_at, Duration{ 12'000 });
    EXPECT_TRUE(i == 0 || plan[i - 1].m_at <= plan[i].m_at);
  }
}

} // namespace
} // namespace ridgeferry::soak
