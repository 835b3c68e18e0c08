// The simulated engine of PlannerWorld: it accepts orders, takes some time to
// execute them, reports its state, and may restart while a change is under way.

#include "PlannerWorld.h"

#include <algorithm>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::authority {

namespace {

constexpr Duration kChangeTime{ 3000 };

} // namespace

void
PlannerWorld::SendOrder(const std::string& aPlanner, const Order& aOrder)
{
  Planner& planner = *Find(aPlanner);
  const auto answer = [this, aPlanner, aOrder](SendResult aResult) {
    Enqueue(aPlanner, [this, aOrder, aResult](Planner& aFound) {
      OnOrderEvent(aFound, OrderAnswered{ kEngine, aOrder.m_id, aResult });
    });
  };
  if (!planner.m_lease->HasAuthority(m_now)) {
    answer(SendResult::NotSent);
    return;
  }
  // The planner has checked its authority. The order is sent in a later step,
  // so that the planner can be paused between the check and the sending.
  if (m_pauseBeforeSend) {
    m_pauseBeforeSend = false;
    PauseFor(planner, kPausedRounds);
  }
  planner.m_pendingSteps.push_front([this, aPlanner, aOrder, answer] {
    m_network.push_back(
      { m_now,
        [this, aPlanner, aOrder] { TakeOrder(aPlanner, aOrder); },
        [answer] { answer(SendResult::Lost); } });
  });
}

void
PlannerWorld::TakeOrder(const std::string& aPlanner, const Order& aOrder)
{
  const auto reply = [this, aPlanner, aOrder](SendResult aResult) {
    const auto answer = [this, aPlanner, aOrder](SendResult aSeen) {
      Enqueue(aPlanner, [this, aOrder, aSeen](Planner& aFound) {
        OnOrderEvent(aFound, OrderAnswered{ kEngine, aOrder.m_id, aSeen });
      });
    };
    m_network.push_back({ m_now,
                          [answer, aResult] { answer(aResult); },
                          [answer] { answer(SendResult::Lost); } });
  };
  EngineState& state = m_engine.m_state;
  const bool old =
    m_options.m_checksFencing && aOrder.m_fencing < m_engine.m_highest;
  // Engines that check fencing also refuse an order for an earlier boot.
  const bool otherBoot =
    m_options.m_checksFencing && aOrder.m_boot != state.m_bootId;
  if (old || otherBoot || state.m_changing) {
    reply(SendResult::Refused);
    return;
  }
  if (!m_taken.insert(aOrder.m_id).second) {
    Fault("order " + aOrder.m_id + " was accepted twice");
  }
  const std::uint64_t place = m_recordedPosition[aOrder.m_id];
  if (place == 0) {
    Fault("order " + aOrder.m_id + " was accepted but not recorded");
  }
  // An engine that ignores fencing must not accept an order once a later order
  // has been recorded. An engine that checks fencing must not accept an order
  // after it has accepted a later order.
  const std::uint64_t latest = m_options.m_checksFencing
                                 ? m_lastAcceptedPosition
                                 : m_recordedPosition.size();
  if (place < latest) {
    Fault("order " + aOrder.m_id + " was accepted after a later order");
  }
  m_lastAcceptedPosition = std::max(m_lastAcceptedPosition, place);
  m_engine.m_highest = std::max(m_engine.m_highest, aOrder.m_fencing);
  state.m_lastOrder = aOrder.m_id;
  std::visit(
    Overloaded{ [&](const DrainOrder&) { state.m_draining = true; },
                [&](const ResumeOrder&) { state.m_draining = false; },
                [&](const auto&) {
                  // An engine that does not check fencing may restart
                  // while an order is in transit, and is then no
                  // longer draining. An order for an earlier boot is
                  // therefore not counted here; docs/PROMISES.md
                  // lists this case as not guaranteed.
                  if (state.m_running > 0 && aOrder.m_boot == state.m_bootId) {
                    Fault("a planned change began while requests were running");
                  }
                  state.m_changing = true;
                  m_engine.m_changeEnd = m_now + kChangeTime;
                  m_engine.m_change = aOrder.m_kind;
                } },
    aOrder.m_kind);
  reply(SendResult::Taken);
}

void
PlannerWorld::SendReport(const std::string& aPlanner)
{
  m_network.push_back(
    { m_now,
      [this, aPlanner, state = m_engine.m_state] {
        Enqueue(aPlanner, [this, state](Planner& aFound) {
          OnOrderEvent(aFound, StateReported{ kEngine, state });
        });
      },
      [] {} });
}

void
PlannerWorld::Report(Chooser& aChoose)
{
  SendReport(m_planners[aChoose.Below(m_planners.size())]->m_id);
}

void
PlannerWorld::EndChange()
{
  EngineState& state = m_engine.m_state;
  if (!m_engine.m_changeEnd || m_now < *m_engine.m_changeEnd) {
    return;
  }
  m_engine.m_changeEnd.reset();
  state.m_changing = false;
  if (const auto* role = std::get_if<RoleOrder>(&m_engine.m_change)) {
    state.m_role = role->m_role;
  }
}

void
PlannerWorld::RestartEngine()
{
  EngineState& state = m_engine.m_state;
  state.m_bootId = "boot-" + std::to_string(++m_engine.m_boots);
  state.m_lastOrder.clear();
  state.m_draining = false;
  state.m_changing = false;
  state.m_running = 0;
  m_engine.m_changeEnd.reset();
}

void
PlannerWorld::EngineStep(Chooser& aChoose)
{
  EngineState& state = m_engine.m_state;
  EndChange();
  if (state.m_running > 0 && aChoose.OneIn(2)) {
    --state.m_running;
  } else if (!state.m_draining && !state.m_changing) {
    ++state.m_running;
  }
}

} // namespace ridgeferry::authority
