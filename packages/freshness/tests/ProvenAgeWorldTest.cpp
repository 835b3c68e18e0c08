// Instances that learn of a table from a store and from each other, in virtual
// time, with clocks of their own, slow answers, delayed and lost proofs, and a
// store that comes back from an older copy.

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/freshness/ProvenAge.h>

namespace ridgeferry::freshness {
namespace {

constexpr int kInstances = 3;
constexpr int kSteps = 120;

/** True time since the beginning of the world. */
using TrueTime = Duration;

struct TestInstance
{
  ProvenAge m_age;
  Duration m_clockOffset{}; ///< Own clock less true time.
  std::uint64_t m_held = 0; ///< Version of the last change held.
  StoreGeneration m_generation = 0;

  Instant At(TrueTime aTime) const { return Instant{ aTime + m_clockOffset }; }
  StorePosition Held() const { return { m_generation, m_held }; }
};

/** A proof of one instance that is under way to another. */
struct ProofUnderWay
{
  TableProof m_proof;
  int m_to = 0;
};

/** A reading of the store's clock that one instance asked another for. */
struct ReadingUnderWay
{
  StoreMoment m_told;
  Instant m_asked; ///< By the clock of `m_to`.
  int m_to = 0;
};

struct ReadUnderWay
{
  StoreMoment m_told;
  StorePosition m_position;
  Instant m_asked; ///< By the clock of `m_by`.
  int m_by = 0;
};

class World
{
public:
  World()
  {
    for (TestInstance& instance : m_instances) {
      instance.m_clockOffset = Duration{ *rc::gen::inRange(-50'000, 50'000) };
    }
    m_storeOffset = Duration{ *rc::gen::inRange(0, 50'000) };
  }

  void Step()
  {
    m_now += Duration{ *rc::gen::inRange(0, 400) };
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        m_changes.push_back(m_now);
        break;
      case 1:
      case 2:
        BeginRead();
        break;
      case 3:
        EndRead();
        break;
      case 4:
        TellProof();
        break;
      case 5:
        DeliverProof();
        break;
      case 6:
        *rc::gen::arbitrary<bool>() ? AskReading() : DeliverReading();
        break;
      default:
        if (*rc::gen::inRange(0, 12) == 0) {
          ComeBackOlder();
        }
        break;
    }
  }

  /** Whoever proves an age holds all changes that are older. */
  bool Holds() const
  {
    return std::all_of(
      m_instances.begin(), m_instances.end(), [this](const auto& aInstance) {
        const auto age = aInstance.m_age.AgeAt(aInstance.At(m_now));
        if (!age) {
          return true;
        }
        const auto acknowledged = std::count_if(
          m_changes.begin(), m_changes.end(), [&](TrueTime aChange) {
            return aChange < m_now - *age;
          });
        return aInstance.m_generation < m_generation
                 ? *age >= m_now - m_cameBack
                 : aInstance.m_held >= static_cast<std::uint64_t>(acknowledged);
      });
  }

private:
  int Any() const { return *rc::gen::inRange(0, kInstances); }
  std::uint64_t Version() const { return m_changes.size(); }
  StoreMoment Told() const { return { m_generation, m_now + m_storeOffset }; }

  void BeginRead()
  {
    ReadUnderWay read;
    read.m_by = Any();
    read.m_asked = m_instances[read.m_by].At(m_now);
    // The store may hold the read for a while before it answers.
    m_now += Duration{ *rc::gen::inRange(0, 2000) };
    read.m_told = Told();
    read.m_position = { m_generation, Version() };
    m_reads.push_back(read);
  }

  void EndRead()
  {
    if (m_reads.empty()) {
      return;
    }
    const auto which = *rc::gen::inRange<std::size_t>(0, m_reads.size());
    const ReadUnderWay read = m_reads[which];
    m_reads.erase(m_reads.begin() + static_cast<std::ptrdiff_t>(which));
    TestInstance& reader = m_instances[read.m_by];
    if (read.m_position < reader.Held()) {
      return; // As a follower of a table rejects an answer that is older.
    }
    reader.m_generation = read.m_position.m_generation;
    reader.m_held = read.m_position.m_version;
    reader.m_age.NoteRead(read.m_told, read.m_asked, reader.At(m_now));
  }

  void TellProof()
  {
    const TestInstance& from = m_instances[Any()];
    if (const auto proof = from.m_age.ProofFor(from.Held())) {
      m_proofs.push_back({ *proof, Any() });
    }
  }

  void DeliverProof()
  {
    if (m_proofs.empty()) {
      return;
    }
    const ProofUnderWay told =
      m_proofs[*rc::gen::inRange<std::size_t>(0, m_proofs.size())];
    TestInstance& to = m_instances[told.m_to];
    to.m_age.NotePeerProof(told.m_proof, to.Held(), to.At(m_now));
  }

  void AskReading()
  {
    const int by = Any();
    const Instant asked = m_instances[by].At(m_now);
    m_now += Duration{ *rc::gen::inRange(0, 300) };
    const TestInstance& from = m_instances[Any()];
    if (const auto told = from.m_age.Clock().LatestReading(from.At(m_now))) {
      m_readings.push_back({ *told, asked, by });
    }
  }

  void DeliverReading()
  {
    if (m_readings.empty()) {
      return;
    }
    const ReadingUnderWay told =
      m_readings[*rc::gen::inRange<std::size_t>(0, m_readings.size())];
    TestInstance& to = m_instances[told.m_to];
    to.m_age.NoteReading(told.m_told, told.m_asked, to.At(m_now));
  }

  void ComeBackOlder()
  {
    ++m_generation;
    m_cameBack = m_now;
    m_changes.resize(*rc::gen::inRange<std::size_t>(0, m_changes.size() + 1));
    m_storeOffset = Duration{ *rc::gen::inRange(0, 50'000) };
  }

  std::array<TestInstance, kInstances> m_instances;
  TrueTime m_now{ 100'000 };
  Duration m_storeOffset{}; ///< The store's clock less true time.
  StoreGeneration m_generation = 0;
  TrueTime m_cameBack{};
  std::vector<TrueTime> m_changes; ///< Acknowledged changes, oldest first.
  std::vector<ReadUnderWay> m_reads;
  std::vector<ProofUnderWay> m_proofs;
  std::vector<ReadingUnderWay> m_readings;
};

// A key that was taken away ran for as long as an instance believed in a
// configuration that it could no longer read.
TEST(ProvenAgeWorldTest, WhoProvesAnAgeHoldsAllOlderChanges)
{
  EXPECT_TRUE(rc::check("no change older than the proven age is missing", [] {
    World world;
    for (int i = 0; i < kSteps; ++i) {
      world.Step();
      RC_ASSERT(world.Holds());
    }
  }));
}

} // namespace
} // namespace ridgeferry::freshness
