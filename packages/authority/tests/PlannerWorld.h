#pragma once

#include "MemoryTable.h"
#include "Schedule.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ridgeferry/authority/Lease.h>
#include <ridgeferry/authority/OrderDesk.h>
#include <set>
#include <string>
#include <vector>

namespace ridgeferry::authority {

/** The world's one engine. */
inline const std::string kEngine = "engine";
/** A scripted pause: a takeover and a successor's orders fit into it. */
inline constexpr int kPausedRounds = 110;

/**
 * Several planners, engines and a table in virtual time. Every step of a
 * planner (an answer that arrives, a tick, the check before a send, the send
 * itself) is one step of the schedule, so pauses, kills and takings fall
 * between any two of them. Messages are delivered in any order, late, or
 * never. What an engine must never see is written to `Faults`.
 */
class PlannerWorld
{
public:
  using Chooser = support::Chooser;

  struct Options
  {
    bool m_checksFencing = false; ///< Of the engine.
    bool m_disturbances = true;   ///< Kills, pauses, losses.
  };

  explicit PlannerWorld(Options aOptions);

  void Step(std::uint32_t aNumber);

  /** What may go wrong in one round of a scripted run. */
  enum class Deviation
  {
    None,
    KillFirst,       ///< Kill the planner that has lived longest.
    PauseFirst,      ///< Pause it until long after a takeover.
    PauseBeforeSend, ///< Pause whoever sends next, after its check.
    DropOldest,      ///< Lose the oldest message.
    HoldOldest,      ///< Keep it back for a while.
    RestartEngine,
    FlipTarget, ///< An operator wants the other role.
  };

  /**
   * One round of a run without chance: each planner does one step, the two
   * oldest messages arrive, a report leaves now and then, time goes on.
   */
  void Round(Deviation aDeviation);
  /** Ends all disturbances and runs until the engine is as wanted. */
  bool Settles();
  const std::vector<std::string>& Faults() const { return m_faults; }
  std::size_t OrdersTaken() const { return m_taken.size(); }

private:
  struct Planner
  {
    std::string m_id;
    std::unique_ptr<Lease> m_lease;
    std::unique_ptr<OrderDesk> m_desk;
    std::deque<std::function<void()>> m_todo; ///< What it does next, in order.
    bool m_paused = false;
    bool m_alive = true;
  };

  /** Something on its way; it is dropped when it is too old. */
  struct Message
  {
    Instant m_sentAt;
    std::function<void()> m_deliver;
    std::function<void()> m_drop;
  };

  struct Engine
  {
    EngineState m_state;
    FencingNumber m_highest = 0;
    std::optional<Instant> m_changeEnd;
    OrderKind m_change = DrainOrder{};
    int m_boots = 0;
  };

  void AddPlanner();
  Planner* Find(const std::string& aId);
  void PlannerStep(Planner& aPlanner);
  void Feed(const std::string& aPlanner, std::function<void(Planner&)> aEvent);
  void OnLease(Planner& aPlanner, const LeaseEvent& aEvent);
  void OnDesk(Planner& aPlanner, const DeskEvent& aEvent);
  void Do(const std::string& aPlanner, const LeaseAction& aAction);
  void Do(const std::string& aPlanner, const DeskAction& aAction);
  void CommitFor(
    const std::string& aPlanner,
    const table::Transaction& aTransaction,
    const std::function<void(Planner&, table::CommitResult)>& aDone);
  void SendOrder(const std::string& aPlanner, const Order& aOrder);
  void TakeOrder(const std::string& aPlanner, const Order& aOrder);
  void Report(Chooser& aChoose);
  void EngineStep(Chooser& aChoose);
  void Disturb(Chooser& aChoose);
  void Deviate(Deviation aDeviation);
  void PauseFor(Planner& aPlanner, int aRounds);
  void WakeDue();
  void DeliverAt(std::size_t aIndex);
  void RestartEngine();
  void EndChange();
  void SendReport(const std::string& aPlanner);
  void Kill(Planner& aPlanner);
  void Advance(Duration aBy);
  void CheckHolders();
  void Fault(std::string aWhat) { m_faults.push_back(std::move(aWhat)); }

  Options m_options;
  Instant m_now{ Duration{ 1'000'000 } };
  support::MemoryTable m_table;
  std::vector<std::unique_ptr<Planner>> m_planners;
  std::vector<Message> m_network;
  std::vector<std::pair<int, Message>> m_held; ///< With the round to let go.
  int m_round = 0;
  bool m_pauseBeforeSend = false;
  /** Planners that a scripted run paused, with the round to wake them. */
  std::vector<std::pair<int, std::string>> m_wakes;
  Engine m_engine;
  EngineTarget m_target;
  std::set<std::string> m_taken;
  std::map<std::string, std::uint64_t> m_recordedAt; ///< Order to its place.
  std::uint64_t m_lastTakenPlace = 0;
  int m_lastPlanner = 0;
  std::vector<std::string> m_faults;
};

} // namespace ridgeferry::authority
