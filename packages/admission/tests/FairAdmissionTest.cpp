// Who is refused while a service is short of room, and when callers are asked
// back.

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <ridgeferry/admission/FairAdmission.h>
#include <vector>

namespace ridgeferry::admission {
namespace {

constexpr std::string_view kService = "s";
constexpr Duration kAim{ 400 };
constexpr Duration kDeadline{ 1000 };

class FairAdmissionTest : public ::testing::Test
{
protected:
  /** Has 40 calls of the organisation under way, answered too late. */
  void BeShort(std::string_view aOrganisation)
  {
    for (int i = 0; i < 40; ++i) {
      Decide(aOrganisation);
    }
    while (!m_admission.LimitOf(kService)) {
      m_now += Duration{ 10 };
      m_admission.NoteAnswer(
        kService,
        { m_now - kDeadline, kDeadline, false, kAim, kDeadline },
        m_now);
    }
  }

  bool Decide(std::string_view aOrganisation, bool aYields = false)
  {
    const double draw = std::uniform_real_distribution<double>()(m_random);
    const Verdict verdict =
      m_admission.Decide({ kService, aOrganisation, aYields, draw }, m_now);
    const auto* refused = std::get_if<Refused>(&verdict);
    if (refused != nullptr) {
      m_returns.push_back(refused->m_roomIn);
    }
    return refused == nullptr;
  }

  FairAdmission m_admission;
  std::mt19937_64 m_random{ 1 };
  Instant m_now{ Duration{ 100'000 } };
  std::vector<Duration> m_returns; ///< Of those refused.
};

TEST_F(FairAdmissionTest, TheOneThatHasHadMostIsRefused)
{
  BeShort("large");
  for (int i = 0; i < 40; ++i) {
    m_admission.NoteEnded(kService);
  }
  // Fills the room again.
  while (Decide("large")) {
  }
  EXPECT_FALSE(Decide("large"));
  EXPECT_TRUE(Decide("small"));
  EXPECT_FALSE(Decide("large"));
}

TEST_F(FairAdmissionTest, NobodyIsAdmittedFarBeyondTheLimit)
{
  BeShort("large");
  const double limit = *m_admission.LimitOf(kService);
  ASSERT_LT(limit, 30);
  EXPECT_FALSE(Decide("small"));
}

TEST_F(FairAdmissionTest, WithoutKeysAllHaveOneShare)
{
  BeShort("");
  EXPECT_FALSE(Decide(""));
  for (int i = 0; i < 40; ++i) {
    m_admission.NoteEnded(kService);
  }
  EXPECT_TRUE(Decide(""));
}

TEST_F(FairAdmissionTest, UrgentCallsHaveTheLastRoom)
{
  BeShort("a");
  for (int i = 0; i < 40; ++i) {
    m_admission.NoteEnded(kService);
  }
  while (Decide("a", true)) {
  }
  EXPECT_TRUE(Decide("a", false));
}

TEST_F(FairAdmissionTest, AnotherServiceIsNotLimited)
{
  BeShort("a");
  const Verdict verdict = m_admission.Decide({ "other", "a" }, m_now);
  EXPECT_TRUE(std::holds_alternative<Admitted>(verdict));
}

// What was had long ago counts for nothing.
TEST_F(FairAdmissionTest, SharesAreOfLate)
{
  BeShort("large");
  for (int i = 0; i < 40; ++i) {
    m_admission.NoteEnded(kService);
  }
  m_now += Duration{ 60'000 };
  while (Decide("next")) {
  }
  EXPECT_TRUE(Decide("large"));
}

// Those refused together do not come back together.
TEST_F(FairAdmissionTest, ReturnsAreSpread)
{
  BeShort("a");
  m_returns.clear();
  for (int i = 0; i < 200; ++i) {
    EXPECT_FALSE(Decide("a"));
  }
  std::map<Duration::rep, int> inTenth;
  for (const Duration at : m_returns) {
    EXPECT_GE(at, FairAdmission::kLeastReturn);
    EXPECT_LE(at, FairAdmission::kMostReturn);
    ++inTenth[at.count() / 100];
  }
  EXPECT_GT(inTenth.size(), 10U);
}

} // namespace
} // namespace ridgeferry::admission
