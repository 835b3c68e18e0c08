#include "ridgeferry/authority/Order.h"

#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::authority {

namespace {

nlohmann::json
KindToJson(const OrderKind& aKind)
{
  nlohmann::json out{ { "kind", OrderKindName(aKind) } };
  std::visit(
    Overloaded{ [](const DrainOrder&) {},
                [](const ResumeOrder&) {},
                [&](const RoleOrder& aRole) { out["role"] = aRole.m_role; },
                [&](const LoadOrder& aLoad) {
                  out["model"] = aLoad.m_model;
                  out["version"] = aLoad.m_version;
                  out["adapter"] = aLoad.m_adapter;
                } },
    aKind);
  return out;
}

OrderKind
KindFromJson(const nlohmann::json& aValue)
{
  const std::string kind = aValue.at("kind").get<std::string>();
  if (kind == "drain") {
    return DrainOrder{};
  }
  if (kind == "resume") {
    return ResumeOrder{};
  }
  if (kind == "role") {
    return RoleOrder{ aValue.at("role").get<std::string>() };
  }
  return LoadOrder{ aValue.at("model").get<std::string>(),
                    aValue.at("version").get<std::string>(),
                    aValue.at("adapter").get<std::string>() };
}

} // namespace

std::string
OrderKey(std::string_view aDataCentre, std::string_view aEngine)
{
  return "order/" + std::string(aDataCentre) + "/" + std::string(aEngine);
}

std::string_view
OrderKindName(const OrderKind& aKind)
{
  return std::visit(
    Overloaded{ [](const DrainOrder&) -> std::string_view { return "drain"; },
                [](const ResumeOrder&) -> std::string_view { return "resume"; },
                [](const RoleOrder&) -> std::string_view { return "role"; },
                [](const LoadOrder&) -> std::string_view { return "load"; } },
    aKind);
}

std::string
EncodeOrder(const Order& aOrder)
{
  nlohmann::json out = KindToJson(aOrder.m_kind);
  out["id"] = aOrder.m_id;
  out["engine"] = aOrder.m_engine;
  out["fencing"] = aOrder.m_fencing;
  out["sender"] = aOrder.m_sender;
  out["boot"] = aOrder.m_boot;
  out["taken"] = aOrder.m_taken;
  out["settled"] = aOrder.m_settled;
  out["how"] = aOrder.m_how;
  return out.dump();
}

tl::expected<Order, std::string>
DecodeOrder(std::string_view aValue)
{
  try {
    const nlohmann::json value = nlohmann::json::parse(aValue);
    Order order;
    order.m_id = value.at("id").get<std::string>();
    order.m_engine = value.at("engine").get<std::string>();
    order.m_fencing = value.at("fencing").get<FencingNumber>();
    order.m_sender = value.at("sender").get<std::string>();
    order.m_kind = KindFromJson(value);
    order.m_boot = value.at("boot").get<std::string>();
    order.m_taken = value.at("taken").get<bool>();
    order.m_settled = value.at("settled").get<bool>();
    order.m_how = value.at("how").get<std::string>();
    return order;
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(std::string("cannot decode the order row: ") +
                          error.what());
  }
}

std::optional<OrderKind>
NextOrder(const EngineState& aState, const EngineTarget& aTarget)
{
  if (aState.m_changing) {
    return std::nullopt;
  }
  const bool sameRole = aState.m_role == aTarget.m_role;
  const bool sameModel = aState.m_model == aTarget.m_model &&
                         aState.m_version == aTarget.m_version &&
                         aState.m_adapter == aTarget.m_adapter;
  const bool wantsDrain = !aTarget.m_serving || !sameRole || !sameModel;
  if (wantsDrain && !aState.m_draining) {
    return DrainOrder{};
  }
  if (!wantsDrain) {
    return aState.m_draining ? std::optional<OrderKind>(ResumeOrder{})
                             : std::nullopt;
  }
  if (aState.m_running > 0 || (sameRole && sameModel)) {
    return std::nullopt;
  }
  if (!sameModel) {
    return LoadOrder{ aTarget.m_model, aTarget.m_version, aTarget.m_adapter };
  }
  return RoleOrder{ aTarget.m_role };
}

} // namespace ridgeferry::authority
