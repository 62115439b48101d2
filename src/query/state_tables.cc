#include <algorithm>

#include "figmill/query.h"

namespace figmill::query {
namespace {

std::string Joined(const std::vector<ServiceName>& names) {
  std::string text;
  for (const ServiceName& name : names) text += (text.empty() ? "" : ", ") + name.value;
  return text;
}

std::string Joined(const std::vector<RouteRule>& routes) {
  std::string text;
  for (const RouteRule& rule : routes) {
    text += (text.empty() ? "" : ", ") + rule.path_prefix +
            (rule.repeatable ? " repeatable" : " not repeatable");
  }
  return text;
}

std::string_view NameOf(Liveness liveness) {
  switch (liveness) {
    case Liveness::kAlive:
      return "alive";
    case Liveness::kSuspect:
      return "suspect";
    case Liveness::kDead:
      return "dead";
  }
  return "dead";
}

std::int64_t Whole(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}

// Agents that take work for the service.
std::int64_t BackendsOf(const ServiceName& service, const ControlState& fold,
                        std::span<const Member> members) {
  return std::count_if(members.begin(), members.end(), [&](const Member& member) {
    const auto& serves = member.serves;
    return member.role == Role::kAgent && member.liveness == Liveness::kAlive && !member.leaving &&
           !fold.drained.contains(member.node) &&
           std::find(serves.begin(), serves.end(), service) != serves.end();
  });
}

void AddNames(Table& table, const NodeId& node, const char* kind,
              const std::vector<VersionedName>& names, bool wanted, Sequence sequence) {
  for (const VersionedName& name : names) {
    table.rows.push_back(
        {node.value, std::string(kind), name.name, name.version, wanted, Whole(sequence)});
  }
}

}  // namespace

Table EmptyTable(const Question& question) {
  const std::span<const Column> columns = ColumnsOf(question);
  return {{columns.begin(), columns.end()}, {}};
}

Table HostTable(const ControlState& fold, std::span<const Member> members) {
  Table table = EmptyTable(ShowHosts{});
  for (const Member& member : members) {
    table.rows.push_back(
        {member.node.value, std::string(member.role == Role::kEntry ? "entry" : "agent"),
         member.data_centre.value, ToString(member.http), std::string(NameOf(member.liveness)),
         member.leaving, fold.drained.contains(member.node), Whole(member.control_sequence),
         Joined(member.serves)});
  }
  return table;
}

Table ServiceTable(const ControlState& fold, std::span<const Member> members) {
  Table table = EmptyTable(ShowServices{});
  for (const auto& [name, service] : fold.config.services) {
    table.rows.push_back(
        {name.value, std::string(service.kind == ServiceKind::kModel ? "model" : "plain"),
         service.repeatable, service.target.first_token, service.target.token_gap,
         service.default_deadline, BackendsOf(name, fold, members), Joined(service.routes)});
  }
  return table;
}

Table LimitTable(const ControlState& fold) {
  Table table = EmptyTable(ShowLimits{});
  for (const auto& [team, limit] : fold.config.limits) {
    const std::chrono::duration<double> burst(limit.burst_seconds);
    table.rows.push_back({team.value, limit.requests_per_second, limit.tokens_per_second,
                          std::chrono::duration_cast<Duration>(burst)});
  }
  return table;
}

Table PlacementTable(const ControlState& fold) {
  Table table = EmptyTable(ShowPlacement{});
  for (const auto& [node, order] : fold.placements) {
    const Placement& placement = order.placement;
    AddNames(table, node, "model", placement.models, true, order.sequence);
    AddNames(table, node, "model", placement.unwanted_models, false, order.sequence);
    AddNames(table, node, "adapter", placement.adapters, true, order.sequence);
    AddNames(table, node, "adapter", placement.unwanted_adapters, false, order.sequence);
    if (placement.role.empty()) continue;
    table.rows.push_back({node.value, std::string("role"), placement.role, std::monostate{}, true,
                          Whole(order.sequence)});
  }
  return table;
}

Table LogTable(std::span<const LogRecord> records) {
  Table table = EmptyTable(ShowLog{});
  for (const LogRecord& record : records) {
    table.rows.push_back({Whole(record.sequence), record.author, Describe(record.entry)});
  }
  return table;
}

}  // namespace figmill::query
