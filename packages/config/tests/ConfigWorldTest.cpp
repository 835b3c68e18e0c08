#include "MemoryTable.h"
#include "Schedule.h"

#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <ridgeferry/base/Overloaded.h>
#include <ridgeferry/config/Committer.h>
#include <ridgeferry/config/Replica.h>
#include <set>

namespace ridgeferry::config {
namespace {

declared::Edit
PutOrganisation(const std::string& aName)
{
  return declared::PutObject{ "team/" + aName,
                              R"({"kind":"team","name":")" + aName + R"("})" };
}

/**
 * Simulates instances with a replica each, operators who submit changes through
 * them concurrently, and one table. Answers of the table are delayed or lost,
 * peers announce their revisions to each other, and a process may be replaced
 * by a new one.
 */
class ConfigWorld
{
public:
  explicit ConfigWorld(std::size_t aInstances)
    : m_nodes(aInstances)
  {
  }

  void Step(std::uint32_t aNumber)
  {
    support::Chooser choose(aNumber);
    m_now += Duration(static_cast<int>(choose.Below(300)));
    const std::size_t at = choose.Below(m_nodes.size());
    switch (choose.Below(8)) {
      case 0:
        Submit(at);
        break;
      case 1:
        ReadHead(at);
        break;
      case 2:
        Hear(at, choose.Below(m_nodes.size()));
        break;
      case 3:
        Feed(at, ReplicaTick{});
        break;
      case 4:
        if (choose.OneIn(8)) {
          Replace(at);
        }
        break;
      default:
        Deliver(choose);
        break;
    }
  }

  /**
   * Returns whether all replicas reach the table's head once no further faults
   * occur.
   */
  bool Converges()
  {
    constexpr int kRounds = 200;
    for (int i = 0; i < kRounds; ++i) {
      m_now += Duration{ 400 };
      while (!m_network.empty()) {
        const auto message = m_network.front();
        m_network.erase(m_network.begin());
        message(false);
      }
      for (std::size_t at = 0; at < m_nodes.size(); ++at) {
        ReadHead(at);
        Feed(at, ReplicaTick{});
      }
    }
    const Revision head = HeadRevision();
    for (const Node& node : m_nodes) {
      if (node.m_replica.InForce() != head) {
        return false;
      }
    }
    return true;
  }

  Revision HeadRevision() const
  {
    return DecodeHead(m_table.Read(std::string(kHeadKey)).m_value)->m_revision;
  }

  /**
   * Checks that every change reported as accepted is in the table, that none
   * reported as stale or unavailable is, and that no revision is missing and no
   * change is there twice.
   */
  void CheckAnswers()
  {
    std::set<std::string> written;
    for (Revision i = 1; i <= HeadRevision(); ++i) {
      const auto row = DecodeChange(m_table.Read(ChangeKey(i)).m_value);
      if (!row || row->m_revision != i) {
        m_faults.push_back("revision " + std::to_string(i) + " is missing");
        return;
      }
      if (!written.insert(row->m_id).second) {
        m_faults.push_back("change " + row->m_id + " was accepted twice");
      }
    }
    for (const auto& [id, result] : m_results) {
      const bool there = written.contains(id);
      if (result == SubmitResult::Accepted && !there) {
        m_faults.push_back("accepted change " + id + " is not in the table");
      }
      const bool refused =
        result == SubmitResult::Stale || result == SubmitResult::Unavailable;
      if (refused && there) {
        m_faults.push_back("refused change " + id + " is in the table");
      }
    }
  }

  const std::vector<std::string>& Faults() const { return m_faults; }
  std::size_t Answers() const { return m_results.size(); }

private:
  struct Node
  {
    Replica m_replica;
    int m_incarnation = 0;
  };

  void Feed(std::size_t aAt, const ReplicaEvent& aEvent)
  {
    Node& node = m_nodes[aAt];
    const Revision before = node.m_replica.InForce();
    const auto actions = node.m_replica.Handle(aEvent, m_now);
    if (node.m_replica.InForce() < before) {
      m_faults.emplace_back("the revision in force decreased");
    }
    for (const ReplicaAction& action : actions) {
      if (const auto* fetch = std::get_if<FetchChanges>(&action)) {
        Fetch(aAt, *fetch);
      }
      if (std::holds_alternative<ApplyFailed>(action)) {
        m_faults.emplace_back("an accepted change could not be applied");
      }
    }
  }

  /**
   * Delivers the event only if the process that asked has not been replaced
   * since.
   */
  void FeedIfNotReplaced(std::size_t aAt,
                         int aIncarnation,
                         const ReplicaEvent& aEvent)
  {
    if (m_nodes[aAt].m_incarnation == aIncarnation) {
      Feed(aAt, aEvent);
    }
  }

  void Fetch(std::size_t aAt, const FetchChanges& aFetch)
  {
    const int incarnation = m_nodes[aAt].m_incarnation;
    m_network.push_back([this, aAt, incarnation, aFetch](bool aLost) {
      if (aLost) {
        FeedIfNotReplaced(aAt, incarnation, FetchFailed{});
        return;
      }
      if (!aFetch.m_peer.empty()) {
        // A peer sends its whole configuration.
        const Replica& peer = m_nodes[std::stoul(aFetch.m_peer)].m_replica;
        FeedIfNotReplaced(
          aAt,
          incarnation,
          SnapshotArrived{ peer.InForce(), peer.Catalog().Texts() });
        return;
      }
      ChangesArrived arrived;
      for (Revision i = aFetch.m_after + 1; i <= HeadRevision(); ++i) {
        arrived.m_changes.push_back(
          *DecodeChange(m_table.Read(ChangeKey(i)).m_value));
      }
      FeedIfNotReplaced(aAt, incarnation, arrived);
    });
  }

