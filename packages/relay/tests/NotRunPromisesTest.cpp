// What is kept of promises that calls have not run.

#include <gtest/gtest.h>
#include <ridgeferry/relay/NotRunPromises.h>
#include <string>

namespace ridgeferry::relay {
namespace {

constexpr Instant kStart{ Duration{ 1000 } };

TEST(NotRunPromisesTest, KeepsAPromiseForItsTime)
{
  NotRunPromises promises;
  EXPECT_FALSE(promises.Has("a", kStart));
  promises.Note("a", kStart);
  EXPECT_TRUE(promises.Has("a", kStart + NotRunPromises::kKeptFor));
  EXPECT_FALSE(promises.Has("b", kStart));
  EXPECT_FALSE(
    promises.Has("a", kStart + NotRunPromises::kKeptFor + Duration{ 1 }));
}

TEST(NotRunPromisesTest, APromiseThatIsMadeAgainIsKeptAnew)
{
  NotRunPromises promises;
  promises.Note("a", kStart);
  const Instant again = kStart + NotRunPromises::kKeptFor;
  promises.Note("a", again);
  EXPECT_TRUE(promises.Has("a", again + NotRunPromises::kKeptFor));
}

TEST(NotRunPromisesTest, TheOldestGoFirst)
{
  NotRunPromises promises;
  for (std::size_t i = 0; i <= NotRunPromises::kMost; ++i) {
    promises.Note(std::to_string(i), kStart);
  }
  EXPECT_FALSE(promises.Has("0", kStart));
  EXPECT_TRUE(promises.Has("1", kStart));
  EXPECT_TRUE(promises.Has(std::to_string(NotRunPromises::kMost), kStart));
}

} // namespace
} // namespace ridgeferry::relay
