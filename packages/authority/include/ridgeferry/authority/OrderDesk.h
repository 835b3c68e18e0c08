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

/** How the sending of an order ended, as its sender saw it. */
enum class SendResult
{
  Taken,   ///< The engine answered that it took the order.
  Refused, ///< The engine answered that it did not.
  NotSent, ///< No byte of it can have left.
  Lost,    ///< Sent, no answer; the connection is closed now.
};

/** Lets the desk act, or stops it. */
struct AuthorityChanged
{
  bool m_has = false;
  FencingNumber m_fencing = 0;
  table::Version m_fenceVersion = 0;
};
struct TargetSet
{
  std::string m_engine;
  EngineTarget m_target;
  bool m_checksFencing = false;
};
/** What an engine says of itself, perhaps late. */
struct StateReported
{
  std::string m_engine;
  EngineState m_state;
};
struct OrderRowRead
{
  std::string m_engine;
  table::ReadResult m_result;
};
struct OrderWritten
{
  std::string m_engine;
  std::string m_orderId;
  bool m_settling = false; ///< Answer to `SettleOrder`, else `RecordOrder`.
  table::CommitResult m_result = table::CommitResult::Unknown;
};
struct OrderAnswered
{
  std::string m_engine;
  std::string m_orderId;
  SendResult m_result = SendResult::Lost;
};
/** The process has ended for sure (listed as gone, or replaced in place). */
struct SenderEnded
{
  std::string m_sender;
};
struct DeskTick
{};
using DeskEvent = std::variant<AuthorityChanged,
                               TargetSet,
                               StateReported,
                               OrderRowRead,
                               OrderWritten,
                               OrderAnswered,
                               SenderEnded,
                               DeskTick>;

struct ReadOrderRow
{
  std::string m_engine;
};
struct RecordOrder
{
  Order m_order;
  table::Transaction m_transaction;
};
/** Send now, once. The driver asks for authority again right before. */
struct SendOrder
{
  Order m_order;
};
struct SettleOrder
{
  Order m_order;
  table::Transaction m_transaction;
};
using DeskAction =
  std::variant<ReadOrderRow, RecordOrder, SendOrder, SettleOrder>;

/**
 * Turns targets into orders for the engines of one hall, one open order an
 * engine at most.
 *
 * The rule that keeps orders from conflicting: an order is recorded in the
 * table before it is sent, is sent at most once and only by the process that
 * recorded it, and while it is not settled no process records a different one
 * for that engine, unless the engine itself refuses old fencing numbers.
 * An order is settled when it can have no further effect:
 *  - the engine's answer or report names it: sent once, arrived once;
 *  - its sender knows that it never sent it;
 *  - sender's connection is closed, or the sender has ended, and the engine has
 *    shown nothing of it for `kSilence` (what TCP and the engine's own queue
 *    may still hold back).
 * A paused sender keeps its order open for as long as it is paused, so no
 * waiting time has to be guessed. A pure state machine; not thread-safe.
 */
class OrderDesk
{
public:
  static constexpr Duration kSilence{ 10'000 };
  static constexpr Duration kRetryTable{ 1000 };

  OrderDesk(std::string aHall, std::string aProcess);

  std::vector<DeskAction> Handle(const DeskEvent& aEvent, Instant aNow);

  /** The open order of an engine, if its row was read and holds one. */
  std::optional<Order> OpenOrder(std::string_view aEngine) const;

  /**
   * Whether the next step for this engine needs a report of it: nothing is
   * known of it, an order is open, or it is not yet as wanted.
   */
  bool IsBusy(std::string_view aEngine) const;

private:
  using Actions = std::vector<DeskAction>;

  enum class Step
  {
    Unread, ///< The row has not been read under this authority.
    Reading,
    Idle,      ///< The row holds no open order.
    Recording, ///< The record's answer is awaited.
    Sending,   ///< Recorded by this process and handed to the driver.
    Waiting,   ///< Open, until something settles it.
    Settling,  ///< The settlement's answer is awaited.
  };

  /** Why an order can have no further effect. */
  struct Verdict
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
    Order m_order; ///< The row's last content, or the one being recorded.
    std::string m_lastSent;           ///< The order last handed to the driver.
    std::optional<Verdict> m_verdict; ///< Of `m_order`, once it is known.
    std::optional<Instant> m_silentSince;
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
  void Settle(Engine& aEngine, Verdict aVerdict, Actions& aActions);
  void SettleIfEvident(Engine& aEngine, Instant aNow, Actions& aActions);

  std::string m_hall;
  std::string m_process;
  bool m_hasAuthority = false;
  FencingNumber m_fencing = 0;
  table::Version m_fenceVersion = 0;
  std::uint64_t m_lastOrder = 0;
  std::map<std::string, Engine, std::less<>> m_engines;
  std::map<std::string, Instant, std::less<>> m_endedSenders;
};

} // namespace ridgeferry::authority
