#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamLife.h>
#include <ridgeferry/relay/PartPlan.h>
#include <string>
#include <variant>
#include <vector>

namespace ridgeferry::relay {

/** What an engine says of itself; its words are some hundred ms old. */
struct EngineReport
{
  Part m_part = Part::Generate;
  bool m_changing = false;        ///< An order is under way.
  std::int64_t m_ordersTaken = 0; ///< Since its start.
  /** See `UpstreamLife::m_born`. */
  std::optional<std::int64_t> m_born = {};
};

/** How an engine answered an order. */
enum class OrderAnswer : std::uint8_t
{
  Taken,   ///< Under way, or it holds already.
  Refused, ///< It will not be carried out.
  Lost,    ///< No answer: it may be carried out, also seconds later.
};

/** What other instances are to know of an engine ahead of the list. */
struct PartNews
{
  std::string m_engine;
  std::optional<Part> m_part; ///< Nothing: between two parts.
  bool operator==(const PartNews&) const = default;
};

// ---- events ----

/** Whether this instance may order: asked again right before each send. */
struct DeskTick
{
  bool m_mayOrder = false;
};
/** Engines that should do something else. */
struct ChangesWanted
{
  std::vector<PartChange> m_changes;
};
struct ReportCame
{
  std::string m_engine;
  std::optional<EngineReport> m_report; ///< Nothing: no whole answer.
};
struct OrderAnswered
{
  std::string m_engine;
  OrderAnswer m_answer = OrderAnswer::Lost;
};
/** It has left the list for good. */
struct EngineGone
{
  std::string m_engine;
};
using DeskEvent =
  std::variant<DeskTick, ChangesWanted, ReportCame, OrderAnswered, EngineGone>;

// ---- actions ----

struct AskReport
{
  std::string m_engine;
};
struct SendPartOrder
{
  std::string m_engine;
  Part m_to = Part::Prefill;
  /** The order is void unless the engine has taken just so many before. */
  std::int64_t m_expectedOrders = 0;
};
/** `News()` has changed: tell the other instances now. */
struct TellNews
{};
using DeskAction = std::variant<AskReport, SendPartOrder, TellNews>;

/**
 * Carries changes of engines' parts through, one open change an engine.
 *
 * First all instances are told that the engine changes, so that nobody sends to
 * it any more. Then the engine is asked how many orders it has taken, and the
 * order names that count: one that is carried out late, after another one, is
 * void, so that two orders never conflict even where engines do not check
 * fencing numbers. After an order without an answer the reports tell whether it
 * was taken; if not, the next one names the same count, so one of the two is
 * void. At last the news of the new part go on until the list has it.
 *
 * An engine that starts again under its id counts its orders anew, and nothing
 * that was ordered of the life before it is under way there: the change ends.
 *
 * Orders leave only while `DeskTick` says that this instance may order. What
 * was ordered before is watched to its end. A pure state machine; not
 * thread-safe.
 */
class PartDesk
{
public:
  /** From the news to the order: three talks of the instances, so that the loss
   * of two datagrams costs only a call that is placed again. */
  static constexpr Duration kAnnounce{ 120 };
  /** After an order without an answer, and without a sign of it in the reports:
   * the next one names the same count, so that only one of the two can take
   * effect. Reports are 0.2 s old, and a sound engine answers at once. */
  static constexpr Duration kOrderAgain{ 1000 };
  /** Between two reports of an engine that changes: as old as a report is. */
  static constexpr Duration kAskEvery{ 200 };
  /** Reports asked for in one tick, those that waited longest first: with a
   * tick of 50 ms sixty a second, a tenth of the smallest instance's processor.
   */
  static constexpr std::size_t kMostAsksATick = 3;
  /** An engine that did not follow an order by then is as the list says: well
   * above the seconds of a change with a long stream's end before it. */
  static constexpr Duration kLongest{ 12'000 };
  /** How long an engine that refused or did not answer is left alone. */
  static constexpr Duration kPause{ 1500 };
  /** How long the news of a finished change go on: heartbeats of an engine and
   * reads of the list take up to three seconds together. */
  static constexpr Duration kNewsLife{ 4000 };

  std::vector<DeskAction> Handle(const DeskEvent& aEvent, Instant aNow);

  /** Engines whose part is known better here than in the list. */
  std::vector<PartNews> News() const;
  /** The part that an engine is on its way to; nothing: it is on none that is
   * known here. */
  std::optional<Part> TargetOf(const std::string& aEngine) const;
  /** Whether nothing may be wanted of it for now. */
  bool IsLeftAlone(const std::string& aEngine) const;

private:
  using Actions = std::vector<DeskAction>;

  enum class Step : std::uint8_t
  {
    Announced, ///< Others are told; the order waits.
    Asking,    ///< For the count of orders that it has taken.
    Ordering,  ///< The order's answer is awaited.
    Doubtful,  ///< No answer: it serves on as before until a report tells.
    Watching,  ///< Under way.
    Done,      ///< News only.
    Paused,    ///< Left alone for a while.
  };
  struct Change
  {
    Part m_to = Part::Prefill;
    Step m_step = Step::Announced;
    Instant m_since; ///< In this step.
    Instant m_asked; ///< Last report asked for.
    /** Of the life that the first report was of. */
    std::optional<std::int64_t> m_born;
  };

  void On(const DeskTick& aEvent, Instant aNow, Actions& aActions);
  void On(const ChangesWanted& aEvent, Instant aNow, Actions& aActions);
  void On(const ReportCame& aEvent, Instant aNow, Actions& aActions);
  void On(const OrderAnswered& aEvent, Instant aNow, Actions& aActions);
  void On(const EngineGone& aEvent, Instant aNow, Actions& aActions);
  void GoTo(Change& aChange, Step aStep, Instant aNow);
  /** What time alone brings. */
  void Advance(Change& aChange, Instant aNow);
  static bool IsToBeAsked(const Change& aChange, Instant aNow);
  void Ask(const std::string& aEngine, Instant aNow, Actions& aActions);
  static bool IsOver(const Change& aChange, Instant aNow);

  bool m_mayOrder = false;
  bool m_newsChanged = false; ///< By the event that is handled.
  std::map<std::string, Change> m_changes;
};

} // namespace ridgeferry::relay
