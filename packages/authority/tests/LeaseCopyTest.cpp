// Tests of the lease with a store that is restored from an older copy. The copy
// may lack the last acquisition, and its holder may not have noticed this yet.

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

/** Checks that a fencing number is higher than all earlier ones. */
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
    // An acquisition that the restored copy lacks had a number of the earlier
    // generation, which may be higher than the 3 that the copy contains.
    FencingCase{ "OlderCopy", 3, 2, 2 * kGeneration + 1 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/**
 * Simulation of processes that contend for one lease in a store that loses
 * acknowledged writes, because it is restored from older copies. Calls and
 * answers are delayed, and answers may be lost.
 */
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

  /** Copies the current content of the store. */
  void CopyStore() { m_copy = m_table; }
  /** Restores the store from the last copy, in a new generation. */
  void RestoreCopy()
  {
    m_table = m_copy;
    ++m_generation;
  }
  /** Makes all calls of a process fail for `aTime`. */
  void CutOff(std::size_t aWho, Duration aTime)
  {
    m_cutUntil[aWho] = m_now + aTime;
  }
  /** Replaces a process by a new process that has no state of the old one. */
  void Start(std::size_t aWho)
  {
    m_process[aWho] = ++m_started;
    const std::string name = "p" + std::to_string(m_started);
    m_leases[aWho].emplace("scope", name, m_times);
    m_calls.erase(aWho);
  }

  /**
   * Advances the time by `kStep`. Calls that start in this step take `aDelay`
   * to reach the store, and their answers take as long to come back; `aLoses`
   * says that these answers are lost.
   */
  void Step(Duration aDelay, bool aLoses)
  {
    m_now += kStep;
    m_delay = aDelay;
    m_loses = aLoses;
    for (std::size_t i = 0; i < kProcesses; ++i) {
      Deliver(i);
      Execute(i, m_leases[i]->Handle(LeaseTick{}, m_now));
    }
    Check();
  }

  /** Returns whether at most one process held authority at any time. */
  bool HadAtMostOneHolder() const { return m_hadAtMostOneHolder; }
  /** Returns whether each acquisition had a higher number than all before. */
  bool FencingRises() const { return m_fencingRises; }
  std::size_t Acquisitions() const { return m_acquisitions; }

private:
  /** A call in transit: the call reaches the store, then the answer returns. */
  struct Call
  {
    LeaseAction m_action;
    Instant m_arrivesAt;
    Instant m_answeredAt;
    bool m_isLost = false; ///< The answer does not return.
    std::optional<LeaseEvent> m_answer;
  };

  void Execute(std::size_t aWho, const std::vector<LeaseAction>& aActions)
  {
    for (const LeaseAction& action : aActions) {
      if (const auto* gained = std::get_if<AuthorityGained>(&action)) {
        ++m_acquisitions;
        // A process that regains its authority because its own renewal was
        // confirmed keeps the number that it had.
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
      Execute(aWho,
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

  /** Executes the call on the current content of the store. */
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
    m_hadAtMostOneHolder = m_hadAtMostOneHolder && holders <= 1;
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
  int m_lastHolder = 0; ///< Number of the process that gained authority last.
  Duration m_delay{};
  bool m_loses = false;
  FencingNumber m_highest = 0;
  std::size_t m_acquisitions = 0;
  bool m_hadAtMostOneHolder = true;
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

// Guards against two holders at the same time and against a fencing number that
// is used twice. The store is restored up to three times from its last copy,
// while processes are cut off, end and start. A copy made since the previous
// restoration is up to 10 s old; if none was made, the copy is older.
TEST(LeaseCopyWorldTest, AtMostOneHoldsAndItsFencingNumberIsTheHighest)
{
  std::size_t acquisitions = 0;
  EXPECT_TRUE(rc::check("one holder", [&acquisitions] {
    World world(Times());
    const int returns = *rc::gen::inRange(0, 4);
    for (int i = 0; i <= returns; ++i) {
      // If no new copy is made, the store is restored from the previous copy,
      // which at first is empty and contains no acquisition.
      const bool keeps = *rc::gen::inRange(0, 3) != 0;
      const int keepAt = *rc::gen::inRange(0, 30 * kSecond);
      const int backAt = keepAt + *rc::gen::inRange(0, 10 * kSecond);
      const int endAt = backAt + *rc::gen::inRange(0, 20 * kSecond);
      for (int step = 0; step < endAt; ++step) {
        if (keeps && step == keepAt) {
          world.CopyStore();
        }
        if (step == backAt && i < returns) {
          world.RestoreCopy();
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
    acquisitions += world.Acquisitions();
    RC_ASSERT(world.HadAtMostOneHolder());
    RC_ASSERT(world.FencingRises());
  }));
  EXPECT_GT(acquisitions, 0U) << "no process acquired the lease in any run";
}

/**
 * An event that names a generation of the store to the holder of the lease, and
 * whether the holder's authority must end.
 */
struct GenerationCase
{
  const char* m_name;
  LeaseEvent m_event;
  bool m_ends;
};

class LaterGenerationTest : public ::testing::TestWithParam<GenerationCase>
{};

// Guards against a holder that keeps its authority for the rest of its term
// although the store was restored from a copy that may lack its acquisition.
TEST_P(LaterGenerationTest, AuthorityEndsAtOnce)
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
  Events,
  LaterGenerationTest,
  ::testing::Values(GenerationCase{ "Later", LeaseGeneration{ 1 }, true },
                    GenerationCase{ "TheSame", LeaseGeneration{ 0 }, false },
                    GenerationCase{ "LaterWithALease",
                                    LeaseRead{ { table::ReadStatus::Ok, {} },
                                               { table::ReadStatus::Ok, {} },
                                               1 },
                                    true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::authority
