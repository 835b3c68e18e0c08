// The lease where the store comes back from an older copy: the last taking may
// be lost, and its holder may not know yet.

#include "MemoryTable.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <ridgeferry/authority/Lease.h>

namespace ridgeferry::authority {
namespace {

struct FencingCase
{
  const char* m_name;
  FencingNumber m_seen;
  StoreGeneration m_generation;
  FencingNumber m_next;
};

class NextFencingTest : public ::testing::TestWithParam<FencingCase>
{};

TEST_P(NextFencingTest, RisesWhateverWasLost)
{
  EXPECT_EQ(NextFencing(GetParam().m_seen, GetParam().m_generation),
            GetParam().m_next);
}

constexpr FencingNumber kGeneration = FencingNumber{ 1 } << kFencingBits;

INSTANTIATE_TEST_SUITE_P(
  Numbers,
  NextFencingTest,
  ::testing::Values(
    FencingCase{ "First", 0, 0, 1 },
    FencingCase{ "Next", 7, 0, 8 },
    FencingCase{ "FirstOfAGeneration", 7, 1, kGeneration + 1 },
    FencingCase{ "NextOfAGeneration", kGeneration + 1, 1, kGeneration + 2 },
    // A taking that a copy lost had some number of the generation before.
    FencingCase{ "OlderCopy", 3, 2, 2 * kGeneration + 1 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** Processes that contend for one lease before a store that loses what it had
 * acknowledged. Calls and answers take their time or are lost. */
class World
{
public:
  static constexpr Duration kStep{ 100 };
  static constexpr std::size_t kProcesses = 3;

  explicit World(LeaseTimes aTimes)
    : m_times(aTimes)
  {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      Start(i);
    }
  }

  void KeepCopy() { m_copy = m_table; }
  void ComeBackFromCopy()
  {
    m_table = m_copy;
    ++m_generation;
  }
  void CutOff(std::size_t aWho, Duration aTime)
  {
    m_cutUntil[aWho] = m_now + aTime;
  }
  /** A new process in its place, which remembers nothing. */
  void Start(std::size_t aWho)
  {
    m_process[aWho] = ++m_started;
    const std::string name = "p" + std::to_string(m_started);
    m_leases[aWho].emplace("scope", name, m_times);
    m_calls.erase(aWho);
  }

  /** `aDelay`: of each call and of each answer. */
  void Step(Duration aDelay, bool aLoses)
  {
    m_now += kStep;
    m_delay = aDelay;
    m_loses = aLoses;
    for (std::size_t i = 0; i < kProcesses; ++i) {
      Deliver(i);
      Carry(i, m_leases[i]->Handle(LeaseTick{}, m_now));
    }
    Check();
  }

  bool NeverTwo() const { return m_neverTwo; }
  bool FencingRises() const { return m_fencingRises; }
  std::size_t Takings() const { return m_takings; }

private:
  /** A call on its way: it reaches the store, then its answer comes. */
  struct Call
  {
    LeaseAction m_action;
    Instant m_arrivesAt;
    Instant m_answeredAt;
    bool m_isLost = false; ///< The answer.
    std::optional<LeaseEvent> m_answer;
  };

  void Carry(std::size_t aWho, const std::vector<LeaseAction>& aActions)
  {
    for (const LeaseAction& action : aActions) {
      if (const auto* gained = std::get_if<AuthorityGained>(&action)) {
        ++m_takings;
        // Whoever gets it back by a renewal of its own holds as before.
        const bool isBack =
          gained->m_fencing == m_highest && m_lastHolder == m_process[aWho];
        m_fencingRises =
          m_fencingRises && (isBack || gained->m_fencing > m_highest);
        m_highest = std::max(m_highest, gained->m_fencing);
        m_lastHolder = m_process[aWho];
      } else if (!std::holds_alternative<AuthorityLost>(action)) {
        m_calls[aWho].push_back(
          { action, m_now + m_delay, m_now + m_delay * 2, m_loses, {} });
      }
    }
  }

  bool IsCutOff(std::size_t aWho) const { return m_now < m_cutUntil[aWho]; }

  void Deliver(std::size_t aWho)
  {
    std::vector<Call> open;
    open.swap(m_calls[aWho]);
    for (Call& call : open) {
      if (!call.m_answer && m_now >= call.m_arrivesAt) {
        call.m_answer = IsCutOff(aWho) ? Unanswered(call) : Reach(call);
      }
      if (m_now < call.m_answeredAt) {
        m_calls[aWho].push_back(std::move(call));
        continue;
      }
      const bool isLost = call.m_isLost || IsCutOff(aWho);
      Carry(aWho,
            m_leases[aWho]->Handle(isLost ? Unanswered(call) : *call.m_answer,
                                   m_now));
    }
  }

  static LeaseEvent Unanswered(const Call& aCall)
  {
    if (const auto* write = std::get_if<WriteLease>(&aCall.m_action)) {
      return LeaseWritten{ write->m_attempt, table::CommitResult::Unknown };
    }
    return LeaseRead{};
  }

  /** Carries it out at the store as it is now. */
  LeaseEvent Reach(const Call& aCall)
  {
    if (const auto* write = std::get_if<WriteLease>(&aCall.m_action)) {
      return LeaseWritten{ write->m_attempt,
                           m_table.Commit(write->m_transaction)
                             ? table::CommitResult::Committed
                             : table::CommitResult::Conflict };
    }
    return LeaseRead{
      { table::ReadStatus::Ok, m_table.Read(LeaseKey("scope")) },
      { table::ReadStatus::Ok, m_table.Read(FenceKey("scope")) },
      m_generation
    };
  }

  void Check()
  {
    std::size_t holders = 0;
    for (const auto& lease : m_leases) {
      holders += lease->HasAuthority(m_now) ? 1 : 0;
    }
    m_neverTwo = m_neverTwo && holders <= 1;
  }

  LeaseTimes m_times;
  Instant m_now{ Duration{ 1'000'000 } };
  support::MemoryTable m_table;
  support::MemoryTable m_copy;
  StoreGeneration m_generation = 0;
  std::array<std::optional<Lease>, kProcesses> m_leases;
  std::array<Instant, kProcesses> m_cutUntil{};
  std::map<std::size_t, std::vector<Call>> m_calls;
  int m_started = 0;
  std::array<int, kProcesses> m_process{};
  int m_lastHolder = 0; ///< The process that gained it last.
  Duration m_delay{};
  bool m_loses = false;
  FencingNumber m_highest = 0;
  std::size_t m_takings = 0;
  bool m_neverTwo = true;
  bool m_fencingRises = true;
};

LeaseTimes
Times()
{
  LeaseTimes out;
  out.m_term = Duration{ 5000 };
  out.m_margin = Duration{ 2100 };
  out.m_renewEvery = Duration{ 1000 };
  out.m_pollEvery = Duration{ 1000 };
  return out;
}

constexpr int kSecond = 1000 / static_cast<int>(World::kStep.count());

// Copies 0 to 10 s old, up to three of them, and processes that are cut off,
// end and start meanwhile.
TEST(LeaseCopyWorldTest, AtMostOneHoldsAndItsFencingNumberIsTheHighest)
{
  std::size_t takings = 0;
  EXPECT_TRUE(rc::check("one holder", [&takings] {
    World world(Times());
    const int returns = *rc::gen::inRange(0, 4);
    for (int i = 0; i <= returns; ++i) {
      // Else the copy before serves again, at first one without any taking.
      const bool keeps = *rc::gen::inRange(0, 3) != 0;
      const int keepAt = *rc::gen::inRange(0, 30 * kSecond);
      const int backAt = keepAt + *rc::gen::inRange(0, 10 * kSecond);
      const int endAt = backAt + *rc::gen::inRange(0, 20 * kSecond);
      for (int step = 0; step < endAt; ++step) {
        if (keeps && step == keepAt) {
          world.KeepCopy();
        }
        if (step == backAt && i < returns) {
          world.ComeBackFromCopy();
        }
        if (*rc::gen::inRange(0, 40) == 0) {
          world.CutOff(*rc::gen::inRange<std::size_t>(0, World::kProcesses),
                       Duration{ *rc::gen::inRange(0, 8000) });
        }
        if (*rc::gen::inRange(0, 100) == 0) {
          world.Start(*rc::gen::inRange<std::size_t>(0, World::kProcesses));
        }
        world.Step(Duration{ *rc::gen::inRange(0, 400) },
                   *rc::gen::inRange(0, 10) == 0);
      }
    }
    takings += world.Takings();
    RC_ASSERT(world.NeverTwo());
    RC_ASSERT(world.FencingRises());
  }));
  EXPECT_GT(takings, 0U) << "nobody ever took the lease";
}

/** What a holder hears of the store's next generation. */
struct HeardCase
{
  const char* m_name;
  LeaseEvent m_event;
  bool m_ends;
};

class HeardGenerationTest : public ::testing::TestWithParam<HeardCase>
{};

TEST_P(HeardGenerationTest, AuthorityEndsAtOnce)
{
  support::MemoryTable table;
  Lease lease("scope", "p", Times());
  Instant now{ Duration{ 1'000'000 } };
  for (int i = 0; i < 20 * kSecond && !lease.HasAuthority(now); ++i) {
    now += World::kStep;
    auto actions = lease.Handle(LeaseTick{}, now);
    while (!actions.empty()) {
      const LeaseAction action = actions.front();
      actions.clear();
      if (const auto* write = std::get_if<WriteLease>(&action)) {
        table.Commit(write->m_transaction);
        actions = lease.Handle(
          LeaseWritten{ write->m_attempt, table::CommitResult::Committed },
          now);
      } else if (std::holds_alternative<ReadLease>(action)) {
        actions = lease.Handle(
          LeaseRead{ { table::ReadStatus::Ok, table.Read(LeaseKey("scope")) },
                     { table::ReadStatus::Ok, table.Read(FenceKey("scope")) } },
          now);
      }
    }
  }
  ASSERT_TRUE(lease.HasAuthority(now));
  const auto actions = lease.Handle(GetParam().m_event, now);
  EXPECT_EQ(lease.HasAuthority(now), !GetParam().m_ends);
  EXPECT_EQ(!actions.empty(), GetParam().m_ends);
}

INSTANTIATE_TEST_SUITE_P(
  Words,
  HeardGenerationTest,
  ::testing::Values(HeardCase{ "Later", LeaseGeneration{ 1 }, true },
                    HeardCase{ "TheSame", LeaseGeneration{ 0 }, false },
                    HeardCase{ "LaterWithALease",
                               LeaseRead{ { table::ReadStatus::Ok, {} },
                                          { table::ReadStatus::Ok, {} },
                                          1 },
                               true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::authority
