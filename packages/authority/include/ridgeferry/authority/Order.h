#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/authority/Lease.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace ridgeferry::authority {

/** Take no new work; running work goes on to its end. */
struct DrainOrder
{
  bool operator==(const DrainOrder&) const = default;
};
/** Take work again. */
struct ResumeOrder
{
  bool operator==(const ResumeOrder&) const = default;
};
struct RoleOrder
{
  std::string m_role; ///< `mixed`, `prefill` or `decode`.
  bool operator==(const RoleOrder&) const = default;
};
struct LoadOrder
{
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  bool operator==(const LoadOrder&) const = default;
};
using OrderKind = std::variant<DrainOrder, ResumeOrder, RoleOrder, LoadOrder>;

/** One order to one engine: recorded first, then sent at most once. */
struct Order
{
  std::string m_id; ///< Unique for ever.
  std::string m_engine;
  FencingNumber m_fencing = 0;
  std::string m_sender; ///< Process id of the planner that recorded it.
  std::string m_boot;   ///< Boot id of the engine that it was decided for.
  OrderKind m_kind;
  bool m_settled = false; ///< It can have no further effect.
  bool m_taken = false;   ///< Settled because the engine took it.
  std::string m_how;      ///< How it was settled, for people.
  bool operator==(const Order&) const = default;
};

std::string
OrderKey(std::string_view aHall, std::string_view aEngine);
std::string
EncodeOrder(const Order& aOrder);
tl::expected<Order, std::string>
DecodeOrder(std::string_view aValue);
/** `drain`, `resume`, `role` or `load`. */
std::string_view
OrderKindName(const OrderKind& aKind);

/** What an engine last said of itself. All fields are of one moment. */
struct EngineState
{
  std::string m_bootId;
  std::string m_lastOrder; ///< Id of the last order that it took.
  std::string m_role;
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  bool m_draining = false;
  bool m_changing = false;    ///< In the middle of a change.
  std::int64_t m_running = 0; ///< Requests running or waiting on it.
};

/** What the planner wants an engine to be. */
struct EngineTarget
{
  std::string m_role;
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  bool m_serving = true; ///< False: drained, for a withdrawal.
  bool operator==(const EngineTarget&) const = default;
};

/**
 * The next order on the way from a state to a target, or nothing: there, or
 * waiting for running work to end. No role or load order leaves before the
 * engine itself says that it is draining and has nothing left to run, so no
 * planned change cuts a request. Thread-safe.
 */
std::optional<OrderKind>
NextOrder(const EngineState& aState, const EngineTarget& aTarget);

} // namespace ridgeferry::authority
