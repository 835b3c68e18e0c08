#pragma once

#include <map>
#include <optional>
#include <ridgeferry/authority/Order.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/table/Table.h>
#include <string>
#include <variant>
#include <vector>

namespace ridgeferry::authority {

/** How sending an order ended, from the view of its sender. */
enum class SendResult
{
  Taken,   ///< The engine answered that it accepted the order.
  Refused, ///< The engine answered that it refused the order.
  NotSent, ///< No byte of the order can have left this process.
  Lost,    ///< Sent without an answer; the connection is closed now.
};

/** This process has gained or lost the authority to send orders. */
struct AuthorityChanged
{
  bool m_has = false;
  FencingNumber m_fencing = 0;
  table::Version m_fenceVersion = 0;
};
/** The planner has chosen the target state of an engine. */
struct TargetSet
{
  std::string m_engine;
  EngineTarget m_target;
  /** Whether the engine itself refuses orders with old fencing numbers. */
  bool m_checksFencing = false;
};
/** A report of an engine on itself; the report may arrive late. */
struct StateReported
{
  std::string m_engine;
  EngineState m_state;
};
/** Result of a `ReadOrderRow` action. */
struct OrderRowRead
{
  std::string m_engine;
  table::ReadResult m_result;
};
/** Result of a `RecordOrder` or `SettleOrder` action. */
struct OrderWritten
{
  std::string m_engine;
  std::string m_orderId;
  /** True: result of a `SettleOrder`; false: result of a `RecordOrder`. */
  bool m_settling = false;
  table::CommitResult m_result = table::CommitResult::Unknown;
};
/** Result of a `SendOrder` action. */
struct OrderAnswered
{
  std::string m_engine;
  std::string m_orderId;
  SendResult m_result = SendResult::Lost;
};
/**
 * The sender's process has certainly ended: the process is listed as gone, or
 * a new process runs in its place.
 */
struct SenderEnded
{
  std::string m_sender;
};
struct OrderTick
{};
using OrderEvent = std::variant<AuthorityChanged,
                                TargetSet,
                                StateReported,
                                OrderRowRead,
                                OrderWritten,
                                OrderAnswered,
                                SenderEnded,
                                OrderTick>;

/** Asks the driver to read the order row of an engine. */
struct ReadOrderRow
{
  std::string m_engine;
};
/** Asks the driver to record an order in the store before it is sent. */
struct RecordOrder
{
  Order m_order;
  table::Transaction m_transaction;
};
/**
 * Asks the driver to send the order now, and only once. The driver must check
 * `Lease::HasAuthority` again right before it sends.
 */
struct SendOrder
{
  Order m_order;
};
/** Asks the driver to mark the order as settled in the store. */
struct SettleOrder
{
  Order m_order;
  table::Transaction m_transaction;
};
using OrderAction =
  std::variant<ReadOrderRow, RecordOrder, SendOrder, SettleOrder>;

/**
 * Controller that turns target states into orders for the engines of one data
 * centre. Each engine has at most one open order.
 *
 * Orders do not conflict because of this rule: an order is recorded in the
 * store before it is sent, is sent at most once, and only by the process that
 * recorded it. As long as an order is not settled, no process records a
 * different order for the same engine, unless the engine itself refuses old
 * fencing numbers.
 *
 * An order is settled when it can have no further effect, which is the case if:
 *  - the engine's answer or report names the order, which was sent only once
 *    and therefore cannot arrive again;
 *  - the sender knows that it never sent the order;
 *  - the sender's connection is closed, or the sender's process has ended, and
 *    no report of the engine has named the order for `kUnresponsiveTime`. This
 *    time covers how long TCP and the engine's own queue may delay an order.
 *
 * The order of a paused sender stays open for as long as the sender is paused,
 * so correctness does not depend on a guess of how long a pause can last.
 *
 * The class does no input or output: `Handle` returns the actions that its
 * caller must execute. Not thread-safe.
 */
class OrderController
{
public:
  static constexpr Duration kUnresponsiveTime{ 10'000 };
  static constexpr Duration kStoreRetryInterval{ 1000 };

  OrderController(std::string aDataCentre, std::string aProcess);

  /** Processes one event and returns the actions to execute, in order. */
  std::vector<OrderAction> Handle(const OrderEvent& aEvent, Instant aNow);

  /**
   * Returns the open order of an engine; std::nullopt if the engine's order row
   * has not been read or holds no open order.
   */
  std::optional<Order> OpenOrder(std::string_view aEngine) const;

  /**
   * Returns whether the controller needs a new report of this engine for its
   * next step, because the engine's state or target is unknown, an order is
   * open, or the engine has not reached its target yet.
   */
  bool IsBusy(std::string_view aEngine) const;

private:
  using Actions = std::vector<OrderAction>;

  /** Progress of the current order of one engine. */
  enum class Step
  {
    Unread,    ///< The order row must be read, again if it was read before.
    Reading,   ///< The read of the order row is under way.
    Idle,      ///< The order row holds no open order.
    Recording, ///< The write that records the order is under way.
    Sending,   ///< Recorded by this process and passed to the driver.
    Waiting,   ///< Open until an event shows how to settle the order.
    Settling,  ///< The write that settles the order is under way.
  };

  /** How an order that can have no further effect is settled. */
  struct Settlement
  {
    bool m_taken = false;
    std::string m_how;
  };

  struct Engine
  {
    std::optional<EngineTarget> m_target;
    bool m_checksFencing = false;
    std::optional<EngineState> m_state;
    Step m_step = Step::Unread;
    table::Version m_version = 0;
    /** Last content of the order row, or the order that is being recorded. */
    Order m_order;
    std::string m_lastSent; ///< Id of the order last passed to the driver.
    /** How to settle `m_order`; std::nullopt if this is not known yet. */
    std::optional<Settlement> m_settlement;
    /**
     * Since when `m_order` can no longer be sent, so that it is settled unless
     * the engine reports it within `kUnresponsiveTime`; std::nullopt if its
     * sender may still send it.
     */
    std::optional<Instant> m_cannotBeSentSince;
    Instant m_retryAt;
  };

  void OnAuthority(const AuthorityChanged& aChanged);
  void OnState(const StateReported& aReport, Instant aNow, Actions& aActions);
  void OnRow(const OrderRowRead& aRead, Instant aNow, Actions& aActions);
  void OnWritten(const OrderWritten& aWritten, Instant aNow, Actions& aActions);
  void OnAnswered(const OrderAnswered& aAnswered,
                  Instant aNow,
                  Actions& aActions);
  void OnSenderEnded(const SenderEnded& aEnded, Instant aNow);
  void Advance(const std::string& aName,
               Engine& aEngine,
               Instant aNow,
               Actions& aActions);
  void Read(const std::string& aName,
            Engine& aEngine,
            Instant aNow,
            Actions& aActions);
  void Record(const std::string& aName,
              Engine& aEngine,
              OrderKind aKind,
              Actions& aActions);
  void Send(Engine& aEngine, Actions& aActions);
  void Settle(Engine& aEngine, Settlement aSettlement, Actions& aActions);
  void SettleIfEvident(Engine& aEngine, Instant aNow, Actions& aActions);

  std::string m_dataCentre;
  std::string m_process;
  bool m_hasAuthority = false;
  FencingNumber m_fencing = 0;
  table::Version m_fenceVersion = 0;
  std::uint64_t m_lastOrder = 0;
  std::map<std::string, Engine, std::less<>> m_engines;
  std::map<std::string, Instant, std::less<>> m_endedSenders;
};

} // namespace ridgeferry::authority
