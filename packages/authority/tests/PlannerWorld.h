#pragma once

#include "MemoryTable.h"
#include "Schedule.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ridgeferry/authority/Lease.h>
#include <ridgeferry/authority/OrderController.h>
#include <set>
#include <string>
#include <vector>

namespace ridgeferry::authority {

/** Name of the only engine in the simulation. */
inline const std::string kEngine = "engine";
/**
 * Length of a scripted pause of a planner, in rounds. Another planner can
 * acquire the lease and send its own orders within this pause.
 */
inline constexpr int kPausedRounds = 110;

/**
 * Simulation of several planners, one engine and the store in virtual time.
 * Every step of a planner (the arrival of an answer, a tick, the check before
 * an order is sent, the sending itself) is one step of the schedule, so a
 * pause, a kill or an acquisition of the lease can fall between any two steps.
 * Messages are delivered in any order, late, or never. The simulation checks
 * what must never happen, such as an order that the engine accepts twice, and
 * adds each violation to `Faults`.
 */
class PlannerWorld
{
public:
  using Chooser = support::Chooser;

  struct Options
  {
    /** Whether the engine refuses orders with old fencing numbers. */
    bool m_checksFencing = false;
    /** Whether the schedule also draws kills, pauses, lost messages, restarts
     * of the engine and changes of its target. */
    bool m_disturbances = true;
  };

  explicit PlannerWorld(Options aOptions);

  /** Executes one step of a random schedule; `aNumber` determines which one. */
  void Step(std::uint32_t aNumber);

  /** A failure or change that a scripted run injects in one round. */
  enum class Deviation
  {
    None,
    KillFirst, ///< Kill the planner that has run longest.
    /** Pause the planner that has run longest until long after another planner
     * has acquired the lease. */
    PauseFirst,
    /** Pause the planner that sends the next order, after it has checked its
     * authority and before it sends. */
    PauseBeforeSend,
    DropOldest,  ///< Lose the oldest message.
    DelayOldest, ///< Delay the oldest message by some rounds.
    RestartEngine,
    FlipTarget, ///< Change the target to the other role.
  };

  /**
   * Executes one round of a run without random choices: injects `aDeviation`,
   * executes one step of each planner, delivers the two oldest messages, sends
   * the engine's report every few rounds, and advances the time.
   */
  void Round(Deviation aDeviation);
  /**
   * Ends all disturbances and runs until the engine has reached its target.
   * Returns false if the engine has not reached it after a bounded number of
   * steps.
   */
  bool ReachesTarget();
  /** Returns a description of each violation that the simulation has seen. */
  const std::vector<std::string>& Faults() const { return m_faults; }
  std::size_t OrdersTaken() const { return m_taken.size(); }

private:
  struct Planner
  {
    std::string m_id;
    std::unique_ptr<Lease> m_lease;
    std::unique_ptr<OrderController> m_orderController;
    std::deque<std::function<void()>>
      m_pendingSteps; ///< Pending steps, in order.
    bool m_paused = false;
    bool m_alive = true;
  };

  /**
   * A message in transit. Either `m_deliver` or `m_drop` is called, the latter
   * if the message is lost or has been in transit for too long.
   */
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
  void Enqueue(const std::string& aPlanner,
               std::function<void(Planner&)> aEvent);
  void OnLease(Planner& aPlanner, const LeaseEvent& aEvent);
  void OnOrderEvent(Planner& aPlanner, const OrderEvent& aEvent);
  void Execute(const std::string& aPlanner, const LeaseAction& aAction);
  void Execute(const std::string& aPlanner, const OrderAction& aAction);
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
  void ResumeDue();
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
  /** Delayed messages, each with the round in which it is in transit again. */
  std::vector<std::pair<int, Message>> m_delayed;
  int m_round = 0;
  bool m_pauseBeforeSend = false;
  /** Planners that a scripted run paused, each with the round that resumes it.
   */
  std::vector<std::pair<int, std::string>> m_resumeRounds;
  Engine m_engine;
  EngineTarget m_target;
  std::set<std::string> m_taken;
  /** Order id to the position of the order among all recorded orders, from 1.
   */
  std::map<std::string, std::uint64_t> m_recordedPosition;
  std::uint64_t m_lastAcceptedPosition = 0;
  int m_lastPlanner = 0;
  std::vector<std::string> m_faults;
};

} // namespace ridgeferry::authority
