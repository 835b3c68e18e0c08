#include "MemoryTable.h"
#include "Schedule.h"

#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <ridgeferry/base/Overloaded.h>
#include <ridgeferry/claims/Claim.h>

namespace ridgeferry::claims {
namespace {

/**
 * Simulates several attempts at one call, each in a process that may be killed
 * between any two steps. Answers of the table arrive late, in any order, or
 * never, and a write may be lost before or after it takes effect.
 */
class ClaimWorld
{
public:
  explicit ClaimWorld(std::size_t aAttempts)
  {
    for (std::size_t i = 0; i < aAttempts; ++i) {
      auto attempt = std::make_unique<Attempt>();
      attempt->m_claim = std::make_unique<Claim>(
        "team", "key", "attempt-" + std::to_string(i), 7);
      m_attempts.push_back(std::move(attempt));
    }
  }

  void Step(std::uint32_t aNumber)
  {
    support::Chooser choose(aNumber);
    Attempt& attempt = *m_attempts[choose.Below(m_attempts.size())];
    if (attempt.m_dead) {
      return;
    }
    if (!attempt.m_started) {
      attempt.m_started = true;
      Act(attempt, attempt.m_claim->Start());
      return;
    }
    if (choose.OneIn(25)) {
      // The process is killed; its attempt takes no further steps.
      attempt.m_dead = true;
      return;
    }
    if (attempt.m_running && choose.OneIn(3)) {
      EndCall(attempt, choose.Below(3));
      return;
    }
    Deliver(choose);
  }

  int Runs() const { return m_runs; }
  int Replays() const { return m_replays; }
  int Waits() const { return m_waits; }
  const std::vector<std::string>& Faults() const { return m_faults; }

private:
  struct Attempt
  {
    std::unique_ptr<Claim> m_claim;
    bool m_started = false;
    bool m_dead = false;
    bool m_running = false;
    bool m_sent = false; ///< The call of this attempt reached the upstream.
  };

  void Act(Attempt& aAttempt, const ClaimAction& aAction)
  {
    std::visit(
      Overloaded{
        [&](const ReadClaim& aRead) {
          m_network.push_back([this, &aAttempt, key = aRead.m_key](bool aLost) {
            ClaimRead read;
            if (!aLost) {
              read.m_result = { table::ReadStatus::Ok, m_table.Read(key) };
            }
            Feed(aAttempt, read);
          });
        },
        [&](const WriteClaim& aWrite) { Write(aAttempt, aWrite); },
        [&](const RunCall&) { aAttempt.m_running = true; },
        [&](const ReplayAnswer& aReplay) {
          ++m_replays;
          if (m_runs == 0 || aReplay.m_answer.m_body != "answer") {
            m_faults.emplace_back(
              "replayed an answer that no run of the call gave");
          }
        },
        [&](const ClaimSettled& aSettled) {
          if (aSettled.m_outcome == Outcome::NotRun && m_runs > 0) {
            m_faults.emplace_back(
              "settled as \"not run\" although the call ran");
          }
        },
        [&](const RecordLater&) {
          ++m_waits;
          m_network.push_back(
            [this, &aAttempt](bool) { Feed(aAttempt, RecordDue{}); });
        },
        [](const auto&) {} },
      aAction);
  }

  void Feed(Attempt& aAttempt, const ClaimEvent& aEvent)
  {
    if (!aAttempt.m_dead) {
      Act(aAttempt, aAttempt.m_claim->Handle(aEvent));
    }
  }

  void Write(Attempt& aAttempt, const WriteClaim& aWrite)
  {
    const auto transaction = aWrite.m_transaction;
    m_network.push_back([this, &aAttempt, transaction](bool aLost) {
      if (aLost) {
        Feed(aAttempt, ClaimWritten{ table::CommitResult::Unknown });
        // The write was only slow and takes effect later, unless it never
        // arrives.
        m_network.push_back([this, transaction](bool aNeverArrives) {
          if (!aNeverArrives) {
            m_table.Commit(transaction);
          }
        });
        return;
      }
      const auto result = m_table.Commit(transaction)
                            ? table::CommitResult::Committed
                            : table::CommitResult::Conflict;
      m_network.push_back([this, &aAttempt, result](bool aAnswerLost) {
        Feed(
          aAttempt,
          ClaimWritten{ aAnswerLost ? table::CommitResult::Unknown : result });
      });
    });
  }

