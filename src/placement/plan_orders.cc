#include <algorithm>

#include "figmill/placement.h"

namespace figmill {
namespace {

using Names = std::vector<std::string>;

bool Holds(const Names& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

EngineOrder OrderOf(std::string kind, const std::string& versioned, Sequence fence) {
  const std::size_t at = versioned.find('@');
  std::string version = at == std::string::npos ? "" : versioned.substr(at + 1);
  return {std::move(kind), versioned.substr(0, at), std::move(version), fence};
}

std::string_view NameOf(std::string_view versioned) {
  return versioned.substr(0, versioned.find('@'));
}

// What the engine holds and shouldn't: unwanted, or another version of what is
// wanted.
void AddUnloads(std::vector<EngineOrder>& orders, const char* kind, const Names& held,
                const Names& wanted, const Names& unwanted, Sequence fence) {
  for (const std::string& each : held) {
    if (Holds(wanted, each)) continue;
    const bool replaced = std::any_of(wanted.begin(), wanted.end(), [&](const std::string& other) {
      return NameOf(other) == NameOf(each);
    });
    if (replaced || Holds(unwanted, each)) orders.push_back(OrderOf(kind, each, fence));
  }
}

void AddLoads(std::vector<EngineOrder>& orders, const char* kind, const Names& wanted,
              const Names& held, Sequence fence) {
  for (const std::string& each : wanted) {
    if (!Holds(held, each)) orders.push_back(OrderOf(kind, each, fence));
  }
}

}  // namespace

std::vector<EngineOrder> OrdersFor(const DesiredPlacement& desired, const EngineState& state) {
  std::vector<EngineOrder> orders;
  const Sequence fence = desired.sequence;
  AddUnloads(orders, "unload-adapter", state.adapters, desired.adapters, desired.unwanted_adapters,
             fence);
  AddUnloads(orders, "unload-model", state.models, desired.models, desired.unwanted_models, fence);
  if (!desired.role.empty() && desired.role != state.role) {
    orders.push_back({"role", desired.role, "", fence});
  }
  AddLoads(orders, "load-model", desired.models, state.models, fence);
  AddLoads(orders, "load-adapter", desired.adapters, state.adapters, fence);
  return orders;
}

bool Shows(const EngineState& state, const EngineOrder& order) {
  const std::string versioned = order.subject + "@" + order.version;
  if (order.kind == "role") return state.role == order.subject;
  if (order.kind == "load-model") return Holds(state.models, versioned);
  if (order.kind == "unload-model") return !Holds(state.models, versioned);
  if (order.kind == "load-adapter") return Holds(state.adapters, versioned);
  return !Holds(state.adapters, versioned);  // "unload-adapter"
}

}  // namespace figmill
