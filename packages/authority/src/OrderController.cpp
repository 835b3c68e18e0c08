#include "ridgeferry/authority/OrderController.h"

#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::authority {

namespace {

/**
 * Returns whether the engine made this report before it accepted `aOrder`, its
 * last recorded order. A decision that is based on such a report would repeat
 * an order that the engine has already accepted.
 */
bool
IsStale(const EngineState& aState, const Order& aOrder)
{
  return aOrder.m_taken && aState.m_bootId == aOrder.m_boot &&
         aState.m_lastOrder != aOrder.m_id;
}

} // namespace

OrderController::OrderController(std::string aDataCentre, std::string aProcess)
  : m_dataCentre(std::move(aDataCentre))
  , m_process(std::move(aProcess))
{
}

std::vector<OrderAction>
OrderController::Handle(const OrderEvent& aEvent, Instant aNow)
{
  Actions actions;
  std::visit(
    Overloaded{
      [&](const AuthorityChanged& aChanged) { OnAuthority(aChanged); },
      [&](const TargetSet& aSet) {
        Engine& engine = m_engines[aSet.m_engine];
        engine.m_target = aSet.m_target;
        engine.m_checksFencing = aSet.m_checksFencing;
      },
      [&](const StateReported& aReport) { OnState(aReport, aNow, actions); },
      [&](const OrderRowRead& aRead) { OnRow(aRead, aNow, actions); },
      [&](const OrderWritten& aWritten) { OnWritten(aWritten, aNow, actions); },
      [&](const OrderAnswered& aAnswered) {
        OnAnswered(aAnswered, aNow, actions);
      },
      [&](const SenderEnded& aEnded) { OnSenderEnded(aEnded, aNow); },
      [](const OrderTick&) {} },
    aEvent);
  for (auto& [name, engine] : m_engines) {
    Advance(name, engine, aNow, actions);
  }
  return actions;
}

std::optional<Order>
OrderController::OpenOrder(std::string_view aEngine) const
{
  const auto it = m_engines.find(aEngine);
  if (it == m_engines.end() || it->second.m_order.m_id.empty() ||
      it->second.m_order.m_settled) {
    return std::nullopt;
  }
  return it->second.m_order;
}

bool
OrderController::IsBusy(std::string_view aEngine) const
{
  const auto it = m_engines.find(aEngine);
  if (it == m_engines.end() || !it->second.m_state || !it->second.m_target) {
    return true;
  }
  const Engine& engine = it->second;
  const EngineState& state = *engine.m_state;
  const bool open = engine.m_step != Step::Idle;
  const bool onTheWay =
    state.m_changing || state.m_draining || IsStale(state, engine.m_order);
  return open || onTheWay || NextOrder(state, *engine.m_target).has_value();
}

void
OrderController::OnAuthority(const AuthorityChanged& aChanged)
{
  const bool newTerm = aChanged.m_has && aChanged.m_fencing != m_fencing;
  m_hasAuthority = aChanged.m_has;
  m_fencing = aChanged.m_fencing;
  m_fenceVersion = aChanged.m_fenceVersion;
  if (!newTerm) {
    return;
  }
  // Another planner may have written order rows since this process last had
  // authority, so they must be read again. An engine for which this process has
  // an operation under way keeps its step, as the result of this operation
  // still arrives.
  for (auto& [name, engine] : m_engines) {
    if (engine.m_step == Step::Idle || engine.m_step == Step::Waiting) {
      engine.m_step = Step::Unread;
    }
  }
}

void
OrderController::OnState(const StateReported& aReport,
                         Instant aNow,
                         Actions& aActions)
{
  Engine& engine = m_engines[aReport.m_engine];
  engine.m_state = aReport.m_state;
  SettleIfEvident(engine, aNow, aActions);
}

void
OrderController::SettleIfEvident(Engine& aEngine,
                                 Instant aNow,
                                 Actions& aActions)
{
  if (aEngine.m_step != Step::Waiting || !aEngine.m_state) {
    return;
  }
  if (aEngine.m_state->m_lastOrder == aEngine.m_order.m_id) {
    Settle(aEngine, { true, "carried out" }, aActions);
    return;
  }
  if (aEngine.m_cannotBeSentSince &&
      aNow - *aEngine.m_cannotBeSentSince >= kUnresponsiveTime) {
    Settle(aEngine, { false, "never arrived" }, aActions);
  }
}

