// Processes that report usage one after the other, in virtual time: writes are
// answered, lost, or done later; processes end and others succeed them at any
// moment.

#include <array>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <ridgeferry/base/Overloaded.h>
#include <ridgeferry/usage/UsageCollector.h>
#include <ridgeferry/usage/UsageReporter.h>
#include <set>

namespace ridgeferry::usage {
namespace {

constexpr int kProcesses = 3;
constexpr Duration kWindow{ 5000 };
constexpr Duration kTick{ 200 };

ReportTimes
Times()
{
  ReportTimes out;
  out.m_window = kWindow;
  return out;
}

/** A write that the store carries out later, if its condition still holds. */
struct DelayedWrite
{
  table::Transaction m_transaction;
  Instant m_at;
};

class World
{
public:
  World()
  {
    for (int i = 0; i < kProcesses; ++i) {
      m_processes.emplace_back(Times());
    }
  }

  void Run(int aTicks)
  {
    for (int i = 0; i < aTicks; ++i) {
      Advance();
    }
    m_troubled = false;
    for (int i = 0; i < 100; ++i) {
      Advance();
    }
  }

  /** By window: all bodies that reached the platform. */
  const std::map<WindowIndex, std::set<std::string>>& Sent() const
  {
    return m_sent;
  }
  WindowIndex WindowNow() const { return WindowAt(TrueTime(), kWindow); }

private:
  WallTime TrueTime() const { return WallTime{ m_now.time_since_epoch() }; }
  bool Chance(int aOneIn) const
  {
    return m_troubled && *rc::gen::inRange(0, aOneIn) == 0;
  }

  void Advance()
  {
    m_now += kTick;
    CarryOutDelayed();
    if (Chance(40)) {
      m_holder = *rc::gen::inRange(0, kProcesses);
    }
    if (Chance(60)) {
      m_processes[*rc::gen::inRange(0, kProcesses)] = UsageReporter(Times());
    }
    for (int i = 0; i < kProcesses; ++i) {
      TickOf(i);
    }
  }

  void TickOf(int aProcess)
  {
    UsageReporter& reporter = m_processes[aProcess];
    ReportTick tick;
    tick.m_hasAuthority = aProcess == m_holder;
    tick.m_trueTime = TrueTime();
    tick.m_firstCounted = m_firstWindow;
    // What processes count differs, as each hears of other instances.
    tick.m_counts = { { "acme", 100 + aProcess + *rc::gen::inRange(0, 5) } };
    tick.m_isComplete = !Chance(4);
    Carry(aProcess, reporter.Handle(tick, m_now));
  }

  void Carry(int aProcess, const std::vector<ReportAction>& aActions)
  {
    for (const ReportAction& action : aActions) {
      std::visit([&](const auto& aTyped) { Do(aProcess, aTyped); }, action);
    }
  }

  void Answer(int aProcess, const ReportEvent& aEvent)
  {
    Carry(aProcess, m_processes[aProcess].Handle(aEvent, m_now));
  }

  void Do(int aProcess, const ReadReportRow&)
  {
    ReportRowRead read;
    if (!Chance(6)) {
      read.m_row = { table::ReadStatus::Ok, m_row };
    }
    Answer(aProcess, read);
  }

  void Do(int aProcess, const WriteReportRow& aWrite)
  {
    const bool isLater = Chance(6);
    if (isLater) {
      m_delayed.push_back({ aWrite.m_transaction,
                            m_now + Duration{ *rc::gen::inRange(200, 8000) } });
    } else if (!Chance(6)) {
      Commit(aWrite.m_transaction);
    }
    Answer(aProcess, ReportRowWritten{});
  }

  void Do(int aProcess, const SendReport& aSend)
  {
    const bool arrives = !Chance(5);
    if (arrives) {
      m_sent[aSend.m_report.m_window].insert(
        EncodeCounts(aSend.m_report.m_counts));
    }
    Answer(aProcess,
           ReportAnswered{ aSend.m_report.m_window, arrives && !Chance(5) });
  }

  void Commit(const table::Transaction& aTransaction)
  {
    if (aTransaction.m_conditions[0].m_version != m_row.m_version) {
      return;
    }
    m_row.m_key = kReportKey;
    m_row.m_value = aTransaction.m_puts[0].m_value;
    m_row.m_version = ++m_lastVersion;
  }

  void CarryOutDelayed()
  {
    std::erase_if(m_delayed, [this](const DelayedWrite& aWrite) {
      const bool due = m_now >= aWrite.m_at;
      if (due) {
        Commit(aWrite.m_transaction);
      }
      return due;
    });
  }

