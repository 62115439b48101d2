#include <algorithm>

#include "figmill/placement.h"

namespace figmill {
namespace {

// Keeps the shift in range; the maximum backoff is reached long before.
constexpr int kMaxDoublings = 16;

bool IsLoad(const EngineOrder& order) {
  return order.kind.starts_with("load-");
}

// Adapters can change while requests run; models and roles can't.
bool NeedsDrain(const EngineOrder& order) {
  return !order.kind.ends_with("adapter");
}

std::string ObjectOf(const EngineOrder& order) {
  return order.subject + "@" + order.version;
}

}  // namespace

std::vector<ReconcilerAction> PlacementReconciler::Step(Time now, const ReconcilerEvent& event) {
  actions_.clear();
  // A reply that isn't awaited belongs to an abandoned action and is ignored.
  const auto answered = [&](PendingReply what) {
    if (pending_ != what) return false;
    pending_ = PendingReply::kNothing;
    return true;
  };
  std::visit(Overloaded{
                 [&](const DesiredPlacement& desired) { OnDesired(now, desired); },
                 [&](const OwnershipRead& ownership) {
                   if (answered(PendingReply::kOwnership)) OnOwnership(now, ownership.owned);
                 },
                 [&](const OwnershipReadFailed& read_failed) {
                   if (answered(PendingReply::kOwnership)) Retry(now, read_failed.error);
                 },
                 [&](const EngineStateRead& read) { OnStateReply(now, read.state); },
                 [&](const WeightsGranted& granted) {
                   if (!answered(PendingReply::kWeights)) return;
                   weights_ready_at_[reserved_object_] = now + granted.wait;
                   Advance(now);
                 },
                 [&](const WeightsRefused& refused) {
                   if (answered(PendingReply::kWeights)) Retry(now, refused.error);
                 },
                 [&](const EngineDrained&) {
                   if (!answered(PendingReply::kDrain)) return;
                   drained_ = true;
                   Advance(now);
                 },
                 [&](const OrderDone& order) {
                   if (order.number == order_number_ && answered(PendingReply::kOrder))
                     OnOrderDone(now);
                 },
                 [&](const OrderFailed& failed) {
                   if (failed.number != order_number_ || !answered(PendingReply::kOrder)) return;
                   OnOrderFailed(now, failed.error);
                 },
                 [&](const ReconcilerTick&) { OnTick(now); },
             },
             event);
  return std::exchange(actions_, {});
}

// The control log only grows, but the same state of it may be passed in twice.
void PlacementReconciler::OnDesired(Time now, const DesiredPlacement& desired) {
  if (desired_ && desired.sequence < desired_->sequence) return;
  const bool changed = !desired_ || desired.sequence > desired_->sequence ||
                       desired.checks_fencing != desired_->checks_fencing;
  if (!changed) return;
  desired_ = desired;
  settled_ = false;
  failures_ = 0;
  next_action_at_ = now;
  if (state_) {
    pending_orders_ = PlanOrders(*desired_, *state_);
    // A drain that the new placement doesn't need must not keep requests away.
    if (std::none_of(pending_orders_.begin(), pending_orders_.end(), NeedsDrain))
      EndDrainIfSafe(now);
  }
  Advance(now);
}

void PlacementReconciler::OnTick(Time now) {
  PollOrder(now);
  if (settled_) EndDrainIfSafe(now);
  if (settled_ && now >= next_action_at_) {
    settled_ = false;
    state_.reset();
  }
  Advance(now);
}

void PlacementReconciler::Advance(Time now) {
  if (pending_ != PendingReply::kNothing || !desired_ || superseded_ || settled_) return;
  if (now < next_action_at_) return;
  if (!state_) {
    pending_ = PendingReply::kState;
    actions_.emplace_back(ReadEngineState{});
  } else if (pending_orders_.empty()) {
    Settle(now);
  } else {
    PrepareOrder(now);
  }
}

// An order may take effect while its answer is lost. Without this poll the engine
// would stay drained until the order times out, which may take minutes, as loads
// take that long.
void PlacementReconciler::PollOrder(Time now) {
  if (pending_ != PendingReply::kOrder || polling_ || now < poll_at_) return;
  polling_ = true;
  actions_.emplace_back(ReadEngineState{});
}

void PlacementReconciler::OnStateReply(Time now, const Result<EngineState>& state) {
  if (polling_) {
    polling_ = false;
    poll_at_ = now + settings_.order_poll_period;
    const bool applied =
        pending_ == PendingReply::kOrder && IsOk(state) && IsApplied(ValueOf(state), *sent_);
    if (!applied) return;
    pending_ = PendingReply::kNothing;
    // The state doesn't prove that this order caused it; the order may still run.
    orders_end_by_ = now + settings_.max_order_time;
    return OnOrderDone(now);
  }
  if (pending_ != PendingReply::kState) return;
  pending_ = PendingReply::kNothing;
  OnFreshState(now, state);
}

void PlacementReconciler::OnOrderDone(Time now) {
  last_done_ = std::exchange(sent_, std::nullopt);
  Advance(now);
}

void PlacementReconciler::OnFreshState(Time now, const Result<EngineState>& state) {
  if (!IsOk(state)) return Retry(now, ErrorOf(state));
  // The engine has carried out an order with a newer fence, so this agent's view of
  // the control log and its orders are outdated. The update arrives by itself.
  if (ValueOf(state).fence > desired_->sequence) {
    return Retry(now, Error{ErrorKind::kFenced, "the engine has newer orders than this agent"});
  }
  state_ = ValueOf(state);
  state_read_at_ = now;
  if (unresolved_order_ && IsApplied(*state_, *unresolved_order_)) unresolved_order_.reset();
  pending_orders_ = PlanOrders(*desired_, *state_);
  // Repeating the order at once would keep a faulty engine busy with loads.
  const bool no_effect = OrderHadNoEffect();
  last_done_.reset();
  if (no_effect) {
    return Retry(now,
                 Error{ErrorKind::kBackendFailed,
                       "the engine reported an order as done, but its state doesn't reflect it"});
  }
  Advance(now);
}

bool PlacementReconciler::OrderHadNoEffect() const {
  return last_done_ && last_done_->fence == desired_->sequence && !IsApplied(*state_, *last_done_);
}

bool PlacementReconciler::OrderMayTakeEffect(Time now) const {
  return unresolved_order_ && now < orders_end_by_;
}

// Reserves the weights first, since waiting for them while drained would cost
// capacity; then waits for earlier orders to end, drains, and reads the ownership.
void PlacementReconciler::PrepareOrder(Time now) {
  if (!owned_since_) return RequestOwnership(now);
  if (ReserveWeightsIfNeeded() || !WeightsReady(now) || !EarlierOrdersEnded(now)) return;
  // The engine may have restarted during these waits. If the outcome of an order
  // based on outdated state became unknown, the state read afterwards couldn't show
  // whether the order had taken effect.
  if (now - state_read_at_ >= settings_.ownership_validity) {
    state_.reset();
    return Advance(now);
  }
  if (NeedsDrain(pending_orders_.front()) && !draining_) {
    draining_ = true;
    pending_ = PendingReply::kDrain;
    actions_.emplace_back(BeginDrain{});
    return;
  }
  RequestOwnership(now);
}

bool PlacementReconciler::ReserveWeightsIfNeeded() {
  for (const EngineOrder& order : pending_orders_) {
    if (!IsLoad(order) || weights_ready_at_.contains(ObjectOf(order))) continue;
    reserved_object_ = ObjectOf(order);
    pending_ = PendingReply::kWeights;
    actions_.emplace_back(ReserveWeights{reserved_object_, settings_.weight_bytes});
    return true;
  }
  return false;
}

bool PlacementReconciler::WeightsReady(Time now) const {
  return std::all_of(pending_orders_.begin(), pending_orders_.end(), [&](const EngineOrder& order) {
    return !IsLoad(order) || weights_ready_at_.at(ObjectOf(order)) <= now;
  });
}

// On an engine that ignores fencing, an earlier order of a paused predecessor or of
// this agent could take effect after a newer one, and the placement would revert.
// Waiting until every earlier order has ended prevents that.
bool PlacementReconciler::EarlierOrdersEnded(Time now) const {
  if (desired_->checks_fencing) return true;
  const Time predecessor_orders_end =
      *owned_since_ + settings_.ownership_validity + settings_.max_order_time;
  return now >= std::max(predecessor_orders_end, orders_end_by_);
}

void PlacementReconciler::RequestOwnership(Time now) {
  pending_ = PendingReply::kOwnership;
  ownership_requested_ = now;
  actions_.emplace_back(ReadOwnership{});
}

void PlacementReconciler::OnOwnership(Time now, bool owned) {
  if (!owned) {
    superseded_ = true;  // permanently: a later incarnation owns this slot
    EndDrainIfSafe(now);
    actions_.emplace_back(ReportPlacementError{
        Error{ErrorKind::kFenced, "a later incarnation of this agent controls the engine"}});
    return;
  }
  if (!owned_since_) {
    owned_since_ = now;
    return Advance(now);
  }
  // If this process was paused after the request, a successor may have started and
  // the result may be outdated. The age of the request reveals that, and the
  // ownership is read again.
  if (now - ownership_requested_ >= settings_.ownership_validity) return Advance(now);
  // The desired placement may have changed while the ownership was read.
  const bool prepared = !pending_orders_.empty() &&
                        (drained_ || !NeedsDrain(pending_orders_.front())) &&
                        (!IsLoad(pending_orders_.front()) ||
                         weights_ready_at_.contains(ObjectOf(pending_orders_.front()))) &&
                        EarlierOrdersEnded(now);
  if (!prepared) return Advance(now);
  SendNextOrder(now);
}

void PlacementReconciler::SendNextOrder(Time now) {
  pending_ = PendingReply::kOrder;
  sent_ = pending_orders_.front();
  state_.reset();  // read back, whatever the outcome of the order
  weights_ready_at_.erase(ObjectOf(*sent_));
  poll_at_ = now + settings_.order_poll_period;
  actions_.emplace_back(
      SendOrder{++order_number_, *sent_, ownership_requested_ + settings_.ownership_validity});
}

void PlacementReconciler::OnOrderFailed(Time now, const Error& error) {
  if (error.ran != Ran::kNo) {
    unresolved_order_ = sent_;
    orders_end_by_ = now + settings_.max_order_time;
  }
  sent_.reset();
  Retry(now, error);
}

void PlacementReconciler::Settle(Time now) {
  settled_ = true;
  failures_ = 0;
  weights_ready_at_.clear();
  next_action_at_ = now + settings_.state_poll_period;
  EndDrainIfSafe(now);
}

// Returns the engine to service with its present placement, and starts over after a
// backoff by reading its state.
void PlacementReconciler::Retry(Time now, const Error& error) {
  state_.reset();
  pending_orders_.clear();
  const int doublings = std::min(failures_++, kMaxDoublings);
  next_action_at_ = now + std::min(settings_.max_backoff, settings_.min_backoff * (1 << doublings));
  EndDrainIfSafe(now);
  actions_.emplace_back(ReportPlacementError{error});
}

// The drain stays while an order may still take effect: the order would change a
// model or role while requests run.
void PlacementReconciler::EndDrainIfSafe(Time now) {
  if (!draining_ || OrderMayTakeEffect(now) || pending_ == PendingReply::kOrder) return;
  if (pending_ == PendingReply::kDrain) pending_ = PendingReply::kNothing;
  draining_ = false;
  drained_ = false;
  actions_.emplace_back(EndDrain{});
}

}  // namespace figmill
