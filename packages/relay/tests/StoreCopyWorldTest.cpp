// Simulates followers of a store that is restored from older copies, in virtual
// time. Each restoration starts a new generation of the store. Each follower
// meets the next generation at a different moment, messages and answers are
// lost or late, and rows that the restored copy lacks are written again some
// time later.

#include "Positions.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <limits>
#include <random>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/TableFollower.h>

namespace ridgeferry::relay {
namespace {

constexpr int kNever = std::numeric_limits<int>::max();

/** How the store behaves while it is unavailable. */
enum class Away
{
  /** Reads that the store holds and reads that arrive fail at once. */
  Resets,
  Unresponsive, ///< Reads are never answered.
};

/**
 * `kRising` is the row of the configuration, whose value only rises. The
 * `kOthers` other rows are added and removed.
 */
constexpr const char* kRising = "c";
constexpr int kOthers = 4;

std::string
Number(int aValue)
{
  constexpr std::size_t kDigits = 6;
  const std::string digits = std::to_string(aValue);
  return std::string(kDigits - digits.size(), '0') + digits;
}

bool
KeepsRising(std::string_view aKey,
            std::string_view aKnown,
            const std::string* aTold)
{
  return aKey == kRising && (aTold == nullptr || *aTold < aKnown);
}

class World
{
public:
  static constexpr std::size_t kPollers = 2;
  static constexpr int kStepMs = 5;
  /** Time between two messages of an instance to all others. */
  static constexpr int kMessageIntervalMs = 70;
  static constexpr int kTickMs = 200;
  /** Longest time that a read or an answer takes to arrive, in milliseconds. */
  static constexpr int kMostLateMs = 100;
  /** One in this number of messages and of peers' answers is lost. */
  static constexpr int kLosesOneOf = 4;

  World(std::size_t aCount, Away aHow, unsigned aSeed)
    : m_how(aHow)
    , m_random(aSeed)
  {
    m_store.Replace({}, { 0, 1 });
    Write(kRising, Number(1));
    for (std::size_t i = 0; i < aCount; ++i) {
      m_nodes.emplace_back();
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      Take(i, PollingChanged{ i < kPollers, i < kPollers });
      Take(i, TableRead{ m_store.Since({}).m_rows, m_store.Position() });
    }
    KeepCopy();
  }

  void KeepCopy() { m_copy = m_store; }

  /**
   * Some client writes a row, and will write it again if the store loses it.
   */
  void Change()
  {
    ++m_value;
    if (Draw(3) == 0) {
      m_written[kRising] = Number(m_value);
    } else {
      const std::string key = "u" + std::to_string(Draw(kOthers));
      m_written[key] = Draw(4) == 0 ? "" : Number(m_value);
    }
    if (!m_isAway) {
      WriteAgain();
    }
  }

  void GoAway()
  {
    m_isAway = true;
    for (Node& node : m_nodes) {
      Lose(node.m_read); // The store no longer holds any read.
    }
  }

  void ComeBackFromCopy()
  {
    m_isAway = false;
    const StoreGeneration next = m_store.Position().m_generation + 1;
    const TableSlice rows = m_copy.Since({});
    m_store = m_copy;
    m_store.Replace(rows.m_rows, { next, m_copy.Position().m_version });
  }

  /** The clients write again the rows that the store has lost. */
  void WriteAgain()
  {
    for (const auto& [key, value] : m_written) {
      if (ValueOf(m_store, key) != value) {
        Write(key, value);
      }
    }
  }

  void Play(int aForMs)
  {
    const int until = m_now + aForMs;
    for (; m_now < until; m_now += kStepMs) {
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        Step(i);
      }
    }
  }

  bool AllHaveTheStoresRows() const
  {
    return std::all_of(
      m_nodes.begin(), m_nodes.end(), [this](const Node& aNode) {
        return aNode.m_follower.Position().m_generation ==
                 m_store.Position().m_generation &&
               aNode.m_rows == Rows(m_store);
      });
  }
  /**
   * Returns whether the rising row's value and the positions of all followers
   * have never fallen.
   */
  bool NothingFell() const { return m_nothingFell; }

private:
  using Values = std::map<std::string, std::string>;

  /** A read of the store that is under way. */
  struct Read
  {
    bool m_isWhole = false;
    StorePosition m_after = {};
    /**
     * True while the store holds the read, until it has something to answer.
     */
    bool m_isHeld = false;
    int m_arrivesAt = kNever;
    int m_heldUntil = kNever;
    int m_failsAt = kNever;
    int m_answeredAt = kNever;
    FollowEvent m_answer = FollowStarted{};
  };

  struct Node
  {
    TableFollower m_follower{ KeepsRising };
    Read m_read;
    int m_dueAt = kNever;
    int m_peerAt = kNever;
    StorePosition m_askedAfter;
    bool m_lost = false;
    Values m_rows; ///< The rows as the follower reported them.
    StorePosition m_position;
  };