  void EndCall(Attempt& aAttempt, std::size_t aHow)
  {
    aAttempt.m_running = false;
    CallEnded ended;
    switch (aHow) {
      case 0:
        ended.m_outcome = Outcome::NotRun; // The upstream refused the call.
        break;
      case 1:
        Run();
        ended.m_outcome = Outcome::Ran;
        ended.m_answer = { 200, "text/plain", "answer", false };
        break;
      default:
        Run();
        ended.m_outcome = Outcome::MayHaveRun; // The answer was lost.
        break;
    }
    Feed(aAttempt, ended);
  }

  void Run()
  {
    if (++m_runs > 1) {
      m_faults.emplace_back("the call ran twice");
    }
  }

  void Deliver(support::Chooser& aChoose)
  {
    if (m_network.empty()) {
      return;
    }
    const std::size_t next = aChoose.Below(m_network.size());
    const auto message = m_network[next];
    m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(next));
    message(aChoose.OneIn(5));
  }

  support::MemoryTable m_table;
  std::vector<std::unique_ptr<Attempt>> m_attempts;
  std::vector<std::function<void(bool)>> m_network;
  int m_runs = 0;
  int m_replays = 0;
  int m_waits = 0; ///< Number of waits before an end was recorded again.
  std::vector<std::string> m_faults;
};

TEST(ClaimWorldTest, RunsAtMostOnceInAnySchedule)
{
  int runs = 0;
  int replays = 0;
  int waits = 0;
  EXPECT_TRUE(rc::check("the call runs at most once", [&]() {
    constexpr std::size_t kSteps = 250;
    const auto schedule = *support::AnySchedule(kSteps);
    const auto attempts = *rc::gen::inRange<std::size_t>(2, 6);
    ClaimWorld world(attempts);
    for (std::uint32_t number : schedule) {
      world.Step(number);
    }
    runs += world.Runs();
    replays += world.Replays();
    waits += world.Waits();
    RC_ASSERT(world.Faults() == std::vector<std::string>());
  }));
  EXPECT_GT(runs, 0) << "no schedule ever ran the call";
  EXPECT_GT(replays, 0) << "no schedule ever replayed a recorded answer";
  EXPECT_GT(waits, 0) << "no schedule ever waited to record an end again";
}

/**
 * How the table fails while the end of a call is to be recorded, and the
 * expected results.
 */
struct OutageCase
{
  const char* m_name;
  table::CommitResult m_write;
  CallEnded m_ended;
  Outcome m_reportedMeanwhile;
  ClaimState m_recorded;
};

class ClaimOutageTest : public ::testing::TestWithParam<OutageCase>
{
protected:
  /**
   * Answers the claim's reads and writes with failures until the claim waits.
   */
  RecordLater FailUntilTheClaimWaits(ClaimAction aAction)
  {
    constexpr int kMostSteps = 20;
    for (int i = 0; i < kMostSteps; ++i) {
      if (const auto* later = std::get_if<RecordLater>(&aAction)) {
        return *later;
      }
      const bool writes = std::holds_alternative<WriteClaim>(aAction);
      aAction = writes ? m_claim.Handle(ClaimWritten{ GetParam().m_write })
                       // A `ClaimRead` without a result means that no complete
                       // answer arrived.
                       : m_claim.Handle(ClaimRead{});
    }
    ADD_FAILURE() << "the claim did not wait for the table within 20 steps";
    return {};
  }

  void ClaimTheKey()
  {
    const auto write = std::get<WriteClaim>(m_claim.Start());
    ASSERT_TRUE(m_table.Commit(write.m_transaction));
    const auto action =
      m_claim.Handle(ClaimWritten{ table::CommitResult::Committed });
    ASSERT_TRUE(std::holds_alternative<RunCall>(action));
  }