void
OrderController::OnRow(const OrderRowRead& aRead,
                       Instant aNow,
                       Actions& aActions)
{
  const auto it = m_engines.find(aRead.m_engine);
  if (it == m_engines.end() || it->second.m_step != Step::Reading) {
    return;
  }
  Engine& engine = it->second;
  engine.m_step = Step::Unread;
  if (aRead.m_result.m_status != table::ReadStatus::Ok) {
    engine.m_retryAt = aNow + kStoreRetryInterval;
    return;
  }
  engine.m_version = aRead.m_result.m_row.m_version;
  if (engine.m_version == 0) {
    engine.m_order = {};
    engine.m_step = Step::Idle;
    return;
  }
  const auto order = DecodeOrder(aRead.m_result.m_row.m_value);
  if (!order) {
    engine.m_retryAt = aNow + kStoreRetryInterval;
    return;
  }
  if (order->m_id != engine.m_order.m_id) {
    engine.m_settlement.reset();
    engine.m_cannotBeSentSince.reset();
  }
  engine.m_order = *order;
  if (order->m_settled) {
    engine.m_step = Step::Idle;
    return;
  }
  if (engine.m_settlement) {
    // The settlement did not reach the store, so it is written again.
    Settle(engine, *engine.m_settlement, aActions);
    return;
  }
  if (order->m_sender == m_process && engine.m_lastSent != order->m_id) {
    // This process recorded the order, but the answer to this write was lost,
    // and the order was never sent.
    Send(engine, aActions);
    return;
  }
  engine.m_step = Step::Waiting;
  const auto ended = m_endedSenders.find(order->m_sender);
  if (ended != m_endedSenders.end() && !engine.m_cannotBeSentSince) {
    engine.m_cannotBeSentSince = ended->second;
  }
  SettleIfEvident(engine, aNow, aActions);
}

void
OrderController::Send(Engine& aEngine, Actions& aActions)
{
  if (!m_hasAuthority || aEngine.m_order.m_fencing != m_fencing) {
    Settle(aEngine, { false, "never sent" }, aActions);
    return;
  }
  aEngine.m_step = Step::Sending;
  aEngine.m_lastSent = aEngine.m_order.m_id;
  aActions.emplace_back(SendOrder{ aEngine.m_order });
}

void
OrderController::OnWritten(const OrderWritten& aWritten,
                           Instant aNow,
                           Actions& aActions)
{
  const auto it = m_engines.find(aWritten.m_engine);
  if (it == m_engines.end() || it->second.m_order.m_id != aWritten.m_orderId) {
    return;
  }
  Engine& engine = it->second;
  const Step expected = aWritten.m_settling ? Step::Settling : Step::Recording;
  if (engine.m_step != expected) {
    return;
  }
  if (aWritten.m_result == table::CommitResult::Committed &&
      !aWritten.m_settling) {
    ++engine.m_version;
    Send(engine, aActions);
    return;
  }
  // The write settled the order, conflicted, was not made, or has an unknown
  // result. In each case the row must be read to learn its content.
  engine.m_step = Step::Unread;
  engine.m_retryAt = aWritten.m_result == table::CommitResult::NotWritten
                       ? aNow + kStoreRetryInterval
                       : aNow;
}

void
OrderController::OnAnswered(const OrderAnswered& aAnswered,
                            Instant aNow,
                            Actions& aActions)
{
  const auto it = m_engines.find(aAnswered.m_engine);
  if (it == m_engines.end() || it->second.m_order.m_id != aAnswered.m_orderId ||
      it->second.m_step != Step::Sending) {
    return;
  }
  Engine& engine = it->second;
  switch (aAnswered.m_result) {
    case SendResult::Taken:
      Settle(engine, { true, "taken" }, aActions);
      return;
    case SendResult::Refused:
      Settle(engine, { false, "refused" }, aActions);
      return;
    case SendResult::NotSent:
      Settle(engine, { false, "never sent" }, aActions);
      return;
    case SendResult::Lost:
      engine.m_step = Step::Waiting;
      engine.m_cannotBeSentSince = aNow;
      SettleIfEvident(engine, aNow, aActions);
      return;
  }
}

