#include <algorithm>

#include "figmill/placement.h"

namespace figmill {
namespace {

using Names = std::vector<std::string>;

bool Contains(const Names& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

EngineOrder MakeOrder(std::string kind, const std::string& versioned, Sequence fence) {
  const std::size_t at = versioned.find('@');
  std::string version = at == std::string::npos ? "" : versioned.substr(at + 1);
  return {std::move(kind), versioned.substr(0, at), std::move(version), fence};
}

std::string_view NameOf(std::string_view versioned) {
  return versioned.substr(0, versioned.find('@'));
}

// Appends an unload for each object that the engine holds and that is unwanted or
// replaced by another wanted version.
void AppendUnloads(std::vector<EngineOrder>& orders, const char* kind, const Names& held,
                   const Names& wanted, const Names& unwanted, Sequence fence) {
  for (const std::string& object : held) {
    if (Contains(wanted, object)) continue;
    const bool replaced = std::any_of(wanted.begin(), wanted.end(), [&](const std::string& other) {
      return NameOf(other) == NameOf(object);
    });
    if (replaced || Contains(unwanted, object)) orders.push_back(MakeOrder(kind, object, fence));
  }
}

void AppendLoads(std::vector<EngineOrder>& orders, const char* kind, const Names& wanted,
                 const Names& held, Sequence fence) {
  for (const std::string& object : wanted) {
    if (!Contains(held, object)) orders.push_back(MakeOrder(kind, object, fence));
  }
}

}  // namespace

std::vector<EngineOrder> PlanOrders(const DesiredPlacement& desired, const EngineState& state) {
  std::vector<EngineOrder> orders;
  const Sequence fence = desired.sequence;
  AppendUnloads(orders, "unload-adapter", state.adapters, desired.adapters,
                desired.unwanted_adapters, fence);
  AppendUnloads(orders, "unload-model", state.models, desired.models, desired.unwanted_models,
                fence);
  if (!desired.role.empty() && desired.role != state.role) {
    orders.push_back({"role", desired.role, "", fence});
  }
  AppendLoads(orders, "load-model", desired.models, state.models, fence);
  AppendLoads(orders, "load-adapter", desired.adapters, state.adapters, fence);
  return orders;
}

bool IsApplied(const EngineState& state, const EngineOrder& order) {
  const std::string versioned = order.subject + "@" + order.version;
  if (order.kind == "role") return state.role == order.subject;
  if (order.kind == "load-model") return Contains(state.models, versioned);
  if (order.kind == "unload-model") return !Contains(state.models, versioned);
  if (order.kind == "load-adapter") return Contains(state.adapters, versioned);
  return !Contains(state.adapters, versioned);  // "unload-adapter"
}

}  // namespace figmill
