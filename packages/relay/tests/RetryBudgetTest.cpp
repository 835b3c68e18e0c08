#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/RetryBudget.h>

namespace ridgeferry::relay {
namespace {

// A budget that forgets retries too early, or counts first sends that have left
// the window, would allow more retries than its limits.
TEST(RetryBudgetTest, HoldsInEachWindowWhateverComesWhen)
{
  EXPECT_TRUE(rc::check("retries stay within the budget for any sends", [] {
    const BudgetTerms terms{ 0.2, 3, Duration{ 1000 } };
    RetryBudget budget(terms);
    std::deque<Instant> first;
    std::deque<Instant> repeats;
    Instant now{};
    for (int i = 0; i < 200; ++i) {
      now += Duration{ *rc::gen::inRange(0, 60) };
      if (*rc::gen::inRange(0, 3) != 0) {
        budget.NoteFirstSend(now);
        first.push_back(now);
      } else if (budget.Free(now) > 0) {
        budget.NoteRepeat(now);
        repeats.push_back(now);
        const auto inWindow = [&](const std::deque<Instant>& aSends) {
          return static_cast<double>(
            std::count_if(aSends.begin(), aSends.end(), [&](Instant aSent) {
              return now - aSent < terms.m_window;
            }));
        };
        // The limit holds exactly at the time of each retry.
        RC_ASSERT(inWindow(repeats) <=
                  terms.m_floor + terms.m_ratio * inWindow(first));
      }
      for (auto* sends : { &first, &repeats }) {
        while (!sends->empty() && now - sends->front() >= terms.m_window) {
          sends->pop_front();
        }
      }
      // Between retries the limit can be exceeded, because first sends leave
      // the window before the retries that they allowed. The test therefore
      // tolerates 3 more retries than the limit.
      RC_ASSERT(static_cast<double>(repeats.size()) <=
                terms.m_floor +
                  terms.m_ratio * static_cast<double>(first.size()) + 3);
    }
  }));
}

// Without the floor, a service with little traffic would get no retries at all.
TEST(RetryBudgetTest, TheFloorIsThereWithoutTrafficAndComesBack)
{
  RetryBudget budget({ 0.1, 2, Duration{ 1000 } });
  Instant now{};
  for (int i = 0; i < 2; ++i) {
    ASSERT_TRUE(budget.Free(now) > 0);
    budget.NoteRepeat(now);
  }
  EXPECT_FALSE(budget.Free(now + Duration{ 999 }) > 0);
  EXPECT_TRUE(budget.Free(now + Duration{ 1000 }) > 0);
}

} // namespace
} // namespace ridgeferry::relay