void
OrderController::OnSenderEnded(const SenderEnded& aEnded, Instant aNow)
{
  m_endedSenders.try_emplace(aEnded.m_sender, aNow);
  for (auto& [name, engine] : m_engines) {
    const bool waits = engine.m_step == Step::Waiting &&
                       engine.m_order.m_sender == aEnded.m_sender;
    if (waits && !engine.m_cannotBeSentSince) {
      engine.m_cannotBeSentSince = aNow;
    }
  }
}

void
OrderController::Settle(Engine& aEngine,
                        Settlement aSettlement,
                        Actions& aActions)
{
  aEngine.m_step = Step::Settling;
  Order settled = aEngine.m_order;
  settled.m_settled = true;
  settled.m_taken = aSettlement.m_taken;
  settled.m_how = aSettlement.m_how;
  aEngine.m_settlement = std::move(aSettlement);
  table::Transaction write;
  const std::string key = OrderKey(m_dataCentre, settled.m_engine);
  // The transaction is not conditional on the fence row, because a process that
  // has lost the lease may also settle an order that can have no further
  // effect.
  write.m_conditions.push_back({ key, aEngine.m_version });
  write.m_puts.push_back({ key, EncodeOrder(settled) });
  aActions.emplace_back(SettleOrder{ std::move(settled), std::move(write) });
}

void
OrderController::Advance(const std::string& aName,
                         Engine& aEngine,
                         Instant aNow,
                         Actions& aActions)
{
  // A row that holds an open order of this process is also read without
  // authority, so that the order is still settled after the lease was lost.
  const bool ownsOpen = !aEngine.m_order.m_id.empty() &&
                        !aEngine.m_order.m_settled &&
                        aEngine.m_order.m_sender == m_process;
  if (aEngine.m_step == Step::Unread && (m_hasAuthority || ownsOpen)) {
    Read(aName, aEngine, aNow, aActions);
    return;
  }
  if (!m_hasAuthority || !aEngine.m_target || !aEngine.m_state) {
    return;
  }
  const bool mayOverride = aEngine.m_step == Step::Waiting &&
                           aEngine.m_checksFencing &&
                           aEngine.m_order.m_fencing < m_fencing;
  if (aEngine.m_step != Step::Idle && !mayOverride) {
    return;
  }
  if (aNow < aEngine.m_retryAt || IsStale(*aEngine.m_state, aEngine.m_order)) {
    return;
  }
  if (const auto next = NextOrder(*aEngine.m_state, *aEngine.m_target)) {
    Record(aName, aEngine, *next, aActions);
  }
}

void
OrderController::Read(const std::string& aName,
                      Engine& aEngine,
                      Instant aNow,
                      Actions& aActions)
{
  if (aNow < aEngine.m_retryAt) {
    return;
  }
  aEngine.m_step = Step::Reading;
  aActions.emplace_back(ReadOrderRow{ aName });
}

void
OrderController::Record(const std::string& aName,
                        Engine& aEngine,
                        OrderKind aKind,
                        Actions& aActions)
{
  Order order;
  order.m_id = m_process + "-" + std::to_string(++m_lastOrder);
  order.m_engine = aName;
  order.m_fencing = m_fencing;
  order.m_sender = m_process;
  order.m_boot = aEngine.m_state->m_bootId;
  order.m_kind = std::move(aKind);
  table::Transaction write;
  const std::string key = OrderKey(m_dataCentre, aName);
  write.m_conditions.push_back({ FenceKey(m_dataCentre), m_fenceVersion });
  write.m_conditions.push_back({ key, aEngine.m_version });
  write.m_puts.push_back({ key, EncodeOrder(order) });
  aEngine.m_order = order;
  aEngine.m_settlement.reset();
  aEngine.m_cannotBeSentSince.reset();
  aEngine.m_step = Step::Recording;
  aActions.emplace_back(RecordOrder{ std::move(order), std::move(write) });
}

} // namespace ridgeferry::authority