  int Draw(int aBelow)
  {
    return std::uniform_int_distribution<>(0, aBelow - 1)(m_random);
  }
  bool Loses() { return Draw(kLosesOneOf) == 0; }
  Instant Now() const { return Instant{ Duration{ m_now } }; }

  static Values Rows(const FollowedTable& aTable)
  {
    Values out;
    for (const FollowedRow& row : aTable.Since({}).m_rows) {
      out[row.m_key] = row.m_value;
    }
    return out;
  }
  static std::string ValueOf(const FollowedTable& aTable,
                             const std::string& aKey)
  {
    const Values rows = Rows(aTable);
    const auto found = rows.find(aKey);
    return found == rows.end() ? "" : found->second;
  }

  void Write(const std::string& aKey, const std::string& aValue)
  {
    m_written[aKey] = aValue;
    StorePosition at = m_store.Position();
    ++at.m_version;
    const FollowedRow row{ aKey, aValue, aValue.empty(), at.m_version };
    m_store.Apply(std::vector<FollowedRow>{ row }, at);
  }

  void Take(std::size_t aWho, const FollowEvent& aEvent)
  {
    Node& node = m_nodes[aWho];
    for (const FollowAction& action : node.m_follower.Handle(aEvent, Now())) {
      std::visit([&](const auto& aTyped) { Do(node, aTyped); }, action);
    }
    const StorePosition position = node.m_follower.Position();
    m_nothingFell = m_nothingFell && position >= node.m_position;
    node.m_position = position;
  }

  void Do(Node& aNode, const ApplyRows& aRows)
  {
    for (const FollowedRow& row : aRows.m_rows) {
      if (row.m_removed) {
        m_nothingFell = m_nothingFell && row.m_key != kRising;
        aNode.m_rows.erase(row.m_key);
        continue;
      }
      std::string& held = aNode.m_rows[row.m_key];
      m_nothingFell =
        m_nothingFell && (row.m_key != kRising || held <= row.m_value);
      held = row.m_value;
    }
  }
  void Do(Node& aNode, const ReadTable& aRead)
  {
    Send(aNode, { true, {} }, aRead.m_readTimeout);
  }
  void Do(Node& aNode, const ReadChanges& aRead)
  {
    Send(aNode, { false, aRead.m_after }, aRead.m_readTimeout);
    aNode.m_read.m_heldUntil =
      aNode.m_read.m_arrivesAt + static_cast<int>(aRead.m_wait.count());
  }
  void Send(Node& aNode, Read aRead, Duration aPatience)
  {
    aNode.m_read = std::move(aRead);
    aNode.m_read.m_arrivesAt = m_now + Draw(kMostLateMs);
    aNode.m_read.m_failsAt = m_now + static_cast<int>(aPatience.count());
  }
  void Do(Node& aNode, const CancelRead&) { aNode.m_read = {}; }
  void Do(Node& aNode, const RetryLater& aLater)
  {
    const int within = static_cast<int>(aLater.m_jitter.count());
    aNode.m_dueAt =
      m_now + static_cast<int>(aLater.m_delay.count()) + Draw(within + 1);
  }
  void Do(Node& aNode, const AskPeer& aAsk)
  {
    const int within = static_cast<int>(aAsk.m_jitter.count());
    aNode.m_peerAt = m_now + Draw(within + 1) + 1;
    aNode.m_askedAfter = aAsk.m_after;
  }
  void Do(Node& aNode, const StoreLost&) { aNode.m_lost = true; }
  void Do(Node& aNode, const StoreBack&) { aNode.m_lost = false; }
  void Do(Node&, const AnswerIsOld&) {}

  void Step(std::size_t aWho)
  {
    Node& node = m_nodes[aWho];
    if (m_now % kTickMs == 0) {
      UpdatePolling(aWho);
    }
    if (m_now >= node.m_dueAt) {
      node.m_dueAt = kNever;
      Take(aWho, RetryDue{});
    }
    if (m_now >= node.m_peerAt) {
      node.m_peerAt = kNever;
      AnswerAsPeer(aWho);
    }
    StepRead(aWho);
    if (m_now % kMessageIntervalMs == static_cast<int>(aWho) * kStepMs) {
      NotifyPeers(aWho);
    }
    // Now and then, another call of the instance to the store reveals the
    // generation.
    if (!m_isAway && Draw(400) == 0) {
      Take(aWho, GenerationSeen{ m_store.Position().m_generation });
    }
  }

  void UpdatePolling(std::size_t aWho)
  {
    bool hears = false;
    for (std::size_t i = 0; i < std::min(kPollers, m_nodes.size()); ++i) {
      hears = hears || (i != aWho && !m_nodes[i].m_lost);
    }
    Take(aWho, PollingChanged{ aWho < kPollers || !hears, aWho < kPollers });
  }

