#include "figmilld/agent/placement_executor.h"

#include <nlohmann/json.hpp>

#include "figmill/documents.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr Duration kTickPeriod{500'000};

std::vector<std::string> ToVersionedNames(const std::vector<VersionedName>& names) {
  std::vector<std::string> texts;
  texts.reserve(names.size());
  for (const VersionedName& each : names) texts.push_back(each.name + "@" + each.version);
  return texts;
}

// 0 if the row wasn't written by figmill.
Incarnation IncarnationOf(const Row& row) {
  const Json json = ParseJson(row.value);
  if (!json.is_object()) return 0;
  const auto found = json.find("incarnation");
  return found != json.end() && found->is_number_unsigned() ? found->get<Incarnation>() : 0;
}

Error OwnershipUnknown(std::string why) {
  return Error{ErrorKind::kStoreUnavailable, "ownership of the engine: " + std::move(why)};
}

}  // namespace

std::string EngineOwnerKey(const NodeId& node) {
  return "orderer/" + node.value;
}

std::optional<DesiredPlacement> DesiredPlacementFor(const ControlState& fold, const NodeId& node) {
  const auto found = fold.placements.find(node);
  const auto backend = fold.config.backends.find(node);
  if (found == fold.placements.end() || backend == fold.config.backends.end()) {
    return std::nullopt;
  }
  const Placement& placement = found->second.placement;
  return DesiredPlacement{.sequence = found->second.sequence,
                          .models = ToVersionedNames(placement.models),
                          .adapters = ToVersionedNames(placement.adapters),
                          .unwanted_models = ToVersionedNames(placement.unwanted_models),
                          .unwanted_adapters = ToVersionedNames(placement.unwanted_adapters),
                          .role = placement.role,
                          .checks_fencing = backend->second.checks_fencing};
}

PlacementExecutor::PlacementExecutor(PlacementExecutorContext context, ReconcilerSettings settings)
    : context_(std::move(context)), reconciler_(settings) {
  tick_timer_ = context_.loop.Every(kTickPeriod, [this] { HandleEvent(ReconcilerTick{}); });
}

void PlacementExecutor::OnControlState(const ControlState& fold) {
  if (const auto desired = DesiredPlacementFor(fold, context_.self)) HandleEvent(*desired);
}

void PlacementExecutor::HandleEvent(const ReconcilerEvent& event) {
  for (const ReconcilerAction& action : reconciler_.Step(Loop::Now(), event)) Execute(action);
}

void PlacementExecutor::Execute(const ReconcilerAction& action) {
  std::visit(Overloaded{
                 [&](const ReadOwnership&) { ReadOwnershipRow(); },
                 [&](const ReadEngineState&) {
                   context_.engine.State([this](Result<EngineState> state) {
                     HandleEvent(EngineStateRead{std::move(state)});
                   });
                 },
                 [&](const ReserveWeights& reserve) {
                   context_.weights.Reserve(reserve.object, reserve.bytes,
                                            [this](Result<Duration> wait) {
                                              if (IsOk(wait)) {
                                                return HandleEvent(WeightsGranted{ValueOf(wait)});
                                              }
                                              HandleEvent(WeightsRefused{ErrorOf(wait)});
                                            });
                 },
                 [&](const BeginDrain&) { BeginPlacementDrain(); },
                 [&](const EndDrain&) {
                   ++drain_number_;
                   context_.end_drain();
                 },
                 [&](const SendOrder& send) { SendToEngine(send); },
                 [&](const ReportPlacementError& trouble) {
                   Log(LogLevel::kWarning, "placement_trouble",
                       {{"kind", std::string(ErrorInfoOf(trouble.error.kind).name)},
                        {"detail", trouble.error.detail}});
                 },
             },
             action);
}

// The first agent process in a slot writes its incarnation to the row, and each later one
// overwrites it with its own. A process that reads a later incarnation has lost the ownership
// for good.
void PlacementExecutor::ReadOwnershipRow() {
  context_.table.Read(EngineOwnerKey(context_.self),
                      [this](const Result<std::optional<Row>>& row) { OnOwnershipRow(row); });
}

void PlacementExecutor::OnOwnershipRow(const Result<std::optional<Row>>& row) {
  if (!IsOk(row)) return HandleEvent(OwnershipReadFailed{ErrorOf(row)});
  const std::optional<Row>& found = ValueOf(row);
  const Incarnation holder = found ? IncarnationOf(*found) : 0;
  if (holder == context_.incarnation) return HandleEvent(OwnershipRead{true});
  if (holder > context_.incarnation) return HandleEvent(OwnershipRead{false});
  ClaimOwnership(found ? found->version : 0);
}

// The next read shows the result of the write, so a lost answer needs no extra handling.
void PlacementExecutor::ClaimOwnership(RowVersion version) {
  const std::string key = EngineOwnerKey(context_.self);
  const Json value = {{"token", GenerateToken(context_.random).value},
                      {"incarnation", context_.incarnation}};
  context_.table.Commit({{{key, version}}, {PutRow{key, value.dump()}}},
                        [this](const TransactionOutcome& outcome) {
                          if (std::holds_alternative<Committed>(outcome)) {
                            return HandleEvent(OwnershipRead{true});
                          }
                          HandleEvent(OwnershipReadFailed{OwnershipUnknown("not claimed yet")});
                        });
}

void PlacementExecutor::BeginPlacementDrain() {
  context_.begin_drain([this, drain = ++drain_number_] {
    if (drain == drain_number_) HandleEvent(EngineDrained{});
  });
}

void PlacementExecutor::SendToEngine(const SendOrder& send) {
  if (Loop::Now() > send.not_after) {
    // Posted, as events must not be delivered within the call that requests them.
    context_.loop.Post([this, number = send.number] {
      HandleEvent(OrderFailed{
          number, Error{ErrorKind::kDeadlineExceeded, "the ownership of the engine has expired"}});
    });
    return;
  }
  const EngineOrder& order = send.order;
  Log(LogLevel::kInfo, "engine_order",
      {{"kind", order.kind},
       {"subject", order.subject},
       {"version", order.version},
       {"fence", std::to_string(order.fence)}});
  context_.engine.Order(order, [this, number = send.number](const Result<Ok>& outcome) {
    if (IsOk(outcome)) return HandleEvent(OrderDone{number});
    HandleEvent(OrderFailed{number, ErrorOf(outcome)});
  });
}

}  // namespace figmill
