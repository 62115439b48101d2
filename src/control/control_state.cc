#include <algorithm>
#include <cassert>
#include <cstdio>

#include "control/config_json.h"

namespace figmill {
namespace {

// Limit of an entry's JSON. The largest entry, a whole configuration at the size
// expected in two years, has about a third of it.
constexpr std::size_t kMaxEntryBytes = 1U << 20;
constexpr std::size_t kMaxPlacedNames = 256;

Error BadRequest(std::string detail) {
  return Error{ErrorKind::kBadRequest, std::move(detail)};
}
Error NotFound(std::string detail) {
  return Error{ErrorKind::kNotFound, std::move(detail)};
}

void MarkDrained(ControlState& state) {
  for (auto& [agent, backend] : state.config.backends) {
    backend.drained = state.drained.contains(agent);
  }
}

void EvictOldCancellations(ControlState& state) {
  while (state.cancelled_jobs.size() > kMaxCancelledJobs) {
    const auto oldest =
        std::min_element(state.cancelled_jobs.begin(), state.cancelled_jobs.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    state.cancelled_jobs.erase(oldest);
  }
}

// Applies the entry to `config`; entries that don't concern it have no effect.
void EditConfig(Config& config, const ControlEntry& entry) {
  std::visit(Overloaded{[&](const PutService& e) { config.services[e.service.name] = e.service; },
                        [&](const RemoveService& e) { config.services.erase(e.service); },
                        [&](const PutLimit& e) { config.limits[e.limit.team] = e.limit; },
                        [&](const PutBackend& e) { config.backends[e.backend.agent] = e.backend; },
                        [&](const RemoveBackend& e) { config.backends.erase(e.agent); },
                        [&](const ReplaceConfig& e) { config = e.config; }, [](const auto&) {}},
             entry);
}

Result<Ok> CheckNames(std::span<const VersionedName> names, std::string_view what) {
  if (names.size() > kMaxPlacedNames) return BadRequest("too many " + std::string(what));
  std::set<VersionedName> seen;
  for (const VersionedName& each : names) {
    const Result<std::string> name = ParseId(each.name, what);
    if (!IsOk(name)) return ErrorOf(name);
    const Result<std::string> version = ParseId(each.version, "a version");
    if (!IsOk(version)) return ErrorOf(version);
    if (!seen.insert(each).second) {
      return BadRequest(std::string(what) + " " + each.name + " " + each.version +
                        " is named twice");
    }
  }
  return Ok{};
}

Result<Ok> CheckSetPlacement(const ControlState& state, const SetPlacement& entry) {
  if (!state.config.backends.contains(entry.agent)) {
    return NotFound("no backend server is configured for agent " + entry.agent.value);
  }
  if (!entry.placement.role.empty()) {
    const Result<std::string> role = ParseId(entry.placement.role, "a role");
    if (!IsOk(role)) return ErrorOf(role);
  }
  using Names = std::span<const VersionedName>;
  const Placement& placement = entry.placement;
  for (const Names models : {Names(placement.models), Names(placement.unwanted_models)}) {
    Result<Ok> checked = CheckNames(models, "a model");
    if (!IsOk(checked)) return checked;
  }
  for (const Names adapters : {Names(placement.adapters), Names(placement.unwanted_adapters)}) {
    Result<Ok> checked = CheckNames(adapters, "an adapter");
    if (!IsOk(checked)) return checked;
  }
  return Ok{};
}

Result<Ok> CheckNode(const NodeId& node) {
  const Result<std::string> id = ParseId(node.value, "a node's id");
  if (!IsOk(id)) return ErrorOf(id);
  return Ok{};
}

// Checks that the subject of the entry exists, or may be created, in this state.
Result<Ok> CheckSubject(const ControlState& state, const ControlEntry& entry) {
  return std::visit(
      Overloaded{[&](const RemoveService& e) -> Result<Ok> {
                   if (state.config.services.contains(e.service)) return Ok{};
                   return NotFound("there is no service " + e.service.value);
                 },
                 [&](const RemoveBackend& e) -> Result<Ok> {
                   if (state.config.backends.contains(e.agent)) return Ok{};
                   return NotFound("no backend server is configured for agent " + e.agent.value);
                 },
                 [&](const Drain& e) -> Result<Ok> {
                   if (state.drained.size() >= kMaxDrainedNodes &&
                       !state.drained.contains(e.node)) {
                     return Error{ErrorKind::kTooLarge,
                                  "too many nodes are drained; undrain those that are gone"};
                   }
                   return CheckNode(e.node);
                 },
                 [&](const Undrain& e) -> Result<Ok> { return CheckNode(e.node); },
                 [&](const CancelJob& e) -> Result<Ok> {
                   const Result<std::string> id = ParseId(e.job.value, "a job's id");
                   if (!IsOk(id)) return ErrorOf(id);
                   return Ok{};
                 },
                 [&](const SetPlacement& e) { return CheckSetPlacement(state, e); },
                 [](const auto&) -> Result<Ok> { return Ok{}; }},
      entry);
}

}  // namespace

std::string LogKey(Sequence sequence) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "log/%012llu", static_cast<unsigned long long>(sequence));
  return text.data();
}