  void AnswerAsPeer(std::size_t aWho)
  {
    const StorePosition after = m_nodes[aWho].m_askedAfter;
    for (const Node& other : m_nodes) {
      if (other.m_follower.ChangedPosition() > after && !Loses()) {
        Take(aWho, PeerAnswered{ other.m_follower.Since(after) });
        return;
      }
    }
    Take(aWho, PeerFailed{});
  }

  void NotifyPeers(std::size_t aWho)
  {
    const StorePosition position = m_nodes[aWho].m_follower.ChangedPosition();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (i != aWho && !Loses()) {
        Take(i, PeerIsAhead{ position });
      }
    }
  }

  void StepRead(std::size_t aWho)
  {
    Read& read = m_nodes[aWho].m_read;
    if (m_now >= read.m_answeredAt) {
      const FollowEvent answer = std::exchange(read, {}).m_answer;
      Take(aWho, answer);
      return;
    }
    if (m_now >= read.m_failsAt) {
      read = {};
      Take(aWho, ReadFailed{ "no answer" });
      return;
    }
    if (m_now >= read.m_arrivesAt) {
      read.m_arrivesAt = kNever;
      read.m_isHeld = true;
      if (m_isAway) {
        Lose(read);
      }
    }
    if (read.m_isHeld) {
      Answer(read);
    }
  }

  /** The store drops a read that it holds. */
  void Lose(Read& aRead) const
  {
    if (std::exchange(aRead.m_isHeld, false) && m_how == Away::Resets) {
      aRead.m_failsAt = m_now;
    }
  }

  /**
   * Answers as the store does: it compares versions without knowing which
   * generation the reader's version belongs to.
   */
  void Answer(Read& aRead)
  {
    const StorePosition now = m_store.Position();
    const std::uint64_t after = aRead.m_after.m_version;
    const TableSlice changes =
      m_store.Since({ now.m_generation, aRead.m_isWhole ? 0 : after });
    if (aRead.m_isWhole) {
      aRead.m_answer = TableRead{ changes.m_rows, now };
    } else if (after > now.m_version || changes.m_whole) {
      aRead.m_answer = HistoryLost{ now.m_generation };
    } else if (!changes.m_rows.empty() || m_now >= aRead.m_heldUntil) {
      aRead.m_answer = ChangesRead{ changes.m_rows, now };
    } else {
      return;
    }
    aRead.m_isHeld = false;
    aRead.m_answeredAt = m_now + Draw(kMostLateMs);
  }

  Away m_how;
  std::mt19937 m_random;
  std::vector<Node> m_nodes;
  FollowedTable m_store;
  FollowedTable m_copy;
  bool m_isAway = false;
  /** Rows written by clients. An empty value means that the row was removed. */
  Values m_written;
  int m_value = 1;
  int m_now = 0;
  bool m_nothingFell = true;
};

/**
 * An accepted change must be in force within two seconds. Half a second of it
 * is reserved for the code that uses the rows and for slow instances.
 */
constexpr int kInForceMs = 1500;
/**
 * Changes accepted before the outage must be in force three seconds after the
 * store's return, less a margin as above. If the store's version counter is
 * back at the very version that an instance has read, the store holds that
 * instance's next read for the full time, because it cannot tell that the
 * version belongs to another generation.
 */
constexpr int kBehindReturnMs = 2700;
/** Longest time until a held read that was lost counts as failed. */
constexpr int kHeldReadMs = static_cast<int>(
  (TableFollower::kPollWait + TableFollower::kResponseMargin).count());

TEST(StoreCopyWorldTest, ChangesAreInForceSoonBehindAnyNumberOfCopies)
{
  EXPECT_TRUE(rc::check("copies", [] {
    const auto how = *rc::gen::element(Away::Resets, Away::Unresponsive);
    const auto count = *rc::gen::inRange<std::size_t>(1, 7);
    World world(count, how, *rc::gen::arbitrary<unsigned>());
    int awayMs = 0;
    for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
      for (int change = *rc::gen::inRange(0, 20); change > 0; --change) {
        world.Change();
        world.Play(*rc::gen::inRange(0, 400));
        if (*rc::gen::inRange(0, 5) == 0) {
          world.KeepCopy();
        }
      }
      // The outage lasts long enough that no call on its way reaches the store
      // both before and after it.
      awayMs = *rc::gen::inRange(2 * World::kMostLateMs, 4000);
      world.GoAway();
      world.Play(awayMs);
      world.ComeBackFromCopy();
      RC_ASSERT(world.NothingFell());
    }
    // The clients write again the rows that were lost, and one more change.
    const int rewrittenMs = *rc::gen::inRange(0, 500);
    world.Play(rewrittenMs);
    world.WriteAgain();
    world.Change();
    const int noticedMs =
      how == Away::Unresponsive ? std::max(0, kHeldReadMs - awayMs) : 0;
    world.Play(
      std::max(noticedMs + 300 + kInForceMs, kBehindReturnMs - rewrittenMs));
    RC_ASSERT(world.NothingFell());
    RC_ASSERT(world.AllHaveTheStoresRows());
  }));
}

} // namespace
} // namespace ridgeferry::relay
