// Organisations that ask for more than there is room for, in virtual time:
// callers that come to all instances alike, and plain upstreams that answer one
// call after the other. The bounds are what callers were promised: an
// organisation that asks for twenty times as much as another lowers no other's
// share served in time by more than 0.02 while there is room for theirs, and
// gets seven tenths of what the others leave.

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <ridgeferry/admission/FairAdmission.h>
#include <vector>

namespace ridgeferry::admission {
namespace {

constexpr std::string_view kService = "s";
constexpr Duration kAim{ 400 };
constexpr Duration kDeadline{ 1000 };
constexpr std::size_t kUpstreams = 8;
constexpr Duration kWarmUp{ 10'000 };
constexpr Duration kMeasured{ 20'000 };
constexpr double kMsPerSecond = 1000;

/** How upstreams queue. */
constexpr std::size_t kUnbounded = 1'000'000;

struct WorldCase
{
  const char* m_name;
  std::size_t m_instances;
  std::vector<double> m_perSecond; ///< By organisation.
  /** Time for one call at an upstream that is idle. */
  Duration m_takes{ 100 };
  std::size_t m_mostQueued = kUnbounded; ///< More are turned away.
  /** Least share of each organisation's calls that are answered in time. */
  std::vector<double> m_leastInTime;
  /** Least answers in time, of those that there is room for. */
  double m_leastUsed = 0.7;
};

std::ostream&
operator<<(std::ostream& aOut, const WorldCase& aCase)
{
  return aOut << aCase.m_name;
}

struct Call
{
  std::size_t m_instance = 0;
  std::size_t m_organisation = 0;
  Instant m_sentAt;
  Instant m_endsAt; ///< At its upstream.
};

struct Counts
{
  int m_asked = 0;
  int m_inTime = 0;
};

class World
{
public:
  explicit World(const WorldCase& aCase)
    : m_case(aCase)
    , m_instances(aCase.m_instances)
    , m_upstreams(kUpstreams)
    , m_counts(aCase.m_perSecond.size())
  {
  }

  std::vector<Counts> Play()
  {
    while (m_now < Instant{ kWarmUp + kMeasured + kDeadline }) {
      m_now += Duration{ 1 };
      EndCalls();
      for (std::size_t i = 0; i < m_case.m_perSecond.size(); ++i) {
        if (Draw() < m_case.m_perSecond[i] / kMsPerSecond) {
          Ask(i);
        }
      }
    }
    return m_counts;
  }

private:
  double Draw() { return std::uniform_real_distribution<double>()(m_random); }
  /** Those that may still be open at the end are not. */
  static bool IsMeasured(Instant aSentAt)
  {
    return aSentAt >= Instant{ kWarmUp } &&
           aSentAt < Instant{ kWarmUp + kMeasured };
  }

  void Ask(std::size_t aOrganisation)
  {
    const std::size_t at = m_random() % m_instances.size();
    const std::string name = std::to_string(aOrganisation);
    m_counts[aOrganisation].m_asked += IsMeasured(m_now) ? 1 : 0;
    const Verdict verdict =
      m_instances[at].Decide({ kService, name, false, Draw() }, m_now);
    if (!std::holds_alternative<Admitted>(verdict)) {
      return;
    }
    auto& queue = *std::min_element(m_upstreams.begin(),
                                    m_upstreams.end(),
                                    [](const auto& aLeft, const auto& aRight) {
                                      return aLeft.size() < aRight.size();
                                    });
    if (queue.size() >= m_case.m_mostQueued) {
      End({ at, aOrganisation, m_now, m_now }, false);
      return;
    }
    const Instant from = queue.empty() ? m_now : queue.back().m_endsAt;
    queue.push_back({ at, aOrganisation, m_now, from + m_case.m_takes });
  }

  void EndCalls()
  {
    for (auto& queue : m_upstreams) {
      while (!queue.empty() && queue.front().m_endsAt <= m_now) {
        End(queue.front(), true);
        queue.pop_front();
      }
    }
  }

  void End(const Call& aCall, bool aIsServed)
  {
    const Duration took = m_now - aCall.m_sentAt;
    FairAdmission& instance = m_instances[aCall.m_instance];
    instance.NoteAnswer(
      kService,
      { aCall.m_sentAt, took, aIsServed && took < kDeadline, kAim, kDeadline },
      m_now);
    instance.NoteEnded(kService);
    const bool isInTime = aIsServed && took <= kAim;
    m_counts[aCall.m_organisation].m_inTime +=
      isInTime && IsMeasured(aCall.m_sentAt) ? 1 : 0;
  }

  const WorldCase& m_case;
  std::mt19937_64 m_random{ 1 };
  Instant m_now;
  std::vector<FairAdmission> m_instances;
  std::vector<std::deque<Call>> m_upstreams;
  std::vector<Counts> m_counts;
};

class FairAdmissionWorldTest : public ::testing::TestWithParam<WorldCase>
{};

TEST_P(FairAdmissionWorldTest, SharesHoldAndRoomIsUsed)
{
  const WorldCase& now = GetParam();
  const std::vector<Counts> counts = World(now).Play();
  int inTime = 0;
  int asked = 0;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    EXPECT_GE(counts[i].m_inTime, now.m_leastInTime[i] * counts[i].m_asked)
      << "organisation " << i << ": " << counts[i].m_inTime << " of "
      << counts[i].m_asked;
    inTime += counts[i].m_inTime;
    asked += counts[i].m_asked;
  }
  const double room = kUpstreams * static_cast<double>(kMeasured.count()) /
                      static_cast<double>(now.m_takes.count());
  EXPECT_GE(inTime, now.m_leastUsed * std::min<double>(room, asked));
}

INSTANTIATE_TEST_SUITE_P(
  Loads,
  FairAdmissionWorldTest,
  ::testing::Values(WorldCase{ .m_name = "OneAsksTwentyTimesAsMuch",
                               .m_instances = 1,
                               .m_perSecond = { 8, 8, 160 },
                               .m_leastInTime = { 0.98, 0.98, 0 } },
                    WorldCase{ .m_name = "AtTenInstances",
                               .m_instances = 10,
                               .m_perSecond = { 8, 8, 160 },
                               .m_leastInTime = { 0.98, 0.98, 0 } },
                    WorldCase{ .m_name = "AtThirtyInstances",
                               .m_instances = 30,
                               .m_perSecond = { 8, 8, 160 },
                               .m_leastInTime = { 0.98, 0.98, 0 } },
                    WorldCase{ .m_name = "UpstreamsTurnAway",
                               .m_instances = 1,
                               .m_perSecond = { 8, 8, 160 },
                               .m_mostQueued = 8,
                               .m_leastInTime = { 0.98, 0.98, 0 } },
                    WorldCase{ .m_name = "TwoAskTooMuch",
                               .m_instances = 3,
                               .m_perSecond = { 8, 160, 80 },
                               .m_leastInTime = { 0.98, 0.15, 0.3 } },
                    WorldCase{ .m_name = "NobodyHasAKey",
                               .m_instances = 3,
                               .m_perSecond = { 176 },
                               .m_leastInTime = { 0.3 } },
                    WorldCase{ .m_name = "RoomForAll",
                               .m_instances = 3,
                               .m_perSecond = { 8, 8, 40 },
                               .m_leastInTime = { 0.99, 0.99, 0.99 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::admission
