#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/RetryBudget.h>

namespace ridgeferry::relay {
namespace {

TEST(RetryBudgetTest, HoldsInEachWindowWhateverComesWhen)
{
  EXPECT_TRUE(rc::check("any sends", [] {
    const BudgetTerms terms{ 0.2, 3, Duration{ 1000 } };
    RetryBudget budget(terms);
    std::deque<Instant> first;
    std::deque<Instant> repeats;
    Instant now{};
    for (int i = 0; i < 200; ++i) {
      now += Duration{ *rc::gen::inRange(0, 60) };
      if (*rc::gen::inRange(0, 3) != 0) {
        budget.NoteFirst(now);
        first.push_back(now);
      } else if (budget.MayRepeat(now)) {
        budget.NoteRepeat(now);
        repeats.push_back(now);
        const auto inWindow = [&](const std::deque<Instant>& aSends) {
          return static_cast<double>(
            std::count_if(aSends.begin(), aSends.end(), [&](Instant aSent) {
              return now - aSent < terms.m_window;
            }));
        };
        // Exactly, whenever a repeat is made.
        RC_ASSERT(inWindow(repeats) <=
                  terms.m_floor + terms.m_ratio * inWindow(first));
      }
      for (auto* sends : { &first, &repeats }) {
        while (!sends->empty() && now - sends->front() >= terms.m_window) {
          sends->pop_front();
        }
      }
      RC_ASSERT(static_cast<double>(repeats.size()) <=
                terms.m_floor +
                  terms.m_ratio * static_cast<double>(first.size()) + 3);
    }
  }));
}

TEST(RetryBudgetTest, TheFloorIsThereWithoutTrafficAndComesBack)
{
  RetryBudget budget({ 0.1, 2, Duration{ 1000 } });
  Instant now{};
  for (int i = 0; i < 2; ++i) {
    ASSERT_TRUE(budget.MayRepeat(now));
    budget.NoteRepeat(now);
  }
  EXPECT_FALSE(budget.MayRepeat(now + Duration{ 999 }));
  EXPECT_TRUE(budget.MayRepeat(now + Duration{ 1000 }));
}

} // namespace
} // namespace ridgeferry::relay