  /**
   * Carries out the reads and writes of the claim on the table, which is
   * available again.
   */
  ClaimAction Serve(ClaimAction aAction)
  {
    while (true) {
      if (const auto* read = std::get_if<ReadClaim>(&aAction)) {
        aAction = m_claim.Handle(
          ClaimRead{ { table::ReadStatus::Ok, m_table.Read(read->m_key) } });
      } else if (const auto* write = std::get_if<WriteClaim>(&aAction)) {
        const bool done = m_table.Commit(write->m_transaction);
        aAction =
          m_claim.Handle(ClaimWritten{ done ? table::CommitResult::Committed
                                            : table::CommitResult::Conflict });
      } else {
        return aAction;
      }
    }
  }

  support::MemoryTable m_table;
  Claim m_claim{ "team", "key", "attempt", 7 };
};

TEST_P(ClaimOutageTest, AKnownEndIsRecordedOnceTheTableIsBack)
{
  ClaimTheKey();
  ClaimAction action = m_claim.Handle(GetParam().m_ended);
  Duration last{};
  for (int round = 0; round < 10; ++round) {
    const RecordLater later = FailUntilTheClaimWaits(std::move(action));
    EXPECT_EQ(later.m_outcome, GetParam().m_reportedMeanwhile);
    EXPECT_GE(later.m_wait, last);
    EXPECT_LE(later.m_wait, Claim::kLongestRecordWait);
    last = later.m_wait;
    action = m_claim.Handle(RecordDue{});
  }
  const ClaimAction end = Serve(std::move(action));
  EXPECT_TRUE(std::holds_alternative<ClaimSettled>(end));
  const auto row = DecodeClaim(m_table.Read(ClaimKey("team", "key")).m_value);
  ASSERT_TRUE(row.has_value());
  EXPECT_EQ(row->m_state, GetParam().m_recorded);
}

INSTANTIATE_TEST_SUITE_P(
  Outages,
  ClaimOutageTest,
  ::testing::Values(
    OutageCase{ "RanAndTheTableRefuses",
                table::CommitResult::NotWritten,
                { Outcome::Ran, { 200, "text/plain", "answer", false } },
                Outcome::Ran,
                ClaimState::Ran },
    OutageCase{ "RanAndAnswersAreLost",
                table::CommitResult::Unknown,
                { Outcome::Ran, { 200, "text/plain", "answer", false } },
                Outcome::Ran,
                ClaimState::Ran },
    OutageCase{ "NotRunAndTheTableRefuses",
                table::CommitResult::NotWritten,
                { Outcome::NotRun, {} },
                Outcome::MayHaveRun,
                ClaimState::NotRun }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

struct RowCase
{
  const char* m_name;
  ClaimRow m_row;
};

class ClaimRowTest : public ::testing::TestWithParam<RowCase>
{};

TEST_P(ClaimRowTest, SurvivesItsEncoding)
{
  const auto decoded = DecodeClaim(EncodeClaim(GetParam().m_row));
  ASSERT_TRUE(decoded.has_value()) << decoded.error();
  EXPECT_EQ(*decoded, GetParam().m_row);
}

INSTANTIATE_TEST_SUITE_P(
  Rows,
  ClaimRowTest,
  ::testing::Values(
    RowCase{ "Open", { "a", 1, ClaimState::Open, {} } },
    RowCase{ "NotRun", { "a", 1, ClaimState::NotRun, {} } },
    RowCase{ "Ran",
             { "a", 1, ClaimState::Ran, { 200, "text/plain", "x", false } } },
    RowCase{ "AnyBytes",
             { "a",
               1,
               ClaimState::Ran,
               { 200, "image/png", std::string("\x00\xff\"\n", 4), false } } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(ClaimKeyTest, PartsCannotPoseAsOneAnother)
{
  EXPECT_NE(ClaimKey("a/b", "c"), ClaimKey("a", "b/c"));
  EXPECT_NE(ClaimKey("a%2Fb", "c"), ClaimKey("a/b", "c"));
}

} // namespace
} // namespace ridgeferry::claims
