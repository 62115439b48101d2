#include <algorithm>

#include "figmill/query.h"

namespace figmill::query {
namespace {

Error Missing(std::string_view what, std::string_view name) {
  return Error{ErrorKind::kNotFound, "there is no " + std::string(what) + " " + std::string(name)};
}

void Merge(std::vector<RouteRule>& routes, const RouteRule& rule) {
  const auto same = [&](const RouteRule& each) { return each.path_prefix == rule.path_prefix; };
  const auto found = std::find_if(routes.begin(), routes.end(), same);
  if (found == routes.end()) {
    routes.push_back(rule);
  } else {
    *found = rule;
  }
}

void Merge(ServiceConfig& service, const ServiceSettings& settings) {
  service.repeatable = settings.repeatable.value_or(service.repeatable);
  service.target.first_token = settings.first_token.value_or(service.target.first_token);
  service.target.token_gap = settings.token_gap.value_or(service.target.token_gap);
  service.default_deadline = settings.deadline.value_or(service.default_deadline);
  for (const RouteRule& rule : settings.routes) Merge(service.routes, rule);
}

using Names = std::vector<VersionedName>;

// Other versions of the name are no longer wanted: the new one replaces them.
void Want(Names& wanted, Names& unwanted, const VersionedName& name) {
  std::erase(unwanted, name);
  std::erase_if(wanted, [&](const VersionedName& each) { return each.name == name.name; });
  wanted.push_back(name);
}

void Unwant(Names& wanted, Names& unwanted, const VersionedName& name) {
  std::erase(wanted, name);
  std::erase(unwanted, name);
  unwanted.push_back(name);
}

Placement PlacementOf(const ControlState& fold, const NodeId& node) {
  const auto found = fold.placements.find(node);
  return found == fold.placements.end() ? Placement{} : found->second.placement;
}

// Reads what stands, changes what the statement says, and puts it whole.
class Translator {
 public:
  explicit Translator(const ControlState& fold) : fold_(fold) {}

  Result<ControlEntry> operator()(const CreateService& command) const {
    if (fold_.config.services.contains(command.name)) {
      return Error{ErrorKind::kConflict,
                   "service " + command.name.value + " is there already; `set service` changes it"};
    }
    ServiceConfig service{.name = command.name, .kind = command.kind};
    Merge(service, command.settings);
    return ControlEntry(PutService{std::move(service)});
  }
  Result<ControlEntry> operator()(const SetService& command) const {
    const auto found = fold_.config.services.find(command.name);
    if (found == fold_.config.services.end()) return Missing("service", command.name.value);
    ServiceConfig service = found->second;
    Merge(service, command.settings);
    return ControlEntry(PutService{std::move(service)});
  }
  Result<ControlEntry> operator()(const RemoveService& command) const {
    return ControlEntry(figmill::RemoveService{command.name});
  }
  Result<ControlEntry> operator()(const SetLimit& command) const {
    const auto found = fold_.config.limits.find(command.team);
    TeamLimit limit{command.team};
    if (found != fold_.config.limits.end()) limit = found->second;
    limit.requests_per_second = command.requests_per_second.value_or(limit.requests_per_second);
    limit.tokens_per_second = command.tokens_per_second.value_or(limit.tokens_per_second);
    limit.burst_seconds = command.burst_seconds.value_or(limit.burst_seconds);
    return ControlEntry(PutLimit{std::move(limit)});
  }
  Result<ControlEntry> operator()(const SetBackend& command) const {
    const auto found = fold_.config.backends.find(command.node);
    BackendConfig backend{command.node, {}};
    if (found != fold_.config.backends.end()) backend = found->second;
    if (command.serves) backend.serves = *command.serves;
    backend.checks_fencing = command.checks_fencing.value_or(backend.checks_fencing);
    return ControlEntry(PutBackend{std::move(backend)});
  }
  Result<ControlEntry> operator()(const RemoveBackend& command) const {
    return ControlEntry(figmill::RemoveBackend{command.node});
  }
  Result<ControlEntry> operator()(const Drain& command) const {
    return ControlEntry(figmill::Drain{command.node});
  }
  Result<ControlEntry> operator()(const Undrain& command) const {
    return ControlEntry(figmill::Undrain{command.node});
  }
  Result<ControlEntry> operator()(const CancelJob& command) const {
    return ControlEntry(figmill::CancelJob{command.job});
  }
  Result<ControlEntry> operator()(const LoadWeights& command) const {
    return PlaceWeights(command.node, command.weights, Want);
  }
  Result<ControlEntry> operator()(const UnloadWeights& command) const {
    return PlaceWeights(command.node, command.weights, Unwant);
  }
  Result<ControlEntry> operator()(const SetRole& command) const {
    Placement placement = PlacementOf(fold_, command.node);
    placement.role = command.role;
    return ControlEntry(SetPlacement{command.node, std::move(placement)});
  }

 private:
  // `move` shifts the name between what is wanted and what is not.
  [[nodiscard]] ControlEntry PlaceWeights(const NodeId& node, const Weights& weights,
                                          void (*move)(Names&, Names&,
                                                       const VersionedName&)) const {
    Placement placement = PlacementOf(fold_, node);
    const VersionedName name{weights.name, weights.version};
    if (weights.adapter) {
      move(placement.adapters, placement.unwanted_adapters, name);
    } else {
      move(placement.models, placement.unwanted_models, name);
    }
    return SetPlacement{node, std::move(placement)};
  }

  const ControlState& fold_;
};

}  // namespace

Result<ControlEntry> EntryFor(const Command& command, const ControlState& fold) {
  return std::visit(Translator(fold), command);
}

}  // namespace figmill::query