Result<Ok> CheckEntry(const ControlState& state, const ControlEntry& entry) {
  if (ToJson(entry).size() > kMaxEntryBytes) {
    return Error{ErrorKind::kTooLarge,
                 "an order has at most " + std::to_string(kMaxEntryBytes) + " bytes"};
  }
  Result<Ok> subject = CheckSubject(state, entry);
  if (!IsOk(subject)) return subject;
  Config config = state.config;
  EditConfig(config, entry);
  return Validate(config);
}

void Apply(ControlState& state, const LogRecord& record) {
  assert(record.sequence == state.sequence + 1);
  state.sequence = record.sequence;
  state.author = record.author;
  state.change = Describe(record.entry);
  EditConfig(state.config, record.entry);
  std::visit(Overloaded{[&](const Drain& e) { state.drained.insert(e.node); },
                        [&](const Undrain& e) { state.drained.erase(e.node); },
                        [&](const CancelJob& e) { state.cancelled_jobs[e.job] = record.sequence; },
                        [&](const SetPlacement& e) {
                          state.placements[e.agent] = {e.placement, record.sequence};
                        },
                        [](const auto&) {}},
             record.entry);
  // A placement for an agent without a backend server can't be applied.
  std::erase_if(state.placements,
                [&](const auto& each) { return !state.config.backends.contains(each.first); });
  EvictOldCancellations(state);
  MarkDrained(state);
}

std::string ToJson(const ControlState& state) {
  detail::Json drained = detail::Json::array();
  for (const NodeId& node : state.drained) drained.push_back(node.value);
  detail::Json cancelled = detail::Json::array();
  for (const auto& [job, sequence] : state.cancelled_jobs) {
    cancelled.push_back({{"job", job.value}, {"sequence", sequence}});
  }
  detail::Json placements = detail::Json::array();
  for (const auto& [agent, order] : state.placements) {
    placements.push_back({{"agent", agent.value},
                          {"placement", detail::WritePlacement(order.placement)},
                          {"sequence", order.sequence}});
  }
  return detail::Json{{"sequence", state.sequence},
                      {"author", state.author},
                      {"change", state.change},
                      {"config", detail::WriteConfig(state.config)},
                      {"drained", std::move(drained)},
                      {"cancelled_jobs", std::move(cancelled)},
                      {"placements", std::move(placements)}}
      .dump();
}

Result<ControlState> ParseControlState(std::string_view json) {
  using detail::Json;
  using detail::ObjectReader;
  using detail::ParseStatus;
  return detail::ParseDocument<ControlState>(
      json, "the fold", [](const Json& document, ParseStatus& r) {
        ControlState state;
        ObjectReader object(document, "fold", r);
        object.Allow(
            {"sequence", "author", "change", "config", "drained", "cancelled_jobs", "placements"});
        object.RequireNatural("sequence", state.sequence);
        object.Text("author", state.author);
        object.Text("change", state.change);
        if (const Json* config = object.Require("config")) {
          state.config = detail::ReadConfig(*config, "fold.config", r);
        }
        std::vector<NodeId> drained;
        object.Ids("drained", drained);
        state.drained.insert(drained.begin(), drained.end());
        object.Array("cancelled_jobs", [&](const Json& element, const std::string& where) {
          JobId job;
          ObjectReader reader(element, where, r);
          reader.RequireId("job", job);
          reader.RequireNatural("sequence", state.cancelled_jobs[job]);
        });
        object.Array("placements", [&](const Json& element, const std::string& where) {
          NodeId agent;
          ControlState::PlacementOrder order;
          ObjectReader reader(element, where, r);
          reader.RequireId("agent", agent);
          reader.RequireNatural("sequence", order.sequence);
          if (const Json* placement = reader.Require("placement")) {
            order.placement = detail::ReadPlacement(*placement, where + ".placement", r);
          }
          state.placements[agent] = std::move(order);
        });
        MarkDrained(state);
        return state;
      });
}

RoutingSnapshot MakeRoutingSnapshot(std::shared_ptr<const ControlState> state,
                                    std::vector<Member> members) {
  for (Member& member : members) {
    if (state->drained.contains(member.node)) member.leaving = true;
  }
  RoutingSnapshot snapshot;
  snapshot.sequence = state->sequence;
  snapshot.config = std::shared_ptr<const Config>(state, &state->config);
  snapshot.members = std::move(members);
  snapshot.control_state = std::move(state);
  return snapshot;
}

}  // namespace figmill
