#include <gtest/gtest.h>
#include <ridgeferry/experiment/EngineModel.h>

namespace ridgeferry::experiment {
namespace {

EngineTerms
Terms()
{
  EngineTerms out;
  out.m_slots = 4;
  out.m_memoryTokens = 20'000;
  out.m_stepMs = 1;
  out.m_stepMsPerCall = 0;
  out.m_readTokensPerMs = 100;
  out.m_pieceTokens = 1000;
  return out;
}

EngineJob
Job(std::uint64_t aId, std::int64_t aOwn, std::int64_t aOut = 1)
{
  EngineJob out;
  out.m_id = aId;
  out.m_ownTokens = aOwn;
  out.m_outTokens = aOut;
  return out;
}

/** When each job gave its first token or had its prompt read, and its last. */
struct Times
{
  std::map<std::uint64_t, Moment> m_first;
  std::map<std::uint64_t, Moment> m_last;
};

Times
RunAll(EngineModel& aEngine)
{
  Times out;
  while (const auto ends = aEngine.StepEnds()) {
    for (const EngineOutput& output : aEngine.EndStep(*ends)) {
      const std::uint64_t id =
        std::visit([](const auto& aDone) { return aDone.m_id; }, output);
      out.m_first.try_emplace(id, *ends);
      out.m_last[id] = *ends;
    }
  }
  return out;
}

struct PaceCase
{
  const char* m_name;
  relay::UpstreamRole m_role;
  bool m_readOnly;
  double m_least;
  double m_most;
};

class EnginePaceTest : public ::testing::TestWithParam<PaceCase>
{};

TEST_P(EnginePaceTest, ReadsAPromptAtItsPace)
{
  EngineModel engine(Terms(), GetParam().m_role);
  EngineJob job = Job(1, 4000);
  job.m_readOnly = GetParam().m_readOnly;
  engine.Add(job, 0);
  const Times times = RunAll(engine);
  EXPECT_GE(times.m_first.at(1), GetParam().m_least);
  EXPECT_LE(times.m_first.at(1), GetParam().m_most);
  EXPECT_EQ(engine.Totals().m_read, 4000);
}

INSTANTIATE_TEST_SUITE_P(
  Parts,
  EnginePaceTest,
  ::testing::Values(
    PaceCase{ "Reader", relay::UpstreamRole::Prefill, true, 40, 40.2 },
    PaceCase{ "Generator", relay::UpstreamRole::Decode, false, 81, 81.2 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(EngineModelTest, WhatIsKeptIsNotReadAgain)
{
  EngineModel engine(Terms(), relay::UpstreamRole::Prefill);
  for (std::uint64_t id = 1; id <= 2; ++id) {
    EngineJob job = Job(id, 500);
    job.m_readOnly = true;
    job.m_commonKey = 1;
    job.m_commonTokens = 1000;
    job.m_chainKey = 7;
    job.m_chainTokens = 2000;
    engine.Add(job, 0);
    RunAll(engine);
  }
  EXPECT_EQ(engine.Totals().m_read, 3500 + 500);
  EXPECT_EQ(engine.Totals().m_kept, 3000);
}

TEST(EngineModelTest, PartsUnusedLongestGiveWay)
{
  EngineModel engine(Terms(), relay::UpstreamRole::Prefill);
  const auto read = [&](std::uint64_t aChain) {
    EngineJob job = Job(aChain, 100);
    job.m_readOnly = true;
    job.m_chainKey = aChain;
    job.m_chainTokens = 8000;
    engine.Add(job, 0);
    RunAll(engine);
  };
  read(1);
  read(2);
  read(3); // Three times 8,000 do not fit into 20,000: the first one goes.
  const std::int64_t before = engine.Totals().m_kept;
  read(3);
  EXPECT_EQ(engine.Totals().m_kept, before + 8000);
  read(1);
  EXPECT_EQ(engine.Totals().m_kept, before + 8000);
}

TEST(EngineModelTest, RunningJobsGiveOneTokenAStep)
{
  EngineModel engine(Terms(), relay::UpstreamRole::Decode);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    EngineJob job = Job(id, 10, 20);
    job.m_handedOver = true;
    engine.Add(job, 0);
  }
  const Times times = RunAll(engine);
  for (std::uint64_t id = 2; id <= 4; ++id) {
    EXPECT_DOUBLE_EQ(times.m_last.at(id), times.m_last.at(2));
    EXPECT_DOUBLE_EQ(times.m_last.at(id) - times.m_first.at(id), 19);
  }
}

TEST(EngineModelTest, BeyondItsSlotsJobsWait)
{
  EngineModel engine(Terms(), relay::UpstreamRole::Decode);
  for (std::uint64_t id = 1; id <= 5; ++id) {
    EngineJob job = Job(id, 10, 20);
    job.m_handedOver = true;
    engine.Add(job, 0);
  }
  const Times times = RunAll(engine);
  EXPECT_GT(times.m_first.at(5), times.m_last.at(1));
}

TEST(EngineModelTest, ACancelledJobSaysNothingMore)
{
  EngineModel engine(Terms(), relay::UpstreamRole::Decode);
  engine.Add(Job(1, 1000, 5), 0);
  engine.Add(Job(2, 1000, 5), 0);
  engine.Cancel(1);
  const Times times = RunAll(engine);
  EXPECT_FALSE(times.m_first.contains(1));
  EXPECT_TRUE(times.m_first.contains(2));
  EXPECT_EQ(engine.Jobs(), 0U);
}

} // namespace
} // namespace ridgeferry::experiment
