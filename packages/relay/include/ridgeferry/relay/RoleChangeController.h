#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <ridgeferry/relay/DecodePoolPlanner.h>
#include <string>
#include <variant>
#include <vector>

namespace ridgeferry::relay {

/**
 * An engine's own report of its state. A report is some hundred milliseconds
 * old when it is used.
 */
struct EngineReport
{
  UpstreamRole m_role = UpstreamRole::Decode;
  bool m_changing = false; ///< The engine is carrying out an order.
  /** Number of orders accepted since the engine started. */
  std::int64_t m_ordersTaken = 0;
  /** See `UpstreamIncarnation::m_born`. */
  std::optional<std::int64_t> m_born = {};
};

/** How an engine answered an order. */
enum class OrderAnswer : std::uint8_t
{
  Taken,   ///< The engine is carrying the order out, or has the ordered role
           ///< already.
  Refused, ///< The engine will not carry the order out.
  /**
   * No answer. The engine may still carry the order out, even seconds later.
   */
  Lost,
};

/**
 * A role update for other instances, announced before the list of members shows
 * the role.
 */
struct RoleUpdate
{
  std::string m_engine;
  /** The new role, or empty while the engine changes roles. */
  std::optional<UpstreamRole> m_role;
  bool operator==(const RoleUpdate&) const = default;
};

// Events.

/**
 * Reports time passing. `m_mayOrder` tells whether this instance may send
 * orders; the caller checks it again right before each send.
 */
struct RoleChangeTick
{
  bool m_mayOrder = false;
};
/** Requests that engines change roles. */
struct ChangesWanted
{
  std::vector<EngineRoleChange> m_changes;
};
struct ReportCame
{
  std::string m_engine;
  /** Empty if no complete report arrived. */
  std::optional<EngineReport> m_report;
};
struct OrderAnswered
{
  std::string m_engine;
  OrderAnswer m_answer = OrderAnswer::Lost;
};
/**
 * Reports that an engine was permanently removed from the platform's list of
 * upstreams. Its open role change, if any, is dropped.
 */
struct EngineGone
{
  std::string m_engine;
};
using RoleChangeEvent = std::
  variant<RoleChangeTick, ChangesWanted, ReportCame, OrderAnswered, EngineGone>;

// Actions.

struct AskReport
{
  std::string m_engine;
};
struct SendRoleOrder
{
  std::string m_engine;
  UpstreamRole m_to = UpstreamRole::Prefill;
  /**
   * The number of orders that the engine must have accepted before; otherwise
   * it ignores this order.
   */
  std::int64_t m_expectedOrders = 0;
};
/**
 * Asks the caller to announce the changed result of `RoleUpdates()` to the
 * other instances now.
 */
struct AnnounceRoleUpdates
{};
using RoleChangeAction =
  std::variant<AskReport, SendRoleOrder, AnnounceRoleUpdates>;

/**
 * Carries out role changes of engines, with at most one open change per engine.
 *
 * The controller first announces the change to all instances, so that none
 * sends new calls to the engine. It then asks the engine how many orders it has
 * accepted and names that count in the order. An order that arrives late, after
 * another one, names an outdated count and is ignored, so two orders never
 * conflict even if engines do not check fencing numbers. If an order gets no
 * answer, later reports tell whether the engine accepted it; if not, the next
 * order names the same count, so that only one of the two takes effect. After
 * the change the controller keeps announcing the new role until the list shows
 * it.
 *
 * An engine that restarts under the same id counts its orders from zero, and no
 * order to the earlier incarnation is in progress there. The controller
 * therefore abandons the change.
 *
 * The controller sends orders only while `RoleChangeTick` says that this
 * instance may order. It follows orders that were already sent to their end in
 * any case. This class is a pure state machine and is not thread-safe.
 */
class RoleChangeController
{
public:
  /**
   * Time between announcing a change and ordering it: three gossip rounds of
   * the instances. If two datagrams are lost, the only cost is a call that has
   * to be placed again.
   */
  static constexpr Duration kAnnounce{ 120 };
  /**
   * How long to wait after an order without an answer before ordering again, if
   * no report shows that the engine accepted the order. The next order names
   * the same count, so that only one of the two can take effect. Reports are
   * 0.2 s old, and a healthy engine answers at once.
   */
  static constexpr Duration kOrderAgain{ 1000 };
  /**
   * Time between two reports from an engine that is changing roles; equal to
   * the age of a report.
   */
  static constexpr Duration kAskEvery{ 200 };
  /**
   * Maximum number of reports requested per tick, starting with the engines
   * that have waited longest. With a tick of 50 ms this is 60 reports a second,
   * which take a tenth of the processor of the smallest instance.
   */
  static constexpr std::size_t kMostAsksATick = 3;
  /**
   * If an engine has not carried out an order within this time, its role is
   * taken from the list again. A change takes some seconds, including the end
   * of a long stream before it, which is well below this limit.
   */
  static constexpr Duration kLongest{ 12'000 };
  /**
   * How long an engine that refused or did not answer gets no further orders.
   */
  static constexpr Duration kPause{ 1500 };
  /**
   * How long the role update of a finished change is announced. The engine's
   * heartbeat and the reading of the list together take up to three seconds.
   */
  static constexpr Duration kRoleUpdateLifetime{ 4000 };

  std::vector<RoleChangeAction> Handle(const RoleChangeEvent& aEvent,
                                       Instant aNow);

  /**
   * Returns the engines whose role this controller knows before the list shows
   * it.
   */
  std::vector<RoleUpdate> RoleUpdates() const;
  /**
   * Returns the role that the engine is changing to, or std::nullopt if no
   * change is known here.
   */
  std::optional<UpstreamRole> TargetOf(const std::string& aEngine) const;
  /**
   * Returns whether no role change should be requested of the engine for now.
   */
  bool IsLeftAlone(const std::string& aEngine) const;

private:
  using Actions = std::vector<RoleChangeAction>;

  enum class Step : std::uint8_t
  {
    Announced, ///< The change was announced; the order is still to come.
    Asking,    ///< The engine was asked how many orders it has accepted.
    Ordering,  ///< The order was sent and its answer is awaited.
    /**
     * The order got no answer; the engine keeps its role until a report says
     * otherwise.
     */
    Doubtful,
    Watching, ///< The engine is changing roles.
    Done,     ///< The change is finished and only announced.
    Paused,   ///< The engine gets no further orders for a while.
  };
  struct Change
  {
    UpstreamRole m_to = UpstreamRole::Prefill;
    Step m_step = Step::Announced;
    Instant m_since; ///< When this step began.
    Instant m_asked; ///< When the last report was requested.
    /** Start time of the engine's incarnation, from the first report. */
    std::optional<std::int64_t> m_born;
  };

  void On(const RoleChangeTick& aEvent, Instant aNow, Actions& aActions);
  void On(const ChangesWanted& aEvent, Instant aNow, Actions& aActions);
  void On(const ReportCame& aEvent, Instant aNow, Actions& aActions);
  void On(const OrderAnswered& aEvent, Instant aNow, Actions& aActions);
  void On(const EngineGone& aEvent, Instant aNow, Actions& aActions);
  void GoTo(Change& aChange, Step aStep, Instant aNow);
  /** Applies the transitions that depend only on elapsed time. */
  void Advance(Change& aChange, Instant aNow);
  static bool IsToBeAsked(const Change& aChange, Instant aNow);
  void Ask(const std::string& aEngine, Instant aNow, Actions& aActions);
  static bool IsOver(const Change& aChange, Instant aNow);

  bool m_mayOrder = false;
  /** Whether the event being handled changed the role updates. */
  bool m_roleUpdatesChanged = false;
  std::map<std::string, Change> m_changes;
};

} // namespace ridgeferry::relay