  void ReadHead(std::size_t aAt)
  {
    const int incarnation = m_nodes[aAt].m_incarnation;
    m_network.push_back([this, aAt, incarnation](bool aLost) {
      if (!aLost) {
        FeedIfNotReplaced(aAt, incarnation, RevisionSeen{ HeadRevision(), {} });
      }
    });
  }

  void Hear(std::size_t aAt, std::size_t aFrom)
  {
    const Revision revision = m_nodes[aFrom].m_replica.InForce();
    const int incarnation = m_nodes[aAt].m_incarnation;
    m_network.push_back([this, aAt, incarnation, aFrom, revision](bool aLost) {
      if (!aLost) {
        FeedIfNotReplaced(
          aAt, incarnation, RevisionSeen{ revision, std::to_string(aFrom) });
      }
    });
  }

  void Replace(std::size_t aAt)
  {
    m_nodes[aAt].m_replica = Replica();
    ++m_nodes[aAt].m_incarnation;
  }

  void Submit(std::size_t aAt)
  {
    const Revision base = m_nodes[aAt].m_replica.InForce();
    const std::string id = "change-" + std::to_string(++m_lastChange);
    Change change;
    change.m_id = id;
    change.m_edits = { PutOrganisation("team" +
                                       std::to_string(m_lastChange % 7)) };
    auto committer = std::make_shared<Committer>(std::move(change), base);
    Drive(committer, id, committer->Start());
  }

  void Drive(const std::shared_ptr<Committer>& aCommitter,
             const std::string& aId,
             const CommitAction& aAction)
  {
    const auto read = [&](const std::string& aKey, auto aMakeEvent) {
      m_network.push_back(
        [this, aCommitter, aId, aKey, aMakeEvent](bool aLost) {
          table::ReadResult result;
          if (!aLost) {
            result = { table::ReadStatus::Ok, m_table.Read(aKey) };
          }
          Drive(aCommitter, aId, aCommitter->Handle(aMakeEvent(result)));
        });
    };
    std::visit(
      Overloaded{
        [&](const config::ReadHead&) {
          read(std::string(kHeadKey), [](const table::ReadResult& aResult) {
            return CommitEvent(HeadRead{ aResult });
          });
        },
        [&](const ReadChangeRow& aRead) {
          read(aRead.m_key, [](const table::ReadResult& aResult) {
            return CommitEvent(ChangeRowRead{ aResult });
          });
        },
        [&](const WriteChange& aWrite) {
          Write(aCommitter, aId, aWrite.m_transaction);
        },
        [&](const SubmitDone& aDone) { m_results[aId] = aDone.m_result; } },
      aAction);
  }

  void Write(const std::shared_ptr<Committer>& aCommitter,
             const std::string& aId,
             const table::Transaction& aTransaction)
  {
    m_network.push_back([this, aCommitter, aId, aTransaction](bool aLost) {
      if (aLost) {
        // The write is slow, not lost: it takes effect after the committer has
        // stopped waiting for its answer.
        m_network.push_back(
          [this, aTransaction](bool) { m_table.Commit(aTransaction); });
        Drive(
          aCommitter,
          aId,
          aCommitter->Handle(CommitAnswered{ table::CommitResult::Unknown }));
        return;
      }
      const auto result = m_table.Commit(aTransaction)
                            ? table::CommitResult::Committed
                            : table::CommitResult::Conflict;
      m_network.push_back([this, aCommitter, aId, result](bool aAnswerLost) {
        Drive(aCommitter,
              aId,
              aCommitter->Handle(CommitAnswered{
                aAnswerLost ? table::CommitResult::Unknown : result }));
      });
    });
  }

  void Deliver(support::Chooser& aChoose)
  {
    if (m_network.empty()) {
      return;
    }
    const std::size_t next = aChoose.Below(m_network.size());
    const auto message = m_network[next];
    m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(next));
    message(aChoose.OneIn(6));
  }

  Instant m_now{ Duration{ 1'000'000 } };
  support::MemoryTable m_table;
  std::vector<Node> m_nodes;
  std::vector<std::function<void(bool)>> m_network;
  std::map<std::string, SubmitResult> m_results;
  std::vector<std::string> m_faults;
  int m_lastChange = 0;
};

TEST(ConfigWorldTest, NeverRevertsAndConvergesInAnySchedule)
{
  std::size_t answers = 0;
  Revision highest = 0;
  EXPECT_TRUE(rc::check("the configuration never reverts", [&]() {
    constexpr std::size_t kSteps = 300;
    const auto schedule = *support::AnySchedule(kSteps);
    ConfigWorld world(*rc::gen::inRange<std::size_t>(2, 5));
    for (std::uint32_t number : schedule) {
      world.Step(number);
    }
    RC_ASSERT(world.Converges());
    world.CheckAnswers();
    answers += world.Answers();
    highest = std::max(highest, world.HeadRevision());
    RC_ASSERT(world.Faults() == std::vector<std::string>());
  }));
  EXPECT_GT(answers, 0U);
  EXPECT_GT(highest, 2U) << "no schedule ever committed more than two changes";
}

} // namespace
} // namespace ridgeferry::config