  std::vector<UsageReporter> m_processes;
  Instant m_now{ kWindow * 1000 };
  WindowIndex m_firstWindow = 1000;
  int m_holder = 0;
  bool m_troubled = true;
  table::Row m_row;
  table::Version m_lastVersion = 0;
  std::deque<DelayedWrite> m_delayed;
  std::map<WindowIndex, std::set<std::string>> m_sent;
};

// A holder that counted the same window anew sent a second report of it.
TEST(UsageReporterWorldTest, AWindowHasOneReportForEver)
{
  EXPECT_TRUE(rc::check("one body for each window", [] {
    World world;
    world.Run(*rc::gen::inRange(50, 400));
    for (const auto& [window, bodies] : world.Sent()) {
      RC_ASSERT(bodies.size() == 1U);
    }
    // All that ended some seconds ago are reported once the trouble is over.
    const WindowIndex last = world.WindowNow() - 2;
    const auto first = std::max<WindowIndex>(
      1000, world.WindowNow() - static_cast<WindowIndex>(kKeptWindows) + 4);
    for (WindowIndex window = first; window <= last; ++window) {
      RC_ASSERT(world.Sent().contains(window));
    }
  }));
}

TEST(UsageReporterTest, AfterARestoreOnlyLaterWindowsAreReported)
{
  UsageReporter reporter(Times());
  Instant now{ kWindow * 2000 };
  std::set<WindowIndex> sent;
  table::Row row;
  const auto play = [&](int aTicks, StoreGeneration aGeneration) {
    for (int i = 0; i < aTicks; ++i) {
      now += kTick;
      ReportTick tick;
      tick.m_hasAuthority = true;
      tick.m_trueTime = WallTime{ now.time_since_epoch() };
      tick.m_firstCounted = 2000;
      tick.m_isComplete = true;
      std::deque<ReportAction> open;
      for (const ReportAction& action : reporter.Handle(tick, now)) {
        open.push_back(action);
      }
      for (; !open.empty(); open.pop_front()) {
        std::vector<ReportAction> more;
        std::visit(
          Overloaded{
            [&](const ReadReportRow&) {
              more = reporter.Handle(
                ReportRowRead{ { table::ReadStatus::Ok, row }, aGeneration },
                now);
            },
            [&](const WriteReportRow& aWrite) {
              const auto report =
                DecodeReport(aWrite.m_transaction.m_puts[0].m_value);
              sent.insert(report->m_window);
              row.m_value = aWrite.m_transaction.m_puts[0].m_value;
              ++row.m_version;
              more = reporter.Handle(ReportRowWritten{}, now);
            },
            [&](const SendReport& aSend) {
              more = reporter.Handle(
                ReportAnswered{ aSend.m_report.m_window, true }, now);
            },
          },
          open.front());
        open.insert(open.end(), more.begin(), more.end());
      }
    }
  };
  play(60, 0);
  EXPECT_EQ(sent, (std::set<WindowIndex>{ 2000, 2001 }));
  sent.clear();
  row = { kReportKey, 1, EncodeReport({ 2000, {} }) }; // Its copy.
  reporter.Handle(ReportGeneration{ 1 }, now);
  const WindowIndex seen =
    WindowAt(WallTime{ now.time_since_epoch() }, kWindow);
  play(60, 1);
  ASSERT_FALSE(sent.empty());
  EXPECT_GT(*sent.begin(), seen);
}

TEST(UsageCollectorTest, CountsOfEndedProcessesStay)
{
  UsageCollector collector;
  const WallTime at{ Duration{ 1'000'000 } };
  collector.Take({ "a", 1 }, { { 7, { { "acme", 3 } } } }, at);
  collector.Take({ "a", 1 }, { { 7, { { "acme", 5 } } } }, at + kTick);
  // An answer that was overtaken.
  collector.Take({ "a", 1 }, { { 7, { { "acme", 3 } } } }, at);
  collector.Take({ "a", 2 }, { { 7, { { "acme", 1 }, { "b", 2 } } } }, at);
  EXPECT_EQ(collector.SumOf(7), (Counts{ { "acme", 6 }, { "b", 2 } }));
  EXPECT_EQ(collector.SumOf(8), Counts{});
  EXPECT_EQ(collector.FirstWindow(), 7);
  EXPECT_TRUE(collector.HasReportedSince({ "a", 1 }, at + kTick));
  EXPECT_FALSE(collector.HasReportedSince({ "a", 2 }, at + kTick));
}

TEST(UsageCountsTest, SurviveTheirEncoding)
{
  EXPECT_TRUE(rc::check("counts", [] {
    Counts counts;
    for (int i = *rc::gen::inRange(0, 9); i > 0; --i) {
      counts["org" + std::to_string(i)] = *rc::gen::inRange(0, 1'000'000);
    }
    const Report report{ *rc::gen::inRange<WindowIndex>(0, 1 << 30), counts };
    RC_ASSERT(DecodeReport(EncodeReport(report)) == report);
  }));
  EXPECT_FALSE(DecodeCounts("[]").has_value());
  EXPECT_FALSE(DecodeCounts(R"({"a":-1})").has_value());
  EXPECT_FALSE(DecodeReport(R"({"window":1})").has_value());
}

} // namespace
} // namespace ridgeferry::usage
