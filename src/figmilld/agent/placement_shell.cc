#include "figmilld/agent/placement_shell.h"

#include <nlohmann/json.hpp>

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr Duration kTick{500'000};

std::vector<std::string> Versioned(const std::vector<VersionedName>& names) {
  std::vector<std::string> texts;
  texts.reserve(names.size());
  for (const VersionedName& each : names) texts.push_back(each.name + "@" + each.version);
  return texts;
}

// 0 when the row isn't figmill's.
Incarnation IncarnationOf(const Row& row) {
  const Json json = Json::parse(row.value, nullptr, false);
  if (!json.is_object()) return 0;
  const auto found = json.find("incarnation");
  return found != json.end() && found->is_number_unsigned() ? found->get<Incarnation>() : 0;
}

Error Unread(std::string why) {
  return Error{ErrorKind::kStoreUnavailable, "the right to order: " + std::move(why)};
}

}  // namespace

std::string OrdererKey(const NodeId& node) {
  return "orderer/" + node.value;
}

std::optional<DesiredPlacement> DesiredFor(const Fold& fold, const NodeId& node) {
  const auto found = fold.placements.find(node);
  const auto backend = fold.config.backends.find(node);
  if (found == fold.placements.end() || backend == fold.config.backends.end()) {
    return std::nullopt;
  }
  const Placement& placement = found->second.placement;
  return DesiredPlacement{.sequence = found->second.sequence,
                          .models = Versioned(placement.models),
                          .adapters = Versioned(placement.adapters),
                          .unwanted_models = Versioned(placement.unwanted_models),
                          .unwanted_adapters = Versioned(placement.unwanted_adapters),
                          .role = placement.role,
                          .checks_fencing = backend->second.checks_fencing};
}

PlacementShell::PlacementShell(PlacementParts parts, ReconcilerSettings settings)
    : parts_(std::move(parts)), placer_(settings) {
  ticks_ = parts_.loop.Every(kTick, [this] { Say(ReconcilerTick{}); });
}

void PlacementShell::OnFold(const Fold& fold) {
  if (const auto desired = DesiredFor(fold, parts_.self)) Say(*desired);
}

void PlacementShell::Say(const ReconcilerEvent& event) {
  for (const ReconcilerAction& action : placer_.Step(Loop::Now(), event)) Carry(action);
}

void PlacementShell::Carry(const ReconcilerAction& action) {
  std::visit(
      Overloaded{
          [&](const ReadOwnership&) { ReadRightRow(); },
          [&](const ReadEngineState&) {
            parts_.engine.State(
                [this](Result<EngineState> state) { Say(EngineStateRead{std::move(state)}); });
          },
          [&](const ReserveWeights& reserve) {
            parts_.weights.Reserve(reserve.object, reserve.bytes, [this](Result<Duration> wait) {
              if (IsOk(wait)) return Say(WeightsGranted{ValueOf(wait)});
              Say(WeightsRefused{ErrorOf(wait)});
            });
          },
          [&](const BeginDrain&) { BeginPlacementDrain(); },
          [&](const EndDrain&) {
            ++drain_;
            parts_.end_drain();
          },
          [&](const SendOrder& send) { Send(send); },
          [&](const ReportPlacementError& trouble) {
            Log(LogLevel::kWarning, "placement_trouble",
                {{"kind", std::string(ErrorInfoOf(trouble.error.kind).name)},
                 {"detail", trouble.error.detail}});
          },
      },
      action);
}

// The first agent process in a slot writes its incarnation, a later one writes
// its own over it; whoever finds a later one has lost the right for good.
void PlacementShell::ReadRightRow() {
  parts_.table.Read(OrdererKey(parts_.self),
                    [this](const Result<std::optional<Row>>& row) { OnRightRow(row); });
}

void PlacementShell::OnRightRow(const Result<std::optional<Row>>& row) {
  if (!IsOk(row)) return Say(OwnershipReadFailed{ErrorOf(row)});
  const std::optional<Row>& found = ValueOf(row);
  const Incarnation holder = found ? IncarnationOf(*found) : 0;
  if (holder == parts_.incarnation) return Say(OwnershipRead{true});
  if (holder > parts_.incarnation) return Say(OwnershipRead{false});
  ClaimRight(found ? found->version : 0);
}

// Whatever comes of the write, the next reading tells: a lost answer needs no
// care of its own.
void PlacementShell::ClaimRight(RowVersion version) {
  const std::string key = OrdererKey(parts_.self);
  const Json value = {{"token", GenerateToken(parts_.random).value},
                      {"incarnation", parts_.incarnation}};
  parts_.table.Commit({{{key, version}}, {PutRow{key, value.dump()}}},
                      [this](const TransactionOutcome& outcome) {
                        if (std::holds_alternative<Committed>(outcome)) {
                          return Say(OwnershipRead{true});
                        }
                        Say(OwnershipReadFailed{Unread("not claimed yet")});
                      });
}

void PlacementShell::BeginPlacementDrain() {
  parts_.begin_drain([this, drain = ++drain_] {
    if (drain == drain_) Say(EngineDrained{});
  });
}

void PlacementShell::Send(const SendOrder& send) {
  if (Loop::Now() > send.not_after) {
    // Posted, as events never come inside the call that asks for them.
    parts_.loop.Post([this, number = send.number] {
      Say(OrderFailed{number,
                      Error{ErrorKind::kDeadlineExceeded, "the right to order has lapsed"}});
    });
    return;
  }
  const EngineOrder& order = send.order;
  Log(LogLevel::kInfo, "engine_order",
      {{"kind", order.kind},
       {"subject", order.subject},
       {"version", order.version},
       {"fence", std::to_string(order.fence)}});
  parts_.engine.Order(order, [this, number = send.number](const Result<Ok>& outcome) {
    if (IsOk(outcome)) return Say(OrderDone{number});
    Say(OrderFailed{number, ErrorOf(outcome)});
  });
}

}  // namespace figmill
