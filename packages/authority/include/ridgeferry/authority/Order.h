#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/authority/Lease.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace ridgeferry::authority {

/** Tells an engine to accept no new requests; running requests complete. */
struct DrainOrder
{
  bool operator==(const DrainOrder&) const = default;
};
/** Tells an engine to accept requests again. */
struct ResumeOrder
{
  bool operator==(const ResumeOrder&) const = default;
};
/** Tells a drained engine to change its role. */
struct RoleOrder
{
  std::string m_role; ///< `mixed`, `prefill` or `decode`.
  bool operator==(const RoleOrder&) const = default;
};
/** Tells a drained engine to load a model, and an adapter if one is named. */
struct LoadOrder
{
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  bool operator==(const LoadOrder&) const = default;
};
using OrderKind = std::variant<DrainOrder, ResumeOrder, RoleOrder, LoadOrder>;

/**
 * One order to one engine. The planner records an order in the store first and
 * then sends it at most once.
 */
struct Order
{
  std::string m_id; ///< Never reused.
  std::string m_engine;
  FencingNumber m_fencing = 0;
  std::string m_sender; ///< Process id of the recording planner.
  /** Boot id that the engine had when the planner decided on the order. */
  std::string m_boot;
  OrderKind m_kind;
  bool m_settled = false; ///< The order can have no further effect.
  bool m_taken = false;   ///< Settled because the engine accepted the order.
  std::string m_how;      ///< How the order was settled, as text for operators.
  bool operator==(const Order&) const = default;
};

std::string
OrderKey(std::string_view aDataCentre, std::string_view aEngine);
std::string
EncodeOrder(const Order& aOrder);
tl::expected<Order, std::string>
DecodeOrder(std::string_view aValue);
/** Returns `drain`, `resume`, `role` or `load`. */
std::string_view
OrderKindName(const OrderKind& aKind);

/** The state an engine last reported. All fields are of the same moment. */
struct EngineState
{
  std::string m_bootId;
  std::string m_lastOrder; ///< Id of the last order that the engine accepted.
  std::string m_role;
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  bool m_draining = false;
  bool m_changing = false;    ///< A role or model change is under way.
  std::int64_t m_running = 0; ///< Requests running or queued on the engine.
};

/** The state that the planner wants an engine to reach. */
struct EngineTarget
{
  std::string m_role;
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  /** False: the engine is to be drained, so that it can be withdrawn. */
  bool m_serving = true;
  bool operator==(const EngineTarget&) const = default;
};

/**
 * Returns the next order that takes an engine from `aState` towards `aTarget`.
 * Returns std::nullopt if the engine has reached the target, if a change is
 * under way, or if running requests must complete first. Role and load orders
 * are returned only once the engine itself has reported that it is draining and
 * has no request left, so that no planned change aborts a request. Thread-safe.
 */
std::optional<OrderKind>
NextOrder(const EngineState& aState, const EngineTarget& aTarget);

} // namespace ridgeferry::authority
