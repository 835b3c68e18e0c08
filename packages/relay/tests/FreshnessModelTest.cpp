// Enumerates all states that a few faults bring three followers into, and
// checks in each of them: a change is in force everywhere within two seconds
// once the faults no longer keep the instances from reading; the position of a
// table never goes back; every instance waits for some event; and an instance
// that has lost the store reports it.

#include "FreshnessModel.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <unordered_set>

namespace ridgeferry::relay {
namespace {

/** An accepted change must be in force within this time. */
constexpr int kInForceMs = 2000;

/** An event, and the index in `m_links` of the event before it. */
struct Link
{
  std::size_t m_before = 0;
  ModelEvent m_event;
};

/** A state, and the index in `m_links` of the event that led to it, from which
 * the report of a fault lists the whole path. */
struct Node
{
  FreshnessModel m_model;
  std::size_t m_link = 0;
};

const char*
NameOf(EventKind aWhat)
{
  constexpr std::array kNames = {
    "nothing",
    "a change",
    "store does not respond",
    "store refuses calls",
    "store available again",
    "store restored from an older copy",
    "messages lost",
    "read lost",
    "ignored",
    "heeded",
    "question to a peer fails",
    "restarts without data",
  };
  return kNames[static_cast<std::size_t>(aWhat)];
}

class Explorer
{
public:
  explicit Explorer(Budget aBudget)
    : m_links(1)
    , m_open{ { FreshnessModel(aBudget), 0 } }
  {
  }

  /** Visits all states. Stops at the first fault. */
  void Run()
  {
    while (!m_open.empty() && m_fault.empty()) {
      const Node node = std::move(m_open.back());
      m_open.pop_back();
      for (const ModelEvent& choice : node.m_model.Choices()) {
        Visit(node, choice);
      }
    }
  }

  std::size_t States() const { return m_seen.size(); }
  const std::string& Fault() const { return m_fault; }

private:
  void Visit(const Node& aFrom, const ModelEvent& aChoice)
  {
    Node next = aFrom;
    next.m_model.Apply(aChoice);
    next.m_model.PlayOn();
    if (!m_seen.insert(next.m_model.Digest()).second) {
      return;
    }
    next.m_link = m_links.size();
    m_links.push_back({ aFrom.m_link, aChoice });
    Check(next, next.m_model, "without a further change");
    if (next.m_model.IsServingAny()) {
      FreshnessModel changed = next.m_model;
      changed.Apply({ EventKind::Change });
      Check(next, changed, "after a change");
    }
    m_open.push_back(std::move(next));
  }

  /**
   * Checks that all instances are up to date soon if no further event happens.
   */
  void Check(const Node& aNode, const FreshnessModel& aModel, const char* aWhat)
  {
    if (!aModel.Fault().empty()) {
      Note(aNode, aModel, aModel.Fault());
    } else if (aModel.IsServingAny() && !aModel.AllAreUpToDate()) {
      PlayUntilFresh(aNode, aModel, aWhat);
    }
  }

  void PlayUntilFresh(const Node& aNode,
                      FreshnessModel aModel,
                      const char* aWhat)
  {
    const int until = aModel.DisturbedForMs() + kInForceMs;
    for (int at = 0; at < until && !aModel.AllAreUpToDate();
         at += FreshnessModel::kChoiceMs) {
      aModel.PlayOn();
    }
    if (!aModel.Fault().empty()) {
      Note(aNode, aModel, aModel.Fault());
    } else if (!aModel.AllAreUpToDate()) {
      Note(aNode,
           aModel,
           std::string("instances not up to date in time ") + aWhat);
    }
  }

  void Note(const Node& aNode,
            const FreshnessModel& aModel,
            const std::string& aFault)
  {
    if (m_fault.empty()) {
      m_fault = aFault + ": " + PathTo(aNode.m_link) + "; " + aModel.Describe();
    }
  }

  std::string PathTo(std::size_t aLink) const
  {
    std::vector<ModelEvent> path;
    for (; aLink != 0; aLink = m_links[aLink].m_before) {
      path.push_back(m_links[aLink].m_event);
    }
    std::string out;
    int at = 0;
    std::reverse(path.begin(), path.end());
    for (const ModelEvent& one : path) {
      if (one.m_what != EventKind::Nothing) {
        out += std::to_string(at) + " ms: " + NameOf(one.m_what) + " (" +
               std::to_string(one.m_who) + "), ";
      }
      at += FreshnessModel::kChoiceMs;
    }
    return out + std::to_string(at) + " ms";
  }

  std::vector<Link> m_links; ///< The first link is the initial state.
  std::vector<Node> m_open;
  std::unordered_set<std::uint64_t> m_seen;
  std::string m_fault;
};

/**
 * Returns the value of RIDGEFERRY_MODEL_FAULTS, the number of faults to
 * combine, or the usual number if it is not set.
 */
int
MostFaults()
{
  constexpr int kUsual = 1;
  const char* given = std::getenv("RIDGEFERRY_MODEL_FAULTS");
  return given == nullptr ? kUsual : std::atoi(given);
}

TEST(FreshnessModelTest, AllAreUpToDateSoonFromEveryState)
{
  Explorer explorer({ MostFaults(), 1 });
  explorer.Run();
  std::cout << explorer.States() << " states\n";
  EXPECT_EQ(explorer.Fault(), "");
  EXPECT_GT(explorer.States(), 1000U);
}

} // namespace
} // namespace ridgeferry::relay
